//! The connection that brings the relay's news.

use crate::dial::{DIAL_PAUSE, RelayLines, dial};
use crate::word::{Told, Word};
use pondarch_platform_protocol::relay::{self, Line};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// A sign of life comes every second.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_300);
/// The answer to the request for news comes at once, as any answer does.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

pub(crate) async fn run(to: SocketAddr, age: u64, say: mpsc::Sender<Told>) {
    loop {
        let why = follow(to, age, &say).await;
        // If the program is gone, nobody needs to know.
        say.send((age, Word::NewsLost(why))).await.ok();
        sleep(DIAL_PAUSE).await;
    }
}

/// Follows the news on one connection; gives why it ended.
async fn follow(to: SocketAddr, age: u64, say: &mpsc::Sender<Told>) -> String {
    let mut stream = match dial(to).await {
        Ok(stream) => stream,
        Err(why) => return why,
    };
    if let Err(wrong) = stream.write_all(relay::watch().as_bytes()).await {
        return wrong.to_string();
    }
    let mut lines = RelayLines::of(stream);
    let mut limit = ANSWER_LIMIT;
    loop {
        let line = match timeout(limit, lines.next()).await {
            Ok(Ok(line)) => line,
            Ok(Err(why)) => return why,
            Err(_) => return "silent".into(),
        };
        let word = match relay::read(&line) {
            Some(Line::Watching) => Word::NewsBegan,
            Some(Line::News(news)) if limit == SILENCE_LIMIT => Word::News(news),
            Some(Line::Refused { why, .. }) => return why,
            _ => return "went on with what cannot be read".into(),
        };
        limit = SILENCE_LIMIT;
        if say.send((age, word)).await.is_err() {
            return "the steward ends".into();
        }
    }
}
