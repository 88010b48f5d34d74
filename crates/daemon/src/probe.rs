//! Asks a host over HTTP/1.1, for its health or its load.

use pondarch_config::site::Probes;
use pondarch_daemon_core::{Input, ReportedLoad};
use pondarch_io_util::{GetResponse, get};
use pondarch_load_report::{HEADER, Report};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

/// Probes under way at one time; one more waits for the next turn and counts as unanswered now.
const PROBES_MOST: usize = 256;
/// Bytes of an answer's body, which is not looked at.
const ANSWER_MOST: usize = 64 * 1024;

#[derive(Clone)]
pub(crate) struct Prober {
    probes: Arc<Probes>,
    places: Arc<Semaphore>,
    inputs: mpsc::Sender<Input>,
}

impl Prober {
    pub(crate) fn new(probes: Probes, inputs: mpsc::Sender<Input>) -> Prober {
        Prober {
            probes: Arc::new(probes),
            places: Arc::new(Semaphore::new(PROBES_MOST)),
            inputs,
        }
    }

    /// One probe, to its end within the time limit.
    pub(crate) async fn ask(self, host: String, addr: SocketAddr, for_load: bool) {
        let asked = match self.places.try_acquire() {
            Ok(_place) => {
                timeout(
                    self.probes.time_limit.std(),
                    get(addr, &self.probes.path, ANSWER_MOST),
                )
                .await
            }
            Err(_) => Ok(None),
        };
        let report = asked.ok().flatten().map(|answer| load_of(&answer));
        let load = report.map(|report| ReportedLoad {
            utilization: report.busy,
            queue_length: report.queue,
            service_time_ms: report.latency_ms,
            request_rate: report.rate,
            failure_rate: report.errored_rate,
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

fn load_of(answer: &GetResponse) -> Report {
    let told = answer
        .headers
        .get(HEADER)
        .and_then(|value| value.to_str().ok());
    told.map(Report::read).unwrap_or_default()
}
