//! The sequence of one sender's reports. A report holds counters since the start of its sender, so that a newer report
//! includes all that an older one says: duplicate and late reports can be ignored, and the next report makes up for
//! missing ones.

use serde::{Deserialize, Serialize};

/// How far behind the newest a number may be to be classified as duplicate or late.
const WINDOW: u64 = 64;

/// How a report relates to the earlier ones of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Arrival {
    /// It is newer than all before.
    Newest {
        /// Numbers since the previous newest report that have not arrived (yet).
        missing: u64,
    },
    /// It was missing and arrives after a newer one, which includes its contents.
    Late,
    /// It has arrived before.
    #[serde(rename = "Doubled")]
    Duplicate,
    /// Its sender has restarted: counters begin at 0 again.
    Restarted,
}

/// The reports of one sender that have arrived so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSequence {
    incarnation: u64,
    newest: Option<u64>,
    /// Bit n: the report n before the newest has arrived.
    arrived: u64,
}

impl ReportSequence {
    /// Classifies a report that arrives. `incarnation` rises with each start of the sender; `number` rises by one with each
    /// report period of an incarnation.
    pub fn on_report(&mut self, incarnation: u64, number: u64) -> Arrival {
        let Some(newest) = self.newest.filter(|_| incarnation == self.incarnation) else {
            let first = self.newest.is_none();
            // A delayed report of an older incarnation says nothing about the current one.
            if !first && incarnation < self.incarnation {
                return Arrival::Late;
            }
            *self = ReportSequence {
                incarnation,
                newest: Some(number),
                arrived: 1,
            };
            return if first {
                Arrival::Newest { missing: 0 }
            } else {
                Arrival::Restarted
            };
        };
        if number > newest {
            let ahead = number - newest;
            self.arrived = if ahead < WINDOW {
                (self.arrived << ahead) | 1
            } else {
                1
            };
            self.newest = Some(number);
            return Arrival::Newest { missing: ahead - 1 };
        }
        let back = newest - number;
        if back >= WINDOW {
            // Too far behind to be delayed: the sender restarted and lost both its number and its incarnation.
            self.newest = Some(number);
            self.arrived = 1;
            return Arrival::Restarted;
        }
        let bit = 1 << back;
        if self.arrived & bit != 0 {
            return Arrival::Duplicate;
        }
        self.arrived |= bit;
        Arrival::Late
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn reports_are_classified() {
        let mut sequence = ReportSequence::default();
        assert_eq!(sequence.on_report(1, 7), Arrival::Newest { missing: 0 });
        assert_eq!(sequence.on_report(1, 8), Arrival::Newest { missing: 0 });
        assert_eq!(sequence.on_report(1, 8), Arrival::Duplicate);
        assert_eq!(sequence.on_report(1, 11), Arrival::Newest { missing: 2 });
        assert_eq!(sequence.on_report(1, 9), Arrival::Late);
        assert_eq!(sequence.on_report(1, 9), Arrival::Duplicate);
        assert_eq!(sequence.on_report(2, 0), Arrival::Restarted);
        assert_eq!(
            sequence.on_report(1, 12),
            Arrival::Late,
            "of the previous incarnation"
        );
        assert_eq!(sequence.on_report(2, 1), Arrival::Newest { missing: 0 });
        for _ in 0..100 {
            assert_eq!(
                sequence.on_report(2, 1),
                Arrival::Duplicate,
                "a repeated number is always a duplicate"
            );
        }
        assert_eq!(sequence.on_report(2, 100), Arrival::Newest { missing: 98 });
        assert_eq!(
            sequence.on_report(2, 0),
            Arrival::Restarted,
            "same incarnation, number reset"
        );
    }

    proptest! {
        /// However reports are duplicated and reordered within the window, each counts once as newest or late.
        #[test]
        fn each_report_counts_once(mut numbers in prop::collection::vec(0u64..60, 1..200)) {
            let mut sequence = ReportSequence::default();
            numbers.insert(0, 0);
            let mut counted = std::collections::BTreeSet::new();
            for number in numbers {
                let arrival = sequence.on_report(5, number);
                match arrival {
                    Arrival::Duplicate => prop_assert!(counted.contains(&number)),
                    Arrival::Newest { .. } | Arrival::Late => prop_assert!(counted.insert(number)),
                    Arrival::Restarted => prop_assert!(false, "no sender restarted"),
                }
            }
        }
    }
}
