//! A limit on log lines per second. Lines over the limit are not written but counted.

use std::time::{Duration, Instant};
use tracing::info;

const MAX_LINES_PER_SECOND: u32 = 20;

/// The log lines of the current second.
pub(crate) struct LogLimit {
    second_started: Instant,
    written: u32,
    suppressed: u64,
}

impl LogLimit {
    pub(crate) fn new() -> LogLimit {
        LogLimit {
            second_started: Instant::now(),
            written: 0,
            suppressed: 0,
        }
    }

    /// Writes a line if the limit allows it, or counts it as suppressed. The number of suppressed lines is logged at
    /// the first line after their second.
    pub(crate) fn log(&mut self, write: impl FnOnce()) {
        if self.second_started.elapsed() >= Duration::from_secs(1) {
            if self.suppressed > 0 {
                info!(lines = self.suppressed, "log lines suppressed");
            }
            *self = LogLimit::new();
        }
        self.written += 1;
        if self.written <= MAX_LINES_PER_SECOND {
            write();
        } else {
            self.suppressed += 1;
        }
    }
}
