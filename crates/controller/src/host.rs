//! Hosts: their entries in the endpoint list and the state that other modules keep for each host.

use crate::attempt_stats::AttemptStats;
use crate::endpoint::{Endpoint, EndpointList, EndpointState};
use crate::ids::{HostId, MachineTypeId, ZoneId};
use crate::memberships::Memberships;
use crate::outlier_detection::Ejection;
use crate::statistics::stable_hash;
use crate::time::Time;
use crate::transitions::ObservedPhase;
use crate::weight_reduction::WeightReduction;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a removed host that is in no table is kept: late reports have arrived by then.
const REMOVED_HOST_RETENTION: Duration = Duration::from_millis(30_000);

/// The state of one host.
pub(crate) struct Host {
    id: HostId,
    tie_breaker: u64,
    zone: ZoneId,
    machine_type: MachineTypeId,
    weight: f64,
    started: Time,
    /// The latest listed start time, which may lie in the future.
    listed_start: Time,
    state: EndpointState,
    drain_listed: bool,
    pub(crate) stats: AttemptStats,
    pub(crate) ejection: Ejection,
    pub(crate) weight_reduction: WeightReduction,
    /// Whether it may be in the table of its zone.
    pub(crate) may_serve_zone: bool,
    pub(crate) memberships: Memberships,
    /// The phase and start time last observed for logging.
    pub(crate) observed_phase: Option<ObservedPhase>,
}

impl Host {
    fn new(id: HostId) -> Host {
        let tie_breaker =
            id.0.bytes()
                .fold(0, |hash, byte| stable_hash(hash ^ u64::from(byte)));
        Host {
            id,
            tie_breaker,
            zone: ZoneId::default(),
            machine_type: MachineTypeId::default(),
            weight: 0.0,
            started: Time::default(),
            listed_start: Time::default(),
            state: EndpointState::Removed,
            drain_listed: false,
            stats: AttemptStats::default(),
            ejection: Ejection::default(),
            weight_reduction: WeightReduction::default(),
            may_serve_zone: false,
            memberships: Memberships::default(),
            observed_phase: None,
        }
    }

    pub(crate) fn id(&self) -> &HostId {
        &self.id
    }

    /// Returns its ID and its mutable memberships.
    pub(crate) fn id_and_memberships_mut(&mut self) -> (&HostId, &mut Memberships) {
        (&self.id, &mut self.memberships)
    }

    /// Returns a hash that breaks ties between otherwise equal hosts, the same at every controller.
    pub(crate) fn tie_breaker(&self) -> u64 {
        self.tie_breaker
    }

    pub(crate) fn zone(&self) -> ZoneId {
        self.zone
    }

    pub(crate) fn machine_type(&self) -> MachineTypeId {
        self.machine_type
    }

    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    pub(crate) fn started(&self) -> Time {
        self.started
    }

    pub(crate) fn state(&self) -> EndpointState {
        self.state
    }

    /// Returns whether it has been listed as draining since its last start.
    pub(crate) fn drain_was_listed(&self) -> bool {
        self.drain_listed
    }

    /// Applies an entry of the endpoint list.
    fn update(&mut self, now: Time, endpoint: &Endpoint) {
        // A later start time means a restart, even if the host was never listed as removed.
        if endpoint.started > self.listed_start || self.state == EndpointState::Removed {
            self.restart(now);
        }
        self.zone = endpoint.zone;
        self.machine_type = endpoint.machine_type;
        // Another registry may be behind, and a host's clock may be ahead: the start time never decreases and never
        // lies in the future.
        self.started = self.started.max(endpoint.started.min(now));
        self.listed_start = self.listed_start.max(endpoint.started);
        let has_valid_weight = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        self.weight = if has_valid_weight {
            endpoint.weight
        } else {
            1.0
        };
        self.state = endpoint.state;
        self.drain_listed |= endpoint.state == EndpointState::Draining;
    }

    /// Resets everything but its identity and its memberships.
    fn restart(&mut self, now: Time) {
        self.drain_listed = false;
        self.stats = AttemptStats::new(now);
        self.ejection = Ejection::new(now);
        self.weight_reduction = WeightReduction::default();
    }

    /// Ends its ejection and returns it to the tables with a reduced weight.
    pub(crate) fn start_probation(&mut self, now: Time) {
        self.stats.reset(now);
        self.ejection.start_probation(now);
    }

    /// Returns whether it was removed and its retention time has passed.
    fn is_expired(&self, now: Time) -> bool {
        let silence = now - self.stats.last_report_at();
        self.state == EndpointState::Removed && silence > REMOVED_HOST_RETENTION
    }
}

/// The hosts in the order in which they became known. Other modules refer to hosts by their index.
#[derive(Default)]
pub(crate) struct HostRegistry {
    hosts: Vec<Host>,
    indexes: BTreeMap<HostId, usize>,
    generation: Option<u64>,
    changed: bool,
}

impl HostRegistry {
    pub(crate) fn len(&self) -> usize {
        self.hosts.len()
    }

    pub(crate) fn iter(&self) -> std::slice::Iter<'_, Host> {
        self.hosts.iter()
    }

    /// Returns the total weight of the hosts that are ready or draining.
    pub(crate) fn listed_weight(&self) -> f64 {
        let is_listed = |host: &&Host| host.state() != EndpointState::Removed;
        let listed = self.hosts.iter().filter(is_listed);
        listed.map(Host::weight).sum()
    }

    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Host> {
        self.hosts.iter_mut()
    }

    pub(crate) fn at(&self, index: usize) -> &Host {
        &self.hosts[index]
    }

    pub(crate) fn at_mut(&mut self, index: usize) -> &mut Host {
        &mut self.hosts[index]
    }

    pub(crate) fn get_mut(&mut self, id: &HostId) -> Option<&mut Host> {
        self.indexes.get(id).map(|&index| &mut self.hosts[index])
    }

    /// Returns whether an endpoint list has been received.
    pub(crate) fn has_list(&self) -> bool {
        self.generation.is_some()
    }

    /// Returns whether the hosts have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether changes with this generation are older than the current list. Complete lists are exempt, because
    /// another source may number them differently.
    pub(crate) fn is_outdated(&self, generation: u64) -> bool {
        self.generation.is_some_and(|current| generation < current)
    }

    /// Applies a list or changes to it. Hosts that are missing from a complete list are marked as removed.
    pub(crate) fn apply(&mut self, now: Time, list: &EndpointList) {
        self.changed = true;
        self.generation = Some(list.generation);
        if list.complete {
            self.mark_missing_removed(&list.endpoints);
        }
        for endpoint in &list.endpoints {
            self.entry(&endpoint.host).update(now, endpoint);
        }
    }

    fn mark_missing_removed(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<&HostId> = endpoints.iter().map(|endpoint| &endpoint.host).collect();
        for host in &mut self.hosts {
            if !listed.contains(&host.id) {
                host.state = EndpointState::Removed;
            }
        }
    }

    /// Returns the host with this ID. A host that was dropped is restored as a removed one, and stays out of use until the
    /// endpoint list names it again.
    pub(crate) fn get_or_restore(&mut self, id: &HostId) -> &mut Host {
        let is_restored = !self.indexes.contains_key(id);
        let host = self.entry(id);
        // It was out of use when it was dropped. A removal after a drain is final, whatever reports say later.
        host.drain_listed |= is_restored;
        host
    }

    fn entry(&mut self, id: &HostId) -> &mut Host {
        let next = self.hosts.len();
        let index = *self.indexes.entry(id.clone()).or_insert(next);
        if index == next {
            self.hosts.push(Host::new(id.clone()));
        }
        &mut self.hosts[index]
    }

    /// Returns the hosts whose retention time after removal has passed.
    pub(crate) fn expired_mut(&mut self, now: Time) -> impl Iterator<Item = &mut Host> {
        self.hosts
            .iter_mut()
            .filter(move |host| host.is_expired(now))
    }

    /// Drops expired hosts that are in no table. Host names change with each release, so memory would otherwise grow
    /// without bound. A host whose last update turns out not to have been applied is restored, see
    /// [`get_or_restore`](Self::get_or_restore).
    pub(crate) fn drop_expired(&mut self, now: Time) {
        let count_before = self.hosts.len();
        self.hosts
            .retain(|host| !host.is_expired(now) || !host.memberships.is_empty());
        if self.hosts.len() < count_before {
            let hosts = self.hosts.iter().enumerate();
            self.indexes = hosts
                .map(|(index, host)| (host.id.clone(), index))
                .collect();
            self.changed = true;
        }
    }
}
