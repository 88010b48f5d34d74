//! Schedules polls of the endpoint list.

use crate::config::DeploymentConfig;
use crate::publishing::UPDATE_INTERVAL;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Delay of a retry after a failed poll, as a fraction of the poll interval.
const RETRY_DELAY_FRACTION: f64 = 0.3;

/// Poll schedule: at startup and after failures, if the deployment polls the endpoint list at all.
pub(crate) struct EndpointPoll {
    retry_delay: Option<Duration>,
    due_at: Option<Time>,
}

impl EndpointPoll {
    pub(crate) fn new(config: &DeploymentConfig, now: Time) -> EndpointPoll {
        let retry_delay = config
            .poll_interval
            .scaled(RETRY_DELAY_FRACTION)
            .max(UPDATE_INTERVAL);
        EndpointPoll {
            retry_delay: config.poll_endpoints.then_some(retry_delay),
            due_at: config.poll_endpoints.then_some(now),
        }
    }

    /// Schedules a retry after a failed poll.
    pub(crate) fn retry(&mut self, now: Time) {
        self.due_at = self.retry_delay.map(|delay| now + delay);
    }

    /// Returns whether a poll is due now, and clears it.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.due_at.take_if(|due_at| now >= *due_at).is_some()
    }
}
