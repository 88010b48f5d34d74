//! A scenario given to a core, with proxies that do what they are ordered: what would it have decided with other settings,
//! or with another seed? Hosts do what they did then; where a proxy no longer has a host that it used, what that host
//! did is left out, and its other hosts are not made busier by it.

use super::result::WhatIfResult;
use super::scenario::{ExternalInput, Scenario};
use super::simulated_proxy::{SentLine, SimulatedProxy};
use crate::error::ReplayError;
use pondarch_config::hosts::HostState;
use pondarch_config::{HostEntry, SiteSettings, site_from_json};
use pondarch_controller::{DurationExt, ProxyId, RequestClassId, Time};
use pondarch_daemon_core::{Core, Input, Output};
use pondarch_proxy_core::proxy_state::{ProxyState, Server};
use pondarch_runtime_api::AdminState;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// What the replay goes on for after the last input.
const AFTER_LAST_INPUT_US: u64 = 1_000_000;
/// Hosts in a table of a proxy that starts with tables of its own.
const INITIAL_TABLE_HOSTS: usize = 4;
/// Why a connection ends that ended in the scenario.
const DISCONNECT_REASON: &str = "as recorded";

/// Replays a scenario with its own settings, or with others that name the same proxies.
///
/// # Errors
///
/// The scenario's settings are not valid, or the others lack a proxy of the scenario.
pub fn replay_scenario(
    scenario: &Scenario,
    other: Option<&SiteSettings>,
    seed: u64,
) -> Result<WhatIfResult, ReplayError> {
    let own = site_from_json(&scenario.settings).map_err(ReplayError::Settings)?;
    let site = other.cloned().unwrap_or_else(|| own.clone());
    let proxies = proxy_numbers(&own, &site)?;
    let mut player = Player::new(site, seed, scenario.at_us);
    for event in &scenario.events {
        player.run_until(scenario.at_us + event.after_us);
        player.apply(&event.input, &proxies);
    }
    player.run_until(player.now_us + AFTER_LAST_INPUT_US);
    Ok(player.result)
}

/// The number in the settings of each proxy of the scenario, found by its name.
fn proxy_numbers(
    scenario: &SiteSettings,
    settings: &SiteSettings,
) -> Result<Vec<u16>, ReplayError> {
    let number_of = |name: &String| {
        settings
            .proxies
            .iter()
            .position(|proxy| proxy.name == *name)
            .map(|number| number as u16)
            .ok_or_else(|| ReplayError::NoProxy(name.clone()))
    };
    scenario
        .proxies
        .iter()
        .map(|proxy| number_of(&proxy.name))
        .collect()
}

/// A core and the proxies that it talks to, in simulated time.
struct Player {
    core: Core,
    site: SiteSettings,
    now_us: u64,
    proxies: Vec<SimulatedProxy>,
    /// Hosts that the list says to be ready.
    ready: BTreeMap<String, SocketAddr>,
    /// Since when a host that was ready is no longer.
    not_ready_since: BTreeMap<String, u64>,
    /// Inputs that follow from outputs.
    pending: VecDeque<Input>,
    result: WhatIfResult,
}

impl Player {
    fn new(site: SiteSettings, seed: u64, at_us: u64) -> Player {
        let backends: Vec<String> = site
            .request_classes
            .iter()
            .map(|kind| kind.backend().to_string())
            .collect();
        let backends: Vec<&str> = backends.iter().map(String::as_str).collect();
        let proxy = |(number, proxy): (usize, &pondarch_config::site::ProxyEntry)| {
            SimulatedProxy::new(ProxyState::new(&proxy.name, number as u64 + 1, &backends))
        };
        let proxies = site.proxies.iter().enumerate().map(proxy).collect();
        Player {
            core: Core::new(&site, seed, 0, at_us, Time::from_micros(at_us)),
            site,
            now_us: at_us,
            proxies,
            ready: BTreeMap::new(),
            not_ready_since: BTreeMap::new(),
            pending: VecDeque::new(),
            result: WhatIfResult::default(),
        }
    }

    fn apply(&mut self, input: &ExternalInput, proxies: &[u16]) {
        let number_of = |proxy: u16| proxies.get(usize::from(proxy)).copied();
        match input {
            ExternalInput::RecoveredState(state) => self.give(Input::Recovered(state.clone())),
            ExternalInput::EndpointList { generation, hosts } => {
                self.apply_list(hosts);
                self.give(Input::EndpointList {
                    generation: *generation,
                    hosts: hosts.clone(),
                });
            }
            ExternalInput::ProxyReachable { proxy, reachable } => {
                let Some(proxy) = number_of(*proxy) else {
                    return;
                };
                self.apply_reachable(proxy, *reachable);
            }
            ExternalInput::ProxyTraffic {
                proxy,
                requests,
                attempts,
            } => {
                let Some(proxy) = number_of(*proxy) else {
                    return;
                };
                self.proxies[usize::from(proxy)].apply_traffic(requests, attempts);
            }
            ExternalInput::HealthCheckCompleted {
                host,
                for_load,
                healthy,
                load,
            } => self.give(Input::HealthCheckCompleted {
                host: host.clone(),
                for_load: *for_load,
                healthy: *healthy,
                load: *load,
            }),
            ExternalInput::DnsQueried { proxy } => {
                self.apply_dns_query(*proxy, proxy.and_then(number_of));
            }
            ExternalInput::OperatorCommand { level, line } => self.give(Input::Command {
                caller: 0,
                level: *level,
                line: line.clone(),
            }),
        }
        self.settle();
    }

    /// Follows which hosts are ready. With the first list, proxies get tables that they hold at their start: the first
    /// hosts listed.
    fn apply_list(&mut self, hosts: &[HostEntry]) {
        let is_first = self.ready.is_empty();
        let before = std::mem::take(&mut self.ready);
        self.ready = hosts
            .iter()
            .filter(|host| host.state == HostState::Ready)
            .map(|host| (host.name.clone(), host.address))
            .collect();
        for name in before.keys().filter(|name| !self.ready.contains_key(*name)) {
            let since = self.not_ready_since.entry(name.clone());
            since.or_insert(self.now_us);
        }
        self.not_ready_since
            .retain(|name, _| !self.ready.contains_key(name));
        if is_first {
            self.give_initial_tables();
        }
    }

    fn give_initial_tables(&mut self) {
        let ready = &self.ready;
        let all = ready.len().max(1);
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            let hosts = ready.iter().cycle().skip(number % all);
            let table: BTreeMap<String, SocketAddr> = hosts
                .take(INITIAL_TABLE_HOSTS.min(all))
                .map(|(name, address)| (name.clone(), *address))
                .collect();
            for backend in proxy.proxy_state.backends.values_mut() {
                let servers = table.iter().map(|(name, address)| {
                    (name.clone(), Server::new(*address, 100, AdminState::Ready))
                });
                backend.servers.extend(servers);
            }
        }
    }

    fn apply_reachable(&mut self, number: u16, reachable: bool) {
        let proxy = &mut self.proxies[usize::from(number)];
        proxy.reachable = reachable;
        proxy.lines.clear();
        if let Some(connection) = proxy.connection.take().filter(|_| !reachable) {
            self.give(Input::Disconnected {
                proxy: number,
                connection,
                reason: DISCONNECT_REASON.into(),
            });
        }
    }

    /// A query by this proxy of the scenario, which has this number in the settings.
    fn apply_dns_query(&mut self, recorded: Option<u16>, proxy: Option<u16>) {
        let view = self.core.dns_view();
        let key = u64::from(recorded.unwrap_or(0));
        let proxy = proxy.map(ProxyId);
        let table = view
            .table_of(proxy, RequestClassId(0), key)
            .map(|table| table.0);
        let proxy = proxy.or_else(|| view.anonymous_proxy(key)).map(|id| id.0);
        self.give(Input::DnsQueried {
            proxy,
            table,
            serial: view.serial,
        });
    }

    /// Lets time pass; the timers that the core set in between expire.
    fn run_until(&mut self, until_us: u64) {
        self.settle();
        loop {
            let timer_us = (self.core.wake_at() - Time::default())
                .micros()
                .max(self.now_us + 1);
            if timer_us > until_us {
                break;
            }
            self.now_us = timer_us;
            self.give(Input::TimerExpired);
            self.settle();
        }
        self.now_us = self.now_us.max(until_us);
    }

    /// Handles pending inputs and proxies' answers until there are no more.
    fn settle(&mut self) {
        loop {
            if let Some(input) = self.pending.pop_front() {
                self.give(input);
                continue;
            }
            let Some(number) = self
                .proxies
                .iter()
                .position(|proxy| !proxy.lines.is_empty())
            else {
                break;
            };
            self.answer_line(number);
        }
        self.measure();
    }

    fn give(&mut self, input: Input) {
        self.core.handle(Time::from_micros(self.now_us), input);
        while let Some(output) = self.core.next_output() {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Dial { proxy, connection } => self.connect(proxy, connection),
            Output::Write {
                proxy,
                connection,
                lines,
            } => {
                let Some(proxy) = self.proxies.get_mut(usize::from(proxy)) else {
                    return;
                };
                let lines = lines.into_iter().map(|line| SentLine { connection, line });
                proxy.lines.extend(lines);
            }
            Output::HangUp { proxy, connection } => {
                if let Some(proxy) = self.proxies.get_mut(usize::from(proxy)) {
                    proxy.hang_up(connection);
                }
            }
            Output::Solve { number, fleet } => {
                let plan = pondarch_weight_solver::solve(&fleet, Default::default())
                    .map_err(|error| error.to_string());
                self.pending.push_back(Input::Solved { number, plan });
            }
            Output::Event(event) => self.result.count(event),
            // Health checks were answered as recorded, at their recorded times.
            Output::CheckHealth { .. }
            | Output::DnsViewChanged { .. }
            | Output::NotifySecondary { .. }
            | Output::Reply { .. }
            | Output::GrantCredit { .. }
            | Output::RejectSender { .. }
            | Output::LoadReportsApplied { .. } => {}
        }
    }

    fn connect(&mut self, number: u16, connection: u64) {
        let Some(proxy) = self.proxies.get_mut(usize::from(number)) else {
            return;
        };
        proxy.connection = proxy.reachable.then_some(connection);
        self.pending.push_back(if proxy.reachable {
            Input::Connected {
                proxy: number,
                connection,
            }
        } else {
            Input::Disconnected {
                proxy: number,
                connection,
                reason: DISCONNECT_REASON.into(),
            }
        });
    }

    fn answer_line(&mut self, number: usize) {
        let proxy = &mut self.proxies[number];
        let Some(SentLine { connection, line }) = proxy.lines.pop_front() else {
            return;
        };
        if proxy.connection != Some(connection) {
            return;
        }
        let window_us = self.site.update_channel.message_window.0.micros();
        let messages = proxy.record_message(self.now_us, &line, window_us);
        self.result.max_messages = self.result.max_messages.max(messages);
        for text in proxy.proxy_state.execute_line(&line) {
            self.pending.push_back(Input::Answer {
                proxy: number as u16,
                connection,
                text,
            });
        }
    }

    /// Measures proxies that have joined and serve from no host, or still serve from one that is not ready.
    fn measure(&mut self) {
        for proxy in &mut self.proxies {
            let has_joined = proxy.has_joined();
            if has_joined && !self.ready.is_empty() && !proxy.all_backends_serve() {
                let since = *proxy.without_host_since.get_or_insert(self.now_us);
                let ms = Duration::from_micros(self.now_us - since).as_millis() as u64;
                self.result.max_without_host_ms = self.result.max_without_host_ms.max(ms);
            } else {
                proxy.without_host_since = None;
            }
            if !has_joined {
                continue;
            }
            let serving = proxy.serving_hosts();
            for (_, since) in self
                .not_ready_since
                .iter()
                .filter(|(name, _)| serving.contains(name))
            {
                let ms = (self.now_us - since) / 1_000;
                self.result.max_drain_ms = self.result.max_drain_ms.max(ms);
            }
        }
    }
}
