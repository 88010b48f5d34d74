//! Replays a scenario through a core with simulated proxies, to show what it would have decided with other settings or
//! another seed. Hosts behave as recorded. Traffic of a proxy to a host that it no longer has is left out; it is not
//! added to the other hosts of that proxy.

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

/// Time that the replay continues after the last input.
const AFTER_LAST_INPUT_US: u64 = 1_000_000;
/// Number of hosts in the initial tables of the simulated proxies.
const INITIAL_TABLE_HOSTS: usize = 4;
/// Reason given for a connection that ends because the scenario says so.
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
    let mut replayer = ScenarioReplayer::new(site, seed, scenario.at_us);
    for event in &scenario.events {
        replayer.run_until(scenario.at_us + event.after_us);
        replayer.apply(&event.input, &proxies);
    }
    replayer.run_until(replayer.now_us + AFTER_LAST_INPUT_US);
    Ok(replayer.result)
}

/// Maps the number of each proxy in the scenario to its number in the settings, by name.
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

/// A core and its simulated proxies, in simulated time.
struct ScenarioReplayer {
    core: Core,
    site: SiteSettings,
    now_us: u64,
    proxies: Vec<SimulatedProxy>,
    /// Addresses of the hosts that the endpoint list has as ready.
    ready: BTreeMap<String, SocketAddr>,
    /// The time at which a host that was ready ceased to be, in microseconds.
    not_ready_since: BTreeMap<String, u64>,
    /// Inputs that result from outputs and are not handled yet.
    pending: VecDeque<Input>,
    result: WhatIfResult,
}

impl ScenarioReplayer {
    fn new(site: SiteSettings, seed: u64, at_us: u64) -> ScenarioReplayer {
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
        ScenarioReplayer {
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
            ExternalInput::RecoveredState(state) => {
                self.handle_input(Input::Recovered(state.clone()))
            }
            ExternalInput::EndpointList { generation, hosts } => {
                self.apply_list(hosts);
                self.handle_input(Input::EndpointList {
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
            } => self.handle_input(Input::HealthCheckCompleted {
                host: host.clone(),
                for_load: *for_load,
                healthy: *healthy,
                load: *load,
            }),
            ExternalInput::DnsQueried { proxy } => {
                self.apply_dns_query(*proxy, proxy.and_then(number_of));
            }
            ExternalInput::OperatorCommand { level, line } => self.handle_input(Input::Command {
                caller: 0,
                level: *level,
                line: line.clone(),
            }),
        }
        self.process_pending();
    }

    /// Tracks which hosts are ready. If none was ready before, as with the first list, the proxies get initial tables.
    fn apply_list(&mut self, hosts: &[HostEntry]) {
        let had_no_ready_hosts = self.ready.is_empty();
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
        if had_no_ready_hosts {
            self.fill_initial_tables();
        }
    }

    /// Fills the table of each proxy with ready hosts in order of name, starting at a different host for each proxy.
    fn fill_initial_tables(&mut self) {
        let ready = &self.ready;
        let host_count = ready.len().max(1);
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            let hosts = ready.iter().cycle().skip(number % host_count);
            let table: BTreeMap<String, SocketAddr> = hosts
                .take(INITIAL_TABLE_HOSTS.min(host_count))
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
            self.handle_input(Input::Disconnected {
                proxy: number,
                connection,
                reason: DISCONNECT_REASON.into(),
            });
        }
    }

    /// Applies a DNS query by the proxy with number `recorded` in the scenario and number `proxy` in the settings.
    fn apply_dns_query(&mut self, recorded: Option<u16>, proxy: Option<u16>) {
        let view = self.core.dns_view();
        let key = u64::from(recorded.unwrap_or(0));
        let proxy = proxy.map(ProxyId);
        let table = view
            .table_of(proxy, RequestClassId(0), key)
            .map(|table| table.0);
        let proxy = proxy.or_else(|| view.anonymous_proxy(key)).map(|id| id.0);
        self.handle_input(Input::DnsQueried {
            proxy,
            table,
            serial: view.serial,
        });
    }

    /// Advances the time, and expires the timers that are due by then.
    fn run_until(&mut self, until_us: u64) {
        self.process_pending();
        loop {
            let timer_us = (self.core.wake_at() - Time::default())
                .micros()
                .max(self.now_us + 1);
            if timer_us > until_us {
                break;
            }
            self.now_us = timer_us;
            self.handle_input(Input::TimerExpired);
            self.process_pending();
        }
        self.now_us = self.now_us.max(until_us);
    }

    /// Handles pending inputs and command lines until there are none left.
    fn process_pending(&mut self) {
        loop {
            if let Some(input) = self.pending.pop_front() {
                self.handle_input(input);
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
        self.update_durations();
    }

    fn handle_input(&mut self, input: Input) {
        self.core.handle(Time::from_micros(self.now_us), input);
        while let Some(output) = self.core.next_output() {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
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
                    proxy.close_connection(connection);
                }
            }
            Output::Solve { number, fleet } => {
                let plan = pondarch_weight_solver::solve(&fleet, Default::default())
                    .map_err(|error| error.to_string());
                self.pending.push_back(Input::Solved { number, plan });
            }
            Output::Event(event) => self.result.add_event(event),
            // The results of health checks are inputs of the scenario, at their recorded times.
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
        let messages = proxy.count_message(self.now_us, &line, window_us);
        self.result.max_messages = self.result.max_messages.max(messages);
        for text in proxy.proxy_state.execute_line(&line) {
            self.pending.push_back(Input::Answer {
                proxy: number as u16,
                connection,
                text,
            });
        }
    }

    /// Updates how long a joined proxy has had a backend without a serving host, or has still served from a host that
    /// is not ready.
    fn update_durations(&mut self) {
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
