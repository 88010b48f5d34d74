//! Records a run from randomly generated steps, and recovers the state from its folder.

use pondarch_config::hosts::{HostEntry, HostState};
use pondarch_config::{SiteSettings, site_from_json};
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, RecoveredState};
use pondarch_event_log::{
    Disk, EventLog, Folder, RetentionConfig, UNLIMITED_DURATION, frame, list_file_names,
};
use pondarch_replay::{Decision, Record, Recovery, RunStart, Snapshot, recover};
use proptest::prelude::*;
use std::path::{Path, PathBuf};

/// Start of the first run in microseconds since the Unix epoch, which is also its incarnation.
pub(crate) const START: u64 = 1_800_000_000_000_000;

fn settings(dns: bool) -> String {
    let dns = if dns {
        r#", "dns": {"zone": "pond.test", "listen": "127.0.0.1:0", "grace": "6 s"}"#
    } else {
        ""
    };
    format!(
        r#"{{"name": "s", "zones": ["ede", "arnhem"],
        "kinds": [{{"name": "proof", "response_target": "1 s", "client_timeout": "3 s", "benefit": 1, "repeats": "replayable"}}],
        "proxies": [{{"name": "front-0", "zone": "ede", "usual_rate": 5, "runtime": "unix:/front-0"}},
                    {{"name": "front-1", "zone": "ede", "usual_rate": 5, "runtime": "unix:/front-1"}}],
        "hosts_file": "hosts", "cold": {{"start_share": 0.2, "warm_within": "18 s"}},
        "channel": {{"lines_per_second": 4000, "most_waiting": 4000, "message_cap": 12, "message_window": "10 s"}}{dns}}}"#
    )
}

pub(crate) fn site(dns: bool) -> SiteSettings {
    site_from_json(&settings(dns)).expect("valid settings")
}

pub(crate) fn host(n: usize, state: HostState, started: Option<f64>) -> HostEntry {
    HostEntry {
        name: format!("host-{n}"),
        address: ([127, 0, 0, n as u8 + 1], 8000).into(),
        zone: ["ede", "arnhem"][n % 2].into(),
        rack: String::new(),
        machine: String::new(),
        weight: 1.0,
        cores: None,
        started,
        state,
    }
}

/// A core whose inputs and decisions are recorded in an event log.
pub(crate) struct RecordedRun<D: Disk> {
    pub(crate) core: Core,
    pub(crate) log: EventLog<D>,
    pub(crate) incarnation: u64,
    /// Number of the last input.
    pub(crate) number: u64,
    /// Simulated time, in microseconds since the Unix epoch.
    pub(crate) now: u64,
    /// Generation of the last endpoint list.
    pub(crate) generation: u64,
    /// The state to recover after each input and snapshot, oldest first.
    pub(crate) states: Vec<RecoveredState>,
    /// First and last input that could not be written since the last successful write.
    pub(crate) gap: Option<(u64, u64)>,
}

fn retention(segment_bytes: u64) -> RetentionConfig {
    // The simulated times of the run are not the modification times of the files.
    let max_age = UNLIMITED_DURATION;
    RetentionConfig {
        segment_bytes,
        total_bytes: 1 << 30,
        max_age,
        sync_within: std::time::Duration::from_millis(100),
    }
}

impl<D: Disk> RecordedRun<D> {
    pub(crate) fn start(
        disk: D,
        segment_bytes: u64,
        dns: bool,
        incarnation: u64,
        now: u64,
    ) -> RecordedRun<D> {
        let core = Core::new(&site(dns), 7, 1, incarnation, Time::from_micros(now));
        let log =
            EventLog::new(disk, retention(segment_bytes), incarnation).expect("list the folder");
        let mut run = RecordedRun {
            core,
            log,
            incarnation,
            number: 0,
            now,
            generation: 0,
            states: Vec::new(),
            gap: None,
        };
        let start = RunStart {
            program: "test".into(),
            settings: settings(dns),
            seed: 7,
            process: 1,
            incarnation,
            at_us: now,
            boot: None,
        };
        let mut frames = Vec::new();
        frame::write(&mut frames, &Record::Start(Box::new(start)).to_bytes());
        run.log.write(Time::from_micros(now), 1, &frames);
        run
    }

    pub(crate) fn handle_input(&mut self, input: Input) {
        self.number += 1;
        let number = self.number;
        let at = Time::from_micros(self.now);
        self.core.handle(at, input.clone());
        let decisions: Vec<Decision> = std::iter::from_fn(|| self.core.next_output())
            .map(Decision::from_output)
            .collect();
        let mut frames = Vec::new();
        if let Some((first, last)) = self.gap {
            frame::write(
                &mut frames,
                &Record::Gap {
                    first,
                    last,
                    reason: "full".into(),
                }
                .to_bytes(),
            );
        }
        frame::write(
            &mut frames,
            &Record::Input {
                number,
                at_us: self.now,
                input,
            }
            .to_bytes(),
        );
        if !decisions.is_empty() {
            frame::write(
                &mut frames,
                &Record::Decided { number, decisions }.to_bytes(),
            );
        }
        if self.log.write(at, number, &frames) {
            self.gap = None;
        } else {
            self.gap = Some((self.gap.map_or(number, |(first, _)| first), number));
        }
        self.states.push(RecoveredState {
            at_us: self.now,
            ..self.core.state_to_recover()
        });
    }

    pub(crate) fn write_snapshot(&mut self) {
        let state = self.core.state_to_recover();
        self.states.push(RecoveredState {
            at_us: self.now,
            ..state.clone()
        });
        let snapshot = Snapshot {
            incarnation: self.incarnation,
            number: self.number,
            at_us: self.now,
            boot: None,
            state,
        };
        self.log
            .write_snapshot(Time::from_micros(self.now), &snapshot.to_bytes());
    }

    pub(crate) fn apply_list(&mut self, hosts: Vec<HostEntry>) {
        self.generation += 1;
        self.handle_input(Input::EndpointList {
            generation: Some(self.generation),
            hosts,
        });
    }

    pub(crate) fn run_command(&mut self, line: &str) {
        self.handle_input(Input::Command {
            caller: 1,
            level: 2,
            line: line.into(),
        });
    }
}

/// One step of a recorded run. Hosts are given by their index.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Advances the time by this many milliseconds and expires the timer.
    Wait(u64),
    HostState(usize, HostState),
    /// Restarts the host now.
    Restart(usize),
    /// Runs the operator command with this index in [`OPERATOR_COMMANDS`].
    Operator(usize),
    DnsQuery,
    /// Rejects an endpoint list with an error text of this length.
    RejectedList(usize),
    Snapshot,
}

const OPERATOR_COMMANDS: [&str; 6] = [
    "set server hosts/host-2 state drain; set server hosts/host-2 weight 3",
    "set server hosts/host-2 state ready",
    "add server hosts/extra 127.0.0.99:80 weight 2; set server hosts/extra state ready",
    "del server hosts/extra",
    "set server hosts/host-1 addr 127.0.0.77 port 80",
    "prepare map zones; add map zones extra arnhem",
];

/// Generates a step.
pub(crate) fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![
        Just(HostState::Ready),
        Just(HostState::Drain),
        Just(HostState::Gone)
    ];
    prop_oneof![
        3 => (10..9_000u64).prop_map(Step::Wait),
        3 => (0..8usize, state).prop_map(|(n, state)| Step::HostState(n, state)),
        1 => (0..8usize).prop_map(Step::Restart),
        2 => (0..OPERATOR_COMMANDS.len()).prop_map(Step::Operator),
        2 => Just(Step::DnsQuery),
        2 => (0..400usize).prop_map(Step::RejectedList),
        1 => Just(Step::Snapshot),
    ]
}

/// Applies a first list of eight ready hosts, then the steps, each at least 5 ms after the one before.
pub(crate) fn apply_steps<D: Disk>(run: &mut RecordedRun<D>, steps: &[Step]) {
    let mut hosts: Vec<HostEntry> = (0..8).map(|n| host(n, HostState::Ready, None)).collect();
    run.apply_list(hosts.clone());
    for step in steps {
        run.now += 5_000;
        match step {
            Step::Wait(ms) => {
                run.now += ms * 1_000;
                run.handle_input(Input::TimerExpired);
            }
            Step::HostState(n, state) => {
                hosts[*n].state = *state;
                run.apply_list(hosts.clone());
            }
            Step::Restart(n) => {
                hosts[*n].started = Some(run.now as f64 / 1e6);
                run.apply_list(hosts.clone());
            }
            Step::Operator(n) => run.run_command(OPERATOR_COMMANDS[*n]),
            Step::DnsQuery => {
                let view = run.core.dns_view();
                let proxy = view.anonymous_proxies.first().map(|id| id.0);
                let table = view
                    .table_of(None, pondarch_controller::RequestClassId(0), 5)
                    .map(|table| table.0);
                run.handle_input(Input::DnsQueried {
                    proxy,
                    table,
                    serial: view.serial,
                });
            }
            Step::RejectedList(len) => {
                // Random text, which does not compress well and so fills the segments.
                let mut random = fastrand::Rng::with_seed(run.number);
                run.handle_input(Input::EndpointListRejected {
                    error: (0..*len).map(|_| random.alphanumeric()).collect(),
                });
            }
            Step::Snapshot => run.write_snapshot(),
        }
    }
}

/// Recovers the state from a folder with the settings of the recorded run.
pub(crate) fn recover_folder(folder: &Path, dns: bool) -> Recovery {
    recover(&Folder::read_only(folder), &site(dns)).expect("read the folder")
}

/// Returns the path of the newest segment in a folder.
pub(crate) fn last_segment(folder: &Path) -> PathBuf {
    let name = list_file_names(&Folder::read_only(folder))
        .expect("list the files")
        .segments
        .pop()
        .expect("a segment");
    folder.join(name)
}
