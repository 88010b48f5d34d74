//! Reports to the core how much memory its surroundings use.

use crate::output_handler::OutputHandler;
use crate::recorder::Recorder;
use pondarch_controller::Time;
use pondarch_daemon_core::Input;
use std::time::Duration;

/// How often the memory is counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(1_000);
/// The part by which a figure must have changed to be reported.
const REPORTED_CHANGE: f64 = 0.125;
/// The bytes by which it must have changed beyond that part.
const REPORTED_CHANGE_BYTES: f64 = 4_096.0;
/// What a connection takes, with its task and buffers, in bytes, roughly.
const CONNECTION_BYTES: u64 = 8 * 1024;

/// Memory in use, in bytes.
#[derive(Clone, Copy, Default)]
struct MemoryUsage {
    queued: u64,
    event_log: u64,
    connections: u64,
}

impl MemoryUsage {
    fn differs_from(self, reported: MemoryUsage) -> bool {
        let differs = |now: u64, then: u64| {
            now.abs_diff(then) as f64 > then as f64 * REPORTED_CHANGE + REPORTED_CHANGE_BYTES
        };
        differs(self.queued, reported.queued)
            || differs(self.event_log, reported.event_log)
            || differs(self.connections, reported.connections)
    }
}

/// Counts the memory at intervals and reports changes.
pub(crate) struct MemoryReporter {
    reported: MemoryUsage,
    next_at: Time,
}

impl MemoryReporter {
    /// A reporter that counts at `now` for the first time.
    pub(crate) fn new(now: Time) -> MemoryReporter {
        MemoryReporter {
            reported: MemoryUsage::default(),
            next_at: now,
        }
    }

    /// The usage, if it is time to count and it has changed enough to be reported.
    pub(crate) fn report_if_due(
        &mut self,
        now: Time,
        outputs: &OutputHandler,
        recorder: Option<&Recorder>,
    ) -> Option<Input> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + COUNT_INTERVAL;
        let senders = outputs.sender_counts();
        let usage = MemoryUsage {
            queued: outputs.queued_bytes(),
            event_log: recorder.map_or(0, Recorder::waiting),
            connections: (outputs.connections() + senders.connected) * CONNECTION_BYTES,
        };
        if senders.rejected == 0 && !usage.differs_from(self.reported) {
            return None;
        }
        self.reported = usage;
        Some(Input::MemoryUsage {
            queued_bytes: usage.queued,
            event_log_bytes: usage.event_log,
            connection_bytes: usage.connections,
            rejected_connections: senders.rejected,
        })
    }
}
