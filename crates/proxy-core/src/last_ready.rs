//! Fallback to the last ready hosts of a request class.
//!
//! A new table without a ready host would leave the class without a host to pick. The table is applied, but the hosts
//! of the last table with ready hosts stay in use for a limited time.
//!
//! - The table is not rejected, because it may be the only notice that a host is draining.
//! - The time is limited, because hosts that were ready long ago may be in any state, and a controller must be able to
//!   leave a class without hosts on purpose.
//! - Draining hosts are excluded: a draining host gets no new requests in any case, and its drain grace period may end
//!   before the limit does.
//! - Hosts that merely left the table are kept, because nothing indicates that they cannot serve.

use crate::routing_table::{RoutingTable, TableMembership};
use pondarch_controller::Time;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The tables of one request class: the current one, and the last one with a ready host.
#[derive(Clone, Debug, Default)]
pub struct ClassTables {
    current: Arc<RoutingTable>,
    last_ready: Arc<RoutingTable>,
    /// When the current table became empty, if an empty one was set.
    empty_since: Option<Time>,
}

/// Which table of a request class is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableInUse {
    /// The current table.
    Current,
    /// The current table has no ready host; the last ready hosts are used until this time.
    LastReadyUntil(Time),
    /// The current table has no ready host, and there are no last ready hosts or their time limit has passed.
    NoHost,
}

impl ClassTables {
    /// Sets a new current table. If it is empty, the `excluded` hosts, which are known to be draining or removed, are
    /// dropped from the last ready hosts.
    pub fn set(&mut self, now: Time, table: RoutingTable, excluded: &BTreeSet<String>) {
        if table.is_empty() {
            self.empty_since.get_or_insert(now);
            let remaining: Vec<TableMembership> = self
                .last_ready
                .members()
                .iter()
                .filter(|member| !excluded.contains(&member.host))
                .cloned()
                .collect();
            if remaining.len() < self.last_ready.members().len() {
                self.last_ready = Arc::new(RoutingTable::new(remaining));
            }
            self.current = Arc::new(table);
        } else {
            self.empty_since = None;
            self.current = Arc::new(table);
            self.last_ready = self.current.clone();
        }
    }

    /// Which table is in use, where the last ready hosts may be used for at most `limit`.
    #[must_use]
    pub fn in_use(&self, now: Time, limit: Duration) -> TableInUse {
        match self.empty_since {
            None if self.current.is_empty() => TableInUse::NoHost,
            None => TableInUse::Current,
            Some(since) if now - since < limit && !self.last_ready.is_empty() => {
                TableInUse::LastReadyUntil(since + limit)
            }
            Some(_) => TableInUse::NoHost,
        }
    }

    /// The table in use, where the last ready hosts may be used for at most `limit`.
    #[must_use]
    pub fn table(&self, now: Time, limit: Duration) -> &Arc<RoutingTable> {
        match self.in_use(now, limit) {
            TableInUse::LastReadyUntil(_) => &self.last_ready,
            TableInUse::Current | TableInUse::NoHost => &self.current,
        }
    }
}
