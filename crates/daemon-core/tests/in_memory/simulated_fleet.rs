//! A site in memory: a core, and proxies that answer its commands. Whatever crosses a socket elsewhere crosses a
//! queue here, and can be cut, held up or doubled.

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

/// What a proxy does with the next orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Breaks off after so many commands.
    CutAfter(usize),
    Twice,
    /// Refuses this command of the batch, by its place.
    Refuse(usize),
    /// Refuses to add any server, at all times.
    RefuseAdds,
    /// Takes everything and answers nothing.
    Silent,
}

pub(crate) struct Front {
    pub tables: ProxyState,
    pub up: bool,
    pub conn: Option<u64>,
    pub fault: Fault,
    /// Updates that arrived, each with its time and commands.
    pub orders: Vec<(u64, Vec<String>)>,
    lines: VecDeque<(u64, String)>,
}

pub(crate) struct SimulatedFleet {
    pub core: Core,
    pub now: u64,
    pub fronts: Vec<Front>,
    pub events: Vec<Event>,
    pub replies: BTreeMap<u64, String>,
    pub inputs: Vec<(u64, Input)>,
    pub outputs: Vec<Output>,
    pub version: u64,
    pub solver: Solver,
    callers: u64,
}

/// What becomes of a problem.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Solver {
    Answers,
    Fails,
    /// All work to the last host of the list.
    Raves,
    Silent,
}

fn raving(fleet: &pondarch_weight_solver::Fleet) -> pondarch_weight_solver::Plan {
    let hosts = fleet.hosts.len();
    pondarch_weight_solver::Plan {
        weights: (0..hosts)
            .map(|n| if n + 1 == hosts { hosts as f64 } else { 0.0 })
            .collect(),
        utilisation: vec![0.5; hosts],
        let_in: vec![1.0; fleet.kinds.len()],
        in_time: vec![1.0; fleet.kinds.len()],
        served: Some(1.0),
        crossing: 0.0,
        little_room: Vec::new(),
        worth: 1.0,
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
    let span = DurationSetting::from_millis;
    let class = |name: &str| site::RequestClassSettings {
        name: name.into(),
        backend: None,
        latency_objective: span(1_000),
        client_timeout: span(3_000),
        priority_weight: 1.0,
        idempotency: site::Idempotency::NotIdempotent,
        zone_local: false,
    };
    let proxy = |n: usize| site::ProxyEntry {
        name: format!("front-{n}"),
        zone: ["ede", "arnhem"][n % 2].into(),
        runtime_api: Some(format!("unix:/front-{n}").parse().expect("a path")),
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
            message_window: span(10_000),
        },
        load_reports: site::LoadReportSettings::default(),
        slow_start: site::SlowStartSettings {
            initial_capacity: 0.2,
            window: span(18_000),
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
    pub(crate) fn open(site: &SiteSettings, hosts: usize) -> SimulatedFleet {
        let front = |(n, proxy): (usize, &site::ProxyEntry)| {
            let mut tables = ProxyState::new(&proxy.name, 100 + n as u64, &CLASSES);
            // Standing tables: two hosts each.
            for backend in tables.backends.values_mut() {
                for h in [n % hosts.max(1), (n + 1) % hosts.max(1)] {
                    let server = Server::new(addr(h), 100, AdminState::Ready);
                    backend.servers.insert(format!("host-{h}"), server);
                }
            }
            Front {
                tables,
                up: true,
                conn: None,
                fault: Fault::None,
                orders: Vec::new(),
                lines: VecDeque::new(),
            }
        };
        let fronts = site.proxies.iter().enumerate().map(front).collect();
        let core = Core::new(site, 7, 1, START, Time::from_micros(START));
        let mut fleet = SimulatedFleet {
            core,
            now: START,
            fronts,
            events: Vec::new(),
            replies: BTreeMap::new(),
            inputs: Vec::new(),
            outputs: Vec::new(),
            version: 0,
            solver: Solver::Answers,
            callers: 0,
        };
        fleet.list((0..hosts).map(host).collect());
        fleet
    }

    pub(crate) fn list(&mut self, hosts: Vec<HostEntry>) {
        self.version += 1;
        self.give(Input::EndpointList {
            generation: Some(self.version),
            hosts,
        });
    }

    pub(crate) fn give(&mut self, input: Input) {
        self.inputs.push((self.now, input.clone()));
        self.core.handle(Time::from_micros(self.now), input);
        while let Some(output) = self.core.next_output() {
            self.outputs.push(output.clone());
            self.carry_out(output);
        }
    }

    fn dial(&mut self, proxy: u16, connection: u64) {
        let front = &mut self.fronts[proxy as usize];
        front.conn = front.up.then_some(connection);
        front.lines.clear();
        let input = if front.up {
            Input::Connected { proxy, connection }
        } else {
            Input::Disconnected {
                proxy,
                connection,
                reason: "refused".into(),
            }
        };
        self.give(input);
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial {
                proxy,
                connection: conn,
            } => {
                self.dial(proxy, conn);
            }
            Output::Write {
                proxy,
                connection: conn,
                lines,
            } => {
                self.fronts[proxy as usize]
                    .lines
                    .extend(lines.into_iter().map(|line| (conn, line)));
            }
            Output::HangUp {
                proxy,
                connection: conn,
            } => {
                let front = &mut self.fronts[proxy as usize];
                front.conn = front.conn.filter(|held| *held != conn);
                front.lines.clear();
            }
            Output::Reply { caller, text } => drop(self.replies.insert(caller, text)),
            Output::Event(event) => self.events.push(event),
            Output::Solve { number, fleet } => {
                let answer = match self.solver {
                    Solver::Answers => {
                        let plan = pondarch_weight_solver::solve(&fleet, Default::default());
                        plan.map_err(|wrong| wrong.to_string())
                    }
                    Solver::Fails => Err("the solver found no plan: broken".into()),
                    Solver::Raves => Ok(raving(&fleet)),
                    Solver::Silent => return,
                };
                self.give(Input::Solved {
                    number,
                    plan: answer,
                });
            }
            Output::CheckHealth { .. }
            | Output::DnsViewChanged { .. }
            | Output::NotifySecondary { .. }
            | Output::GrantCredit { .. }
            | Output::RejectSender { .. }
            | Output::LoadReportsApplied { .. } => {}
        }
    }

    /// Proxies answer all that was written to them.
    pub(crate) fn deliver(&mut self) {
        while let Some(n) = (0..self.fronts.len()).find(|&n| !self.fronts[n].lines.is_empty()) {
            let front = &mut self.fronts[n];
            let Some((conn, line)) = front.lines.pop_front() else {
                continue;
            };
            if front.conn != Some(conn) || front.fault == Fault::Silent {
                continue;
            }
            let proxy = n as u16;
            let commands: Vec<Command> = command::parse_line(&line).into_iter().flatten().collect();
            let orders = commands.iter().any(ProxyState::is_update);
            if orders {
                front
                    .orders
                    .push((self.now, commands.iter().map(Command::to_string).collect()));
            }
            let fault = if orders { front.fault } else { Fault::None };
            if orders && fault != Fault::RefuseAdds {
                front.fault = Fault::None;
            }
            let mut answers: Vec<String> = Vec::new();
            for (at, command) in commands.iter().enumerate() {
                match fault {
                    Fault::CutAfter(cut) if at == cut => break,
                    Fault::Refuse(place) if at == place => answers.push("Not now.\n".into()),
                    Fault::RefuseAdds if matches!(command, Command::AddServer { .. }) => {
                        answers.push("Out of memory.\n".into());
                    }
                    _ => answers.push(front.tables.execute(command.clone())),
                }
            }
            if fault == Fault::Twice {
                commands
                    .iter()
                    .for_each(|command| drop(front.tables.execute(command.clone())));
            }
            if matches!(fault, Fault::CutAfter(cut) if cut < commands.len()) {
                // The answers are lost with the connection.
                self.drop_link(n);
                continue;
            }
            for text in answers {
                self.give(Input::Answer {
                    proxy,
                    connection: conn,
                    text,
                });
            }
        }
    }

    /// A connection breaks.
    pub(crate) fn drop_link(&mut self, n: usize) {
        self.fronts[n].lines.clear();
        if let Some(conn) = self.fronts[n].conn.take() {
            self.give(Input::Disconnected {
                proxy: n as u16,
                connection: conn,
                reason: "broke".into(),
            });
        }
    }

    /// Time goes on, and proxies answer at once.
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
            self.give(Input::TimerExpired);
            self.deliver();
        }
        self.now = end;
    }

    pub(crate) fn command(&mut self, level: u8, line: &str) -> String {
        self.callers += 1;
        let caller = self.callers;
        self.give(Input::Command {
            caller,
            level,
            line: line.into(),
        });
        self.replies.remove(&caller).unwrap_or_default()
    }

    /// Counts requests at a proxy's servers, as if traffic had gone there.
    pub(crate) fn traffic(&mut self, n: usize, done: u64, failed: u64, mean_ms: u64) {
        for backend in self.fronts[n].tables.backends.values_mut() {
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

    pub(crate) fn serving(
        &self,
        n: usize,
        class: &str,
    ) -> BTreeMap<String, (std::net::SocketAddr, u16)> {
        let servers = &self.fronts[n].tables.backends[class].servers;
        let serving = servers.iter().filter(|(_, server)| server.is_serving());
        serving
            .map(|(name, server)| (name.clone(), (server.address, server.weight)))
            .collect()
    }

    pub(crate) fn info(&mut self, name: &str) -> u64 {
        let text = self.command(0, "show info");
        pondarch_runtime_api::info::Info::read(&text)
            .get_u64(name)
            .unwrap_or(0)
    }
}
