//! Health checks of hosts, limited in duration and number.

use crate::events::{EventSender, TaskEvent, send_unless_shutting_down};
use pondarch_controller::HostId;
use pondarch_io_util::get;
use pondarch_platform_protocol::load;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Maximum number of health checks in flight. A check over this limit counts as failed, and the decision module repeats
/// it.
const MAX_HEALTH_CHECKS: usize = 16;
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of an answer, in bytes; a load report is a single line.
const MAX_ANSWER_BYTES: usize = 4 * 1024;
const LOAD_REPORT_PATH: &str = "/stats";

/// The health checks in flight. Their tasks are aborted when this is dropped.
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

    /// Starts a health check. Its result is sent as an event.
    pub(crate) fn start(&mut self, host: HostId, address: SocketAddr) {
        while self.in_flight.try_join_next().is_some() {}
        let has_capacity = self.in_flight.len() < MAX_HEALTH_CHECKS;
        let events = self.events.clone();
        self.in_flight.spawn(async move {
            let answer = if has_capacity {
                let request = get(address, LOAD_REPORT_PATH, MAX_ANSWER_BYTES);
                timeout(HEALTH_CHECK_TIMEOUT, request).await.ok().flatten()
            } else {
                None
            };
            let result = TaskEvent::HealthChecked {
                host,
                healthy: answer.is_some(),
                load: answer.and_then(|answer| load::parse_body(&answer.body)),
            };
            send_unless_shutting_down(&events, result).await;
        });
    }
}
