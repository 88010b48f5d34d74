//! The hosts of the hosts file, with the changes that operators made to them.

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

/// One host, as merged from the hosts file and the operators' changes.
#[derive(Clone, Debug)]
pub(crate) struct ListedHost {
    pub(crate) entry: HostEntry,
    pub(crate) started: Time,
    pub(crate) state: EndpointState,
    /// Since when proxies are to send it no new requests; none: it serves.
    pub(crate) draining_since: Option<Time>,
}

#[derive(Debug, Default)]
pub(crate) struct EndpointList {
    zones: Vec<String>,
    slow_start_window: Duration,
    file: Vec<HostEntry>,
    file_generation: Option<u64>,
    /// Hosts that only operators listed.
    added: BTreeMap<HostId, HostEntry>,
    /// Operators' changes, which override the entries of the file.
    edits: BTreeMap<HostId, Edit>,
    pub(crate) hosts: BTreeMap<HostId, ListedHost>,
    /// Weights that the controller gets instead of the listed ones.
    pub(crate) planned_weights: BTreeMap<HostId, f64>,
    machine_types: Vec<String>,
    racks: Vec<String>,
    /// Rises with every list that is given to the controller.
    pub(crate) generation: u64,
    /// Why the latest list was rejected; none: it was applied.
    pub(crate) rejected_reason: Option<String>,
}

impl EndpointList {
    pub(crate) fn new(zones: Vec<String>, slow_start_window: Duration) -> EndpointList {
        EndpointList {
            zones,
            slow_start_window,
            ..EndpointList::default()
        }
    }

    /// Applies the hosts file. A lower generation than the last one means an older copy, which is rejected.
    pub(crate) fn apply_file(
        &mut self,
        now: Time,
        generation: Option<u64>,
        hosts: Vec<HostEntry>,
    ) -> Result<Vec<Endpoint>, EndpointListError> {
        if let (Some(held), Some(new)) = (self.file_generation, generation)
            && new < held
        {
            let error = EndpointListError::OlderGeneration { held, new };
            self.rejected_reason = Some(error.to_string());
            return Err(error);
        }
        self.file = hosts;
        self.file_generation = generation;
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

    /// Removes a host. One that only an operator listed is dropped; one of the file stays removed until an operator
    /// changes its state again.
    pub(crate) fn remove(&mut self, now: Time, host: &HostId) -> Vec<Endpoint> {
        if self.added.remove(host).is_some() {
            self.edits.remove(host);
        } else {
            self.edits.entry(host.clone()).or_default().state = Some(HostState::Gone);
        }
        self.merge(now)
    }

    /// Merges the file with the operators' changes; keeps start times, and since when hosts drain.
    fn merge(&mut self, now: Time) -> Vec<Endpoint> {
        let is_first_list = self.hosts.is_empty();
        let mut merged = BTreeMap::new();
        for entry in self.file.iter().chain(self.added.values()) {
            let id = HostId(entry.name.as_str().into());
            let edit = self.edits.get(&id).cloned().unwrap_or_default();
            let mut entry = entry.clone();
            entry.weight = edit.weight.unwrap_or(entry.weight);
            entry.address = edit.address.unwrap_or(entry.address);
            entry.state = edit.state.unwrap_or(entry.state);
            let previous = self.hosts.get(&id);
            let state = match entry.state {
                HostState::Ready => EndpointState::Ready,
                HostState::Drain => EndpointState::Draining,
                HostState::Gone => EndpointState::Removed,
            };
            let draining_since = match state {
                EndpointState::Ready => None,
                _ => previous.and_then(|host| host.draining_since).or(Some(now)),
            };
            let started = started(now, is_first_list, &entry, previous);
            merged.insert(
                id,
                ListedHost {
                    entry,
                    started,
                    state,
                    draining_since,
                },
            );
        }
        // A host that is no longer listed is kept as removed, because proxies may still hold it.
        for (id, old) in std::mem::take(&mut self.hosts) {
            let draining_since = old.draining_since.or(Some(now));
            merged.entry(id).or_insert(ListedHost {
                state: EndpointState::Removed,
                draining_since,
                ..old
            });
        }
        // It is dropped 10 minutes after the slow start window: if it is listed again then, it counts as new anyway.
        let retention = self.slow_start_window + Duration::from_millis(600_000);
        merged.retain(|_, host| {
            host.state != EndpointState::Removed
                || host
                    .draining_since
                    .is_none_or(|since| now - since < retention)
        });
        self.hosts = merged;
        self.endpoints()
    }

    /// The part of the list that survives a restart.
    pub(crate) fn to_recovered(&self) -> RecoveredList {
        let host = |(_, host): (&HostId, &ListedHost)| RecoveredHost {
            entry: host.entry.clone(),
            started_us: unix_micros(host.started),
            state: match host.state {
                EndpointState::Ready => HostState::Ready,
                EndpointState::Draining => HostState::Drain,
                EndpointState::Removed => HostState::Gone,
            },
            draining_since_us: host.draining_since.map(unix_micros),
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

    /// Restores the list of the previous run; returns the complete list for the controller. Hosts in zones that the
    /// settings no longer have are dropped: the file says where they are now. Returns none if no host was known:
    /// applying that as a list had joined proxies to tables without a host.
    pub(crate) fn recover(&mut self, recovered: RecoveredList) -> Option<Vec<Endpoint>> {
        let id = |name: &str| HostId(name.into());
        let zones = self.zones.clone();
        let is_in_zone = |entry: &HostEntry| zones.contains(&entry.zone);
        self.file = recovered.file.into_iter().filter(&is_in_zone).collect();
        self.file_generation = recovered.file_generation;
        self.added = recovered
            .added
            .into_iter()
            .filter(&is_in_zone)
            .map(|entry| (id(&entry.name), entry))
            .collect();
        self.edits = recovered
            .edits
            .into_iter()
            .map(|(name, edit)| (id(&name), edit))
            .collect();
        let listed_host = |host: RecoveredHost| {
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
        self.hosts = recovered
            .hosts
            .into_iter()
            .filter(|host| is_in_zone(&host.entry))
            .map(listed_host)
            .collect();
        (!self.hosts.is_empty()).then(|| self.endpoints())
    }

    /// Sets the planned weights; returns the complete list for the controller.
    pub(crate) fn set_planned_weights(
        &mut self,
        planned_weights: BTreeMap<HostId, f64>,
    ) -> Vec<Endpoint> {
        self.planned_weights = planned_weights;
        self.endpoints()
    }

    /// The complete list for the controller, as a new generation.
    fn endpoints(&mut self) -> Vec<Endpoint> {
        self.generation += 1;
        let planned_weights = &self.planned_weights;
        let listed = self
            .hosts
            .iter()
            .filter(|(_, host)| host.state != EndpointState::Removed);
        let zone = |name: &str| self.zones.iter().position(|zone| zone == name).unwrap_or(0) as u16;
        let machine_types = &mut self.machine_types;
        let racks = &mut self.racks;
        listed
            .map(|(id, host)| Endpoint {
                host: id.clone(),
                zone: ZoneId(zone(&host.entry.zone)),
                machine_type: MachineTypeId(index_of(machine_types, &host.entry.machine) as u16),
                cell: CellId(index_of(racks, &host.entry.rack) as u64),
                weight: planned_weights
                    .get(id)
                    .copied()
                    .unwrap_or(host.entry.weight),
                started: host.started,
                state: host.state,
            })
            .collect()
    }

    /// Whether the host is listed by an operator and not by the file.
    pub(crate) fn is_added(&self, host: &HostId) -> bool {
        self.added.contains_key(host)
    }

    /// Whether proxies are to send the host no new requests; true for a host that is not known.
    pub(crate) fn must_drain(&self, host: &HostId) -> bool {
        self.hosts
            .get(host)
            .is_none_or(|host| host.state != EndpointState::Ready)
    }

    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.get(host).map(|host| host.entry.address)
    }

    pub(crate) fn is_warming_up(&self, host: &HostId, now: Time) -> bool {
        let started = self
            .hosts
            .get(host)
            .map_or(Time::default(), |host| host.started);
        !started.is_unset() && now - started < self.slow_start_window
    }

    /// The fraction of its full load that a host can take by now, at least.
    pub(crate) fn warm_fraction(&self, host: &HostId, now: Time, start_share: f64) -> f64 {
        let started = self
            .hosts
            .get(host)
            .map_or(Time::default(), |host| host.started);
        if started.is_unset() || self.slow_start_window == Duration::ZERO {
            return 1.0;
        }
        (start_share + (1.0 - start_share) * (now - started).ratio(self.slow_start_window)).min(1.0)
    }

    pub(crate) fn zone_of(&self, host: &ListedHost) -> ZoneId {
        ZoneId(
            self.zones
                .iter()
                .position(|zone| *zone == host.entry.zone)
                .unwrap_or(0) as u16,
        )
    }

    pub(crate) fn zones(&self) -> &[String] {
        &self.zones
    }
}

/// When a host's process started, as far as is known: the `started` of the list, if it is given. Without it, a host of
/// the first list counts as running for long. A host that is new in a later list, returns, or has another address is a
/// new process, which is warming up from now on.
fn started(
    now: Time,
    is_first_list: bool,
    entry: &HostEntry,
    previous: Option<&ListedHost>,
) -> Time {
    if let Some(seconds) = entry.started {
        return Time::from_micros((seconds * 1e6) as u64);
    }
    match previous {
        None if is_first_list => Time::default(),
        Some(host)
            if host.state != EndpointState::Removed && host.entry.address == entry.address =>
        {
            host.started
        }
        _ => now,
    }
}

/// The index of a name, which is appended if it is new.
fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.to_string());
            names.len() - 1
        })
}
