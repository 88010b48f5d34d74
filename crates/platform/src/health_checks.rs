//! Health checks of hosts, bounded in time and number.

use crate::events::{EventSender, TaskEvent, send_unless_ending};
use pondarch_controller::HostId;
use pondarch_io_util::get;
use pondarch_platform_protocol::load;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Health checks in flight; one more counts as failed, and the decision module repeats it.
const MAX_HEALTH_CHECKS: usize = 16;
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes of an answer: a load report is a line.
const MAX_ANSWER_BYTES: usize = 4 * 1024;
const PATH: &str = "/stats";

/// The health checks in flight, each a task that ends with this.
pub(crate) struct HealthChecks {
    events: EventSender,
    in_flight: JoinSet<()>,
}

impl HealthChecks {
    pub(crate) fn new(events: EventSender) -> HealthChecks {
        HealthChecks {
            events,
            in_flight: JoinSet::new(),
        }
    }

    /// Starts a health check; its result arrives as an event.
    pub(crate) fn start(&mut self, host: HostId, address: SocketAddr) {
        while self.in_flight.try_join_next().is_some() {}
        let has_capacity = self.in_flight.len() < MAX_HEALTH_CHECKS;
        let events = self.events.clone();
        self.in_flight.spawn(async move {
            let answer = if has_capacity {
                let request = get(address, PATH, MAX_ANSWER_BYTES);
                timeout(HEALTH_CHECK_TIMEOUT, request).await.ok().flatten()
            } else {
                None
            };
            let result = TaskEvent::HealthChecked {
                host,
                healthy: answer.is_some(),
                load: answer.and_then(|answer| load::parse_body(&answer.body)),
            };
            send_unless_ending(&events, result).await;
        });
    }
}
