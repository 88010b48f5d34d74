//! The invariants that the controller must keep, checked against the updates that the relay has applied.

use super::{
    GRACE_PERIOD, HostState, MESSAGE_CAP, MESSAGE_WINDOW_MICROS, SLOW_START_MICROS, SimulatedFleet,
};
use pondarch_controller::{DurationExt, EndpointState, ProxyId};
use std::collections::BTreeSet;

impl SimulatedFleet {
    fn weights_of(&self, proxy: ProxyId) -> Vec<(&String, f64)> {
        let Some(bindings) = self.bindings.get(&proxy) else {
            return Vec::new();
        };
        let is_used = |table: u16| bindings.values().any(|used| *used == table);
        self.weights
            .iter()
            .filter(|((member_of, _), _)| is_used(*member_of))
            .map(|((_, host), weight)| (host, *weight))
            .collect()
    }

    pub(super) fn record_proxies_without_host(&mut self) {
        let warm = |host: &HostState| {
            host.state == EndpointState::Ready
                && (host.started == 0 || self.now - host.started > SLOW_START_MICROS)
        };
        let any_warm = self.listed.values().any(warm);
        let without_host: BTreeSet<ProxyId> = self
            .joined
            .keys()
            .copied()
            .filter(|proxy| any_warm && self.weights_of(*proxy).is_empty())
            .collect();
        self.without_host_since
            .retain(|proxy, _| without_host.contains(proxy));
        for proxy in without_host {
            self.without_host_since.entry(proxy).or_insert(self.now);
        }
    }

    /// Checks that each proxy has a host, that no proxy uses a draining or removed host, and that the weight of a host
    /// in slow start exceeds its current capacity by half at most.
    pub(crate) fn assert_invariants(&self) {
        for (proxy, since) in &self.without_host_since {
            assert!(!self.grace_is_over(*since), "{proxy:?} has no host");
        }
        for (&proxy, &joined) in &self.joined {
            for (host, weight) in self.weights_of(proxy) {
                self.assert_weight_allowed(proxy, joined, host, weight);
            }
        }
    }

    fn grace_is_over(&self, since: u64) -> bool {
        self.now - since.max(self.grace_start) > GRACE_PERIOD.micros()
    }

    fn assert_weight_allowed(&self, proxy: ProxyId, joined: u64, id: &str, weight: f64) {
        let listed = &self.ever_listed[id];
        let due = self.grace_is_over(listed.sent_at.max(joined));
        assert!(
            listed.host.state == EndpointState::Ready || !due,
            "{id} is still used by {proxy:?}"
        );
        if listed.host.started > 0 && due {
            let age = (self.now - listed.host.started) as f64 / SLOW_START_MICROS as f64;
            assert!(
                weight <= (0.2 + 0.8 * age.min(1.0)) * 1.5 + 0.01,
                "{id}: {weight} at {age}"
            );
        }
    }

    /// Checks that no proxy was sent more messages than the message cap allows.
    pub(crate) fn assert_message_cap(&self) {
        let window_start = self.now.saturating_sub(MESSAGE_WINDOW_MICROS);
        for proxy in self.joined.keys() {
            let recent = self.messages.get(proxy).map_or(0, |sent| {
                sent.iter().filter(|time| **time > window_start).count()
            });
            assert!(recent <= MESSAGE_CAP, "{recent} messages to {proxy:?}");
        }
    }
}
