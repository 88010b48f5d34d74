//! The judge of the rule on overload: what warming hosts are sent, what the proxies' tables let expect, and which of it
//! counts.

use crate::loaded_host::{
    ExpectedRate, LoadedHost, OVERLOAD_MULTIPLE, OVERLOAD_SPAN_S, Origin, Request, WarmingLoad,
};
use crate::loaded_world::{CLASS_NAMES, CLASS_SHARES, CLASS_WORK, WORK_VARIATION, World};
use std::collections::BTreeMap;

/// How often the load that tables let expect is computed.
pub(crate) const EXPECTATION_INTERVAL_S: f64 = 0.1;
/// Added to the grace period on sockets.
const GRACE_SLACK_S: f64 = 0.3;
/// Standard deviations above the mean up to which a load counts as likely.
const LIKELY_DEVIATIONS: f64 = 2.0;
/// Time from a controller's first answer until the rules apply to it.
const RULES_START_AFTER_S: f64 = 1.0;
/// Time in which a controller has read a change of its list.
const LIST_READ_S: f64 = 0.1;

/// A warming host that was sent much.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overloaded {
    pub host: String,
    pub at: f64,
    pub load: WarmingLoad,
    /// The factor on all requests, and the attempts per admitted request of the whole fleet.
    pub rate_factor: f64,
    pub attempts_per_request: f64,
    /// What the host can do when it is warm, in requests per second and unit of weight.
    pub full_rate_per_weight: f64,
    /// The proxies that have no controller.
    pub orphans: usize,
}

impl World {
    /// Computes what the tables of all proxies let expect at each warming host.
    pub(crate) fn expect_load(&mut self, now: f64) {
        let warming = self.hosts.iter();
        let warming = warming.filter(|(_, host)| host.is_up && host.is_warming(now));
        let mut rates: BTreeMap<String, ExpectedRate> = warming
            .map(|(id, _)| (id.clone(), ExpectedRate::default()))
            .collect();
        // Attempts that are retried and requests that clients repeat come on top.
        let factor = self.rate_factor(now) * self.attempts_per_request();
        for (id, proxy) in self.proxies.iter().enumerate() {
            let by_class = CLASS_NAMES.iter().zip(CLASS_SHARES).zip(CLASS_WORK);
            let admitted: f64 = by_class
                .map(|((class, share), work)| proxy.admitted(class) * share * work)
                .sum();
            let rate = proxy.rate * factor * admitted;
            for (host, expected) in &mut rates {
                let (by_weights, with_avoidance) = proxy.shares_of(host, now);
                expected.by_weights += rate * by_weights;
                expected.with_avoidance += rate * with_avoidance;
                if with_avoidance > 0.0 && self.is_informed(id, host, now) {
                    expected.informed += rate * with_avoidance;
                }
            }
        }
        for (id, expected) in &rates {
            let host = self.hosts.get_mut(id).expect("a known host");
            let in_span = host.expect(now, *expected);
            if in_span.counts() {
                self.record_exposure(id, in_span.with_avoidance, now);
            }
        }
        self.expected_rates = rates;
    }

    /// Records how near the work that a warming host is expected to be sent in the span comes to the rule's bound.
    fn record_exposure(&mut self, host: &str, mean: f64, now: f64) {
        let state = &self.hosts[host];
        let budget = OVERLOAD_MULTIPLE * state.capacity(now) * OVERLOAD_SPAN_S;
        // The work of a request varies as well as their number.
        let variance_factor = 1.0 + WORK_VARIATION * WORK_VARIATION;
        let likely = mean + LIKELY_DEVIATIONS * (mean * variance_factor).sqrt();
        let multiple = OVERLOAD_MULTIPLE * likely / budget;
        if multiple > self.most_likely.load.sent {
            let load = WarmingLoad {
                sent: multiple,
                expected: mean / OVERLOAD_SPAN_S / state.capacity(now),
                age_s: now - state.started_at,
                ..WarmingLoad::default()
            };
            self.most_likely = Overloaded {
                host: host.to_string(),
                at: now,
                load,
                ..Overloaded::default()
            };
        }
        let in_units = |work: f64| work / variance_factor;
        let tail = poisson_tail(in_units(mean), in_units(budget));
        self.expected_overloads += tail * EXPECTATION_INTERVAL_S / OVERLOAD_SPAN_S;
    }

    /// Counts a retry to a warming host whose start the proxy's table knows of.
    pub(crate) fn count_ordered_retry(&mut self, host_id: &str, request: &Request) {
        let proxy = &self.proxies[request.proxy];
        let told_at = self.hosts[host_id].first_told_at[proxy.table_of];
        let sent_at = proxy.table.updated_at;
        let sent_s = sent_at.map(|at| (at - self.started).as_secs_f64());
        let knows = sent_s
            .zip(told_at)
            .is_some_and(|(sent_s, told_at)| sent_s >= told_at + LIST_READ_S);
        let is_ordered = request.origin == Origin::Retried;
        self.ordered_retries_to_warming += u64::from(is_ordered && knows);
    }

    /// Counts a request that is sent to a warming host, and lets the host fall over if it is one too many.
    pub(crate) fn count_sent(&mut self, host_id: &str, request: &Request, now: f64) {
        let is_informed = self.is_informed(request.proxy, host_id, now);
        let expected = self.expected_rates.get(host_id);
        let expected = expected.copied().unwrap_or_default();
        let host = self.hosts.get_mut(host_id).expect("a known host");
        let load = host.count_sent(now, request, is_informed, expected);
        let profile = host.profile;
        let orphans = self
            .proxies
            .iter()
            .filter(|proxy| proxy.controller.is_none());
        let overloaded = Overloaded {
            host: host_id.to_string(),
            at: now,
            load,
            rate_factor: self.rate_factor(now),
            attempts_per_request: self.attempts_per_request(),
            full_rate_per_weight: profile.full_rate / profile.weight,
            orphans: orphans.count(),
        };
        let host = self.hosts.get_mut(host_id).expect("a known host");
        if load.counts() && load.sent > self.worst.load.sent {
            self.worst = overloaded.clone();
        }
        if !load.is_overload() {
            return;
        }
        host.is_up = false;
        if load.counts() {
            self.overloaded.push(overloaded);
        } else {
            self.fell_uninformed.push(overloaded);
        }
    }

    /// Returns whether a proxy knows of a host's start by its last message, or its controller has for longer than the
    /// grace period.
    fn is_informed(&self, proxy: usize, host: &str, now: f64) -> bool {
        let proxy = &self.proxies[proxy];
        let LoadedHost {
            told_at,
            first_told_at,
            ..
        } = &self.hosts[host];
        let knows = proxy.last_sent.is_some_and(|(sent_at, by)| {
            first_told_at[by].is_some_and(|told_at| sent_at >= told_at)
        });
        let Some(controller) = proxy.controller else {
            return knows;
        };
        let ready_at = self.controllers[controller].ready_at;
        if ready_at.is_none_or(|at| now < at + RULES_START_AFTER_S) {
            return false;
        }
        let grace_s = self.parameters.grace_s * self.grace_factor + GRACE_SLACK_S;
        let is_grace_over = told_at[controller]
            .is_some_and(|told_at| now >= told_at.max(self.grace_from) + grace_s);
        knows || is_grace_over
    }
}

/// Probability that a Poisson variable of this mean exceeds the limit.
fn poisson_tail(mean: f64, limit: f64) -> f64 {
    let mut term = (-mean).exp();
    let mut sum = term;
    for n in 1..=limit as u32 {
        term *= mean / f64::from(n);
        sum += term;
    }
    (1.0 - sum).max(0.0)
}
