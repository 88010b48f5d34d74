//! The form in which the event log stores points in time.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;

/// A point in time in microseconds since 1970, as the event log stores it.
pub fn unix_micros(at: Time) -> u64 {
    (at - Time::default()).micros()
}
