//! What to do with records and when, as decisions: when what was written is made sure of, when a segment is full, which
//! segments are dropped, and when a disk that failed is tried again. No I/O and no clock.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::time::Duration;

/// Waits before a disk that failed is tried again: doubling from the least to the most.
const AGAIN_LEAST: Duration = Duration::from_millis(500);
const AGAIN_MOST: Duration = Duration::from_millis(30_000);

/// A span that no record outlives.
pub const ALWAYS: Duration = Duration::from_millis(u64::MAX / 10_000);

/// What is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Keep {
    /// A segment is full at so many bytes.
    pub segment_bytes: u64,
    /// All segments together.
    pub all_bytes: u64,
    /// Segments whose last record is older are dropped.
    pub age: Duration,
    /// What was written is made sure of within this time: the bound on what a machine that stops loses.
    pub sure_within: Duration,
}

/// A segment as it stands in the folder, in order of age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    pub number: u64,
    pub bytes: u64,
    /// When it was last written to.
    pub written: Time,
}

/// How it goes with the disk.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Writes,
    /// It failed: why, since when, and when it is tried again.
    Stopped {
        why: String,
        since: Time,
        again: Time,
    },
}

#[derive(Clone, Debug)]
pub struct Keeping {
    keep: Keep,
    state: State,
    failures: u32,
    /// Since when there is something written and not made sure of.
    unsure_since: Option<Time>,
    bytes: u64,
}

impl Keeping {
    pub fn new(keep: Keep) -> Keeping {
        Keeping {
            keep,
            state: State::Writes,
            failures: 0,
            unsure_since: None,
            bytes: 0,
        }
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether records may be written now: the disk works, or is due for another try.
    pub fn may_write(&self, now: Time) -> bool {
        match self.state {
            State::Writes => true,
            State::Stopped { again, .. } => now >= again,
        }
    }

    /// So much was written to the segment that is open. Gives whether the segment is full.
    pub fn wrote(&mut self, now: Time, bytes: u64) -> bool {
        self.state = State::Writes;
        self.unsure_since.get_or_insert(now);
        self.bytes += bytes;
        self.bytes >= self.keep.segment_bytes
    }

    pub fn opened(&mut self) {
        self.bytes = 0;
    }

    /// All that was written is made sure of: the disk works.
    pub fn made_sure(&mut self) {
        self.unsure_since = None;
        self.failures = 0;
    }

    pub fn failed(&mut self, now: Time, why: String) {
        let wait = AGAIN_LEAST
            .scaled(f64::from(1u32 << self.failures.min(16)))
            .min(AGAIN_MOST);
        self.failures = self.failures.saturating_add(1);
        let since = match self.state {
            State::Stopped { since, .. } => since,
            State::Writes => now,
        };
        self.state = State::Stopped {
            why,
            since,
            again: now + wait,
        };
        self.unsure_since = None;
    }

    /// When what was written is to be made sure of; none: all of it is.
    pub fn sure_at(&self) -> Option<Time> {
        self.unsure_since.map(|since| since + self.keep.sure_within)
    }

    /// The segments to drop, oldest first: over the size, or too old. Never the last one, which is written to, nor
    /// those from `needed` on, which the newest snapshot needs.
    pub fn drops(&self, now: Time, held: &[Held], needed: u64) -> Vec<u64> {
        let mut all: u64 = held.iter().map(|segment| segment.bytes).sum();
        let mut drops = Vec::new();
        for segment in held.iter().take(held.len().saturating_sub(1)) {
            let over = all > self.keep.all_bytes || now - segment.written > self.keep.age;
            if !over || segment.number >= needed {
                break;
            }
            all -= segment.bytes;
            drops.push(segment.number);
        }
        drops
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000 + ms * 1_000)
    }

    fn keep() -> Keep {
        Keep {
            segment_bytes: 1_000,
            all_bytes: 5_000,
            age: Duration::from_millis(60_000),
            sure_within: Duration::from_millis(100),
        }
    }

    #[test]
    fn a_disk_that_fails_is_tried_again_ever_more_seldom() {
        let mut keeping = Keeping::new(keep());
        keeping.wrote(at(0), 10);
        assert_eq!(keeping.sure_at(), Some(at(100)));
        let mut tries = Vec::new();
        for ms in 0..20_000 {
            if keeping.may_write(at(ms)) {
                tries.push(ms);
                keeping.failed(at(ms), "full".into());
            }
        }
        assert_eq!(tries, [0, 500, 1_500, 3_500, 7_500, 15_500]);
        assert!(matches!(keeping.state(), State::Stopped { since, .. } if *since == at(0)));
        keeping.wrote(at(31_500), 10);
        keeping.made_sure();
        assert_eq!((keeping.state(), keeping.sure_at()), (&State::Writes, None));
        keeping.failed(at(40_000), "full".into());
        assert!(keeping.may_write(at(40_500)), "it worked in between");
    }

    proptest! {
        /// Whatever stands there: the last segment and what the snapshot needs stay, the rest is bounded by size and age.
        #[test]
        fn what_is_needed_stays_and_the_rest_is_bounded(sizes in prop::collection::vec((0u64..2_000, 0u64..30_000), 1..20), needed in 0u64..25) {
            let mut written = 0;
            let held: Vec<Held> = sizes.iter().enumerate().map(|(n, (bytes, later))| {
                written += later;
                Held { number: n as u64, bytes: *bytes, written: at(written) }
            }).collect();
            let now = at(written);
            let drops = Keeping::new(keep()).drops(now, &held, needed);
            let stays: Vec<&Held> = held.iter().filter(|segment| !drops.contains(&segment.number)).collect();
            prop_assert_eq!(stays.last().map(|s| s.number), held.last().map(|s| s.number));
            prop_assert!(drops.iter().all(|n| *n < needed));
            prop_assert!(drops.iter().enumerate().all(|(n, number)| *number == n as u64), "oldest first, no holes");
            if let Some(first) = stays.first().filter(|first| first.number < needed && stays.len() > 1) {
                let all: u64 = stays.iter().map(|s| s.bytes).sum();
                prop_assert!(all <= 5_000 && now - first.written <= Duration::from_millis(60_000));
            }
        }
    }
}
