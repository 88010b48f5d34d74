//! Records two runs of a core: the first ends without a final snapshot, as if killed; the second begins with the state
//! recovered from it.

mod inputs;

use crate::site::{host, hosts, settings};
use pondarch_config::hosts::{HostEntry, HostState};
use pondarch_config::site_from_json;
use pondarch_controller::{DurationExt, Time};
use pondarch_daemon_core::{Core, Input, Output, ReportedLoad};
use pondarch_event_log::{EventLog, Folder, RetentionConfig, UNLIMITED_DURATION, frame};
use pondarch_proxy_core::proxy_state::{ProxyState, Server};
use pondarch_replay::{Boot, Decision, Record, RunStart, Snapshot, recover};
use pondarch_runtime_api::{AdminState, command};
use std::collections::VecDeque;
use std::error::Error;
use std::path::Path;
use std::time::Duration;

/// Start of the first run in microseconds since the Unix epoch, which is also its incarnation.
const START: u64 = 1_800_000_000_000_000;
const SEGMENT_BYTES: u64 = 24_000;

/// An in-memory proxy.
struct SimulatedProxy {
    proxy_state: ProxyState,
    /// Number of the open connection.
    connection: Option<u64>,
    /// Unanswered command lines, each with the connection that it came on.
    lines: VecDeque<(u64, String)>,
}

/// A core whose inputs and decisions are recorded.
struct Run {
    core: Core,
    log: EventLog<Folder>,
    incarnation: u64,
    /// Number of the last input.
    number: u64,
    /// Simulated time, in microseconds since the Unix epoch.
    now: u64,
    /// Generation of the last endpoint list.
    generation: u64,
    proxies: Vec<SimulatedProxy>,
    /// Whether the next update to any proxy is rejected.
    rejects_next_update: bool,
}

/// Records both runs in `folder`.
pub(crate) fn write(folder: &Path) -> Result<(), Box<dyn Error>> {
    let mut first = Run::start(folder, START, START)?;
    first.apply_list(hosts());
    first.run_for(3_000);
    first.run_operator_commands();
    first.run_uneven_traffic();
    first.push_reports();
    first.query_dns();
    first.report_faults();
    first.write_snapshot();
    first.change_hosts();
    let now = first.now;
    first.log.end();
    let recovery = recover(&Folder::read_only(folder), &site_from_json(&settings())?)?;
    let at = now + 2_000_000;
    let state = recovery
        .state
        .ok_or("no state was recovered")?
        .rebased_to_clock(at, 2_000_000);
    let mut second = Run::start(folder, recovery.incarnation + 1, at)?;
    second.generation = first.generation;
    second.handle_input(Input::Recovered(Box::new(state)));
    second.apply_list(changed_hosts());
    second.run_for(3_000);
    second.write_snapshot();
    second.run_command("set server hosts/host-1 state drain; set server hosts/host-2 weight 3");
    second.run_for(200);
    second.run_command("show info");
    second.log.end();
    Ok(())
}

/// Returns the second endpoint list: host 3 restarted, host 4 draining, host 5 gone, host 6 added.
fn changed_hosts() -> Vec<HostEntry> {
    let mut hosts = hosts();
    hosts[4].state = HostState::Drain;
    hosts[5].state = HostState::Gone;
    hosts[3].started = Some(START as f64 / 1e6 + 20.5);
    hosts.push(host(6));
    hosts
}

fn boot(at: u64) -> Option<Boot> {
    Some(Boot {
        id: "machine".into(),
        uptime_us: at - START + 1_000,
    })
}

impl Run {
    fn start(folder: &Path, incarnation: u64, now: u64) -> Result<Run, Box<dyn Error>> {
        let site = site_from_json(&settings())?;
        let sync_within = Duration::from_millis(100);
        let max_age = UNLIMITED_DURATION;
        let retention = RetentionConfig {
            segment_bytes: SEGMENT_BYTES,
            total_bytes: 1 << 30,
            max_age,
            sync_within,
        };
        let log = EventLog::new(Folder::lock(folder)?, retention, incarnation)?;
        let simulated_proxy = |n: usize| {
            let mut proxy_state =
                ProxyState::new(&site.proxies[n].name, 100 + n as u64, &["proof", "order"]);
            for backend in proxy_state.backends.values_mut() {
                let server = Server::new(host(n).address, 100, AdminState::Ready);
                backend.servers.insert(format!("host-{n}"), server);
            }
            SimulatedProxy {
                proxy_state,
                connection: None,
                lines: VecDeque::new(),
            }
        };
        let core = Core::new(&site, 7, 1, incarnation, Time::from_micros(now));
        let proxies = (0..2).map(simulated_proxy).collect();
        let mut run = Run {
            core,
            log,
            incarnation,
            number: 0,
            now,
            generation: 0,
            proxies,
            rejects_next_update: false,
        };
        let (program, settings) = ("pondarch before the renaming".into(), settings());
        let start = RunStart {
            program,
            settings,
            seed: 7,
            process: 1,
            incarnation,
            at_us: now,
            boot: boot(now),
        };
        run.record(&[Record::Start(Box::new(start))]);
        Ok(run)
    }

    fn record(&mut self, records: &[Record]) {
        let mut frames = Vec::new();
        records
            .iter()
            .for_each(|record| frame::write(&mut frames, &record.to_bytes()));
        assert!(
            self.log
                .write(Time::from_micros(self.now), self.number.max(1), &frames),
            "the disk works"
        );
    }

    fn handle_input(&mut self, input: Input) {
        self.number += 1;
        let (n, at_us) = (self.number, self.now);
        self.core.handle(Time::from_micros(at_us), input.clone());
        let outputs: Vec<Output> = std::iter::from_fn(|| self.core.next_output()).collect();
        let decisions: Vec<Decision> = outputs.iter().cloned().map(Decision::from_output).collect();
        let mut records = vec![Record::Input {
            number: n,
            at_us,
            input,
        }];
        if !decisions.is_empty() {
            records.push(Record::Decided {
                number: n,
                decisions,
            });
        }
        self.record(&records);
        outputs
            .into_iter()
            .for_each(|output| self.handle_output(output));
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Dial { proxy, connection } => {
                self.proxies[usize::from(proxy)].connection = Some(connection);
                self.handle_input(Input::Connected { proxy, connection });
            }
            Output::Write {
                proxy,
                connection,
                lines,
            } => {
                let lines = lines.into_iter().map(|line| (connection, line));
                self.proxies[usize::from(proxy)].lines.extend(lines);
            }
            Output::HangUp { proxy, .. } => self.proxies[usize::from(proxy)].connection = None,
            Output::CheckHealth { host, for_load, .. } => {
                let load = for_load.then_some(ReportedLoad {
                    utilization: Some(0.4),
                    queue_length: Some(1.0),
                    service_time_ms: Some(20.0),
                    request_rate: Some(15.0),
                    failure_rate: Some(0.5),
                });
                self.handle_input(Input::HealthCheckCompleted {
                    host,
                    for_load,
                    healthy: true,
                    load,
                });
            }
            Output::Solve { number, fleet } => {
                let plan = pondarch_weight_solver::solve(&fleet, Default::default());
                self.handle_input(Input::Solved {
                    number,
                    plan: plan.map_err(|error| error.to_string()),
                });
            }
            _ => {}
        }
    }

    /// Lets the proxies execute and answer all command lines.
    fn answer_lines(&mut self) {
        while let Some(n) = (0..2).find(|&n| !self.proxies[n].lines.is_empty()) {
            let proxy = &mut self.proxies[n];
            let Some((connection, line)) = proxy.lines.pop_front() else {
                continue;
            };
            if proxy.connection != Some(connection) {
                continue;
            }
            let mut answers = Vec::new();
            for command in command::parse_line(&line).into_iter().flatten() {
                let rejected = self.rejects_next_update && ProxyState::is_update(&command);
                self.rejects_next_update &= !rejected;
                answers.push(if rejected {
                    "Not now.\n".into()
                } else {
                    proxy.proxy_state.execute(command)
                });
            }
            let number = n as u16;
            answers.into_iter().for_each(|text| {
                self.handle_input(Input::Answer {
                    proxy: number,
                    connection,
                    text,
                })
            });
        }
    }

    /// Advances the time, and expires the timers that are due by then.
    fn run_for(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        self.answer_lines();
        loop {
            let timer_us = (self.core.wake_at() - Time::default())
                .micros()
                .max(self.now + 1);
            if timer_us > end {
                break;
            }
            self.now = timer_us;
            self.handle_input(Input::TimerExpired);
            self.answer_lines();
        }
        self.now = end;
    }

    fn apply_list(&mut self, hosts: Vec<HostEntry>) {
        self.generation += 1;
        self.handle_input(Input::EndpointList {
            generation: Some(self.generation),
            hosts,
        });
    }

    fn run_command(&mut self, line: &str) {
        self.handle_input(Input::Command {
            caller: self.number,
            level: 2,
            line: line.into(),
        });
    }

    fn write_snapshot(&mut self) {
        let (incarnation, n, at_us) = (self.incarnation, self.number, self.now);
        let snapshot = Snapshot {
            incarnation,
            number: n,
            at_us,
            boot: boot(at_us),
            state: self.core.state_to_recover(),
        };
        assert!(
            self.log
                .write_snapshot(Time::from_micros(at_us), &snapshot.to_bytes()),
            "the disk works"
        );
    }
}
