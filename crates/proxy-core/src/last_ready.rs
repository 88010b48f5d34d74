//! A table that lists no ready host for a kind while the one before did leaves nobody to pick. It is applied for the
//! lines it has, and for that kind the last ready hosts stay in use for a while.
//!
//! Why not refuse the table: it may be the only word on a drain. Why not go on without end: hosts that were ready
//! long ago may be anything by now, and a steward that means 'none' must be able to say so. Why a drained host is
//! never among them: the drain rule binds whatever else holds, and its grace may end before the limit does. A host
//! that merely left the table may serve: nothing was said against it.

use crate::table::{Line, Table};
use pondarch_controller::Time;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// One kind's tables: the one that was set, and the last that had a ready host.
#[derive(Clone, Debug, Default)]
pub struct LastReady {
    set: Arc<Table>,
    last: Arc<Table>,
    empty_since: Option<Time>,
}

/// What is in use for a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InUse {
    AsSet,
    /// No host is ready: the last ready ones, until this time.
    LastReadyUntil(Time),
    Nothing,
}

impl LastReady {
    /// A new table. `away` are hosts that are known to drain or be gone.
    pub fn set(&mut self, now: Time, table: Table, away: &BTreeSet<String>) {
        if table.is_empty() {
            self.empty_since.get_or_insert(now);
            let stays = |line: &&Line| !away.contains(&line.host);
            let left: Vec<Line> = self.last.lines().iter().filter(stays).cloned().collect();
            if left.len() < self.last.lines().len() {
                self.last = Arc::new(Table::new(left));
            }
            self.set = Arc::new(table);
        } else {
            self.empty_since = None;
            self.set = Arc::new(table);
            self.last = self.set.clone();
        }
    }

    pub fn in_use(&self, now: Time, limit: Duration) -> InUse {
        match self.empty_since {
            None if self.set.is_empty() => InUse::Nothing,
            None => InUse::AsSet,
            Some(since) if now - since < limit && !self.last.is_empty() => {
                InUse::LastReadyUntil(since + limit)
            }
            Some(_) => InUse::Nothing,
        }
    }

    /// The table to pick from now.
    pub fn table(&self, now: Time, limit: Duration) -> &Arc<Table> {
        match self.in_use(now, limit) {
            InUse::LastReadyUntil(_) => &self.last,
            InUse::AsSet | InUse::Nothing => &self.set,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table(hosts: &[&str]) -> Table {
        let addr = ([127, 0, 0, 1], 80).into();
        Table::new(hosts.iter().map(|host| Line {
            host: host.to_string(),
            addr,
            weight: 1,
        }))
    }

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000 + ms * 1_000)
    }

    fn hosts(of: &LastReady, now: Time) -> Vec<String> {
        of.table(now, Duration::from_millis(500))
            .lines()
            .iter()
            .map(|line| line.host.clone())
            .collect()
    }

    #[test]
    fn the_last_ready_hosts_stay_within_the_limit_but_for_those_away() {
        let mut kept = LastReady::default();
        assert_eq!(
            kept.in_use(at(0), Duration::from_millis(500)),
            InUse::Nothing
        );
        kept.set(at(0), table(&["a", "b", "c"]), &BTreeSet::new());
        kept.set(at(100), table(&[]), &["b".to_string()].into());
        assert_eq!(hosts(&kept, at(200)), ["a", "c"]);
        // Another empty table does not make the time longer, and a later drain counts too.
        kept.set(
            at(400),
            table(&[]),
            &["b".to_string(), "c".to_string()].into(),
        );
        assert_eq!(hosts(&kept, at(599)), ["a"]);
        assert_eq!(
            kept.in_use(at(600), Duration::from_millis(500)),
            InUse::Nothing
        );
        kept.set(at(700), table(&["d"]), &BTreeSet::new());
        assert_eq!(hosts(&kept, at(9_000)), ["d"]);
        kept.set(at(9_100), table(&[]), &["d".to_string()].into());
        assert_eq!(
            kept.in_use(at(9_101), Duration::from_millis(500)),
            InUse::Nothing
        );
    }
}
