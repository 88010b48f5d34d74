//! The server end of the runtime API: accepts connections, reads lines, keeps to the prompt mode of each connection.

use crate::socket::{Listener, Stream};
use futures_util::{SinkExt, StreamExt};
use pondarch_runtime_api::codec::framed_reply;
use pondarch_runtime_api::{
    CodecError, Command, Level, PromptMode, ServerCodec, ServerFrame, command,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Operators' connections at one time; the next one waits until one ends (the guide's `stats maxconn`, 10 there).
const MAX_CONNECTIONS: usize = 64;
/// A connection that sends nothing, or half a line and then nothing, is closed after this (the guide's `stats
/// timeout` is 10 s; a person at a prompt needs longer).
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Writing an answer must not take longer than this: the connection of a peer that does not read is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Answers the lines of these connections. Each connection has a number of its own, rising as they open.
pub trait CommandHandler: Clone + Send + Sync + 'static {
    /// A connection has opened; gives its number.
    fn opened(&self) -> u64;

    /// The connection of this number has ended.
    fn closed(&self, connection: u64);

    /// The answers to one line, as they are to be written; none: the connection ends.
    fn answer(
        &self,
        connection: u64,
        level: Level,
        line: String,
    ) -> impl Future<Output = Option<String>> + Send;
}

/// Accepts connections until the future is dropped, which ends them all.
pub async fn serve(listener: Listener, level: Level, handler: impl CommandHandler) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok(stream) = stream else {
            // Out of file descriptors, say: waiting avoids a busy loop.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        connections.spawn(async move {
            let _permit = permit;
            let connection = OpenConnection {
                number: handler.opened(),
                handler,
            };
            // The error is dropped on purpose: a connection that fails ends, and its peer is not there to read why.
            connection.serve(stream, level).await.ok();
        });
    }
}

/// An open connection; its handler is notified of its end, however it ends.
struct OpenConnection<H: CommandHandler> {
    number: u64,
    handler: H,
}

impl<H: CommandHandler> Drop for OpenConnection<H> {
    fn drop(&mut self) {
        self.handler.closed(self.number);
    }
}

/// What a line asks of the connection itself.
struct ConnectionMode {
    prompt: PromptMode,
    /// Whether it has asked for the end of the connection.
    quit: bool,
}

impl ConnectionMode {
    /// Follows the commands of a line that concern the connection itself. A command that cannot be parsed is answered
    /// by the handler.
    fn apply_line(&mut self, line: &str) {
        for command in command::parse_line(line).into_iter().flatten() {
            match command {
                Command::Quit => self.quit = true,
                Command::Prompt(requested) => self.prompt = prompt_mode(self.prompt, requested),
                _ => {}
            }
        }
    }
}

impl<H: CommandHandler> OpenConnection<H> {
    async fn serve(&self, stream: Stream, level: Level) -> Result<(), CodecError> {
        let mut framed = Framed::new(stream, ServerCodec::default());
        let mut mode = ConnectionMode {
            prompt: PromptMode::NonInteractive,
            quit: false,
        };
        loop {
            let frame = match timeout(IDLE_TIMEOUT, framed.next()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => {
                    return write(&mut framed, framed_reply(&format!("{error}."))).await;
                }
                Ok(None) | Err(_) => return Ok(()),
            };
            let Some(mut answer) = self.answer_frame(frame, level, &mut mode).await else {
                return Ok(());
            };
            if mode.prompt == PromptMode::InteractiveWithPrompt {
                answer.push_str("> ");
            }
            write(&mut framed, answer).await?;
            if mode.quit || mode.prompt == PromptMode::NonInteractive {
                return Ok(());
            }
        }
    }

    /// The answer to a frame; none: the connection ends.
    async fn answer_frame(
        &self,
        frame: ServerFrame,
        level: Level,
        mode: &mut ConnectionMode,
    ) -> Option<String> {
        match frame {
            ServerFrame::NotUtf8 => Some(framed_reply("The line is not UTF-8.")),
            ServerFrame::Line(line) => {
                mode.apply_line(&line);
                self.handler.answer(self.number, level, line).await
            }
        }
    }
}

/// The guide's rules: bare `prompt` goes between prompting and closing, the words name a mode.
fn prompt_mode(current: PromptMode, requested: PromptMode) -> PromptMode {
    match (requested, current) {
        (PromptMode::Toggle, PromptMode::InteractiveWithPrompt) => PromptMode::NonInteractive,
        (PromptMode::Toggle, _) => PromptMode::InteractiveWithPrompt,
        (named, _) => named,
    }
}

async fn write(framed: &mut Framed<Stream, ServerCodec>, answer: String) -> Result<(), CodecError> {
    match timeout(WRITE_TIMEOUT, framed.send(answer)).await {
        Ok(result) => result,
        Err(_) => Err(CodecError::Io(std::io::ErrorKind::TimedOut.into())),
    }
}
