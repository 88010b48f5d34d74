//! What a controller decides, and how it is told what became of it.

use crate::config::RetryPolicy;
use crate::ids::{AckId, HostId, ProxyId, RequestClassId, TableId};
use std::time::Duration;

/// One decision of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Sets the weight of a host in a table.
    SetWeight {
        /// The table.
        table: TableId,
        /// The host.
        host: HostId,
        /// Its weight; none: it leaves the table.
        weight: Option<f64>,
    },
    /// Binds a proxy to a table.
    BindProxy {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// The classes whose requests it sends by this table; empty: all.
        classes: Vec<RequestClassId>,
    },
    /// Sets how much of a request class the proxies of a table admit, and when they retry.
    SetAdmissionRate {
        /// The table.
        table: TableId,
        /// The request class.
        class: RequestClassId,
        /// The part of the requests, or the requests a second, that each proxy admits.
        quota: f64,
        /// When its proxies retry.
        retry_policy: RetryPolicy,
    },
    /// Asks proxies for an acknowledgement: each message of the updates before it carries the number, and a proxy
    /// returns it once it has applied the message.
    RequestAck(AckId),
    /// Checks the health of a host.
    CheckHealth(HostId),
    /// Polls the endpoint list, or watches it.
    WatchEndpoints,
    /// Asks for a call of [`on_timer`](crate::Controller::on_timer) after this time.
    SetTimer(Duration),
}

impl Decision {
    /// Whether it goes to the proxies, and so counts as an update.
    #[must_use]
    pub fn is_update(&self) -> bool {
        matches!(
            self,
            Decision::SetWeight { .. }
                | Decision::BindProxy { .. }
                | Decision::SetAdmissionRate { .. }
        )
    }
}

/// What became of updates that were to be carried out together, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// All were applied.
    Applied,
    /// So many were applied; the next one could not be used, and those after it were not looked at.
    StoppedAt(usize),
    /// None was applied.
    Rejected,
    /// All were applied, or none.
    Unknown,
}
