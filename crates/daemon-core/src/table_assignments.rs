//! The tables as decided, and in the form in which proxies hold them.

use crate::endpoint_list::EndpointList;
use pondarch_controller::{HostId, RequestClassId, RetryPolicy, TableId, Time};
use pondarch_proxy_session::integer_weights::{LineWeight, integer_weights};
use pondarch_proxy_session::{DesiredLine, TableLines, proxy_state};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How much of a request class a proxy may admit, and when it may retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClassAdmission {
    pub(crate) quota: f64,
    pub(crate) retry_policy: RetryPolicy,
}

/// One table.
#[derive(Debug, Default)]
pub(crate) struct TableAssignment {
    pub(crate) weights: BTreeMap<HostId, f64>,
    pub(crate) admission: BTreeMap<RequestClassId, ClassAdmission>,
    /// The lines that proxies should hold; none: they have to be computed again.
    lines: Option<Arc<TableLines>>,
    /// Hosts that are warming up whose weight is too small to be sent.
    too_small: Vec<HostId>,
}

#[derive(Debug, Default)]
pub(crate) struct TableAssignments {
    pub(crate) by_id: BTreeMap<TableId, TableAssignment>,
    /// Hosts that are left out of tables for now, except of those that have no other host.
    excluded: BTreeSet<HostId>,
}

impl TableAssignments {
    pub(crate) fn set_weight(&mut self, table: TableId, host: HostId, weight: Option<f64>) {
        let assignment = self.by_id.entry(table).or_default();
        match weight {
            Some(weight) => drop(assignment.weights.insert(host, weight)),
            None => drop(assignment.weights.remove(&host)),
        }
        assignment.lines = None;
    }

    pub(crate) fn set_admission(
        &mut self,
        table: TableId,
        class: RequestClassId,
        admission: ClassAdmission,
    ) {
        self.by_id
            .entry(table)
            .or_default()
            .admission
            .insert(class, admission);
    }

    /// Drops the lines of tables in which the address of a host has changed; returns these tables.
    pub(crate) fn refresh_addresses(&mut self, list: &EndpointList) -> Vec<TableId> {
        let mut changed = Vec::new();
        for (id, assignment) in &mut self.by_id {
            let Some(lines) = &assignment.lines else {
                continue;
            };
            let is_current =
                |(host, line): (&HostId, &DesiredLine)| list.address(host) == Some(line.addr);
            if !lines.iter().all(is_current) {
                assignment.lines = None;
                changed.push(*id);
            }
        }
        changed
    }

    /// Replaces the excluded hosts; returns the tables that contain a host whose exclusion `changed`.
    pub(crate) fn exclude(
        &mut self,
        hosts: BTreeSet<HostId>,
        changed: &BTreeSet<&HostId>,
    ) -> Vec<TableId> {
        self.excluded = hosts;
        let contains_changed = |(_, assignment): &(&TableId, &mut TableAssignment)| {
            changed
                .iter()
                .any(|host| assignment.weights.contains_key(*host))
        };
        let affected = self.by_id.iter_mut().filter(contains_changed);
        affected
            .map(|(table, assignment)| {
                assignment.lines = None;
                *table
            })
            .collect()
    }

    /// The lines of a table that proxies should hold.
    pub(crate) fn lines(
        &mut self,
        table: TableId,
        list: &EndpointList,
        now: Time,
    ) -> Arc<TableLines> {
        let assignment = self.by_id.entry(table).or_default();
        if let Some(lines) = &assignment.lines {
            return lines.clone();
        }
        let excluded = &self.excluded;
        let has_other_hosts = assignment
            .weights
            .keys()
            .any(|host| !excluded.contains(host) && list.address(host).is_some());
        let share = |(host, &weight): (&HostId, &f64)| {
            let weight = if has_other_hosts && excluded.contains(host) {
                0.0
            } else {
                weight
            };
            LineWeight {
                weight,
                warming_up: list.is_warming_up(host, now),
            }
        };
        let shares: Vec<LineWeight> = assignment.weights.iter().map(share).collect();
        let mut lines = TableLines::new();
        assignment.too_small.clear();
        for (host, weight) in assignment.weights.keys().zip(integer_weights(&shares)) {
            match (list.address(host), weight) {
                (Some(addr), Some(weight)) => {
                    lines.insert(host.clone(), DesiredLine { addr, weight });
                }
                (_, None) => assignment.too_small.push(host.clone()),
                // No address is known: the host is no longer in the endpoint list at all.
                (None, _) => {}
            }
        }
        let lines = Arc::new(lines);
        assignment.lines = Some(lines.clone());
        lines
    }

    /// Hosts of a table that are warming up and whose weight has become too small to be sent with the latest change.
    pub(crate) fn newly_too_small(
        &mut self,
        table: TableId,
        list: &EndpointList,
        now: Time,
    ) -> Vec<HostId> {
        let previous = self
            .by_id
            .get(&table)
            .map(|assignment| assignment.too_small.clone())
            .unwrap_or_default();
        self.lines(table, list, now);
        let current = self
            .by_id
            .get(&table)
            .map(|assignment| assignment.too_small.as_slice())
            .unwrap_or_default();
        current
            .iter()
            .filter(|host| !previous.contains(host))
            .cloned()
            .collect()
    }

    /// Estimated memory of all tables with their lines, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        let lines_bytes = |assignment: &TableAssignment| {
            assignment
                .lines
                .as_ref()
                .map_or(0, |lines| lines.len() as u64 * 100)
        };
        self.by_id
            .values()
            .map(|assignment| 200 + assignment.weights.len() as u64 * 100 + lines_bytes(assignment))
            .sum()
    }

    /// Drops the lines of tables that no proxy uses; returns the number of these tables.
    pub(crate) fn drop_unused(&mut self, used: &BTreeSet<TableId>) -> u64 {
        let is_unused = |(table, assignment): &(&TableId, &mut TableAssignment)| {
            !used.contains(table) && assignment.lines.is_some()
        };
        let unused = self.by_id.iter_mut().filter(is_unused);
        unused
            .map(|(_, assignment)| assignment.lines = None)
            .count() as u64
    }

    /// The admission and the retry policy of a request class, in their wire texts.
    pub(crate) fn admission(
        &self,
        table: TableId,
        class: RequestClassId,
        by_rate: bool,
    ) -> Option<(String, &'static str)> {
        let admission = self.by_id.get(&table)?.admission.get(&class)?;
        Some((
            proxy_state::quota_value(admission.quota, by_rate),
            proxy_state::retry_policy_value(admission.retry_policy),
        ))
    }
}
