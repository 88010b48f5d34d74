//! Slow start: a host that started recently has only a fraction of its full capacity.

use crate::config::DeploymentConfig;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Minimum initial capacity, as a fraction of the full capacity.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// The slow start parameters of a deployment.
pub(crate) struct SlowStart {
    initial_capacity: f64,
    window: Duration,
}

impl SlowStart {
    pub(crate) fn new(config: &DeploymentConfig) -> SlowStart {
        SlowStart {
            initial_capacity: config.initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0),
            window: config.slow_start_window,
        }
    }

    /// Returns the fraction of its capacity that a host has at least, by its start time. All controllers get the same
    /// start time and compute the same fraction, so all proxies together stay within it.
    pub(crate) fn warm_fraction(&self, started: Time, now: Time) -> f64 {
        if started.is_unset() {
            return 1.0;
        }
        let age = (now - started).ratio(self.window);
        let warm_fraction = self.initial_capacity + (1.0 - self.initial_capacity) * age;
        warm_fraction.min(1.0)
    }
}
