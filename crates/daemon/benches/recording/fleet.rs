//! A core with simulated in-memory proxies that answer at once, in simulated time.

use pondarch_config::{HostEntry, SiteSettings};
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Input, Output, unix_micros};
use pondarch_proxy_core::proxy_state::ProxyState;
use pondarch_replay::RunStart;
use std::collections::VecDeque;
use std::path::Path;

/// Number of proxies in the fleet.
pub(crate) const PROXIES: usize = 100;
/// Number of hosts in the fleet.
pub(crate) const HOSTS: usize = 300;
/// Number of inputs between two endpoint lists.
const LIST_INTERVAL: u64 = 20_000;

/// Settings with the event log in this folder.
pub(crate) fn settings(folder: &Path) -> String {
    let proxy = |n: usize| {
        format!(
            r#"{{"name": "front-{n}", "zone": "ede", "usual_rate": 5, "runtime": "unix:/front-{n}"}}"#
        )
    };
    let proxies: Vec<String> = (0..PROXIES).map(proxy).collect();
    let class = |name: &str| {
        format!(
            r#"{{"name": "{name}", "response_target": "1 s", "client_timeout": "3 s", "benefit": 1, "repeats": "replayable"}}"#
        )
    };
    let classes = ["proof", "order", "release"].map(class).join(", ");
    format!(
        r#"{{"name": "s", "zones": ["ede", "arnhem"], "kinds": [{classes}], "proxies": [{}],
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

/// A core with simulated proxies that answer at once, in simulated time.
pub(crate) struct SimulatedFleet {
    pub(crate) core: Core,
    proxies: Vec<ProxyState>,
    pending_inputs: VecDeque<Input>,
    pub(crate) now_us: u64,
}

impl SimulatedFleet {
    /// Creates a fleet whose simulated time starts at `at_us`.
    pub(crate) fn new(site: &SiteSettings, at_us: u64) -> SimulatedFleet {
        let proxy = |n: usize| {
            ProxyState::new(
                &format!("front-{n}"),
                n as u64 + 1,
                &["proof", "order", "release"],
            )
        };
        let core = Core::new(site, 7, 1, at_us, Time::from_micros(at_us));
        SimulatedFleet {
            core,
            proxies: (0..PROXIES).map(proxy).collect(),
            pending_inputs: VecDeque::new(),
            now_us: at_us,
        }
    }

    /// The next input: an endpoint list at fixed intervals, otherwise a pending input from the proxies, otherwise the
    /// timer that the core set.
    pub(crate) fn next_input(&mut self, number: u64) -> (Time, Input) {
        if number == 1 || number.is_multiple_of(LIST_INTERVAL) {
            let weight = 1.0 + (number / LIST_INTERVAL % 3) as f64;
            return (
                Time::from_micros(self.now_us),
                Input::EndpointList {
                    generation: None,
                    hosts: hosts(weight),
                },
            );
        }
        match self.pending_inputs.pop_front() {
            Some(input) => {
                self.now_us += 5;
                (Time::from_micros(self.now_us), input)
            }
            None => {
                let wake_us = unix_micros(self.core.wake_at()).max(self.now_us + 1);
                self.now_us = wake_us;
                (Time::from_micros(wake_us), Input::TimerExpired)
            }
        }
    }

    /// Carries out an output of the core.
    pub(crate) fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial { proxy, connection } => self
                .pending_inputs
                .push_back(Input::Connected { proxy, connection }),
            Output::Write {
                proxy,
                connection,
                lines,
            } => {
                let proxy_state = &mut self.proxies[usize::from(proxy)];
                for backend in proxy_state.backends.values_mut() {
                    backend.requests += 3;
                    for server in backend.servers.values_mut() {
                        server.attempts += 1;
                        server.results.succeeded += 1;
                    }
                }
                let answers = lines
                    .iter()
                    .flat_map(|line| proxy_state.execute_line(line))
                    .collect::<Vec<_>>();
                self.pending_inputs
                    .extend(answers.into_iter().map(|text| Input::Answer {
                        proxy,
                        connection,
                        text,
                    }));
            }
            _ => {}
        }
    }
}

/// The start record of a run.
pub(crate) fn run_start(text: &str, at: Time) -> RunStart {
    RunStart {
        program: "bench".into(),
        settings: text.into(),
        seed: 7,
        process: 1,
        incarnation: unix_micros(at),
        at_us: unix_micros(at),
        boot: None,
    }
}
