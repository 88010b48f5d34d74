//! The thread that writes the event log: what is written when, and what the core is notified of.

use super::{Entry, InputRange, queue_bytes};
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

/// Records that are written at one time.
const MAX_BATCH: usize = 1_024;
/// How long the thread waits for an entry if nothing has to be synced.
const IDLE_WAIT: Duration = Duration::from_millis(500);
/// The least time it waits.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Opens the disk; called again while it cannot be had.
type OpenDisk<D> = Box<dyn FnMut() -> Result<D, LockError> + Send>;

/// Why the event log cannot be opened.
#[derive(Debug, Error)]
enum OpenError {
    #[error(transparent)]
    Lock(#[from] LockError),
    #[error(transparent)]
    Log(#[from] LogError),
}

/// What a writer works with.
pub(super) struct WriterConfig<D> {
    pub(super) open: OpenDisk<D>,
    pub(super) retention: RetentionConfig,
    pub(super) start: RunStart,
    pub(super) clock: Clock,
    pub(super) queue: Receiver<Entry>,
    /// Bytes in the queue, roughly.
    pub(super) waiting: Arc<AtomicUsize>,
    /// Up to which input records are written, or given up.
    pub(super) written: watch::Sender<u64>,
    pub(super) inputs: mpsc::Sender<Input>,
}

/// Inputs that were taken off the queue and could not be written.
struct UnwrittenInputs {
    range: InputRange,
    reason: String,
}

/// Frames that are not written yet, and the inputs they are of.
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

/// Takes entries off the queue and writes them.
pub(super) struct Writer<D> {
    config: WriterConfig<D>,
    log: Option<EventLog<D>>,
    /// The start is in the log.
    started: bool,
    state: EventLogState,
    /// The state that the core was notified of last.
    notified: EventLogState,
    /// The last notification found no room.
    notification_due: bool,
    gap: Option<UnwrittenInputs>,
}

impl<D: Disk> Writer<D> {
    /// A writer that has not opened its disk yet.
    pub(super) fn new(config: WriterConfig<D>) -> Writer<D> {
        Writer {
            config,
            log: None,
            started: false,
            state: EventLogState::default(),
            notified: EventLogState::default(),
            notification_due: true,
            gap: None,
        }
    }

    /// Writes until the queue is closed.
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

    /// What is in the queue, or nothing if a sync is due first; none once it is closed.
    fn next_entries(&mut self) -> Option<Vec<Entry>> {
        let now = self.config.clock.now();
        let sync_at = self.log.as_ref().and_then(|log| log.policy().sync_at());
        let wait = sync_at.map_or(IDLE_WAIT, |at| at - now).max(MIN_WAIT);
        let mut entries = match self.config.queue.recv_timeout(wait) {
            Ok(entry) => vec![entry],
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return None,
        };
        while entries.len() < MAX_BATCH {
            match self.config.queue.try_recv() {
                Ok(entry) => entries.push(entry),
                Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
            }
        }
        Some(entries)
    }

    /// Opens the log if it can be had by now.
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
                    self.config.waiting.fetch_sub(queue_bytes(&input), Relaxed);
                    let record = Record::Input {
                        number,
                        at_us: unix_micros(at),
                        input: *input,
                    };
                    batch.push(number, &record);
                }
                Entry::Decided { number, outputs } => {
                    let decisions = outputs.into_iter().map(Decision::of).collect();
                    batch.push(number, &Record::Decided { number, decisions });
                }
                Entry::Gap(gap) => {
                    self.state.lost_inputs += gap.count();
                    let record = gap_record(gap, "there was no room to wait in".into());
                    batch.push(gap.last, &record);
                }
                Entry::Snapshot(snapshot) => {
                    // It replaces all that was recorded before it.
                    self.write_batch(std::mem::take(&mut batch));
                    self.write_snapshot(&snapshot);
                }
            }
        }
        self.write_batch(batch);
    }

    /// Writes a batch; what cannot be written is a gap.
    fn write_batch(&mut self, batch: Batch) {
        let Some(range) = batch.range else {
            return;
        };
        if self.write_frames(range.first, &batch.frames) {
            self.started = true;
            self.gap = None;
            self.state.stopped_reason = None;
        } else {
            self.record_loss(range);
        }
        self.config.written.send_replace(range.last);
    }

    /// Writes frames, after those that are due before them; gives whether they are written.
    fn write_frames(&mut self, first: u64, frames: &[u8]) -> bool {
        let now = self.config.clock.now();
        let Some(log) = &mut self.log else {
            return false;
        };
        if !log.policy().may_write(now) {
            return false;
        }
        let mut all = Vec::new();
        if !self.started {
            let start = Record::Start(Box::new(self.config.start.clone()));
            frame::write(&mut all, &start.to_bytes());
        }
        if let Some(gap) = &self.gap {
            let record = gap_record(gap.range, gap.reason.clone());
            frame::write(&mut all, &record.to_bytes());
        }
        all.extend(frames);
        log.write(now, first, &all)
    }

    /// Notes that inputs could not be written, and why.
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
        let first = self.gap.as_ref().map_or(range.first, |gap| gap.range.first);
        self.gap = Some(UnwrittenInputs {
            range: InputRange {
                first,
                last: range.last,
            },
            reason,
        });
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.config.clock.now();
        // With a gap before it that is not on record yet, it is all the more wanted.
        if let Some(log) = &mut self.log
            && !log.write_snapshot(now, &snapshot.to_bytes())
            && let DiskState::Failed { reason, .. } = log.policy().disk_state()
        {
            self.state.stopped_reason = Some(reason.clone());
        }
    }

    /// Notifies the core of a changed state; if its queue has no room now, the next time.
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
