//! The connection for update calls to the relay: at most one call is in flight.

use crate::dial::{DIAL_RETRY_DELAY, RelayLines, dial};
use crate::error::ConnectionError;
use crate::events::{DisconnectReason, UpstreamEvent, UpstreamEvents};
use pondarch_platform_core::CallOutcome;
use pondarch_platform_protocol::relay::{self, RelayMessage};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// An answer arrives within 50 ms or never; this leaves some for a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The relay closes a connection that was idle for some seconds: it is renewed before an update needs it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// An update call to be sent.
#[derive(Debug)]
pub(crate) struct Call {
    /// The number of the call.
    pub(crate) number: u64,
    /// The line to send.
    pub(crate) line: String,
}

/// How a call ended, and why not all of it was surely applied.
struct CallResult {
    outcome: CallOutcome,
    error: Option<Arc<ConnectionError>>,
}

/// The task that carries calls to one relay.
pub(crate) struct CallTask {
    pub(crate) relay: SocketAddr,
    pub(crate) calls: mpsc::Receiver<Call>,
    pub(crate) events: UpstreamEvents,
}

impl CallTask {
    /// Dials, sends calls, and dials again, until no more calls can arrive; the last call is carried to its end.
    pub(crate) async fn run(mut self) {
        loop {
            let dialled = Instant::now();
            let reason = match dial(self.relay).await {
                Ok(stream) => {
                    self.events
                        .send_unless_ending(UpstreamEvent::CallsConnected)
                        .await;
                    match self.send_calls(stream).await {
                        Some(reason) => reason,
                        None => return,
                    }
                }
                Err(error) => DisconnectReason::Failed(Arc::new(error)),
            };
            let disconnected = UpstreamEvent::CallsDisconnected(reason.clone());
            self.events.send_unless_ending(disconnected).await;
            // A relay that accepts a connection and closes it at once was dialled again without a pause. A connection
            // that has lasted longer than the delay is renewed at once.
            if !self
                .reject_calls_until(dialled + DIAL_RETRY_DELAY, &reason)
                .await
            {
                return;
            }
        }
    }

    /// Waits, and rejects calls meanwhile: there is no connection for them. Gives whether more calls can arrive.
    async fn reject_calls_until(&mut self, until: Instant, reason: &DisconnectReason) -> bool {
        while Instant::now() < until {
            tokio::select! {
                () = sleep_until(until) => {}
                call = self.calls.recv() => {
                    let Some(call) = call else { return false };
                    self.report_end(call.number, CallResult {
                        outcome: CallOutcome::Rejected,
                        error: match reason {
                            DisconnectReason::Idle => None,
                            DisconnectReason::Failed(error) => Some(Arc::clone(error)),
                        },
                    }).await;
                }
            }
        }
        true
    }

    /// Sends calls on one connection; gives why it ended, or none if no more calls can arrive.
    async fn send_calls(&mut self, mut stream: TcpStream) -> Option<DisconnectReason> {
        let (reader, mut writer) = stream.split();
        let mut lines = RelayLines::new(reader);
        loop {
            let next = tokio::select! {
                biased;
                line = lines.next() => {
                    let error = line.err().unwrap_or(ConnectionError::UnsolicitedLine);
                    return Some(DisconnectReason::Failed(Arc::new(error)));
                }
                next = timeout(IDLE_TIMEOUT, self.calls.recv()) => next,
            };
            let Ok(next) = next else {
                return Some(DisconnectReason::Idle);
            };
            let call = next?;
            let result = send_call(&call, &mut writer, &mut lines).await;
            let in_doubt = (result.outcome == CallOutcome::InDoubt)
                .then(|| result.error.clone())
                .flatten();
            self.report_end(call.number, result).await;
            if let Some(error) = in_doubt {
                return Some(DisconnectReason::Failed(error));
            }
        }
    }

    async fn report_end(&self, call: u64, result: CallResult) {
        let ended = UpstreamEvent::CallEnded {
            call,
            outcome: result.outcome,
            error: result.error,
        };
        self.events.send_unless_ending(ended).await;
    }
}

/// Sends a call and waits for its answer. A call that may have reached the relay without an answer is in doubt.
async fn send_call(
    call: &Call,
    writer: &mut WriteHalf<'_>,
    lines: &mut RelayLines<ReadHalf<'_>>,
) -> CallResult {
    let exchange = async {
        writer.write_all(call.line.as_bytes()).await?;
        lines.next().await
    };
    let answer = timeout(ANSWER_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(ConnectionError::AnswerTimeout));
    let (outcome, error) = match answer.map(|line| relay::parse(&line)) {
        Ok(Some(RelayMessage::Applied {
            call: answered,
            updates,
        })) if answered == call.number => (CallOutcome::Applied { updates }, None),
        Ok(Some(RelayMessage::Rejected {
            call: answered,
            reason,
        })) if answered == call.number => (
            CallOutcome::Rejected,
            Some(ConnectionError::Rejected(reason)),
        ),
        Ok(_) => (CallOutcome::InDoubt, Some(ConnectionError::MalformedAnswer)),
        Err(error) => (CallOutcome::InDoubt, Some(error)),
    };
    CallResult {
        outcome,
        error: error.map(Arc::new),
    }
}
