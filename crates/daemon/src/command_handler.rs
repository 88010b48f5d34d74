//! Answers commands on the controller's runtime API sockets: passes each one to the core and waits for its reply.

use pondarch_daemon_core::Input;
use pondarch_runtime_api::Level;
use pondarch_transport::CommandHandler;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{mpsc, oneshot};

/// Passes commands to the core. Clones share the pending replies.
#[derive(Clone)]
pub(crate) struct CoreCommandHandler {
    pending: Arc<Mutex<PendingReplies>>,
    inputs: mpsc::Sender<Input>,
}

/// The callers that wait for a reply from the core.
#[derive(Default)]
struct PendingReplies {
    last_caller: u64,
    replies: BTreeMap<u64, oneshot::Sender<String>>,
}

impl PendingReplies {
    /// Registers a caller under a new number.
    fn register(&mut self) -> (u64, oneshot::Receiver<String>) {
        let (sender, receiver) = oneshot::channel();
        self.last_caller += 1;
        self.replies.insert(self.last_caller, sender);
        (self.last_caller, receiver)
    }
}

impl CoreCommandHandler {
    /// Creates a handler without pending replies.
    pub(crate) fn new(inputs: mpsc::Sender<Input>) -> CoreCommandHandler {
        CoreCommandHandler {
            pending: Arc::default(),
            inputs,
        }
    }

    fn pending(&self) -> MutexGuard<'_, PendingReplies> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the core's reply on to its caller.
    pub(crate) fn reply(&self, caller: u64, text: String) {
        let pending = self.pending().replies.remove(&caller);
        if let Some(sender) = pending {
            // A caller that has disconnected needs no reply.
            sender.send(text).ok();
        }
    }
}

impl CommandHandler for CoreCommandHandler {
    /// The core handles each command independently, so connections need no numbers.
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
        let (caller, reply) = self.pending().register();
        let command = Input::Command {
            caller,
            level,
            line,
        };
        self.inputs.send(command).await.ok()?;
        reply.await.ok()
    }
}
