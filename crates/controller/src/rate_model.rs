//! Models of the sending rate of the channel to the proxies, used where the rate cannot be measured.

use crate::time::{DurationExt, Time};

/// Ratio of the configured rate of the channel to its rate in a slow phase.
pub(crate) const SLOW_CHANNEL_FACTOR: f64 = 8.0;

/// Estimates of the queued lines at the configured rate and at a slow rate.
pub(crate) struct RateModel {
    configured_rate: f64,
    queued_at_configured_rate: f64,
    queued_at_slow_rate: f64,
    advanced_at: Time,
}

impl RateModel {
    pub(crate) fn new(configured_rate: f64) -> RateModel {
        RateModel {
            configured_rate,
            queued_at_configured_rate: 0.0,
            queued_at_slow_rate: 0.0,
            advanced_at: Time::default(),
        }
    }

    /// Subtracts the lines that are sent by `now` at each rate.
    pub(crate) fn advance(&mut self, now: Time) {
        let elapsed_s = (now - self.advanced_at).seconds();
        self.advanced_at = now;
        let slow_rate = self.configured_rate / SLOW_CHANNEL_FACTOR;
        self.queued_at_configured_rate = remaining(
            self.queued_at_configured_rate,
            elapsed_s * self.configured_rate,
        );
        self.queued_at_slow_rate = remaining(self.queued_at_slow_rate, elapsed_s * slow_rate);
    }

    pub(crate) fn add(&mut self, lines: f64) {
        self.queued_at_configured_rate += lines;
        self.queued_at_slow_rate += lines;
    }

    /// Removes lines that are known not to have been queued.
    pub(crate) fn remove(&mut self, lines: f64) {
        self.queued_at_configured_rate = remaining(self.queued_at_configured_rate, lines);
        self.queued_at_slow_rate = remaining(self.queued_at_slow_rate, lines);
    }

    pub(crate) fn queued_at_configured_rate(&self) -> f64 {
        self.queued_at_configured_rate
    }

    pub(crate) fn queued_at_slow_rate(&self) -> f64 {
        self.queued_at_slow_rate
    }
}

/// Returns the queued lines less `lines`, or zero if fewer are queued.
fn remaining(queued: f64, lines: f64) -> f64 {
    (queued - lines).max(0.0)
}
