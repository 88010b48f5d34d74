//! Memberships of one host in tables: target weight, last sent weight, and whether the sent weight is confirmed.

use crate::time::Time;

/// Relative change of a weight from which it is sent; smaller changes have no noticeable effect.
const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// Ratio of sent weight to target weight above which the sent weight counts as excess weight.
const MAX_EXCESS_RATIO: f64 = 1.5;
/// Ratio of sent weight to target weight above which a warming host is at risk: its target leaves room for a burst, which
/// is mostly used up then.
const MAX_RISK_RATIO: f64 = 2.0;

/// A host's weight in one table.
#[derive(Clone, Copy, Default)]
pub(crate) struct TableMembership {
    table: usize,
    target_weight: f64,
    sent_weight: f64,
    /// The start of the host that the last sent weight was for.
    sent_for_start: Time,
    unconfirmed: bool,
}

impl TableMembership {
    pub(crate) fn table(&self) -> usize {
        self.table
    }

    /// Returns the weight that the host should have; zero if it should not be in the table.
    pub(crate) fn target_weight(&self) -> f64 {
        self.target_weight
    }

    /// Returns the weight that was last sent; zero if the host was removed or never sent.
    pub(crate) fn sent_weight(&self) -> f64 {
        self.sent_weight
    }

    /// Returns whether the last update may not have been applied.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// Returns whether proxies may have the host in this table.
    pub(crate) fn may_be_held(&self) -> bool {
        self.sent_weight > 0.0 || self.unconfirmed
    }

    /// Returns whether the sent weight is far above the target weight.
    pub(crate) fn has_excess_weight(&self) -> bool {
        self.sent_weight > self.target_weight * MAX_EXCESS_RATIO
    }

    /// Returns whether the sent weight puts a warming host at risk.
    pub(crate) fn has_risky_weight(&self) -> bool {
        self.sent_weight > self.target_weight * MAX_RISK_RATIO
    }

    /// Returns whether the difference to the target weight is worth an update line.
    pub(crate) fn needs_update(&self) -> bool {
        let change = (self.target_weight - self.sent_weight).abs();
        self.unconfirmed
            || change > MIN_WEIGHT_CHANGE * self.sent_weight
            || (self.target_weight > 0.0) != (self.sent_weight > 0.0)
    }

    /// Returns whether the last sent weight was for an earlier start of the host.
    pub(crate) fn is_outdated(&self, started: Time) -> bool {
        self.sent_for_start < started
    }

    /// Records that the target weight is sent, for the host's present start. Returns it, or `None` if the host leaves the
    /// table.
    pub(crate) fn mark_sent(&mut self, started: Time) -> Option<f64> {
        self.sent_for_start = started;
        self.sent_weight = self.target_weight;
        self.unconfirmed = false;
        (self.target_weight > 0.0).then_some(self.target_weight)
    }

    /// Records that the last update may not have been applied.
    pub(crate) fn mark_unconfirmed(&mut self) {
        self.unconfirmed = true;
    }

    /// Records that the host has left the table.
    pub(crate) fn mark_removed(&mut self) {
        self.sent_weight = 0.0;
        self.unconfirmed = false;
    }
}

/// The memberships of one host.
#[derive(Default)]
pub(crate) struct Memberships(Vec<TableMembership>);

impl Memberships {
    pub(crate) fn iter(&self) -> impl Iterator<Item = &TableMembership> {
        self.0.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut TableMembership> {
        self.0.iter_mut()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the attempts per second expected at the host by the weights that were sent, where `attempts_per_weight`
    /// has those per unit of weight for each table.
    pub(crate) fn expected_attempts(&self, attempts_per_weight: &[f64]) -> f64 {
        let attempts = self
            .0
            .iter()
            .map(|membership| membership.sent_weight * attempts_per_weight[membership.table]);
        attempts.sum()
    }

    /// Returns whether the host should be in any table.
    pub(crate) fn has_target(&self) -> bool {
        let mut targets = self.0.iter().map(TableMembership::target_weight);
        targets.any(|weight| weight > 0.0)
    }

    /// Returns whether the last update of this table included the host.
    pub(crate) fn is_sent_in(&self, table: usize) -> bool {
        self.0
            .iter()
            .any(|membership| membership.table == table && membership.sent_weight > 0.0)
    }

    /// Returns the membership in a table, or `None` if there is none.
    pub(crate) fn get(&self, table: usize) -> Option<&TableMembership> {
        self.0.iter().find(|membership| membership.table == table)
    }

    /// Returns the membership in a table and creates it if there is none.
    pub(crate) fn entry(&mut self, table: usize) -> &mut TableMembership {
        let position = self
            .0
            .iter()
            .position(|membership| membership.table == table);
        let index = position.unwrap_or_else(|| {
            self.0.push(TableMembership {
                table,
                ..TableMembership::default()
            });
            self.0.len() - 1
        });
        &mut self.0[index]
    }

    /// Sets the target weight in all tables to zero.
    pub(crate) fn clear_targets(&mut self) {
        for membership in &mut self.0 {
            membership.target_weight = 0.0;
        }
    }

    /// Sets the target weight in a table.
    pub(crate) fn set_target(&mut self, table: usize, weight: f64) {
        self.entry(table).target_weight = weight;
    }

    /// Drops memberships that have no target weight and that no proxy can hold.
    pub(crate) fn drop_unused(&mut self) {
        self.0
            .retain(|membership| membership.target_weight > 0.0 || membership.may_be_held());
    }

    /// Drops memberships that no proxy can hold.
    pub(crate) fn retain_held(&mut self) {
        self.0.retain(TableMembership::may_be_held);
    }
}
