//! Records inputs and decisions in the event log, through a bounded queue and a thread that writes, syncs and stores
//! snapshots. The core never waits for the disk: records that do not fit into the queue become a gap, which is recorded.
//!
//! - `previous_run`: recovers the state of the previous run at start-up.
//! - `writer`: the writer thread.

use pondarch_config::site::EventLogSettings;
use pondarch_controller::Time;
use pondarch_daemon_core::{Input, Output, RecoveredState, unix_micros};
use pondarch_event_log::{Disk, LockError, RetentionConfig};
use pondarch_io_util::Clock;
use pondarch_replay::{RunStart, Snapshot};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tracing::warn;
use writer::{Writer, WriterConfig};

mod previous_run;
mod writer;

pub(crate) use previous_run::{current_boot, folder_opener, previous_run};

/// Maximum number of queued records; further ones become a gap.
const MAX_QUEUED_RECORDS: usize = 16_384;
/// Approximate maximum size of the queued records, in bytes; further ones become a gap.
const MAX_QUEUED_BYTES: usize = 64 << 20;
/// Time limit for writing the queue at shutdown, in case the disk hangs.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// An entry in the queue of the writer thread.
enum Entry {
    /// An input of the core.
    Input {
        number: u64,
        at: Time,
        input: Box<Input>,
    },
    /// The core's outputs for an input.
    Outputs { number: u64, outputs: Vec<Output> },
    /// Inputs that did not fit into the queue.
    Gap(InputRange),
    /// A snapshot of the core's state.
    Snapshot(Box<Snapshot>),
}

/// A range of consecutive input numbers, both ends included.
#[derive(Clone, Copy)]
struct InputRange {
    first: u64,
    last: u64,
}

impl InputRange {
    /// The number of inputs in the range.
    fn count(self) -> u64 {
        self.last - self.first + 1
    }
}

/// Sends inputs and decisions to the writer thread. Its owner must call `shut_down`.
pub struct Recorder {
    entries: SyncSender<Entry>,
    queued_bytes: Arc<AtomicUsize>,
    written_up_to: watch::Receiver<u64>,
    thread: JoinHandle<()>,
    /// The number of the last input.
    last_number: u64,
    /// Whether the last input was queued. Its outputs are queued only in that case.
    last_input_queued: bool,
    /// Inputs that did not fit into the queue and have no gap entry yet.
    unrecorded_gap: Option<InputRange>,
    snapshot_interval: Duration,
    next_snapshot_at: Time,
    incarnation: u64,
}

impl Recorder {
    /// Starts the writer thread, which opens the disk itself and retries while that fails.
    #[must_use]
    pub fn start<D: Disk + Send + 'static>(
        open: impl FnMut() -> Result<D, LockError> + Send + 'static,
        records: &EventLogSettings,
        start: RunStart,
        clock: Clock,
        inputs: mpsc::Sender<Input>,
    ) -> Recorder {
        let (entries, queue) = sync_channel(MAX_QUEUED_RECORDS);
        let (written_up_to_sender, written_up_to) = watch::channel(0);
        let queued_bytes: Arc<AtomicUsize> = Arc::default();
        let incarnation = start.incarnation;
        let snapshot_interval = records.snapshot_interval.0;
        let next_snapshot_at = Time::from_micros(start.at_us) + snapshot_interval;
        let mut writer = Writer::new(WriterConfig {
            open: Box::new(open),
            retention: retention(records),
            start,
            clock,
            queue,
            queued_bytes: queued_bytes.clone(),
            written_up_to: written_up_to_sender,
            inputs,
        });
        let thread = tokio::task::spawn_blocking(move || writer.run());
        Recorder {
            entries,
            queued_bytes,
            written_up_to,
            thread,
            last_number: 0,
            last_input_queued: false,
            unrecorded_gap: None,
            snapshot_interval,
            next_snapshot_at,
            incarnation,
        }
    }

    /// The number of the last input whose records were written or dropped.
    #[must_use]
    pub fn written_up_to(&self) -> watch::Receiver<u64> {
        self.written_up_to.clone()
    }

    /// Approximate size of the queued records, in bytes.
    #[must_use]
    pub fn queued_bytes(&self) -> u64 {
        self.queued_bytes.load(Relaxed) as u64
    }

    /// Records an input and returns its number.
    pub fn record_input(&mut self, at: Time, input: &Input) -> u64 {
        self.last_number += 1;
        // Writing works again after inputs were lost; an immediate snapshot covers the lost inputs.
        if matches!(input, Input::EventLog(state) if state.stopped_reason.is_none() && state.lost_inputs > 0)
        {
            self.next_snapshot_at = at;
        }
        if let Some(gap) = self.unrecorded_gap
            && self.send(Entry::Gap(gap), 0)
        {
            self.unrecorded_gap = None;
        }
        let entry = Entry::Input {
            number: self.last_number,
            at,
            input: Box::new(input.clone()),
        };
        self.last_input_queued =
            self.unrecorded_gap.is_none() && self.send(entry, input_bytes(input));
        if !self.last_input_queued {
            self.unrecorded_gap = Some(InputRange {
                first: self
                    .unrecorded_gap
                    .map_or(self.last_number, |gap| gap.first),
                last: self.last_number,
            });
        }
        self.last_number
    }

    /// Records the core's outputs for the last input.
    pub fn record_outputs(&mut self, outputs: Vec<Output>) {
        let number = self.last_number;
        if !outputs.is_empty()
            && self.last_input_queued
            && !self.send(Entry::Outputs { number, outputs }, 0)
        {
            self.unrecorded_gap = Some(InputRange {
                first: number,
                last: number,
            });
        }
    }

    /// Whether a snapshot is due.
    #[must_use]
    pub fn is_snapshot_due(&self, now: Time) -> bool {
        now >= self.next_snapshot_at
    }

    /// Records a snapshot of the core's state.
    pub fn record_snapshot(&mut self, now: Time, state: RecoveredState) {
        self.next_snapshot_at = now + self.snapshot_interval;
        let snapshot = Snapshot {
            incarnation: self.incarnation,
            number: self.last_number,
            at_us: unix_micros(now),
            boot: current_boot(),
            state,
        };
        // If the queue is full, this snapshot is skipped.
        self.send(Entry::Snapshot(Box::new(snapshot)), 0);
    }

    /// Puts an entry into the queue; returns whether there was room.
    fn send(&mut self, entry: Entry, bytes: usize) -> bool {
        if self.queued_bytes.load(Relaxed) + bytes > MAX_QUEUED_BYTES {
            return false;
        }
        let sent = self.entries.try_send(entry).is_ok();
        if sent {
            self.queued_bytes.fetch_add(bytes, Relaxed);
        }
        sent
    }

    /// Writes the queued records and a last snapshot, within a time limit.
    pub async fn shut_down(mut self, now: Time, state: RecoveredState) {
        self.record_snapshot(now, state);
        drop(self.entries);
        if tokio::time::timeout(SHUTDOWN_TIMEOUT, self.thread)
            .await
            .is_err()
        {
            warn!("event log writer timed out at shutdown; the last records may not be written");
        }
    }
}

/// The retention and sync configuration from the settings.
fn retention(records: &EventLogSettings) -> RetentionConfig {
    RetentionConfig {
        segment_bytes: records.segment_bytes,
        total_bytes: records.max_total_bytes,
        max_age: Duration::from_micros((records.retention_days * 86_400e6) as u64),
        sync_within: records.sync_within.0,
    }
}

/// Approximate size of an input in the queue, in bytes.
fn input_bytes(input: &Input) -> usize {
    match input {
        Input::Answer { text, .. } => text.len() + 100,
        Input::EndpointList { hosts, .. } => hosts.len() * 200 + 100,
        Input::ReportReceived { report, .. } => report.body.counters.len() * 120 + 200,
        _ => 200,
    }
}
