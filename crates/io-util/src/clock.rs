//! Time that never goes back: the wall clock at the start, and from there on the machine's monotonic clock.

use pondarch_controller::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock of a program. All copies give the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_us: u64,
    start: Instant,
}

impl Clock {
    /// A clock that agrees with the wall clock at this moment.
    #[must_use]
    pub fn start() -> Clock {
        Clock {
            start_us: wall_us(),
            start: Instant::now(),
        }
    }

    /// The time now, in microseconds since 1970.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::from_micros(self.start_us + self.start.elapsed().as_micros() as u64)
    }

    /// What the wall clock shows now, in microseconds since 1970. It may be stepped.
    #[must_use]
    pub fn wall(&self) -> Time {
        Time::from_micros(wall_us())
    }

    /// The same point in time on the monotonic clock of the machine.
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        let since_start = at - Time::from_micros(self.start_us);
        self.start + since_start
    }
}

fn wall_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_micros() as u64
}
