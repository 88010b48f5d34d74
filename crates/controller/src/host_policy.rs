//! Which hosts may be sent requests now, and how much of their weight they can carry.

use crate::config::DeploymentConfig;
use crate::endpoint::EndpointState;
use crate::host::Host;
use crate::slow_start::SlowStart;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Report intervals for which a host's reports count as a sign of life.
const ALIVE_INTERVALS: f64 = 4.0;
/// Part of its weight that a host on probation gets.
const PROBATION_WEIGHT: f64 = 0.2;

/// What the deployment states of its hosts.
pub(crate) struct HostPolicy {
    alive_timeout: Duration,
    removal_is_advisory: bool,
    slow_start: SlowStart,
}

impl HostPolicy {
    pub(crate) fn new(config: &DeploymentConfig, report_interval: Duration) -> HostPolicy {
        HostPolicy {
            alive_timeout: report_interval.scaled(ALIVE_INTERVALS),
            removal_is_advisory: config.removal_is_advisory,
            slow_start: SlowStart::new(config),
        }
    }

    /// Whether the list lets proxies send there. Where removal is advisory, a host that was merely removed counts as ready
    /// while it answers.
    pub(crate) fn is_ready(&self, host: &Host, now: Time) -> bool {
        match host.state() {
            EndpointState::Ready => true,
            EndpointState::Draining => false,
            EndpointState::Removed => {
                self.removal_is_advisory && !host.drain_was_listed() && self.answers(host, now)
            }
        }
    }

    fn answers(&self, host: &Host, now: Time) -> bool {
        let silence = now - host.stats.last_report_at();
        silence < self.alive_timeout && host.stats.has_successes()
    }

    /// Whether it is ready and not ejected.
    pub(crate) fn is_usable(&self, host: &Host, now: Time) -> bool {
        self.is_ready(host, now) && !host.ejection.is_ejected()
    }

    /// The part of its work that it can do at least, as far as it has warmed up.
    pub(crate) fn warm_part(&self, host: &Host, now: Time) -> f64 {
        self.slow_start.warm_part(host.started(), now)
    }

    /// Whether it has warmed up.
    pub(crate) fn is_warm(&self, host: &Host, now: Time) -> bool {
        self.warm_part(host, now) >= 1.0
    }

    /// Its weight, less what warming up, probation or its load takes off.
    pub(crate) fn effective_weight(&self, host: &Host, now: Time) -> f64 {
        let on_probation = host.ejection.is_on_probation();
        let limit = if on_probation { PROBATION_WEIGHT } else { 1.0 };
        let strength = self.warm_part(host, now).min(limit) * host.weight_reduction.remaining();
        host.weight() * strength
    }
}
