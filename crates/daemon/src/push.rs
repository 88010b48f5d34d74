//! Proxies and hosts that push load reports: a stream each, by credit. What one of them does harms no other: it has a few
//! reports under way at most, and whoever sends more than it may is cut off.

use crate::error::DaemonError;
use futures_util::{SinkExt, StreamExt};
use pondarch_config::SiteSettings;
use pondarch_daemon_core::Input;
use pondarch_load_report_protocol::{Codec, Hello, ToController, ToSender};
use pondarch_transport::{Listener, Stream};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

/// Senders at one time: beyond them, a connection is closed at once and the sender tries again.
const MAX_SENDERS: usize = 4_096;
/// Messages to one sender that wait; it has a few reports under way at most, so that there are never more.
const MAX_WAITING_MESSAGES: usize = 16;
/// Within which a sender says who it is.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Within which a sender takes a message.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// A sender that sends nothing for so long is gone.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The queue of messages to each sender, by the number of its connection.
type MessageQueues = BTreeMap<u64, mpsc::Sender<ToSender>>;

/// The senders that are connected.
#[derive(Clone)]
pub(crate) struct ReportSenders {
    queues: Arc<Mutex<MessageQueues>>,
    rejected: Arc<AtomicU64>,
}

/// Counts of senders.
#[derive(Clone, Copy, Default)]
pub(crate) struct SenderCounts {
    /// Those connected now.
    pub(crate) connected: u64,
    /// Those rejected since the last count.
    pub(crate) rejected: u64,
}

/// Opens the listener; its task ends with the set. None if the settings name none.
///
/// # Errors
///
/// The address cannot be had.
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

    /// Sends a message to one sender; one that does not take it is cut off.
    pub(crate) fn send(&self, connection: u64, message: ToSender) {
        let last = matches!(message, ToSender::Rejected { .. });
        let mut queues = self.queues();
        let full = queues
            .get(&connection)
            .is_some_and(|queue| queue.try_send(message).is_err());
        if full || last {
            // What is in the queue is still written; then the stream ends.
            queues.remove(&connection);
        }
    }

    /// Senders now, and those rejected since the last call.
    pub(crate) fn counts(&self) -> SenderCounts {
        SenderCounts {
            connected: self.queues().len() as u64,
            rejected: self.rejected.swap(0, Relaxed),
        }
    }
}

async fn accept(listener: Listener, senders: ReportSenders, inputs: mpsc::Sender<Input>) {
    let permits = Arc::new(Semaphore::new(MAX_SENDERS));
    let mut connections = JoinSet::new();
    let mut connection = 0;
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok(stream) = stream else {
            // Out of files, say: a pause, so as not to spin.
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
        connections.spawn(async move {
            serve(connection, stream, &senders, &inputs).await;
            if senders.queues().remove(&connection).is_some() {
                // If the daemon is gone, nobody needs to know.
                inputs
                    .send(Input::SenderDisconnected { connection })
                    .await
                    .ok();
            }
            drop(permit);
        });
    }
}

/// Serves one connection to its end.
async fn serve(
    connection: u64,
    stream: Stream,
    senders: &ReportSenders,
    inputs: &mpsc::Sender<Input>,
) {
    let mut framed = Framed::new(stream, Codec::default());
    let Ok(Some(Ok(ToController::Hello(hello)))) = timeout(HELLO_TIMEOUT, framed.next()).await
    else {
        return;
    };
    let (queue, messages) = mpsc::channel(MAX_WAITING_MESSAGES);
    senders.queues().insert(connection, queue);
    if inputs.send(connected(connection, hello)).await.is_err() {
        return;
    }
    let mut session = SenderSession {
        connection,
        framed,
        credit: 0,
        inputs,
    };
    session.run(messages).await;
}

fn connected(connection: u64, hello: Hello) -> Input {
    Input::SenderConnected {
        connection,
        name: hello.name,
        role: hello.role,
        incarnation: hello.incarnation,
    }
}

/// Whether a session goes on.
#[derive(PartialEq)]
enum Progress {
    Continue,
    End,
}

/// A sender that has said who it is.
struct SenderSession<'a> {
    connection: u64,
    framed: Framed<Stream, Codec<ToController, ToSender>>,
    /// Reports that it may still send.
    credit: u32,
    inputs: &'a mpsc::Sender<Input>,
}

impl SenderSession<'_> {
    async fn run(&mut self, mut messages: mpsc::Receiver<ToSender>) {
        let mut progress = Progress::Continue;
        while progress == Progress::Continue {
            progress = tokio::select! {
                biased;
                message = messages.recv() => self.write(message).await,
                received = timeout(IDLE_TIMEOUT, self.framed.next()) => match received {
                    Ok(Some(Ok(received))) => self.receive(received).await,
                    // Silence, a message that cannot be read, or the end.
                    _ => Progress::End,
                },
            };
        }
    }

    async fn write(&mut self, message: Option<ToSender>) -> Progress {
        // Once nothing more will be sent to it, the stream ends.
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
        let ToController::Report(report) = received else {
            // A second hello.
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
