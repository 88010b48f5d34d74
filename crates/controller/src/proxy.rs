//! Proxies: the rates of requests that reach them, and their bindings to tables.

use crate::ids::{ProxyId, RequestClassId, ZoneId};
use crate::time::{DurationExt, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Averaging window for request rates.
const RATE_WINDOW: Duration = Duration::from_millis(5_000);
/// Rate added to the demand of each class before it is used to split usual rates, so that the sum is never zero.
const MIN_RATE: f64 = 1e-3;

/// A joining proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JoiningProxy {
    /// Its ID.
    pub id: ProxyId,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it has just started, as opposed to migrating from another controller or rejoining.
    pub newly_started: bool,
    /// Requests per second that usually reach it; values that are not positive and finite count as zero.
    pub usual_rate: f64,
}

/// Whether a proxy's binding is known to be in effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BindingState {
    Confirmed,
    /// The binding may not have been applied.
    Unconfirmed,
}

/// The state of one proxy.
pub(crate) struct Proxy {
    zone: ZoneId,
    /// Requests per second by class.
    rates: Vec<f64>,
    newly_started: bool,
    /// Requests per second that it stated when it joined; zero if it stated none.
    usual_rate: f64,
    /// Since when its requests are counted: the start of its first report. Until then, it keeps its usual rate.
    counted_since: Option<Time>,
    table: Option<usize>,
    binding: BindingState,
    /// Earliest time for sending its binding.
    bind_not_before: Time,
}

impl Proxy {
    pub(crate) fn zone(&self) -> ZoneId {
        self.zone
    }

    pub(crate) fn is_newly_started(&self) -> bool {
        self.newly_started
    }

    /// Returns the shared table that it is bound to.
    pub(crate) fn table(&self) -> Option<usize> {
        self.table
    }

    /// Returns the requests per second that reach it.
    pub(crate) fn rate(&self) -> f64 {
        self.rates.iter().sum()
    }

    /// Returns the requests per second of each class that reach it.
    pub(crate) fn rates(&self) -> &[f64] {
        &self.rates
    }

    /// Returns whether its binding should be sent now.
    fn is_binding_due(&self, now: Time) -> bool {
        let needs_binding = self.table.is_none() || self.binding == BindingState::Unconfirmed;
        needs_binding && now >= self.bind_not_before
    }

    /// Records that its binding is sent.
    pub(crate) fn mark_bound(&mut self, table: usize) {
        self.table = Some(table);
        self.binding = BindingState::Confirmed;
    }

    /// Records that its binding may not have been applied.
    pub(crate) fn mark_unconfirmed(&mut self) {
        self.binding = BindingState::Unconfirmed;
    }

    /// Schedules its binding to be sent again, at `not_before` or later.
    pub(crate) fn schedule_rebind(&mut self, not_before: Time) {
        self.binding = BindingState::Unconfirmed;
        self.bind_not_before = not_before;
    }

    /// Adds requests to its rate. Returns whether they were counted.
    fn record_requests(
        &mut self,
        now: Time,
        class: RequestClassId,
        requests: f64,
        period: Duration,
    ) -> bool {
        self.counted_since.get_or_insert(now.before(period));
        let Some(rate) = self.rates.get_mut(class.0 as usize) else {
            return false;
        };
        let is_valid = period > Duration::ZERO && requests.is_finite();
        if is_valid {
            *rate += requests / RATE_WINDOW.seconds();
        }
        is_valid
    }

    /// Decays its rates by the part of the time from `from` to `to` in which its requests were counted.
    fn decay_rates(&mut self, from: Time, to: Time) {
        let Some(counted_since) = self.counted_since else {
            return;
        };
        let elapsed = to - from.max(counted_since);
        let factor = 1.0 - elapsed.sample_weight(RATE_WINDOW);
        for rate in &mut self.rates {
            *rate *= factor;
        }
    }
}

/// The joined proxies, by ID.
pub(crate) struct ProxyRegistry {
    proxies: BTreeMap<ProxyId, Proxy>,
    class_count: usize,
    newest_arrivals_at: Time,
    decayed_at: Time,
}

impl ProxyRegistry {
    pub(crate) fn new(class_count: usize, now: Time) -> ProxyRegistry {
        ProxyRegistry {
            proxies: BTreeMap::new(),
            class_count,
            newest_arrivals_at: Time::default(),
            decayed_at: now,
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.values()
    }

    /// Returns the number of joined proxies.
    pub(crate) fn len(&self) -> usize {
        self.proxies.len()
    }

    /// Returns the requests per second that the joined proxies stated when they joined; zero if they stated none.
    pub(crate) fn stated_demand(&self) -> f64 {
        self.iter().map(|proxy| proxy.usual_rate).sum()
    }

    pub(crate) fn get(&self, id: ProxyId) -> Option<&Proxy> {
        self.proxies.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ProxyId) -> Option<&mut Proxy> {
        self.proxies.get_mut(&id)
    }

    /// Returns the requests per second that reach all proxies.
    pub(crate) fn demand(&self) -> f64 {
        self.iter().map(Proxy::rate).sum()
    }

    /// Returns the requests per second of each class that reach all proxies.
    pub(crate) fn demand_by_class(&self) -> Vec<f64> {
        let of_class = |class: usize| self.iter().map(|proxy| proxy.rates[class]).sum();
        (0..self.class_count).map(of_class).collect()
    }

    /// Returns the requests per second of a class that reach the busiest proxy.
    pub(crate) fn busiest_rate(&self, class: usize) -> f64 {
        self.iter()
            .map(|proxy| proxy.rates[class])
            .fold(0.0, f64::max)
    }

    /// Adds a proxy. Until it reports requests, it counts with its usual rate, split by class like the demand of the
    /// others.
    pub(crate) fn join(&mut self, now: Time, joining: &JoiningProxy) {
        let is_valid = joining.usual_rate.is_finite() && joining.usual_rate > 0.0;
        let usual_rate = if is_valid { joining.usual_rate } else { 0.0 };
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
            usual_rate,
            counted_since: None,
            table: None,
            binding: BindingState::Confirmed,
            bind_not_before: now,
        };
        self.proxies.insert(joining.id, proxy);
    }

    pub(crate) fn leave(&mut self, id: ProxyId) -> Option<Proxy> {
        self.proxies.remove(&id)
    }

    /// Records requests of a class that reached a proxy. Rates are computed from exponentially decaying counts rather
    /// than report periods: periods without requests produce no report, so proxies with few requests would be
    /// overestimated several times over.
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
        if requests > 0.0 && proxy.record_requests(now, class, requests, period) {
            self.newest_arrivals_at = now;
        }
    }

    /// Decays the rates by the time between the latest reports. If there are no reports at all, the rates do not
    /// change. A proxy's rates do not decay by time before its first report, in which nobody counted its requests:
    /// the demand on a controller that had just started would be underestimated, and too much would be admitted.
    pub(crate) fn decay_rates(&mut self) {
        let decayed_at = self.decayed_at;
        self.decayed_at = decayed_at.max(self.newest_arrivals_at);
        for proxy in self.proxies.values_mut() {
            proxy.decay_rates(decayed_at, self.decayed_at);
        }
    }

    /// Returns the proxies whose binding should be sent now, the busiest first, so that the less busy ones even out the
    /// load.
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
