//! The connections to proxies' runtime sockets: each one a task, owned by the daemon and ended with its entry.

use futures_util::SinkExt;
use futures_util::StreamExt;
use pondarch_config::Endpoint;
use pondarch_daemon_core::Input;
use pondarch_runtime_api::ClientCodec;
use pondarch_transport::Stream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Groups of lines that wait for a connection's task. The core has one batch and one look under way at most, so
/// this is never reached by a proxy that answers; one that does not is hung up at the answer limit.
const GROUPS_MOST: usize = 16;
/// And bytes of them: a few times the largest batch of a large site.
const BYTES_MOST: u64 = 4 << 20;

/// One connection, or the try at one. Dropping it closes the connection.
pub(crate) struct Connection {
    lines: mpsc::Sender<Vec<String>>,
    /// Bytes that are handed over and not written.
    waiting: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Connection {
    pub(crate) fn dial(
        proxy: u16,
        conn: u64,
        to: Endpoint,
        limit: Duration,
        inputs: mpsc::Sender<Input>,
    ) -> Connection {
        let (lines, queue) = mpsc::channel(GROUPS_MOST);
        let waiting: Arc<AtomicU64> = Arc::default();
        let written = waiting.clone();
        let task = tokio::spawn(async move {
            let why = talk((proxy, conn), &to, limit, queue, &written, &inputs).await;
            // If the daemon is gone, nobody needs to know.
            inputs
                .send(Input::Disconnected {
                    proxy,
                    connection: conn,
                    reason: why,
                })
                .await
                .ok();
        });
        Connection {
            lines,
            waiting,
            task,
        }
    }

    /// Hands lines over without waiting. Gives whether there was room.
    pub(crate) fn write(&self, lines: Vec<String>) -> bool {
        let bytes = bytes(&lines);
        let taken = self.waiting() + bytes <= BYTES_MOST && self.lines.try_send(lines).is_ok();
        if taken {
            self.waiting.fetch_add(bytes, Relaxed);
        }
        taken
    }

    pub(crate) fn waiting(&self) -> u64 {
        self.waiting.load(Relaxed)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn bytes(lines: &[String]) -> u64 {
    lines.iter().map(|line| line.len() as u64 + 1).sum()
}

/// Runs one connection to its end; gives why it ended.
async fn talk(
    (proxy, conn): (u16, u64),
    to: &Endpoint,
    limit: Duration,
    mut queue: mpsc::Receiver<Vec<String>>,
    written: &AtomicU64,
    inputs: &mpsc::Sender<Input>,
) -> String {
    let stream = match timeout(limit, Stream::connect(to)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(wrong)) => return format!("cannot be reached at {to}: {wrong}"),
        Err(_) => return format!("cannot be reached at {to} within {} ms", limit.as_millis()),
    };
    if inputs
        .send(Input::Connected {
            proxy,
            connection: conn,
        })
        .await
        .is_err()
    {
        return "the steward stops".into();
    }
    let (mut to_proxy, mut from_proxy) = Framed::new(stream, ClientCodec::default()).split();
    let writing = async {
        while let Some(lines) = queue.recv().await {
            let bytes = bytes(&lines);
            for line in lines {
                if let Err(wrong) = to_proxy.feed(line).await {
                    return format!("writing failed: {wrong}");
                }
            }
            if let Err(wrong) = to_proxy.flush().await {
                return format!("writing failed: {wrong}");
            }
            written.fetch_sub(bytes, Relaxed);
        }
        "the steward stops".to_string()
    };
    let reading = async {
        loop {
            match from_proxy.next().await {
                Some(Ok(text)) => {
                    if inputs
                        .send(Input::Answer {
                            proxy,
                            connection: conn,
                            text,
                        })
                        .await
                        .is_err()
                    {
                        return "the steward stops".to_string();
                    }
                }
                Some(Err(wrong)) => return format!("reading failed: {wrong}"),
                None => return "the proxy closed the connection".to_string(),
            }
        }
    };
    // Whichever end fails first ends both.
    tokio::select! {
        why = writing => why,
        why = reading => why,
    }
}
