//! What silence says. A host that is in use and that no proxy reports on while others are reported on is hung: that is the
//! module's own rule. But where the reporters themselves are silent, the host is not to blame.
//!
//! | silent | told to the module |
//! | --- | --- |
//! | a host's own reports | nothing: proxies' sums say how it is |
//! | a proxy's reports, while its connection stands | its reqs are as they were; hosts that it alone met are excused |
//! | all reports at once | nothing: newest and last are equally old, so that nobody stands out |

use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, ProxyId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Report periods without a word after which a proxy is silent.
const SILENT_AFTER: f64 = 2.5;
/// For so long a host is excused whose reporters are silent; a proxy that says nothing for longer has its sums read.
const EXCUSED_FOR: Duration = Duration::from_millis(10_000);

#[derive(Debug, Default)]
pub struct Silence {
    heard: BTreeMap<ProxyId, Time>,
}

impl Silence {
    pub fn heard(&mut self, now: Time, proxy: ProxyId) {
        self.heard.insert(proxy, now);
    }

    pub fn left(&mut self, proxy: ProxyId) {
        self.heard.remove(&proxy);
    }

    /// Whether a proxy was heard of lately.
    pub fn speaks(&self, now: Time, every: Duration, proxy: ProxyId) -> bool {
        self.heard
            .get(&proxy)
            .is_some_and(|at| now - *at <= every.scaled(SILENT_AFTER))
    }

    /// Proxies that were heard of and are silent.
    pub fn silent(&self, now: Time, every: Duration) -> BTreeSet<ProxyId> {
        let limit = every.scaled(SILENT_AFTER);
        self.heard
            .iter()
            .filter(|(_, at)| now - **at > limit)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Hosts that only silent proxies meet. `meets`: for each joined proxy, the hosts of its tables. Nobody is excused
    /// while all are silent, as nobody stands out then, nor for longer than a while.
    pub fn excused(
        &self,
        now: Time,
        every: Duration,
        meets: &BTreeMap<ProxyId, BTreeSet<HostId>>,
    ) -> BTreeSet<HostId> {
        let silent = self.silent(now, every);
        let lately = |id: &ProxyId| {
            self.heard
                .get(id)
                .is_some_and(|at| now - *at <= EXCUSED_FOR)
        };
        if silent.is_empty() || meets.keys().all(|id| silent.contains(id)) {
            return BTreeSet::new();
        }
        let silent = &silent;
        let of = |wanted: bool| {
            meets
                .iter()
                .filter(move |(id, _)| silent.contains(id) == wanted)
        };
        let seen: BTreeSet<&HostId> = of(false).flat_map(|(_, hosts)| hosts).collect();
        let unseen = of(true)
            .filter(|(id, _)| lately(id))
            .flat_map(|(_, hosts)| hosts);
        unseen
            .filter(|host| !seen.contains(host))
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
    fn only_hosts_that_nobody_else_meets_are_excused_and_not_for_ever() {
        let every = Duration::from_millis(1_000);
        let host = |name: &str| HostId(name.into());
        let meets: BTreeMap<ProxyId, BTreeSet<HostId>> = [
            (ProxyId(0), [host("a"), host("b")].into()),
            (ProxyId(1), [host("b"), host("c")].into()),
        ]
        .into();
        let mut silence = Silence::default();
        silence.heard(at(0), ProxyId(0));
        silence.heard(at(0), ProxyId(1));
        silence.heard(at(4_000), ProxyId(1));
        assert_eq!(silence.silent(at(4_000), every), [ProxyId(0)].into());
        assert_eq!(
            silence.excused(at(4_000), every, &meets),
            [host("a")].into()
        );
        // All at once: that is our trouble.
        assert!(silence.excused(at(8_000), every, &meets).is_empty());
        silence.heard(at(11_000), ProxyId(1));
        assert!(
            silence.excused(at(11_000), every, &meets).is_empty(),
            "for too long"
        );
    }
}
