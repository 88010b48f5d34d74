//! Exposure of warming hosts: what the lines that proxies hold bring to each, as opposed to the lines that they should
//! hold. A host's part of its tables grows without any change of its own line when others leave the tables, when proxies
//! join, or when attempts are retried.

use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::time::Time;
use crate::warming_limit::WarmingLimit;

/// Ratio of the requests that a warming host gets by the lines sent to those that its weight should bring, above which it
/// is at risk: most of the room for a burst is used up.
const MAX_EXPOSURE: f64 = 2.0;

/// State of the fleet that the exposure depends on.
pub(crate) struct ExposureView<'a> {
    pub(crate) now: Time,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) hosts: &'a HostRegistry,
    /// Attempts per second and unit of sent weight in each table, retries included.
    pub(crate) attempts_per_weight: &'a [f64],
    /// What warming hosts may be sent.
    pub(crate) warming_limit: WarmingLimit,
}

/// Returns whether each table has a warming host that is at risk by the lines sent.
pub(crate) fn exposed_tables(view: &ExposureView<'_>) -> Vec<bool> {
    let mut is_exposed = vec![false; view.attempts_per_weight.len()];
    for host in view.hosts.iter().filter(|host| is_at_risk(host, view)) {
        let held = host.memberships.iter();
        for membership in held.filter(|membership| membership.sent_weight() > 0.0) {
            is_exposed[membership.table()] = true;
        }
    }
    is_exposed
}

fn is_at_risk(host: &Host, view: &ExposureView<'_>) -> bool {
    if view.policy.is_warm(host, view.now) || !view.policy.is_ready(host, view.now) {
        return false;
    }
    let capacity = host.weight() * view.policy.warm_fraction(host, view.now);
    let attempts = host.memberships.expected_attempts(view.attempts_per_weight);
    attempts > MAX_EXPOSURE * view.warming_limit.rate_by_weight(capacity)
}
