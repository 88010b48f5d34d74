//! Who serves copies of the zone: which serial each may still answer from, and when to tell it of a newer one (NOTIFY,
//! RFC 1996). A secondary asks by itself as well; what it asks says what it holds.
//!
//! A copy is behind from a change until it was fetched. While it is behind, it hands out what is there no more: that time
//! comes off the lifetime of answers, and one that is behind for longer is told to operators.

use crate::held::newer;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Wait before a word that was not answered is said again; it doubles up to the most.
const AGAIN_LEAST: Duration = Duration::from_millis(200);
const AGAIN_MOST: Duration = Duration::from_millis(5_000);
/// A secondary that answered the word and did not fetch within this time is told again.
const FETCHES_WITHIN: Duration = Duration::from_millis(1_000);
/// Words to one secondary are at least this far apart: changes that come close together are fetched at once.
const GATHERED: Duration = Duration::from_millis(100);

/// What is heard of a secondary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Heard {
    /// It answered the word.
    Acknowledged,
    /// It asked, and says that it holds this serial; none: it did not say.
    Asks(Option<u32>),
    /// It was sent the zone as it is at this serial, whole or by differences.
    Fetched(u32),
}

#[derive(Clone, Debug, Default)]
struct Secondary {
    holds: Option<u32>,
    heard: Option<Time>,
    behind_since: Option<Time>,
    /// That it is behind for too long was said.
    told_late: bool,
    said: Option<Time>,
    say_at: Option<Time>,
    tries: u32,
}

#[derive(Clone, Debug)]
pub struct Secondaries {
    of: Vec<Secondary>,
    serial: Option<u32>,
    behind_most: Duration,
    /// One that was not heard of for this long serves no more (the SOA's EXPIRE, RFC 1035, section 3.3.13).
    expires: Duration,
}

impl Secondaries {
    pub fn new(count: usize, behind_most: Duration, expires: Duration) -> Secondaries {
        Secondaries {
            of: vec![Secondary::default(); count],
            serial: None,
            behind_most,
            expires,
        }
    }

    /// The zone has changed: all of them are behind.
    pub fn changed(&mut self, now: Time, serial: u32) {
        self.serial = Some(serial);
        for one in &mut self.of {
            one.behind_since.get_or_insert(now);
            one.tries = 0;
            let gathered = one.said.map_or(now, |said| now.max(said + GATHERED));
            one.say_at = Some(one.say_at.map_or(gathered, |at| at.min(gathered)));
        }
    }

    pub fn heard(&mut self, now: Time, n: usize, what: Heard) {
        let (serial, Some(one)) = (self.serial, self.of.get_mut(n)) else {
            return;
        };
        match what {
            Heard::Acknowledged => {
                one.heard = Some(now);
                if one.behind_since.is_some() {
                    one.say_at = Some(now + FETCHES_WITHIN);
                }
            }
            Heard::Asks(None) => one.heard = Some(now),
            Heard::Asks(Some(held)) | Heard::Fetched(held) => {
                one.heard = Some(now);
                // A fetch that another one overtook says nothing of what it holds now.
                if matches!(what, Heard::Asks(_)) || one.holds.is_none_or(|old| !newer(old, held)) {
                    one.holds = Some(held);
                }
                if one.holds == serial {
                    (one.behind_since, one.say_at, one.told_late, one.tries) =
                        (None, None, false, 0);
                }
            }
        }
    }

    /// Those that are to be told of the serial now; the next time for each is set.
    pub fn say(&mut self, now: Time) -> Vec<u16> {
        let due = |one: &Secondary| one.say_at.is_some_and(|at| at <= now);
        let mut said = Vec::new();
        for (n, one) in self.of.iter_mut().enumerate().filter(|(_, one)| due(one)) {
            let wait = AGAIN_LEAST
                .scaled(f64::from(1u32 << one.tries.min(16)))
                .min(AGAIN_MOST);
            one.tries += 1;
            (one.said, one.say_at) = (Some(now), Some(now + wait));
            said.push(n as u16);
        }
        said
    }

    /// Those that have become behind for longer than they may; each is named once, until it has caught up.
    pub fn late(&mut self, now: Time) -> Vec<u16> {
        let most = self.behind_most;
        let late = |one: &Secondary| {
            !one.told_late && one.behind_since.is_some_and(|since| now - since > most)
        };
        let mut named = Vec::new();
        for (n, one) in self.of.iter_mut().enumerate().filter(|(_, one)| late(one)) {
            one.told_late = true;
            named.push(n as u16);
        }
        named
    }

    /// The oldest serial that one of them may still answer from; none: nobody serves a copy.
    pub fn oldest(&self, now: Time) -> Option<u32> {
        let serves = |one: &&Secondary| one.heard.is_some_and(|heard| now - heard < self.expires);
        let held = self.of.iter().filter(serves).filter_map(|one| one.holds);
        held.reduce(|a, b| if newer(a, b) { b } else { a })
    }

    pub fn wake_at(&self) -> Option<Time> {
        let late = |one: &Secondary| {
            one.behind_since
                .filter(|_| !one.told_late)
                .map(|since| since + self.behind_most + Duration::from_micros(1))
        };
        self.of
            .iter()
            .flat_map(|one| [one.say_at, late(one)])
            .flatten()
            .min()
    }

    /// What each holds, and since when it is behind.
    pub fn states(&self) -> impl Iterator<Item = (Option<u32>, Option<Time>)> {
        self.of.iter().map(|one| (one.holds, one.behind_since))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000 + ms * 1_000)
    }

    fn two() -> Secondaries {
        Secondaries::new(
            2,
            Duration::from_millis(1_000),
            Duration::from_millis(60_000),
        )
    }

    #[test]
    fn a_change_is_said_to_all_and_again_until_it_was_fetched() {
        let mut all = two();
        all.changed(at(0), 7);
        assert_eq!(all.say(at(0)), [0, 1]);
        all.heard(at(5), 0, Heard::Acknowledged);
        all.heard(at(9), 0, Heard::Fetched(7));
        assert_eq!(all.oldest(at(9)), Some(7));
        // The other was cut off: it is told at 0.2 s, 0.6 s, 1.4 s and so on.
        let said: Vec<u64> = (0..3_000).filter(|ms| all.say(at(*ms)) == [1]).collect();
        assert_eq!(said, [200, 600, 1_400]);
        assert_eq!(all.late(at(1_000)), []);
        assert_eq!(all.late(at(1_001)), [1]);
        assert_eq!(all.late(at(2_000)), [], "said once");
        all.heard(at(3_000), 1, Heard::Fetched(7));
        assert_eq!((all.wake_at(), all.say(at(9_000)).len()), (None, 0));
    }

    #[test]
    fn changes_close_together_are_said_once_and_one_that_does_not_fetch_is_told_again() {
        let mut all = two();
        (0..50).for_each(|ms| {
            all.changed(at(ms), ms as u32);
            all.say(at(ms));
        });
        let said: Vec<u64> = (50..110).filter(|ms| all.say(at(*ms)) == [0, 1]).collect();
        assert_eq!(said, [100]);
        all.heard(at(110), 0, Heard::Acknowledged);
        assert!(all.say(at(1_109)).iter().all(|n| *n == 1));
        assert_eq!(all.say(at(1_110))[0], 0);
    }

    #[test]
    fn one_that_was_not_heard_of_serves_no_more_and_one_behind_does() {
        let mut all = two();
        all.changed(at(0), 7);
        all.heard(at(0), 0, Heard::Fetched(7));
        all.heard(at(0), 1, Heard::Fetched(7));
        all.changed(at(10), 8);
        all.heard(at(20), 0, Heard::Fetched(8));
        assert_eq!(all.oldest(at(20)), Some(7));
        assert_eq!(all.oldest(at(60_010)), Some(8));
        // What it says itself counts, also when it goes back to an older copy.
        all.heard(at(70_000), 0, Heard::Asks(Some(3)));
        assert_eq!(all.oldest(at(70_000)), Some(3));
        assert_eq!(all.oldest(at(140_000)), None);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever is heard and however late: nobody that holds an old copy is forgotten, words are bounded, and the
        /// clock never asks for a time that has passed once all that is due was taken.
        #[test]
        fn nobody_behind_is_forgotten(steps in prop::collection::vec((0u64..700, 0usize..2, 0u8..5), 1..150)) {
            let (mut all, mut now, mut serial, mut words) = (two(), 0, 1, 0);
            let mut holds = [None, None];
            all.changed(at(0), serial);
            for (pass, n, what) in steps {
                now += pass;
                match what {
                    0 => {
                        serial += 1;
                        all.changed(at(now), serial);
                    }
                    1 => all.heard(at(now), n, Heard::Acknowledged),
                    2 | 3 => {
                        holds[n] = Some(serial);
                        all.heard(at(now), n, Heard::Fetched(serial));
                    }
                    _ => all.heard(at(now), n, Heard::Asks(holds[n])),
                }
                words += all.say(at(now)).len();
                all.late(at(now));
                prop_assert!(all.wake_at().is_none_or(|wake| wake > at(now)));
                for (n, (held, behind)) in all.states().enumerate() {
                    prop_assert_eq!(held, holds[n]);
                    prop_assert_eq!(behind.is_some(), held != Some(serial));
                }
            }
            prop_assert!(words as u64 <= 2 * (2 + now / 100));
        }
    }
}
