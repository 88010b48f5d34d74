//! When the endpoint list is polled.

use crate::config::DeploymentConfig;
use crate::publishing::UPDATE_INTERVAL;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Part of the time within which the list must be polled that passes before it is polled again after a failure.
const RETRY_PART: f64 = 0.3;

/// Polls at the start and after failures, where the list has to be polled at all.
pub(crate) struct EndpointPoll {
    retry_delay: Option<Duration>,
    due_at: Option<Time>,
}

impl EndpointPoll {
    pub(crate) fn new(config: &DeploymentConfig, now: Time) -> EndpointPoll {
        let retry_delay = config.poll_interval.scaled(RETRY_PART).max(UPDATE_INTERVAL);
        EndpointPoll {
            retry_delay: config.poll_endpoints.then_some(retry_delay),
            due_at: config.poll_endpoints.then_some(now),
        }
    }

    /// The list could not be fetched.
    pub(crate) fn retry(&mut self, now: Time) {
        self.due_at = self.retry_delay.map(|delay| now + delay);
    }

    /// Whether the list is to be polled now; if so, this is not said again.
    pub(crate) fn take_due(&mut self, now: Time) -> bool {
        self.due_at.take_if(|due_at| now >= *due_at).is_some()
    }
}
