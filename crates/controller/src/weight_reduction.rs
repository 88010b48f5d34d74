//! Reduces the weight of hosts whose load is high compared to the fleet.

use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::MachineTypeId;
use crate::statistics::median;
use crate::time::Time;
use std::collections::BTreeMap;

/// Ratio of a host's load to the median above which its weight is reduced.
const MAX_LOAD_RATIO: f64 = 1.3;
/// Maximum fraction of its weight that a host loses.
const MAX_REDUCTION: f64 = 0.85;
/// Fastest decrease of a weight, as a factor per second. It is faster than the increase, because queues reinforce
/// themselves.
const DECREASE_PER_SECOND: f64 = 0.9;
/// Increase of a reduced weight, as a factor per second.
const INCREASE_PER_SECOND: f64 = 1.05;
/// Minimum divisor for a median load.
const MIN_MEDIAN_LOAD: f64 = 1e-6;

/// The fraction by which one host's weight is reduced.
#[derive(Default)]
pub(crate) struct WeightReduction(f64);

impl WeightReduction {
    /// Returns the fraction of its weight that the host keeps.
    pub(crate) fn remaining(&self) -> f64 {
        1.0 - self.0
    }

    /// Returns the fraction of its weight that the host loses.
    pub(crate) fn lost(&self) -> f64 {
        self.0
    }

    /// Adjusts the reduction over `elapsed_s` seconds for a load of `ratio` times the median.
    fn adjust(&mut self, ratio: f64, elapsed_s: f64) {
        let factor = if ratio > MAX_LOAD_RATIO {
            (MAX_LOAD_RATIO / ratio).max(DECREASE_PER_SECOND)
        } else {
            INCREASE_PER_SECOND
        };
        self.0 = (1.0 - (1.0 - self.0) * factor.powf(elapsed_s)).clamp(0.0, MAX_REDUCTION);
    }
}

/// How the loads of hosts are compared.
#[derive(Clone, Copy)]
enum LoadMeasure {
    /// By reported load, compared with all other hosts.
    Reported,
    /// By latency, compared with hosts of the same machine type; used if most hosts report no load.
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

    /// Returns the group of hosts that a host is compared with.
    fn group(self, host: &Host) -> MachineTypeId {
        match self {
            LoadMeasure::Reported => MachineTypeId::default(),
            LoadMeasure::Latency => host.machine_type(),
        }
    }
}

/// Adjusts the weight reduction of each host by its load over `elapsed_s` seconds.
pub(crate) fn update_weight_reductions(
    hosts: &mut HostRegistry,
    policy: &HostPolicy,
    now: Time,
    elapsed_s: f64,
) {
    let measure = LoadMeasure::of_fleet(hosts, policy, now);
    let medians = median_loads(hosts, policy, now, measure);
    for host in hosts.iter_mut() {
        let load = measure.load(host);
        let median = medians.get(&measure.group(host)).copied().flatten();
        if let (Some(load), Some(median)) = (load, median) {
            let ratio = load / median.max(MIN_MEDIAN_LOAD);
            host.weight_reduction.adjust(ratio, elapsed_s);
        }
    }
}

/// Returns the median load of each group of usable hosts.
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
