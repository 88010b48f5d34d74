//! Records on the way to the disk: a bounded queue, and a thread of its own that writes, makes sure, and takes snapshots.
//! Nothing that decides waits for it: what finds no room is a gap, and said to be one.

use crate::error::DaemonError;
use pondarch_config::Site;
use pondarch_config::site::Records;
use pondarch_controller::Time;
use pondarch_daemon_core::{EventLogState, Input, Output, RecoveredState, micros};
use pondarch_event_log::{Disk, DiskState, EventLog, Folder, LockError, RetentionConfig, frame};
use pondarch_io_util::Clock;
use pondarch_replay::{Boot, Decision, Record, RunStart, Snapshot, recover};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TryRecvError, sync_channel};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tracing::{info, warn};

/// Records that wait for the disk, and bytes of them, roughly; beyond either there is a gap.
const WAITING_MOST: usize = 16_384;
const BYTES_MOST: usize = 64 << 20;
/// Records that are written at one time.
const BATCH: usize = 1_024;
/// How long the end may take, for a disk that hangs.
const END_WAITS: Duration = Duration::from_secs(3);

/// Where records go, and what was found there.
pub(crate) struct Before {
    /// None: it could not be had yet, and is tried again.
    pub(crate) folder: Option<Folder>,
    pub(crate) epoch: u64,
    pub(crate) known: Option<RecoveredState>,
}

/// Gives the disk once it can be had; asked again while it cannot.
type Opens<D> = Box<dyn FnMut() -> Result<D, String> + Send>;

/// The folder that is held already, or one that is tried for.
pub(crate) fn opens(
    held: Option<Folder>,
    path: PathBuf,
) -> impl FnMut() -> Result<Folder, String> + Send {
    let mut held = held;
    move || match held.take() {
        Some(folder) => Ok(folder),
        None => Folder::lock(&path).map_err(|wrong| wrong.to_string()),
    }
}

/// What was recorded before, by the settings.
///
/// Errors: another program writes there. A folder that cannot be had otherwise is none: deciding goes on without.
pub(crate) fn before(site: &Site, now: Time) -> Result<Before, DaemonError> {
    let mut before = Before {
        folder: None,
        epoch: 0,
        known: None,
    };
    let Some(records) = &site.records else {
        return Ok(before);
    };
    let folder = match Folder::lock(&records.folder) {
        Ok(folder) => folder,
        Err(held @ LockError::Held(_)) => return Err(held.into()),
        Err(wrong) => {
            warn!(%wrong, "records cannot be had");
            return Ok(before);
        }
    };
    match recover(&folder, site) {
        Ok(found) => {
            for fault in &found.faults {
                warn!(
                    file = fault.file,
                    what = fault.cause.to_string(),
                    "dropped from the records"
                );
            }
            info!(
                inputs = found.inputs,
                epoch = found.incarnation,
                "records read"
            );
            let now_us = micros(now);
            let passed = passed(found.boot.as_ref(), boot().as_ref(), found.last_us, now_us);
            before.epoch = found.incarnation;
            before.known = found.state.map(|known| known.by_clock(now_us, passed));
        }
        Err(wrong) => warn!(%wrong, "nothing recovered"),
    }
    before.folder = Some(folder);
    Ok(before)
}

/// How much time has passed since the last record: by the machine's own count if it did not start anew meanwhile, else by
/// its clock, as far as that went on.
fn passed(then: Option<&Boot>, now: Option<&Boot>, last_us: u64, now_us: u64) -> u64 {
    match (then, now) {
        (Some(then), Some(now)) if then.id == now.id => {
            now.uptime_us.saturating_sub(then.uptime_us)
        }
        _ => now_us.saturating_sub(last_us),
    }
}

/// The machine's own count; none where the system does not tell.
pub(crate) fn boot() -> Option<Boot> {
    let id = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").ok()?;
    let up = std::fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = up.split_whitespace().next()?.parse().ok()?;
    Some(Boot {
        id: id.trim().into(),
        uptime_us: (seconds * 1e6) as u64,
    })
}

enum Word {
    Input { n: u64, at: Time, input: Box<Input> },
    Decided { n: u64, outputs: Vec<Output> },
    Gap { first: u64, last: u64 },
    Snapshot(Box<Snapshot>),
}

/// The way of records to the disk. Whoever holds it ends it.
pub struct Recorder {
    words: SyncSender<Word>,
    waiting: Arc<AtomicUsize>,
    written: watch::Receiver<u64>,
    thread: JoinHandle<()>,
    n: u64,
    /// Whether the input under way is in the queue: then what is decided by it may be as well.
    queued: bool,
    /// Inputs that found no room and were not said to be missing yet.
    gap: Option<(u64, u64)>,
    every: Duration,
    snapshot_at: Time,
    epoch: u64,
}

impl Recorder {
    /// Starts the thread that writes; it opens the disk itself, and again while it cannot be had.
    pub fn start<D: Disk + Send + 'static>(
        opens: impl FnMut() -> Result<D, String> + Send + 'static,
        records: &Records,
        start: RunStart,
        clock: Clock,
        inputs: mpsc::Sender<Input>,
    ) -> Recorder {
        let (words, queue) = sync_channel(WAITING_MOST);
        let (written_to, written) = watch::channel(0);
        let waiting: Arc<AtomicUsize> = Arc::default();
        let retention = RetentionConfig {
            segment_bytes: records.segment_bytes,
            total_bytes: records.all_bytes,
            max_age: Duration::from_micros((records.kept_days * 86_400e6) as u64),
            sync_within: records.sure_within.0,
        };
        let (epoch, at, every) = (
            start.incarnation,
            Time::from_micros(start.at_us),
            records.snapshot_every.0,
        );
        let mut writer = Writer {
            opens: Box::new(opens),
            log: None,
            retention,
            start,
            started: false,
            clock,
            queue,
            waiting: waiting.clone(),
            written: written_to,
            inputs,
            told: EventLogState::default(),
            state: EventLogState::default(),
            untold: true,
            gap: None,
        };
        let thread = tokio::task::spawn_blocking(move || writer.run());
        let snapshot_at = at + every;
        Recorder {
            words,
            waiting,
            written,
            thread,
            n: 0,
            queued: false,
            gap: None,
            every,
            snapshot_at,
            epoch,
        }
    }

    /// Up to which input records are written, or given up.
    pub fn written(&self) -> watch::Receiver<u64> {
        self.written.clone()
    }

    /// Bytes that wait for the disk, roughly.
    pub fn waiting(&self) -> u64 {
        self.waiting.load(Relaxed) as u64
    }

    /// Takes an input; gives its number.
    pub fn input(&mut self, at: Time, input: &Input) -> u64 {
        self.n += 1;
        let n = self.n;
        // What was told while nothing could be written stands in no record: a snapshot makes that good at once.
        if matches!(input, Input::EventLog(state) if state.stopped_reason.is_none() && state.lost_inputs > 0)
        {
            self.snapshot_at = at;
        }
        if let Some((first, last)) = self.gap
            && self.send(Word::Gap { first, last }, 0)
        {
            self.gap = None;
        }
        let size = size(input);
        self.queued = self.gap.is_none()
            && self.send(
                Word::Input {
                    n,
                    at,
                    input: Box::new(input.clone()),
                },
                size,
            );
        if !self.queued {
            let first = self.gap.map_or(n, |(first, _)| first);
            self.gap = Some((first, n));
        }
        n
    }

    /// What was decided by the last input.
    pub fn decided(&mut self, outputs: Vec<Output>) {
        let n = self.n;
        if !outputs.is_empty() && self.queued && !self.send(Word::Decided { n, outputs }, 0) {
            self.gap = Some((n, n));
        }
    }

    pub fn wants_snapshot(&self, now: Time) -> bool {
        now >= self.snapshot_at
    }

    pub fn snapshot(&mut self, now: Time, known: RecoveredState) {
        self.snapshot_at = now + self.every;
        let (n, epoch, at_us) = (self.n, self.epoch, micros(now));
        // Without room there is none this time.
        self.send(
            Word::Snapshot(Box::new(Snapshot {
                incarnation: epoch,
                number: n,
                at_us,
                boot: boot(),
                state: known,
            })),
            0,
        );
    }

    fn send(&mut self, word: Word, bytes: usize) -> bool {
        if self.waiting.load(Relaxed) + bytes > BYTES_MOST {
            return false;
        }
        let sent = self.words.try_send(word).is_ok();
        if sent {
            self.waiting.fetch_add(bytes, Relaxed);
        }
        sent
    }

    /// Writes what waits and a last snapshot, within a bound.
    pub async fn end(mut self, now: Time, known: RecoveredState) {
        self.snapshot(now, known);
        drop(self.words);
        if tokio::time::timeout(END_WAITS, self.thread).await.is_err() {
            warn!("the disk does not answer: the last records are not written");
        }
    }
}

/// What an input takes in the queue, roughly.
fn size(input: &Input) -> usize {
    match input {
        Input::Answer { text, .. } => text.len() + 100,
        Input::EndpointList { hosts, .. } => hosts.len() * 200 + 100,
        Input::ReportReceived { report, .. } => report.body.counted.len() * 120 + 200,
        _ => 200,
    }
}

struct Writer<D> {
    opens: Opens<D>,
    log: Option<EventLog<D>>,
    retention: RetentionConfig,
    start: RunStart,
    /// The start stands in the log.
    started: bool,
    clock: Clock,
    queue: Receiver<Word>,
    waiting: Arc<AtomicUsize>,
    written: watch::Sender<u64>,
    inputs: mpsc::Sender<Input>,
    state: EventLogState,
    told: EventLogState,
    untold: bool,
    /// Inputs that were taken off the queue and could not be written.
    gap: Option<(u64, u64, String)>,
}

impl<D: Disk> Writer<D> {
    fn run(&mut self) {
        loop {
            let now = self.clock.now();
            let due = self.log.as_ref().and_then(|log| log.policy().sync_at());
            let wait = due.map_or(Duration::from_millis(500), |at| at - now);
            let mut words = match self.queue.recv_timeout(wait.max(Duration::from_millis(1))) {
                Ok(word) => vec![word],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => break,
            };
            while words.len() < BATCH {
                match self.queue.try_recv() {
                    Ok(word) => words.push(word),
                    Err(TryRecvError::Empty | TryRecvError::Disconnected) => break,
                }
            }
            self.write(words);
            let now = self.clock.now();
            if let Some(log) = &mut self.log {
                log.sync_if_due(now);
            }
            self.tell();
        }
        if let Some(log) = self.log.take() {
            log.end();
        }
    }

    /// The log, opened if it can be had by now.
    fn open(&mut self) {
        if self.log.is_some() {
            return;
        }
        let opened = (self.opens)().and_then(|disk| {
            EventLog::new(disk, self.retention, self.start.incarnation)
                .map_err(|wrong| wrong.to_string())
        });
        match opened {
            Ok(log) => self.log = Some(log),
            Err(wrong) => self.state.stopped_reason = Some(wrong),
        }
    }

    fn write(&mut self, words: Vec<Word>) {
        self.open();
        let (mut frames, mut first, mut last) = (Vec::new(), None, None);
        for word in words {
            let (n, record) = match word {
                Word::Input { n, at, input } => {
                    self.waiting.fetch_sub(size(&input), Relaxed);
                    (
                        n,
                        Record::Input {
                            number: n,
                            at_us: micros(at),
                            input: *input,
                        },
                    )
                }
                Word::Decided { n, outputs } => {
                    let decisions = outputs.into_iter().map(Decision::of).collect();
                    (
                        n,
                        Record::Decided {
                            number: n,
                            decisions,
                        },
                    )
                }
                Word::Gap { first, last } => {
                    self.state.lost_inputs += last - first + 1;
                    (
                        last,
                        Record::Gap {
                            first,
                            last,
                            reason: "there was no room to wait in".into(),
                        },
                    )
                }
                Word::Snapshot(snapshot) => {
                    // It stands for all that came before it.
                    self.put(&mut frames, &mut first, &mut last);
                    self.snapshot(&snapshot);
                    continue;
                }
            };
            first.get_or_insert(n);
            last = Some(n);
            frame::write(&mut frames, &record.to_bytes());
        }
        self.put(&mut frames, &mut first, &mut last);
    }

    /// Writes frames; what cannot be written is a gap.
    fn put(&mut self, frames: &mut Vec<u8>, first: &mut Option<u64>, last: &mut Option<u64>) {
        let (frames, first, last) = (std::mem::take(frames), first.take(), last.take());
        let (Some(first), Some(last)) = (first, last) else {
            return;
        };
        let now = self.clock.now();
        let may = self
            .log
            .as_ref()
            .is_some_and(|log| log.policy().may_write(now));
        let mut done = false;
        if may {
            let mut before = Vec::new();
            if !self.started {
                frame::write(
                    &mut before,
                    &Record::Start(Box::new(self.start.clone())).to_bytes(),
                );
            }
            if let Some((first, last, why)) = &self.gap {
                let gap = Record::Gap {
                    first: *first,
                    last: *last,
                    reason: why.clone(),
                };
                frame::write(&mut before, &gap.to_bytes());
            }
            before.extend(&frames);
            done = self
                .log
                .as_mut()
                .is_some_and(|log| log.write(now, first, &before));
        }
        if done {
            (self.started, self.gap, self.state.stopped_reason) = (true, None, None);
        } else {
            let stopped = self
                .log
                .as_ref()
                .and_then(|log| match log.policy().disk_state() {
                    DiskState::Failed { reason, .. } => Some(reason.clone()),
                    DiskState::Working => None,
                });
            self.state.stopped_reason = stopped
                .or(self.state.stopped_reason.take())
                .or(Some("the folder cannot be had".into()));
            let why = self.state.stopped_reason.clone().unwrap_or_default();
            self.state.lost_inputs += last - first + 1;
            let begin = self.gap.as_ref().map_or(first, |(begin, ..)| *begin);
            self.gap = Some((begin, last, why));
        }
        self.written.send_replace(last);
    }

    fn snapshot(&mut self, snapshot: &Snapshot) {
        let now = self.clock.now();
        // With a gap before it that is not on record yet, it is all the more wanted.
        if let Some(log) = &mut self.log
            && !log.write_snapshot(now, &snapshot.to_bytes())
            && let DiskState::Failed { reason, .. } = log.policy().disk_state()
        {
            self.state.stopped_reason = Some(reason.clone());
        }
    }

    /// Tells the core how it goes, where that changed; if it has no room now, the next time.
    fn tell(&mut self) {
        let state = &self.state;
        if self.untold || state.stopped_reason != self.told.stopped_reason {
            self.untold = self
                .inputs
                .try_send(Input::EventLog(state.clone()))
                .is_err();
            self.told = state.clone();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clock_that_jumped_is_not_believed_while_the_machine_counts_on() {
        let boot = |id: &str, uptime_us| {
            Some(Boot {
                id: id.into(),
                uptime_us,
            })
        };
        let passed = |then: Option<Boot>, now: Option<Boot>, last, at| {
            super::passed(then.as_ref(), now.as_ref(), last, at)
        };
        // Ten minutes on, and ten back, in 3 s.
        assert_eq!(
            passed(
                boot("a", 5),
                boot("a", 3_000_005),
                1_000_000_000,
                1_603_000_000
            ),
            3_000_000
        );
        assert_eq!(
            passed(
                boot("a", 5),
                boot("a", 3_000_005),
                1_000_000_000,
                403_000_000
            ),
            3_000_000
        );
        assert_eq!(
            passed(boot("a", 5), boot("b", 7), 1_000_000_000, 1_003_000_000),
            3_000_000
        );
        assert_eq!(passed(None, None, 1_000_000_000, 400_000_000), 0);
    }
}
