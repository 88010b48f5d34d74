//! The time of one input, with the event log as the daemon writes it.

use crate::fleet::{SimulatedFleet, settings, start};
use hdrhistogram::Histogram;
use pondarch_config::site_from_json;
use pondarch_controller::Time;
use pondarch_daemon::{Clock, Recorder};
use pondarch_daemon_core::{Input, Output, unix_micros};
use pondarch_event_log::{DiskFault, Folder};
use std::path::Path;
use std::time::{Duration, Instant};

/// Time between two inputs: 10,000 a second.
const INPUT_INTERVAL_US: u64 = 100;

/// Whether and how the event log is written.
#[derive(Clone, Copy)]
pub(crate) enum Recording {
    Off,
    On,
    /// On a disk whose every sync takes so long.
    SlowDisk(Duration),
}

impl Recording {
    fn name(self) -> &'static str {
        match self {
            Recording::Off => "off",
            Recording::On => "on",
            Recording::SlowDisk(_) => "slow",
        }
    }

    fn sync_delay(self) -> Duration {
        match self {
            Recording::SlowDisk(delay) => delay,
            Recording::Off | Recording::On => Duration::ZERO,
        }
    }
}

/// A fleet whose inputs are recorded as the daemon does it.
struct RecordedFleet {
    fleet: SimulatedFleet,
    recorder: Option<Recorder>,
    clock: Clock,
}

impl RecordedFleet {
    fn start(
        folder: &Path,
        recording: Recording,
        to_core: tokio::sync::mpsc::Sender<Input>,
    ) -> RecordedFleet {
        let text = settings(folder);
        let site = site_from_json(&text).expect("settings");
        let clock = Clock::start();
        let path = folder.to_path_buf();
        let records = site
            .event_log
            .clone()
            .filter(|_| !matches!(recording, Recording::Off));
        let recorder = records.map(|records| {
            let open = move || {
                let mut disk = DiskFault::new(Folder::lock(&path)?);
                disk.sync_delay = recording.sync_delay();
                Ok(disk)
            };
            Recorder::start(open, &records, start(&text, clock.now()), clock, to_core)
        });
        let fleet = SimulatedFleet::new(&site, unix_micros(clock.now()));
        RecordedFleet {
            fleet,
            recorder,
            clock,
        }
    }

    /// Applies and records one input; gives what the core decided, and the time it took.
    fn handle(&mut self, at: Time, input: Input) -> (Vec<Output>, Duration) {
        let begun = Instant::now();
        // As the daemon's loop has it.
        let recorded = self
            .recorder
            .as_mut()
            .map(|recorder| recorder.input(at, &input))
            .is_some();
        let core = &mut self.fleet.core;
        core.handle(at, input);
        let mut outputs = Vec::new();
        let mut decisions = Vec::new();
        while let Some(output) = core.next_output() {
            if recorded {
                decisions.push(output.clone());
            }
            outputs.push(output);
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.decided(decisions);
            if recorder.wants_snapshot(self.clock.now()) {
                recorder.snapshot(self.clock.now(), core.state_to_recover());
            }
        }
        (outputs, begun.elapsed())
    }

    fn end(self) {
        if let Some(recorder) = self.recorder {
            let runtime = tokio::runtime::Handle::current();
            let state = self.fleet.core.state_to_recover();
            runtime.block_on(recorder.end(self.clock.now(), state));
        }
    }
}

/// One run of so many inputs at a constant rate; prints the times of one input, and what was lost.
pub(crate) fn latency(recording: Recording, inputs: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let (to_core, mut notifications) = tokio::sync::mpsc::channel(64);
    let mut recorded = RecordedFleet::start(folder.path(), recording, to_core);
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let begun = Instant::now();
    for number in 1..=inputs {
        let (at, input) = recorded.fleet.next(number);
        let (outputs, took) = recorded.handle(at, input);
        times
            .record(took.as_nanos() as u64)
            .expect("the histogram grows");
        for output in outputs {
            recorded.fleet.carry_out(output);
        }
        let due = Duration::from_micros(number * INPUT_INTERVAL_US);
        let early = due.saturating_sub(begun.elapsed());
        if early > Duration::from_millis(1) {
            std::thread::sleep(early);
        }
    }
    let mut state = None;
    while let Ok(Input::EventLog(other)) = notifications.try_recv() {
        state = Some(other);
    }
    let us = |part| times.value_at_quantile(part) as f64 / 1e3;
    println!(
        "event log {}: {inputs} inputs, p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us, most {:.1} us; {}",
        recording.name(),
        us(0.5),
        us(0.99),
        us(0.999),
        times.max() as f64 / 1e3,
        state.map_or("no notification".into(), |state| format!("{state:?}"))
    );
    recorded.end();
}
