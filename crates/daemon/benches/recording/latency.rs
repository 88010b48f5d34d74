//! Latency of handling one input while the event log is written as in the daemon.

use crate::fleet::{SimulatedFleet, run_start, settings};
use hdrhistogram::Histogram;
use pondarch_config::site_from_json;
use pondarch_controller::Time;
use pondarch_daemon::{Clock, Recorder};
use pondarch_daemon_core::{Input, Output, unix_micros};
use pondarch_event_log::{FaultyDisk, Folder};
use std::path::Path;
use std::time::{Duration, Instant};

/// Time between two inputs: 10,000 a second.
const INPUT_INTERVAL_US: u64 = 100;

/// Whether and how the event log is written.
#[derive(Clone, Copy)]
pub(crate) enum Recording {
    Off,
    On,
    /// On, with a disk whose every sync takes this long.
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

/// A fleet whose inputs are recorded as in the daemon.
struct RecordedFleet {
    fleet: SimulatedFleet,
    recorder: Option<Recorder>,
    clock: Clock,
}

impl RecordedFleet {
    fn start(
        folder: &Path,
        recording: Recording,
        core_inputs: tokio::sync::mpsc::Sender<Input>,
    ) -> RecordedFleet {
        let text = settings(folder);
        let site = site_from_json(&text).expect("valid settings");
        let clock = Clock::start();
        let path = folder.to_path_buf();
        let records = site
            .event_log
            .clone()
            .filter(|_| !matches!(recording, Recording::Off));
        let recorder = records.map(|records| {
            let open = move || {
                let mut disk = FaultyDisk::new(Folder::lock(&path)?);
                disk.sync_delay = recording.sync_delay();
                Ok(disk)
            };
            Recorder::start(
                open,
                &records,
                run_start(&text, clock.now()),
                clock,
                core_inputs,
            )
        });
        let fleet = SimulatedFleet::new(&site, unix_micros(clock.now()));
        RecordedFleet {
            fleet,
            recorder,
            clock,
        }
    }

    /// Handles and records one input; returns the core's outputs and the time it took.
    fn handle(&mut self, at: Time, input: Input) -> (Vec<Output>, Duration) {
        let started_at = Instant::now();
        // The same steps as in the daemon's main loop.
        let recorded = self
            .recorder
            .as_mut()
            .map(|recorder| recorder.record_input(at, &input))
            .is_some();
        let core = &mut self.fleet.core;
        core.handle(at, input);
        let mut outputs = Vec::new();
        let mut recorded_outputs = Vec::new();
        while let Some(output) = core.next_output() {
            if recorded {
                recorded_outputs.push(output.clone());
            }
            outputs.push(output);
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.record_outputs(recorded_outputs);
            if recorder.is_snapshot_due(self.clock.now()) {
                recorder.record_snapshot(self.clock.now(), core.state_to_recover());
            }
        }
        (outputs, started_at.elapsed())
    }

    fn shut_down(self) {
        if let Some(recorder) = self.recorder {
            let runtime = tokio::runtime::Handle::current();
            let state = self.fleet.core.state_to_recover();
            runtime.block_on(recorder.shut_down(self.clock.now(), state));
        }
    }
}

/// Runs this many inputs at a constant rate; prints the latency of an input and the state of the event log.
pub(crate) fn measure_latency(recording: Recording, inputs: u64) {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let (core_inputs, mut notifications) = tokio::sync::mpsc::channel(64);
    let mut recorded = RecordedFleet::start(folder.path(), recording, core_inputs);
    let mut latencies = Histogram::<u64>::new(3).expect("valid histogram precision");
    let started_at = Instant::now();
    for number in 1..=inputs {
        let (at, input) = recorded.fleet.next_input(number);
        let (outputs, took) = recorded.handle(at, input);
        latencies
            .record(took.as_nanos() as u64)
            .expect("the histogram resizes itself");
        for output in outputs {
            recorded.fleet.carry_out(output);
        }
        let due = Duration::from_micros(number * INPUT_INTERVAL_US);
        let remaining = due.saturating_sub(started_at.elapsed());
        if remaining > Duration::from_millis(1) {
            std::thread::sleep(remaining);
        }
    }
    let mut state = None;
    while let Ok(Input::EventLog(other)) = notifications.try_recv() {
        state = Some(other);
    }
    let us = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "event log {}: {inputs} inputs, p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us, max {:.1} us; {}",
        recording.name(),
        us(0.5),
        us(0.99),
        us(0.999),
        latencies.max() as f64 / 1e3,
        state.map_or("no notification".into(), |state| format!("{state:?}"))
    );
    recorded.shut_down();
}
