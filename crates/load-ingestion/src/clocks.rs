//! A sender's clock by ours. A report was sent before it came, and after the last word of ours that it answers: the two
//! bound the difference of the clocks, and each further report can only narrow it, but for drift. Where the bounds
//! contradict what was known, a clock has jumped.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::time::Duration;

/// How far two clocks may drift apart: 500 millionths, twice what a machine's clock may be off.
const DRIFT: f64 = 500e-6;
/// Bounds that miss each other by less are no jump.
const SLACK_US: i64 = 2_000;

/// When a report was sent, by our clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mapped {
    /// The earliest that it can have been; none: nothing bounds it yet.
    pub earliest: Option<Time>,
    /// The latest, which is not after it came.
    pub latest: Time,
    /// One of the two clocks has jumped since the last one.
    pub jumped: bool,
}

impl Mapped {
    /// How far off the time taken may be.
    pub fn error(&self) -> Option<Duration> {
        self.earliest.map(|earliest| self.latest - earliest)
    }

    /// The time to go by: the earliest, so that nothing stale is taken for fresh; where nothing bounds it, none.
    pub fn sent(&self) -> Option<Time> {
        self.earliest
    }
}

/// The difference ours - theirs, in microseconds, lies within these.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clocks {
    least: Option<i64>,
    most: Option<i64>,
    at: Time,
}

impl Clocks {
    /// A report that was sent at `sent_us` by its sender's clock came now. `answers`: the last word of ours that the
    /// sender had then, by our clock, and how long it had had it.
    pub fn came(&mut self, now: Time, sent_us: u64, answers: Option<(Time, Duration)>) -> Mapped {
        let sent = i64::try_from(sent_us).unwrap_or(i64::MAX);
        let us = |at: Time| (at - Time::default()).micros() as i64;
        let drift = ((now - self.at).micros() as f64 * DRIFT) as i64;
        // What a sender says of our own words is believed only as far as they can have been said.
        let told = answers
            .filter(|(word, _)| *word <= now)
            .map(|(word, had)| word + had)
            .filter(|at| *at <= now);
        let new_least = told.map(|at| us(at) - sent);
        let new_most = us(now) - sent;
        let (least, most) = (
            self.least.map(|least| least - drift),
            self.most.map(|most| most + drift),
        );
        let jumped = least.is_some_and(|least| new_most + SLACK_US < least)
            || most
                .zip(new_least)
                .is_some_and(|(most, new)| new > most + SLACK_US);
        if jumped {
            (self.least, self.most) = (new_least, Some(new_most));
        } else {
            self.least = least.max(new_least);
            self.most = Some(most.map_or(new_most, |most| most.min(new_most)));
        }
        self.at = now;
        let ours = |difference: i64| Time::from_micros((sent + difference).max(0) as u64);
        let latest = ours(self.most.unwrap_or(new_most)).min(now);
        Mapped {
            earliest: self.least.map(|least| ours(least).min(latest)),
            latest,
            jumped,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000_000 + ms * 1_000)
    }

    const MS: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn clocks_ten_minutes_apart_are_known_to_within_the_way_there_and_back() {
        let mut clocks = Clocks::default();
        // Its clock is 10 minutes behind; words take 5 ms there and 10 ms back.
        let theirs = |ms: u64| 1_000_000_000_000 + ms * 1_000 - 600_000_000;
        let first = clocks.came(at(10), theirs(0), None);
        assert_eq!(
            (first.earliest, first.latest),
            (None, at(10)),
            "nothing bounds it yet"
        );
        let mapped = clocks.came(at(1_010), theirs(1_000), Some((at(15), MS(980))));
        assert_eq!(mapped.error().map(|error| error.micros() / 1_000), Some(15));
        assert!(mapped.earliest <= Some(at(1_000)) && at(1_000) <= mapped.latest);
        assert!(!mapped.jumped);
    }

    #[test]
    fn a_delayed_report_is_as_old_as_it_is() {
        let mut clocks = Clocks::default();
        let theirs = |ms: u64| 5_000_000 + ms * 1_000;
        clocks.came(at(1_000), theirs(999), Some((at(990), MS(5))));
        // Sent at 2 s, and under way for 20 s.
        let mapped = clocks.came(at(22_000), theirs(2_000), Some((at(1_001), MS(998))));
        let sent = mapped.sent().expect("known");
        assert!(at(22_000) - sent >= MS(19_990), "{:?}", at(22_000) - sent);
    }

    #[test]
    fn a_jump_is_noticed_either_way_and_the_clock_known_again() {
        for jump in [-3_600_000_000i64, 3_600_000_000, 50_000, -50_000] {
            let mut clocks = Clocks::default();
            let theirs = |ms: u64| (4_000_000_000_000i64 + ms as i64 * 1_000) as u64;
            for ms in (0..5_000).step_by(1_000) {
                let mapped = clocks.came(at(ms + 1), theirs(ms), Some((at(ms), Duration::ZERO)));
                assert!(!mapped.jumped);
            }
            let jumped = |ms: u64| (theirs(ms) as i64 + jump) as u64;
            assert!(
                clocks
                    .came(at(6_001), jumped(6_000), Some((at(6_000), Duration::ZERO)))
                    .jumped,
                "{jump}"
            );
            let after = clocks.came(at(7_001), jumped(7_000), Some((at(7_000), Duration::ZERO)));
            assert!(
                !after.jumped && after.earliest <= Some(at(7_000)) && after.latest >= at(7_000)
            );
        }
    }

    proptest! {
        /// Whatever the ways take, and with drift: the true time lies within the bounds.
        #[test]
        fn the_truth_is_within_the_bounds(
            off in -4_000_000_000i64..4_000_000_000, drift in -200i64..200, ways in prop::collection::vec((1u64..300, 1u64..2_000, 0u64..900), 1..60),
        ) {
            let theirs = |true_us: i64| (9_000_000_000_000 + true_us + off + true_us * drift / 1_000_000) as u64;
            let (mut clocks, mut now, mut word) = (Clocks::default(), 0u64, None);
            for (down, up, held) in ways {
                // A word reaches the sender, which holds it for a while and sends; that takes its time.
                let sent = now + down + held;
                let came = sent + up;
                let had = word.map(|said: u64| (at(said), MS(sent - said - down)));
                let mapped = clocks.came(at(came), theirs(sent as i64 * 1_000), had);
                prop_assert!(!mapped.jumped);
                let slack = MS(1);
                prop_assert!(at(sent) <= mapped.latest + slack, "{:?} after {:?}", at(sent), mapped.latest);
                prop_assert!(mapped.earliest.is_none_or(|earliest| earliest <= at(sent) + slack));
                word = Some(came);
                now = came;
            }
        }
    }
}
