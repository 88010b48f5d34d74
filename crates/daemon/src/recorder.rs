//! The event log's way to the disk: a bounded queue, and a thread of its own that writes, syncs, and stores snapshots.
//! Nothing that decides waits for it: what finds no room is a gap, and recorded as one.
//!
//! - `previous_run`: what was recorded before, at the start.
//! - `writer`: the thread, and what is written when.

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

pub(crate) use previous_run::{boot, folder_opener, previous_run};

/// Records that wait for the disk; beyond them there is a gap.
const MAX_WAITING_RECORDS: usize = 16_384;
/// Bytes of them, roughly; beyond them there is a gap.
const MAX_WAITING_BYTES: usize = 64 << 20;
/// How long the end may take, for a disk that hangs.
const END_TIMEOUT: Duration = Duration::from_secs(3);

/// What goes to the thread that writes.
enum Entry {
    /// An input of the core.
    Input {
        number: u64,
        at: Time,
        input: Box<Input>,
    },
    /// What the core decided by an input.
    Decided { number: u64, outputs: Vec<Output> },
    /// Inputs that found no room in the queue.
    Gap(InputRange),
    /// The core's state at one point.
    Snapshot(Box<Snapshot>),
}

/// Consecutive inputs, by their numbers.
#[derive(Clone, Copy)]
struct InputRange {
    first: u64,
    last: u64,
}

impl InputRange {
    /// How many inputs it holds.
    fn count(self) -> u64 {
        self.last - self.first + 1
    }
}

/// Sends inputs and decisions to the event log. Whoever holds it ends it.
pub struct Recorder {
    entries: SyncSender<Entry>,
    waiting: Arc<AtomicUsize>,
    written: watch::Receiver<u64>,
    thread: JoinHandle<()>,
    /// The number of the last input.
    number: u64,
    /// Whether the input under way is in the queue: then what is decided by it may be as well.
    queued: bool,
    /// Inputs that found no room and are not recorded as missing yet.
    gap: Option<InputRange>,
    snapshot_interval: Duration,
    snapshot_at: Time,
    incarnation: u64,
}

impl Recorder {
    /// Starts the thread that writes; it opens the disk itself, and again while it cannot be had.
    #[must_use]
    pub fn start<D: Disk + Send + 'static>(
        open: impl FnMut() -> Result<D, LockError> + Send + 'static,
        records: &EventLogSettings,
        start: RunStart,
        clock: Clock,
        inputs: mpsc::Sender<Input>,
    ) -> Recorder {
        let (entries, queue) = sync_channel(MAX_WAITING_RECORDS);
        let (written_sender, written) = watch::channel(0);
        let waiting: Arc<AtomicUsize> = Arc::default();
        let incarnation = start.incarnation;
        let snapshot_interval = records.snapshot_interval.0;
        let snapshot_at = Time::from_micros(start.at_us) + snapshot_interval;
        let mut writer = Writer::new(WriterConfig {
            open: Box::new(open),
            retention: retention(records),
            start,
            clock,
            queue,
            waiting: waiting.clone(),
            written: written_sender,
            inputs,
        });
        let thread = tokio::task::spawn_blocking(move || writer.run());
        Recorder {
            entries,
            waiting,
            written,
            thread,
            number: 0,
            queued: false,
            gap: None,
            snapshot_interval,
            snapshot_at,
            incarnation,
        }
    }

    /// Up to which input records are written, or given up.
    #[must_use]
    pub fn written(&self) -> watch::Receiver<u64> {
        self.written.clone()
    }

    /// Bytes that wait for the disk, roughly.
    #[must_use]
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Relaxed) as u64
    }

    /// Records an input; gives its number.
    pub fn input(&mut self, at: Time, input: &Input) -> u64 {
        self.number += 1;
        // What was applied while nothing could be written is in no record: a snapshot makes that good at once.
        if matches!(input, Input::EventLog(state) if state.stopped_reason.is_none() && state.lost_inputs > 0)
        {
            self.snapshot_at = at;
        }
        if let Some(gap) = self.gap
            && self.send(Entry::Gap(gap), 0)
        {
            self.gap = None;
        }
        let entry = Entry::Input {
            number: self.number,
            at,
            input: Box::new(input.clone()),
        };
        self.queued = self.gap.is_none() && self.send(entry, queue_bytes(input));
        if !self.queued {
            self.gap = Some(InputRange {
                first: self.gap.map_or(self.number, |gap| gap.first),
                last: self.number,
            });
        }
        self.number
    }

    /// Records what was decided by the last input.
    pub fn decided(&mut self, outputs: Vec<Output>) {
        let number = self.number;
        if !outputs.is_empty() && self.queued && !self.send(Entry::Decided { number, outputs }, 0) {
            self.gap = Some(InputRange {
                first: number,
                last: number,
            });
        }
    }

    /// Whether it is time for a snapshot.
    #[must_use]
    pub fn wants_snapshot(&self, now: Time) -> bool {
        now >= self.snapshot_at
    }

    /// Records a snapshot of the core's state.
    pub fn snapshot(&mut self, now: Time, state: RecoveredState) {
        self.snapshot_at = now + self.snapshot_interval;
        let snapshot = Snapshot {
            incarnation: self.incarnation,
            number: self.number,
            at_us: unix_micros(now),
            boot: boot(),
            state,
        };
        // Without room there is none this time.
        self.send(Entry::Snapshot(Box::new(snapshot)), 0);
    }

    /// Puts an entry in the queue; gives whether there was room.
    fn send(&mut self, entry: Entry, bytes: usize) -> bool {
        if self.waiting.load(Relaxed) + bytes > MAX_WAITING_BYTES {
            return false;
        }
        let sent = self.entries.try_send(entry).is_ok();
        if sent {
            self.waiting.fetch_add(bytes, Relaxed);
        }
        sent
    }

    /// Writes what waits and a last snapshot, within a bound.
    pub async fn end(mut self, now: Time, state: RecoveredState) {
        self.snapshot(now, state);
        drop(self.entries);
        if tokio::time::timeout(END_TIMEOUT, self.thread)
            .await
            .is_err()
        {
            warn!("the disk does not answer: the last records are not written");
        }
    }
}

/// How long and how much is stored, by the settings.
fn retention(records: &EventLogSettings) -> RetentionConfig {
    RetentionConfig {
        segment_bytes: records.segment_bytes,
        total_bytes: records.max_total_bytes,
        max_age: Duration::from_micros((records.retention_days * 86_400e6) as u64),
        sync_within: records.sync_within.0,
    }
}

/// What an input takes in the queue, roughly.
fn queue_bytes(input: &Input) -> usize {
    match input {
        Input::Answer { text, .. } => text.len() + 100,
        Input::EndpointList { hosts, .. } => hosts.len() * 200 + 100,
        Input::ReportReceived { report, .. } => report.body.counters.len() * 120 + 200,
        _ => 200,
    }
}
