//! The maps. They show decisions and observations; the zone map can be set.

use super::error::OperatorError;
use crate::endpoint_list::ListedHost;
use crate::peer::{LinkState, Peer};
use crate::state::DaemonState;
use crate::table_assignments::{ClassAdmission, TableAssignment};
use pondarch_config::HostEntry;
use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, TableId, Time};
use pondarch_proxy_session::proxy_state;
use pondarch_runtime_api::info::write_map;
use std::collections::{BTreeMap, BTreeSet};

/// Name of the zone map; it can be set because `add server` has no argument for a zone.
const ZONES: &str = "zones";

/// Each map with its description, in the order of `show map`. The descriptions are part of the reply.
const MAPS: [(&str, &str); 8] = [
    ("levels", "share let in by table and kind"),
    ("tries", "when proxies try again, by table and kind"),
    ("proxies", "each proxy's link and table"),
    ("weights", "the weight that decisions go by, by host"),
    (
        "lingering",
        "hosts in no table that DNS caches may still hold, and for how many seconds",
    ),
    (
        "owed",
        "hosts to be left alone that proxies may still hold, since when and by whom",
    ),
    (
        "secondaries",
        "copies of the DNS zone: what each holds, and for how long it is behind",
    ),
    (ZONES, "zone by host; can be set"),
];

/// The entries of a map, by key.
type Entries = BTreeMap<String, String>;

pub(super) fn list() -> String {
    let line = |(id, (name, description)): (usize, &(&str, &str))| {
        format!("{id} ({name}) pondarch: {description}\n")
    };
    std::iter::once("# id (file) description\n".to_string())
        .chain(MAPS.iter().enumerate().map(line))
        .collect()
}

pub(super) fn show(
    state: &DaemonState,
    map: &str,
    version: Option<u64>,
) -> Result<String, OperatorError> {
    let Some(version) = version else {
        return Ok(write_map(entries(state, map)?.iter()));
    };
    require_settable(state, map)?;
    Ok(write_map(state.zones.version(version)?.iter()))
}

pub(super) fn get(state: &DaemonState, map: &str, key: &str) -> Result<String, OperatorError> {
    Ok(match entries(state, map)?.get(key) {
        Some(value) => {
            format!("type=str, case=sensitive, found=yes, key=\"{key}\", value=\"{value}\"\n")
        }
        None => "type=str, case=sensitive, found=no\n".into(),
    })
}

pub(super) fn add(
    state: &mut DaemonState,
    map: &str,
    version: Option<u64>,
    key: &str,
    value: &str,
) -> Result<String, OperatorError> {
    require_settable(state, map)?;
    set_zone(state, version, key, value)
}

pub(super) fn set(
    state: &mut DaemonState,
    map: &str,
    key: &str,
    value: &str,
) -> Result<String, OperatorError> {
    require_settable(state, map)?;
    if state.zones.zone_of_host(key).is_none() {
        return Err(OperatorError::EntryNotFound);
    }
    set_zone(state, None, key, value)
}

pub(super) fn delete(
    state: &mut DaemonState,
    map: &str,
    key: &str,
) -> Result<String, OperatorError> {
    require_settable(state, map)?;
    if !state.zones.remove(key) {
        return Err(OperatorError::EntryNotFound);
    }
    Ok(String::new())
}

pub(super) fn clear(
    state: &mut DaemonState,
    map: &str,
    version: Option<u64>,
) -> Result<String, OperatorError> {
    require_settable(state, map)?;
    state.zones.clear(version)?;
    Ok(String::new())
}

pub(super) fn prepare(state: &mut DaemonState, map: &str) -> Result<String, OperatorError> {
    require_settable(state, map)?;
    Ok(format!("New version created: {}\n", state.zones.prepare()))
}

pub(super) fn commit(
    state: &mut DaemonState,
    map: &str,
    version: u64,
) -> Result<String, OperatorError> {
    require_settable(state, map)?;
    state.zones.commit(version)?;
    apply_zones(state);
    Ok(String::new())
}

fn require_settable(state: &DaemonState, map: &str) -> Result<(), OperatorError> {
    if map == ZONES {
        return Ok(());
    }
    entries(state, map)?;
    Err(OperatorError::MapIsReadOnly { map: map.into() })
}

fn set_zone(
    state: &mut DaemonState,
    version: Option<u64>,
    key: &str,
    zone: &str,
) -> Result<String, OperatorError> {
    let id = HostId(key.into());
    if !state.endpoints.zones().iter().any(|known| known == zone) {
        return Err(OperatorError::UnknownZone {
            zone: zone.into(),
            zones: state.endpoints.zones().to_vec(),
        });
    }
    if state.endpoints.hosts.contains_key(&id) && !state.endpoints.is_added(&id) {
        return Err(OperatorError::ZoneIsFromFile);
    }
    state.zones.set(version, key, zone)?;
    if version.is_none() {
        apply_zones(state);
    }
    Ok(String::new())
}

/// Moves the hosts that operators added to the zones that the map gives them.
fn apply_zones(state: &mut DaemonState) {
    let zone = |id: &HostId| state.zones.zone_of_host(&id.0).cloned();
    let added = state
        .endpoints
        .hosts
        .iter()
        .filter(|(id, _)| state.endpoints.is_added(id));
    let moved: Vec<HostEntry> = added
        .filter_map(|(id, host)| Some((zone(id)?, host.entry.clone())))
        .filter(|(zone, entry)| *zone != entry.zone)
        .map(|(zone, entry)| HostEntry { zone, ..entry })
        .collect();
    for entry in moved {
        let endpoints = state.endpoints.add(state.now, entry);
        state.apply_endpoints(endpoints);
    }
}

fn entries(state: &DaemonState, map: &str) -> Result<Entries, OperatorError> {
    match map {
        "levels" => Ok(by_class(state, |admission| admission.quota.to_string())),
        "tries" => Ok(by_class(state, |admission| {
            proxy_state::retry_policy_value(admission.retry_policy).to_string()
        })),
        "proxies" => Ok(proxies(state)),
        "lingering" => Ok(lingering(state)),
        "owed" => Ok(state.undrained_hosts()),
        "secondaries" => Ok(state
            .dns
            .as_ref()
            .map(|dns| dns.secondary_states(state.now))
            .unwrap_or_default()),
        "weights" => Ok(weights(state)),
        ZONES => Ok(zones(state)),
        _ => Err(OperatorError::UnknownMap),
    }
}

fn by_class(state: &DaemonState, value: fn(&ClassAdmission) -> String) -> Entries {
    let entries_of_table = |(table, assignment): (&TableId, &TableAssignment)| {
        let key = |class: usize| format!("table-{}/{}", table.0, state.request_classes[class]);
        let entries = assignment
            .admission
            .iter()
            .map(|(class, admission)| (key(class.0 as usize), value(admission)));
        entries.collect::<Vec<_>>()
    };
    state
        .tables
        .by_id
        .iter()
        .flat_map(entries_of_table)
        .collect()
}

fn proxies(state: &DaemonState) -> Entries {
    let entry = |peer: &Peer| (peer.name.clone(), link_text(peer));
    state.peers.iter().map(entry).collect()
}

/// The text for the state of a proxy's connection in the map `proxies`.
fn link_text(peer: &Peer) -> String {
    match peer.link {
        LinkState::Disconnected(_) => "down".into(),
        LinkState::Dialling => "dialling".into(),
        LinkState::ReadingState => "looking".into(),
        LinkState::AwaitingJoin { .. } => "waits".into(),
        LinkState::Dns { joined: false } => "by name, not asking".into(),
        LinkState::Dns { joined: true } | LinkState::Joined => {
            let tables: BTreeSet<_> = peer.bindings.values().collect();
            let names = tables.iter().map(|table| format!(" table-{}", table.0));
            let suffix = if !peer.is_joined() {
                " by name"
            } else if peer.pending_update.is_some() {
                " behind"
            } else {
                ""
            };
            format!("joined{}{suffix}", names.collect::<String>())
        }
    }
}

fn lingering(state: &DaemonState) -> Entries {
    let lingering = state
        .dns
        .as_ref()
        .map(|dns| dns.lingering(state.now))
        .unwrap_or_default();
    let remaining =
        |(host, until): (String, Time)| (host, format!("{:.1}", (until - state.now).seconds()));
    lingering.into_iter().map(remaining).collect()
}

fn weights(state: &DaemonState) -> Entries {
    let entry = |(id, host): (&HostId, &ListedHost)| {
        let planned = state.endpoints.planned_weights.get(id).copied();
        let weight = planned.unwrap_or(host.entry.weight);
        (id.0.to_string(), format!("{weight:.3}"))
    };
    state.endpoints.hosts.iter().map(entry).collect()
}

fn zones(state: &DaemonState) -> Entries {
    let entry = |(id, host): (&HostId, &ListedHost)| (id.0.to_string(), host.entry.zone.clone());
    let mut zones = state.zones.entries().clone();
    zones.extend(state.endpoints.hosts.iter().map(entry));
    zones
}
