//! Asks a host over HTTP/1.1, for its health or its load.

use http_body_util::Empty;
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use pondarch_load_report::{HEADER, Report};
use pondarch_settings::site::Probes;
use pondarch_steward::{Input, LoadTold};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

/// Probes under way at one time; one more waits for the next turn and counts as unanswered now.
const PROBES_MOST: usize = 256;

#[derive(Clone)]
pub(crate) struct Prober {
    probes: Arc<Probes>,
    places: Arc<Semaphore>,
    inputs: mpsc::Sender<Input>,
}

impl Prober {
    pub(crate) fn new(probes: Probes, inputs: mpsc::Sender<Input>) -> Prober {
        Prober { probes: Arc::new(probes), places: Arc::new(Semaphore::new(PROBES_MOST)), inputs }
    }

    /// One probe, to its end within the time limit.
    pub(crate) async fn ask(self, host: String, addr: SocketAddr, for_load: bool) {
        let asked = match self.places.try_acquire() {
            Ok(_place) => timeout(self.probes.time_limit.std(), get(addr, &self.probes.path)).await,
            Err(_) => Ok(None),
        };
        let report = asked.ok().flatten();
        let load = report.map(|report| LoadTold {
            busy: report.busy,
            queue: report.queue,
            service_ms: report.latency_ms,
            rate: report.rate,
            errored_rate: report.errored_rate,
        });
        // If the daemon is gone, nobody needs to know.
        self.inputs.send(Input::Probed { host, for_load, good: report.is_some(), load }).await.ok();
    }
}

/// A GET; none unless the answer is a good one.
async fn get(addr: SocketAddr, path: &str) -> Option<Report> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut to_host, connection) =
        hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await.ok()?;
    let req = Request::get(path).header("host", addr.to_string()).header("connection", "close");
    let req = req.body(Empty::new()).ok()?;
    let asked = async {
        let answer = to_host.send_request(req).await.ok()?;
        let told = answer.headers().get(HEADER).and_then(|value| value.to_str().ok());
        answer.status().is_success().then(|| told.map(Report::read).unwrap_or_default())
    };
    // The connection lives as long as the answer is awaited, no longer. A host that closes with its answer ends the
    // connection in the same moment that the answer is there: that is no failure.
    tokio::pin!(asked);
    tokio::select! {
        report = &mut asked => report,
        _ = connection => asked.await,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Such a probe failed each time, and a host that was kept away came back by the passing of time alone.
    #[tokio::test]
    async fn an_answer_that_closes_the_connection_counts() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let host = tokio::spawn(async move {
            for close in ["connection: close\r\n", ""] {
                let (mut stream, _) = listener.accept().await.expect("a probe");
                let mut asked = [0; 1024];
                let len = stream.read(&mut asked).await.expect("a request");
                assert!(asked[..len].starts_with(b"GET /health"));
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{close}content-length: 0\r\n{HEADER}: TEXT cpu_utilization=0.5\r\n\r\n"
                );
                stream.write_all(answer.as_bytes()).await.expect("written");
            }
        });
        for _ in 0..2 {
            let report = get(addr, "/health").await.expect("an answer");
            assert_eq!(report.busy, Some(0.5));
        }
        host.await.expect("both answered");
        assert!(get(addr, "/health").await.is_none(), "nobody is there any more");
    }
}
