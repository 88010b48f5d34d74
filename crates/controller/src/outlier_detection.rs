//! Outlier detection: ejects hosts that fail or are silent where their peers are not, and lets them come back.

use crate::config::DeploymentConfig;
use crate::endpoint::EndpointState;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::{HostId, ZoneId};
use crate::load_reports::LoadReports;
use crate::report::HostLoad;
use crate::statistics::median;
use crate::time::{DurationExt, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a host is ejected at first (a few reports); one on probation is judged after twice that.
pub(crate) const EJECTION_TIME: Duration = Duration::from_millis(1_500);
/// Part of the room above the fleet's median failure ratio from which a host is ejected: one that fails less loses weight.
const EJECTION_THRESHOLD: f64 = 0.6;
/// Ended attempts expected of a host, none of which came, that make it silent (e^-7 is no chance).
const SILENT_ATTEMPTS: f64 = 7.0;
/// Report delays for which nothing is heard of a host before it is silent.
const SILENT_DELAYS: f64 = 2.0;
/// Part of the ready hosts that may be ejected at most: the rest must carry the day.
const MAX_EJECTED_PART: f64 = 0.25;
/// Times in a row that a host is ejected for twice as long as before (12 s at most).
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Least part of an ejection's time that is drawn, and the range of the draw: hosts don't come back in step.
const MIN_EJECTION_PART: f64 = 0.8;
const EJECTION_PART_RANGE: f64 = 0.4;
/// Multiple of an ejection's time after which a host on probation has proved good.
const PROBATION_EJECTION_TIMES: f64 = 2.0;
/// Waiting requests, over twice the median, that make a good health check count for nothing.
const MAX_EXTRA_QUEUE: f64 = 4.0;
/// Multiple of the median queue that a good health check may show.
const MAX_QUEUE_RATIO: f64 = 2.0;

/// Whether a host is kept out of the tables.
#[derive(Default)]
pub(crate) struct Ejection {
    ejected_until: Option<Time>,
    cause: Option<EjectionCause>,
    probation_since: Option<Time>,
    /// Ejections, one after another.
    consecutive_ejections: u32,
    /// Since when attempts at it should end.
    serving_since: Time,
}

impl Ejection {
    pub(crate) fn new(now: Time) -> Ejection {
        Ejection {
            serving_since: now,
            ..Ejection::default()
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Why it is ejected; none: it is not.
    pub(crate) fn cause(&self) -> Option<EjectionCause> {
        self.cause.filter(|_| self.is_ejected())
    }

    pub(crate) fn is_on_probation(&self) -> bool {
        self.probation_since.is_some()
    }

    pub(crate) fn start_probation(&mut self, now: Time) {
        self.ejected_until = None;
        self.probation_since = Some(now);
    }

    /// Ejects it. One that answers checks but fails requests would be back, and failing, most of the time: it stays out
    /// twice as long each time.
    fn eject(&mut self, now: Time, cause: EjectionCause, random: &mut fastrand::Rng) {
        self.cause = Some(cause);
        self.consecutive_ejections = match cause {
            EjectionCause::Failures => (self.consecutive_ejections + 1).min(MAX_EJECTION_DOUBLINGS),
            EjectionCause::Silence => 1,
        };
        let part = MIN_EJECTION_PART + EJECTION_PART_RANGE * random.f64();
        let doublings = f64::from(1 << (self.consecutive_ejections - 1));
        self.ejected_until = Some(now + EJECTION_TIME.scaled(part * doublings));
        self.probation_since = None;
    }
}

/// Why a host is an outlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Its attempts fail where those of its peers do not.
    Failures,
    /// None of the attempts that are expected of it has ended.
    Silence,
}

/// What a health check has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// Whether the host answered well.
    pub healthy: bool,
    /// The load that came with the answer.
    pub load: Option<HostLoad>,
}

/// What is known of the fleet when outliers are looked for.
pub(crate) struct FleetView<'a> {
    pub(crate) now: Time,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) reports: &'a LoadReports,
    /// Time until what was sent a moment ago shows.
    pub(crate) update_delay: Duration,
    /// Attempts a second per unit of weight that should end in each table.
    pub(crate) attempts_per_weight: Vec<f64>,
}

impl FleetView<'_> {
    /// Attempts a second that a host should see end, by our own bindings, weights and admission.
    fn expected_attempts(&self, host: &Host) -> f64 {
        host.memberships
            .iter()
            .map(|membership| {
                membership.sent_weight() * self.attempts_per_weight[membership.table()]
            })
            .sum()
    }

    /// No report while those of peers come: hung or vanished, long before its attempts time out. Reports that are late for
    /// all make nobody silent.
    fn is_silent(&self, host: &Host, expected_attempts: f64) -> bool {
        let serving_since = host.ejection.serving_since + self.update_delay;
        let heard_at = host.stats.last_report_at().max(serving_since);
        let silence_s = (self.reports.newest_at() - heard_at).seconds();
        expected_attempts * silence_s > SILENT_ATTEMPTS
            && silence_s > self.reports.delay_s() * SILENT_DELAYS
    }
}

/// What may be ejected beyond what is, so that the fleet still serves.
struct EjectionBudget {
    ejections: usize,
    /// Warm hosts by zone: classes may be confined to zones, so that each zone keeps one.
    warm_hosts: BTreeMap<ZoneId, usize>,
}

impl EjectionBudget {
    fn new(hosts: &HostRegistry, view: &FleetView<'_>) -> EjectionBudget {
        let is_ready = |host: &&Host| view.policy.is_ready(host, view.now);
        let ready = hosts.iter().filter(is_ready).count();
        let ejected = hosts.iter().filter(|host| host.ejection.is_ejected());
        let max_ejected = (ready as f64 * MAX_EJECTED_PART) as usize;
        let mut warm_hosts = BTreeMap::new();
        for host in hosts.iter() {
            if view.policy.is_usable(host, view.now) && view.policy.is_warm(host, view.now) {
                *warm_hosts.entry(host.zone()).or_default() += 1;
            }
        }
        EjectionBudget {
            ejections: max_ejected.saturating_sub(ejected.count()),
            warm_hosts,
        }
    }

    fn warm_hosts(&self, zone: ZoneId) -> usize {
        self.warm_hosts.get(&zone).copied().unwrap_or(0)
    }

    fn allows(&self, host: &Host) -> bool {
        self.ejections > 0
            && self.warm_hosts(host.zone()) > 1
            && host.state() == EndpointState::Ready
    }

    fn spend(&mut self, host: &Host, is_warm: bool) {
        self.ejections -= 1;
        if let Some(warm_hosts) = self.warm_hosts.get_mut(&host.zone()) {
            *warm_hosts -= usize::from(is_warm);
        }
    }
}

/// Ejects outliers and lets hosts come back.
pub(crate) struct OutlierDetector {
    health_checks: bool,
}

impl OutlierDetector {
    pub(crate) fn new(config: &DeploymentConfig) -> OutlierDetector {
        OutlierDetector {
            health_checks: config.health_checks,
        }
    }

    /// Judges all hosts; gives those whose health should be checked.
    pub(crate) fn judge_hosts(
        &self,
        hosts: &mut HostRegistry,
        view: &FleetView<'_>,
        random: &mut fastrand::Rng,
    ) -> Vec<HostId> {
        let ratios = hosts.iter().filter_map(|host| host.stats.failure_ratio());
        let median = median(ratios).unwrap_or(0.0);
        let failing_from = median + (1.0 - median) * EJECTION_THRESHOLD;
        let mut budget = EjectionBudget::new(hosts, view);
        let mut to_check = Vec::new();
        for host in hosts.iter_mut() {
            let expected_attempts = view.expected_attempts(host);
            let is_in_use = expected_attempts > 0.0;
            if !is_in_use {
                host.ejection.serving_since = view.now;
            }
            let is_silent = view.is_silent(host, expected_attempts);
            let failure_ratio = host.stats.failure_ratio();
            let evidence = if failure_ratio.is_some_and(|ratio| ratio > failing_from) {
                Some(EjectionCause::Failures)
            } else {
                is_silent.then_some(EjectionCause::Silence)
            };
            if let Some(until) = host.ejection.ejected_until {
                if self.end_ejection(host, until, view.now, &budget) {
                    to_check.push(host.id().clone());
                }
                continue;
            }
            match evidence.filter(|_| budget.allows(host)) {
                Some(evidence) => {
                    budget.spend(host, view.policy.is_warm(host, view.now));
                    host.ejection.eject(view.now, evidence, random);
                }
                None => settle_probation(host, evidence, view.now),
            }
        }
        to_check
    }

    /// Puts a host on probation once its time is over, or gives whether its health is to be checked first.
    fn end_ejection(
        &self,
        host: &mut Host,
        until: Time,
        now: Time,
        budget: &EjectionBudget,
    ) -> bool {
        let is_over = now >= until;
        if budget.warm_hosts(host.zone()) == 0 || is_over && !self.health_checks {
            host.start_probation(now);
            return false;
        }
        if is_over && host.state() == EndpointState::Ready {
            host.ejection.ejected_until = Some(now + EJECTION_TIME);
            return true;
        }
        false
    }

    /// A shallow check is answered beside the queue: a host that piles up requests is no better for it.
    pub(crate) fn on_health_check(
        &self,
        hosts: &mut HostRegistry,
        now: Time,
        id: &HostId,
        result: &HealthCheckResult,
    ) {
        let queues = hosts.iter().filter_map(|host| host.stats.queue_length());
        let median_queue = median(queues).unwrap_or(0.0);
        let Some(host) = hosts.get_mut(id) else {
            return;
        };
        let queue = result.load.and_then(|load| load.queue_length);
        let max_queue = median_queue * MAX_QUEUE_RATIO + MAX_EXTRA_QUEUE;
        let is_light = queue.is_none_or(|queue| queue <= max_queue);
        if result.healthy && is_light && host.ejection.is_ejected() {
            host.start_probation(now);
        }
    }
}

/// Ends a probation, or forgets ejections of a host that has proved good since.
fn settle_probation(host: &mut Host, evidence: Option<EjectionCause>, now: Time) {
    let has_ratio = host.stats.failure_ratio().is_some();
    let ejection = &mut host.ejection;
    match ejection.probation_since {
        Some(since) => {
            if now - since > EJECTION_TIME.scaled(PROBATION_EJECTION_TIMES) {
                ejection.probation_since = None;
            }
        }
        None => {
            if has_ratio && evidence != Some(EjectionCause::Failures) {
                ejection.consecutive_ejections = 0;
            }
        }
    }
}
