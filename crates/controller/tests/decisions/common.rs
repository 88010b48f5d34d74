//! A stand-in for the surroundings of one steward: feeds it, carries out its rulings, and knows what would break a
//! rule.

use pondarch_controller::EndpointList;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{
    AckId, AdmissionMode, AttemptOutcomes, CellId, Decision, DeploymentConfig, Endpoint,
    EndpointState, HostId, MachineTypeId, ProxyId, RequestClass, RequestClassId, RetryPolicy,
    TableId, Time, ZoneId,
};
use pondarch_controller::{Controller, DurationExt};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
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

pub(crate) fn listing(n: usize, standing: EndpointState, started: Time) -> Endpoint {
    Endpoint {
        host: host(n),
        zone: ZoneId((n % 4) as u16),
        machine_type: MachineTypeId(0),
        cell: CellId((n / 4) as u64),
        weight: 1.0 + (n % 2) as f64,
        started,
        state: standing,
    }
}

pub(crate) fn ticket(proxies: u64) -> DeploymentConfig {
    let kind = |target, benefit| RequestClass {
        latency_objective: ms(target),
        priority_weight: benefit,
        zone_local: false,
    };
    DeploymentConfig {
        request_classes: vec![kind(1_000, 1.0), kind(800, 5.0), kind(600, 3.0)],
        proxy_count: proxies,
        zone_count: 4,
        base_retry_policy: Some(RetryPolicy::Never),
        admission: AdmissionMode::Share,
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
pub(crate) struct Joined {
    pub tables: BTreeMap<Vec<RequestClassId>, TableId>,
    pub messages: Vec<u64>,
}

/// The world as the steward's rulings make it.
pub(crate) struct Shop {
    pub steward: Controller,
    pub now: u64,
    pub wake: Option<u64>,
    pub cap: usize,
    pub listed: BTreeMap<HostId, Endpoint>,
    pub told_at: BTreeMap<HostId, u64>,
    pub lines: BTreeMap<(TableId, HostId), f64>,
    pub levels: BTreeMap<(TableId, RequestClassId), (f64, RetryPolicy)>,
    pub proxies: BTreeMap<ProxyId, Joined>,
    pub probes: Vec<HostId>,
    pub asked: usize,
    pub version: u64,
    channel: Channel,
    kinds: usize,
}

/// Lines on their way to proxies, by the ticket's figures.
#[derive(Default)]
struct Channel {
    stated_rate: f64,
    rate: f64,
    loses_marks: bool,
    head: f64,
    most: f64,
    waiting: f64,
    most_seen: f64,
    sent: f64,
    /// Marked messages, each with the lines that are sent once it is.
    marked: VecDeque<(f64, AckId)>,
}

impl Channel {
    fn send(&mut self, lines: f64, mark: Option<AckId>) {
        self.waiting += lines;
        self.marked
            .extend(mark.map(|mark| (self.sent + self.waiting, mark)));
        self.most_seen = self.most_seen.max(self.waiting);
    }

    /// Goes on for so long; gives the marks of the messages that went out.
    fn run(&mut self, seconds: f64) -> Vec<AckId> {
        let sent = (self.rate * seconds).min(self.waiting);
        self.waiting -= sent;
        self.sent += sent;
        let out = self
            .marked
            .iter()
            .take_while(|(lines, _)| *lines <= self.sent + 1e-6)
            .count();
        let marks = self.marked.drain(..out).map(|(_, mark)| mark);
        if self.loses_marks {
            Vec::new()
        } else {
            marks.collect()
        }
    }
}

impl Shop {
    pub(crate) fn open(ticket: DeploymentConfig, hosts: usize) -> Shop {
        let now = 100 * SECOND;
        let cap = if ticket.max_messages_per_window == 0 {
            usize::MAX
        } else {
            ticket.max_messages_per_window as usize
        };
        let kinds = ticket.request_classes.len();
        let channel = Channel {
            stated_rate: ticket.update_rate,
            rate: ticket.update_rate,
            head: ticket.message_overhead_lines,
            most: ticket.max_queued_lines,
            ..Channel::default()
        };
        let mut shop = Shop {
            steward: Controller::new(ticket, 7, Time::from_micros(now)),
            now,
            wake: None,
            cap,
            listed: BTreeMap::new(),
            told_at: BTreeMap::new(),
            lines: BTreeMap::new(),
            levels: BTreeMap::new(),
            proxies: BTreeMap::new(),
            probes: Vec::new(),
            asked: 0,
            version: 0,
            channel,
            kinds,
        };
        shop.list(
            true,
            (0..hosts)
                .map(|n| listing(n, EndpointState::Ready, Time::default()))
                .collect(),
        );
        shop
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
                self.told_at.insert(id.clone(), self.now);
            }
        }
        self.version += 1;
        self.steward.apply_endpoint_list(
            self.time(),
            EndpointList {
                generation: self.version,
                complete,
                endpoints: entries,
            },
        );
        self.pull();
    }

    pub(crate) fn join(&mut self, n: u16, fresh: bool, usual: f64) {
        self.proxies.insert(ProxyId(n), Joined::default());
        self.steward.proxy_joined(
            self.time(),
            JoiningProxy {
                id: ProxyId(n),
                zone: ZoneId(n % 4),
                newly_started: fresh,
                usual_rate: usual,
            },
        );
        self.pull();
    }

    pub(crate) fn leave(&mut self, n: u16) {
        self.proxies.remove(&ProxyId(n));
        self.steward.proxy_left(self.time(), ProxyId(n));
        self.pull();
    }

    pub(crate) fn met(&mut self, n: usize, tries: f64, errored: f64, mean: u64) {
        let met = AttemptOutcomes {
            attempts: tries,
            failures: errored,
            mean_latency: ms(mean),
            period: ms(1_000),
            load: None,
        };
        self.steward.record_outcomes(self.time(), &host(n), met);
    }

    /// Time goes on, with the wakes that the steward asked for and, every second, sums as `sums` tells them.
    pub(crate) fn run(&mut self, millis: u64, mut sums: impl FnMut(&mut Shop)) {
        let end = self.now + millis * 1_000;
        while self.now < end {
            self.now += 50_000;
            for mark in self.channel.run(0.05) {
                self.steward.on_ack(self.time(), mark);
            }
            if self.now.is_multiple_of(SECOND) {
                sums(self);
            }
            if self.wake.is_some_and(|at| at <= self.now) {
                self.wake = None;
                self.steward.on_timer(self.time());
            }
            self.pull();
        }
    }

    fn pull(&mut self) {
        let mut told: BTreeMap<ProxyId, usize> = BTreeMap::new();
        let mut round_mark = None;
        let mut line = |proxies: Vec<ProxyId>| {
            proxies
                .into_iter()
                .for_each(|id| *told.entry(id).or_default() += 1)
        };
        while let Some(ruling) = self.steward.next_decision(self.time()) {
            let of_table = |proxies: &BTreeMap<ProxyId, Joined>, table: TableId| -> Vec<ProxyId> {
                let on_it = |p: &Joined| p.tables.values().any(|t| *t == table);
                proxies
                    .iter()
                    .filter(|(_, p)| on_it(p))
                    .map(|(id, _)| *id)
                    .collect()
            };
            match ruling {
                Decision::SetWeight {
                    table,
                    host,
                    weight,
                } => {
                    line(of_table(&self.proxies, table));
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
                Decision::BindProxy {
                    proxy,
                    table,
                    classes: kinds,
                } => {
                    let lines = self.lines.keys().filter(|(t, _)| *t == table).count() + self.kinds;
                    line(vec![proxy; lines + 1]);
                    let joined = self
                        .proxies
                        .get_mut(&proxy)
                        .expect("only joined proxies are bound");
                    joined.tables.insert(kinds, table);
                }
                Decision::SetAdmissionRate {
                    table,
                    class: kind,
                    quota,
                    retry_policy: tries,
                } => {
                    line(of_table(&self.proxies, table));
                    assert!(quota.is_finite() && quota >= 0.0, "a level of {quota}");
                    self.levels.insert((table, kind), (quota, tries));
                }
                Decision::RequestAck(mark) => round_mark = Some(mark),
                Decision::CheckHealth(host) => self.probes.push(host),
                Decision::WatchEndpoints => self.asked += 1,
                Decision::SetTimer(span) => self.wake = Some(self.now + span.micros()),
            }
        }
        for (proxy, lines) in told {
            self.proxies
                .get_mut(&proxy)
                .expect("joined")
                .messages
                .push(self.now);
            let marks = f64::from(u8::from(round_mark.is_some()));
            self.channel
                .send(lines as f64 + marks + self.channel.head, round_mark);
        }
    }

    /// From now on the channel sends at this part of its stated rate.
    pub(crate) fn slow_channel_to(&mut self, part: f64) {
        self.channel.rate = self.channel.stated_rate * part;
    }

    /// Whether answers to marks are lost from now on.
    pub(crate) fn lose_marks(&mut self, lost: bool) {
        self.channel.loses_marks = lost;
    }

    /// How long a message that is sent now takes to leave the channel.
    pub(crate) fn queue_seconds(&self) -> f64 {
        self.channel.waiting / self.channel.rate
    }

    /// Lines that the channel was given since the start.
    pub(crate) fn lines_ordered(&self) -> f64 {
        self.channel.sent + self.channel.waiting
    }

    fn used(&self) -> BTreeSet<TableId> {
        self.proxies
            .values()
            .flat_map(|p| p.tables.values())
            .copied()
            .collect()
    }

    /// Whether no table in use names a host.
    pub(crate) fn is_out(&self, n: usize) -> bool {
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

    fn warm(&self, host: &Endpoint) -> bool {
        host.state == EndpointState::Ready
            && (host.started.is_unset() || self.time() - host.started >= ms(18_000))
    }

    /// Whether what the list says of a host is old enough that its proxies must go by it.
    fn due(&self, host: &HostId) -> bool {
        self.now - self.told_at.get(host).copied().unwrap_or(0) > GRACE
    }

    /// The most lines that ever waited, in parts of how many may.
    pub(crate) fn most_waiting(&self) -> f64 {
        self.channel.most_seen / self.channel.most
    }

    /// Rules that must hold whenever the steward has no more to say.
    pub(crate) fn check(&self) {
        let open_warm = self.listed.values().any(|h| self.warm(h));
        for (id, proxy) in &self.proxies {
            assert!(!proxy.tables.is_empty(), "{id:?} was not answered");
            for table in proxy.tables.values() {
                let hosts = self.hosts_of(*table);
                assert!(
                    !open_warm || !hosts.is_empty(),
                    "{id:?} has nothing to pick on {table:?}"
                );
                for host in &hosts {
                    let standing = self
                        .listed
                        .get(host)
                        .map_or(EndpointState::Removed, |h| h.state);
                    assert!(
                        standing == EndpointState::Ready || !self.due(host),
                        "{host:?} is still used"
                    );
                }
            }
            let since = self.now.saturating_sub(10 * SECOND);
            let lately = proxy.messages.iter().filter(|at| **at > since).count();
            assert!(
                lately <= self.cap,
                "{lately} messages to {id:?} within the window"
            );
        }
        for table in self.used() {
            for (host, weight) in self
                .lines
                .iter()
                .filter(|((t, _), _)| *t == table)
                .map(|((_, h), w)| (h, w))
            {
                let Some(listed) = self.listed.get(host).filter(|h| !h.started.is_unset()) else {
                    continue;
                };
                if !self.due(host) {
                    continue;
                }
                let age = (self.time() - listed.started).ratio(ms(18_000));
                // What a cold host may get: its part of its listed weight, with the slack of one line step.
                let most = listed.weight * (0.2 + 0.8 * age.min(1.0)) * 1.5 + 0.01;
                assert!(
                    *weight <= most,
                    "{host:?} has {weight} at {age} of its warming"
                );
            }
        }
        for (quota, tries) in self.levels.values() {
            assert!(
                *quota >= 0.0 && *tries <= RetryPolicy::IfUnprocessed,
                "a try that may have run is repeated"
            );
        }
    }
}
