//! Outlier detection: ejects hosts that fail or are silent while their peers are not, and returns them after a
//! probation.

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

/// Base ejection time; covers several reports. A probation takes `PROBATION_EJECTION_TIMES` times as long.
pub(crate) const EJECTION_TIME: Duration = Duration::from_millis(1_500);
/// Position of the ejection threshold between the fleet's median failure ratio (0) and 1. Hosts that fail less often
/// only lose weight.
const EJECTION_THRESHOLD: f64 = 0.6;
/// Expected attempts without a single report after which a host is silent; by chance, this happens with probability
/// e^-7.
const SILENT_ATTEMPTS: f64 = 7.0;
/// Minimum time without reports before a host is silent, in report delays.
const SILENT_DELAYS: f64 = 2.0;
/// Maximum fraction of the ready hosts that may be ejected, since the remaining hosts must serve all requests.
const MAX_EJECTED_FRACTION: f64 = 0.25;
/// Consecutive ejections up to which the ejection time doubles (12 s at most).
const MAX_CONSECUTIVE_EJECTIONS: u32 = 4;
/// Minimum of the random factor for ejection times, and the factor's range. The jitter keeps hosts from returning in
/// step.
const MIN_EJECTION_FACTOR: f64 = 0.8;
const EJECTION_FACTOR_RANGE: f64 = 0.4;
/// Length of a probation, in base ejection times.
const PROBATION_EJECTION_TIMES: f64 = 2.0;
/// Queue length, beyond `MAX_QUEUE_RATIO` times the median, up to which a passed health check counts.
const MAX_EXTRA_QUEUE: f64 = 4.0;
/// Ratio to the median queue length, before `MAX_EXTRA_QUEUE` is added, up to which a passed health check counts.
const MAX_QUEUE_RATIO: f64 = 2.0;

/// Ejection state of one host.
#[derive(Default)]
pub(crate) struct Ejection {
    ejected_until: Option<Time>,
    cause: Option<EjectionCause>,
    probation_since: Option<Time>,
    /// Number of ejections for failures without recovery in between.
    consecutive_ejections: u32,
    /// Since when attempts at the host are expected to end.
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

    /// Returns the cause of the ejection, or `None` if the host is not ejected.
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

    /// Ejects the host. The ejection time doubles with each consecutive ejection for failures; otherwise, a host that
    /// passes health checks but fails requests would be back in use most of the time.
    fn eject(&mut self, now: Time, cause: EjectionCause, random: &mut fastrand::Rng) {
        self.cause = Some(cause);
        self.consecutive_ejections = match cause {
            EjectionCause::Failures => {
                (self.consecutive_ejections + 1).min(MAX_CONSECUTIVE_EJECTIONS)
            }
            EjectionCause::Silence => 1,
        };
        let factor = MIN_EJECTION_FACTOR + EJECTION_FACTOR_RANGE * random.f64();
        let multiplier = f64::from(1 << (self.consecutive_ejections - 1));
        self.ejected_until = Some(now + EJECTION_TIME.scaled(factor * multiplier));
        self.probation_since = None;
    }
}

/// Why a host is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Its failure ratio is far above the fleet's median.
    Failures,
    /// None of the attempts expected at it were reported.
    Silence,
}

/// Result of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// Whether the host passed the check.
    pub healthy: bool,
    /// The load that the host reported with its response.
    pub load: Option<HostLoad>,
}

/// State of the fleet that outlier detection reads.
pub(crate) struct FleetView<'a> {
    pub(crate) now: Time,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) reports: &'a LoadReports,
    /// Time until an update sent now takes effect.
    pub(crate) update_delay: Duration,
    /// Expected attempts per second and unit of weight in each table.
    pub(crate) attempts_per_weight: Vec<f64>,
}

impl FleetView<'_> {
    /// Returns why the host should be ejected, or `None` if it should not be. Records whether it is in use.
    fn observe(&self, host: &mut Host, max_failure_ratio: f64) -> Option<EjectionCause> {
        let expected_attempts = host
            .memberships
            .expected_attempts(&self.attempts_per_weight);
        if expected_attempts <= 0.0 {
            host.ejection.serving_since = self.now;
        }
        let failure_ratio = host.stats.failure_ratio();
        if failure_ratio.is_some_and(|ratio| ratio > max_failure_ratio) {
            return Some(EjectionCause::Failures);
        }
        let is_silent = self.is_silent(host, expected_attempts);
        is_silent.then_some(EjectionCause::Silence)
    }

    /// Returns whether the host has no reports while other hosts have. It hangs or has vanished, which shows this way
    /// long before its attempts time out. Reports that are late for all hosts do not count as silence.
    fn is_silent(&self, host: &Host, expected_attempts: f64) -> bool {
        let serving_since = host.ejection.serving_since + self.update_delay;
        let heard_at = host.stats.last_report_at().max(serving_since);
        let silence_s = (self.reports.newest_at() - heard_at).seconds();
        expected_attempts * silence_s > SILENT_ATTEMPTS
            && silence_s > self.reports.delay_s() * SILENT_DELAYS
    }
}

/// Limits on further ejections, so that the fleet can still serve.
struct EjectionBudget {
    /// Number of hosts that may still be ejected.
    ejections: usize,
    /// Usable warm hosts by zone. Each zone keeps one, because there may be zone-local classes.
    warm_hosts: BTreeMap<ZoneId, usize>,
}

impl EjectionBudget {
    fn new(hosts: &HostRegistry, view: &FleetView<'_>) -> EjectionBudget {
        let is_ready = |host: &&Host| view.policy.is_ready(host, view.now);
        let ready = hosts.iter().filter(is_ready).count();
        let ejected = hosts.iter().filter(|host| host.ejection.is_ejected());
        let max_ejected = (ready as f64 * MAX_EJECTED_FRACTION) as usize;
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

    /// Returns whether the host may be ejected.
    fn allows(&self, host: &Host) -> bool {
        self.ejections > 0
            && self.warm_hosts(host.zone()) > 1
            && host.state() == EndpointState::Ready
    }

    /// Counts the ejection of a host.
    fn spend(&mut self, host: &Host, is_warm: bool) {
        self.ejections -= 1;
        if let Some(warm_hosts) = self.warm_hosts.get_mut(&host.zone()) {
            *warm_hosts -= usize::from(is_warm);
        }
    }
}

/// Ejects outliers and returns hosts after their ejection.
pub(crate) struct OutlierDetector {
    health_checks: bool,
}

impl OutlierDetector {
    pub(crate) fn new(config: &DeploymentConfig) -> OutlierDetector {
        OutlierDetector {
            health_checks: config.health_checks,
        }
    }

    /// Ejects outliers and ends ejections. Returns the hosts whose health should be checked.
    pub(crate) fn detect_outliers(
        &self,
        hosts: &mut HostRegistry,
        view: &FleetView<'_>,
        random: &mut fastrand::Rng,
    ) -> Vec<HostId> {
        let ratios = hosts.iter().filter_map(|host| host.stats.failure_ratio());
        let median = median(ratios).unwrap_or(0.0);
        let max_failure_ratio = median + (1.0 - median) * EJECTION_THRESHOLD;
        let mut budget = EjectionBudget::new(hosts, view);
        let mut to_check = Vec::new();
        for host in hosts.iter_mut() {
            let cause = view.observe(host, max_failure_ratio);
            if let Some(until) = host.ejection.ejected_until {
                if self.end_ejection(host, until, view.now, &budget) {
                    to_check.push(host.id().clone());
                }
                continue;
            }
            match cause.filter(|_| budget.allows(host)) {
                Some(cause) => {
                    budget.spend(host, view.policy.is_warm(host, view.now));
                    host.ejection.eject(view.now, cause, random);
                }
                None => update_probation(host, cause, view.now),
            }
        }
        to_check
    }

    /// Puts a host on probation once its ejection time is over, or at once if its zone has no warm host left. Returns
    /// whether its health must be checked first.
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

    /// Puts an ejected host on probation if it passed a health check and its queue is short. A shallow health check
    /// bypasses the request queue, so a host whose queue keeps growing can pass it.
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
        let has_short_queue = queue.is_none_or(|queue| queue <= max_queue);
        if result.healthy && has_short_queue && host.ejection.is_ejected() {
            host.start_probation(now);
        }
    }
}

/// Ends a probation whose time is over, or resets the consecutive ejections of a host that no longer fails.
fn update_probation(host: &mut Host, cause: Option<EjectionCause>, now: Time) {
    let has_ratio = host.stats.failure_ratio().is_some();
    let ejection = &mut host.ejection;
    match ejection.probation_since {
        Some(since) => {
            if now - since > EJECTION_TIME.scaled(PROBATION_EJECTION_TIMES) {
                ejection.probation_since = None;
            }
        }
        None => {
            if has_ratio && cause != Some(EjectionCause::Failures) {
                ejection.consecutive_ejections = 0;
            }
        }
    }
}
