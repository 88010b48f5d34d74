//! What the proxies' load reports tell of one host: attempts that fade with age, response times and load.

use crate::report::AttemptOutcomes;
use crate::statistics::moving_average;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Time in which attempts lose half their weight.
pub(crate) const ATTEMPT_HALF_LIFE: Duration = Duration::from_millis(2_000);
/// Time over which load is averaged: a few of the noisy reports, yet a cut of admission shows soon.
pub(crate) const LOAD_WINDOW: Duration = Duration::from_millis(3_000);
/// Time over which response times are averaged.
const LATENCY_WINDOW: Duration = Duration::from_millis(1_200);
/// Attempts before a failure ratio is stated, lest a stray failure decides.
const MIN_ATTEMPTS: f64 = 2.0;
/// What a waiting request adds to a load, in parts of all cores busy.
const QUEUE_WEIGHT: f64 = 0.1;

/// Statistics of one host.
#[derive(Default)]
pub(crate) struct AttemptStats {
    attempts: f64,
    failures: f64,
    latency_s: f64,
    load: Option<f64>,
    queue_length: Option<f64>,
    last_report_at: Time,
}

impl AttemptStats {
    pub(crate) fn new(now: Time) -> AttemptStats {
        AttemptStats {
            last_report_at: now,
            ..AttemptStats::default()
        }
    }

    /// Adds a report to what is known.
    pub(crate) fn record(
        &mut self,
        now: Time,
        outcomes: &AttemptOutcomes,
        report_interval: Duration,
    ) {
        let age = now - self.last_report_at;
        let fade = age.decay(ATTEMPT_HALF_LIFE);
        let covered = age.max(report_interval);
        self.attempts = self.attempts * fade + outcomes.attempts;
        self.failures = self.failures * fade + outcomes.failures.min(outcomes.attempts);
        if outcomes.attempts > outcomes.failures && outcomes.mean_latency > Duration::ZERO {
            let latency_s = outcomes.mean_latency.seconds();
            let weight = covered.sample_weight(LATENCY_WINDOW);
            self.latency_s = moving_average(self.latency_s, latency_s, weight);
        }
        self.last_report_at = now;
        self.queue_length = outcomes
            .load
            .and_then(|load| load.queue_length)
            .or(self.queue_length);
        if let Some(utilization) = outcomes.load.and_then(|load| load.utilization) {
            let load = utilization + QUEUE_WEIGHT * self.queue_length.unwrap_or(0.0);
            let weight = covered.sample_weight(LOAD_WINDOW);
            self.load = Some(moving_average(self.load.unwrap_or(0.0), load, weight));
        }
    }

    /// Forgets attempts and response times, as of a host that comes back.
    pub(crate) fn reset(&mut self, now: Time) {
        self.attempts = 0.0;
        self.failures = 0.0;
        self.latency_s = 0.0;
        self.last_report_at = now;
    }

    /// Attempts that ended, as of the last report.
    pub(crate) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Attempts that failed, as of the last report.
    pub(crate) fn failures(&self) -> f64 {
        self.failures
    }

    /// Whether any attempt succeeded.
    pub(crate) fn has_successes(&self) -> bool {
        self.failures < self.attempts
    }

    /// The part of the attempts that failed; none while there are too few.
    pub(crate) fn failure_ratio(&self) -> Option<f64> {
        (self.attempts >= MIN_ATTEMPTS).then(|| self.failures / self.attempts)
    }

    /// Mean response time in seconds; none before the first answer.
    pub(crate) fn latency_s(&self) -> Option<f64> {
        Some(self.latency_s).filter(|&latency_s| latency_s > 0.0)
    }

    /// Load in parts of all cores, with what waits; none if the host reports none.
    pub(crate) fn load(&self) -> Option<f64> {
        self.load
    }

    /// Requests that wait at the host; none if it reports none.
    pub(crate) fn queue_length(&self) -> Option<f64> {
        self.queue_length
    }

    /// When the last report came, or the host became known.
    pub(crate) fn last_report_at(&self) -> Time {
        self.last_report_at
    }
}
