//! Invariants that must hold whenever the controller has no pending decisions.

use crate::common::{SECOND, SimulatedFleet, ms};
use pondarch_controller::{DurationExt, EndpointState, RetryPolicy};

impl SimulatedFleet {
    /// Asserts all invariants.
    pub(crate) fn check_invariants(&self) {
        let has_warm_host = self.listed.values().any(|host| self.is_warm(host));
        for (id, proxy) in &self.proxies {
            assert!(!proxy.tables.is_empty(), "{id:?} has no binding");
            for table in proxy.tables.values() {
                let hosts = self.hosts_of(*table);
                assert!(
                    !has_warm_host || !hosts.is_empty(),
                    "{table:?} of {id:?} has no host"
                );
                for host in &hosts {
                    let state = self
                        .listed
                        .get(host)
                        .map_or(EndpointState::Removed, |listed| listed.state);
                    assert!(
                        state == EndpointState::Ready || !self.must_be_reflected(host),
                        "{host:?} is {state:?} but still in {table:?}"
                    );
                }
            }
            let window_start = self.now_us.saturating_sub(10 * SECOND);
            let times = proxy.message_times_us.iter();
            let sent = times.filter(|at| **at > window_start).count();
            assert!(
                sent <= self.max_messages,
                "{sent} messages to {id:?} within the window"
            );
        }
        for table in self.used_tables() {
            for (host, weight) in self
                .lines
                .iter()
                .filter(|((of, _), _)| *of == table)
                .map(|((_, host), weight)| (host, weight))
            {
                let Some(listed) = self
                    .listed
                    .get(host)
                    .filter(|listed| !listed.started.is_unset())
                else {
                    continue;
                };
                if !self.must_be_reflected(host) {
                    continue;
                }
                let age = (self.time() - listed.started).ratio(ms(18_000));
                // A warming host gets its warm fraction of its listed weight. Tolerated are the factor of 1.5 from
                // which a weight counts as excess weight, and one rounding step.
                let max_weight = listed.weight * (0.2 + 0.8 * age.min(1.0)) * 1.5 + 0.01;
                assert!(
                    *weight <= max_weight,
                    "{host:?} has weight {weight} after {age} of its slow start"
                );
            }
        }
        for (quota, retry_policy) in self.admission.values() {
            assert!(
                *quota >= 0.0 && *retry_policy <= RetryPolicy::IfUnprocessed,
                "negative quota, or retries of attempts that may have been processed"
            );
        }
    }
}
