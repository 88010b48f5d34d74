//! Time that never goes back: the wall clock at the start, and from there on the machine's steady one.

use pondarch_controller::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Copies tell the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    at_start: u64,
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            at_start: since.as_micros() as u64,
            start: Instant::now(),
        }
    }

    /// Microseconds since 1970.
    pub fn now(&self) -> Time {
        Time::from_micros(self.at_start + self.start.elapsed().as_micros() as u64)
    }

    /// The steady clock's word for a point in time.
    pub fn instant(&self, at: Time) -> Instant {
        let since_start = at - Time::from_micros(self.at_start);
        self.start + since_start
    }
}
