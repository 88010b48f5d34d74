//! A bound on lines a second, whatever happens; what was left out is counted.

use std::time::{Duration, Instant};
use tracing::info;

const LINES_A_SECOND: u32 = 20;

pub(crate) struct Lines {
    second: Instant,
    written: u32,
    left_out: u64,
}

impl Lines {
    pub(crate) fn new() -> Lines {
        Lines {
            second: Instant::now(),
            written: 0,
            left_out: 0,
        }
    }

    /// Whether there is room for one more line now.
    pub(crate) fn room(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            if self.left_out > 0 {
                info!(lines = self.left_out, "lines left out");
            }
            *self = Lines::new();
        }
        self.written += 1;
        let room = self.written <= LINES_A_SECOND;
        self.left_out += u64::from(!room);
        room
    }
}
