//! Reports the memory used by queues and connections outside the core to the core.

use crate::output_handler::OutputHandler;
use crate::recorder::Recorder;
use pondarch_controller::Time;
use pondarch_daemon_core::Input;
use std::time::Duration;

/// Time between two measurements of the memory in use.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Relative part of the change that a figure must exceed to be reported.
const MIN_REPORTED_CHANGE_RATIO: f64 = 0.125;
/// Absolute part of the change that a figure must exceed to be reported, in bytes, added to the relative part.
const MIN_REPORTED_CHANGE_BYTES: f64 = 4_096.0;
/// Approximate memory of a connection with its task and buffers, in bytes.
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
        let differs = |current: u64, last: u64| {
            current.abs_diff(last) as f64
                > last as f64 * MIN_REPORTED_CHANGE_RATIO + MIN_REPORTED_CHANGE_BYTES
        };
        differs(self.queued, reported.queued)
            || differs(self.event_log, reported.event_log)
            || differs(self.connections, reported.connections)
    }
}

/// Measures the memory in use at intervals and reports changes.
pub(crate) struct MemoryReporter {
    last_reported: MemoryUsage,
    next_measurement_at: Time,
}

impl MemoryReporter {
    /// Creates a reporter whose first measurement is at `now`.
    pub(crate) fn new(now: Time) -> MemoryReporter {
        MemoryReporter {
            last_reported: MemoryUsage::default(),
            next_measurement_at: now,
        }
    }

    /// Returns a report if a measurement is due and a figure has changed enough, or if load report senders were rejected.
    pub(crate) fn report_if_due(
        &mut self,
        now: Time,
        output_handler: &OutputHandler,
        recorder: Option<&Recorder>,
    ) -> Option<Input> {
        if now < self.next_measurement_at {
            return None;
        }
        self.next_measurement_at = now + MEASUREMENT_INTERVAL;
        let senders = output_handler.sender_counts();
        let usage = MemoryUsage {
            queued: output_handler.queued_bytes(),
            event_log: recorder.map_or(0, Recorder::queued_bytes),
            connections: (output_handler.connections() + senders.connected) * CONNECTION_BYTES,
        };
        if senders.rejected == 0 && !usage.differs_from(self.last_reported) {
            return None;
        }
        self.last_reported = usage;
        Some(Input::MemoryUsage {
            queued_bytes: usage.queued,
            event_log_bytes: usage.event_log,
            connection_bytes: usage.connections,
            rejected_connections: senders.rejected,
        })
    }
}
