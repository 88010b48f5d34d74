//! The tables as they were decided, and as proxies are to hold them.

use crate::endpoint_list::EndpointList;
use pondarch_controller::{HostId, RequestClassId, RetryPolicy, TableId, Time};
use pondarch_proxy_session::integer_weights::{LineWeight, integer_weights};
use pondarch_proxy_session::{DesiredLine, TableLines, proxy_state};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// What a proxy may admit of a request class, and when it may retry.
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
    /// As proxies are to hold it; none: to be made anew.
    lines: Option<Arc<TableLines>>,
    too_small: Vec<HostId>,
}

#[derive(Debug, Default)]
pub(crate) struct TableAssignments {
    pub(crate) by_id: BTreeMap<TableId, TableAssignment>,
    /// Hosts that are left out of updates for now, as long as their tables have others.
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

    /// Addresses may have changed: tables that hold one of these hosts are made anew. Gives those tables.
    pub(crate) fn refresh_addresses(&mut self, list: &EndpointList) -> Vec<TableId> {
        let mut changed = Vec::new();
        for (id, assignment) in &mut self.by_id {
            let Some(lines) = &assignment.lines else {
                continue;
            };
            let same =
                |(host, line): (&HostId, &DesiredLine)| list.address(host) == Some(line.addr);
            if !lines.iter().all(same) {
                assignment.lines = None;
                changed.push(*id);
            }
        }
        changed
    }

    /// These hosts are kept out from now on; gives the tables that hold one of those that `changed`.
    pub(crate) fn exclude(
        &mut self,
        hosts: BTreeSet<HostId>,
        changed: &BTreeSet<&HostId>,
    ) -> Vec<TableId> {
        self.excluded = hosts;
        let holds = |(_, assignment): &(&TableId, &mut TableAssignment)| {
            changed
                .iter()
                .any(|host| assignment.weights.contains_key(*host))
        };
        let of = self.by_id.iter_mut().filter(holds);
        of.map(|(table, assignment)| {
            assignment.lines = None;
            *table
        })
        .collect()
    }

    /// A table as proxies are to hold it.
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
        let others = assignment
            .weights
            .keys()
            .any(|host| !excluded.contains(host) && list.address(host).is_some());
        let share = |(host, &weight): (&HostId, &f64)| {
            let weight = if others && excluded.contains(host) {
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
                // A host the list no longer knows at all cannot be reached by anybody.
                (None, _) => {}
            }
        }
        let lines = Arc::new(lines);
        assignment.lines = Some(lines.clone());
        lines
    }

    /// Warming hosts of a table whose weight is too small to be sent, and was not before its last change.
    pub(crate) fn newly_too_small(
        &mut self,
        table: TableId,
        list: &EndpointList,
        now: Time,
    ) -> Vec<HostId> {
        let before = self
            .by_id
            .get(&table)
            .map(|assignment| assignment.too_small.clone())
            .unwrap_or_default();
        self.lines(table, list, now);
        let held = self
            .by_id
            .get(&table)
            .map(|assignment| assignment.too_small.as_slice())
            .unwrap_or_default();
        held.iter()
            .filter(|host| !before.contains(host))
            .cloned()
            .collect()
    }

    /// What all tables take, in bytes, roughly: as decided, and as proxies are to hold them.
    pub(crate) fn bytes(&self) -> u64 {
        let ready = |assignment: &TableAssignment| {
            assignment
                .lines
                .as_ref()
                .map_or(0, |lines| lines.len() as u64 * 100)
        };
        self.by_id
            .values()
            .map(|assignment| 200 + assignment.weights.len() as u64 * 100 + ready(assignment))
            .sum()
    }

    /// Gives up what is kept ready of tables that no proxy uses; gives of how many.
    pub(crate) fn drop_unused(&mut self, used: &BTreeSet<TableId>) -> u64 {
        let idle = |(table, assignment): &(&TableId, &mut TableAssignment)| {
            !used.contains(table) && assignment.lines.is_some()
        };
        let idle = self.by_id.iter_mut().filter(idle);
        idle.map(|(_, assignment)| assignment.lines = None).count() as u64
    }

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
