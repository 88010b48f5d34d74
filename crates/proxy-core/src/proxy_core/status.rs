//! Status for operators: which tables are in use, and the fields of `show info`.

use super::ProxyCore;
use crate::last_ready::TableInUse;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::fmt;

/// Which table of a request class is in use, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableStatus {
    /// The current table.
    Current,
    /// The last ready hosts, because the current table has no ready host.
    LastReady,
    /// There is no host to use.
    NoHost,
}

/// A change of the table status of a request class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableStatusChange {
    /// The name of the request class.
    pub class: String,
    /// Its new status.
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
    /// The text shown in `show info` and in log lines.
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
    /// Returns the classes whose table status changed since the last call.
    pub fn take_status_changes(&mut self, now: Time) -> Vec<TableStatusChange> {
        let statuses = self.table_statuses(now);
        let reported = std::mem::replace(&mut self.reported_statuses, statuses.clone());
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

    /// Refreshes the fields of `show info` that depend on time and on the decision logic.
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

    /// The ejected hosts, separated by commas, or `-` if there are none.
    fn ejected_hosts(&self, now: Time) -> String {
        let ejected: Vec<&str> = self.ejections.ejected(now).collect();
        if ejected.is_empty() {
            "-".into()
        } else {
            ejected.join(",")
        }
    }
}
