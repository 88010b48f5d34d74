//! The connection for calls to the relay: one call under way at most.

use crate::dial::{DIAL_PAUSE, RelayLines, dial};
use crate::word::{Down, Told, Word};
use pondarch_platform_core::CallEnd;
use pondarch_platform_protocol::relay::{self, Line};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// An answer comes within 50 ms or never; this leaves room for a crowded machine.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// The relay closes a connection that stood idle for some seconds: it is renewed before an order needs it.
const IDLE_LIMIT: Duration = Duration::from_millis(2_500);

/// A call on its way out: its number and its line.
pub(crate) type Call = (u64, String);

/// Dials, carries calls, dials again, until no more calls can come; the last one is carried to its end.
pub(crate) async fn run(
    to: SocketAddr,
    age: u64,
    mut calls: mpsc::Receiver<Call>,
    say: mpsc::Sender<Told>,
) {
    loop {
        let dialled = Instant::now();
        let down = match dial(to).await {
            Ok(stream) => {
                // If the program is gone, nobody needs to know; that holds for all that is said here.
                say.send((age, Word::CallsUp)).await.ok();
                match talk(stream, age, &mut calls, &say).await {
                    Some(down) => down,
                    None => return,
                }
            }
            Err(why) => Down::Lost(why),
        };
        let why = match &down {
            Down::Idle => String::new(),
            Down::Lost(why) => why.clone(),
        };
        say.send((age, Word::CallsDown(down))).await.ok();
        // A relay that takes a connection and closes it at once was dialled again without end. One that has stood for
        // longer than the pause is renewed at once.
        if !pause(dialled + DIAL_PAUSE, &why, age, &mut calls, &say).await {
            return;
        }
    }
}

/// Waits, and refuses calls meanwhile: nobody can carry them. Gives whether more calls can come.
async fn pause(
    until: Instant,
    why: &str,
    age: u64,
    calls: &mut mpsc::Receiver<Call>,
    say: &mpsc::Sender<Told>,
) -> bool {
    while Instant::now() < until {
        tokio::select! {
            () = sleep_until(until) => {}
            call = calls.recv() => {
                let Some((call, _)) = call else { return false };
                let ended = Word::CallEnded { call, end: CallEnd::Refused, why: why.to_string() };
                say.send((age, ended)).await.ok();
            }
        }
    }
    true
}

/// Calls on one connection; gives why it ended, or none if no more calls can come.
async fn talk(
    mut stream: TcpStream,
    age: u64,
    calls: &mut mpsc::Receiver<Call>,
    say: &mpsc::Sender<Told>,
) -> Option<Down> {
    let (reading, mut writing) = stream.split();
    let mut lines = RelayLines::of(reading);
    loop {
        let next = tokio::select! {
            biased;
            line = lines.next() => {
                let why = line.map_or_else(|why| why, |_| "the relay said what nobody asked".into());
                return Some(Down::Lost(why));
            }
            next = timeout(IDLE_LIMIT, calls.recv()) => next,
        };
        let Ok(next) = next else {
            return Some(Down::Idle);
        };
        let (call, line) = next?;
        let answered = async {
            writing
                .write_all(line.as_bytes())
                .await
                .map_err(|wrong| wrong.to_string())?;
            lines.next().await
        };
        let answered = timeout(ANSWER_LIMIT, answered)
            .await
            .unwrap_or(Err("no answer".into()));
        let (end, why) = match answered.as_deref().map(relay::read) {
            Ok(Some(Line::Taken { id, orders })) if id == call => {
                (CallEnd::Answered { orders }, String::new())
            }
            Ok(Some(Line::Refused { id, why })) if id == call => (CallEnd::Refused, why),
            Ok(_) => (CallEnd::Unknown, "an answer that cannot be read".into()),
            Err(wrong) => (CallEnd::Unknown, wrong.clone()),
        };
        say.send((
            age,
            Word::CallEnded {
                call,
                end,
                why: why.clone(),
            },
        ))
        .await
        .ok();
        if end == CallEnd::Unknown {
            return Some(Down::Lost(why));
        }
    }
}
