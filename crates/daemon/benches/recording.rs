//! What recording costs: the time of one input with records off, on, and on a disk whose every sync takes 2 s; records and
//! bytes a second; time to recover by the size of the log; replay against real time: `cargo bench -p pondarch-daemon`.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines)]

use hdrhistogram::Histogram;
use pondarch_config::site::Records;
use pondarch_config::{HostEntry, Site, site_from_text};
use pondarch_controller::Time;
use pondarch_daemon::{Clock, Recorder};
use pondarch_daemon_core::{Core, Input, Output, micros};
use pondarch_event_log::{Disk, DiskFault, EventLog, Folder, RetentionConfig, UNLIMITED, frame};
use pondarch_proxy_core::proxy_state::ProxyState;
use pondarch_replay::run_replay::{ComparedInputs, replay};
use pondarch_replay::{Decision, Record, RunStart, recover};
use std::collections::VecDeque;
use std::path::Path;
use std::time::{Duration, Instant};

const PROXIES: usize = 100;
const HOSTS: usize = 300;

fn settings(folder: &Path) -> String {
    let proxy = |n: usize| {
        format!(
            r#"{{"name": "front-{n}", "zone": "ede", "usual_rate": 5, "runtime": "unix:/front-{n}"}}"#
        )
    };
    let proxies: Vec<String> = (0..PROXIES).map(proxy).collect();
    let kind = |name: &str| {
        format!(
            r#"{{"name": "{name}", "response_target": "1 s", "client_timeout": "3 s", "benefit": 1, "repeats": "replayable"}}"#
        )
    };
    let kinds = ["proof", "order", "release"].map(kind).join(", ");
    format!(
        r#"{{"name": "s", "zones": ["ede", "arnhem"], "kinds": [{kinds}], "proxies": [{}],
        "hosts_file": "hosts", "cold": {{"start_share": 0.2, "warm_within": "18 s"}},
        "records": {{"folder": {:?}}},
        "channel": {{"lines_per_second": 8000, "most_waiting": 8000, "message_cap": 12, "message_window": "10 s"}}}}"#,
        proxies.join(", "),
        folder.display().to_string()
    )
}

fn hosts(weight: f64) -> Vec<HostEntry> {
    let host = |n: usize| HostEntry {
        name: format!("host-{n}"),
        address: ([127, 0, (n / 200) as u8, (n % 200) as u8 + 1], 8000).into(),
        zone: ["ede", "arnhem"][n % 2].into(),
        rack: String::new(),
        machine: String::new(),
        weight: if n.is_multiple_of(7) { weight } else { 1.0 },
        cores: None,
        started: None,
        state: Default::default(),
    };
    (0..HOSTS).map(host).collect()
}

/// A core with proxies that answer at once; time is its own.
struct Town {
    core: Core,
    fronts: Vec<ProxyState>,
    waits: VecDeque<Input>,
    now: u64,
}

impl Town {
    fn new(site: &Site, at_us: u64) -> Town {
        let front = |n: usize| {
            ProxyState::new(
                &format!("front-{n}"),
                n as u64 + 1,
                &["proof", "order", "release"],
            )
        };
        let core = Core::new(site, 7, 1, at_us, Time::from_micros(at_us));
        Town {
            core,
            fronts: (0..PROXIES).map(front).collect(),
            waits: VecDeque::new(),
            now: at_us,
        }
    }

    /// The next thing that happens: an answer that waits, or the time that the core asked for.
    fn next(&mut self, n: u64) -> (Time, Input) {
        if n == 1 || n.is_multiple_of(20_000) {
            let weight = 1.0 + (n / 20_000 % 3) as f64;
            return (
                Time::from_micros(self.now),
                Input::EndpointList {
                    generation: None,
                    hosts: hosts(weight),
                },
            );
        }
        match self.waits.pop_front() {
            Some(input) => {
                self.now += 5;
                (Time::from_micros(self.now), input)
            }
            None => {
                let wake = micros(self.core.wake_at()).max(self.now + 1);
                self.now = wake;
                (Time::from_micros(wake), Input::TimerExpired)
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial {
                proxy,
                connection: conn,
            } => self.waits.push_back(Input::Connected {
                proxy,
                connection: conn,
            }),
            Output::Write {
                proxy,
                connection: conn,
                lines,
            } => {
                let front = &mut self.fronts[usize::from(proxy)];
                for backend in front.backends.values_mut() {
                    backend.reqs += 3;
                    backend.servers.values_mut().for_each(|server| {
                        server.total += 1;
                        server.sums.done += 1;
                    });
                }
                let texts = lines
                    .iter()
                    .flat_map(|line| front.line(line))
                    .collect::<Vec<_>>();
                self.waits
                    .extend(texts.into_iter().map(|text| Input::Answer {
                        proxy,
                        connection: conn,
                        text,
                    }));
            }
            _ => {}
        }
    }
}

fn start(text: &str, at: Time) -> RunStart {
    RunStart {
        program: "bench".into(),
        settings: text.into(),
        seed: 7,
        process: 1,
        incarnation: micros(at),
        at_us: micros(at),
        boot: None,
    }
}

/// One run of so many inputs, paced as they would come; gives the times of one input, and what was lost.
fn latency(name: &str, inputs: u64, slow: Option<Duration>) {
    let folder = tempfile::tempdir().expect("a folder");
    let text = settings(folder.path());
    let site = site_from_text(&text).expect("settings");
    let clock = Clock::start();
    let (to_core, mut told) = tokio::sync::mpsc::channel(64);
    let path = folder.path().to_path_buf();
    let records: Option<Records> = site.records.clone().filter(|_| name != "off");
    let mut recorder = records.map(|records| {
        let opens = move || {
            let mut disk = DiskFault::new(Folder::lock(&path)?);
            disk.sync_delay = slow.unwrap_or_default();
            Ok(disk)
        };
        Recorder::start(opens, &records, start(&text, clock.now()), clock, to_core)
    });
    let mut town = Town::new(&site, micros(clock.now()));
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let begun = Instant::now();
    for n in 1..=inputs {
        let (at, input) = town.next(n);
        let one = Instant::now();
        // As the daemon's loop has it.
        let recorded = recorder
            .as_mut()
            .map(|recorder| recorder.input(at, &input))
            .is_some();
        town.core.handle(at, input);
        let (mut outputs, mut decisions) = (Vec::new(), Vec::new());
        while let Some(output) = town.core.next_output() {
            if recorded {
                decisions.push(output.clone());
            }
            outputs.push(output);
        }
        if let Some(recorder) = &mut recorder {
            recorder.decided(decisions);
            if recorder.wants_snapshot(clock.now()) {
                recorder.snapshot(clock.now(), town.core.state_to_recover());
            }
        }
        times.record(one.elapsed().as_nanos() as u64).ok();
        outputs
            .into_iter()
            .for_each(|output| town.carry_out(output));
        // 10,000 inputs a second.
        let due = Duration::from_micros(n * 100);
        if let Some(early) = due
            .checked_sub(begun.elapsed())
            .filter(|early| *early > Duration::from_millis(1))
        {
            std::thread::sleep(early);
        }
    }
    let mut state = None;
    while let Ok(Input::EventLog(other)) = told.try_recv() {
        state = Some(other);
    }
    let us = |part| times.value_at_quantile(part) as f64 / 1e3;
    println!(
        "records {name}: {inputs} inputs, p50 {:.1} us, p99 {:.1} us, p99.9 {:.1} us, most {:.1} us; {}",
        us(0.5),
        us(0.99),
        us(0.999),
        times.max() as f64 / 1e3,
        state.map_or("nothing told".into(), |state| format!("{state:?}"))
    );
    if let Some(recorder) = recorder {
        let runtime = tokio::runtime::Handle::current();
        tokio::task::block_in_place(|| {
            runtime.block_on(recorder.end(clock.now(), town.core.state_to_recover()))
        });
    }
}

fn bytes_of(folder: &Path) -> u64 {
    Folder::read_only(folder)
        .list()
        .map(|files| files.iter().map(|file| file.bytes).sum())
        .unwrap_or(0)
}

/// A log of so many bytes, written as fast as can be; then recovered, and played again.
fn sizes(bytes: u64) {
    let folder = tempfile::tempdir().expect("a folder");
    let text = settings(folder.path());
    let site = site_from_text(&text).expect("settings");
    let at = Clock::start().now();
    let retention = RetentionConfig {
        segment_bytes: 16 << 20,
        total_bytes: 4 << 30,
        max_age: UNLIMITED,
        sync_within: UNLIMITED,
    };
    let mut log = EventLog::new(
        Folder::lock(folder.path()).expect("a lock"),
        retention,
        micros(at),
    )
    .expect("a log");
    let mut town = Town::new(&site, micros(at));
    let (mut n, mut written, mut records, mut unpacked) = (0u64, 0u64, 0u64, 0u64);
    let mut writing = Duration::ZERO;
    let mut frames = Vec::new();
    frame::write(
        &mut frames,
        &Record::Start(Box::new(start(&text, at))).to_bytes(),
    );
    while written < bytes {
        n += 1;
        let (at, input) = town.next(n);
        town.core.handle(at, input.clone());
        let outputs: Vec<Output> = std::iter::from_fn(|| town.core.next_output()).collect();
        let one = Instant::now();
        let mut put = |record: Record| {
            let record = record.to_bytes();
            (records, unpacked) = (records + 1, unpacked + record.len() as u64);
            frame::write(&mut frames, &record);
        };
        put(Record::Input {
            number: n,
            at_us: micros(at),
            input,
        });
        if !outputs.is_empty() {
            put(Record::Decided {
                number: n,
                decisions: outputs.iter().cloned().map(Decision::of).collect(),
            });
        }
        if frames.len() > 1 << 16 {
            log.write(at, n, &frames);
            written += frames.len() as u64;
            frames.clear();
        }
        writing += one.elapsed();
        outputs
            .into_iter()
            .for_each(|output| town.carry_out(output));
    }
    let spans = Duration::from_micros(town.now - micros(at));
    log.end();
    let begun = Instant::now();
    let found = recover(&Folder::read_only(folder.path()), &site).expect("recovered");
    let took = begun.elapsed();
    println!(
        "{} MB of records: {records} of {:.0} bytes in the file ({:.0} as they are), {:.0} a second written; \
         {:.0} s of a site of {PROXIES} proxies and {HOSTS} hosts; recovered without any snapshot in {:.2} s ({} inputs)",
        bytes_of(folder.path()) / 1_000_000,
        bytes_of(folder.path()) as f64 / records as f64,
        unpacked as f64 / records as f64,
        records as f64 / writing.as_secs_f64(),
        spans.as_secs_f64(),
        took.as_secs_f64(),
        found.inputs
    );
    let begun = Instant::now();
    let pondarch_replay::run_replay::FolderReplay { runs, .. } =
        replay(&Folder::read_only(folder.path()), ComparedInputs::default()).expect("replayed");
    let took = begun.elapsed().as_secs_f64();
    let same = runs.iter().all(|run| run.difference.is_none());
    println!(
        "  replayed in {took:.1} s, {:.1} times as fast as it was; the same: {same}",
        spans.as_secs_f64() / took
    );
}

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        tokio::task::spawn(async {
            for (name, slow) in [
                ("off", None),
                ("on", None),
                ("slow", Some(Duration::from_secs(2))),
                ("off", None),
            ] {
                tokio::task::block_in_place(|| latency(name, 100_000, slow));
            }
        })
        .await
        .expect("played");
    });
    sizes(10_000_000);
    if std::env::args().any(|arg| arg == "large") {
        sizes(1_000_000_000);
    }
}
