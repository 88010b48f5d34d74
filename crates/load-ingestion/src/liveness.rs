//! Reporters that have fallen silent. The controller takes a host for hung if the host is in use and no proxy reports on it
//! while others are reported on. Where the reporters themselves are silent, the host must not be blamed.
//!
//! | silent | passed to the controller |
//! | --- | --- |
//! | a host's own reports | nothing: the proxies' counters show its state |
//! | a proxy's reports, while its connection stands | its requests count as before; hosts that only it observes are excused |
//! | all reports at once | nothing: all hosts were last reported on at the same time, so that none stands out |

use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, ProxyId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Report periods without a report after which a proxy is silent.
const SILENT_AFTER_PERIODS: f64 = 2.5;
/// A host whose reporters are silent is excused for at most this time; the counters of a proxy that is silent for longer are
/// read instead.
const MAX_EXCUSE: Duration = Duration::from_millis(10_000);

/// When each proxy last reported.
#[derive(Debug, Default)]
pub struct ReporterLiveness {
    last_report: BTreeMap<ProxyId, Time>,
}

impl ReporterLiveness {
    /// A proxy has reported.
    pub fn on_report(&mut self, now: Time, proxy: ProxyId) {
        self.last_report.insert(proxy, now);
    }

    /// A proxy has left: it is no longer expected to report.
    pub fn remove(&mut self, proxy: ProxyId) {
        self.last_report.remove(&proxy);
    }

    /// Whether a proxy has reported within the last report periods.
    pub fn is_reporting(&self, now: Time, period: Duration, proxy: ProxyId) -> bool {
        self.last_report
            .get(&proxy)
            .is_some_and(|at| now - *at <= period.scaled(SILENT_AFTER_PERIODS))
    }

    /// Proxies that have reported before and are silent now.
    pub fn silent(&self, now: Time, period: Duration) -> BTreeSet<ProxyId> {
        let limit = period.scaled(SILENT_AFTER_PERIODS);
        self.last_report
            .iter()
            .filter(|(_, at)| now - **at > limit)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Hosts that only silent proxies observe. `hosts_by_proxy` has the hosts of the tables of each joined proxy. No host is
    /// excused while all proxies are silent, as none stands out then, nor for longer than `MAX_EXCUSE`.
    pub fn unobservable_hosts(
        &self,
        now: Time,
        period: Duration,
        hosts_by_proxy: &BTreeMap<ProxyId, BTreeSet<HostId>>,
    ) -> BTreeSet<HostId> {
        let silent = self.silent(now, period);
        let recently_silent = |id: &ProxyId| {
            self.last_report
                .get(id)
                .is_some_and(|at| now - *at <= MAX_EXCUSE)
        };
        if silent.is_empty() || hosts_by_proxy.keys().all(|id| silent.contains(id)) {
            return BTreeSet::new();
        }
        let silent = &silent;
        let hosts_of = |is_silent: bool| {
            hosts_by_proxy
                .iter()
                .filter(move |(id, _)| silent.contains(id) == is_silent)
        };
        let observed: BTreeSet<&HostId> = hosts_of(false).flat_map(|(_, hosts)| hosts).collect();
        let of_silent_proxies = hosts_of(true)
            .filter(|(id, _)| recently_silent(id))
            .flat_map(|(_, hosts)| hosts);
        of_silent_proxies
            .filter(|host| !observed.contains(host))
            .cloned()
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000 + ms * 1_000)
    }

    #[test]
    fn hosts_that_only_a_silent_proxy_observes_are_excused_for_a_limited_time() {
        let period = Duration::from_millis(1_000);
        let host = |name: &str| HostId(name.into());
        let hosts_by_proxy: BTreeMap<ProxyId, BTreeSet<HostId>> = [
            (ProxyId(0), [host("a"), host("b")].into()),
            (ProxyId(1), [host("b"), host("c")].into()),
        ]
        .into();
        let mut liveness = ReporterLiveness::default();
        liveness.on_report(at(0), ProxyId(0));
        liveness.on_report(at(0), ProxyId(1));
        liveness.on_report(at(4_000), ProxyId(1));
        assert_eq!(liveness.silent(at(4_000), period), [ProxyId(0)].into());
        assert_eq!(
            liveness.unobservable_hosts(at(4_000), period, &hosts_by_proxy),
            [host("a")].into()
        );
        // All proxies are silent at once: the fault is not with the hosts.
        assert!(
            liveness
                .unobservable_hosts(at(8_000), period, &hosts_by_proxy)
                .is_empty()
        );
        liveness.on_report(at(11_000), ProxyId(1));
        assert!(
            liveness
                .unobservable_hosts(at(11_000), period, &hosts_by_proxy)
                .is_empty(),
            "the excuse has expired"
        );
    }
}
