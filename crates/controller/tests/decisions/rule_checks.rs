//! Rules that must hold whenever the controller has no more to say.

use crate::common::{SECOND, SimulatedFleet, ms};
use pondarch_controller::{DurationExt, EndpointState, RetryPolicy};

impl SimulatedFleet {
    /// Rules that must hold whenever the controller has no more to say.
    pub(crate) fn check(&self) {
        let open_warm = self.listed.values().any(|h| self.is_warm(h));
        for (id, proxy) in &self.proxies {
            assert!(!proxy.tables.is_empty(), "{id:?} was not answered");
            for table in proxy.tables.values() {
                let hosts = self.hosts_of(*table);
                assert!(
                    !open_warm || !hosts.is_empty(),
                    "{id:?} has nothing to pick on {table:?}"
                );
                for host in &hosts {
                    let state = self
                        .listed
                        .get(host)
                        .map_or(EndpointState::Removed, |h| h.state);
                    assert!(
                        state == EndpointState::Ready || !self.is_due(host),
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
                if !self.is_due(host) {
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
        for (quota, attempts) in self.admission.values() {
            assert!(
                *quota >= 0.0 && *attempts <= RetryPolicy::IfUnprocessed,
                "a try that may have run is repeated"
            );
        }
    }
}
