//! A table that lists no ready host for a class while the one before did would leave nothing to pick. It is applied for
//! the members it has, and for that class the last ready hosts stay in use for a while.
//!
//! Why not reject the table: it may be the only notice of draining. Why not go on without end: hosts that were ready
//! long ago may be anything by now, and a controller that means "none" must be able to say so. Why a draining host is
//! never among them: the drain rule holds in every case, and its grace period may end before the limit does. A host
//! that merely left the table may serve: nothing was said against it.

use crate::routing_table::{RoutingTable, TableMembership};
use pondarch_controller::Time;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The tables of one class: the one that was set, and the last that had a ready host.
#[derive(Clone, Debug, Default)]
pub struct ClassTables {
    current: Arc<RoutingTable>,
    last_ready: Arc<RoutingTable>,
    empty_since: Option<Time>,
}

/// Which table of a class is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableInUse {
    /// The one that was set.
    Current,
    /// No host is ready: the last ready ones, until this time.
    LastReadyUntil(Time),
    /// No host is ready, and the last ready ones may not be used any more.
    NoHost,
}

impl ClassTables {
    /// Sets a new table. `excluded` are hosts that are known to be draining or removed.
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

    /// Which table is in use, if the last ready hosts may be used for `limit`.
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

    /// The table to pick from now.
    #[must_use]
    pub fn table(&self, now: Time, limit: Duration) -> &Arc<RoutingTable> {
        match self.in_use(now, limit) {
            TableInUse::LastReadyUntil(_) => &self.last_ready,
            TableInUse::Current | TableInUse::NoHost => &self.current,
        }
    }
}
