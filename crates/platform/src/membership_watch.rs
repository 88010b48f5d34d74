//! The connection for the relay's membership events.

use crate::dial::{DIAL_RETRY_DELAY, RelayLines, dial};
use crate::error::ConnectionError;
use crate::events::{UpstreamEvent, UpstreamEventSender};
use pondarch_platform_protocol::relay::{self, RelayMessage};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout};

/// Maximum time between two messages of the relay, which sends a ping every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_300);
/// Maximum time until the answer to the watch request. The relay answers this request at once, as it does any request.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Watches the membership events of a relay, and reconnects when the connection ends.
pub(crate) async fn run(relay: SocketAddr, events: UpstreamEventSender) {
    loop {
        let Err(error) = watch(relay, &events).await;
        events
            .send_unless_shutting_down(UpstreamEvent::MembershipWatchFailed(error))
            .await;
        sleep(DIAL_RETRY_DELAY).await;
    }
}

/// Watches the events on one connection until it ends.
async fn watch(
    relay: SocketAddr,
    events: &UpstreamEventSender,
) -> Result<Infallible, ConnectionError> {
    let mut stream = dial(relay).await?;
    stream.write_all(relay::watch_request().as_bytes()).await?;
    let mut lines = RelayLines::new(stream);
    // Events are accepted only after the answer to the watch request.
    let first = next_message(&mut lines, ANSWER_TIMEOUT).await?;
    events.send(started(first)?).await?;
    loop {
        let message = next_message(&mut lines, SILENCE_TIMEOUT).await?;
        events.send(started_or_event(message)?).await?;
    }
}

async fn next_message<R: tokio::io::AsyncRead + Unpin>(
    lines: &mut RelayLines<R>,
    limit: Duration,
) -> Result<Option<RelayMessage>, ConnectionError> {
    let line = timeout(limit, lines.next())
        .await
        .map_err(|_| ConnectionError::Silent)??;
    Ok(relay::parse(&line))
}

fn started(message: Option<RelayMessage>) -> Result<UpstreamEvent, ConnectionError> {
    match message {
        Some(RelayMessage::WatchStarted) => Ok(UpstreamEvent::MembershipWatchStarted),
        Some(RelayMessage::Rejected { reason, .. }) => Err(ConnectionError::Rejected(reason)),
        _ => Err(ConnectionError::MalformedEvent),
    }
}

fn started_or_event(message: Option<RelayMessage>) -> Result<UpstreamEvent, ConnectionError> {
    match message {
        Some(RelayMessage::Event(event)) => Ok(UpstreamEvent::Membership(event)),
        other => started(other),
    }
}
