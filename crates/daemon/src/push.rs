//! Proxies and hosts that push load reports, each on its own connection with credit-based flow control. Senders cannot
//! affect each other: each has at most a few reports in flight, and one that exceeds its credit is disconnected.

use crate::error::DaemonError;
use crate::sender_codec::{SenderCodec, message_budget};
use futures_util::{SinkExt, StreamExt};
use pondarch_config::SiteSettings;
use pondarch_daemon_core::Input;
use pondarch_load_report_protocol::{Hello, ToController, ToSender};
use pondarch_transport::{Listener, Stream};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep, timeout};
use tokio_util::codec::Framed;

/// Maximum number of concurrent senders. Further connections are closed at once, and their senders retry.
const MAX_SENDERS: usize = 4_096;
/// Capacity of the message queue to a sender. It is never reached because a sender has at most a few reports in flight.
const MAX_QUEUED_MESSAGES: usize = 16;
/// Time limit for a sender to identify itself with a hello message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for writing a message to a sender.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A sender that sends nothing for this long is disconnected.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Time limit for the rest of a message of which a part has arrived; up to twice that, as it is checked at this interval.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The queue of messages to each sender, by the number of its connection.
type MessageQueues = BTreeMap<u64, mpsc::Sender<ToSender>>;

/// The connected senders.
#[derive(Clone)]
pub(crate) struct ReportSenders {
    queues: Arc<Mutex<MessageQueues>>,
    rejected: Arc<AtomicU64>,
}

/// Counts of senders.
#[derive(Clone, Copy, Default)]
pub(crate) struct SenderCounts {
    /// Senders connected now.
    pub(crate) connected: u64,
    /// Connections rejected since the last count.
    pub(crate) rejected: u64,
}

/// Opens the listener and serves it in a task of the set. Returns `None` if the settings have no address for it.
///
/// # Errors
///
/// The address cannot be bound.
pub(crate) async fn open(
    site: &SiteSettings,
    inputs: mpsc::Sender<Input>,
    tasks: &mut JoinSet<()>,
) -> Result<Option<ReportSenders>, DaemonError> {
    let Some(endpoint) = &site.load_reports.push_endpoint else {
        return Ok(None);
    };
    let listener = Listener::bind(endpoint)
        .await
        .map_err(DaemonError::listen(endpoint))?;
    let senders = ReportSenders {
        queues: Arc::default(),
        rejected: Arc::default(),
    };
    tasks.spawn(accept(listener, senders.clone(), inputs));
    Ok(Some(senders))
}

impl ReportSenders {
    fn queues(&self) -> MutexGuard<'_, MessageQueues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a message to a sender. A sender whose queue is full is disconnected.
    pub(crate) fn send(&self, connection: u64, message: ToSender) {
        let is_rejection = matches!(message, ToSender::Rejected { .. });
        let mut queues = self.queues();
        let full = queues
            .get(&connection)
            .is_some_and(|queue| queue.try_send(message).is_err());
        if full || is_rejection {
            // The queued messages are still written; then the connection is closed.
            queues.remove(&connection);
        }
    }

    /// The number of connected senders, and of connections rejected since the last call.
    pub(crate) fn counts(&self) -> SenderCounts {
        SenderCounts {
            connected: self.queues().len() as u64,
            rejected: self.rejected.swap(0, Relaxed),
        }
    }
}

async fn accept(listener: Listener, senders: ReportSenders, inputs: mpsc::Sender<Input>) {
    let permits = Arc::new(Semaphore::new(MAX_SENDERS));
    let budget = message_budget();
    let mut connections = JoinSet::new();
    let mut connection = 0;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok(stream) = stream else {
            // The delay avoids a busy loop, for example while no file descriptors are free.
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            senders.rejected.fetch_add(1, Relaxed);
            continue;
        };
        connection += 1;
        let senders = senders.clone();
        let inputs = inputs.clone();
        let framed = Framed::new(stream, SenderCodec::new(budget.clone()));
        connections.spawn(async move {
            serve(connection, framed, &senders, &inputs).await;
            if senders.queues().remove(&connection).is_some() {
                // The error is ignored because the daemon may have stopped.
                inputs
                    .send(Input::SenderDisconnected { connection })
                    .await
                    .ok();
            }
            drop(permit);
        });
    }
}

/// Serves a connection until it ends.
async fn serve(
    connection: u64,
    mut framed: Framed<Stream, SenderCodec>,
    senders: &ReportSenders,
    inputs: &mpsc::Sender<Input>,
) {
    let Ok(Some(Ok(ToController::Hello(hello)))) = timeout(HELLO_TIMEOUT, framed.next()).await
    else {
        return;
    };
    framed.codec_mut().set_identified();
    let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    senders.queues().insert(connection, queue);
    if inputs
        .send(connected_input(connection, hello))
        .await
        .is_err()
    {
        return;
    }
    let mut session = SenderSession {
        connection,
        framed,
        credit: 0,
        received_at: Instant::now(),
        inputs,
    };
    session.run(messages).await;
}

fn connected_input(connection: u64, hello: Hello) -> Input {
    Input::SenderConnected {
        connection,
        name: hello.name,
        role: hello.role,
        incarnation: hello.incarnation,
    }
}

/// Whether a session continues.
#[derive(PartialEq)]
enum Progress {
    Continue,
    End,
}

/// The session of a sender that has identified itself.
struct SenderSession<'a> {
    connection: u64,
    framed: Framed<Stream, SenderCodec>,
    /// Number of reports that the sender may still send.
    credit: u32,
    /// When the last message was received.
    received_at: Instant,
    inputs: &'a mpsc::Sender<Input>,
}

impl SenderSession<'_> {
    async fn run(&mut self, mut messages: mpsc::Receiver<ToSender>) {
        let mut progress = Progress::Continue;
        let mut incomplete_since_check = false;
        let mut check = interval(MESSAGE_TIMEOUT);
        while progress == Progress::Continue {
            progress = tokio::select! {
                biased;
                message = messages.recv() => self.write(message).await,
                received = self.framed.next() => match received {
                    Some(Ok(received)) => {
                        incomplete_since_check = false;
                        self.receive(received).await
                    }
                    // Invalid message, no memory for it, or closed connection.
                    _ => Progress::End,
                },
                _ = check.tick() => {
                    let progress = self.check_time_limits(incomplete_since_check);
                    incomplete_since_check = self.framed.codec().is_incomplete();
                    progress
                }
            };
        }
    }

    /// Returns whether the sender has time left: to send anything, and to complete a message that has been incomplete
    /// since the last check.
    fn check_time_limits(&self, incomplete_since_check: bool) -> Progress {
        let is_stuck = incomplete_since_check && self.framed.codec().is_incomplete();
        if is_stuck || self.received_at.elapsed() >= IDLE_TIMEOUT {
            Progress::End
        } else {
            Progress::Continue
        }
    }

    async fn write(&mut self, message: Option<ToSender>) -> Progress {
        // The queue was removed, so the connection is closed.
        let Some(message) = message else {
            return Progress::End;
        };
        if let ToSender::Credit { reports, .. } = &message {
            self.credit = self.credit.saturating_add(*reports);
        }
        match timeout(WRITE_TIMEOUT, self.framed.send(&message)).await {
            Ok(Ok(())) => Progress::Continue,
            _ => Progress::End,
        }
    }

    async fn receive(&mut self, received: ToController) -> Progress {
        self.received_at = Instant::now();
        let ToController::Report(report) = received else {
            // A second hello is a protocol violation.
            return Progress::End;
        };
        if self.credit == 0 {
            return Progress::End;
        }
        self.credit -= 1;
        let input = Input::ReportReceived {
            connection: self.connection,
            report: Box::new(report),
        };
        match self.inputs.send(input).await {
            Ok(()) => Progress::Continue,
            Err(_) => Progress::End,
        }
    }
}
