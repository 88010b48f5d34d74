//! A simulated fleet: a core, and proxies in memory that reply to its commands. Queues take the place of sockets, so
//! that tests can interrupt, delay or repeat what is sent.

use pondarch_config::hosts::{HostEntry, HostState};
use pondarch_config::{DurationSetting, SiteSettings, site};
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Event, Input, Output};
use pondarch_proxy_core::proxy_state::{ProxyState, Server};
use pondarch_runtime_api::{AdminState, Command, command};
use std::collections::{BTreeMap, VecDeque};

pub(crate) const SECOND: u64 = 1_000_000;
pub(crate) const CLASSES: [&str; 3] = ["proof", "order", "release"];
pub(crate) const START: u64 = 1_800_000_000 * SECOND;

/// How a proxy misbehaves at the next update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Closes the connection after this many commands.
    DisconnectAfter(usize),
    /// Executes the update twice.
    ExecuteTwice,
    /// Rejects the command with this index in the batch.
    RejectCommand(usize),
    /// Rejects every `add server`, until the fault is reset.
    RejectAdds,
    /// Reads commands and never replies, until the fault is reset.
    Silent,
}

pub(crate) struct SimulatedProxy {
    pub state: ProxyState,
    pub up: bool,
    pub connection: Option<u64>,
    pub fault: Fault,
    /// Updates that arrived, each with its time and commands.
    pub updates: Vec<(u64, Vec<String>)>,
    /// Lines that were not processed yet, each with its connection.
    lines: VecDeque<(u64, String)>,
}

pub(crate) struct SimulatedFleet {
    pub core: Core,
    pub now: u64,
    pub proxies: Vec<SimulatedProxy>,
    pub events: Vec<Event>,
    pub replies: BTreeMap<u64, String>,
    pub inputs: Vec<(u64, Input)>,
    pub outputs: Vec<Output>,
    /// Generation of the latest endpoint list.
    pub generation: u64,
    pub solver: Solver,
    last_caller: u64,
}

/// What the solver does with problems.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Solver {
    Solves,
    Fails,
    /// Returns a plan that gives all weight to the last host of the list.
    Overloads,
    Silent,
}

/// A plan that gives all weight to the last host.
fn plan_for_last_host(fleet: &pondarch_weight_solver::Fleet) -> pondarch_weight_solver::Plan {
    let hosts = fleet.hosts.len();
    pondarch_weight_solver::Plan {
        weights: (0..hosts)
            .map(|index| {
                if index + 1 == hosts {
                    hosts as f64
                } else {
                    0.0
                }
            })
            .collect(),
        utilization: vec![0.5; hosts],
        admitted: vec![1.0; fleet.classes.len()],
        on_time: vec![1.0; fleet.classes.len()],
        admitted_benefit: Some(1.0),
        cross_zone_share: 0.0,
        nearly_full: Vec::new(),
        objective: 1.0,
    }
}

pub(crate) fn addr(n: usize) -> std::net::SocketAddr {
    ([127, 0, (n / 200) as u8, (n % 200) as u8 + 1], 8000).into()
}

pub(crate) fn host(n: usize) -> HostEntry {
    HostEntry {
        name: format!("host-{n}"),
        address: addr(n),
        zone: ["ede", "arnhem"][n % 2].into(),
        rack: format!("rack-{}", n / 4),
        machine: String::new(),
        weight: 1.0,
        cores: None,
        started: None,
        state: HostState::Ready,
    }
}

pub(crate) fn site(proxies: usize) -> SiteSettings {
    let millis = DurationSetting::from_millis;
    let class = |name: &str| site::RequestClassSettings {
        name: name.into(),
        backend: None,
        latency_objective: millis(1_000),
        client_timeout: millis(3_000),
        priority_weight: 1.0,
        idempotency: site::Idempotency::NotIdempotent,
        zone_local: false,
    };
    let proxy = |n: usize| site::ProxyEntry {
        name: format!("front-{n}"),
        zone: ["ede", "arnhem"][n % 2].into(),
        runtime_api: Some(format!("unix:/front-{n}").parse().expect("a socket path")),
        dns_source_networks: Vec::new(),
        typical_request_rate: 5.0,
    };
    SiteSettings {
        name: "steward".into(),
        zones: vec!["ede".into(), "arnhem".into()],
        request_classes: CLASSES.map(class).into(),
        proxies: (0..proxies).map(proxy).collect(),
        site_proxy_count: None,
        hosts_file: "hosts".into(),
        update_channel: site::UpdateChannelSettings {
            commands_per_second: 8_000.0,
            max_waiting_commands: 8_000.0,
            message_overhead_lines: 3.0,
            max_messages_per_window: 12,
            message_window: millis(10_000),
        },
        load_reports: site::LoadReportSettings::default(),
        slow_start: site::SlowStartSettings {
            initial_capacity: 0.2,
            window: millis(18_000),
        },
        health_checks: None,
        proxy_connections: site::ProxyConnectionSettings::default(),
        admission: site::AdmissionSetting::Share,
        cross_zone_cost: 0.06,
        removal_is_advisory: false,
        weight_source: site::WeightSource::Listed,
        event_log: None,
        dns: None,
        runtime_api: Vec::new(),
    }
}

impl SimulatedFleet {
    /// A fleet with the proxies of the settings and an endpoint list of this many hosts.
    pub(crate) fn new(site: &SiteSettings, hosts: usize) -> SimulatedFleet {
        let simulated_proxy = |(n, proxy): (usize, &site::ProxyEntry)| {
            let mut state = ProxyState::new(&proxy.name, 100 + n as u64, &CLASSES);
            // The tables of the proxy's own configuration have two hosts each.
            for backend in state.backends.values_mut() {
                for h in [n % hosts.max(1), (n + 1) % hosts.max(1)] {
                    let server = Server::new(addr(h), 100, AdminState::Ready);
                    backend.servers.insert(format!("host-{h}"), server);
                }
            }
            SimulatedProxy {
                state,
                up: true,
                connection: None,
                fault: Fault::None,
                updates: Vec::new(),
                lines: VecDeque::new(),
            }
        };
        let proxies = site
            .proxies
            .iter()
            .enumerate()
            .map(simulated_proxy)
            .collect();
        let core = Core::new(site, 7, 1, START, Time::from_micros(START));
        let mut fleet = SimulatedFleet {
            core,
            now: START,
            proxies,
            events: Vec::new(),
            replies: BTreeMap::new(),
            inputs: Vec::new(),
            outputs: Vec::new(),
            generation: 0,
            solver: Solver::Solves,
            last_caller: 0,
        };
        fleet.apply_list((0..hosts).map(host).collect());
        fleet
    }

    /// Applies a new endpoint list.
    pub(crate) fn apply_list(&mut self, hosts: Vec<HostEntry>) {
        self.generation += 1;
        self.apply(Input::EndpointList {
            generation: Some(self.generation),
            hosts,
        });
    }

    /// Applies an input to the core, and carries out the outputs.
    pub(crate) fn apply(&mut self, input: Input) {
        self.inputs.push((self.now, input.clone()));
        self.core.handle(Time::from_micros(self.now), input);
        while let Some(output) = self.core.next_output() {
            self.outputs.push(output.clone());
            self.carry_out(output);
        }
    }

    fn dial(&mut self, proxy: u16, connection: u64) {
        let target = &mut self.proxies[proxy as usize];
        target.connection = target.up.then_some(connection);
        target.lines.clear();
        let input = if target.up {
            Input::Connected { proxy, connection }
        } else {
            Input::Disconnected {
                proxy,
                connection,
                reason: "refused".into(),
            }
        };
        self.apply(input);
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial { proxy, connection } => self.dial(proxy, connection),
            Output::Write {
                proxy,
                connection,
                lines,
            } => {
                self.proxies[proxy as usize]
                    .lines
                    .extend(lines.into_iter().map(|line| (connection, line)));
            }
            Output::HangUp { proxy, connection } => {
                let target = &mut self.proxies[proxy as usize];
                target.connection = target.connection.filter(|current| *current != connection);
                target.lines.clear();
            }
            Output::Reply { caller, text } => drop(self.replies.insert(caller, text)),
            Output::Event(event) => self.events.push(event),
            Output::Solve { number, fleet } => {
                let plan = match self.solver {
                    Solver::Solves => {
                        let plan = pondarch_weight_solver::solve(&fleet, Default::default());
                        plan.map_err(|error| error.to_string())
                    }
                    Solver::Fails => Err("the solver found no plan: broken".into()),
                    Solver::Overloads => Ok(plan_for_last_host(&fleet)),
                    Solver::Silent => return,
                };
                self.apply(Input::Solved { number, plan });
            }
            Output::CheckHealth { .. }
            | Output::DnsViewChanged { .. }
            | Output::NotifySecondary { .. }
            | Output::GrantCredit { .. }
            | Output::RejectSender { .. }
            | Output::LoadReportsApplied { .. } => {}
        }
    }

    /// Lets proxies process and reply to all lines that were sent to them.
    pub(crate) fn deliver(&mut self) {
        while let Some(n) = (0..self.proxies.len()).find(|&n| !self.proxies[n].lines.is_empty()) {
            let target = &mut self.proxies[n];
            let Some((connection, line)) = target.lines.pop_front() else {
                continue;
            };
            if target.connection != Some(connection) || target.fault == Fault::Silent {
                continue;
            }
            let proxy = n as u16;
            let commands: Vec<Command> = command::parse_line(&line).into_iter().flatten().collect();
            let is_update = commands.iter().any(ProxyState::is_update);
            if is_update {
                target
                    .updates
                    .push((self.now, commands.iter().map(Command::to_string).collect()));
            }
            let fault = if is_update { target.fault } else { Fault::None };
            if is_update && fault != Fault::RejectAdds {
                target.fault = Fault::None;
            }
            let mut replies: Vec<String> = Vec::new();
            for (index, command) in commands.iter().enumerate() {
                match fault {
                    Fault::DisconnectAfter(executed) if index == executed => break,
                    Fault::RejectCommand(rejected) if index == rejected => {
                        replies.push("Not now.\n".into());
                    }
                    Fault::RejectAdds if matches!(command, Command::AddServer { .. }) => {
                        replies.push("Out of memory.\n".into());
                    }
                    _ => replies.push(target.state.execute(command.clone())),
                }
            }
            if fault == Fault::ExecuteTwice {
                commands
                    .iter()
                    .for_each(|command| drop(target.state.execute(command.clone())));
            }
            if matches!(fault, Fault::DisconnectAfter(executed) if executed < commands.len()) {
                // The replies are lost with the connection.
                self.disconnect(n);
                continue;
            }
            for text in replies {
                self.apply(Input::Answer {
                    proxy,
                    connection,
                    text,
                });
            }
        }
    }

    /// Breaks the connection to a proxy.
    pub(crate) fn disconnect(&mut self, n: usize) {
        self.proxies[n].lines.clear();
        if let Some(connection) = self.proxies[n].connection.take() {
            self.apply(Input::Disconnected {
                proxy: n as u16,
                connection,
                reason: "broke".into(),
            });
        }
    }

    /// Advances the time, with timers; proxies reply without delay.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        self.deliver();
        loop {
            let wake = (self.core.wake_at() - Time::default())
                .micros()
                .max(self.now + 1);
            if wake > end {
                break;
            }
            self.now = wake;
            self.apply(Input::TimerExpired);
            self.deliver();
        }
        self.now = end;
    }

    /// Runs an operator's command line at an access level; returns the reply.
    pub(crate) fn command(&mut self, level: u8, line: &str) -> String {
        self.last_caller += 1;
        let caller = self.last_caller;
        self.apply(Input::Command {
            caller,
            level,
            line: line.into(),
        });
        self.replies.remove(&caller).unwrap_or_default()
    }

    /// Raises the counters of a proxy's servers, as if this many requests had been sent to each.
    pub(crate) fn traffic(&mut self, n: usize, done: u64, failed: u64, mean_ms: u64) {
        for backend in self.proxies[n].state.backends.values_mut() {
            backend.requests += done + failed;
            for server in backend
                .servers
                .values_mut()
                .filter(|server| server.is_serving())
            {
                server.attempts += done + failed;
                server.results.succeeded += done;
                server.results.failed += failed;
                server.results.succeeded_duration +=
                    std::time::Duration::from_millis(mean_ms * done);
            }
        }
    }

    /// Address and weight of each server that a proxy uses for a request class.
    pub(crate) fn serving(
        &self,
        n: usize,
        class: &str,
    ) -> BTreeMap<String, (std::net::SocketAddr, u16)> {
        let servers = &self.proxies[n].state.backends[class].servers;
        let serving = servers.iter().filter(|(_, server)| server.is_serving());
        serving
            .map(|(name, server)| (name.clone(), (server.address, server.weight)))
            .collect()
    }

    /// A figure of `show info`.
    pub(crate) fn info(&mut self, name: &str) -> u64 {
        let text = self.command(0, "show info");
        pondarch_runtime_api::info::Info::read(&text)
            .get_u64(name)
            .unwrap_or(0)
    }
}
