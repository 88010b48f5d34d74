//! A host that queues requests, can do less while it warms up, and falls over when it is sent too much meanwhile.
//!
//! Times are in seconds since the start of the fleet, work in mean requests.

use std::collections::{BTreeMap, VecDeque};

/// Multiple of its present capacity at which a warming host falls over, and the span over which it is counted. The rule
/// has a little slack for chance, of unknown size; none is used here.
pub(crate) const OVERLOAD_MULTIPLE: f64 = 2.5;
pub(crate) const OVERLOAD_SPAN_S: f64 = 2.0;
/// Span in which health checks are counted.
const CHECK_SPAN_S: f64 = 1.0;
/// Share of the load that has to come from proxies that know of the start; with less, the rule does not apply.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// What a host can do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostProfile {
    pub zone: &'static str,
    /// The weight that the endpoint list gives it.
    pub weight: f64,
    /// Requests per second that it can do when it is warm.
    pub full_rate: f64,
    /// Requests that it holds before it turns others away.
    pub max_held: usize,
    /// Share of its capacity that it has at its start, and the seconds until it has all of it.
    pub initial_capacity: f64,
    pub warm_after_s: f64,
}

/// Why a request is sent to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A client asked for the first time.
    First,
    /// A client repeats what failed.
    Repeated,
    /// Another host turned it away, and a controller has ordered retries.
    Retried,
}

/// A request at a host.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub proxy: usize,
    pub class: usize,
    pub work: f64,
    pub sent_at: f64,
    pub give_up_at: f64,
    /// Whether the client repeats it when it fails.
    pub may_repeat: bool,
    pub origin: Origin,
}

impl Request {
    /// A health check, which counts as a little work.
    pub(crate) fn health_check(now: f64, work: f64) -> Request {
        Request {
            proxy: 0,
            class: 0,
            work,
            sent_at: now,
            give_up_at: now,
            may_repeat: false,
            origin: Origin::First,
        }
    }
}

/// What the proxies' tables let a warming host expect, in mean requests per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExpectedRate {
    pub by_weights: f64,
    /// The same without the hosts that proxies avoid.
    pub with_avoidance: f64,
    /// The part of that from proxies that know of the host's start.
    pub informed: f64,
}

impl ExpectedRate {
    fn add(&mut self, rate: &ExpectedRate, seconds: f64) {
        self.by_weights += rate.by_weights * seconds;
        self.with_avoidance += rate.with_avoidance * seconds;
        self.informed += rate.informed * seconds;
    }

    /// Returns whether the rule applies.
    pub(crate) fn counts(&self) -> bool {
        self.informed >= self.with_avoidance * INFORMED_SHARE
    }
}

/// The end of a request at a host. There is no latency if the client gave up or the host stopped.
pub(crate) struct RequestEnd {
    pub request: Request,
    pub latency_s: Option<f64>,
}

/// Work that was sent to a warming host.
struct SentWork {
    at: f64,
    work: f64,
    /// Whether the proxy knows of the host's start, or its controller has for longer than the grace period.
    is_informed: bool,
    origin: Origin,
    proxy: usize,
    expected: ExpectedRate,
}

/// The load of a warming host within the span, as multiples of what it can do.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WarmingLoad {
    /// What it was sent, and the number of requests.
    pub sent: f64,
    pub requests: usize,
    /// The part of what was sent that was turned away elsewhere or repeated by clients.
    pub retried: f64,
    /// The part of that which a controller's order to retry brought.
    pub by_order: f64,
    /// The largest part of what was sent that came from a single proxy.
    pub by_one_proxy: f64,
    /// What the weights that proxies hold let expect, without chance.
    pub by_weights: f64,
    /// The same without the hosts that proxies avoid.
    pub expected: f64,
    /// The part of what was sent that counts for the rule.
    pub informed_share: f64,
    pub age_s: f64,
}

impl WarmingLoad {
    /// Returns whether the rule applies: enough of the load came from proxies that know of the start.
    pub(crate) fn counts(&self) -> bool {
        self.informed_share >= INFORMED_SHARE
    }

    pub(crate) fn is_overload(&self) -> bool {
        self.sent > OVERLOAD_MULTIPLE
    }
}

/// A host.
pub(crate) struct LoadedHost {
    pub profile: HostProfile,
    pub is_up: bool,
    /// When it started; negative for a host that was warm at the fleet's start.
    pub started_at: f64,
    /// When each controller was told of the start: its present process, and its first one.
    pub told_at: Vec<Option<f64>>,
    pub first_told_at: Vec<Option<f64>>,
    /// A factor on what it can do.
    pub speed: f64,
    held: VecDeque<Request>,
    worked_until: f64,
    sent: VecDeque<SentWork>,
    /// The rates that the proxies' tables let expect, each with the time since when it has been so.
    expected: VecDeque<(f64, ExpectedRate)>,
    /// When health checks came, in the last span, and the most of them in a span.
    checked_at: VecDeque<f64>,
    pub most_checks: usize,
}

impl LoadedHost {
    /// A warm host, of which all controllers know.
    pub(crate) fn new(profile: HostProfile, controllers: usize) -> LoadedHost {
        LoadedHost {
            profile,
            is_up: true,
            started_at: -1e6,
            told_at: vec![Some(-1e6); controllers],
            first_told_at: vec![Some(-1e6); controllers],
            speed: 1.0,
            held: VecDeque::new(),
            worked_until: 0.0,
            sent: VecDeque::new(),
            expected: VecDeque::new(),
            checked_at: VecDeque::new(),
            most_checks: 0,
        }
    }

    /// Records that a controller is told of the start.
    pub(crate) fn tell(&mut self, controller: usize, now: f64) {
        self.told_at[controller].get_or_insert(now);
        self.first_told_at[controller].get_or_insert(now);
    }

    /// Counts a health check.
    pub(crate) fn count_check(&mut self, now: f64) {
        self.checked_at.push_back(now);
        self.checked_at.retain(|at| now - at <= CHECK_SPAN_S);
        self.most_checks = self.most_checks.max(self.checked_at.len());
    }

    /// Starts its process.
    pub(crate) fn start(&mut self, now: f64) {
        self.is_up = true;
        self.started_at = now;
        self.told_at.fill(None);
        self.first_told_at.fill(None);
        self.worked_until = now;
        self.speed = 1.0;
        self.held.clear();
        self.sent.clear();
        self.expected.clear();
    }

    /// Records the rate that the proxies' tables let expect from now on. Returns the work that they let expect in the
    /// span that ends now.
    pub(crate) fn expect(&mut self, now: f64, rate: ExpectedRate) -> ExpectedRate {
        let begins = now - OVERLOAD_SPAN_S;
        let mut in_span = ExpectedRate::default();
        let ends = self.expected.iter().skip(1).map(|(at, _)| *at);
        for ((since, rate), until) in self.expected.iter().zip(ends.chain([now])) {
            in_span.add(rate, (until - since.max(begins)).max(0.0));
        }
        self.expected.push_back((now, rate));
        let is_over = |next: Option<&(f64, ExpectedRate)>| next.is_some_and(|(at, _)| *at < begins);
        while is_over(self.expected.get(1)) {
            self.expected.pop_front();
        }
        in_span
    }

    pub(crate) fn is_warming(&self, now: f64) -> bool {
        now - self.started_at < self.profile.warm_after_s
    }

    /// Returns the number of requests that it holds.
    pub(crate) fn held(&self) -> usize {
        self.held.len()
    }

    /// Returns the requests per second that it can do now.
    pub(crate) fn capacity(&self, now: f64) -> f64 {
        let HostProfile {
            full_rate,
            initial_capacity,
            warm_after_s,
            ..
        } = self.profile;
        let age = (now - self.started_at) / warm_after_s;
        full_rate * (initial_capacity + (1.0 - initial_capacity) * age).min(1.0)
    }

    /// Takes a request unless it holds too many. Returns the request if it does not take it.
    pub(crate) fn take(&mut self, request: Request) -> Result<(), Request> {
        if self.is_up && self.held.len() < self.profile.max_held {
            self.held.push_back(request);
            Ok(())
        } else {
            Err(request)
        }
    }

    /// Works until `now`, in order. Requests whose client has given up are not begun. Returns the requests that ended.
    pub(crate) fn work(&mut self, now: f64) -> Vec<RequestEnd> {
        let mut budget = (now - self.worked_until).max(0.0) * self.capacity(now) * self.speed;
        self.worked_until = now;
        let is_up = self.is_up;
        let is_given_up = |request: &Request| !is_up || now > request.give_up_at;
        let (given_up, held): (VecDeque<_>, VecDeque<_>) =
            self.held.drain(..).partition(is_given_up);
        self.held = held;
        let failed = given_up.into_iter().map(|request| RequestEnd {
            request,
            latency_s: None,
        });
        let mut ended: Vec<RequestEnd> = failed.collect();
        while let Some(request) = self.held.front_mut() {
            let done = request.work.min(budget);
            request.work -= done;
            budget -= done;
            if request.work > 0.0 {
                break;
            }
            ended.extend(self.held.pop_front().map(|request| RequestEnd {
                latency_s: Some(now - request.sent_at),
                request,
            }));
        }
        ended
    }

    /// Returns the work in the span that the proxy with the most of it sent.
    fn largest_of_one_proxy(&self) -> f64 {
        let mut by_proxy: BTreeMap<usize, f64> = BTreeMap::new();
        for sent in &self.sent {
            *by_proxy.entry(sent.proxy).or_default() += sent.work;
        }
        by_proxy.into_values().fold(0.0, f64::max)
    }

    /// Counts a request that is sent to it while it warms up. Returns its load within the span.
    pub(crate) fn count_sent(
        &mut self,
        now: f64,
        request: &Request,
        is_informed: bool,
        expected: ExpectedRate,
    ) -> WarmingLoad {
        self.sent.push_back(SentWork {
            at: now,
            work: request.work,
            is_informed,
            origin: request.origin,
            proxy: request.proxy,
            expected,
        });
        self.sent.retain(|sent| now - sent.at <= OVERLOAD_SPAN_S);
        let capacity = self.capacity(now);
        let work_of = |counts: fn(&SentWork) -> bool| -> f64 {
            let sent = self.sent.iter().filter(|sent| counts(sent));
            sent.map(|sent| sent.work).sum()
        };
        let mean_of = |rate: fn(&SentWork) -> f64| -> f64 {
            self.sent.iter().map(rate).sum::<f64>() / self.sent.len() as f64 / capacity
        };
        let total = work_of(|_| true);
        WarmingLoad {
            sent: total / (capacity * OVERLOAD_SPAN_S),
            requests: self.sent.len(),
            retried: work_of(|sent| sent.origin != Origin::First) / (capacity * OVERLOAD_SPAN_S),
            by_order: work_of(|sent| sent.origin == Origin::Retried) / (capacity * OVERLOAD_SPAN_S),
            by_one_proxy: self.largest_of_one_proxy() / (capacity * OVERLOAD_SPAN_S),
            by_weights: mean_of(|sent| sent.expected.by_weights),
            expected: mean_of(|sent| sent.expected.with_avoidance),
            informed_share: work_of(|sent| sent.is_informed) / total.max(1e-9),
            age_s: now - self.started_at,
        }
    }
}
