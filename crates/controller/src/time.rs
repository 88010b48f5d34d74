//! Points in time and lengths of time, both exact to the microsecond.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds of a monotonic clock that the caller keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

impl Time {
    /// The point that lies `us` microseconds after the clock's origin.
    #[must_use]
    pub const fn from_micros(us: u64) -> Time {
        Time(us)
    }

    /// Microseconds since the clock's origin.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Whether this is the clock's origin, which stands for a time that nobody stated.
    #[must_use]
    pub const fn is_unset(self) -> bool {
        self.0 == 0
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

    /// How long after `earlier` this is; zero if it is not after it.
    fn sub(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Arithmetic on durations in whole microseconds.
///
/// The methods of [`Duration`] itself calculate in nanoseconds and panic on factors that are negative or no number.
/// Decisions have to come out the same on each machine and for any input, so these round to microseconds and saturate.
pub trait DurationExt: Copy {
    /// Whole microseconds, saturating at `u64::MAX`.
    fn micros(self) -> u64;

    /// Seconds, from whole microseconds.
    fn seconds(self) -> f64;

    /// This duration over another one, which counts as a microsecond at least.
    fn ratio(self, other: Duration) -> f64;

    /// This duration times a factor, cut to whole microseconds; zero for factors that are negative or no number.
    fn scaled(self, factor: f64) -> Duration;

    /// What remains of a quantity after this duration if it halves in each `half_life`.
    fn decay(self, half_life: Duration) -> f64 {
        0.5f64.powf(self.ratio(half_life))
    }

    /// Weight of a sample that covers this duration in an exponential moving average over `window`.
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
