//! A simulated fleet in memory, which sends inputs to one controller and carries out its decisions.

use crate::channel::SimulatedChannel;
use pondarch_controller::EndpointList;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{
    AdmissionMode, AttemptOutcomes, CellId, Decision, DeploymentConfig, Endpoint, EndpointState,
    HostId, MachineTypeId, ProxyId, RequestClass, RequestClassId, RetryPolicy, TableId, Time,
    ZoneId,
};
use pondarch_controller::{Controller, DurationExt};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One second in the microseconds of [`SimulatedFleet::now_us`].
pub(crate) const SECOND: u64 = 1_000_000;
/// Time in microseconds after which tables must reflect a change of the endpoint list: less than the shortest grace
/// period of any deployment minus the longest delay of a message.
pub(crate) const MAX_REACTION_US: u64 = SECOND;

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn host(n: usize) -> HostId {
    HostId(format!("host_{n}").into())
}

pub(crate) fn endpoint(n: usize, state: EndpointState, started: Time) -> Endpoint {
    Endpoint {
        host: host(n),
        zone: ZoneId((n % 4) as u16),
        machine_type: MachineTypeId(0),
        cell: CellId((n / 4) as u64),
        weight: 1.0 + (n % 2) as f64,
        started,
        state,
    }
}

/// A deployment with four zones and three request classes.
pub(crate) fn deployment_config(proxies: u64) -> DeploymentConfig {
    let class = |objective_ms, priority_weight| RequestClass {
        latency_objective: ms(objective_ms),
        priority_weight,
        zone_local: false,
    };
    DeploymentConfig {
        request_classes: vec![class(1_000, 1.0), class(800, 5.0), class(600, 3.0)],
        proxy_count: proxies,
        zone_count: 4,
        base_retry_policy: Some(RetryPolicy::Never),
        admission: AdmissionMode::Fraction,
        update_rate: 8_000.0,
        max_queued_lines: 8_000.0,
        message_overhead_lines: 3.0,
        max_messages_per_window: 12,
        message_window: ms(10_000),
        poll_interval: ms(10_000),
        report_interval: ms(1_000),
        initial_capacity: 0.2,
        slow_start_window: ms(18_000),
        cross_zone_cost: 0.06,
        acks_supported: true,
        ..DeploymentConfig::default()
    }
}

/// A proxy as the controller's decisions have configured it.
#[derive(Default)]
pub(crate) struct JoinedProxy {
    /// The table for each set of classes.
    pub tables: BTreeMap<Vec<RequestClassId>, TableId>,
    /// When it was sent messages, in microseconds.
    pub message_times_us: Vec<u64>,
}

/// One controller with its hosts, its proxies and the channel to them.
pub(crate) struct SimulatedFleet {
    pub controller: Controller,
    pub now_us: u64,
    pub timer_at_us: Option<u64>,
    /// Maximum number of messages to a proxy per window.
    pub max_messages: usize,
    /// The current endpoint list.
    pub listed: BTreeMap<HostId, Endpoint>,
    /// The latest start of each host that any list has shown.
    pub latest_start: BTreeMap<HostId, Time>,
    /// When the state or start time of each host last changed on the list.
    pub list_changed_at_us: BTreeMap<HostId, u64>,
    /// The weight of each host in each table.
    pub lines: BTreeMap<(TableId, HostId), f64>,
    pub admission: BTreeMap<(TableId, RequestClassId), (f64, RetryPolicy)>,
    pub proxies: BTreeMap<ProxyId, JoinedProxy>,
    /// Requested health checks.
    pub health_checks: Vec<HostId>,
    /// Number of requested polls of the endpoint list.
    pub polls: usize,
    pub generation: u64,
    channel: SimulatedChannel,
    class_count: usize,
}

impl SimulatedFleet {
    pub(crate) fn new(config: DeploymentConfig, hosts: usize) -> SimulatedFleet {
        let now_us = 100 * SECOND;
        let max_messages = if config.max_messages_per_window == 0 {
            usize::MAX
        } else {
            config.max_messages_per_window as usize
        };
        let class_count = config.request_classes.len();
        let channel = SimulatedChannel {
            configured_rate: config.update_rate,
            rate: config.update_rate,
            message_overhead: config.message_overhead_lines,
            line_limit: config.max_queued_lines,
            ..SimulatedChannel::default()
        };
        let mut fleet = SimulatedFleet {
            controller: Controller::new(config, 7, Time::from_micros(now_us)),
            now_us,
            timer_at_us: None,
            max_messages,
            listed: BTreeMap::new(),
            latest_start: BTreeMap::new(),
            list_changed_at_us: BTreeMap::new(),
            lines: BTreeMap::new(),
            admission: BTreeMap::new(),
            proxies: BTreeMap::new(),
            health_checks: Vec::new(),
            polls: 0,
            generation: 0,
            channel,
            class_count,
        };
        fleet.apply_list(
            true,
            (0..hosts)
                .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
                .collect(),
        );
        fleet
    }

    pub(crate) fn time(&self) -> Time {
        Time::from_micros(self.now_us)
    }

    /// Applies an endpoint list (`complete`) or changes to it.
    pub(crate) fn apply_list(&mut self, complete: bool, entries: Vec<Endpoint>) {
        let before = self.listed.clone();
        if complete {
            self.listed.clear();
        }
        self.listed.extend(
            entries
                .iter()
                .map(|entry| (entry.host.clone(), entry.clone())),
        );
        for entry in &entries {
            let latest = self.latest_start.entry(entry.host.clone()).or_default();
            *latest = (*latest).max(entry.started);
        }
        let state = |list: &BTreeMap<HostId, Endpoint>, id: &HostId| {
            list.get(id)
                .map(|endpoint| (endpoint.state, endpoint.started))
        };
        for id in before.keys().chain(self.listed.keys()) {
            if state(&before, id) != state(&self.listed, id) {
                self.list_changed_at_us.insert(id.clone(), self.now_us);
            }
        }
        self.generation += 1;
        self.controller.apply_endpoint_list(
            self.time(),
            EndpointList {
                generation: self.generation,
                complete,
                endpoints: entries,
            },
        );
        self.carry_out_decisions();
    }

    pub(crate) fn join(&mut self, n: u16, newly_started: bool, usual_rate: f64) {
        self.proxies.insert(ProxyId(n), JoinedProxy::default());
        self.controller.proxy_joined(
            self.time(),
            JoiningProxy {
                id: ProxyId(n),
                zone: ZoneId(n % 4),
                newly_started,
                usual_rate,
            },
        );
        self.carry_out_decisions();
    }

    pub(crate) fn leave(&mut self, n: u16) {
        self.proxies.remove(&ProxyId(n));
        self.controller.proxy_left(self.time(), ProxyId(n));
        self.carry_out_decisions();
    }

    /// Reports attempts at a host over one second, without load.
    pub(crate) fn report_outcomes(
        &mut self,
        n: usize,
        attempts: f64,
        failures: f64,
        latency_ms: u64,
    ) {
        let outcomes = AttemptOutcomes {
            attempts,
            failures,
            mean_latency: ms(latency_ms),
            period: ms(1_000),
            load: None,
        };
        self.controller
            .record_outcomes(self.time(), &host(n), outcomes);
    }

    /// Advances the time, fires the timers that the controller requests, and calls `reports` every second.
    pub(crate) fn run(&mut self, millis: u64, mut reports: impl FnMut(&mut SimulatedFleet)) {
        let end = self.now_us + millis * 1_000;
        while self.now_us < end {
            self.now_us += 50_000;
            for ack in self.channel.advance(0.05) {
                self.controller.on_ack(self.time(), ack);
            }
            if self.now_us.is_multiple_of(SECOND) {
                reports(self);
            }
            if self.timer_at_us.is_some_and(|at| at <= self.now_us) {
                self.timer_at_us = None;
                self.controller.on_timer(self.time());
            }
            self.carry_out_decisions();
        }
    }

    /// Carries out all pending decisions of the controller and sends one message to each proxy concerned.
    pub(crate) fn carry_out_decisions(&mut self) {
        let mut lines: BTreeMap<ProxyId, usize> = BTreeMap::new();
        let mut requested_ack = None;
        while let Some(decision) = self.controller.next_decision(self.time()) {
            match decision {
                Decision::SetWeight {
                    table,
                    host,
                    weight,
                } => {
                    self.count_lines(&mut lines, table);
                    self.set_weight(table, host, weight);
                }
                Decision::BindProxy {
                    proxy,
                    table,
                    classes,
                } => {
                    *lines.entry(proxy).or_default() += self.bind(proxy, table, classes);
                }
                Decision::SetAdmissionRate {
                    table,
                    class,
                    quota,
                    retry_policy,
                } => {
                    self.count_lines(&mut lines, table);
                    assert!(quota.is_finite() && quota >= 0.0, "invalid quota {quota}");
                    self.admission.insert((table, class), (quota, retry_policy));
                }
                Decision::RequestAck(ack) => requested_ack = Some(ack),
                Decision::CheckHealth(host) => self.health_checks.push(host),
                Decision::WatchEndpoints => self.polls += 1,
                Decision::SetTimer(delay) => self.timer_at_us = Some(self.now_us + delay.micros()),
            }
        }
        for (proxy, lines) in lines {
            let joined = self.proxies.get_mut(&proxy).expect("joined");
            joined.message_times_us.push(self.now_us);
            let acks = f64::from(u8::from(requested_ack.is_some()));
            let lines = lines as f64 + acks + self.channel.message_overhead;
            self.channel.send(lines, requested_ack);
        }
    }

    /// Adds one line for each proxy of a table.
    fn count_lines(&self, lines: &mut BTreeMap<ProxyId, usize>, table: TableId) {
        for (&id, proxy) in &self.proxies {
            if proxy.tables.values().any(|used| *used == table) {
                *lines.entry(id).or_default() += 1;
            }
        }
    }

    fn set_weight(&mut self, table: TableId, host: HostId, weight: Option<f64>) {
        match weight {
            Some(weight) => {
                assert!(
                    weight.is_finite() && weight > 0.0,
                    "invalid weight {weight}"
                );
                self.lines.insert((table, host), weight);
            }
            None => {
                self.lines.remove(&(table, host));
            }
        }
    }

    /// Binds a proxy and returns the number of lines sent for it.
    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: Vec<RequestClassId>) -> usize {
        let members = self.lines.keys().filter(|(of, _)| *of == table).count();
        let joined = self.proxies.get_mut(&proxy);
        let joined = joined.expect("only joined proxies are bound");
        joined.tables.insert(classes, table);
        members + self.class_count + 1
    }

    /// Sets the rate of the channel to a fraction of its configured rate.
    pub(crate) fn set_channel_rate(&mut self, fraction: f64) {
        self.channel.rate = self.channel.configured_rate * fraction;
    }

    /// Sets whether acknowledgements are lost.
    pub(crate) fn set_acks_lost(&mut self, acks_lost: bool) {
        self.channel.acks_lost = acks_lost;
    }

    /// Returns the time until a message sent now has left the channel.
    pub(crate) fn queue_delay_s(&self) -> f64 {
        self.channel.queued / self.channel.rate
    }

    /// Returns the number of lines given to the channel since the start.
    pub(crate) fn submitted_lines(&self) -> f64 {
        self.channel.sent + self.channel.queued
    }

    /// Returns the tables that proxies are bound to.
    pub(crate) fn used_tables(&self) -> BTreeSet<TableId> {
        self.proxies
            .values()
            .flat_map(|proxy| proxy.tables.values())
            .copied()
            .collect()
    }

    /// Returns whether a host is in no table in use.
    pub(crate) fn is_unused(&self, n: usize) -> bool {
        !self
            .used_tables()
            .iter()
            .any(|table| self.lines.contains_key(&(*table, host(n))))
    }

    pub(crate) fn hosts_of(&self, table: TableId) -> BTreeSet<HostId> {
        let lines = self.lines.keys().filter(|(of, _)| *of == table);
        lines.map(|(_, host)| host.clone()).collect()
    }

    /// Returns the number of hosts in the smallest table in use.
    pub(crate) fn min_table_size(&self) -> usize {
        self.used_tables()
            .into_iter()
            .map(|table| self.hosts_of(table).len())
            .min()
            .unwrap_or(0)
    }

    pub(crate) fn is_warm(&self, host: &Endpoint) -> bool {
        host.state == EndpointState::Ready
            && (host.started.is_unset() || self.time() - host.started >= ms(18_000))
    }

    /// Returns whether the list entry of a host is old enough that the tables must reflect it.
    pub(crate) fn must_be_reflected(&self, host: &HostId) -> bool {
        self.now_us - self.list_changed_at_us.get(host).copied().unwrap_or(0) > MAX_REACTION_US
    }

    /// Returns the maximum number of queued lines so far, as a fraction of the limit.
    pub(crate) fn max_queue_utilization(&self) -> f64 {
        self.channel.max_queued / self.channel.line_limit
    }
}

/// A fleet of 12 hosts and 8 proxies.
pub(crate) fn small_fleet(config: DeploymentConfig) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(config, 12);
    (0..8).for_each(|n| fleet.join(n, true, 6.0));
    fleet
}

/// Restarts all hosts of the small fleet, so that cold ones must be in tables.
pub(crate) fn restart_all_hosts(fleet: &mut SimulatedFleet) {
    let restarted = (0..12).map(|n| endpoint(n, EndpointState::Ready, fleet.time()));
    fleet.apply_list(false, restarted.collect());
}

/// Reports that all hosts of the small fleet serve all requests.
pub(crate) fn report_all_healthy(fleet: &mut SimulatedFleet) {
    report_all_except(fleet, &[]);
}

/// Reports healthy hosts of the small fleet except for `unreported` ones, and requests at all proxies.
pub(crate) fn report_all_except(fleet: &mut SimulatedFleet, unreported: &[usize]) {
    (0..12)
        .filter(|n| !unreported.contains(n))
        .for_each(|n| fleet.report_outcomes(n, 8.0, 0.0, 200));
    for n in 0..8 {
        for (class, requests) in [6.0, 5.0, 1.0].into_iter().enumerate() {
            fleet.controller.record_arrivals(
                fleet.time(),
                ProxyId(n),
                RequestClassId(class as u8),
                requests,
                ms(1_000),
            );
        }
    }
}
