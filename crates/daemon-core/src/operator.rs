//! The steward's own runtime API. The backend `hosts` is the list; each table is a backend `table-<n>` that can be
//! looked at. Changes to `hosts` are the operators' word on the list: they go through the module like the file's.

use crate::endpoint_list::ListedHost;
use crate::info::info;
use crate::peer::Link;
use crate::state::DaemonState;
use pondarch_config::HostEntry;
use pondarch_config::hosts::{HostState, bad_name};
use pondarch_controller::DurationExt;
use pondarch_controller::{EndpointState, HostId, TableId, Time};
use pondarch_runtime_api::codec::framed_answer;
use pondarch_runtime_api::command::{self, GivenWeight};
use pondarch_runtime_api::info::write_map;
use pondarch_runtime_api::stat::{self, RowType, StatRow, Sums};
use pondarch_runtime_api::state::{self, ServerState};
use pondarch_runtime_api::{AdminState, Command, CommandError, Level, ServerRef};
use std::collections::BTreeMap;
use std::time::Duration;

/// The backend that stands for the list.
const HOSTS: &str = "hosts";
/// Name of the map of hosts' zones; it can be set, as `add server` has no word for a zone.
const ZONES: &str = "zones";
const PERMISSION_DENIED: &str = "Permission denied\n";

/// The answers to one line, each ended as the protocol wants it.
pub(crate) fn answer(core: &mut DaemonState, level: u8, line: &str) -> String {
    let level = match level {
        0 => Level::User,
        1 => Level::Operator,
        _ => Level::Admin,
    };
    let commands = command::parse_line(line);
    if commands.is_empty() {
        return framed_answer("");
    }
    commands
        .into_iter()
        .map(|command| framed_answer(&one(core, level, command)))
        .collect()
}

fn one(core: &mut DaemonState, level: Level, command: Result<Command, CommandError>) -> String {
    let command = match command {
        Ok(command) => command,
        Err(error) => return format!("{error}\n"),
    };
    if command.level() > level {
        return PERMISSION_DENIED.into();
    }
    match command {
        Command::Help => command::HELP.into(),
        // Kept by the connection itself; here there is nothing to do.
        Command::Quit | Command::Prompt(_) => String::new(),
        Command::ShowInfo { json } => {
            let info = info(core);
            if json {
                info.write_json()
            } else {
                info.write()
            }
        }
        Command::ShowStat { json } => {
            let rows = rows(core);
            if json {
                stat::write_json(&rows)
            } else {
                stat::write(&rows)
            }
        }
        Command::ShowBackend => {
            let tables = core
                .tables
                .by_id
                .keys()
                .map(|table| format!("table-{}\n", table.0));
            std::iter::once(format!("# name\n{HOSTS}\n"))
                .chain(tables)
                .collect()
        }
        Command::ShowServersState(backend) => match servers(core, backend.as_deref()) {
            Some(servers) => state::write_state(&servers),
            None => "Can't find backend.\n".into(),
        },
        Command::ShowServersConn(backend) => match servers(core, backend.as_deref()) {
            Some(servers) => state::write_conn(&servers),
            None => "Can't find backend.\n".into(),
        },
        Command::ShowMemory => core
            .memory
            .lines()
            .map(|(of, text)| format!("{of}: {text}\n"))
            .collect(),
        Command::ShowErrors => {
            let line = |(at, text): &(Time, String)| format!("[{:.3}] {text}\n", since(core, *at));
            core.errors.iter().map(line).collect()
        }
        Command::ShowEvents => {
            let line = |(at, event): &(Time, crate::Event)| {
                format!("<0> [{:.3}] {event:?}\n", since(core, *at))
            };
            core.events.iter().map(line).collect()
        }
        Command::ShowMaps => {
            let names = [
                "levels",
                "tries",
                "proxies",
                "weights",
                "lingering",
                "owed",
                "secondaries",
                ZONES,
            ];
            let line =
                |(n, name): (usize, &&str)| format!("{n} ({name}) pondarch: {}\n", of_map(name));
            std::iter::once("# id (file) description\n".to_string())
                .chain(names.iter().enumerate().map(line))
                .collect()
        }
        Command::ShowMap { map, version: None } => match self::map(core, &map) {
            Some(entries) => write_map(entries.iter()),
            None => unknown_map(),
        },
        Command::ShowMap {
            map,
            version: Some(version),
        } if map == ZONES => match core.zones.version(version) {
            Some(entries) => write_map(entries.iter()),
            None => "Version not found.\n".into(),
        },
        Command::GetMap { map, key } => match self::map(core, &map) {
            Some(entries) => match entries.get(&key) {
                Some(value) => {
                    format!(
                        "type=str, case=sensitive, found=yes, key=\"{key}\", value=\"{value}\"\n"
                    )
                }
                None => "type=str, case=sensitive, found=no\n".into(),
            },
            None => unknown_map(),
        },
        Command::AddMap {
            map,
            version,
            key,
            value,
        } if map == ZONES => put_zone(core, version, &key, &value),
        Command::SetMap { map, key, value } if map == ZONES => {
            match core.zones.zone_of_host(&key) {
                Some(_) => put_zone(core, None, &key, &value),
                None => "entry not found.\n".into(),
            }
        }
        Command::DelMap { map, key } if map == ZONES => match core.zones.remove(&key) {
            true => String::new(),
            false => "entry not found.\n".into(),
        },
        Command::ClearMap { map, version } if map == ZONES => said(core.zones.clear(version)),
        Command::PrepareMap { map } if map == ZONES => {
            format!("New version created: {}\n", core.zones.prepare())
        }
        Command::CommitMap { map, version } if map == ZONES => {
            let done = core.zones.commit(version);
            if done.is_ok() {
                rezone(core);
            }
            said(done)
        }
        Command::ShowMap { map, .. }
        | Command::PrepareMap { map }
        | Command::CommitMap { map, .. }
        | Command::AddMap { map, .. }
        | Command::SetMap { map, .. }
        | Command::DelMap { map, .. }
        | Command::ClearMap { map, .. } => match self::map(core, &map) {
            Some(_) => {
                format!("The map '{map}' shows what the steward decided; it can't be set.\n")
            }
            None => unknown_map(),
        },
        Command::GetWeight(server) => match host(core, &server) {
            Ok((_, known)) => format!("{} (initial {})\n", known.entry.weight, known.entry.weight),
            Err(error) => error,
        },
        Command::SetWeight(server, weight) => set_weight(core, &server, weight),
        Command::SetState(server, state) => set_state(core, &server, state),
        Command::SetAddr(server, ip, port) => match host(core, &server) {
            Err(error) => error,
            Ok((id, known)) => {
                let old = known.entry.address;
                let new = std::net::SocketAddr::new(ip, port.unwrap_or(old.port()));
                if old == new {
                    return "no need to change the addr, no need to change the port\n".into();
                }
                let now = core.now;
                let endpoints = core
                    .endpoints
                    .edit(now, &id, |edit| edit.address = Some(new));
                core.apply_endpoints(endpoints);
                format!(
                    "IP changed from '{}' to '{}', port changed from '{}' to '{}' by 'stats socket command'\n",
                    old.ip(),
                    new.ip(),
                    old.port(),
                    new.port()
                )
            }
        },
        Command::AddServer {
            server,
            addr,
            weight,
        } => add_host(core, &server, addr, weight),
        Command::DelServer(server) => match host(core, &server) {
            Err(error) => error,
            Ok((_, known)) if known.state != EndpointState::Removed => {
                "Only servers in maintenance mode can be deleted.\n".into()
            }
            Ok((id, _)) => {
                let endpoints = core.endpoints.remove(core.now, &id);
                core.apply_endpoints(endpoints);
                "Server deleted.\n".into()
            }
        },
    }
}

fn since(core: &DaemonState, at: Time) -> f64 {
    (at - core.started).seconds()
}

fn unknown_map() -> String {
    "Unknown map identifier. Please use #<id> or <name>.\n".into()
}

fn of_map(name: &str) -> &'static str {
    match name {
        "levels" => "share let in by table and kind",
        "tries" => "when proxies try again, by table and kind",
        "proxies" => "each proxy's link and table",
        "lingering" => "hosts in no table that DNS caches may still hold, and for how many seconds",
        "owed" => "hosts to be left alone that proxies may still hold, since when and by whom",
        "secondaries" => "copies of the DNS zone: what each holds, and for how long it is behind",
        "weights" => "the weight that decisions go by, by host",
        _ => "zone by host; can be set",
    }
}

fn map(core: &DaemonState, name: &str) -> Option<BTreeMap<String, String>> {
    let by_kind = |value: fn(&(f64, pondarch_controller::RetryPolicy)) -> String| {
        let of = |(table, assignment): (&TableId, &crate::table_assignments::TableAssignment)| {
            let key = |kind: usize| format!("table-{}/{}", table.0, core.request_classes[kind]);
            let entries = assignment
                .admission
                .iter()
                .map(|(kind, level)| (key(kind.0 as usize), value(level)));
            entries.collect::<Vec<_>>()
        };
        core.tables.by_id.iter().flat_map(of).collect()
    };
    match name {
        "levels" => Some(by_kind(|(quota, _)| quota.to_string())),
        "tries" => Some(by_kind(|(_, tries)| {
            pondarch_proxy_session::table::tries_word(*tries).to_string()
        })),
        "proxies" => {
            let of = |peer: &crate::peer::Peer| {
                let link = match peer.link {
                    Link::Down(_) => "down".to_string(),
                    Link::Dialling => "dialling".to_string(),
                    Link::ReadingState => "looking".to_string(),
                    Link::Waiting { .. } => "waits".to_string(),
                    Link::Dns { joined: false } => "by name, not asking".to_string(),
                    Link::Dns { joined: true } | Link::Joined => {
                        let tables: std::collections::BTreeSet<_> =
                            peer.bindings.values().collect();
                        let names = tables.iter().map(|table| format!(" table-{}", table.0));
                        let state = if peer.pending_update.is_some() {
                            " behind"
                        } else {
                            ""
                        };
                        let state = if peer.is_joined() { state } else { " by name" };
                        format!("joined{}{state}", names.collect::<String>())
                    }
                };
                (peer.name.clone(), link)
            };
            Some(core.peers.iter().map(of).collect())
        }
        "lingering" => {
            let names = core.dns.as_ref();
            let lingering = names
                .map(|names| names.lingering(core.now))
                .unwrap_or_default();
            let left = |(host, until): (String, Time)| {
                (host, format!("{:.1}", (until - core.now).seconds()))
            };
            Some(lingering.into_iter().map(left).collect())
        }
        "owed" => Some(core.undrained_hosts()),
        "secondaries" => Some(
            core.dns
                .as_ref()
                .map(|names| names.secondary_states(core.now))
                .unwrap_or_default(),
        ),
        "weights" => {
            let of = |(id, known): (&HostId, &ListedHost)| {
                let planned_weights = core
                    .endpoints
                    .planned_weights
                    .get(id)
                    .copied()
                    .unwrap_or(known.entry.weight);
                (id.0.to_string(), format!("{planned_weights:.3}"))
            };
            Some(core.endpoints.hosts.iter().map(of).collect())
        }
        ZONES => {
            let zone =
                |(id, known): (&HostId, &ListedHost)| (id.0.to_string(), known.entry.zone.clone());
            let mut zones = core.zones.entries().clone();
            zones.extend(core.endpoints.hosts.iter().map(zone));
            Some(zones)
        }
        _ => None,
    }
}

/// A row for each host of the list with what was met there lately, and one for each line of a table.
fn rows(core: &DaemonState) -> Vec<StatRow> {
    let mut rows = Vec::new();
    for (id, known) in &core.endpoints.hosts {
        let outcomes = core.last_outcomes.get(id).copied().unwrap_or_default();
        rows.push(StatRow {
            backend: HOSTS.into(),
            server: id.0.to_string(),
            of: RowType::Server,
            status: status(known.state).into(),
            weight: known.entry.weight.round() as u64,
            mean: outcomes.mean_latency,
            addr: known.entry.address.to_string(),
            sums: Some(Sums {
                done: (outcomes.attempts - outcomes.failures).max(0.0) as u64,
                errored: outcomes.failures as u64,
                done_time: Duration::from_micros(
                    (outcomes.mean_latency.micros() as f64
                        * (outcomes.attempts - outcomes.failures).max(0.0))
                        as u64,
                ),
            }),
            ..StatRow::default()
        });
    }
    for (table, assignment) in &core.tables.by_id {
        for (id, weight) in &assignment.weights {
            let state = core
                .endpoints
                .hosts
                .get(id)
                .map_or(EndpointState::Removed, |known| known.state);
            rows.push(StatRow {
                backend: format!("table-{}", table.0),
                server: id.0.to_string(),
                of: RowType::Server,
                status: status(state).into(),
                // Thousandths: the module's own grain.
                weight: (weight * 1e3).round() as u64,
                ..StatRow::default()
            });
        }
    }
    rows
}

fn status(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "UP",
        EndpointState::Draining => "DRAIN",
        EndpointState::Removed => "MAINT",
    }
}

fn servers(core: &mut DaemonState, backend: Option<&str>) -> Option<Vec<ServerState>> {
    let mut servers = Vec::new();
    if backend.is_none_or(|name| name == HOSTS) {
        for (id, known) in &core.endpoints.hosts {
            servers.push(ServerState {
                backend: HOSTS.into(),
                server: id.0.to_string(),
                addr: known.entry.address,
                state: match known.state {
                    EndpointState::Ready => AdminState::Ready,
                    EndpointState::Draining => AdminState::Drain,
                    EndpointState::Removed => AdminState::Maint,
                },
                weight: known.entry.weight.round().clamp(0.0, 256.0) as u16,
                used: 0,
                changed_s: (core.now - known.started).micros() / 1_000_000,
            });
        }
    }
    let named = |table: &TableId| format!("table-{}", table.0);
    let tables: Vec<TableId> = core.tables.by_id.keys().copied().collect();
    let of = tables
        .iter()
        .filter(|table| backend.is_none_or(|name| name == named(table)));
    for &table in of {
        let lines = core.tables.lines(table, &core.endpoints, core.now);
        for (id, line) in lines.iter() {
            servers.push(ServerState {
                backend: named(&table),
                server: id.0.to_string(),
                addr: line.addr,
                state: AdminState::Ready,
                weight: line.units,
                used: 0,
                changed_s: 0,
            });
        }
    }
    let known =
        backend.is_none_or(|name| name == HOSTS || tables.iter().any(|table| name == named(table)));
    known.then_some(servers)
}

fn host(core: &DaemonState, server: &ServerRef) -> Result<(HostId, ListedHost), String> {
    if server.backend != HOSTS {
        let table = core
            .tables
            .by_id
            .keys()
            .any(|table| server.backend == format!("table-{}", table.0));
        return Err(if table {
            "Tables are the steward's: change a host under 'hosts'.\n".into()
        } else {
            "No such backend.\n".into()
        });
    }
    let id = HostId(server.server.as_str().into());
    core.endpoints
        .hosts
        .get(&id)
        .map(|known| (id, known.clone()))
        .ok_or_else(|| "No such server.\n".into())
}

fn set_weight(core: &mut DaemonState, server: &ServerRef, weight: GivenWeight) -> String {
    match (host(core, server), weight) {
        (Err(error), _) => error,
        (Ok(_), GivenWeight::Units(0)) => {
            "A listed weight is above 0; use 'set server <srv> state drain' to send nothing new there.\n"
                .into()
        }
        (Ok((id, known)), weight) => {
            let weight = match weight {
                GivenWeight::Units(units) => f64::from(units),
                GivenWeight::Percent(part) => known.entry.weight * part / 100.0,
            };
            if weight <= 0.0 {
                return "A listed weight is above 0.\n".into();
            }
            let endpoints = core.endpoints.edit(core.now, &id, |edit| edit.weight = Some(weight));
            core.apply_endpoints(endpoints);
            String::new()
        }
    }
}

fn set_state(core: &mut DaemonState, server: &ServerRef, state: AdminState) -> String {
    match host(core, server) {
        Err(error) => error,
        Ok((id, _)) => {
            let state = match state {
                AdminState::Ready => HostState::Ready,
                AdminState::Drain => HostState::Drain,
                AdminState::Maint => HostState::Gone,
            };
            let endpoints = core
                .endpoints
                .edit(core.now, &id, |edit| edit.state = Some(state));
            core.apply_endpoints(endpoints);
            String::new()
        }
    }
}

/// As the guide has it, a new server is in maintenance until it is made ready. Its zone is the one the map has for
/// it, or the site's first.
fn add_host(
    core: &mut DaemonState,
    server: &ServerRef,
    addr: std::net::SocketAddr,
    weight: Option<u16>,
) -> String {
    if server.backend != HOSTS {
        return "No such backend.\n".into();
    }
    let id = HostId(server.server.as_str().into());
    if core
        .endpoints
        .hosts
        .get(&id)
        .is_some_and(|known| known.state != EndpointState::Removed)
    {
        return "Already exists a server with the same name in the backend.\n".into();
    }
    if bad_name(&server.server).is_some() {
        return "A host's name has 1 to 64 letters, digits, '-', '_', '.' or ':'.\n".into();
    }
    let entry = HostEntry {
        name: server.server.clone(),
        address: addr,
        zone: core
            .zones
            .zone_of_host(&id.0)
            .or(core.endpoints.zones().first())
            .cloned()
            .unwrap_or_default(),
        rack: String::new(),
        machine: String::new(),
        weight: f64::from(weight.unwrap_or(1).max(1)),
        cores: None,
        started: None,
        state: HostState::Gone,
    };
    let endpoints = core.endpoints.add(core.now, entry);
    core.apply_endpoints(endpoints);
    "New server registered.\n".into()
}

fn said(done: Result<(), &'static str>) -> String {
    done.err().unwrap_or_default().to_string()
}

fn put_zone(core: &mut DaemonState, version: Option<u64>, key: &str, zone: &str) -> String {
    let id = HostId(key.into());
    if !core.endpoints.zones().iter().any(|known| known == zone) {
        return format!(
            "'{zone}' is none of the site's zones: {}.\n",
            core.endpoints.zones().join(", ")
        );
    }
    if core.endpoints.hosts.contains_key(&id) && !core.endpoints.is_added(&id) {
        return "The file names this host's zone; change it there.\n".into();
    }
    let done = core.zones.set(version, key, zone);
    if version.is_none() && done.is_ok() {
        rezone(core);
    }
    said(done)
}

/// Hosts that operators added take the zones that the map has for them now.
fn rezone(core: &mut DaemonState) {
    let zone = |id: &HostId| core.zones.zone_of_host(&id.0).cloned();
    let of = core
        .endpoints
        .hosts
        .iter()
        .filter(|(id, _)| core.endpoints.is_added(id));
    let moved: Vec<HostEntry> = of
        .filter_map(|(id, known)| Some((zone(id)?, known.entry.clone())))
        .filter(|(zone, entry)| *zone != entry.zone)
        .map(|(zone, entry)| HostEntry { zone, ..entry })
        .collect();
    for entry in moved {
        let endpoints = core.endpoints.add(core.now, entry);
        core.apply_endpoints(endpoints);
    }
}
