//! A monotonic clock: the wall-clock time at program start plus the elapsed time of the system's monotonic clock.

use pondarch_controller::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The monotonic clock of a program. All copies return the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_us: u64,
    start: Instant,
}

impl Clock {
    /// Starts a clock at the current wall-clock time.
    #[must_use]
    pub fn start() -> Clock {
        Clock {
            start_us: wall_us(),
            start: Instant::now(),
        }
    }

    /// The current monotonic time, in microseconds since the Unix epoch.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::from_micros(self.start_us + self.start.elapsed().as_micros() as u64)
    }

    /// The current wall-clock time, in microseconds since the Unix epoch. The wall clock may be stepped.
    #[must_use]
    pub fn wall(&self) -> Time {
        Time::from_micros(wall_us())
    }

    /// Converts a time of this clock to an [`Instant`].
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
