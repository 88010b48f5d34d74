//! The zone and its last differences, for incremental transfers. The differences are bounded by their number of rows; a
//! secondary with an older copy gets the whole zone.

use crate::rows::Row;
use std::collections::{BTreeSet, VecDeque};

#[cfg(test)]
mod tests;

/// The most rows of all differences in the journal.
const MAX_ROWS: usize = 50_000;
/// The most differences in the journal.
const MAX_DIFFERENCES: usize = 1_000;
/// The number of SOA records that precede the rows of one difference in a transfer.
const SOAS_PER_DIFFERENCE: usize = 2;

/// The difference from one serial to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Difference {
    pub(crate) from_serial: u32,
    pub(crate) to_serial: u32,
    pub(crate) removed: Vec<Row>,
    pub(crate) added: Vec<Row>,
}

impl Difference {
    fn row_count(&self) -> usize {
        self.removed.len() + self.added.len() + SOAS_PER_DIFFERENCE
    }
}

/// What a secondary needs to bring its copy up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Changes {
    /// The copy is up to date.
    UpToDate,
    /// These differences, in order.
    Differences(Vec<Difference>),
    /// The whole zone, because the differences are not in the journal any more or are larger than the zone.
    WholeZone,
}

/// The zone and its last differences.
#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    serial: u32,
    rows: BTreeSet<Row>,
    differences: VecDeque<Difference>,
    /// Rows of all differences.
    row_count: usize,
}

impl Journal {
    pub(crate) fn serial(&self) -> u32 {
        self.serial
    }

    pub(crate) fn rows(&self) -> &BTreeSet<Row> {
        &self.rows
    }

    /// Sets the rows of the zone as of `serial`, and adds the difference to the journal.
    pub(crate) fn set_zone(&mut self, serial: u32, rows: BTreeSet<Row>) {
        if serial == self.serial {
            return;
        }
        let difference = Difference {
            from_serial: self.serial,
            to_serial: serial,
            removed: self.rows.difference(&rows).cloned().collect(),
            added: rows.difference(&self.rows).cloned().collect(),
        };
        self.serial = serial;
        self.rows = rows;
        self.row_count += difference.row_count();
        self.differences.push_back(difference);
        while self.row_count > MAX_ROWS || self.differences.len() > MAX_DIFFERENCES {
            let Some(oldest) = self.differences.pop_front() else {
                break;
            };
            self.row_count -= oldest.row_count();
        }
    }

    pub(crate) fn changes_since(&self, serial: u32) -> Changes {
        if serial == self.serial {
            return Changes::UpToDate;
        }
        let first = self
            .differences
            .iter()
            .position(|difference| difference.from_serial == serial);
        let Some(first) = first else {
            return Changes::WholeZone;
        };
        let differences: Vec<Difference> = self.differences.iter().skip(first).cloned().collect();
        let row_count: usize = differences.iter().map(Difference::row_count).sum();
        if row_count > self.rows.len() {
            return Changes::WholeZone;
        }
        Changes::Differences(differences)
    }
}
