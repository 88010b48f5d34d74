//! Hosts: what the endpoint list says of them, and what each concern keeps beside that.

use crate::attempt_stats::AttemptStats;
use crate::endpoint::{Endpoint, EndpointList, EndpointState};
use crate::ids::{HostId, MachineTypeId, ZoneId};
use crate::memberships::Memberships;
use crate::outlier_detection::Ejection;
use crate::statistics::stable_hash;
use crate::time::Time;
use crate::transitions::NotedPhase;
use crate::weight_reduction::WeightReduction;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after which a host that was removed, and is in no table, is forgotten: late reports have come by then.
const FORGET_AFTER: Duration = Duration::from_millis(30_000);

/// All that is known of one host.
pub(crate) struct Host {
    id: HostId,
    tie_breaker: u64,
    zone: ZoneId,
    machine_type: MachineTypeId,
    weight: f64,
    started: Time,
    /// Its start time as it was last listed.
    listed_start: Time,
    state: EndpointState,
    drain_listed: bool,
    pub(crate) stats: AttemptStats,
    pub(crate) ejection: Ejection,
    pub(crate) weight_reduction: WeightReduction,
    pub(crate) memberships: Memberships,
    /// What was last noted of it for logs.
    pub(crate) noted_phase: Option<NotedPhase>,
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
            memberships: Memberships::default(),
            noted_phase: None,
        }
    }

    pub(crate) fn id(&self) -> &HostId {
        &self.id
    }

    /// Who it is, and the tables that it is in, to change.
    pub(crate) fn id_and_memberships_mut(&mut self) -> (&HostId, &mut Memberships) {
        (&self.id, &mut self.memberships)
    }

    /// A number that orders hosts that are alike in all else, the same at every controller.
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

    /// Whether the list has said that it drains, since its start.
    pub(crate) fn drain_was_listed(&self) -> bool {
        self.drain_listed
    }

    /// Takes over an entry of the endpoint list.
    fn update(&mut self, now: Time, endpoint: &Endpoint) {
        // A new start time is a cold start, even of a host that was never announced as out.
        if endpoint.started > self.listed_start || self.state == EndpointState::Removed {
            self.restart(now);
        }
        self.zone = endpoint.zone;
        self.machine_type = endpoint.machine_type;
        // Another registry may be behind, and a machine's clock ahead: no start is undone, and none lies in the future.
        self.started = self.started.max(endpoint.started.min(now));
        self.listed_start = self.listed_start.max(endpoint.started);
        let is_stated = endpoint.weight.is_finite() && endpoint.weight > 0.0;
        self.weight = if is_stated { endpoint.weight } else { 1.0 };
        self.state = endpoint.state;
        self.drain_listed |= endpoint.state == EndpointState::Draining;
    }

    /// Forgets all but who it is and the tables that it is in.
    fn restart(&mut self, now: Time) {
        self.drain_listed = false;
        self.stats = AttemptStats::new(now);
        self.ejection = Ejection::new(now);
        self.weight_reduction = WeightReduction::default();
    }

    /// Puts it back on a small weight after an ejection.
    pub(crate) fn start_probation(&mut self, now: Time) {
        self.stats.reset(now);
        self.ejection.start_probation(now);
    }

    fn is_forgettable(&self, now: Time) -> bool {
        let silence = now - self.stats.last_report_at();
        self.state == EndpointState::Removed && silence > FORGET_AFTER
    }
}

/// The hosts in the order in which they became known; other modules name them by their place in it.
#[derive(Default)]
pub(crate) struct HostRegistry {
    hosts: Vec<Host>,
    places: BTreeMap<HostId, usize>,
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

    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, Host> {
        self.hosts.iter_mut()
    }

    pub(crate) fn at(&self, place: usize) -> &Host {
        &self.hosts[place]
    }

    pub(crate) fn at_mut(&mut self, place: usize) -> &mut Host {
        &mut self.hosts[place]
    }

    pub(crate) fn get_mut(&mut self, id: &HostId) -> Option<&mut Host> {
        self.places.get(id).map(|&place| &mut self.hosts[place])
    }

    /// Whether an endpoint list has come.
    pub(crate) fn has_list(&self) -> bool {
        self.generation.is_some()
    }

    /// Whether the list has changed since this was asked last.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether changes of this generation are older than the list. A complete list never is: another source numbers
    /// otherwise.
    pub(crate) fn is_outdated(&self, generation: u64) -> bool {
        self.generation.is_some_and(|current| generation < current)
    }

    /// Applies a list, or changes to it. On a complete list, whoever is missing is removed.
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

    fn entry(&mut self, id: &HostId) -> &mut Host {
        let next = self.hosts.len();
        let place = *self.places.entry(id.clone()).or_insert(next);
        if place == next {
            self.hosts.push(Host::new(id.clone()));
        }
        &mut self.hosts[place]
    }

    /// Hosts that were removed long ago.
    pub(crate) fn forgettable_mut(&mut self, now: Time) -> impl Iterator<Item = &mut Host> {
        self.hosts
            .iter_mut()
            .filter(move |host| host.is_forgettable(now))
    }

    /// Forgets hosts that were removed long ago and are in no table: names change with each release, and nothing may
    /// grow for ever.
    pub(crate) fn forget_unused(&mut self, now: Time) {
        let known = self.hosts.len();
        self.hosts
            .retain(|host| !host.is_forgettable(now) || !host.memberships.is_empty());
        if self.hosts.len() < known {
            let places = self.hosts.iter().enumerate();
            self.places = places
                .map(|(place, host)| (host.id.clone(), place))
                .collect();
            self.changed = true;
        }
    }
}
