//! The zone and its last differences, for secondaries. Bounded by rows: who asks from further back gets all of it.

use crate::rows::Row;
use std::collections::{BTreeSet, VecDeque};

/// Rows of all differences that are kept, and differences.
const ROWS_MOST: usize = 50_000;
const STEPS_MOST: usize = 1_000;

/// From one serial to the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Step {
    pub from: u32,
    pub to: u32,
    pub gone: Vec<Row>,
    pub came: Vec<Row>,
}

impl Step {
    fn rows(&self) -> usize {
        self.gone.len() + self.came.len() + 2
    }
}

/// What brings a copy up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Changes {
    /// It is.
    None,
    Steps(Vec<Step>),
    /// The whole zone: the steps are not kept any more, or are more than it.
    All,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Journal {
    serial: u32,
    rows: BTreeSet<Row>,
    steps: VecDeque<Step>,
    kept: usize,
}

impl Journal {
    pub(crate) fn serial(&self) -> u32 {
        self.serial
    }

    pub(crate) fn rows(&self) -> &BTreeSet<Row> {
        &self.rows
    }

    /// The zone is this from now on.
    pub(crate) fn follow(&mut self, serial: u32, rows: BTreeSet<Row>) {
        if serial == self.serial {
            return;
        }
        let step = Step {
            from: self.serial,
            to: serial,
            gone: self.rows.difference(&rows).cloned().collect(),
            came: rows.difference(&self.rows).cloned().collect(),
        };
        (self.serial, self.rows) = (serial, rows);
        self.kept += step.rows();
        self.steps.push_back(step);
        while self.kept > ROWS_MOST || self.steps.len() > STEPS_MOST {
            let Some(oldest) = self.steps.pop_front() else {
                break;
            };
            self.kept -= oldest.rows();
        }
    }

    pub(crate) fn since(&self, serial: u32) -> Changes {
        if serial == self.serial {
            return Changes::None;
        }
        let Some(first) = self.steps.iter().position(|step| step.from == serial) else {
            return Changes::All;
        };
        let steps: Vec<Step> = self.steps.iter().skip(first).cloned().collect();
        if steps.iter().map(Step::rows).sum::<usize>() > self.rows.len() {
            return Changes::All;
        }
        Changes::Steps(steps)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pondarch_controller::HostId;
    use proptest::prelude::*;

    fn row(n: u8) -> Row {
        Row::Host {
            host: HostId(format!("h{n}").into()),
            ip: [127, 0, 0, n].into(),
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

        /// From any serial that was, the changes lead to what is.
        #[test]
        fn any_copy_is_brought_up_to_date(zones in prop::collection::vec(prop::collection::btree_set(0u8..30, 10..30), 1..40)) {
            let mut journal = Journal::default();
            let mut were = Vec::new();
            for (n, zone) in zones.iter().enumerate() {
                let rows: BTreeSet<Row> = zone.iter().copied().map(row).collect();
                journal.follow(n as u32 + 5, rows.clone());
                were.push((n as u32 + 5, rows));
            }
            let now = were.last().cloned().expect("one");
            for (serial, mut rows) in were {
                match journal.since(serial) {
                    Changes::None => prop_assert_eq!(serial, now.0),
                    Changes::All => continue,
                    Changes::Steps(steps) => {
                        let mut at = serial;
                        for step in steps {
                            prop_assert_eq!(step.from, at);
                            at = step.to;
                            step.gone.iter().for_each(|row| assert!(rows.remove(row)));
                            step.came.into_iter().for_each(|row| assert!(rows.insert(row)));
                        }
                        prop_assert_eq!(at, now.0);
                    }
                }
                prop_assert_eq!(&rows, &now.1);
            }
            prop_assert_eq!(journal.since(4), Changes::All);
        }
    }

    #[test]
    fn what_is_kept_is_bounded() {
        let mut journal = Journal::default();
        for n in 0..5_000u32 {
            let rows = (0..40).map(|h| row((h + 40 * (n % 5)) as u8)).collect();
            journal.follow(n + 1, rows);
            assert!(journal.kept <= ROWS_MOST && journal.steps.len() <= STEPS_MOST);
        }
        assert_eq!(journal.since(1), Changes::All);
        assert!(
            matches!(journal.since(4_999), Changes::All),
            "more than the zone itself"
        );
    }
}
