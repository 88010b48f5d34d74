//! The tables that one host is in: what its weight should be, what was last sent, and whether that is confirmed.

/// Part by which a weight is off before it is sent: less is not noticed.
const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// Multiple of its target from which a sent weight is far too heavy.
const FAR_TOO_HEAVY_RATIO: f64 = 1.5;

/// A host's weight in one table.
#[derive(Clone, Copy, Default)]
pub(crate) struct TableMembership {
    table: usize,
    target_weight: f64,
    sent_weight: f64,
    unconfirmed: bool,
}

impl TableMembership {
    pub(crate) fn table(&self) -> usize {
        self.table
    }

    /// The weight that the host should have; zero: none.
    pub(crate) fn target_weight(&self) -> f64 {
        self.target_weight
    }

    /// The weight that was last sent; zero: none.
    pub(crate) fn sent_weight(&self) -> f64 {
        self.sent_weight
    }

    /// Whether what was sent may not have been applied.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// Whether proxies may have it as a line.
    pub(crate) fn may_be_held(&self) -> bool {
        self.sent_weight > 0.0 || self.unconfirmed
    }

    /// Whether the weight that was sent is far above its target.
    pub(crate) fn is_far_too_heavy(&self) -> bool {
        self.sent_weight > self.target_weight * FAR_TOO_HEAVY_RATIO
    }

    /// Whether an update is worth its line.
    pub(crate) fn differs(&self) -> bool {
        let change = (self.target_weight - self.sent_weight).abs();
        self.unconfirmed
            || change > MIN_WEIGHT_CHANGE * self.sent_weight
            || (self.target_weight > 0.0) != (self.sent_weight > 0.0)
    }

    /// Notes that the target is sent; gives it, or none if the host leaves the table.
    pub(crate) fn mark_sent(&mut self) -> Option<f64> {
        self.sent_weight = self.target_weight;
        self.unconfirmed = false;
        (self.target_weight > 0.0).then_some(self.target_weight)
    }

    /// Notes that what was sent may not have been applied.
    pub(crate) fn mark_unconfirmed(&mut self) {
        self.unconfirmed = true;
    }

    /// Notes that the host has left the table.
    pub(crate) fn mark_withdrawn(&mut self) {
        self.sent_weight = 0.0;
        self.unconfirmed = false;
    }
}

/// All tables of one host.
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

    /// Whether the host was last sent as a line of this table.
    pub(crate) fn is_sent_in(&self, table: usize) -> bool {
        self.0
            .iter()
            .any(|membership| membership.table == table && membership.sent_weight > 0.0)
    }

    /// The membership in a table; none: the host is not in it.
    pub(crate) fn get(&self, table: usize) -> Option<&TableMembership> {
        self.0.iter().find(|membership| membership.table == table)
    }

    /// The membership in a table, new if there is none.
    pub(crate) fn entry(&mut self, table: usize) -> &mut TableMembership {
        let known = self
            .0
            .iter()
            .position(|membership| membership.table == table);
        let place = known.unwrap_or_else(|| {
            self.0.push(TableMembership {
                table,
                ..TableMembership::default()
            });
            self.0.len() - 1
        });
        &mut self.0[place]
    }

    /// Takes the host out of all tables, as far as targets go.
    pub(crate) fn clear_targets(&mut self) {
        for membership in &mut self.0 {
            membership.target_weight = 0.0;
        }
    }

    /// Sets the weight that the host should have in a table.
    pub(crate) fn set_target(&mut self, table: usize, weight: f64) {
        self.entry(table).target_weight = weight;
    }

    /// Drops what is neither wanted nor possibly held by proxies.
    pub(crate) fn drop_unused(&mut self) {
        self.0
            .retain(|membership| membership.target_weight > 0.0 || membership.may_be_held());
    }

    /// Drops what no proxy can hold.
    pub(crate) fn keep_held(&mut self) {
        self.0.retain(TableMembership::may_be_held);
    }
}
