//! A simulated fleet under load: hosts that queue requests and reject those beyond their queue, and proxies that avoid
//! hosts which fail them. Checks that no host that has just started is sent more than it can take.

use crate::common::{SECOND, SimulatedFleet, ms};
use crate::loaded_host::{LoadedHost, Request};
use pondarch_controller::{
    AttemptOutcomes, Controller, DeploymentConfig, Endpoint, EndpointState, HostId, HostLoad,
    ProxyId, RequestClassId, TableId, Time, ZoneId,
};
use std::collections::{BTreeMap, VecDeque};

/// Time between two steps of the model.
const STEP_MS: u64 = 50;
/// Failures in a row after which a proxy avoids a host, and for how long.
const MAX_FAILURES: u32 = 3;
const AVOIDED_FOR_US: u64 = 5 * SECOND;
/// Reports arrive this many seconds after the second that they cover.
const REPORT_DELAY_S: usize = 1;
/// A rule's time limits start this long after a controller first answers.
const RULES_START_AFTER_US: u64 = SECOND;

/// The load on the fleet.
#[derive(Clone)]
pub(crate) struct Load {
    /// Requests per second of one proxy.
    pub proxy_rate: f64,
    /// The part of each class.
    pub class_shares: [f64; 3],
    /// Requests per second and unit of weight that a warm host can do.
    pub host_rate: f64,
}

#[derive(Default)]
struct Outcomes {
    attempts: f64,
    failures: f64,
    latency_us: u64,
}

/// What happened in one second: the outcomes at each host, and the requests of each class at each proxy.
#[derive(Default)]
struct Report {
    outcomes: BTreeMap<HostId, Outcomes>,
    arrivals: BTreeMap<(ProxyId, usize), f64>,
}

/// What a proxy holds, also while it has no controller.
struct LoadedProxy {
    /// The lines and the admitted fraction of each class.
    lines: [BTreeMap<HostId, f64>; 3],
    admitted: [f64; 3],
    owed_requests: f64,
    failures: BTreeMap<HostId, (u32, u64)>,
}

/// The fleet under load.
pub(crate) struct LoadedFleet {
    pub(crate) fleet: SimulatedFleet,
    config: DeploymentConfig,
    load: Load,
    random: fastrand::Rng,
    hosts: BTreeMap<HostId, LoadedHost>,
    proxies: BTreeMap<ProxyId, LoadedProxy>,
    /// What has happened since the last report.
    current: Report,
    /// Reports on their way, the oldest first.
    reports: VecDeque<Report>,
    controller_started_us: u64,
    /// Hosts that fell over, each with the requests it was sent and those it could take.
    pub(crate) overloaded: Vec<(HostId, usize, f64)>,
    /// Number of requests that hosts have answered.
    pub(crate) answered: usize,
}

impl LoadedFleet {
    /// Creates a fleet without hosts whose proxies are joined.
    pub(crate) fn new(config: DeploymentConfig, load: Load, seed: u64) -> LoadedFleet {
        let proxies = config.proxy_count as u16;
        let fleet = SimulatedFleet::new(config.clone(), 0);
        let started_us = fleet.now_us;
        let mut loaded = LoadedFleet {
            fleet,
            config,
            load,
            random: fastrand::Rng::with_seed(seed),
            hosts: BTreeMap::new(),
            proxies: BTreeMap::new(),
            current: Report::default(),
            reports: VecDeque::new(),
            controller_started_us: started_us,
            overloaded: Vec::new(),
            answered: 0,
        };
        for n in 0..proxies {
            let proxy = LoadedProxy {
                lines: Default::default(),
                admitted: [1.0; 3],
                owed_requests: 0.0,
                failures: BTreeMap::new(),
            };
            loaded.proxies.insert(ProxyId(n), proxy);
        }
        loaded.join_all();
        loaded
    }

    fn join_all(&mut self) {
        for n in 0..self.proxies.len() as u16 {
            self.fleet.join(n, false, self.load.proxy_rate);
        }
    }

    /// Replaces the controller by a new one that knows the endpoint list alone. All proxies join it after `absent_ms`.
    pub(crate) fn restart_controller(&mut self, absent_ms: u64) {
        let mut fleet = SimulatedFleet::new(self.config.clone(), 0);
        fleet.now_us = self.fleet.now_us;
        fleet.controller = Controller::new(self.config.clone(), 11, fleet.time());
        fleet.timer_at_us = None;
        fleet.generation = self.fleet.generation;
        let listed: Vec<Endpoint> = self.fleet.listed.values().cloned().collect();
        fleet.apply_list(true, listed);
        self.fleet = fleet;
        self.controller_started_us = self.fleet.now_us;
        self.reports.clear();
        self.run(absent_ms);
        self.join_all();
    }

    /// Adds a warm host, and lists it.
    pub(crate) fn add_warm_host(&mut self, entry: Endpoint) {
        let host = LoadedHost::new(entry.weight, None);
        self.hosts.insert(entry.host.clone(), host);
        self.list(entry);
    }

    /// Changes the list entry of a host.
    pub(crate) fn list(&mut self, entry: Endpoint) {
        self.fleet.apply_list(false, vec![entry]);
    }

    /// Stops a host's process.
    pub(crate) fn stop_host(&mut self, host: &HostId) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.stop();
        }
    }

    /// Starts a host's process. Returns the time of its start.
    pub(crate) fn start_host(&mut self, host: &HostId, weight: f64) -> Time {
        let started = LoadedHost::new(weight, Some(self.fleet.now_us));
        self.hosts.insert(host.clone(), started);
        self.fleet.time()
    }

    /// Returns the requests per second that the running hosts can do now.
    pub(crate) fn capacity(&self) -> f64 {
        let now_us = self.fleet.now_us;
        let running = self.hosts.values().filter(|host| host.is_up());
        running
            .map(|host| host.capacity(&self.config, self.load.host_rate, now_us))
            .sum()
    }

    /// Runs for this time.
    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.fleet.run(STEP_MS, |_| {});
            self.update_proxies();
            self.work();
            self.send_requests();
            if self.fleet.now_us.is_multiple_of(SECOND) {
                self.report();
            }
        }
    }

    /// Gives the proxies what the controller has decided for them.
    fn update_proxies(&mut self) {
        for (id, joined) in &self.fleet.proxies {
            let Some(proxy) = self.proxies.get_mut(id) else {
                continue;
            };
            for class in 0..3 {
                let Some(table) = table_of_class(&joined.tables, class) else {
                    continue;
                };
                let lines = self.fleet.lines.iter().filter(|((of, _), _)| *of == table);
                proxy.lines[class] = lines
                    .map(|((_, host), weight)| (host.clone(), *weight))
                    .collect();
                let rate = self
                    .fleet
                    .admission
                    .get(&(table, RequestClassId(class as u8)));
                proxy.admitted[class] = rate.map_or(1.0, |(quota, _)| quota.min(1.0));
            }
        }
    }

    /// Lets the hosts work on what they hold.
    fn work(&mut self) {
        let now_us = self.fleet.now_us;
        let mut ended: Vec<(HostId, ProxyId, Option<u64>)> = Vec::new();
        for (id, host) in &mut self.hosts {
            let capacity = host.capacity(&self.config, self.load.host_rate, now_us);
            let of_host = host.work(capacity * STEP_MS as f64 / 1e3, now_us);
            ended.extend(
                of_host
                    .into_iter()
                    .map(|end| (id.clone(), end.proxy, end.latency_us)),
            );
        }
        for (host, proxy, latency_us) in ended {
            self.record_outcome(&host, proxy, latency_us);
        }
    }

    fn record_outcome(&mut self, host: &HostId, proxy: ProxyId, latency_us: Option<u64>) {
        let outcomes = self.current.outcomes.entry(host.clone()).or_default();
        outcomes.attempts += 1.0;
        let Some(proxy) = self.proxies.get_mut(&proxy) else {
            return;
        };
        if let Some(latency_us) = latency_us {
            self.answered += 1;
            outcomes.latency_us += latency_us;
            proxy.failures.remove(host);
            return;
        }
        outcomes.failures += 1.0;
        let (failures, avoided_until_us) = proxy.failures.entry(host.clone()).or_default();
        *failures += 1;
        if *failures >= MAX_FAILURES {
            *failures = MAX_FAILURES - 1;
            *avoided_until_us = self.fleet.now_us + AVOIDED_FOR_US;
        }
    }

    fn send_requests(&mut self) {
        let ids: Vec<ProxyId> = self.proxies.keys().copied().collect();
        for id in ids {
            let proxy = self.proxies.get_mut(&id).expect("a proxy of the fleet");
            proxy.owed_requests += self.load.proxy_rate * STEP_MS as f64 / 1e3;
            while self.proxies[&id].owed_requests >= 1.0 {
                let proxy = self.proxies.get_mut(&id).expect("a proxy of the fleet");
                proxy.owed_requests -= 1.0;
                self.send_request(id);
            }
        }
    }

    fn send_request(&mut self, id: ProxyId) {
        let drawn = self.random.f64();
        let [first, second, _] = self.load.class_shares;
        let class = usize::from(drawn >= first) + usize::from(drawn >= first + second);
        *self.current.arrivals.entry((id, class)).or_default() += 1.0;
        if self.random.f64() >= self.proxies[&id].admitted[class] {
            return;
        }
        let Some(host) = self.pick_host(id, class, None) else {
            return;
        };
        if self.attempt(id, &host) {
            return;
        }
        // A rejected request is retried once at another host.
        if let Some(other) = self.pick_host(id, class, Some(&host)) {
            self.attempt(id, &other);
        }
    }

    /// Picks a host by weight, and avoids those that failed unless all did.
    fn pick_host(&mut self, id: ProxyId, class: usize, tried: Option<&HostId>) -> Option<HostId> {
        let proxy = &self.proxies[&id];
        let now_us = self.fleet.now_us;
        let is_avoided = |host: &HostId| {
            let failures = proxy.failures.get(host);
            failures.is_some_and(|(_, until_us)| *until_us > now_us)
        };
        let open = proxy.lines[class]
            .iter()
            .filter(|(host, _)| Some(*host) != tried);
        let all: Vec<(&HostId, f64)> = open.map(|(host, weight)| (host, *weight)).collect();
        let mut usable: Vec<(&HostId, f64)> = all.clone();
        usable.retain(|(host, _)| !is_avoided(host));
        if usable.is_empty() {
            usable = all;
        }
        let total: f64 = usable.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.random.f64() * total;
        let found = usable.iter().find(|(_, weight)| {
            drawn -= weight;
            drawn <= 0.0
        });
        found.map(|(host, _)| (*host).clone())
    }

    /// Sends a request to a host. Returns whether the host took it.
    fn attempt(&mut self, id: ProxyId, host_id: &HostId) -> bool {
        self.check_load(host_id);
        // The mean of two exponential distributions: half as variable as one.
        let work = (0..2).map(|_| -(1.0 - self.random.f64()).ln() / 2.0).sum();
        let host = self
            .hosts
            .get_mut(host_id)
            .expect("a host that was started");
        let is_taken = host.take(Request {
            sent_at_us: self.fleet.now_us,
            work,
            proxy: id,
        });
        if !is_taken {
            self.record_outcome(host_id, id, None);
        }
        is_taken
    }

    /// Counts a request that is sent to a warming host, and lets the host fall over if it is sent too many.
    fn check_load(&mut self, id: &HostId) {
        let now_us = self.fleet.now_us;
        let host = self.hosts.get_mut(id).expect("a host that was started");
        let capacity = host.capacity(&self.config, self.load.host_rate, now_us);
        let is_warm = capacity >= self.load.host_rate * host.weight();
        if !host.is_up() || is_warm || now_us < self.controller_started_us + RULES_START_AFTER_US {
            return;
        }
        if let Some(overload) = host.overload(capacity, now_us) {
            host.stop();
            self.overloaded
                .push((id.clone(), overload.sent, overload.budget));
        }
    }

    /// Collects the reports of the last second and delivers those that are due.
    fn report(&mut self) {
        self.reports.push_back(std::mem::take(&mut self.current));
        if self.reports.len() <= REPORT_DELAY_S {
            return;
        }
        let Some(Report { outcomes, arrivals }) = self.reports.pop_front() else {
            return;
        };
        let now = self.fleet.time();
        for (host, outcomes) in outcomes {
            let held = self.hosts.get(&host).map_or(0, LoadedHost::held);
            let successes = outcomes.attempts - outcomes.failures;
            let mean_latency = ms(outcomes.latency_us / 1_000).div_f64(successes.max(1.0));
            let load = HostLoad {
                utilization: Some((held as f64).min(1.0)),
                queue_length: Some(held.saturating_sub(1) as f64),
                ..HostLoad::default()
            };
            let outcomes = AttemptOutcomes {
                attempts: outcomes.attempts,
                failures: outcomes.failures,
                mean_latency,
                period: ms(1_000),
                load: Some(load),
            };
            self.fleet.controller.record_outcomes(now, &host, outcomes);
        }
        for ((proxy, class), requests) in arrivals {
            let class = RequestClassId(class as u8);
            self.fleet
                .controller
                .record_arrivals(now, proxy, class, requests, ms(1_000));
        }
    }
}

/// Returns the table that a proxy uses for a class. No classes stand for all.
fn table_of_class(
    tables: &BTreeMap<Vec<RequestClassId>, TableId>,
    class: usize,
) -> Option<TableId> {
    let class = RequestClassId(class as u8);
    let serves = |classes: &[RequestClassId]| classes.is_empty() || classes.contains(&class);
    let table = tables.iter().find(|(classes, _)| serves(classes));
    table.map(|(_, table)| *table)
}

/// Returns a list entry of a host of weight one.
pub(crate) fn entry(host: &HostId, zone: u16, state: EndpointState, started: Time) -> Endpoint {
    Endpoint {
        host: host.clone(),
        zone: ZoneId(zone),
        weight: 1.0,
        ..crate::common::endpoint(0, state, started)
    }
}
