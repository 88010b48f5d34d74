//! Proxies and hosts that push reports: a stream each, by credit. What one of them does harms no other: it has a few reports
//! under way at most, and whoever sends more than it may is cut off.

use crate::error::DaemonError;
use futures_util::{SinkExt, StreamExt};
use pondarch_config::Site;
use pondarch_daemon_core::Input;
use pondarch_load_report_protocol::{Codec, ToSender, ToSteward};
use pondarch_transport::{Listener, Stream};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Senders at one time: beyond it, who comes is closed at once and tries again.
const SENDERS_MOST: usize = 4_096;
/// Words to one sender that wait; it has a few reports under way at most, so that there are never more.
const WORDS_MOST: usize = 16;
/// Within which a sender says who it is, and takes a word that is written.
const HELLO_WITHIN: Duration = Duration::from_secs(2);
const WRITE_WITHIN: Duration = Duration::from_secs(5);
/// A sender that says nothing for so long is gone.
const IDLE: Duration = Duration::from_secs(90);

type Words = BTreeMap<u64, mpsc::Sender<ToSender>>;

/// The senders that are connected.
#[derive(Clone)]
pub(crate) struct Pushers {
    words: Arc<Mutex<Words>>,
    capped: Arc<AtomicU64>,
}

/// Opens the listener; its task ends with the set. None if the settings name none.
///
/// Errors: the address cannot be had.
pub(crate) async fn open(
    site: &Site,
    inputs: mpsc::Sender<Input>,
    tasks: &mut JoinSet<()>,
) -> Result<Option<Pushers>, DaemonError> {
    let Some(at) = &site.reports.push else {
        return Ok(None);
    };
    let listen = |wrong| DaemonError::Listen {
        at: at.clone(),
        wrong,
    };
    let listener = Listener::bind(at).await.map_err(listen)?;
    let pushers = Pushers {
        words: Arc::default(),
        capped: Arc::default(),
    };
    tasks.spawn(accept(listener, pushers.clone(), inputs));
    Ok(Some(pushers))
}

impl Pushers {
    fn words(&self) -> MutexGuard<'_, Words> {
        self.words.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A word to one sender; who does not take it is cut off.
    pub(crate) fn say(&self, conn: u64, word: ToSender) {
        let last = matches!(word, ToSender::Refused { .. });
        let mut words = self.words();
        let full = words
            .get(&conn)
            .is_some_and(|to| to.try_send(word).is_err());
        if full || last {
            // What was said is still written; then the stream ends.
            words.remove(&conn);
        }
    }

    /// Senders now, and those turned away since the last call.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.words().len() as u64, self.capped.swap(0, Relaxed))
    }
}

async fn accept(listener: Listener, pushers: Pushers, inputs: mpsc::Sender<Input>) {
    let (places, mut connections, mut conn) =
        (Arc::new(Semaphore::new(SENDERS_MOST)), JoinSet::new(), 0);
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok(stream) = stream else {
            // Out of files, say: try again in a moment rather than in circles.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            pushers.capped.fetch_add(1, Relaxed);
            continue;
        };
        conn += 1;
        let (pushers, inputs) = (pushers.clone(), inputs.clone());
        connections.spawn(async move {
            talk(conn, stream, &pushers, &inputs).await;
            if pushers.words().remove(&conn).is_some() {
                inputs
                    .send(Input::SenderDisconnected { connection: conn })
                    .await
                    .ok();
            }
            drop(place);
        });
    }
}

async fn talk(conn: u64, stream: Stream, pushers: &Pushers, inputs: &mpsc::Sender<Input>) {
    let mut wire: Framed<Stream, Codec<ToSteward, ToSender>> =
        Framed::new(stream, Codec::default());
    let Ok(Some(Ok(ToSteward::Hello(hello)))) = timeout(HELLO_WITHIN, wire.next()).await else {
        return;
    };
    let (words, mut said) = mpsc::channel(WORDS_MOST);
    pushers.words().insert(conn, words);
    let came = Input::SenderConnected {
        connection: conn,
        name: hello.name,
        role: hello.is,
        incarnation: hello.run,
    };
    if inputs.send(came).await.is_err() {
        return;
    }
    let mut credit = 0u32;
    loop {
        tokio::select! {
            biased;
            word = said.recv() => {
                // Without anybody to speak to it, the stream ends.
                let Some(word) = word else { return };
                if let ToSender::Credit { more, .. } = &word {
                    credit = credit.saturating_add(*more);
                }
                if !matches!(timeout(WRITE_WITHIN, wire.send(&word)).await, Ok(Ok(()))) {
                    return;
                }
            }
            report = timeout(IDLE, wire.next()) => match report {
                Ok(Some(Ok(ToSteward::Report(report)))) if credit > 0 => {
                    credit -= 1;
                    if inputs.send(Input::ReportReceived { connection: conn, report: Box::new(report) }).await.is_err() {
                        return;
                    }
                }
                // More than it may, a second hello, a message that cannot be read, or the end.
                _ => return,
            },
        }
    }
}
