//! Connections to the proxies' runtime API sockets. Each one runs in a task that stops when its [`Connection`] is
//! dropped.

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

/// Capacity of a connection's write queue, in groups of lines. The core has at most one update batch and one status
/// request in flight, so a proxy that answers never reaches this; the core closes the connection of one that does not
/// at its answer time limit.
const MAX_QUEUED_GROUPS: usize = 16;
/// Capacity of a connection's write queue in bytes: a few times the largest update batch of a large deployment.
const MAX_QUEUED_BYTES: u64 = 4 << 20;

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

/// A connection, or an attempt to establish one. Dropping it closes the connection.
pub(crate) struct Connection {
    lines: mpsc::Sender<Vec<String>>,
    /// Bytes in the write queue.
    queued_bytes: Arc<AtomicU64>,
    /// The connection's task, which is aborted when this is dropped.
    _task: JoinSet<()>,
}

impl Connection {
    /// Dials a proxy. The core is notified of the connection's state and the proxy's answers under this connection
    /// number.
    pub(crate) fn dial(
        proxy: u16,
        connection: u64,
        endpoint: Endpoint,
        limit: Duration,
        inputs: mpsc::Sender<Input>,
    ) -> Connection {
        let (lines, queue) = mpsc::channel(MAX_QUEUED_GROUPS);
        let queued_bytes: Arc<AtomicU64> = Arc::default();
        let proxy_connection = ProxyConnection {
            proxy,
            connection,
            queued_bytes: queued_bytes.clone(),
            inputs,
        };
        let mut task = JoinSet::new();
        task.spawn(async move {
            let reason = proxy_connection
                .run(endpoint, limit, queue)
                .await
                .to_string();
            let ended = Input::Disconnected {
                proxy,
                connection,
                reason,
            };
            // The error is ignored because the daemon may have stopped.
            proxy_connection.inputs.send(ended).await.ok();
        });
        Connection {
            lines,
            queued_bytes,
            _task: task,
        }
    }

    /// Queues lines for writing without waiting; returns whether there was room.
    pub(crate) fn write(&self, lines: Vec<String>) -> bool {
        let bytes = wire_bytes(&lines);
        let sent =
            self.queued_bytes() + bytes <= MAX_QUEUED_BYTES && self.lines.try_send(lines).is_ok();
        if sent {
            self.queued_bytes.fetch_add(bytes, Relaxed);
        }
        sent
    }

    /// Bytes in the write queue, including those being written.
    pub(crate) fn queued_bytes(&self) -> u64 {
        self.queued_bytes.load(Relaxed)
    }
}

/// Size of the lines on the wire, with a newline each.
fn wire_bytes(lines: &[String]) -> u64 {
    lines.iter().map(|line| line.len() as u64 + 1).sum()
}

/// The state of a connection within its task.
struct ProxyConnection {
    proxy: u16,
    connection: u64,
    queued_bytes: Arc<AtomicU64>,
    inputs: mpsc::Sender<Input>,
}

impl ProxyConnection {
    /// Connects and serves the connection until it ends.
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
        // The connection ends when either direction ends.
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
            let bytes = wire_bytes(&lines);
            for line in lines {
                if let Err(error) = sink.feed(line).await {
                    return EndReason::Write(error);
                }
            }
            if let Err(error) = sink.flush().await {
                return EndReason::Write(error);
            }
            self.queued_bytes.fetch_sub(bytes, Relaxed);
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
