//! Server side of the runtime API: accepts connections, reads command lines and tracks each connection's prompt mode.

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

/// Maximum number of concurrent connections; further ones wait until one closes. The HAProxy management guide's
/// equivalent is `stats maxconn`, with a default of 10.
const MAX_CONNECTIONS: usize = 64;
/// A connection that completes no line for this long is closed. The guide's `stats timeout` is 10 s, which is too short
/// for a person typing at a prompt.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for writing an answer; the connection of a peer that does not read is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Answers the command lines of the accepted connections. Each connection has its own number, which increases as
/// connections open.
pub trait CommandHandler: Clone + Send + Sync + 'static {
    /// Called when a connection opens; returns its number.
    fn opened(&self) -> u64;

    /// Called when the connection with this number has closed.
    fn closed(&self, connection: u64);

    /// Returns the framed answers to one line, or `None` to close the connection.
    fn answer(
        &self,
        connection: u64,
        level: Level,
        line: String,
    ) -> impl Future<Output = Option<String>> + Send;
}

/// Accepts and serves connections. Dropping the future closes them all.
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
            // The delay avoids a busy loop, for example while no file descriptors are free.
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
            // The error is ignored because the peer of a failed connection can no longer be told about it.
            connection.serve(stream, level).await.ok();
        });
    }
}

/// An open connection. Dropping it notifies the handler, whichever way the connection ended.
struct OpenConnection<H: CommandHandler> {
    number: u64,
    handler: H,
}

impl<H: CommandHandler> Drop for OpenConnection<H> {
    fn drop(&mut self) {
        self.handler.closed(self.number);
    }
}

/// Connection state that commands such as `prompt` and `quit` change.
struct ConnectionMode {
    prompt: PromptMode,
    /// Whether the peer sent `quit`.
    quit: bool,
}

impl ConnectionMode {
    /// Applies the commands of a line that change the connection's state. The handler answers commands that cannot be
    /// parsed.
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

    /// Returns the answer to a frame, or `None` to close the connection.
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

/// The prompt mode after a `prompt` command, by the guide's rules: without an argument it toggles between prompting and
/// closing, and an argument names the mode.
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
