//! What operators are shown: which tables are in use, and the lines of `show info`.

use super::ProxyCore;
use crate::last_ready::TableInUse;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::fmt;

/// Which table of a class is in use, as operators are shown it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableStatus {
    /// The one that was set.
    Current,
    /// The last ready hosts: the table that was set lists none.
    LastReady,
    /// No host may be used.
    NoHost,
}

/// A class whose table status changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableStatusChange {
    /// The name of the request class.
    pub class: String,
    /// Its status now.
    pub status: TableStatus,
}

impl From<TableInUse> for TableStatus {
    fn from(in_use: TableInUse) -> TableStatus {
        match in_use {
            TableInUse::Current => TableStatus::Current,
            TableInUse::LastReadyUntil(_) => TableStatus::LastReady,
            TableInUse::NoHost => TableStatus::NoHost,
        }
    }
}

impl TableStatus {
    /// The text in `show info` and in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            TableStatus::Current => "as set",
            TableStatus::LastReady => "last ready",
            TableStatus::NoHost => "no host",
        }
    }
}

impl fmt::Display for TableStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl ProxyCore {
    /// The classes whose table status changed since this was last called.
    pub fn take_status_changes(&mut self, now: Time) -> Vec<TableStatusChange> {
        let statuses = self.table_statuses(now);
        let reported = std::mem::replace(&mut self.reported_status, statuses.clone());
        let mut changes = Vec::new();
        for (index, (class, status)) in self.classes.iter().zip(statuses).enumerate() {
            if *reported.get(index).unwrap_or(&TableStatus::Current) != status {
                let class = class.name.clone();
                changes.push(TableStatusChange { class, status });
            }
        }
        changes
    }

    fn table_statuses(&self, now: Time) -> Vec<TableStatus> {
        let limit = self.policy.last_ready_for;
        self.tables
            .iter()
            .map(|tables| tables.in_use(now, limit).into())
            .collect()
    }

    /// Refreshes what `show info` shows of the proxy's state.
    pub(super) fn refresh_info(&mut self, now: Time) {
        let statuses: Vec<String> = self
            .classes
            .iter()
            .zip(self.table_statuses(now))
            .map(|(class, status)| format!("{}={status}", class.name))
            .collect();
        let applied = &self.updates.applied;
        let version = applied.version().map(ToString::to_string);
        let uptime_s = (now - self.started_at).micros() / 1_000_000;
        let table_age_ms = (now - self.table_changed_at).micros() / 1_000;
        let is_connected = u8::from(applied.is_connected());
        self.state.extra_info = vec![
            ("Uptime_sec", uptime_s.to_string()),
            ("TableVersion", version.unwrap_or("standing".into())),
            ("TableAge_ms", table_age_ms.to_string()),
            ("TableSwaps", self.table_changes.to_string()),
            ("StewardConnected", is_connected.to_string()),
            ("VersionsRefused", self.updates.rejected_batches.to_string()),
            ("Kinds", statuses.join(",")),
            ("KeptAwayFrom", self.ejected_hosts(now)),
            ("ReqsWaiting", self.wait_queue.len().to_string()),
            ("ReqsByLastReady", self.requests_by_last_ready.to_string()),
        ];
    }

    fn ejected_hosts(&self, now: Time) -> String {
        let ejected: Vec<&str> = self.ejections.ejected(now).collect();
        if ejected.is_empty() {
            "-".into()
        } else {
            ejected.join(",")
        }
    }
}
