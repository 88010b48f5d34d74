//! Takes weight off hosts whose load stands out in the fleet.

use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::MachineTypeId;
use crate::statistics::median;
use crate::time::Time;
use std::collections::BTreeMap;

/// Multiple of the median load from which a host loses weight.
const OVERLOADED: f64 = 1.3;
/// Most of its weight that a host can lose.
const MAX_REDUCTION: f64 = 0.85;
/// Factor a second by which a host's weight goes down at the fastest: faster than up, as queues feed themselves.
const DECREASE_PER_SECOND: f64 = 0.9;
/// Factor a second by which a host's weight comes back.
const INCREASE_PER_SECOND: f64 = 1.05;
/// A median load under which no host is measured.
const MIN_MEDIAN_LOAD: f64 = 1e-6;

/// The part of its weight that one host has lost.
#[derive(Default)]
pub(crate) struct WeightReduction(f64);

impl WeightReduction {
    /// The part of its weight that it has kept.
    pub(crate) fn remaining(&self) -> f64 {
        1.0 - self.0
    }

    /// The part of its weight that it has lost.
    pub(crate) fn lost(&self) -> f64 {
        self.0
    }

    /// A step of `passed` seconds, for a load of `ratio` times the median.
    fn step(&mut self, ratio: f64, passed: f64) {
        let factor = if ratio > OVERLOADED {
            (OVERLOADED / ratio).max(DECREASE_PER_SECOND)
        } else {
            INCREASE_PER_SECOND
        };
        self.0 = (1.0 - (1.0 - self.0) * factor.powf(passed)).clamp(0.0, MAX_REDUCTION);
    }
}

/// How the loads of hosts are compared.
#[derive(Clone, Copy)]
enum LoadMeasure {
    /// By the load that hosts report, with all others.
    Reported,
    /// By response times, with hosts of the same machine type: most hosts report no load.
    Latency,
}

impl LoadMeasure {
    fn of_fleet(hosts: &HostRegistry, policy: &HostPolicy, now: Time) -> LoadMeasure {
        let usable = || hosts.iter().filter(|host| policy.is_usable(host, now));
        let reporting = usable().filter(|host| host.stats.load().is_some()).count();
        if reporting * 2 > usable().count() {
            LoadMeasure::Reported
        } else {
            LoadMeasure::Latency
        }
    }

    fn load(self, host: &Host) -> Option<f64> {
        match self {
            LoadMeasure::Reported => host.stats.load(),
            LoadMeasure::Latency => host.stats.latency_s(),
        }
    }

    /// The hosts that a host is compared with.
    fn group(self, host: &Host) -> MachineTypeId {
        match self {
            LoadMeasure::Reported => MachineTypeId::default(),
            LoadMeasure::Latency => host.machine_type(),
        }
    }
}

/// Moves each host's weight by its load, over `passed` seconds.
pub(crate) fn reduce_loaded_hosts(
    hosts: &mut HostRegistry,
    policy: &HostPolicy,
    now: Time,
    passed: f64,
) {
    let measure = LoadMeasure::of_fleet(hosts, policy, now);
    let medians = median_loads(hosts, policy, now, measure);
    for host in hosts.iter_mut() {
        let load = measure.load(host);
        let median = medians.get(&measure.group(host)).copied().flatten();
        if let (Some(load), Some(median)) = (load, median) {
            let ratio = load / median.max(MIN_MEDIAN_LOAD);
            host.weight_reduction.step(ratio, passed);
        }
    }
}

/// The median load of each group of usable hosts.
fn median_loads(
    hosts: &HostRegistry,
    policy: &HostPolicy,
    now: Time,
    measure: LoadMeasure,
) -> BTreeMap<MachineTypeId, Option<f64>> {
    let mut loads: BTreeMap<MachineTypeId, Vec<f64>> = BTreeMap::new();
    for host in hosts.iter().filter(|host| policy.is_usable(host, now)) {
        let group = loads.entry(measure.group(host)).or_default();
        group.extend(measure.load(host));
    }
    loads
        .into_iter()
        .map(|(group, loads)| (group, median(loads.into_iter())))
        .collect()
}
