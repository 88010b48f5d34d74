//! The hosts as the file lists them, with what operators said over it.

use crate::recovered_state::{Edit, RecoveredHost, RecoveredList};
use crate::time::micros;
use pondarch_config::HostEntry;
use pondarch_config::hosts::HostState;
use pondarch_controller::DurationExt;
use pondarch_controller::{CellId, Endpoint, EndpointState, HostId, MachineTypeId, Time, ZoneId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One host, file and operators taken together.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub(crate) entry: HostEntry,
    pub(crate) started: Time,
    pub(crate) standing: EndpointState,
    /// Since when it is to be left alone.
    pub(crate) told_away: Option<Time>,
}

#[derive(Debug, Default)]
pub(crate) struct HostList {
    zones: Vec<String>,
    cold: Duration,
    file: Vec<HostEntry>,
    file_version: Option<u64>,
    added: BTreeMap<HostId, HostEntry>,
    edits: BTreeMap<HostId, Edit>,
    pub(crate) known: BTreeMap<HostId, Known>,
    /// Weights that go to the module instead of the listed ones.
    pub(crate) handed: BTreeMap<HostId, f64>,
    machines: Vec<String>,
    racks: Vec<String>,
    /// Rises with every change that the module is told of.
    pub(crate) version: u64,
    pub(crate) refused: Option<String>,
}

impl HostList {
    pub(crate) fn new(zones: Vec<String>, cold: Duration) -> HostList {
        HostList {
            zones,
            cold,
            ..HostList::default()
        }
    }

    /// The file's word. A version that falls back is an older copy: it is refused.
    pub(crate) fn file_came(
        &mut self,
        now: Time,
        version: Option<u64>,
        hosts: Vec<HostEntry>,
    ) -> Result<Vec<Endpoint>, String> {
        if let (Some(held), Some(new)) = (self.file_version, version)
            && new < held
        {
            let wrong =
                format!("the list's version fell from {held} to {new}: an older copy, not taken");
            self.refused = Some(wrong.clone());
            return Err(wrong);
        }
        (self.file, self.file_version, self.refused) = (hosts, version, None);
        let listed = |id: &HostId| self.file.iter().any(|entry| *entry.name == *id.0);
        self.added.retain(|id, _| !listed(id));
        let added = &self.added;
        self.edits
            .retain(|id, _| listed(id) || added.contains_key(id));
        Ok(self.listings(now))
    }

    pub(crate) fn edit(
        &mut self,
        now: Time,
        host: &HostId,
        change: impl FnOnce(&mut Edit),
    ) -> Vec<Endpoint> {
        change(self.edits.entry(host.clone()).or_default());
        self.listings(now)
    }

    pub(crate) fn add(&mut self, now: Time, entry: HostEntry) -> Vec<Endpoint> {
        self.added.insert(HostId(entry.name.as_str().into()), entry);
        self.listings(now)
    }

    /// A host that only an operator listed is forgotten; one of the file is gone until that is taken back.
    pub(crate) fn remove(&mut self, now: Time, host: &HostId) -> Vec<Endpoint> {
        if self.added.remove(host).is_some() {
            self.edits.remove(host);
        } else {
            self.edits.entry(host.clone()).or_default().state = Some(HostState::Gone);
        }
        self.listings(now)
    }

    /// The file and the operators taken together; everything that changed is remembered.
    fn listings(&mut self, now: Time) -> Vec<Endpoint> {
        let first = self.known.is_empty();
        let mut known = BTreeMap::new();
        for entry in self.file.iter().chain(self.added.values()) {
            let id = HostId(entry.name.as_str().into());
            let edit = self.edits.get(&id).cloned().unwrap_or_default();
            let mut entry = entry.clone();
            entry.weight = edit.weight.unwrap_or(entry.weight);
            entry.address = edit.address.unwrap_or(entry.address);
            entry.state = edit.state.unwrap_or(entry.state);
            let before = self.known.get(&id);
            let standing = match entry.state {
                HostState::Ready => EndpointState::Ready,
                HostState::Drain => EndpointState::Draining,
                HostState::Gone => EndpointState::Removed,
            };
            let told_away = match standing {
                EndpointState::Ready => None,
                _ => before.and_then(|known| known.told_away).or(Some(now)),
            };
            let started = started(now, first, &entry, before);
            known.insert(
                id,
                Known {
                    entry,
                    started,
                    standing,
                    told_away,
                },
            );
        }
        // A host that is listed no more stays known as gone: proxies may still hold it.
        for (id, old) in std::mem::take(&mut self.known) {
            let told_away = old.told_away.or(Some(now));
            known.entry(id).or_insert(Known {
                standing: EndpointState::Removed,
                told_away,
                ..old
            });
        }
        // But not for ever: past the warming time, what has not come back would be new anyway.
        let kept = self.cold + Duration::from_millis(600_000);
        known.retain(|_, k| {
            k.standing != EndpointState::Removed || k.told_away.is_none_or(|at| now - at < kept)
        });
        self.known = known;
        self.complete()
    }

    /// What of it outlives the steward. Times are as they were then.
    pub(crate) fn remembered(&self) -> RecoveredList {
        let host = |(_, k): (&HostId, &Known)| RecoveredHost {
            entry: k.entry.clone(),
            started_us: micros(k.started),
            state: match k.standing {
                EndpointState::Ready => HostState::Ready,
                EndpointState::Draining => HostState::Drain,
                EndpointState::Removed => HostState::Gone,
            },
            draining_since_us: k.told_away.map(micros),
        };
        RecoveredList {
            file: self.file.clone(),
            file_generation: self.file_version,
            added: self.added.values().cloned().collect(),
            edits: self
                .edits
                .iter()
                .map(|(id, edit)| (id.0.to_string(), edit.clone()))
                .collect(),
            hosts: self.known.iter().map(host).collect(),
        }
    }

    /// Takes up what was known; gives the complete list for the module. Hosts in zones that the settings no longer have
    /// are left behind: the file says where they are now. None: no host was known, which is no list. Taken for one, it had
    /// proxies joined to tables without a host.
    pub(crate) fn recover(&mut self, old: RecoveredList) -> Option<Vec<Endpoint>> {
        let id = |name: &str| HostId(name.into());
        let zones = self.zones.clone();
        let fits = |entry: &HostEntry| zones.contains(&entry.zone);
        self.file = old.file.into_iter().filter(&fits).collect();
        self.file_version = old.file_generation;
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
            let standing = match host.state {
                HostState::Ready => EndpointState::Ready,
                HostState::Drain => EndpointState::Draining,
                HostState::Gone => EndpointState::Removed,
            };
            let (started, told_away) = (
                Time::from_micros(host.started_us),
                host.draining_since_us.map(Time::from_micros),
            );
            (
                id(&host.entry.name),
                Known {
                    entry: host.entry,
                    started,
                    standing,
                    told_away,
                },
            )
        };
        self.known = old
            .hosts
            .into_iter()
            .filter(|host| fits(&host.entry))
            .map(known)
            .collect();
        (!self.known.is_empty()).then(|| self.complete())
    }

    /// The same hosts with other weights for the module.
    pub(crate) fn reweigh(&mut self, handed: BTreeMap<HostId, f64>) -> Vec<Endpoint> {
        self.handed = handed;
        self.complete()
    }

    /// The complete list for the module.
    fn complete(&mut self) -> Vec<Endpoint> {
        self.version += 1;
        let handed = &self.handed;
        let listed = self
            .known
            .iter()
            .filter(|(_, k)| k.standing != EndpointState::Removed);
        let zone = |name: &str| self.zones.iter().position(|z| z == name).unwrap_or(0) as u16;
        let (machines, racks) = (&mut self.machines, &mut self.racks);
        listed
            .map(|(id, k)| Endpoint {
                host: id.clone(),
                zone: ZoneId(zone(&k.entry.zone)),
                machine_type: MachineTypeId(number_of(machines, &k.entry.machine) as u16),
                cell: CellId(number_of(racks, &k.entry.rack) as u64),
                weight: handed.get(id).copied().unwrap_or(k.entry.weight),
                started: k.started,
                state: k.standing,
            })
            .collect()
    }

    /// Whether only an operator listed it.
    pub(crate) fn is_added(&self, host: &HostId) -> bool {
        self.added.contains_key(host)
    }

    pub(crate) fn must_go(&self, host: &HostId) -> bool {
        self.known
            .get(host)
            .is_none_or(|k| k.standing != EndpointState::Ready)
    }

    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        self.known.get(host).map(|k| k.entry.address)
    }

    pub(crate) fn is_cold(&self, host: &HostId, now: Time) -> bool {
        let started = self.known.get(host).map_or(Time::default(), |k| k.started);
        !started.is_unset() && now - started < self.cold
    }

    /// The part of its work that a host can do by now, at least.
    pub(crate) fn warm(&self, host: &HostId, now: Time, start_share: f64) -> f64 {
        let started = self.known.get(host).map_or(Time::default(), |k| k.started);
        if started.is_unset() || self.cold == Duration::ZERO {
            return 1.0;
        }
        (start_share + (1.0 - start_share) * (now - started).ratio(self.cold)).min(1.0)
    }

    pub(crate) fn zone_of(&self, known: &Known) -> ZoneId {
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

/// When a host's process started, as far as can be told. The list's word counts. Without it, a host of the first
/// list has long run; one that is new later, or is back, or has another address, is another process: it starts
/// cold now.
fn started(now: Time, first: bool, entry: &HostEntry, before: Option<&Known>) -> Time {
    if let Some(seconds) = entry.started {
        return Time::from_micros((seconds * 1e6) as u64);
    }
    match before {
        None if first => Time::default(),
        Some(k) if k.standing != EndpointState::Removed && k.entry.address == entry.address => {
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
