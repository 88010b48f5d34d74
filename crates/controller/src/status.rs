//! What a controller believes, for logs and operators.

use crate::admission_control::AdmissionController;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::HostId;
use crate::load_reports::LoadReports;
use crate::placement::MIN_WARM_ENOUGH_PART;
use crate::proxy::ProxyRegistry;
use crate::publishing::UpdatePolicy;
use crate::statistics::{EPSILON, median};
use crate::tables::TableState;
use crate::time::Time;
use crate::update_queue::{UpdateQueue, UpdateReason};
use std::time::Duration;

/// Failed attempts from which a host is named.
const NAMED_FROM_FAILURES: f64 = 0.3;

/// What a controller believes at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StatusSnapshot {
    /// Hosts that are known.
    pub known_hosts: usize,
    /// Hosts that the endpoint list lets proxies send to.
    pub ready_hosts: usize,
    /// Hosts that are ejected as outliers.
    pub ejected: Vec<HostId>,
    /// Hosts that are back from an ejection on a small weight.
    pub on_probation: Vec<HostId>,
    /// Hosts that have lost half of their weight or more to their load.
    pub weight_reduced: Vec<HostId>,
    /// Hosts at which attempts failed lately.
    pub failing: Vec<HostFailures>,
    /// Part of the requests of each class that is admitted.
    pub admitted_fractions: Vec<f64>,
    /// How overloaded the fleet is; from 1 on, load is shed.
    pub overload: f64,
    /// Load of the median host, in parts of all its cores, with what waits.
    pub median_load: f64,
    /// Delay of the reports.
    pub report_delay: Duration,
    /// Requests a second that reach the proxies.
    pub demand: f64,
    /// What the hosts make of them.
    pub throughput: Throughput,
    /// The queue of updates to the proxies.
    pub update_queue: UpdateQueueStatus,
    /// The messages that each proxy may be sent.
    pub message_cap: MessageCapStatus,
    /// Hosts that have started lately.
    pub warming: Vec<WarmingHost>,
}

/// A host that has started lately, and what our proxies bring it by the weights that were sent.
#[derive(Clone, Debug, PartialEq)]
pub struct WarmingHost {
    /// The host.
    pub host: HostId,
    /// The part of its work that it can do at least.
    pub warm_part: f64,
    /// Requests a second that it should get by the weights sent, those of tables for confined classes aside.
    pub requests_per_s: f64,
    /// These per unit of its weight that it can carry now, in parts of the fleet's mean; 1: as loaded as the others.
    pub relative_load: f64,
}

/// The messages that each proxy may be sent within the window that they are counted in.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageCapStatus {
    /// Messages that a proxy may be sent; none: any number.
    pub max_messages: Option<usize>,
    /// Messages that count against it for the proxies of the table that has most.
    pub max_used: usize,
    /// Updates that were due but for the cap, counted each time that they were looked at, by reason.
    pub held_back_for: LineCounts,
    /// The longest time for which the cap has held an update back that a rule asks for.
    pub longest_safety_hold: Duration,
}

/// Attempts that failed at one host lately; older ones count less.
#[derive(Clone, Debug, PartialEq)]
pub struct HostFailures {
    /// The host.
    pub host: HostId,
    /// Attempts that ended.
    pub attempts: f64,
    /// The part of them that failed.
    pub failure_ratio: f64,
}

/// Attempts at some hosts, per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Throughput {
    /// Attempts that ended.
    pub attempts: f64,
    /// Those that succeeded.
    pub successes: f64,
}

/// Lines, or updates, by why they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LineCounts {
    /// To bind a proxy to a table.
    pub bindings: f64,
    /// For hosts that drain or were removed, and tables that ran empty.
    pub drains: f64,
    /// For hosts that fail or warm up and have too much weight.
    pub hazards: f64,
    /// For weights that are far too high, and updates that may not have been applied.
    pub expedited: f64,
    /// For all else.
    pub ordinary: f64,
    /// To ask for acknowledgements.
    pub acks: f64,
}

impl LineCounts {
    /// The count of updates of tables for a reason.
    pub(crate) fn of_mut(&mut self, reason: UpdateReason) -> &mut f64 {
        match reason {
            UpdateReason::Ordinary => &mut self.ordinary,
            UpdateReason::Expedited => &mut self.expedited,
            UpdateReason::Hazard => &mut self.hazards,
            UpdateReason::Drain => &mut self.drains,
        }
    }

    /// Adds other counts to these.
    fn add(&mut self, other: &LineCounts) {
        self.bindings += other.bindings;
        self.drains += other.drains;
        self.hazards += other.hazards;
        self.expedited += other.expedited;
        self.ordinary += other.ordinary;
        self.acks += other.acks;
    }
}

/// The queue of updates to the proxies. Figures are in lines unless said otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpdateQueueStatus {
    /// Lines that may wait.
    pub line_limit: f64,
    /// Lines that wait if the channel sends at the stated rate.
    pub queued_at_stated_rate: f64,
    /// Lines that wait if the channel sends many times slower.
    pub queued_at_slow_rate: f64,
    /// Lines sent and not yet known to have left the channel; none: proxies acknowledge nothing.
    pub unconfirmed: Option<f64>,
    /// Lines sent since the start, with all overhead, by reason.
    pub sent_for: LineCounts,
    /// Updates that were due but for the queue, counted each time that they were looked at, by reason.
    pub held_back_for: LineCounts,
    /// Acknowledgements that came.
    pub acks_received: u64,
    /// Time from sending the last message that was acknowledged until its acknowledgement came.
    pub last_ack_delay: Duration,
}

/// What a snapshot is made of.
pub(crate) struct Sources<'a> {
    pub(crate) now: Time,
    pub(crate) hosts: &'a HostRegistry,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) reports: &'a LoadReports,
    pub(crate) admission: &'a AdmissionController,
    pub(crate) proxies: &'a ProxyRegistry,
    pub(crate) queue: &'a UpdateQueue,
    pub(crate) tables: &'a [TableState],
    pub(crate) update_policy: &'a UpdatePolicy,
    /// Attempts a second per unit of weight that should end in each table.
    pub(crate) attempts_per_weight: Vec<f64>,
}

impl Sources<'_> {
    fn hosts_where(&self, is_named: impl Fn(&Host) -> bool) -> Vec<HostId> {
        let named = self.hosts.iter().filter(|host| is_named(host));
        named.map(|host| host.id().clone()).collect()
    }

    fn failing_hosts(&self) -> Vec<HostFailures> {
        let failing = self
            .hosts
            .iter()
            .filter(|host| host.stats.failures() > NAMED_FROM_FAILURES);
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

    /// Attempts a second that a host should get by the weights that were sent.
    fn expected_attempts(&self, host: &Host) -> f64 {
        let memberships = host.memberships.iter();
        memberships
            .map(|membership| {
                membership.sent_weight() * self.attempts_per_weight[membership.table()]
            })
            .sum()
    }

    /// Ready hosts that have not warmed up.
    fn warming_hosts(&self) -> Vec<WarmingHost> {
        let is_ready = |host: &&Host| self.policy.is_ready(host, self.now);
        let ready = || self.hosts.iter().filter(is_ready);
        let capacity = |host: &Host| host.weight() * self.policy.warm_part(host, self.now);
        let all_attempts: f64 = ready().map(|host| self.expected_attempts(host)).sum();
        let all_capacity: f64 = ready().map(capacity).sum();
        let mean_load = all_attempts / all_capacity.max(EPSILON);
        ready()
            .filter(|host| !self.policy.is_warm(host, self.now))
            .map(|host| {
                let requests_per_s = self.expected_attempts(host);
                let load = requests_per_s / capacity(host).max(EPSILON);
                WarmingHost {
                    host: host.id().clone(),
                    warm_part: self.policy.warm_part(host, self.now),
                    requests_per_s,
                    relative_load: load / mean_load.max(EPSILON),
                }
            })
            .collect()
    }
}

/// What is believed now: read from the decisions' state, and no part of any decision.
pub(crate) fn snapshot(sources: &Sources<'_>) -> StatusSnapshot {
    let is_ready = |host: &&Host| sources.policy.is_ready(host, sources.now);
    let loads = sources.hosts.iter().filter_map(|host| host.stats.load());
    StatusSnapshot {
        known_hosts: sources.hosts.len(),
        ready_hosts: sources.hosts.iter().filter(is_ready).count(),
        ejected: sources.hosts_where(|host| host.ejection.is_ejected()),
        on_probation: sources.hosts_where(|host| host.ejection.is_on_probation()),
        weight_reduced: sources
            .hosts_where(|host| host.weight_reduction.lost() > 1.0 - MIN_WARM_ENOUGH_PART),
        failing: sources.failing_hosts(),
        admitted_fractions: sources.admission.fractions().to_vec(),
        overload: sources.admission.overload(),
        median_load: median(loads).unwrap_or(0.0),
        report_delay: Duration::from_micros((sources.reports.delay_s() * 1e6) as u64),
        demand: sources.proxies.demand(),
        throughput: sources.reports.throughput(sources.hosts.iter()),
        update_queue: sources.queue.status(),
        message_cap: sources.message_cap(),
        warming: sources.warming_hosts(),
    }
}
