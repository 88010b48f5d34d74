//! The thread that writes the event log and notifies the core of the log's state.

use super::{Entry, InputRange, input_bytes};
use pondarch_daemon_core::{EventLogState, Input, unix_micros};
use pondarch_event_log::{Disk, DiskState, EventLog, LockError, LogError, RetentionConfig, frame};
use pondarch_io_util::Clock;
use pondarch_replay::{Decision, Record, RunStart, Snapshot};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, TryRecvError};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::{mpsc, watch};

/// Maximum number of queue entries in one write.
const MAX_BATCH_ENTRIES: usize = 1_024;
/// How long the thread waits for an entry if no sync is due.
const IDLE_WAIT: Duration = Duration::from_millis(500);
/// Minimum time that the thread waits for an entry.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Opens the disk; called again while that fails.
type OpenDisk<D> = Box<dyn FnMut() -> Result<D, LockError> + Send>;

/// Why the event log could not be opened.
#[derive(Debug, Error)]
enum OpenError {
    #[error(transparent)]
    Lock(#[from] LockError),
    #[error(transparent)]
    Log(#[from] LogError),
}

/// Settings and channels of a writer.
pub(super) struct WriterConfig<D> {
    pub(super) open: OpenDisk<D>,
    pub(super) retention: RetentionConfig,
    pub(super) start: RunStart,
    pub(super) clock: Clock,
    pub(super) queue: Receiver<Entry>,
    /// Approximate size of the queued records, in bytes.
    pub(super) queued_bytes: Arc<AtomicUsize>,
    /// The number of the last input whose records were written or dropped.
    pub(super) written_up_to: watch::Sender<u64>,
    pub(super) inputs: mpsc::Sender<Input>,
}

/// Inputs that were taken from the queue but could not be written.
struct UnwrittenInputs {
    range: InputRange,
    reason: String,
}

/// Frames that are not written yet, and the range of their inputs.
#[derive(Default)]
struct Batch {
    frames: Vec<u8>,
    range: Option<InputRange>,
}

impl Batch {
    fn push(&mut self, number: u64, record: &Record) {
        let first = self.range.map_or(number, |range| range.first);
        self.range = Some(InputRange {
            first,
            last: number,
        });
        frame::write(&mut self.frames, &record.to_bytes());
    }
}

/// Takes entries from the queue and writes them to the event log.
pub(super) struct Writer<D> {
    config: WriterConfig<D>,
    log: Option<EventLog<D>>,
    /// Whether the start record has been written.
    start_written: bool,
    state: EventLogState,
    /// The state in the last notification to the core.
    notified: EventLogState,
    /// Whether the core must be notified even if the state has not changed, because the last notification did not fit
    /// into its queue.
    notification_due: bool,
    unrecorded_gap: Option<UnwrittenInputs>,
}

impl<D: Disk> Writer<D> {
    /// A writer that has not opened its disk yet.
    pub(super) fn new(config: WriterConfig<D>) -> Writer<D> {
        Writer {
            config,
            log: None,
            start_written: false,
            state: EventLogState::default(),
            notified: EventLogState::default(),
            notification_due: true,
            unrecorded_gap: None,
        }
    }

    /// Writes entries until the queue is closed.
    pub(super) fn run(&mut self) {
        while let Some(entries) = self.next_entries() {
            self.write(entries);
            let now = self.config.clock.now();
            if let Some(log) = &mut self.log {
                log.sync_if_due(now);
            }
            self.notify();
        }
        if let Some(log) = self.log.take() {
            log.end();
        }
    }

    /// The queued entries, which are empty if the wait ends first, or `None` once the queue is closed.
    fn next_entries(&mut self) -> Option<Vec<Entry>> {
        let now = self.config.clock.now();
        let sync_at = self.log.as_ref().and_then(|log| log.policy().sync_at());
        let wait = sync_at.map_or(IDLE_WAIT, |at| at - now).max(MIN_WAIT);
        let mut entries = match self.config.queue.recv_timeout(wait) {
            Ok(entry) => vec![entry],
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return None,
        };
        while entries.len() < MAX_BATCH_ENTRIES {
            match self.config.queue.try_recv() {
                Ok(entry) => entries.push(entry),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        Some(entries)
    }

    /// Tries to open the log if it is not open.
    fn open_if_closed(&mut self) {
        if self.log.is_some() {
            return;
        }
        match self.open() {
            Ok(log) => self.log = Some(log),
            Err(error) => self.state.stopped_reason = Some(error.to_string()),
        }
    }

    fn open(&mut self) -> Result<EventLog<D>, OpenError> {
        let disk = (self.config.open)()?;
        let incarnation = self.config.start.incarnation;
        Ok(EventLog::new(disk, self.config.retention, incarnation)?)
    }

    fn write(&mut self, entries: Vec<Entry>) {
        self.open_if_closed();
        let mut batch = Batch::default();
        for entry in entries {
            match entry {
                Entry::Input { number, at, input } => {
                    self.config
                        .queued_bytes
                        .fetch_sub(input_bytes(&input), Relaxed);
                    let record = Record::Input {
                        number,
                        at_us: unix_micros(at),
                        input: *input,
                    };
                    batch.push(number, &record);
                }
                Entry::Outputs { number, outputs } => {
                    let decisions = outputs.into_iter().map(Decision::from_output).collect();
                    batch.push(number, &Record::Decided { number, decisions });
                }
                Entry::Gap(gap) => {
                    self.state.lost_inputs += gap.count();
                    let record = gap_record(gap, "there was no room to wait in".into());
                    batch.push(gap.last, &record);
                }
                Entry::Snapshot(snapshot) => {
                    // A snapshot covers all earlier records, so these are written first.
                    self.write_batch(std::mem::take(&mut batch));
                    self.write_snapshot(&snapshot);
                }
            }
        }
        self.write_batch(batch);
    }

    /// Writes a batch. If that fails, its inputs become a gap.
    fn write_batch(&mut self, batch: Batch) {
        let Some(range) = batch.range else {
            return;
        };
        if self.write_frames(range.first, &batch.frames) {
            self.start_written = true;
            self.unrecorded_gap = None;
            self.state.stopped_reason = None;
        } else {
            self.record_loss(range);
        }
        self.config.written_up_to.send_replace(range.last);
    }

    /// Writes frames, preceded by an outstanding start or gap record; returns whether they were written.
    fn write_frames(&mut self, first: u64, frames: &[u8]) -> bool {
        let now = self.config.clock.now();
        let Some(log) = &mut self.log else {
            return false;
        };
        if !log.policy().may_write(now) {
            return false;
        }
        let mut all_frames = Vec::new();
        if !self.start_written {
            let start = Record::Start(Box::new(self.config.start.clone()));
            frame::write(&mut all_frames, &start.to_bytes());
        }
        if let Some(gap) = &self.unrecorded_gap {
            let record = gap_record(gap.range, gap.reason.clone());
            frame::write(&mut all_frames, &record.to_bytes());
        }
        all_frames.extend(frames);
        log.write(now, first, &all_frames)
    }

    /// Stores the range of inputs that could not be written, and the reason.
    fn record_loss(&mut self, range: InputRange) {
        let failure = self
            .log
            .as_ref()
            .and_then(|log| match log.policy().disk_state() {
                DiskState::Failed { reason, .. } => Some(reason.clone()),
                DiskState::Working => None,
            });
        let reason = failure
            .or(self.state.stopped_reason.take())
            .unwrap_or_else(|| "the folder cannot be had".into());
        self.state.stopped_reason = Some(reason.clone());
        self.state.lost_inputs += range.count();
        let first = self
            .unrecorded_gap
            .as_ref()
            .map_or(range.first, |gap| gap.range.first);
        self.unrecorded_gap = Some(UnwrittenInputs {
            range: InputRange {
                first,
                last: range.last,
            },
            reason,
        });
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.config.clock.now();
        // The snapshot is written even if a gap before it has not been recorded, because it covers the lost inputs.
        if let Some(log) = &mut self.log
            && !log.write_snapshot(now, &snapshot.to_bytes())
            && let DiskState::Failed { reason, .. } = log.policy().disk_state()
        {
            self.state.stopped_reason = Some(reason.clone());
        }
    }

    /// Notifies the core of a changed state; retried on the next call if the core's queue is full.
    fn notify(&mut self) {
        if self.notification_due || self.state.stopped_reason != self.notified.stopped_reason {
            let input = Input::EventLog(self.state.clone());
            self.notification_due = self.config.inputs.try_send(input).is_err();
            self.notified = self.state.clone();
        }
    }
}

fn gap_record(range: InputRange, reason: String) -> Record {
    Record::Gap {
        first: range.first,
        last: range.last,
        reason,
    }
}
