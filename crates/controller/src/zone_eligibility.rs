//! Zone eligibility: which hosts may be in the table of their zone.
//!
//! The weight of a warming host limits its part of its table's requests only as long as the other hosts take theirs. When
//! proxies avoid these, it gets all of them. A zone has a single table, so its warming hosts can't have one of their own
//! as in shared tables (see `warming_tables`): they wait until they are warm, unless the warm hosts are too few.

use crate::endpoint::EndpointState;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::ZoneId;
use crate::time::Time;
use std::collections::BTreeSet;

/// Part of the weight of a zone's listed hosts that the warm ones must have for the others to wait.
const MIN_WARM_WEIGHT: f64 = 0.5;

/// Decides which hosts may be in the tables of their zones.
pub(crate) fn update_zone_eligibility(hosts: &mut HostRegistry, policy: &HostPolicy, now: Time) {
    let zones: BTreeSet<ZoneId> = hosts.iter().map(Host::zone).collect();
    let few_warm: BTreeSet<ZoneId> = zones
        .into_iter()
        .filter(|zone| {
            let of_zone = hosts.iter().filter(|host| host.zone() == *zone);
            are_warm_hosts_too_few(of_zone, policy, now)
        })
        .collect();
    for host in hosts.iter_mut() {
        host.may_serve_zone = policy.is_warm(host, now) || few_warm.contains(&host.zone());
    }
}

/// Returns whether the warm hosts of a zone have too little of its weight to serve without the others.
fn are_warm_hosts_too_few<'a>(
    hosts: impl Iterator<Item = &'a Host>,
    policy: &HostPolicy,
    now: Time,
) -> bool {
    let mut listed_weight = 0.0;
    let mut warm_weight = 0.0;
    for host in hosts {
        if host.state() != EndpointState::Removed {
            listed_weight += host.weight();
        }
        if policy.is_ready(host, now) && policy.is_warm(host, now) {
            warm_weight += host.weight();
        }
    }
    warm_weight < listed_weight * MIN_WARM_WEIGHT
}
