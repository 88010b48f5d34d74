//! Statistics of one host from the proxies' load reports: attempts with exponential decay, latency and load.

use crate::report::AttemptOutcomes;
use crate::statistics::moving_average;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Half-life of attempt counts.
pub(crate) const ATTEMPT_HALF_LIFE: Duration = Duration::from_millis(2_000);
/// Averaging window for load: covers several of the noisy reports, yet shows the effect of an admission cut soon.
pub(crate) const LOAD_WINDOW: Duration = Duration::from_millis(3_000);
/// Averaging window for latency.
const LATENCY_WINDOW: Duration = Duration::from_millis(1_200);
/// Minimum number of attempts for a failure ratio, so that a single failure does not decide.
const MIN_ATTEMPTS: f64 = 2.0;
/// Load that each queued request adds, where 1 means that all cores are busy.
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

    /// Adds a report to the statistics.
    pub(crate) fn record(
        &mut self,
        now: Time,
        outcomes: &AttemptOutcomes,
        report_interval: Duration,
    ) {
        let age = now - self.last_report_at;
        let decay = age.decay(ATTEMPT_HALF_LIFE);
        let covered = age.max(report_interval);
        self.attempts = self.attempts * decay + outcomes.attempts;
        self.failures = self.failures * decay + outcomes.failures.min(outcomes.attempts);
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

    /// Clears attempts and latency when a host returns from an ejection.
    pub(crate) fn reset(&mut self, now: Time) {
        self.attempts = 0.0;
        self.failures = 0.0;
        self.latency_s = 0.0;
        self.last_report_at = now;
    }

    /// Returns the decayed number of ended attempts as of the last report.
    pub(crate) fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Returns the decayed number of failed attempts as of the last report.
    pub(crate) fn failures(&self) -> f64 {
        self.failures
    }

    /// Returns whether any attempt succeeded.
    pub(crate) fn has_successes(&self) -> bool {
        self.failures < self.attempts
    }

    /// Returns the failure ratio, or `None` if there are too few attempts.
    pub(crate) fn failure_ratio(&self) -> Option<f64> {
        (self.attempts >= MIN_ATTEMPTS).then(|| self.failures / self.attempts)
    }

    /// Returns the mean latency in seconds, or `None` before the first successful attempt.
    pub(crate) fn latency_s(&self) -> Option<f64> {
        Some(self.latency_s).filter(|&latency_s| latency_s > 0.0)
    }

    /// Returns the load (1 means that all cores are busy) including queued requests, or `None` if the host reports
    /// none.
    pub(crate) fn load(&self) -> Option<f64> {
        self.load
    }

    /// Returns the number of requests queued at the host, or `None` if the host reports none.
    pub(crate) fn queue_length(&self) -> Option<f64> {
        self.queue_length
    }

    /// Returns the time of the last report, or when the host became known or was last reset.
    pub(crate) fn last_report_at(&self) -> Time {
        self.last_report_at
    }
}
