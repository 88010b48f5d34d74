//! The decisions of a controller, and the results of carrying them out.

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
        /// Its weight, or `None` to remove it from the table.
        weight: Option<f64>,
    },
    /// Binds a proxy to a table.
    BindProxy {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// The classes that it routes by this table; empty means all classes.
        classes: Vec<RequestClassId>,
    },
    /// Sets the quota and the retry policy of a request class for the proxies of a table.
    SetAdmissionRate {
        /// The table.
        table: TableId,
        /// The request class.
        class: RequestClassId,
        /// The fraction of requests, or the requests per second, that each proxy admits.
        quota: f64,
        /// When the proxies retry.
        retry_policy: RetryPolicy,
    },
    /// Requests an acknowledgement: each message of the preceding updates carries this ID, and a proxy returns it once
    /// it has applied the message.
    RequestAck(AckId),
    /// Checks the health of a host. The result goes to [`on_health_check`](crate::Controller::on_health_check).
    CheckHealth(HostId),
    /// Polls or watches the endpoint list.
    WatchEndpoints,
    /// Requests a call to [`on_timer`](crate::Controller::on_timer) after this time.
    SetTimer(Duration),
}

impl Decision {
    /// Returns whether it is an update, i.e. is sent to proxies.
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

/// Result of carrying out a batch of updates, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// All updates were applied.
    Applied,
    /// This many updates were applied; the next one was rejected, and the rest were not processed.
    StoppedAt(usize),
    /// No update was applied.
    Rejected,
    /// Either all updates were applied or none; which of the two is unknown.
    Unknown,
}
