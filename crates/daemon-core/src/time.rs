//! Points in time as the event log stores them.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;

/// A point in time in microseconds since 1970, for the event log.
pub fn unix_micros(at: Time) -> u64 {
    (at - Time::default()).micros()
}
