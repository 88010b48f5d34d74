//! Operators at the steward's sockets, and the answers they wait for.

use pondarch_daemon_core::Input;
use pondarch_runtime_api::Level;
use pondarch_transport::CommandHandler;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::{mpsc, oneshot};

/// Clones share the waiting.
#[derive(Clone)]
pub(crate) struct Callers {
    waiting: Arc<Mutex<Waiting>>,
    inputs: mpsc::Sender<Input>,
}

#[derive(Default)]
struct Waiting {
    next: u64,
    answers: BTreeMap<u64, oneshot::Sender<String>>,
}

impl Callers {
    pub(crate) fn new(inputs: mpsc::Sender<Input>) -> Callers {
        Callers {
            waiting: Arc::default(),
            inputs,
        }
    }

    fn enter(&self) -> (u64, oneshot::Receiver<String>) {
        let (answer, waits) = oneshot::channel();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.next += 1;
        let caller = waiting.next;
        waiting.answers.insert(caller, answer);
        (caller, waits)
    }

    /// Passes the core's answer on; a caller that has gone does not mind.
    pub(crate) fn reply(&self, caller: u64, text: String) {
        let waiting = self
            .waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .answers
            .remove(&caller);
        if let Some(answer) = waiting {
            answer.send(text).ok();
        }
    }
}

impl CommandHandler for Callers {
    /// The core needs no connections' numbers: each line is asked by itself.
    fn opened(&self) -> u64 {
        0
    }

    fn closed(&self, _connection: u64) {}

    async fn answer(&self, _connection: u64, level: Level, line: String) -> Option<String> {
        let level = match level {
            Level::User => 0,
            Level::Operator => 1,
            Level::Admin => 2,
        };
        let (caller, answer) = self.enter();
        self.inputs
            .send(Input::Command {
                caller,
                level,
                line,
            })
            .await
            .ok()?;
        answer.await.ok()
    }
}
