//! The connections to proxies' runtime sockets: each one a task, owned by the daemon and ended with its entry.

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use pondarch_config::Endpoint;
use pondarch_daemon_core::Input;
use pondarch_runtime_api::{ClientCodec, CodecError};
use pondarch_transport::Stream;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Groups of lines that wait for a connection's task. The core has one update batch and one status request under way at
/// most, so this is never reached by a proxy that answers; one that does not is hung up at the answer limit.
const MAX_WAITING_GROUPS: usize = 16;
/// Bytes of them: a few times the largest batch of a large deployment.
const MAX_WAITING_BYTES: u64 = 4 << 20;

/// Why a connection ended. The texts are stored in the event log.
#[derive(Debug, Error)]
enum EndReason {
    #[error("cannot be reached at {endpoint}: {source}")]
    Unreachable {
        endpoint: Endpoint,
        source: io::Error,
    },
    #[error("cannot be reached at {endpoint} within {} ms", limit.as_millis())]
    ConnectTimeout { endpoint: Endpoint, limit: Duration },
    #[error("writing failed: {0}")]
    Write(#[source] CodecError),
    #[error("reading failed: {0}")]
    Read(#[source] CodecError),
    #[error("the proxy closed the connection")]
    ClosedByProxy,
    #[error("the steward stops")]
    Stopping,
}

/// One connection, or the attempt at one. Dropping it closes the connection.
pub(crate) struct Connection {
    lines: mpsc::Sender<Vec<String>>,
    /// Bytes that are handed over and not written.
    waiting: Arc<AtomicU64>,
    /// Its task, which is aborted when this is dropped.
    _task: JoinSet<()>,
}

impl Connection {
    /// Dials a proxy; the core is notified of how that goes under this number.
    pub(crate) fn dial(
        proxy: u16,
        connection: u64,
        endpoint: Endpoint,
        limit: Duration,
        inputs: mpsc::Sender<Input>,
    ) -> Connection {
        let (lines, queue) = mpsc::channel(MAX_WAITING_GROUPS);
        let waiting: Arc<AtomicU64> = Arc::default();
        let session = ProxyConnection {
            proxy,
            connection,
            waiting: waiting.clone(),
            inputs,
        };
        let mut task = JoinSet::new();
        task.spawn(async move {
            let reason = session.run(endpoint, limit, queue).await.to_string();
            let ended = Input::Disconnected {
                proxy,
                connection,
                reason,
            };
            // If the daemon is gone, nobody needs to know.
            session.inputs.send(ended).await.ok();
        });
        Connection {
            lines,
            waiting,
            _task: task,
        }
    }

    /// Hands lines over without waiting. Gives whether there was room.
    pub(crate) fn write(&self, lines: Vec<String>) -> bool {
        let bytes = bytes(&lines);
        let sent =
            self.waiting() + bytes <= MAX_WAITING_BYTES && self.lines.try_send(lines).is_ok();
        if sent {
            self.waiting.fetch_add(bytes, Relaxed);
        }
        sent
    }

    /// Bytes that wait to be written.
    pub(crate) fn waiting(&self) -> u64 {
        self.waiting.load(Relaxed)
    }
}

/// What lines take on the wire.
fn bytes(lines: &[String]) -> u64 {
    lines.iter().map(|line| line.len() as u64 + 1).sum()
}

/// A connection as its task has it.
struct ProxyConnection {
    proxy: u16,
    connection: u64,
    waiting: Arc<AtomicU64>,
    inputs: mpsc::Sender<Input>,
}

impl ProxyConnection {
    /// Runs the connection to its end.
    async fn run(
        &self,
        endpoint: Endpoint,
        limit: Duration,
        queue: mpsc::Receiver<Vec<String>>,
    ) -> EndReason {
        let stream = match timeout(limit, Stream::connect(&endpoint)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(source)) => return EndReason::Unreachable { endpoint, source },
            Err(_) => return EndReason::ConnectTimeout { endpoint, limit },
        };
        let connected = Input::Connected {
            proxy: self.proxy,
            connection: self.connection,
        };
        if self.inputs.send(connected).await.is_err() {
            return EndReason::Stopping;
        }
        let (sink, stream) = Framed::new(stream, ClientCodec::default()).split();
        // Whichever end fails first ends both.
        tokio::select! {
            reason = self.write(sink, queue) => reason,
            reason = self.read(stream) => reason,
        }
    }

    async fn write(
        &self,
        mut sink: SplitSink<Framed<Stream, ClientCodec>, String>,
        mut queue: mpsc::Receiver<Vec<String>>,
    ) -> EndReason {
        while let Some(lines) = queue.recv().await {
            let bytes = bytes(&lines);
            for line in lines {
                if let Err(error) = sink.feed(line).await {
                    return EndReason::Write(error);
                }
            }
            if let Err(error) = sink.flush().await {
                return EndReason::Write(error);
            }
            self.waiting.fetch_sub(bytes, Relaxed);
        }
        EndReason::Stopping
    }

    async fn read(&self, mut stream: SplitStream<Framed<Stream, ClientCodec>>) -> EndReason {
        loop {
            let text = match stream.next().await {
                Some(Ok(text)) => text,
                Some(Err(error)) => return EndReason::Read(error),
                None => return EndReason::ClosedByProxy,
            };
            let answer = Input::Answer {
                proxy: self.proxy,
                connection: self.connection,
                text,
            };
            if self.inputs.send(answer).await.is_err() {
                return EndReason::Stopping;
            }
        }
    }
}
