//! A scene played to a steward's core, with proxies that do as they are told: what would it have decided by other settings,
//! or with another seed? Hosts do what they did then; where a proxy no longer has a host that it used, what that host
//! did is left out, and its other hosts are not made busier by it.

use crate::runs::HistoryError;
use crate::scene::{Met, Scene, What};
use pondarch_config::{Site, site_from_text};
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_daemon_core::{Core, Event, Input, Output};
use pondarch_proxy_core::holding::{Holding, Server};
use pondarch_runtime_api::{AdminState, command};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What a steward decided over a scene, in figures.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Played {
    pub table_changes: u64,
    pub lines_changed: u64,
    pub binds: u64,
    pub level_changes: u64,
    pub messages: u64,
    pub commands: u64,
    /// Most messages to one proxy within the window of the settings.
    pub messages_most: u64,
    pub held_back: u64,
    /// Longest that a proxy had nothing to pick in some backend while a host was listed as ready.
    pub bare_longest_ms: u64,
    /// Longest that a proxy still served a host after the list said to leave it alone.
    pub drain_longest_ms: u64,
    /// Each table at the end: its hosts and their weights.
    pub tables: BTreeMap<u16, BTreeMap<String, f64>>,
}

struct Front {
    holding: Holding,
    up: bool,
    conn: Option<u64>,
    lines: VecDeque<(u64, String)>,
    messages: VecDeque<u64>,
    bare_since: Option<u64>,
}

struct Stage {
    core: Core,
    site: Site,
    now: u64,
    fronts: Vec<Front>,
    ready: BTreeMap<String, std::net::SocketAddr>,
    away: BTreeMap<String, u64>,
    events: VecDeque<Input>,
    played: Played,
}

/// Plays a scene by its own settings, or by others that name the same proxies.
///
/// Errors: the scene's settings are none, or the others lack a proxy of the scene.
pub fn play(scene: &Scene, other: Option<&Site>, seed: u64) -> Result<Played, HistoryError> {
    let own = site_from_text(&scene.settings)
        .map_err(|wrong| HistoryError::Settings(wrong.to_string()))?;
    let site = other.cloned().unwrap_or_else(|| own.clone());
    // Proxies are known by their places: those of the scene by name to those of the settings.
    let place = |name: &str| {
        site.proxies
            .iter()
            .position(|proxy| proxy.name == name)
            .map(|n| n as u16)
    };
    let places: Vec<Option<u16>> = own.proxies.iter().map(|proxy| place(&proxy.name)).collect();
    if let Some(n) = places.iter().position(Option::is_none) {
        return Err(HistoryError::Scene(format!(
            "the settings have no proxy '{}'",
            own.proxies[n].name
        )));
    }
    let places: Vec<u16> = places.into_iter().flatten().collect();
    let mut stage = Stage::set(site, seed, scene.at_us);
    for moment in &scene.course {
        stage.run(scene.at_us + moment.after_us);
        stage.happens(&moment.what, &places);
    }
    stage.run(stage.now + 1_000_000);
    Ok(stage.played)
}

impl Stage {
    fn set(site: Site, seed: u64, at_us: u64) -> Stage {
        let backends: Vec<String> = site
            .kinds
            .iter()
            .map(|kind| kind.backend().to_string())
            .collect();
        let backends: Vec<&str> = backends.iter().map(String::as_str).collect();
        let front = |(n, proxy): (usize, &pondarch_config::site::Proxy)| Front {
            holding: Holding::new(&proxy.name, n as u64 + 1, &backends),
            up: false,
            conn: None,
            lines: VecDeque::new(),
            messages: VecDeque::new(),
            bare_since: None,
        };
        let core = Core::new(&site, seed, 0, at_us, Time::from_micros(at_us));
        let fronts = site.proxies.iter().enumerate().map(front).collect();
        Stage {
            core,
            site,
            now: at_us,
            fronts,
            ready: BTreeMap::new(),
            away: BTreeMap::new(),
            events: VecDeque::new(),
            played: Played::default(),
        }
    }

    fn happens(&mut self, what: &What, places: &[u16]) {
        let place = |proxy: u16| places.get(usize::from(proxy)).copied();
        match what {
            What::Known(known) => self.give(Input::Recovered(known.clone())),
            What::List { version, hosts } => {
                self.listed(hosts);
                self.give(Input::List {
                    version: *version,
                    hosts: hosts.clone(),
                });
            }
            What::Proxy { proxy, up } => {
                let Some(n) = place(*proxy) else { return };
                let front = &mut self.fronts[usize::from(n)];
                front.up = *up;
                front.lines.clear();
                if let Some(conn) = front.conn.take().filter(|_| !up) {
                    self.give(Input::Lost {
                        proxy: n,
                        conn,
                        why: "as recorded".into(),
                    });
                }
            }
            What::Traffic { proxy, reqs, met } => {
                let Some(n) = place(*proxy) else { return };
                self.fronts[usize::from(n)].traffic(reqs, met);
            }
            What::Probed {
                host,
                for_load,
                good,
                load,
            } => {
                let (host, load) = (host.clone(), *load);
                self.give(Input::Probed {
                    host,
                    for_load: *for_load,
                    good: *good,
                    load,
                });
            }
            What::Asked { proxy } => {
                let view = self.core.view();
                let mark = u64::from(proxy.unwrap_or(0));
                let asked = proxy.and_then(place).map(pondarch_controller::ProxyId);
                let table = view
                    .table_of(asked, pondarch_controller::RequestClassId(0), mark)
                    .map(|table| table.0);
                let proxy = asked.or_else(|| view.anonymous_proxy(mark)).map(|id| id.0);
                self.give(Input::AskedByName {
                    proxy,
                    table,
                    serial: view.serial,
                });
            }
            What::Operator { level, line } => {
                self.give(Input::Command {
                    caller: 0,
                    level: *level,
                    line: line.clone(),
                });
            }
        }
        self.settle();
    }

    /// What proxies that start with standing tables have: the first hosts listed.
    fn listed(&mut self, hosts: &[pondarch_config::HostEntry]) {
        use pondarch_config::hosts::HostState::Ready;
        let first = self.ready.is_empty();
        let before = std::mem::take(&mut self.ready);
        self.ready = hosts
            .iter()
            .filter(|host| host.state == Ready)
            .map(|host| (host.name.clone(), host.address))
            .collect();
        for name in before.keys().filter(|name| !self.ready.contains_key(*name)) {
            self.away.entry(name.clone()).or_insert(self.now);
        }
        self.away.retain(|name, _| !self.ready.contains_key(name));
        if first {
            for (n, front) in self.fronts.iter_mut().enumerate() {
                let all = self.ready.len().max(1);
                let own = self.ready.iter().cycle().skip(n % all).take(4.min(all));
                let own: BTreeMap<_, _> = own.map(|(name, addr)| (name.clone(), *addr)).collect();
                for backend in front.holding.backends.values_mut() {
                    let server = |addr: &_| Server::new(*addr, 100, AdminState::Ready);
                    backend
                        .servers
                        .extend(own.iter().map(|(name, addr)| (name.clone(), server(addr))));
                }
            }
        }
    }

    /// Time goes on to then; what the core is woken for in between happens.
    fn run(&mut self, until: u64) {
        self.settle();
        loop {
            let wake = (self.core.wake_at() - Time::default())
                .micros()
                .max(self.now + 1);
            if wake > until {
                break;
            }
            self.now = wake;
            self.give(Input::Tick);
            self.settle();
        }
        self.now = self.now.max(until);
    }

    /// Inputs that wait, and proxies' answers, until there is nothing more.
    fn settle(&mut self) {
        loop {
            if let Some(input) = self.events.pop_front() {
                self.give(input);
                continue;
            }
            let Some(n) = self.fronts.iter().position(|front| !front.lines.is_empty()) else {
                break;
            };
            self.answer(n);
        }
        self.look();
    }

    fn give(&mut self, input: Input) {
        self.core.handle(Time::from_micros(self.now), input);
        while let Some(output) = self.core.next_output() {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial { proxy, conn } => {
                let Some(front) = self.fronts.get_mut(usize::from(proxy)) else {
                    return;
                };
                front.conn = front.up.then_some(conn);
                self.events.push_back(match front.up {
                    true => Input::Connected { proxy, conn },
                    false => Input::Lost {
                        proxy,
                        conn,
                        why: "as recorded".into(),
                    },
                });
            }
            Output::Write { proxy, conn, lines } => {
                let Some(front) = self.fronts.get_mut(usize::from(proxy)) else {
                    return;
                };
                front
                    .lines
                    .extend(lines.into_iter().map(|line| (conn, line)));
            }
            Output::Hangup { proxy, conn } => {
                if let Some(front) = self.fronts.get_mut(usize::from(proxy)) {
                    front.conn = front.conn.filter(|held| *held != conn);
                    front.lines.clear();
                }
            }
            Output::Solve { number, fleet } => {
                let plan = pondarch_weight_solver::solve(&fleet, Default::default())
                    .map_err(|wrong| wrong.to_string());
                self.events.push_back(Input::Solved { number, plan });
            }
            Output::Event(event) => self.noted(event),
            // Probes were answered as recorded, at their recorded times.
            Output::Probe { .. }
            | Output::ViewChanged { .. }
            | Output::SayChanged { .. }
            | Output::Reply { .. }
            | Output::Credit { .. }
            | Output::RefuseSender { .. }
            | Output::Looked { .. } => {}
        }
    }

    fn answer(&mut self, n: usize) {
        let front = &mut self.fronts[n];
        let Some((conn, line)) = front.lines.pop_front() else {
            return;
        };
        if front.conn != Some(conn) {
            return;
        }
        let orders = command::parse_line(&line)
            .iter()
            .flatten()
            .any(Holding::is_order);
        if orders {
            let window = self.site.channel.message_window.0.micros();
            front.messages.push_back(self.now);
            front.messages.retain(|at| self.now - at <= window);
            self.played.messages_most = self.played.messages_most.max(front.messages.len() as u64);
        }
        for text in front.holding.line(&line) {
            self.events.push_back(Input::Answer {
                proxy: n as u16,
                conn,
                text,
            });
        }
    }

    fn noted(&mut self, event: Event) {
        let played = &mut self.played;
        match event {
            Event::TableChanged { table, lines, .. } => {
                played.table_changes += 1;
                played.lines_changed += lines.len() as u64;
                let held = played.tables.entry(table).or_default();
                for (host, weight) in lines {
                    match weight > 0.0 {
                        true => drop(held.insert(host, weight)),
                        false => drop(held.remove(&host)),
                    }
                }
            }
            Event::Bound { .. } => played.binds += 1,
            Event::LevelChanged { .. } => played.level_changes += 1,
            Event::Ordered { commands, .. } => {
                played.messages += 1;
                played.commands += commands as u64;
            }
            Event::HeldBack { .. } => played.held_back += 1,
            _ => {}
        }
    }

    /// What the rules look at: proxies that are joined and have nothing, or still serve what is to be left alone.
    fn look(&mut self) {
        for front in &mut self.fronts {
            let joined = front.conn.is_some() && !front.messages.is_empty();
            let serves = |backend: &pondarch_proxy_core::holding::Backend| {
                backend.servers.values().any(Server::serves)
            };
            let bare =
                joined && !self.ready.is_empty() && !front.holding.backends.values().all(serves);
            match (bare, front.bare_since) {
                (true, since) => {
                    let since = since.unwrap_or(self.now);
                    front.bare_since = Some(since);
                    let ms = Duration::from_micros(self.now - since).as_millis() as u64;
                    self.played.bare_longest_ms = self.played.bare_longest_ms.max(ms);
                }
                (false, _) => front.bare_since = None,
            }
            if !joined {
                continue;
            }
            let backends = front.holding.backends.values();
            let serving: BTreeSet<&String> = backends
                .flat_map(|backend| backend.servers.iter().filter(|(_, server)| server.serves()))
                .map(|(name, _)| name)
                .collect();
            for (_, since) in self.away.iter().filter(|(name, _)| serving.contains(name)) {
                let ms = (self.now - since) / 1_000;
                self.played.drain_longest_ms = self.played.drain_longest_ms.max(ms);
            }
        }
    }
}

impl Front {
    fn traffic(&mut self, reqs: &[(String, u64)], met: &[Met]) {
        for (name, many) in reqs {
            if let Some(backend) = self.holding.backends.get_mut(name) {
                backend.reqs += many;
            }
        }
        for met in met {
            let backend = self.holding.backends.get_mut(&met.backend);
            let Some(server) = backend.and_then(|backend| backend.servers.get_mut(&met.host))
            else {
                continue;
            };
            server.total += met.done + met.errored;
            server.sums.done += met.done;
            server.sums.errored += met.errored;
            server.sums.done_time += Duration::from_millis(met.done_ms);
        }
    }
}
