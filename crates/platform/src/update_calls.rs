//! The connection for update calls to the relay. At most one call is in flight.

use crate::dial::{DIAL_RETRY_DELAY, RelayLines, dial};
use crate::error::ConnectionError;
use crate::events::{DisconnectReason, UpstreamEvent, UpstreamEventSender};
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

/// The relay answers within 50 ms or not at all; the rest is a margin for a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle time after which a connection is replaced. The relay closes a connection that is idle for some seconds, so the
/// connection is replaced before an update needs it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// An update call to send.
#[derive(Debug)]
pub(crate) struct Call {
    /// The number of the call.
    pub(crate) number: u64,
    /// The line to send.
    pub(crate) line: String,
}

/// The outcome of a call, and the error behind a rejection or a doubt, if there is one.
struct CallResult {
    outcome: CallOutcome,
    error: Option<Arc<ConnectionError>>,
}

/// The task that sends calls to one relay.
pub(crate) struct CallTask {
    pub(crate) relay: SocketAddr,
    pub(crate) calls: mpsc::Receiver<Call>,
    pub(crate) events: UpstreamEventSender,
}

impl CallTask {
    /// Connects, sends calls and reconnects until the sender of calls is dropped. A call in flight is completed first.
    pub(crate) async fn run(mut self) {
        loop {
            let dialled_at = Instant::now();
            let reason = match dial(self.relay).await {
                Ok(stream) => {
                    self.events
                        .send_unless_shutting_down(UpstreamEvent::CallsConnected)
                        .await;
                    match self.send_calls(stream).await {
                        Some(reason) => reason,
                        None => return,
                    }
                }
                Err(error) => DisconnectReason::Failed(Arc::new(error)),
            };
            let disconnected = UpstreamEvent::CallsDisconnected(reason.clone());
            self.events.send_unless_shutting_down(disconnected).await;
            // The delay counts from the dial, so that a connection that has lasted longer is replaced at once. Without
            // a delay, a relay that accepted connections and closed them at once was dialled continuously.
            if !self
                .reject_calls_until(dialled_at + DIAL_RETRY_DELAY, &reason)
                .await
            {
                return;
            }
        }
    }

    /// Waits until `until` and rejects the calls that arrive meanwhile, since there is no connection for them. Returns
    /// whether more calls can arrive.
    async fn reject_calls_until(&mut self, until: Instant, reason: &DisconnectReason) -> bool {
        while Instant::now() < until {
            tokio::select! {
                () = sleep_until(until) => {}
                call = self.calls.recv() => {
                    let Some(call) = call else { return false };
                    self.report_call_ended(call.number, CallResult {
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

    /// Sends calls on one connection. Returns why the connection ended, or `None` if no more calls can arrive.
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
            self.report_call_ended(call.number, result).await;
            if let Some(error) = in_doubt {
                return Some(DisconnectReason::Failed(error));
            }
        }
    }

    async fn report_call_ended(&self, call: u64, result: CallResult) {
        let ended = UpstreamEvent::CallEnded {
            call,
            outcome: result.outcome,
            error: result.error,
        };
        self.events.send_unless_shutting_down(ended).await;
    }
}

/// Sends a call and waits for its answer. A call without a valid answer is in doubt, since the relay may have applied
/// it.
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
