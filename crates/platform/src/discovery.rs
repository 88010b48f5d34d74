//! The watch on discovery: the list once whole from each address, then what changes.

use crate::dial::{DIAL_PAUSE, dial};
use crate::word::{Told, Word};
use bytes::BytesMut;
use http_body_util::BodyExt;
use pondarch_io_util::{ConnectionOption, StreamedResponse, get, start_get};
use pondarch_platform_protocol::registry::{self, LIST_MOST, Listed};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// An empty line comes every 2 s. What is told counts as told 6 s later: silence is noticed well within that.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);
const ANSWER_LIMIT: Duration = Duration::from_millis(1_000);
/// From a line's first byte to its end. Bytes that come one by one are signs of life, and hid what half a line told
/// for as long as they came; with a new connection, this too is within the 6 s.
const LINE_LIMIT: Duration = Duration::from_millis(4_000);
const PATH: &str = "/registry/instances";

/// `since`: the version of what is known already at this address; none: all is asked for first, since an address
/// that is new may number its versions otherwise.
pub(crate) async fn run(to: SocketAddr, age: u64, mut since: Option<u64>, say: mpsc::Sender<Told>) {
    loop {
        let why = follow(to, age, &mut since, &say).await;
        // If the program is gone, nobody needs to know.
        say.send((age, Word::ListLost(why))).await.ok();
        sleep(DIAL_PAUSE).await;
    }
}

async fn follow(
    to: SocketAddr,
    age: u64,
    since: &mut Option<u64>,
    say: &mpsc::Sender<Told>,
) -> String {
    if since.is_none() {
        let whole = timeout(ANSWER_LIMIT, get(to, PATH, LIST_MOST))
            .await
            .ok()
            .flatten();
        let Some(whole) = whole else {
            return "no whole list".into();
        };
        match registry::read(&whole.body) {
            Ok(listed) => {
                tell(
                    Listed {
                        whole: true,
                        ..listed
                    },
                    age,
                    since,
                    say,
                )
                .await
            }
            Err(wrong) => return wrong.to_string(),
        }
    }
    let watching = async {
        let path = format!("{PATH}?follow=1&since={}", since.unwrap_or(0));
        start_get(dial(to).await?, to, &path, ConnectionOption::KeepAlive)
            .await
            .map_err(|wrong| wrong.to_string())
    };
    let StreamedResponse {
        response: answer,
        connection: _connection,
    } = match timeout(ANSWER_LIMIT, watching).await {
        Ok(Ok(watching)) => watching,
        Ok(Err(why)) => return why,
        Err(_) => return "no answer".into(),
    };
    let mut body = answer.into_body();
    let (mut held, mut begun) = (BytesMut::new(), None);
    loop {
        let silent = Instant::now() + SILENCE_LIMIT;
        let limit = begun.map_or(silent, |begun: Instant| silent.min(begun + LINE_LIMIT));
        let frame = match timeout_at(limit, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(wrong))) => return wrong.to_string(),
            Ok(None) => return "closed by discovery".into(),
            Err(_) => return "silent".into(),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let mut from = held.len();
        held.extend_from_slice(&data);
        while let Some(end) = held[from..]
            .iter()
            .position(|&byte| byte == b'\n')
            .map(|at| at + from)
        {
            let line = held.split_to(end + 1);
            (from, begun) = (0, None);
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match registry::read(&line) {
                // It numbers otherwise than before, or we have missed something: changes alone would be taken for old ones.
                Ok(listed)
                    if !listed.whole && since.is_some_and(|held| listed.generation < held) =>
                {
                    *since = None;
                    return "changes older than the list".into();
                }
                Ok(listed) => tell(listed, age, since, say).await,
                Err(wrong) => return wrong.to_string(),
            }
        }
        begun = if held.is_empty() {
            None
        } else {
            begun.or_else(|| Some(Instant::now()))
        };
        if held.len() > LIST_MOST {
            return "a line without end".into();
        }
    }
}

async fn tell(listed: Listed, age: u64, since: &mut Option<u64>, say: &mpsc::Sender<Told>) {
    *since = Some(listed.generation);
    // If the program is gone, nobody needs to know.
    say.send((age, Word::Listed(listed))).await.ok();
}
