//! Who connects to the steward's own address: collectors, askers for a sign of life, and strangers.

use crate::word::{Gone, Told, Word};
use futures_util::StreamExt;
use pondarch_controller::ZoneId;
use pondarch_platform_protocol::report::{self, Message, Spoilt};
use pondarch_platform_protocol::resp::{WordsCodec, message};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::FramedRead;
use tokio_util::task::AbortOnDropHandle;

/// Who has not joined by then is closed; or by the second, if part of a message is there: where bytes come one at a
/// time, a collector takes longer to name itself, and was closed each time. All are owed a close within 3 s.
const JOIN_LIMIT: Duration = Duration::from_millis(1_000);
const HALF_SAID_LIMIT: Duration = Duration::from_millis(2_000);
/// A stranger does not go for another one sooner: its first message may be on its way, and be a collector's.
const HEARD_OUT: Duration = Duration::from_millis(100);
/// Bytes of a message of one who has not joined, and of one who has: a report takes some 300.
const STRANGER_BYTES: usize = 1024;
const COLLECTOR_BYTES: usize = 16 * 1024;
/// Collectors of one zone: one that returns replaces its silent former self, and a stranger that takes a zone's
/// name does not push the true one out.
const COLLECTORS_A_ZONE: usize = 3;
const WRITE_LIMIT: Duration = Duration::from_millis(500);
/// Messages that say nothing, one after another, after which a collector is of no further use.
const SPOILT_MOST: u32 = 200;

/// The connections that are open, each with its task.
pub(crate) struct Clients {
    say: mpsc::Sender<Told>,
    most: usize,
    next: u64,
    open: BTreeMap<u64, Client>,
    /// Ended connections by reason, for the log.
    pub(crate) ended: BTreeMap<Gone, u64>,
}

struct Client {
    since: Instant,
    zone: Option<ZoneId>,
    /// Says to the task that it has joined.
    joined: watch::Sender<bool>,
    _task: AbortOnDropHandle<()>,
}

impl Clients {
    pub(crate) fn new(most: usize, say: mpsc::Sender<Told>) -> Clients {
        Clients {
            say,
            most,
            next: 0,
            open: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }

    /// From when on one more is taken; none: now. Hundreds that came at once pushed out a collector whose name was
    /// not read yet.
    pub(crate) fn room_from(&self) -> Option<Instant> {
        if self.open.len() < self.most {
            return None;
        }
        self.oldest_stranger()
            .map(|(_, client)| client.since + HEARD_OUT)
    }

    /// Takes a connection; if there is no room, the stranger that came first goes.
    pub(crate) fn accept(&mut self, stream: TcpStream) {
        if self.open.len() >= self.most {
            let Some(oldest) = self.oldest_stranger().map(|(id, _)| id) else {
                return;
            };
            self.end(oldest, Gone::Crowded);
        }
        self.next += 1;
        let (id, say) = (self.next, self.say.clone());
        let (joined, told) = watch::channel(false);
        let task = tokio::spawn(async move {
            let why = serve(stream, id, told, &say).await;
            // If the program is gone, nobody needs to know.
            say.send((0, Word::ClientGone { client: id, why }))
                .await
                .ok();
        });
        let task = AbortOnDropHandle::new(task);
        self.open.insert(
            id,
            Client {
                since: Instant::now(),
                zone: None,
                joined,
                _task: task,
            },
        );
    }

    fn oldest_stranger(&self) -> Option<(u64, &Client)> {
        self.open
            .iter()
            .find(|(_, client)| client.zone.is_none())
            .map(|(id, client)| (*id, client))
    }

    /// A connection named its zone; none: there is no such zone.
    pub(crate) fn joins(&mut self, id: u64, zone: Option<ZoneId>) {
        let Some(zone) = zone else {
            return self.end(id, Gone::NotOurs);
        };
        let Some(client) = self.open.get_mut(&id) else {
            return;
        };
        client.zone = Some(zone);
        // The task may just have ended; then its word is on its way.
        client.joined.send(true).ok();
        let same = |(id, client): (&u64, &Client)| (client.zone == Some(zone)).then_some(*id);
        let of_zone: Vec<u64> = self.open.iter().filter_map(same).collect();
        let over = of_zone.len().saturating_sub(COLLECTORS_A_ZONE);
        of_zone[..over]
            .iter()
            .for_each(|&id| self.end(id, Gone::Crowded));
    }

    pub(crate) fn end(&mut self, id: u64, why: Gone) {
        if self.open.remove(&id).is_some() {
            *self.ended.entry(why).or_default() += 1;
        }
    }
}

/// One connection to its end.
async fn serve(
    mut stream: TcpStream,
    id: u64,
    told: watch::Receiver<bool>,
    say: &mpsc::Sender<Told>,
) -> Gone {
    stream.set_nodelay(true).ok();
    let (reading, mut writing) = stream.split();
    let mut messages = FramedRead::with_capacity(
        reading,
        WordsCodec {
            limit: STRANGER_BYTES,
        },
        1024,
    );
    let since = Instant::now();
    let mut limit = since + JOIN_LIMIT;
    let (mut named, mut spoilt) = (false, 0);
    loop {
        let next = match named {
            true => Some(messages.next().await),
            // A message that is there goes before the limit: one who asked without end was never closed.
            false if Instant::now() >= limit => None,
            false => timeout_at(limit, messages.next()).await.ok(),
        };
        let words = match next {
            Some(Some(Ok(words))) => words,
            Some(Some(Err(wrong))) => {
                let broken = matches!(wrong, pondarch_platform_protocol::resp::FrameError::Io(_));
                if broken {
                    return Gone::Broken;
                }
                refuse(&mut writing, named).await;
                return Gone::Unreadable;
            }
            Some(None) => return Gone::Closed,
            None if limit < since + HALF_SAID_LIMIT && !messages.read_buffer().is_empty() => {
                limit = since + HALF_SAID_LIMIT;
                continue;
            }
            None => {
                refuse(&mut writing, named).await;
                return Gone::NeverJoined;
            }
        };
        let word = match report::read(&words) {
            Ok(Message::Ping) => {
                let pong = timeout(WRITE_LIMIT, writing.write_all(&message(&["pong"]))).await;
                if !matches!(pong, Ok(Ok(()))) {
                    return Gone::Broken;
                }
                continue;
            }
            Ok(Message::Collector { site }) if !named => {
                named = true;
                messages.decoder_mut().limit = COLLECTOR_BYTES;
                Word::Collector { client: id, site }
            }
            Ok(Message::Collector { .. }) => Word::Spoilt(Spoilt::Kind),
            Ok(said) if named => Word::Said(said),
            Err(why) if named => Word::Spoilt(why),
            _ => {
                refuse(&mut writing, named).await;
                return Gone::NotOurs;
            }
        };
        spoilt = if matches!(word, Word::Spoilt(_)) {
            spoilt + 1
        } else {
            0
        };
        if spoilt > SPOILT_MOST || say.send((0, word)).await.is_err() {
            return Gone::Unreadable;
        }
        // Nothing more is read of one whose zone is not known to be one: the program closes it.
        if named && !*told.borrow() {
            let mut told = told.clone();
            if told.wait_for(|joined| *joined).await.is_err() {
                return Gone::NotOurs;
            }
        }
    }
}

/// Nothing is ever written to a collector.
async fn refuse(writing: &mut tokio::net::tcp::WriteHalf<'_>, named: bool) {
    if !named {
        // A close says the same.
        timeout(WRITE_LIMIT, writing.write_all(&message(&["refused"])))
            .await
            .ok();
    }
}
