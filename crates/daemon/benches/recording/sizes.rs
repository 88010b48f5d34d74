//! Time to write, recover from and replay a log of a given size.

use crate::fleet::{HOSTS, PROXIES, SimulatedFleet, run_start, settings};
use pondarch_config::{SiteSettings, site_from_json};
use pondarch_controller::Time;
use pondarch_daemon::Clock;
use pondarch_daemon_core::{Input, Output, unix_micros};
use pondarch_event_log::{Disk, EventLog, Folder, RetentionConfig, UNLIMITED_DURATION, frame};
use pondarch_replay::run_replay::{ComparedInputs, FolderReplay, replay};
use pondarch_replay::{Decision, Record, recover};
use std::path::Path;
use std::time::{Duration, Instant};

/// Total size of the files in a folder, in bytes.
fn folder_bytes(folder: &Path) -> u64 {
    Folder::read_only(folder)
        .list()
        .map(|files| files.iter().map(|file| file.bytes).sum())
        .unwrap_or(0)
}

/// Statistics of a written log.
#[derive(Default)]
struct WriteStatistics {
    records: u64,
    /// Bytes of the records before compression.
    record_bytes: u64,
    /// Time spent writing.
    took: Duration,
}

/// Writes records to a log in batches of frames.
struct LogWriter {
    log: EventLog<Folder>,
    frames: Vec<u8>,
    frame_bytes: u64,
    written: WriteStatistics,
}

impl LogWriter {
    fn start(folder: &Path, text: &str, at: Time) -> LogWriter {
        let retention = RetentionConfig {
            segment_bytes: 16 << 20,
            total_bytes: 4 << 30,
            max_age: UNLIMITED_DURATION,
            sync_within: UNLIMITED_DURATION,
        };
        let folder = Folder::lock(folder).expect("lock the folder");
        let log = EventLog::new(folder, retention, unix_micros(at)).expect("open the log");
        let mut frames = Vec::new();
        let start = Record::Start(Box::new(run_start(text, at)));
        frame::write(&mut frames, &start.to_bytes());
        LogWriter {
            log,
            frames,
            frame_bytes: 0,
            written: WriteStatistics::default(),
        }
    }

    fn push(&mut self, record: &Record) {
        let record = record.to_bytes();
        self.written.records += 1;
        self.written.record_bytes += record.len() as u64;
        frame::write(&mut self.frames, &record);
    }

    /// Writes an input and the core's outputs for it.
    fn write(&mut self, number: u64, at: Time, input: Input, outputs: &[Output]) {
        let started_at = Instant::now();
        self.push(&Record::Input {
            number,
            at_us: unix_micros(at),
            input,
        });
        if !outputs.is_empty() {
            let decisions = outputs.iter().cloned().map(Decision::from_output).collect();
            self.push(&Record::Decided { number, decisions });
        }
        if self.frames.len() > 1 << 16 {
            self.log.write(at, number, &self.frames);
            self.frame_bytes += self.frames.len() as u64;
            self.frames.clear();
        }
        self.written.took += started_at.elapsed();
    }

    fn end(self) -> WriteStatistics {
        self.log.end();
        self.written
    }
}

/// Writes a log of at least this many bytes at full speed, then measures recovery and replay.
pub(crate) fn measure_log(bytes: u64) {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let text = settings(folder.path());
    let site = site_from_json(&text).expect("valid settings");
    let start = Clock::start().now();
    let mut writer = LogWriter::start(folder.path(), &text, start);
    let mut fleet = SimulatedFleet::new(&site, unix_micros(start));
    let mut number = 0;
    while writer.frame_bytes < bytes {
        number += 1;
        let (at, input) = fleet.next_input(number);
        fleet.core.handle(at, input.clone());
        let outputs: Vec<Output> = std::iter::from_fn(|| fleet.core.next_output()).collect();
        writer.write(number, at, input, &outputs);
        for output in outputs {
            fleet.carry_out(output);
        }
    }
    let span = Duration::from_micros(fleet.now_us - unix_micros(start));
    let written = writer.end();
    time_recovery(folder.path(), &site, &written, span);
    time_replay(folder.path(), span);
}

fn time_recovery(folder: &Path, site: &SiteSettings, written: &WriteStatistics, span: Duration) {
    let started_at = Instant::now();
    let recovered = recover(&Folder::read_only(folder), site).expect("recover from the log");
    let took = started_at.elapsed();
    let records = written.records as f64;
    println!(
        "{} MB of records: {} of {:.0} bytes in the file ({:.0} before compression), {:.0} a second written; \
         {:.0} s of {PROXIES} proxies and {HOSTS} hosts; recovered without any snapshot in {:.2} s ({} inputs)",
        folder_bytes(folder) / 1_000_000,
        written.records,
        folder_bytes(folder) as f64 / records,
        written.record_bytes as f64 / records,
        records / written.took.as_secs_f64(),
        span.as_secs_f64(),
        took.as_secs_f64(),
        recovered.inputs
    );
}

fn time_replay(folder: &Path, span: Duration) {
    let started_at = Instant::now();
    let FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder), ComparedInputs::default()).expect("replay the log");
    let took_s = started_at.elapsed().as_secs_f64();
    let identical = runs.iter().all(|run| run.difference.is_none());
    println!(
        "  replayed in {took_s:.1} s, {:.1} times as fast as real time; identical decisions: {identical}",
        span.as_secs_f64() / took_s
    );
}
