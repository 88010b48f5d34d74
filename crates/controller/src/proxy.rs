//! Proxies: the requests that reach them, and the table that each one is bound to.

use crate::ids::{ProxyId, RequestClassId, ZoneId};
use crate::time::{DurationExt, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which the rates of requests are averaged.
const RATE_WINDOW: Duration = Duration::from_millis(5_000);
/// Requests a second of each class taken for certain, so that usual rates can be split by them.
const MIN_RATE: f64 = 1e-3;

/// A proxy that joins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JoiningProxy {
    /// Its number.
    pub id: ProxyId,
    /// The zone it stands in.
    pub zone: ZoneId,
    /// Whether it has just started, rather than come over from another controller or come back.
    pub newly_started: bool,
    /// Requests a second that usually reach it; values that are no positive number count as zero.
    pub usual_rate: f64,
}

/// Whether a proxy's binding is known to hold.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BindingState {
    Confirmed,
    /// What it is bound to may not have been applied.
    Unconfirmed,
}

/// All that is known of one proxy.
pub(crate) struct Proxy {
    zone: ZoneId,
    /// Requests a second, by class.
    rates: Vec<f64>,
    newly_started: bool,
    /// Whether reports of its requests have come: without any, it keeps its usual rate.
    has_reported: bool,
    table: Option<usize>,
    binding: BindingState,
    bind_not_before: Time,
}

impl Proxy {
    pub(crate) fn zone(&self) -> ZoneId {
        self.zone
    }

    pub(crate) fn is_newly_started(&self) -> bool {
        self.newly_started
    }

    /// The shared table that it is bound to.
    pub(crate) fn table(&self) -> Option<usize> {
        self.table
    }

    /// Requests a second that reach it.
    pub(crate) fn rate(&self) -> f64 {
        self.rates.iter().sum()
    }

    /// Requests a second of each class that reach it.
    pub(crate) fn rates(&self) -> &[f64] {
        &self.rates
    }

    /// Whether it should be sent its binding now.
    fn is_binding_due(&self, now: Time) -> bool {
        let is_open = self.table.is_none() || self.binding == BindingState::Unconfirmed;
        is_open && now >= self.bind_not_before
    }

    /// Notes that it is sent its binding.
    pub(crate) fn mark_bound(&mut self, table: usize) {
        self.table = Some(table);
        self.binding = BindingState::Confirmed;
    }

    /// Notes that it may not have applied its binding.
    pub(crate) fn mark_unconfirmed(&mut self) {
        self.binding = BindingState::Unconfirmed;
    }

    /// Has its binding sent again, at this time or later.
    pub(crate) fn bind_again(&mut self, not_before: Time) {
        self.binding = BindingState::Unconfirmed;
        self.bind_not_before = not_before;
    }

    /// Adds requests; gives whether they count.
    fn record_requests(&mut self, class: RequestClassId, requests: f64, period: Duration) -> bool {
        self.has_reported = true;
        let Some(rate) = self.rates.get_mut(class.0 as usize) else {
            return false;
        };
        let is_valid = period > Duration::ZERO && requests.is_finite();
        if is_valid {
            *rate += requests / RATE_WINDOW.seconds();
        }
        is_valid
    }

    fn fade_rates(&mut self, factor: f64) {
        let factor = if self.has_reported { factor } else { 1.0 };
        for rate in &mut self.rates {
            *rate *= factor;
        }
    }
}

/// The proxies that are joined, by number.
pub(crate) struct ProxyRegistry {
    proxies: BTreeMap<ProxyId, Proxy>,
    class_count: usize,
    newest_arrivals_at: Time,
    faded_at: Time,
}

impl ProxyRegistry {
    pub(crate) fn new(class_count: usize, now: Time) -> ProxyRegistry {
        ProxyRegistry {
            proxies: BTreeMap::new(),
            class_count,
            newest_arrivals_at: Time::default(),
            faded_at: now,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.values()
    }

    pub(crate) fn get(&self, id: ProxyId) -> Option<&Proxy> {
        self.proxies.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ProxyId) -> Option<&mut Proxy> {
        self.proxies.get_mut(&id)
    }

    /// Requests a second that reach all proxies.
    pub(crate) fn demand(&self) -> f64 {
        self.iter().map(Proxy::rate).sum()
    }

    /// Requests a second of each class that reach all proxies.
    pub(crate) fn demand_by_class(&self) -> Vec<f64> {
        let of_class = |class: usize| self.iter().map(|proxy| proxy.rates[class]).sum();
        (0..self.class_count).map(of_class).collect()
    }

    /// Requests a second of a class that reach the busiest proxy.
    pub(crate) fn busiest_rate(&self, class: usize) -> f64 {
        self.iter()
            .map(|proxy| proxy.rates[class])
            .fold(0.0, f64::max)
    }

    /// Until its requests are heard of, a proxy is taken to have its usual ones, of the classes that others have.
    pub(crate) fn join(&mut self, now: Time, joining: &JoiningProxy) {
        let is_stated = joining.usual_rate.is_finite() && joining.usual_rate > 0.0;
        let usual_rate = if is_stated { joining.usual_rate } else { 0.0 };
        let by_class = self.demand_by_class();
        let shares: Vec<f64> = by_class.iter().map(|rate| rate + MIN_RATE).collect();
        let sum: f64 = shares.iter().sum();
        let rates = shares
            .iter()
            .map(|share| usual_rate * share / sum)
            .collect();
        let proxy = Proxy {
            zone: joining.zone,
            rates,
            newly_started: joining.newly_started,
            has_reported: false,
            table: None,
            binding: BindingState::Confirmed,
            bind_not_before: now,
        };
        self.proxies.insert(joining.id, proxy);
    }

    pub(crate) fn leave(&mut self, id: ProxyId) -> Option<Proxy> {
        self.proxies.remove(&id)
    }

    /// Requests of a class have reached a proxy. Rates are counts that fade: periods without requests bring no report, and
    /// by the reports' own periods a proxy of few requests would count several times over.
    pub(crate) fn record_arrivals(
        &mut self,
        now: Time,
        id: ProxyId,
        class: RequestClassId,
        requests: f64,
        period: Duration,
    ) {
        let Some(proxy) = self.proxies.get_mut(&id) else {
            return;
        };
        if requests > 0.0 && proxy.record_requests(class, requests, period) {
            self.newest_arrivals_at = now;
        }
    }

    /// Lets requests fade, by the time between reports: where none comes at all, nothing fades.
    pub(crate) fn fade_rates(&mut self) {
        let passed = self.newest_arrivals_at - self.faded_at;
        let factor = 1.0 - passed.sample_weight(RATE_WINDOW);
        self.faded_at = self.faded_at.max(self.newest_arrivals_at);
        for proxy in self.proxies.values_mut() {
            proxy.fade_rates(factor);
        }
    }

    /// Proxies that should be sent their binding now: the heaviest first, so that the light ones even out.
    pub(crate) fn due_for_binding(&self, now: Time) -> Vec<ProxyId> {
        let due = self
            .proxies
            .iter()
            .filter(|(_, proxy)| proxy.is_binding_due(now));
        let mut due: Vec<(ProxyId, f64)> = due.map(|(&id, proxy)| (id, proxy.rate())).collect();
        due.sort_by(|a, b| b.1.total_cmp(&a.1));
        due.into_iter().map(|(id, _)| id).collect()
    }
}
