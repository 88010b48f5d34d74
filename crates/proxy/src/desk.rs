//! The runtime API of the proxy.

use crate::shared::Together;
use pondarch_proxy_core::proxy_core::TableStatus;
use pondarch_runtime_api::Level;
use pondarch_runtime_api::codec::framed_reply;
use pondarch_transport::CommandHandler;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tracing::{info, warn};

#[derive(Clone)]
pub(crate) struct ProxyDesk {
    pub(crate) shared: Together,
    pub(crate) connections: Arc<AtomicU64>,
}

impl CommandHandler for ProxyDesk {
    fn opened(&self) -> u64 {
        self.connections.fetch_add(1, Relaxed) + 1
    }

    fn closed(&self, connection: u64) {
        self.shared.obey().connection_closed(connection);
    }

    async fn answer(&self, connection: u64, level: Level, line: String) -> Option<String> {
        let (answers, news) = {
            let (now, mut obey) = (self.shared.now(), self.shared.obey());
            (
                obey.execute_line(now, connection, level, &line),
                obey.take_status_changes(now),
            )
        };
        for change in news {
            let kind = change.class;
            match change.status {
                TableStatus::Current => info!(kind, "its table has ready hosts again"),
                status => warn!(
                    kind,
                    state = status.as_str(),
                    "its table lists no ready host"
                ),
            }
        }
        Some(answers.iter().map(|answer| framed_reply(answer)).collect())
    }
}
