//! What a proxy holds, and how it answers the runtime API: a command goes in, an answer comes out. Who may send orders
//! is checked before, in `orders`.

use pondarch_runtime_api::command::GivenWeight;
use pondarch_runtime_api::info::{Info, write_map};
use pondarch_runtime_api::stat::{self, RowType, StatRow, Sums};
use pondarch_runtime_api::state::{self, ServerState};
use pondarch_runtime_api::{AdminState, Command, Level, ServerRef, command};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::table::LINES_MOST;

/// Entries of a map, and versions under way, at most.
const ENTRIES_MOST: usize = 10_000;
const VERSIONS_MOST: usize = 16;

/// One server of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub addr: SocketAddr,
    pub weight: u16,
    pub state: AdminState,
    pub current: u64,
    pub total: u64,
    pub sums: Sums,
    /// The host's newest word on its load.
    pub busy: Option<f64>,
    pub queue: Option<f64>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    pub servers: BTreeMap<String, Server>,
    pub reqs: u64,
    pub denied: u64,
}

/// All of a proxy's state that the runtime API shows or sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Holding {
    pub name: String,
    pub process: u64,
    pub started_s: u64,
    pub backends: BTreeMap<String, Backend>,
    pub maps: BTreeMap<String, BTreeMap<String, String>>,
    /// What `show info` tells beside the above, as whoever holds this keeps it.
    pub told: Vec<(&'static str, String)>,
    /// Versions under way: map, number, entries.
    prepared: BTreeMap<(String, u64), BTreeMap<String, String>>,
    next_version: u64,
    changed: BTreeSet<String>,
}

impl Server {
    pub fn new(addr: SocketAddr, weight: u16, state: AdminState) -> Server {
        Server {
            addr,
            weight,
            state,
            current: 0,
            total: 0,
            sums: Sums::default(),
            busy: None,
            queue: None,
        }
    }

    pub fn serves(&self) -> bool {
        self.state == AdminState::Ready && self.weight > 0
    }
}

impl Holding {
    /// A proxy with one backend for each kind, and the maps that stewards use, empty.
    pub fn new(name: &str, process: u64, kinds: &[&str]) -> Holding {
        Holding {
            name: name.to_string(),
            process,
            started_s: 1_700_000_000 + process,
            backends: kinds
                .iter()
                .map(|kind| (kind.to_string(), Backend::default()))
                .collect(),
            maps: ["pond_levels", "pond_tries", "pond_state"]
                .map(|m| (m.to_string(), BTreeMap::new()))
                .into(),
            ..Holding::default()
        }
    }

    pub fn entry(&self, map: &str, key: &str) -> Option<&str> {
        self.maps.get(map)?.get(key).map(String::as_str)
    }

    /// Whether a command changes anything: these are orders, the others looks.
    pub fn is_order(command: &Command) -> bool {
        command.level() == Level::Admin
    }

    /// The answers to one line, one for each command.
    pub fn line(&mut self, line: &str) -> Vec<String> {
        let commands = command::parse_line(line);
        if commands.is_empty() {
            return vec![String::new()];
        }
        let answer = |command: Result<Command, command::CommandError>| match command {
            Ok(command) => self.command(command),
            Err(wrong) => format!("{wrong}\n"),
        };
        commands.into_iter().map(answer).collect()
    }

    /// The backends whose lines may have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed)
    }

    /// The entries of a version of a map that is under way.
    pub fn prepared(&self, map: &str, version: u64) -> Option<&BTreeMap<String, String>> {
        self.prepared.get(&(map.to_string(), version))
    }

    pub fn command(&mut self, command: Command) -> String {
        match &command {
            Command::SetWeight(server, _)
            | Command::SetState(server, _)
            | Command::SetAddr(server, ..) => {
                self.changed.insert(server.backend.clone());
            }
            Command::AddServer { server, .. } | Command::DelServer(server) => {
                self.changed.insert(server.backend.clone());
            }
            _ => {}
        }
        match command {
            Command::Prompt(_) | Command::Quit => String::new(),
            Command::Help => command::HELP.into(),
            Command::ShowInfo { .. } => {
                let mut info = Info::default();
                info.put("Name", "pondarch-proxy");
                info.put("Node", &self.name);
                info.put("Pid", self.process);
                info.put("Start_time_sec", self.started_s);
                self.told.iter().for_each(|(name, value)| info.put(name, value));
                info.write()
            }
            Command::ShowStat { json: false } => stat::write(&self.rows()),
            Command::ShowStat { json: true } => stat::write_json(&self.rows()),
            Command::ShowBackend => {
                std::iter::once("# name\n".to_string()).chain(self.backends.keys().map(|b| format!("{b}\n"))).collect()
            }
            Command::ShowServersState(backend) => state::write_state(&self.servers(backend.as_deref())),
            Command::ShowServersConn(backend) => state::write_conn(&self.servers(backend.as_deref())),
            Command::ShowErrors | Command::ShowEvents | Command::ShowMemory => String::new(),
            Command::ShowMaps => self.maps.keys().map(|map| format!("0 ({map}) map\n")).collect(),
            Command::ShowMap { map, version: None } => self.on_map(&map, |m| write_map(m.iter())),
            Command::ShowMap { map, version: Some(version) } => match self.prepared.get(&(map, version)) {
                Some(entries) => write_map(entries.iter()),
                None => "Version not found.\n".into(),
            },
            Command::GetMap { map, key } => self.on_map(&map, |m| match m.get(&key) {
                Some(value) => format!("found=yes, value=\"{value}\"\n"),
                None => "found=no\n".into(),
            }),
            Command::AddMap { map, version: Some(version), key, value } => {
                match self.prepared.get_mut(&(map, version)) {
                    Some(entries) if entries.len() >= ENTRIES_MOST => return "The map is full.\n".into(),
                    Some(entries) => drop(entries.insert(key, value)),
                    None => return "Version not found.\n".into(),
                }
                String::new()
            }
            Command::AddMap { map, version: None, key, value } => self.on_map(&map, |m| {
                if m.len() >= ENTRIES_MOST && !m.contains_key(&key) {
                    return "The map is full.\n".into();
                }
                m.insert(key, value);
                String::new()
            }),
            Command::SetMap { map, key, value } => self.on_map(&map, |m| match m.get_mut(&key) {
                Some(held) => {
                    *held = value;
                    String::new()
                }
                None => "entry not found.\n".into(),
            }),
            Command::DelMap { map, key } => self.on_map(&map, |m| match m.remove(&key) {
                Some(_) => String::new(),
                None => "Key not found.\n".into(),
            }),
            Command::ClearMap { map, version: None } => self.on_map(&map, |m| {
                m.clear();
                String::new()
            }),
            Command::ClearMap { map, version: Some(version) } => {
                self.prepared.remove(&(map, version));
                String::new()
            }
            Command::PrepareMap { map } => {
                if !self.maps.contains_key(&map) {
                    return "Unknown map identifier.\n".into();
                }
                self.next_version += 1;
                self.prepared.insert((map, self.next_version), BTreeMap::new());
                if self.prepared.len() > VERSIONS_MOST {
                    // Nobody may ever commit the oldest.
                    let oldest = self.prepared.keys().min_by_key(|(_, version)| *version).cloned();
                    oldest.into_iter().for_each(|oldest| drop(self.prepared.remove(&oldest)));
                }
                format!("New version created: {}\n", self.next_version)
            }
            Command::CommitMap { map, version } => match self.prepared.remove(&(map.clone(), version)) {
                Some(entries) => {
                    self.maps.insert(map, entries);
                    String::new()
                }
                None => "Version not found.\n".into(),
            },
            Command::GetWeight(server) => {
                self.on_server(&server, |s| format!("{} (initial {})\n", s.weight, s.weight))
            }
            Command::SetWeight(server, GivenWeight::Units(units)) => self.on_server(&server, |s| {
                s.weight = units;
                String::new()
            }),
            Command::SetWeight(server, GivenWeight::Percent(part)) => self.on_server(&server, |s| {
                s.weight = (f64::from(s.weight) * part / 100.0) as u16;
                String::new()
            }),
            Command::SetState(server, state) => self.on_server(&server, |s| {
                s.state = state;
                String::new()
            }),
            Command::SetAddr(server, ip, port) => self.on_server(&server, |s| {
                let new = SocketAddr::new(ip, port.unwrap_or(s.addr.port()));
                let old = std::mem::replace(&mut s.addr, new);
                format!("IP changed from '{}' to '{}', port changed from '{}' to '{}' by 'stats socket command'\n",
                    old.ip(), new.ip(), old.port(), new.port())
            }),
            Command::AddServer { server, addr, weight } => {
                let Some(backend) = self.backends.get_mut(&server.backend) else {
                    return "No such backend.\n".into();
                };
                if backend.servers.len() >= LINES_MOST {
                    return "The backend is full.\n".into();
                }
                if backend.servers.contains_key(&server.server) {
                    return "Already exists a server with the same name in the backend.\n".into();
                }
                let new = Server::new(addr, weight.unwrap_or(1), AdminState::Maint);
                backend.servers.insert(server.server, new);
                "New server registered.\n".into()
            }
            Command::DelServer(server) => {
                let Some(backend) = self.backends.get_mut(&server.backend) else {
                    return "No such backend.\n".into();
                };
                match backend.servers.get(&server.server) {
                    None => "No such server.\n".into(),
                    Some(s) if s.state != AdminState::Maint => {
                        "Only servers in maintenance mode can be deleted.\n".into()
                    }
                    Some(s) if s.current > 0 => {
                        "Server still has connections attached to it, cannot remove it.\n".into()
                    }
                    Some(_) => {
                        backend.servers.remove(&server.server);
                        "Server deleted.\n".into()
                    }
                }
            }
        }
    }

    fn on_map(
        &mut self,
        map: &str,
        act: impl FnOnce(&mut BTreeMap<String, String>) -> String,
    ) -> String {
        match self.maps.get_mut(map) {
            Some(map) => act(map),
            None => "Unknown map identifier. Please use #<id> or <name>.\n".into(),
        }
    }

    fn on_server(&mut self, server: &ServerRef, act: impl FnOnce(&mut Server) -> String) -> String {
        match self.backends.get_mut(&server.backend) {
            None => "No such backend.\n".into(),
            Some(backend) => match backend.servers.get_mut(&server.server) {
                None => "No such server.\n".into(),
                Some(held) => act(held),
            },
        }
    }

    fn servers(&self, only: Option<&str>) -> Vec<ServerState> {
        let of = self
            .backends
            .iter()
            .filter(|(name, _)| only.is_none_or(|only| only == *name));
        let state = |backend: &str, (name, s): (&String, &Server)| ServerState {
            backend: backend.to_string(),
            server: name.clone(),
            addr: s.addr,
            state: s.state,
            weight: s.weight,
            used: s.current,
            changed_s: 0,
        };
        of.flat_map(|(backend, b)| b.servers.iter().map(move |s| state(backend, s)))
            .collect()
    }

    /// All counters, as `show stat` has them.
    pub fn rows(&self) -> Vec<StatRow> {
        let mut rows = Vec::new();
        for (name, backend) in &self.backends {
            for (server, s) in &backend.servers {
                let mean = s
                    .sums
                    .done_time
                    .checked_div(s.sums.done.max(1) as u32)
                    .unwrap_or_default();
                rows.push(StatRow {
                    backend: name.clone(),
                    server: server.clone(),
                    current: s.current,
                    total: s.total,
                    status: match s.state {
                        AdminState::Ready => "UP",
                        AdminState::Drain => "DRAIN",
                        AdminState::Maint => "MAINT",
                    }
                    .into(),
                    weight: u64::from(s.weight),
                    addr: s.addr.to_string(),
                    mean,
                    sums: Some(s.sums),
                    busy: s.busy,
                    waiting: s.queue,
                    ..StatRow::default()
                });
            }
            rows.push(StatRow {
                backend: name.clone(),
                server: "BACKEND".into(),
                of: RowType::Backend,
                denied: backend.denied,
                reqs: backend.reqs,
                status: "UP".into(),
                ..StatRow::default()
            });
        }
        rows
    }
}
