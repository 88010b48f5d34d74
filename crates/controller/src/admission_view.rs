//! What admission control reads of the fleet: its capacity and the evidence of overload in the reports.

use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::load_reports::LoadReports;
use crate::proxy::ProxyRegistry;
use crate::statistics::{EPSILON, median};
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Maximum age of reports used as evidence of overload, in report delays.
const MAX_REPORT_AGE_DELAYS: f64 = 3.0;
/// Minimum mean queue length per host for high latency to count as overload.
const MIN_MEAN_QUEUE: f64 = 0.2;

/// State of the fleet that admission control reads.
pub(crate) struct AdmissionView<'a> {
    pub(crate) now: Time,
    /// Seconds since the last update of admission.
    pub(crate) elapsed_s: f64,
    pub(crate) hosts: &'a HostRegistry,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) proxies: &'a ProxyRegistry,
    pub(crate) reports: &'a LoadReports,
    /// Time until an update sent now takes effect.
    pub(crate) update_delay: Duration,
}

impl AdmissionView<'_> {
    pub(crate) fn usable_hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts
            .iter()
            .filter(|host| self.policy.is_usable(host, self.now))
    }

    /// Returns the usable hosts with recent reports; older reports are no evidence of overload.
    fn fresh_hosts(&self) -> impl Iterator<Item = &Host> {
        let max_age_s = self.reports.delay_s() * MAX_REPORT_AGE_DELAYS;
        self.usable_hosts().filter(move |host| {
            let age = self.reports.newest_at() - host.stats.last_report_at();
            age.seconds() < max_age_s
        })
    }

    /// Returns the capacity of the usable hosts as a fraction of what all listed hosts have when they are warm; 1 if no
    /// host is warming up, since no host is at risk then.
    pub(crate) fn capacity_fraction(&self) -> f64 {
        let mut usable = self.usable_hosts();
        if usable.all(|host| self.policy.is_warm(host, self.now)) {
            return 1.0;
        }
        (self.capacity() / self.hosts.listed_weight().max(EPSILON)).min(1.0)
    }

    pub(crate) fn usable_weight(&self) -> f64 {
        let weight: f64 = self.usable_hosts().map(Host::weight).sum();
        weight.max(EPSILON)
    }

    /// Returns the total capacity of the usable hosts, taking slow start into account.
    pub(crate) fn capacity(&self) -> f64 {
        let capacity: f64 = self
            .usable_hosts()
            .map(|host| host.weight() * self.policy.warm_fraction(host, self.now))
            .sum();
        capacity.max(EPSILON)
    }

    /// Returns the median host's latency in seconds, or zero if hardly any requests are queued: without a queue, high
    /// latency is not caused by overload, and shedding load would not reduce it.
    pub(crate) fn queued_latency_s(&self) -> f64 {
        let latencies = self.fresh_hosts().filter_map(|host| host.stats.latency_s());
        let latency_s = median(latencies).unwrap_or(0.0);
        let queues = self
            .fresh_hosts()
            .filter_map(|host| host.stats.queue_length());
        let (reporting, queued) = queues.fold((0.0, 0.0), |(reporting, queued), queue| {
            (reporting + 1.0, queued + queue)
        });
        if queued >= reporting * MIN_MEAN_QUEUE {
            latency_s
        } else {
            0.0
        }
    }

    pub(crate) fn failure_ratio(&self) -> f64 {
        let ratios = self
            .fresh_hosts()
            .filter_map(|host| host.stats.failure_ratio());
        median(ratios).unwrap_or(0.0)
    }
}
