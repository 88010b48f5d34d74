//! Slow start: a host that has started lately can do only part of its work.

use crate::config::DeploymentConfig;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Least part of its work that a host is taken to do at its start.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// How hosts of a deployment warm up.
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

    /// The part of its work that a host can do at least, by its start time. Every controller is told the same start time
    /// and computes the same part, so that all proxies together stay within it.
    pub(crate) fn warm_part(&self, started: Time, now: Time) -> f64 {
        if started.is_unset() {
            return 1.0;
        }
        let age = (now - started).ratio(self.window);
        let warm_part = self.initial_capacity + (1.0 - self.initial_capacity) * age;
        warm_part.min(1.0)
    }
}
