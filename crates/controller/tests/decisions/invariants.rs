//! Invariants that must hold whenever the controller has no pending decisions.

use crate::common::{SECOND, SimulatedFleet, ms};
use pondarch_controller::{DurationExt, EndpointState, HostId, RetryPolicy, TableId};
use std::time::Duration;

/// Age of a host from which the tables must treat it as warm: it is warm at 18 s, and what can wait may wait for some refills
/// of the message cap.
const LONG_WARM_AGE: Duration = Duration::from_secs(28);
/// Warm hosts of a table beside which no warming host may be.
const MIN_WARM_HOSTS: usize = 3;

impl SimulatedFleet {
    /// Returns whether a table has enough hosts that have been warm for long.
    fn has_enough_warm_hosts(&self, table: TableId) -> bool {
        let is_long_warm = |host: &HostId| {
            let listed = self.listed.get(host);
            listed.is_some_and(|listed| {
                let started = self.latest_start[host];
                let is_old = started.is_unset() || self.time() - started >= LONG_WARM_AGE;
                let is_warm = self.is_warm(listed) && is_old;
                is_warm && self.must_be_reflected(host)
            })
        };
        let hosts = self.hosts_of(table);
        hosts.iter().filter(|host| is_long_warm(host)).count() >= MIN_WARM_HOSTS
    }

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
            self.check_warming_hosts(table);
        }
        for (quota, retry_policy) in self.admission.values() {
            assert!(
                *quota >= 0.0 && *retry_policy <= RetryPolicy::IfUnprocessed,
                "negative quota, or retries of attempts that may have been processed"
            );
        }
    }

    /// Asserts that the warming hosts of a table are apart from warm ones, and have no more weight than they can bear.
    fn check_warming_hosts(&self, table: TableId) {
        let lines = self.lines.iter().filter(|((of, _), _)| *of == table);
        for ((_, host), weight) in lines {
            let listed = self.listed.get(host);
            let Some(listed) = listed.filter(|listed| !listed.started.is_unset()) else {
                continue;
            };
            if !self.must_be_reflected(host) {
                continue;
            }
            assert!(
                self.is_warm(listed) || !self.has_enough_warm_hosts(table),
                "{host:?} is in {table:?} beside warm hosts before it is warm"
            );
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
}
