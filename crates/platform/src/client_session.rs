//! The session of one client that has connected to the controller's own address.

use crate::dial::disable_nagle;
use crate::events::{ClientEvent, CloseReason, EventSender, TaskEvent};
use futures_util::StreamExt;
use pondarch_platform_protocol::report::{self, MalformedMessage, Message};
use pondarch_platform_protocol::resp::{FrameError, RespCodec, encode_message};
use std::convert::Infallible;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::FramedRead;

/// Time after which a client is closed if it has not identified itself.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same if part of a message has arrived: a collector whose bytes arrive one at a time takes longer to identify
/// itself, and was closed each time. Every unidentified client must be closed within 3 s.
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_millis(2_000);
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a message from an unidentified client, in bytes.
const MAX_UNIDENTIFIED_BYTES: usize = 1024;
/// Maximum size of a collector's message, in bytes; a report has about 300.
const MAX_COLLECTOR_BYTES: usize = 16 * 1024;
/// Initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1024;
/// Maximum number of consecutive malformed messages before a collector is closed.
const MAX_CONSECUTIVE_MALFORMED: u32 = 200;

/// Serves a client until its connection ends. `joined` becomes true when the program has accepted the client as a
/// collector.
pub(crate) async fn run(
    mut stream: TcpStream,
    client: u64,
    joined: watch::Receiver<bool>,
    events: &EventSender,
) -> CloseReason {
    disable_nagle(&stream);
    let (reader, writer) = stream.split();
    let accepted_at = Instant::now();
    let codec = RespCodec {
        max_message_bytes: MAX_UNIDENTIFIED_BYTES,
    };
    let mut session = ClientSession {
        client,
        messages: FramedRead::with_capacity(reader, codec, READ_BUFFER_BYTES),
        writer,
        joined,
        events,
        accepted_at,
        identify_by: accepted_at + IDENTIFY_TIMEOUT,
        identified: false,
        consecutive_malformed: 0,
    };
    let Err(reason) = session.serve().await;
    reason
}

struct ClientSession<'a> {
    client: u64,
    messages: FramedRead<ReadHalf<'a>, RespCodec>,
    writer: WriteHalf<'a>,
    joined: watch::Receiver<bool>,
    events: &'a EventSender,
    accepted_at: Instant,
    identify_by: Instant,
    /// Whether the client has identified itself as a collector.
    identified: bool,
    consecutive_malformed: u32,
}

impl ClientSession<'_> {
    async fn serve(&mut self) -> Result<Infallible, CloseReason> {
        loop {
            let words = self.next_words().await?;
            self.handle(&words).await?;
        }
    }

    /// Returns the words of the next message.
    async fn next_words(&mut self) -> Result<Vec<String>, CloseReason> {
        loop {
            let received = if self.identified {
                Some(self.messages.next().await)
            } else if Instant::now() >= self.identify_by {
                // The limit applies even if a message is ready: a client that sent pings continuously was never closed.
                None
            } else {
                timeout_at(self.identify_by, self.messages.next())
                    .await
                    .ok()
            };
            match received {
                Some(Some(Ok(words))) => return Ok(words),
                Some(Some(Err(FrameError::Io(_)))) => return Err(CloseReason::Broken),
                Some(Some(Err(_))) => return Err(self.refuse(CloseReason::Unreadable).await),
                Some(None) => return Err(CloseReason::Closed),
                None if self.message_may_complete() => {
                    self.identify_by = self.accepted_at + PARTIAL_MESSAGE_TIMEOUT;
                }
                None => return Err(self.refuse(CloseReason::NeverIdentified).await),
            }
        }
    }

    /// Returns whether part of a message has arrived whose rest may still arrive in time.
    fn message_may_complete(&self) -> bool {
        self.identify_by < self.accepted_at + PARTIAL_MESSAGE_TIMEOUT
            && !self.messages.read_buffer().is_empty()
    }

    async fn handle(&mut self, words: &[String]) -> Result<(), CloseReason> {
        let event = match (report::parse(words), self.identified) {
            (Ok(Message::Ping), _) => return self.answer_ping().await,
            (Ok(Message::Collector { zone }), false) => {
                self.identified = true;
                self.messages.decoder_mut().max_message_bytes = MAX_COLLECTOR_BYTES;
                ClientEvent::Identified { zone }
            }
            (Ok(Message::Collector { .. }), true) => {
                ClientEvent::Malformed(MalformedMessage::UnknownType)
            }
            (Ok(message), true) => ClientEvent::Report(message),
            (Err(reason), true) => ClientEvent::Malformed(reason),
            (_, false) => return Err(self.refuse(CloseReason::NotACollector).await),
        };
        self.send(event).await?;
        self.wait_until_joined().await
    }

    async fn answer_ping(&mut self) -> Result<(), CloseReason> {
        self.write(&["pong"]).await.map_err(|_| CloseReason::Broken)
    }

    async fn send(&mut self, event: ClientEvent) -> Result<(), CloseReason> {
        if matches!(event, ClientEvent::Malformed(_)) {
            self.consecutive_malformed += 1;
        } else {
            self.consecutive_malformed = 0;
        }
        if self.consecutive_malformed > MAX_CONSECUTIVE_MALFORMED {
            return Err(CloseReason::Unreadable);
        }
        let client = self.client;
        self.events
            .send(TaskEvent::Client { client, event })
            .await
            .map_err(|_| CloseReason::Unreadable)
    }

    /// Waits until the program has accepted the collector's zone; it closes the connection if the zone is unknown. No
    /// message is read meanwhile.
    async fn wait_until_joined(&mut self) -> Result<(), CloseReason> {
        match self.joined.wait_for(|joined| *joined).await {
            Ok(_) => Ok(()),
            Err(_) => Err(CloseReason::NotACollector),
        }
    }

    /// Tells an unidentified client that it is refused. Nothing but pongs is ever written to a collector.
    async fn refuse(&mut self, reason: CloseReason) -> CloseReason {
        if !self.identified {
            // If the write fails, the client still notices the close that follows.
            self.write(&["refused"]).await.ok();
        }
        reason
    }

    async fn write(&mut self, words: &[&str]) -> io::Result<()> {
        let message = encode_message(words);
        timeout(WRITE_TIMEOUT, self.writer.write_all(&message)).await?
    }
}
