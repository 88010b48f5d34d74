//! The order of one sender's reports. A report holds all that its sender counted since it started, so that a newer one holds
//! what an older one said: doubled and late ones are passed over, missing ones made good by the next.

use serde::{Deserialize, Serialize};

/// Numbers back from the newest that are told apart as doubled or late.
const WINDOW: u64 = 64;

/// What becomes of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is newer than all before; so many between were not seen (yet).
    Newest {
        missing: u64,
    },
    /// One that was missing came after a newer one: what it says is known.
    Late,
    Doubled,
    /// Its sender started anew: counters begin at 0 again.
    Restarted,
}

/// What was seen of one sender so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Order {
    run: u64,
    newest: Option<u64>,
    /// Bit n: the report n before the newest was seen.
    seen: u64,
}

impl Order {
    /// `run` tells the sender's starts apart; `number` rises by one with each report of a run.
    pub fn came(&mut self, run: u64, number: u64) -> Verdict {
        let Some(newest) = self.newest.filter(|_| run == self.run) else {
            let first = self.newest.is_none();
            // An older run's report that was long under way says nothing of the one that runs now.
            if !first && run < self.run {
                return Verdict::Late;
            }
            *self = Order {
                run,
                newest: Some(number),
                seen: 1,
            };
            return if first {
                Verdict::Newest { missing: 0 }
            } else {
                Verdict::Restarted
            };
        };
        if number > newest {
            let ahead = number - newest;
            self.seen = if ahead < WINDOW {
                (self.seen << ahead) | 1
            } else {
                1
            };
            self.newest = Some(number);
            return Verdict::Newest { missing: ahead - 1 };
        }
        let back = newest - number;
        if back >= WINDOW {
            // So far back that it is no delay: a sender that forgot its number, and its run's.
            self.newest = Some(number);
            self.seen = 1;
            return Verdict::Restarted;
        }
        let bit = 1 << back;
        if self.seen & bit != 0 {
            return Verdict::Doubled;
        }
        self.seen |= bit;
        Verdict::Late
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_comes_is_told_apart() {
        let mut order = Order::default();
        assert_eq!(order.came(1, 7), Verdict::Newest { missing: 0 });
        assert_eq!(order.came(1, 8), Verdict::Newest { missing: 0 });
        assert_eq!(order.came(1, 8), Verdict::Doubled);
        assert_eq!(order.came(1, 11), Verdict::Newest { missing: 2 });
        assert_eq!(order.came(1, 9), Verdict::Late);
        assert_eq!(order.came(1, 9), Verdict::Doubled);
        assert_eq!(order.came(2, 0), Verdict::Restarted);
        assert_eq!(order.came(1, 12), Verdict::Late, "of the run before");
        assert_eq!(order.came(2, 1), Verdict::Newest { missing: 0 });
        for _ in 0..100 {
            assert_eq!(
                order.came(2, 1),
                Verdict::Doubled,
                "one that repeats a number says nothing new"
            );
        }
        assert_eq!(order.came(2, 100), Verdict::Newest { missing: 98 });
        assert_eq!(
            order.came(2, 0),
            Verdict::Restarted,
            "without another run's name"
        );
    }

    proptest! {
        /// However reports are doubled and mixed within the window: each counts as newest or late once.
        #[test]
        fn each_counts_once(mut numbers in prop::collection::vec(0u64..60, 1..200)) {
            let mut order = Order::default();
            numbers.insert(0, 0);
            let mut counted = std::collections::BTreeSet::new();
            for number in numbers {
                let verdict = order.came(5, number);
                match verdict {
                    Verdict::Doubled => prop_assert!(counted.contains(&number)),
                    Verdict::Newest { .. } | Verdict::Late => prop_assert!(counted.insert(number)),
                    Verdict::Restarted => prop_assert!(false, "none did"),
                }
            }
        }
    }
}
