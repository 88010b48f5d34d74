//! Decides which hosts may be sent requests, and with how much of their weight.

use crate::config::DeploymentConfig;
use crate::endpoint::EndpointState;
use crate::host::Host;
use crate::slow_start::SlowStart;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Report intervals for which a removed host counts as alive after its last report.
const ALIVE_INTERVALS: f64 = 4.0;
/// Fraction of its weight that a host on probation gets.
const PROBATION_WEIGHT_FRACTION: f64 = 0.2;

/// The rules of a deployment for using its hosts.
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

    /// Returns whether the endpoint list allows sending requests to the host. If removal is advisory, a host that was
    /// removed without being listed as draining stays ready while it answers requests.
    pub(crate) fn is_ready(&self, host: &Host, now: Time) -> bool {
        match host.state() {
            EndpointState::Ready => true,
            EndpointState::Draining => false,
            EndpointState::Removed => {
                self.removal_is_advisory && !host.drain_was_listed() && self.answers(host, now)
            }
        }
    }

    /// Returns whether the host was reported on recently and any attempt at it succeeded.
    fn answers(&self, host: &Host, now: Time) -> bool {
        let silence = now - host.stats.last_report_at();
        silence < self.alive_timeout && host.stats.has_successes()
    }

    /// Returns whether the host is ready and not ejected.
    pub(crate) fn is_usable(&self, host: &Host, now: Time) -> bool {
        self.is_ready(host, now) && !host.ejection.is_ejected()
    }

    /// Returns the fraction of its capacity that the host has at least, by its slow start.
    pub(crate) fn warm_fraction(&self, host: &Host, now: Time) -> f64 {
        self.slow_start.warm_fraction(host.started(), now)
    }

    /// Returns whether the host has warmed up fully.
    pub(crate) fn is_warm(&self, host: &Host, now: Time) -> bool {
        self.warm_fraction(host, now) >= 1.0
    }

    /// Returns the host's weight, reduced for warming up, probation and high load.
    pub(crate) fn effective_weight(&self, host: &Host, now: Time) -> f64 {
        let on_probation = host.ejection.is_on_probation();
        let limit = if on_probation {
            PROBATION_WEIGHT_FRACTION
        } else {
            1.0
        };
        let fraction = self.warm_fraction(host, now).min(limit) * host.weight_reduction.remaining();
        host.weight() * fraction
    }
}
