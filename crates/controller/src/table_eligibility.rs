//! Table eligibility: which hosts may be in tables.
//!
//! The weight of a warming host limits its part of its table's requests only as long as the other hosts take theirs.
//! Proxies avoid hosts that fail them, clients repeat what failed, and one proxy may send as much as many: at worst a host
//! gets all requests of its tables, several times what it can do. So a host is in no table until it is warm, unless the
//! warm hosts are too few: by their weight, or because load is shed. Then it serves tables without warm hosts, see
//! `warming_tables`.

use crate::endpoint::EndpointState;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::ZoneId;
use crate::time::Time;
use std::collections::BTreeSet;

/// Part of the weight of the listed hosts that the warm ones must have for the others to wait.
const MIN_WARM_WEIGHT: f64 = 0.5;

/// The tables that a host may be in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TableEligibility {
    /// Whether it may be in shared tables.
    pub(crate) shared: bool,
    /// Whether it may be in the table of its zone.
    pub(crate) zone: bool,
}

impl TableEligibility {
    /// Returns whether it may be in any table.
    pub(crate) fn is_any(self) -> bool {
        self.shared || self.zone
    }
}

/// Decides which hosts may be in shared tables, and which in the tables of their zones if there are such tables.
pub(crate) fn update_eligibility(
    hosts: &mut HostRegistry,
    policy: &HostPolicy,
    now: Time,
    has_zone_tables: bool,
    is_shedding: bool,
) {
    let has_few_warm = |is_in_group: &dyn Fn(&Host) -> bool| {
        let group = hosts.iter().filter(|host| is_in_group(host));
        is_shedding || are_warm_hosts_too_few(group, policy, now)
    };
    let few_warm_in_fleet = has_few_warm(&|_| true);
    let zones: BTreeSet<ZoneId> = hosts.iter().map(Host::zone).collect();
    let few_warm_in_zone: BTreeSet<ZoneId> = zones
        .into_iter()
        .filter(|zone| has_zone_tables && has_few_warm(&|host| host.zone() == *zone))
        .collect();
    for host in hosts.iter_mut() {
        let is_warm = policy.is_warm(host, now);
        host.eligibility = TableEligibility {
            shared: is_warm || few_warm_in_fleet,
            zone: has_zone_tables && (is_warm || few_warm_in_zone.contains(&host.zone())),
        };
    }
}

/// Returns whether the warm hosts of a group have too little of its weight to serve without the others.
fn are_warm_hosts_too_few<'a>(
    group: impl Iterator<Item = &'a Host>,
    policy: &HostPolicy,
    now: Time,
) -> bool {
    let mut listed_weight = 0.0;
    let mut warm_weight = 0.0;
    for host in group {
        if host.state() != EndpointState::Removed {
            listed_weight += host.weight();
        }
        if policy.is_ready(host, now) && policy.is_warm(host, now) {
            warm_weight += host.weight();
        }
    }
    warm_weight < listed_weight * MIN_WARM_WEIGHT
}
