//! The wall clock against the monotonic one: hosts' start times are listed by the former, and all else is timed by the latter.

use pondarch_controller::{DurationExt, Time};
use std::time::Duration;

/// Difference from which the wall clock counts as stepped; less is drift, which must not make a listed start another one.
const MIN_STEP: Duration = Duration::from_millis(500);

/// How far the wall clock has been stepped since the program's start, when both agreed.
#[derive(Debug, Default)]
pub(crate) struct WallClock {
    /// Microseconds that the wall clock is ahead; below zero: behind.
    ahead_us: i64,
}

impl WallClock {
    /// Compares the clocks at one moment.
    pub(crate) fn observe(&mut self, monotonic: Time, wall: Time) {
        let ahead_us = signed(wall).saturating_sub(signed(monotonic));
        if ahead_us.abs_diff(self.ahead_us) >= MIN_STEP.micros() {
            self.ahead_us = ahead_us;
        }
    }

    /// The time of the monotonic clock at a time that the wall clock shows now; a time that nobody stated stays so.
    pub(crate) fn to_monotonic(&self, wall: Time) -> Time {
        if wall.is_unset() {
            return wall;
        }
        let monotonic = signed(wall).saturating_sub(self.ahead_us);
        // Not zero, which would be a time that nobody stated.
        Time::from_micros(monotonic.max(1).unsigned_abs())
    }
}

fn signed(time: Time) -> i64 {
    i64::try_from(time.micros()).unwrap_or(i64::MAX)
}
