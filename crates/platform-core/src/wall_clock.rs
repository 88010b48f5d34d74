//! Converts wall-clock times to monotonic times. Host start times are listed by the wall clock; everything else is
//! timed by the monotonic clock.

use pondarch_controller::{DurationExt, Time};
use std::time::Duration;

/// Minimum change of the offset that counts as a step of the wall clock. Smaller changes are drift, which must not turn
/// a listed start time into a different one.
const MIN_STEP: Duration = Duration::from_millis(500);

/// The offset between the clocks, which agreed at the program's start.
#[derive(Debug, Default)]
pub(crate) struct WallClock {
    /// Microseconds that the wall clock is ahead of the monotonic clock; negative if it is behind.
    ahead_us: i64,
}

impl WallClock {
    /// Compares the clocks, which were read at the same moment.
    pub(crate) fn observe(&mut self, monotonic: Time, wall: Time) {
        let ahead_us = signed_micros(wall).saturating_sub(signed_micros(monotonic));
        if ahead_us.abs_diff(self.ahead_us) >= MIN_STEP.micros() {
            self.ahead_us = ahead_us;
        }
    }

    /// Converts a wall-clock time to a monotonic time by the current offset. An unset time stays unset.
    pub(crate) fn to_monotonic(&self, wall: Time) -> Time {
        if wall.is_unset() {
            return wall;
        }
        let monotonic = signed_micros(wall).saturating_sub(self.ahead_us);
        // At least 1, because 0 is the unset time.
        Time::from_micros(monotonic.max(1).unsigned_abs())
    }
}

fn signed_micros(time: Time) -> i64 {
    i64::try_from(time.micros()).unwrap_or(i64::MAX)
}
