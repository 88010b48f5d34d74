//! Hosts and proxies under load, moved on in small steps of real time: what clients send, what proxies pick by the tables
//! of their controllers' relays, and what hosts do with it.
//!
//! Times are in seconds since the start of the fleet, work in mean requests.

use crate::loaded_host::{ExpectedRate, HostProfile, LoadedHost, Origin, Request, RequestEnd};
use crate::loaded_judge::{EXPECTATION_INTERVAL_S, Overloaded};
use crate::loaded_proxy::{LoadedProxy, Rejoin};
use crate::loaded_reports::ControllerLink;
use fastrand::Rng;
use std::collections::BTreeMap;
use std::time::Instant;

pub(crate) const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];
const CLASSES: usize = 3;
pub(crate) const CLASS_NAMES: [&str; CLASSES] = ["proof", "order", "release"];
pub(crate) const CLASS_SHARES: [f64; CLASSES] = [0.48, 0.40, 0.12];
/// Mean work of each class, in terms of the mean of all.
pub(crate) const CLASS_WORK: [f64; CLASSES] = [1.27, 0.75, 0.75];
/// Time after which clients give up, by class.
const GIVE_UP_S: [f64; CLASSES] = [4.0, 3.0, 2.5];
/// Coefficient of variation of the work of a request.
pub(crate) const WORK_VARIATION: f64 = 0.7;
/// Work of a new connection for the host.
const CONNECTION_WORK: f64 = 0.14;
/// Time before a client repeats a request that failed.
const REPEAT_AFTER_S: f64 = 0.2;
/// Part of the repeated requests that clients repeat once more if they fail again.
const SECOND_REPEAT_SHARE: f64 = 0.5;
/// Averaging time for the attempts per request.
const ATTEMPTS_AVERAGED_S: f64 = 1.0;
/// Work of a health check.
const CHECK_WORK: f64 = 0.02;
/// Where requests use more than this share of the capacity, they rise to their level within this time.
const STEEP_UTILIZATION: f64 = 0.7;
const RISE_S: f64 = 7.0;
/// What differs from day to day.
#[derive(Clone, Debug)]
pub(crate) struct DayParameters {
    /// Share of the warm fleet's capacity that the requests use.
    pub utilization: f64,
    /// Grace period of the rules on draining and on warming hosts.
    pub grace_s: f64,
    /// Share of the time-out after which a client gives up an attempt.
    pub patience: f64,
    /// Share of the failed requests that clients repeat once.
    pub repeated_share: f64,
    /// How long a proxy avoids a host that failed it.
    pub avoided_for_s: f64,
    /// How late reports arrive.
    pub report_delay_s: f64,
    /// How long messages to proxies take.
    pub transit_s: f64,
    /// How the proxies' requests differ.
    pub rates: ProxyRates,
}

/// How many requests reach each proxy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ProxyRates {
    /// Half to one and a half of the mean.
    Even,
    /// With this coefficient of variation: a few proxies have many times the mean.
    Varied(f64),
}

/// The hosts and proxies.
pub(crate) struct World {
    pub started: Instant,
    pub parameters: DayParameters,
    pub random: Rng,
    pub hosts: BTreeMap<String, LoadedHost>,
    pub proxies: Vec<LoadedProxy>,
    pub controllers: Vec<ControllerLink>,
    /// Factor on the rate of all requests.
    pub burst: f64,
    /// Added to the delay of reports.
    pub late_reports_s: f64,
    /// Grace periods start at this time at the earliest.
    pub grace_from: f64,
    /// Factor on grace periods while a channel is slow.
    pub grace_factor: f64,
    /// Retries that a controller has ordered and that went to a warming host, by proxies whose table knows of its start.
    pub ordered_retries_to_warming: u64,
    /// Repeated requests: when, of which proxy and class.
    repeats: Vec<(f64, usize, usize)>,
    /// Admitted requests and attempts at hosts; old ones count less.
    requests_sent: f64,
    attempts_sent: f64,
    pub expected_rates: BTreeMap<String, ExpectedRate>,
    expected_at: f64,
    reported_at: f64,
    pub worst: Overloaded,
    /// The largest load that the proxies' tables make likely: the mean and two standard deviations.
    pub most_likely: Overloaded,
    /// Number of hosts that the proxies' tables let expect to fall over.
    pub expected_overloads: f64,
    /// Hosts that fell over, where the rule applies.
    pub overloaded: Vec<Overloaded>,
    /// Hosts that fell over, though most of the load came from proxies that could not know.
    pub fell_uninformed: Vec<Overloaded>,
    pub asked: u64,
    pub answered: u64,
    stepped_at: f64,
    /// The longest time between two steps; a long one makes a burst of the requests of that time.
    pub longest_step_s: f64,
}

impl World {
    pub(crate) fn new(seed: u64, parameters: DayParameters) -> World {
        World {
            started: Instant::now(),
            parameters,
            random: Rng::with_seed(seed),
            hosts: BTreeMap::new(),
            proxies: Vec::new(),
            controllers: Vec::new(),
            burst: 1.0,
            late_reports_s: 0.0,
            grace_from: 0.0,
            grace_factor: 1.0,
            ordered_retries_to_warming: 0,
            repeats: Vec::new(),
            requests_sent: 0.0,
            attempts_sent: 0.0,
            expected_rates: BTreeMap::new(),
            expected_at: 0.0,
            reported_at: 0.0,
            worst: Overloaded::default(),
            most_likely: Overloaded::default(),
            expected_overloads: 0.0,
            overloaded: Vec::new(),
            fell_uninformed: Vec::new(),
            asked: 0,
            answered: 0,
            stepped_at: 0.0,
            longest_step_s: 0.0,
        }
    }

    pub(crate) fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Adds warm hosts and proxies; each proxy gets its part of the requests.
    pub(crate) fn add_fleet(&mut self, hosts: &[(String, HostProfile)], proxies: usize) {
        let controllers = self.controllers.len();
        for (host, profile) in hosts {
            let added = LoadedHost::new(*profile, controllers);
            self.hosts.insert(host.clone(), added);
        }
        let capacity: f64 = hosts.iter().map(|(_, profile)| profile.full_rate).sum();
        let total_rate = capacity * self.parameters.utilization;
        let mean_rate = total_rate / proxies as f64;
        let varied = match self.parameters.rates {
            ProxyRates::Even => Vec::new(),
            ProxyRates::Varied(variation) => self.draw_varied_rates(variation, total_rate, proxies),
        };
        for n in 0..proxies {
            let rate = match varied.get(n) {
                Some(rate) => *rate,
                None => mean_rate * (0.5 + self.random.f64()),
            };
            let mut proxy = LoadedProxy::new(ZONES[n % ZONES.len()], rate);
            proxy.next_request_at = self.random.f64() / rate;
            self.proxies.push(proxy);
        }
    }

    /// Draws the requests per second of each proxy with this coefficient of variation, of `total` in all.
    fn draw_varied_rates(&mut self, variation: f64, total: f64, proxies: usize) -> Vec<f64> {
        let variance = (1.0 + variation * variation).ln();
        let random = &mut self.random;
        let drawn = (0..proxies).map(|_| (variance.sqrt() * normal(random)).exp());
        let drawn: Vec<f64> = drawn.collect();
        let sum: f64 = drawn.iter().sum();
        drawn.iter().map(|rate| total * rate / sum).collect()
    }

    /// The requests per second that proxies state when they join: a rough figure.
    pub(crate) fn stated_rates(&mut self) -> Vec<f64> {
        let World {
            proxies, random, ..
        } = self;
        let rates = proxies.iter().map(|proxy| proxy.rate);
        rates
            .map(|rate| rate * (0.7 + 0.6 * random.f64()))
            .collect()
    }

    /// Moves on to the present.
    pub(crate) fn step(&mut self) {
        let now = self.now();
        let elapsed = now - self.stepped_at;
        if self.stepped_at > 0.0 {
            self.longest_step_s = self.longest_step_s.max(elapsed);
        }
        self.stepped_at = now;
        self.apply_tables();
        self.rejoin_proxies(now);
        self.work(now);
        if now - self.expected_at >= EXPECTATION_INTERVAL_S {
            self.expected_at = now;
            self.expect_load(now);
        }
        self.send_requests(now);
        let kept = (-elapsed / ATTEMPTS_AVERAGED_S).exp();
        self.requests_sent *= kept;
        self.attempts_sent *= kept;
        if now - self.reported_at >= 1.0 {
            self.reported_at = now;
            self.collect_reports(now);
        }
        self.deliver_reports(now);
    }

    /// Gives the joined proxies what their controller's relay has delivered.
    fn apply_tables(&mut self) {
        for (index, controller) in self.controllers.iter().enumerate() {
            for (id, table) in controller.relay.applied_tables() {
                let proxy = &mut self.proxies[usize::from(id)];
                let is_delivered = table.updated_at.is_some();
                if proxy.controller == Some(index) && is_delivered {
                    proxy.table = table;
                    proxy.table_of = index;
                }
            }
            for (id, sent_at) in controller.relay.last_sent() {
                let proxy = &mut self.proxies[usize::from(id)];
                if proxy.controller == Some(index) {
                    let sent_s = (sent_at - self.started).as_secs_f64();
                    proxy.last_sent = Some((sent_s, index));
                }
            }
        }
    }

    /// Breaks a proxy's stream. It joins another or the same controller later.
    pub(crate) fn break_stream(&mut self, proxy: usize, rejoin: Rejoin) {
        if let Some(before) = self.proxies[proxy].controller.take() {
            self.controllers[before].relay.leave(proxy as u16);
            self.controllers[before].relay.forget_table(proxy as u16);
        }
        let started = self.started;
        let proxy = &mut self.proxies[proxy];
        proxy.rejoins = Some(rejoin);
        // Messages on their way are lost.
        let applied = proxy.table.updated_at;
        proxy.last_sent = applied.map(|at| ((at - started).as_secs_f64(), proxy.table_of));
    }

    fn rejoin_proxies(&mut self, now: f64) {
        for id in 0..self.proxies.len() {
            let Some(rejoin) = self.proxies[id].rejoins else {
                continue;
            };
            let Rejoin {
                at,
                controller,
                waits,
            } = rejoin;
            if now < at {
                continue;
            }
            if self.controllers[controller].ready_at.is_none() {
                // It finds nobody, and dials again.
                let next = (controller + usize::from(!waits)) % self.controllers.len();
                self.proxies[id].rejoins = Some(Rejoin {
                    at: now + 0.2,
                    controller: next,
                    waits,
                });
                continue;
            }
            self.proxies[id].rejoins = None;
            self.proxies[id].controller = Some(controller);
            self.controllers[controller].relay.join(id as u16);
        }
    }

    fn work(&mut self, now: f64) {
        let mut ended: Vec<(String, RequestEnd)> = Vec::new();
        for (id, host) in &mut self.hosts {
            let of_host = host.work(now).into_iter();
            ended.extend(of_host.map(|end| (id.clone(), end)));
        }
        for (host, end) in ended {
            self.record_end(&host, &end, now);
        }
    }

    /// Records the outcome of an attempt at its proxy and for the report.
    fn record_end(&mut self, host: &str, end: &RequestEnd, now: f64) {
        let RequestEnd { request, latency_s } = end;
        let proxy = &mut self.proxies[request.proxy];
        match latency_s {
            Some(_) => {
                self.answered += 1;
                proxy.on_success(host);
            }
            None => {
                proxy.on_failure(host, self.parameters.avoided_for_s, now);
                if request.may_repeat {
                    let repeat = (now + REPEAT_AFTER_S, request.proxy, request.class);
                    self.repeats.push(repeat);
                }
            }
        }
        let Some(controller) = proxy.controller else {
            return;
        };
        let reported = &mut self.controllers[controller].reported;
        let key = (proxy.zone, host.to_string());
        let outcomes = reported.outcomes.entry(key).or_default();
        outcomes.attempts += 1;
        outcomes.failures += u64::from(latency_s.is_none());
        outcomes.latency_s += latency_s.unwrap_or(0.0);
    }

    fn send_requests(&mut self, now: f64) {
        let (due, later) = self.repeats.drain(..).partition(|(at, ..)| *at <= now);
        self.repeats = later;
        let due: Vec<(f64, usize, usize)> = due;
        for (_, proxy, class) in due {
            let may_repeat = self.random.f64() < SECOND_REPEAT_SHARE;
            self.send_request(proxy, class, may_repeat, Origin::Repeated, now);
        }
        let factor = self.rate_factor(now);
        for proxy in 0..self.proxies.len() {
            while self.proxies[proxy].next_request_at <= now {
                let rate = self.proxies[proxy].rate * factor;
                let until_next = -(1.0 - self.random.f64()).ln() / rate;
                self.proxies[proxy].next_request_at += until_next;
                let drawn = self.random.f64();
                let class = usize::from(drawn >= CLASS_SHARES[0])
                    + usize::from(drawn >= CLASS_SHARES[0] + CLASS_SHARES[1]);
                let may_repeat = self.random.f64() < self.parameters.repeated_share;
                self.asked += 1;
                self.send_request(proxy, class, may_repeat, Origin::First, now);
            }
        }
    }

    fn send_request(
        &mut self,
        proxy: usize,
        class: usize,
        may_repeat: bool,
        origin: Origin,
        now: f64,
    ) {
        if let Some(controller) = self.proxies[proxy].controller {
            let reported = &mut self.controllers[controller].reported;
            *reported.arrivals.entry((proxy, class)).or_default() += 1;
        }
        let repeat = (now + REPEAT_AFTER_S, proxy, class);
        if self.random.f64() >= self.proxies[proxy].admitted(CLASS_NAMES[class]) {
            self.repeats.extend(may_repeat.then_some(repeat));
            return;
        }
        self.requests_sent += f64::from(u8::from(origin == Origin::First));
        let variance = (1.0 + WORK_VARIATION * WORK_VARIATION).ln();
        let normal = normal(&mut self.random);
        let request = Request {
            proxy,
            class,
            work: CLASS_WORK[class] * (variance.sqrt() * normal - variance / 2.0).exp(),
            sent_at: now,
            give_up_at: now + GIVE_UP_S[class] * self.parameters.patience,
            may_repeat,
            origin,
        };
        let Some(host) = self.proxies[proxy].pick(&mut self.random, None, now) else {
            return;
        };
        let Err(mut request) = self.attempt(&host, request, now) else {
            return;
        };
        request.origin = Origin::Retried;
        // A request that was turned away is tried once more elsewhere, if the controller has said so.
        let retried_at = if self.proxies[proxy].retries(CLASS_NAMES[class]) {
            self.proxies[proxy].pick(&mut self.random, Some(&host), now)
        } else {
            None
        };
        let is_taken = retried_at.is_some_and(|other| self.attempt(&other, request, now).is_ok());
        if !is_taken && may_repeat {
            self.repeats.push(repeat);
        }
    }

    /// Returns the attempts at hosts per admitted request, over the last second or so.
    pub(crate) fn attempts_per_request(&self) -> f64 {
        (self.attempts_sent / self.requests_sent.max(1.0)).max(1.0)
    }

    /// Returns the factor on the rate of all requests.
    pub(crate) fn rate_factor(&self, now: f64) -> f64 {
        let level = self.parameters.utilization;
        let rise = (now / RISE_S).clamp(0.0, 1.0);
        let ramp = if level > STEEP_UTILIZATION {
            (STEEP_UTILIZATION + (level - STEEP_UTILIZATION) * rise) / level
        } else {
            1.0
        };
        self.burst * ramp
    }

    /// Counts a health check at a host. Returns the number of requests that the host holds, or nothing if it is down.
    pub(crate) fn check_host(&mut self, id: &str) -> Option<usize> {
        let now = self.now();
        let host = self.hosts.get_mut(id).filter(|host| host.is_up)?;
        host.count_check(now);
        let held = host.held();
        if host.is_warming(now) {
            host.count_sent(
                now,
                &Request::health_check(now, CHECK_WORK),
                true,
                ExpectedRate::default(),
            );
        }
        Some(held)
    }

    /// Sends a request to a host. Returns the request if the host turns it away.
    fn attempt(&mut self, host_id: &str, mut request: Request, now: f64) -> Result<(), Request> {
        self.attempts_sent += 1.0;
        let Some(host) = self.hosts.get_mut(host_id) else {
            return Err(request);
        };
        let proxy = &mut self.proxies[request.proxy];
        if host.is_up && proxy.connect(host_id, host.started_at, now) {
            request.work += CONNECTION_WORK;
        }
        if host.is_up && host.is_warming(now) {
            self.count_ordered_retry(host_id, &request);
            self.count_sent(host_id, &request, now);
        }
        let host = self.hosts.get_mut(host_id).expect("looked up before");
        let Err(request) = host.take(request) else {
            return Ok(());
        };
        let may_repeat = false;
        let end = RequestEnd {
            request: Request {
                may_repeat,
                ..request.clone()
            },
            latency_s: None,
        };
        self.record_end(host_id, &end, now);
        Err(request)
    }
}

/// Draws from the normal distribution with mean 0 and variance 1, by the method of Box and Muller.
fn normal(random: &mut Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.f64()).cos()
}
