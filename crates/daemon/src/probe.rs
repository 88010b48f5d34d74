//! Health checks over HTTP/1.1, which also give a host's load.

use pondarch_config::site::HealthCheckSettings;
use pondarch_daemon_core::{Input, ReportedLoad};
use pondarch_io_util::{GetResponse, get};
use pondarch_load_report::{HEADER, Report};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

/// Health checks under way at one time; one more is made at its next turn and counts as unanswered now.
const MAX_CHECKS: usize = 256;
/// Bytes of an answer's body, which is not evaluated.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Makes health checks. Clones share their limit.
#[derive(Clone)]
pub(crate) struct Prober {
    settings: Arc<HealthCheckSettings>,
    permits: Arc<Semaphore>,
    inputs: mpsc::Sender<Input>,
}

impl Prober {
    /// A prober by the settings.
    pub(crate) fn new(settings: HealthCheckSettings, inputs: mpsc::Sender<Input>) -> Prober {
        Prober {
            settings: Arc::new(settings),
            permits: Arc::new(Semaphore::new(MAX_CHECKS)),
            inputs,
        }
    }

    /// One health check, to its end within the time limit.
    pub(crate) async fn check(self, host: String, address: SocketAddr, for_load: bool) {
        let answer = match self.permits.try_acquire() {
            Ok(_permit) => {
                timeout(
                    self.settings.timeout.as_std(),
                    get(address, &self.settings.path, MAX_ANSWER_BYTES),
                )
                .await
            }
            Err(_) => Ok(None),
        };
        let report = answer.ok().flatten().map(|answer| load_of(&answer));
        let load = report.map(|report| ReportedLoad {
            utilization: report.utilization,
            queue_length: report.queue_length,
            service_time_ms: report.service_time_ms,
            request_rate: report.request_rate,
            failure_rate: report.failure_rate,
        });
        // If the daemon is gone, nobody needs to know.
        self.inputs
            .send(Input::HealthCheckCompleted {
                host,
                for_load,
                healthy: report.is_some(),
                load,
            })
            .await
            .ok();
    }
}

/// The load that an answer reports, as far as it does.
fn load_of(answer: &GetResponse) -> Report {
    let value = answer
        .headers
        .get(HEADER)
        .and_then(|value| value.to_str().ok());
    value.map(Report::parse).unwrap_or_default()
}
