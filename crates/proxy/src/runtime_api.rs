//! The runtime API of the proxy, and the log lines when the table in use changes.

use crate::shared_state::SharedHandle;
use pondarch_proxy_core::proxy_core::TableStatus;
use pondarch_runtime_api::Level;
use pondarch_runtime_api::codec::framed_reply;
use pondarch_transport::CommandHandler;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tracing::{info, warn};

/// Answers the commands of controllers and operators.
#[derive(Clone)]
pub(crate) struct RuntimeApiHandler {
    pub(crate) shared: SharedHandle,
    /// Number of connections so far; it numbers them.
    pub(crate) connections: Arc<AtomicU64>,
}

impl CommandHandler for RuntimeApiHandler {
    fn opened(&self) -> u64 {
        self.connections.fetch_add(1, Relaxed) + 1
    }

    fn closed(&self, connection: u64) {
        self.shared.core().connection_closed(connection);
    }

    async fn answer(&self, connection: u64, level: Level, line: String) -> Option<String> {
        let (replies, status_changes) = {
            let (now, mut core) = (self.shared.now(), self.shared.core());
            (
                core.execute_line(now, connection, level, &line),
                core.take_status_changes(now),
            )
        };
        for change in status_changes {
            let class = change.class;
            match change.status {
                TableStatus::Current => info!(
                    kind = class,
                    "table of the request class lists ready hosts again"
                ),
                status => warn!(
                    kind = class,
                    state = status.as_str(),
                    "table of the request class lists no ready host"
                ),
            }
        }
        Some(replies.iter().map(|reply| framed_reply(reply)).collect())
    }
}
