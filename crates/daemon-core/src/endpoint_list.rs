//! The hosts as the file lists them, with what operators changed in it.

use crate::recovered_state::{Edit, RecoveredHost, RecoveredList};
use crate::time::unix_micros;
use pondarch_config::HostEntry;
use pondarch_config::hosts::HostState;
use pondarch_controller::DurationExt;
use pondarch_controller::{CellId, Endpoint, EndpointState, HostId, MachineTypeId, Time, ZoneId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Why an endpoint list is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum EndpointListError {
    /// The generation is lower than that of the list in force.
    #[error("the list's version fell from {held} to {new}: an older copy, not taken")]
    OlderGeneration {
        /// Generation of the list in force.
        held: u64,
        /// Generation of the rejected list.
        new: u64,
    },
}

/// One host, file and operators taken together.
#[derive(Clone, Debug)]
pub(crate) struct ListedHost {
    pub(crate) entry: HostEntry,
    pub(crate) started: Time,
    pub(crate) state: EndpointState,
    /// Since when it is to be left alone.
    pub(crate) draining_since: Option<Time>,
}

#[derive(Debug, Default)]
pub(crate) struct EndpointList {
    zones: Vec<String>,
    slow_start_window: Duration,
    file: Vec<HostEntry>,
    file_generation: Option<u64>,
    added: BTreeMap<HostId, HostEntry>,
    edits: BTreeMap<HostId, Edit>,
    pub(crate) hosts: BTreeMap<HostId, ListedHost>,
    /// Weights that go to the decisions instead of the listed ones.
    pub(crate) planned_weights: BTreeMap<HostId, f64>,
    machine_types: Vec<String>,
    racks: Vec<String>,
    /// Rises with every change that is given to the decisions.
    pub(crate) generation: u64,
    pub(crate) rejected_reason: Option<String>,
}

impl EndpointList {
    pub(crate) fn new(zones: Vec<String>, cold: Duration) -> EndpointList {
        EndpointList {
            zones,
            slow_start_window: cold,
            ..EndpointList::default()
        }
    }

    /// Applies the file. A generation that falls back is an older copy: it is refused.
    pub(crate) fn apply_file(
        &mut self,
        now: Time,
        version: Option<u64>,
        hosts: Vec<HostEntry>,
    ) -> Result<Vec<Endpoint>, EndpointListError> {
        if let (Some(held), Some(new)) = (self.file_generation, version)
            && new < held
        {
            let error = EndpointListError::OlderGeneration { held, new };
            self.rejected_reason = Some(error.to_string());
            return Err(error);
        }
        self.file = hosts;
        self.file_generation = version;
        self.rejected_reason = None;
        let listed = |id: &HostId| self.file.iter().any(|entry| *entry.name == *id.0);
        self.added.retain(|id, _| !listed(id));
        let added = &self.added;
        self.edits
            .retain(|id, _| listed(id) || added.contains_key(id));
        Ok(self.merge(now))
    }

    pub(crate) fn edit(
        &mut self,
        now: Time,
        host: &HostId,
        change: impl FnOnce(&mut Edit),
    ) -> Vec<Endpoint> {
        change(self.edits.entry(host.clone()).or_default());
        self.merge(now)
    }

    pub(crate) fn add(&mut self, now: Time, entry: HostEntry) -> Vec<Endpoint> {
        self.added.insert(HostId(entry.name.as_str().into()), entry);
        self.merge(now)
    }

    /// A host that only an operator listed is forgotten; one of the file is gone until that is taken back.
    pub(crate) fn remove(&mut self, now: Time, host: &HostId) -> Vec<Endpoint> {
        if self.added.remove(host).is_some() {
            self.edits.remove(host);
        } else {
            self.edits.entry(host.clone()).or_default().state = Some(HostState::Gone);
        }
        self.merge(now)
    }

    /// The file and the operators taken together; everything that changed is remembered.
    fn merge(&mut self, now: Time) -> Vec<Endpoint> {
        let first = self.hosts.is_empty();
        let mut known = BTreeMap::new();
        for entry in self.file.iter().chain(self.added.values()) {
            let id = HostId(entry.name.as_str().into());
            let edit = self.edits.get(&id).cloned().unwrap_or_default();
            let mut entry = entry.clone();
            entry.weight = edit.weight.unwrap_or(entry.weight);
            entry.address = edit.address.unwrap_or(entry.address);
            entry.state = edit.state.unwrap_or(entry.state);
            let before = self.hosts.get(&id);
            let state = match entry.state {
                HostState::Ready => EndpointState::Ready,
                HostState::Drain => EndpointState::Draining,
                HostState::Gone => EndpointState::Removed,
            };
            let draining_since = match state {
                EndpointState::Ready => None,
                _ => before.and_then(|known| known.draining_since).or(Some(now)),
            };
            let started = started(now, first, &entry, before);
            known.insert(
                id,
                ListedHost {
                    entry,
                    started,
                    state,
                    draining_since,
                },
            );
        }
        // A host that is listed no more stays known as gone: proxies may still hold it.
        for (id, old) in std::mem::take(&mut self.hosts) {
            let draining_since = old.draining_since.or(Some(now));
            known.entry(id).or_insert(ListedHost {
                state: EndpointState::Removed,
                draining_since,
                ..old
            });
        }
        // But not for ever: past the warming time, what has not come back would be new anyway.
        let kept = self.slow_start_window + Duration::from_millis(600_000);
        known.retain(|_, k| {
            k.state != EndpointState::Removed || k.draining_since.is_none_or(|at| now - at < kept)
        });
        self.hosts = known;
        self.endpoints()
    }

    /// What of it outlives the controller. Times are as they were then.
    pub(crate) fn to_recovered(&self) -> RecoveredList {
        let host = |(_, k): (&HostId, &ListedHost)| RecoveredHost {
            entry: k.entry.clone(),
            started_us: unix_micros(k.started),
            state: match k.state {
                EndpointState::Ready => HostState::Ready,
                EndpointState::Draining => HostState::Drain,
                EndpointState::Removed => HostState::Gone,
            },
            draining_since_us: k.draining_since.map(unix_micros),
        };
        RecoveredList {
            file: self.file.clone(),
            file_generation: self.file_generation,
            added: self.added.values().cloned().collect(),
            edits: self
                .edits
                .iter()
                .map(|(id, edit)| (id.0.to_string(), edit.clone()))
                .collect(),
            hosts: self.hosts.iter().map(host).collect(),
        }
    }

    /// Takes up what was known; gives the complete list for the decisions. Hosts in zones that the settings no longer have
    /// are left behind: the file says where they are now. None: no host was known, which is no list. Taken for one, it had
    /// proxies joined to tables without a host.
    pub(crate) fn recover(&mut self, old: RecoveredList) -> Option<Vec<Endpoint>> {
        let id = |name: &str| HostId(name.into());
        let zones = self.zones.clone();
        let fits = |entry: &HostEntry| zones.contains(&entry.zone);
        self.file = old.file.into_iter().filter(&fits).collect();
        self.file_generation = old.file_generation;
        self.added = old
            .added
            .into_iter()
            .filter(&fits)
            .map(|entry| (id(&entry.name), entry))
            .collect();
        self.edits = old
            .edits
            .into_iter()
            .map(|(name, edit)| (id(&name), edit))
            .collect();
        let known = |host: RecoveredHost| {
            let state = match host.state {
                HostState::Ready => EndpointState::Ready,
                HostState::Drain => EndpointState::Draining,
                HostState::Gone => EndpointState::Removed,
            };
            let started = Time::from_micros(host.started_us);
            let draining_since = host.draining_since_us.map(Time::from_micros);
            (
                id(&host.entry.name),
                ListedHost {
                    entry: host.entry,
                    started,
                    state,
                    draining_since,
                },
            )
        };
        self.hosts = old
            .hosts
            .into_iter()
            .filter(|host| fits(&host.entry))
            .map(known)
            .collect();
        (!self.hosts.is_empty()).then(|| self.endpoints())
    }

    /// The same hosts with other weights for the decisions.
    pub(crate) fn set_planned_weights(
        &mut self,
        planned_weights: BTreeMap<HostId, f64>,
    ) -> Vec<Endpoint> {
        self.planned_weights = planned_weights;
        self.endpoints()
    }

    /// The complete list for the decisions.
    fn endpoints(&mut self) -> Vec<Endpoint> {
        self.generation += 1;
        let planned_weights = &self.planned_weights;
        let listed = self
            .hosts
            .iter()
            .filter(|(_, k)| k.state != EndpointState::Removed);
        let zone = |name: &str| self.zones.iter().position(|z| z == name).unwrap_or(0) as u16;
        let machines = &mut self.machine_types;
        let racks = &mut self.racks;
        listed
            .map(|(id, k)| Endpoint {
                host: id.clone(),
                zone: ZoneId(zone(&k.entry.zone)),
                machine_type: MachineTypeId(number_of(machines, &k.entry.machine) as u16),
                cell: CellId(number_of(racks, &k.entry.rack) as u64),
                weight: planned_weights.get(id).copied().unwrap_or(k.entry.weight),
                started: k.started,
                state: k.state,
            })
            .collect()
    }

    /// Whether only an operator listed it.
    pub(crate) fn is_added(&self, host: &HostId) -> bool {
        self.added.contains_key(host)
    }

    pub(crate) fn must_drain(&self, host: &HostId) -> bool {
        self.hosts
            .get(host)
            .is_none_or(|k| k.state != EndpointState::Ready)
    }

    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.get(host).map(|k| k.entry.address)
    }

    pub(crate) fn is_warming_up(&self, host: &HostId, now: Time) -> bool {
        let started = self.hosts.get(host).map_or(Time::default(), |k| k.started);
        !started.is_unset() && now - started < self.slow_start_window
    }

    /// The part of its work that a host can do by now, at least.
    pub(crate) fn warm_fraction(&self, host: &HostId, now: Time, start_share: f64) -> f64 {
        let started = self.hosts.get(host).map_or(Time::default(), |k| k.started);
        if started.is_unset() || self.slow_start_window == Duration::ZERO {
            return 1.0;
        }
        (start_share + (1.0 - start_share) * (now - started).ratio(self.slow_start_window)).min(1.0)
    }

    pub(crate) fn zone_of(&self, known: &ListedHost) -> ZoneId {
        ZoneId(
            self.zones
                .iter()
                .position(|zone| *zone == known.entry.zone)
                .unwrap_or(0) as u16,
        )
    }

    pub(crate) fn zones(&self) -> &[String] {
        &self.zones
    }
}

/// When a host's process started, as far as is known. The list's `started` counts. Without it, a host of the first
/// list has long run; one that is new later, or is back, or has another address, is another process: it is
/// warming up from now on.
fn started(now: Time, first: bool, entry: &HostEntry, before: Option<&ListedHost>) -> Time {
    if let Some(seconds) = entry.started {
        return Time::from_micros((seconds * 1e6) as u64);
    }
    match before {
        None if first => Time::default(),
        Some(k) if k.state != EndpointState::Removed && k.entry.address == entry.address => {
            k.started
        }
        _ => now,
    }
}

fn number_of(names: &mut Vec<String>, name: &str) -> usize {
    names
        .iter()
        .position(|held| held == name)
        .unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        })
}
