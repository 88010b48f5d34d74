//! Points in time and durations with microsecond precision.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds of the caller's monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// Returns the time `us` microseconds after the clock's origin.
    #[must_use]
    pub const fn from_micros(us: u64) -> Time {
        Time(us)
    }

    /// Returns the microseconds since the clock's origin.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns whether this is the clock's origin, which stands for an unknown time.
    #[must_use]
    pub const fn is_unset(self) -> bool {
        self.0 == 0
    }

    /// Returns the time `duration` before this one, or the clock's origin if that is later.
    #[must_use]
    pub(crate) fn before(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(duration.micros()))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    /// Saturates at the end of the clock's range.
    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(duration.micros()))
    }
}

impl Sub for Time {
    type Output = Duration;

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Arithmetic on durations in whole microseconds.
///
/// The methods of [`Duration`] itself use nanoseconds and panic on negative or NaN factors. Decisions must be the same
/// on each machine and for any input, so these methods truncate to microseconds and saturate.
pub trait DurationExt: Copy {
    /// Returns the whole microseconds, saturating at `u64::MAX`.
    fn micros(self) -> u64;

    /// Returns the seconds, computed from whole microseconds.
    fn seconds(self) -> f64;

    /// Returns this duration divided by `other`, where `other` counts as one microsecond or more.
    fn ratio(self, other: Duration) -> f64;

    /// Returns this duration times `factor`, truncated to whole microseconds; zero if `factor` is negative or NaN.
    fn scaled(self, factor: f64) -> Duration;

    /// Returns the remaining fraction of an exponentially decaying quantity after this duration.
    fn decay(self, half_life: Duration) -> f64 {
        0.5f64.powf(self.ratio(half_life))
    }

    /// Returns the weight of a sample that covers this duration in an exponential moving average over `window`.
    fn sample_weight(self, window: Duration) -> f64 {
        1.0 - (-self.ratio(window)).exp()
    }
}

impl DurationExt for Duration {
    fn micros(self) -> u64 {
        u64::try_from(self.as_micros()).unwrap_or(u64::MAX)
    }

    fn seconds(self) -> f64 {
        self.micros() as f64 / 1e6
    }

    fn ratio(self, other: Duration) -> f64 {
        self.micros() as f64 / other.micros().max(1) as f64
    }

    fn scaled(self, factor: f64) -> Duration {
        Duration::from_micros((self.micros() as f64 * factor) as u64)
    }
}
