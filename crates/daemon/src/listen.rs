//! The sockets where operators reach the steward.

use crate::socket::{Listener, Stream};
use futures_util::{SinkExt, StreamExt};
use pondarch_runtime_api::codec::framed_answer;
use pondarch_runtime_api::{CodecError, Command, PromptMode, ServerCodec, ServerFrame, command};
use pondarch_steward::Input;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Operators' connections at one time; the next one waits until one ends (the guide's `stats maxconn`, 10 there).
const CONNECTIONS_MOST: usize = 64;
/// A connection that sends nothing, or half a line and then nothing, is closed after this (the guide's `stats
/// timeout` is 10 s; a person at a prompt wants longer).
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Writing an answer must not take longer than this: a peer that does not read is cut off.
const WRITE_LIMIT: Duration = Duration::from_secs(5);

/// Operators that wait for an answer of the core.
#[derive(Clone, Default)]
pub(crate) struct Callers(Arc<Mutex<Waiting>>);

#[derive(Default)]
struct Waiting {
    next: u64,
    answers: BTreeMap<u64, oneshot::Sender<String>>,
}

impl Callers {
    fn enter(&self) -> (u64, oneshot::Receiver<String>) {
        let (answer, waits) = oneshot::channel();
        let mut waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.next += 1;
        let caller = waiting.next;
        waiting.answers.insert(caller, answer);
        (caller, waits)
    }

    /// Passes the core's answer on; a caller that has gone does not mind.
    pub(crate) fn answer(&self, caller: u64, text: String) {
        let waiting = self.0.lock().unwrap_or_else(PoisonError::into_inner).answers.remove(&caller);
        if let Some(answer) = waiting {
            answer.send(text).ok();
        }
    }
}

/// Accepts until it is dropped.
pub(crate) async fn serve(listener: Listener, level: u8, callers: Callers, inputs: mpsc::Sender<Input>) {
    let places = Arc::new(Semaphore::new(CONNECTIONS_MOST));
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok(stream) = stream else {
            // Out of files, say: try again in a moment rather than in circles.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let (callers, inputs) = (callers.clone(), inputs.clone());
        connections.spawn(async move {
            let _place = place;
            // A connection that breaks ends; there is nobody left to tell.
            talk(stream, level, callers, inputs).await.ok();
        });
    }
}

async fn talk(
    stream: Stream,
    level: u8,
    callers: Callers,
    inputs: mpsc::Sender<Input>,
) -> Result<(), CodecError> {
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
                let (caller, answer) = callers.enter();
                if inputs.send(Input::Command { caller, level, line }).await.is_err() {
                    return Ok(());
                }
                match answer.await {
                    Ok(text) => text,
                    Err(_) => return Ok(()),
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
