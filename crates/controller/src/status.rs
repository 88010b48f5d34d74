//! Status snapshots of a controller, for logs and operators.

use crate::admission_control::AdmissionController;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::HostId;
use crate::load_reports::LoadReports;
use crate::placement::MIN_WARM_ENOUGH_FRACTION;
use crate::proxy::ProxyRegistry;
use crate::publishing::UpdatePolicy;
use crate::statistics::{EPSILON, median};
use crate::tables::TableState;
use crate::time::Time;
use crate::update_queue::{UpdateQueue, UpdateReason};
use crate::warming_limit::WarmingLimit;
use std::time::Duration;

/// Minimum number of failed attempts for a host to be listed as failing.
const MIN_LISTED_FAILURES: f64 = 0.3;

/// The state of a controller at one point in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatusSnapshot {
    /// Number of known hosts, including removed ones that are not forgotten yet.
    pub known_hosts: usize,
    /// Number of weights in tables whose last update may not have been applied.
    pub unconfirmed_weights: usize,
    /// Number of hosts that the endpoint list allows sending requests to.
    pub ready_hosts: usize,
    /// Hosts ejected as outliers.
    pub ejected: Vec<HostId>,
    /// Hosts that have returned from an ejection with a reduced weight.
    pub on_probation: Vec<HostId>,
    /// Hosts whose weight is reduced by more than half because of high load.
    pub weight_reduced: Vec<HostId>,
    /// Hosts with recent failed attempts.
    pub failing: Vec<HostFailures>,
    /// Admitted fraction of each request class.
    pub admitted_fractions: Vec<f64>,
    /// Fraction of all requests that a controller admits at most which has just started; 1 if it is not limited so.
    pub startup_limit: f64,
    /// Overload of the fleet; load is shed above 1.
    pub overload: f64,
    /// Load of the median host including queued requests, where 1 means that all cores are busy.
    pub median_load: f64,
    /// Average delay of load reports.
    pub report_delay: Duration,
    /// Requests per second that reach the proxies.
    pub demand: f64,
    /// Attempts per second at all hosts.
    pub throughput: Throughput,
    /// Requests per second and unit of weight that the hosts usually serve; what a warming host may be sent is bounded by it.
    pub usual_load: f64,
    /// Attempts at hosts per admitted request, as far as known: more than one where attempts are retried.
    pub attempts_per_request: f64,
    /// State of the queue of updates to the proxies.
    pub update_queue: UpdateQueueStatus,
    /// State of the limit on messages to each proxy.
    pub message_cap: MessageCapStatus,
    /// Ready hosts that are warming up.
    pub warming: Vec<WarmingHost>,
}

/// A host that is warming up, and its expected load from this controller's proxies by the weights that were sent.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmingHost {
    /// The host.
    pub host: HostId,
    /// Fraction of its capacity that it has at least.
    pub warm_fraction: f64,
    /// Expected requests per second by the weights that were sent and what is admitted to their tables.
    pub requests_per_s: f64,
    /// Expected requests per unit of its current capacity, relative to the fleet's mean (1 means equal load).
    pub relative_load: f64,
    /// Expected requests relative to what it may be sent at most.
    pub bound_used: f64,
    /// Attempts per second that ended at it according to the reports. More than expected means that proxies avoid other
    /// hosts or hold other weights.
    pub attempts_per_s: f64,
}

/// State of the message cap, which limits the messages to each proxy per window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageCapStatus {
    /// Maximum number of messages to a proxy per window; `None` means no limit.
    pub max_messages: Option<usize>,
    /// Messages in the current window to the proxies of the table with the most messages.
    pub max_used: usize,
    /// Updates held back by the cap, by reason; an update counts once per round.
    pub held_back_for: LineCounts,
    /// Longest time for which the cap has held back a safety-critical update.
    pub longest_safety_hold: Duration,
}

/// Recent attempts at one host; older attempts count less.
#[derive(Clone, Debug, PartialEq)]
pub struct HostFailures {
    /// The host.
    pub host: HostId,
    /// Number of attempts that ended.
    pub attempts: f64,
    /// Fraction of the attempts that failed.
    pub failure_ratio: f64,
}

/// Attempts per second at a group of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throughput {
    /// Attempts that ended.
    pub attempts: f64,
    /// Attempts that succeeded.
    pub successes: f64,
}

/// Lines or updates, counted by the reason for sending them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LineCounts {
    /// Bindings of proxies to tables.
    pub bindings: f64,
    /// Updates for hosts that drain or were removed, and for tables without a usable host.
    pub drains: f64,
    /// Updates for hosts that fail, or that warm up and have too much weight.
    pub hazards: f64,
    /// Updates for weights that are far too high and for unconfirmed updates.
    pub expedited: f64,
    /// All other updates.
    pub ordinary: f64,
    /// Requests for acknowledgements.
    pub acks: f64,
}

impl LineCounts {
    /// Returns the count for a reason.
    pub(crate) fn of_mut(&mut self, reason: UpdateReason) -> &mut f64 {
        match reason {
            UpdateReason::Ordinary => &mut self.ordinary,
            UpdateReason::Expedited => &mut self.expedited,
            UpdateReason::Hazard => &mut self.hazards,
            UpdateReason::Drain => &mut self.drains,
        }
    }

    /// Adds other counts to this one.
    fn add(&mut self, other: &LineCounts) {
        self.bindings += other.bindings;
        self.drains += other.drains;
        self.hazards += other.hazards;
        self.expedited += other.expedited;
        self.ordinary += other.ordinary;
        self.acks += other.acks;
    }
}

/// State of the queue of updates to the proxies. Values are in lines unless stated otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpdateQueueStatus {
    /// Maximum number of queued lines.
    pub line_limit: f64,
    /// Estimate of queued lines if the channel sends at the configured rate.
    pub queued_at_configured_rate: f64,
    /// Estimate of queued lines if the channel is in a slow phase.
    pub queued_at_slow_rate: f64,
    /// Lines sent but not confirmed by an acknowledgement; `None` if proxies do not support acknowledgements.
    pub unconfirmed: Option<f64>,
    /// Lines sent since the start including overhead, by reason.
    pub sent_for: LineCounts,
    /// Updates held back by the queue, by reason; an update counts once per attempt to send it.
    pub held_back_for: LineCounts,
    /// Number of acknowledgements received.
    pub acks_received: u64,
    /// Time from sending the last acknowledged batch until its first acknowledgement arrived.
    pub last_ack_delay: Duration,
}

/// The state that a snapshot is built from.
pub(crate) struct SnapshotSources<'a> {
    pub(crate) now: Time,
    pub(crate) hosts: &'a HostRegistry,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) reports: &'a LoadReports,
    pub(crate) admission: &'a AdmissionController,
    pub(crate) proxies: &'a ProxyRegistry,
    pub(crate) queue: &'a UpdateQueue,
    pub(crate) tables: &'a [TableState],
    pub(crate) update_policy: &'a UpdatePolicy,
    /// Expected attempts per second and unit of weight in each table.
    pub(crate) attempts_per_weight: Vec<f64>,
    /// Requests per second and unit of weight that the fleet's hosts usually serve.
    pub(crate) usual_load: f64,
    /// Attempts at hosts per admitted request.
    pub(crate) attempts_per_request: f64,
    /// What warming hosts may be sent.
    pub(crate) warming_limit: WarmingLimit,
}

impl SnapshotSources<'_> {
    fn host_ids_where(&self, predicate: impl Fn(&Host) -> bool) -> Vec<HostId> {
        let matching = self.hosts.iter().filter(|host| predicate(host));
        matching.map(|host| host.id().clone()).collect()
    }

    fn unconfirmed_weights(&self) -> usize {
        let memberships = self.hosts.iter().flat_map(|host| host.memberships.iter());
        memberships
            .filter(|membership| membership.is_unconfirmed())
            .count()
    }

    fn failing_hosts(&self) -> Vec<HostFailures> {
        let failing = self
            .hosts
            .iter()
            .filter(|host| host.stats.failures() > MIN_LISTED_FAILURES);
        failing
            .map(|host| HostFailures {
                host: host.id().clone(),
                attempts: host.stats.attempts(),
                failure_ratio: host.stats.failures() / host.stats.attempts(),
            })
            .collect()
    }

    fn message_cap(&self) -> MessageCapStatus {
        let cap = &self.update_policy.message_cap;
        let used_tables = self.tables.iter().filter(|table| table.is_used());
        let used = used_tables.map(|table| table.messages_used(self.now, cap));
        let mut status = MessageCapStatus {
            max_messages: cap.max_messages(),
            max_used: used.max().unwrap_or(0),
            ..MessageCapStatus::default()
        };
        for table in self.tables {
            let holds = table.cap_holds();
            status.held_back_for.add(&holds.held_back_for);
            status.longest_safety_hold = status.longest_safety_hold.max(holds.longest_safety_hold);
        }
        status
    }

    fn expected_attempts(&self, host: &Host) -> f64 {
        host.memberships
            .expected_attempts(&self.attempts_per_weight)
    }

    /// Returns the ready hosts that are warming up.
    fn warming_hosts(&self) -> Vec<WarmingHost> {
        let is_ready = |host: &&Host| self.policy.is_ready(host, self.now);
        let ready = || self.hosts.iter().filter(is_ready);
        let capacity = |host: &Host| host.weight() * self.policy.warm_fraction(host, self.now);
        let all_attempts: f64 = ready().map(|host| self.expected_attempts(host)).sum();
        let all_capacity: f64 = ready().map(capacity).sum();
        let mean_load = all_attempts / all_capacity.max(EPSILON);
        ready()
            .filter(|host| !self.policy.is_warm(host, self.now))
            .map(|host| {
                let requests_per_s = self.expected_attempts(host);
                let load = requests_per_s / capacity(host).max(EPSILON);
                let max_rate = self.warming_limit.max_rate(capacity(host));
                WarmingHost {
                    host: host.id().clone(),
                    warm_fraction: self.policy.warm_fraction(host, self.now),
                    requests_per_s,
                    relative_load: load / mean_load.max(EPSILON),
                    bound_used: requests_per_s / max_rate.max(EPSILON),
                    attempts_per_s: self.reports.throughput(std::iter::once(host)).attempts,
                }
            })
            .collect()
    }
}

/// Builds a status snapshot. It only reads state and never influences a decision.
pub(crate) fn snapshot(sources: &SnapshotSources<'_>) -> StatusSnapshot {
    let is_ready = |host: &&Host| sources.policy.is_ready(host, sources.now);
    let loads = sources.hosts.iter().filter_map(|host| host.stats.load());
    StatusSnapshot {
        known_hosts: sources.hosts.len(),
        unconfirmed_weights: sources.unconfirmed_weights(),
        ready_hosts: sources.hosts.iter().filter(is_ready).count(),
        ejected: sources.host_ids_where(|host| host.ejection.is_ejected()),
        on_probation: sources.host_ids_where(|host| host.ejection.is_on_probation()),
        weight_reduced: sources
            .host_ids_where(|host| host.weight_reduction.lost() > 1.0 - MIN_WARM_ENOUGH_FRACTION),
        failing: sources.failing_hosts(),
        admitted_fractions: sources.admission.fractions().to_vec(),
        startup_limit: sources.admission.startup_limit(),
        overload: sources.admission.overload(),
        median_load: median(loads).unwrap_or(0.0),
        report_delay: Duration::from_micros((sources.reports.delay_s() * 1e6) as u64),
        demand: sources.proxies.demand(),
        throughput: sources.reports.throughput(sources.hosts.iter()),
        usual_load: sources.usual_load,
        attempts_per_request: sources.attempts_per_request,
        update_queue: sources.queue.status(),
        message_cap: sources.message_cap(),
        warming: sources.warming_hosts(),
    }
}
