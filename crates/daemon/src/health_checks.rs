//! Health checks over HTTP/1.1, whose responses can also report a host's load.

use pondarch_config::site::HealthCheckSettings;
use pondarch_daemon_core::{Input, ReportedLoad};
use pondarch_io_util::{GetResponse, get};
use pondarch_load_report::{HEADER, Report};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

/// Maximum number of concurrent health checks. Further ones count as unanswered and are repeated at the next interval.
const MAX_CONCURRENT_CHECKS: usize = 256;
/// Maximum size of a response body, in bytes. The body is not evaluated.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Performs health checks. Clones share the limit on concurrent checks.
#[derive(Clone)]
pub(crate) struct HealthChecker {
    settings: Arc<HealthCheckSettings>,
    permits: Arc<Semaphore>,
    inputs: mpsc::Sender<Input>,
}

impl HealthChecker {
    /// Creates a health checker with these settings.
    pub(crate) fn new(settings: HealthCheckSettings, inputs: mpsc::Sender<Input>) -> HealthChecker {
        HealthChecker {
            settings: Arc::new(settings),
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CHECKS)),
            inputs,
        }
    }

    /// Performs one health check within the time limit and reports the result to the core.
    pub(crate) async fn check(self, host: String, address: SocketAddr, for_load: bool) {
        let response = match self.permits.try_acquire() {
            Ok(_permit) => {
                timeout(
                    self.settings.timeout.as_std(),
                    get(address, &self.settings.path, MAX_BODY_BYTES),
                )
                .await
            }
            Err(_) => Ok(None),
        };
        let report = response
            .ok()
            .flatten()
            .map(|response| reported_load(&response));
        let load = report.map(|report| ReportedLoad {
            utilization: report.utilization,
            queue_length: report.queue_length,
            service_time_ms: report.service_time_ms,
            request_rate: report.request_rate,
            failure_rate: report.failure_rate,
        });
        // The error is ignored because the daemon may have stopped.
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

/// The load that a response reports; empty if it has no load report.
fn reported_load(response: &GetResponse) -> Report {
    let value = response
        .headers
        .get(HEADER)
        .and_then(|value| value.to_str().ok());
    value.map(Report::parse).unwrap_or_default()
}
