//! The server end of the runtime API: accepts, reads lines, keeps to the mode of each connection.

use crate::socket::{Listener, Stream};
use futures_util::{SinkExt, StreamExt};
use pondarch_runtime_api::codec::framed_answer;
use pondarch_runtime_api::{
    CodecError, Command, Level, PromptMode, ServerCodec, ServerFrame, command,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Operators' connections at one time; the next one waits until one ends (the guide's `stats maxconn`, 10 there).
const CONNECTIONS_MOST: usize = 64;
/// A connection that sends nothing, or half a line and then nothing, is closed after this (the guide's `stats
/// timeout` is 10 s; a person at a prompt wants longer).
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Writing an answer must not take longer than this: a peer that does not read is cut off.
const WRITE_LIMIT: Duration = Duration::from_secs(5);

/// Whoever answers what comes by these connections. Each connection has a number of its own, rising as they open.
pub trait Desk: Clone + Send + Sync + 'static {
    fn opened(&self) -> u64;

    fn closed(&self, connection: u64);

    /// The answers to one line, as they are to be written; none: the connection ends.
    fn answer(
        &self,
        connection: u64,
        level: Level,
        line: String,
    ) -> impl Future<Output = Option<String>> + Send;
}

/// Accepts until it is dropped.
pub async fn serve(listener: Listener, level: Level, desk: impl Desk) {
    let places = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok(stream) = stream else {
            // Out of files, say: try again in a moment rather than in circles.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let desk = desk.clone();
        connections.spawn(async move {
            let _place = place;
            let connection = Open {
                number: desk.opened(),
                desk,
            };
            // A connection that breaks ends; there is nobody left to tell.
            talk(stream, level, &connection).await.ok();
        });
    }
}

/// An open connection; its desk is told of its end, however it ends.
struct Open<D: Desk> {
    number: u64,
    desk: D,
}

impl<D: Desk> Drop for Open<D> {
    fn drop(&mut self) {
        self.desk.closed(self.number);
    }
}

async fn talk(stream: Stream, level: Level, of: &Open<impl Desk>) -> Result<(), CodecError> {
    let mut wire = Framed::new(stream, ServerCodec::default());
    let mut mode = PromptMode::Closing;
    loop {
        let frame = match timeout(IDLE_LIMIT, wire.next()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(wrong))) => {
                write(&mut wire, framed_answer(&format!("{wrong}."))).await?;
                return Ok(());
            }
            Ok(None) | Err(_) => return Ok(()),
        };
        let mut quit = false;
        let mut text = match frame {
            ServerFrame::Garbled => framed_answer("The line is not UTF-8."),
            ServerFrame::Line(line) => {
                for command in command::parse_line(&line).into_iter().flatten() {
                    match command {
                        Command::Quit => quit = true,
                        Command::Prompt(asked) => mode = changed(mode, asked),
                        _ => {}
                    }
                }
                match of.desk.answer(of.number, level, line).await {
                    Some(text) => text,
                    None => return Ok(()),
                }
            }
        };
        if mode == PromptMode::Prompting {
            text.push_str("> ");
        }
        write(&mut wire, text).await?;
        if quit || mode == PromptMode::Closing {
            return Ok(());
        }
    }
}

/// The guide's rules: bare `prompt` goes between prompting and closing, the words name a mode.
fn changed(mode: PromptMode, asked: PromptMode) -> PromptMode {
    match (asked, mode) {
        (PromptMode::Toggle, PromptMode::Prompting) => PromptMode::Closing,
        (PromptMode::Toggle, _) => PromptMode::Prompting,
        (named, _) => named,
    }
}

async fn write(wire: &mut Framed<Stream, ServerCodec>, text: String) -> Result<(), CodecError> {
    match timeout(WRITE_LIMIT, wire.send(text)).await {
        Ok(done) => done,
        Err(_) => Err(CodecError::Io(std::io::ErrorKind::TimedOut.into())),
    }
}
