//! A simulated fleet in memory: feeds one controller and carries out its decisions.

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

pub(crate) const SECOND: u64 = 1_000_000;
/// Less than the shortest grace of any site less the longest way of a message.
pub(crate) const GRACE: u64 = SECOND;

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
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

pub(crate) fn deployment(proxies: u64) -> DeploymentConfig {
    let class = |target, priority_weight| RequestClass {
        latency_objective: ms(target),
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

#[derive(Default)]
pub(crate) struct JoinedProxy {
    pub tables: BTreeMap<Vec<RequestClassId>, TableId>,
    pub messages: Vec<u64>,
}

/// The world as the controller's decisions make it.
pub(crate) struct SimulatedFleet {
    pub controller: Controller,
    pub now: u64,
    pub wake: Option<u64>,
    pub cap: usize,
    pub listed: BTreeMap<HostId, Endpoint>,
    pub listed_at: BTreeMap<HostId, u64>,
    pub lines: BTreeMap<(TableId, HostId), f64>,
    pub admission: BTreeMap<(TableId, RequestClassId), (f64, RetryPolicy)>,
    pub proxies: BTreeMap<ProxyId, JoinedProxy>,
    pub health_checks: Vec<HostId>,
    pub polls: usize,
    pub version: u64,
    channel: SimulatedChannel,
    class_count: usize,
}

impl SimulatedFleet {
    pub(crate) fn new(deployment: DeploymentConfig, hosts: usize) -> SimulatedFleet {
        let now = 100 * SECOND;
        let cap = if deployment.max_messages_per_window == 0 {
            usize::MAX
        } else {
            deployment.max_messages_per_window as usize
        };
        let class_count = deployment.request_classes.len();
        let channel = SimulatedChannel {
            configured_rate: deployment.update_rate,
            rate: deployment.update_rate,
            head: deployment.message_overhead_lines,
            most: deployment.max_queued_lines,
            ..SimulatedChannel::default()
        };
        let mut fleet = SimulatedFleet {
            controller: Controller::new(deployment, 7, Time::from_micros(now)),
            now,
            wake: None,
            cap,
            listed: BTreeMap::new(),
            listed_at: BTreeMap::new(),
            lines: BTreeMap::new(),
            admission: BTreeMap::new(),
            proxies: BTreeMap::new(),
            health_checks: Vec::new(),
            polls: 0,
            version: 0,
            channel,
            class_count,
        };
        fleet.list(
            true,
            (0..hosts)
                .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
                .collect(),
        );
        fleet
    }

    pub(crate) fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    pub(crate) fn list(&mut self, complete: bool, entries: Vec<Endpoint>) {
        let before = self.listed.clone();
        if complete {
            self.listed.clear();
        }
        self.listed.extend(
            entries
                .iter()
                .map(|entry| (entry.host.clone(), entry.clone())),
        );
        let state =
            |of: &BTreeMap<HostId, Endpoint>, id: &HostId| of.get(id).map(|h| (h.state, h.started));
        for id in before.keys().chain(self.listed.keys()) {
            if state(&before, id) != state(&self.listed, id) {
                self.listed_at.insert(id.clone(), self.now);
            }
        }
        self.version += 1;
        self.controller.apply_endpoint_list(
            self.time(),
            EndpointList {
                generation: self.version,
                complete,
                endpoints: entries,
            },
        );
        self.carry_out_decisions();
    }

    pub(crate) fn join(&mut self, n: u16, fresh: bool, usual: f64) {
        self.proxies.insert(ProxyId(n), JoinedProxy::default());
        self.controller.proxy_joined(
            self.time(),
            JoiningProxy {
                id: ProxyId(n),
                zone: ZoneId(n % 4),
                newly_started: fresh,
                usual_rate: usual,
            },
        );
        self.carry_out_decisions();
    }

    pub(crate) fn leave(&mut self, n: u16) {
        self.proxies.remove(&ProxyId(n));
        self.controller.proxy_left(self.time(), ProxyId(n));
        self.carry_out_decisions();
    }

    pub(crate) fn report_outcomes(&mut self, n: usize, attempts: f64, failures: f64, mean: u64) {
        let report_outcomes = AttemptOutcomes {
            attempts,
            failures,
            mean_latency: ms(mean),
            period: ms(1_000),
            load: None,
        };
        self.controller
            .record_outcomes(self.time(), &host(n), report_outcomes);
    }

    /// Time goes on, with the wakes that the controller polls for and, every second, reports as `reports` tells them.
    pub(crate) fn run(&mut self, millis: u64, mut reports: impl FnMut(&mut SimulatedFleet)) {
        let end = self.now + millis * 1_000;
        while self.now < end {
            self.now += 50_000;
            for ack in self.channel.run(0.05) {
                self.controller.on_ack(self.time(), ack);
            }
            if self.now.is_multiple_of(SECOND) {
                reports(self);
            }
            if self.wake.is_some_and(|at| at <= self.now) {
                self.wake = None;
                self.controller.on_timer(self.time());
            }
            self.carry_out_decisions();
        }
    }

    /// Carries out all that the controller decides now; each proxy that it concerns is sent one message.
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
                    assert!(quota.is_finite() && quota >= 0.0, "a quota of {quota}");
                    self.admission.insert((table, class), (quota, retry_policy));
                }
                Decision::RequestAck(ack) => requested_ack = Some(ack),
                Decision::CheckHealth(host) => self.health_checks.push(host),
                Decision::WatchEndpoints => self.polls += 1,
                Decision::SetTimer(delay) => self.wake = Some(self.now + delay.micros()),
            }
        }
        for (proxy, lines) in lines {
            let joined = self.proxies.get_mut(&proxy).expect("joined");
            joined.messages.push(self.now);
            let acks = f64::from(u8::from(requested_ack.is_some()));
            let lines = lines as f64 + acks + self.channel.head;
            self.channel.send(lines, requested_ack);
        }
    }

    /// One line more for each proxy of a table.
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
                assert!(weight.is_finite() && weight > 0.0, "a weight of {weight}");
                self.lines.insert((table, host), weight);
            }
            None => {
                self.lines.remove(&(table, host));
            }
        }
    }

    /// Binds a proxy; gives the lines that this costs.
    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: Vec<RequestClassId>) -> usize {
        let members = self.lines.keys().filter(|(t, _)| *t == table).count();
        let joined = self.proxies.get_mut(&proxy);
        let joined = joined.expect("only joined proxies are bound");
        joined.tables.insert(classes, table);
        members + self.class_count + 1
    }

    /// From now on the channel sends at this part of its stated rate.
    pub(crate) fn slow_channel_to(&mut self, part: f64) {
        self.channel.rate = self.channel.configured_rate * part;
    }

    /// Whether answers to acks are lost from now on.
    pub(crate) fn lose_acks(&mut self, lost: bool) {
        self.channel.loses_acks = lost;
    }

    /// How long a message that is sent now takes to leave the channel.
    pub(crate) fn queue_seconds(&self) -> f64 {
        self.channel.waiting / self.channel.rate
    }

    /// Lines that the channel was given since the start.
    pub(crate) fn lines_ordered(&self) -> f64 {
        self.channel.sent + self.channel.waiting
    }

    pub(crate) fn used(&self) -> BTreeSet<TableId> {
        self.proxies
            .values()
            .flat_map(|p| p.tables.values())
            .copied()
            .collect()
    }

    /// Whether no table in use names a host.
    pub(crate) fn is_unused(&self, n: usize) -> bool {
        !self
            .used()
            .iter()
            .any(|table| self.lines.contains_key(&(*table, host(n))))
    }

    pub(crate) fn hosts_of(&self, table: TableId) -> BTreeSet<HostId> {
        let open = self.lines.keys().filter(|(t, _)| *t == table);
        open.map(|(_, host)| host.clone()).collect()
    }

    /// Hosts of the table in use that has the fewest.
    pub(crate) fn smallest_table(&self) -> usize {
        self.used()
            .into_iter()
            .map(|table| self.hosts_of(table).len())
            .min()
            .unwrap_or(0)
    }

    pub(crate) fn is_warm(&self, host: &Endpoint) -> bool {
        host.state == EndpointState::Ready
            && (host.started.is_unset() || self.time() - host.started >= ms(18_000))
    }

    /// Whether what the list says of a host is old enough that its proxies must go by it.
    pub(crate) fn is_due(&self, host: &HostId) -> bool {
        self.now - self.listed_at.get(host).copied().unwrap_or(0) > GRACE
    }

    /// The most lines that ever waited, in parts of how many may.
    pub(crate) fn max_queue_use(&self) -> f64 {
        self.channel.max_waiting / self.channel.most
    }
}

pub(crate) fn fleet_with(deployment: DeploymentConfig) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(deployment, 12);
    (0..8).for_each(|n| fleet.join(n, true, 6.0));
    fleet
}

pub(crate) fn all_healthy(fleet: &mut SimulatedFleet) {
    reports_but(fleet, &[]);
}

pub(crate) fn reports_but(fleet: &mut SimulatedFleet, missing: &[usize]) {
    (0..12)
        .filter(|n| !missing.contains(n))
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
