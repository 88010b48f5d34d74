//! Tests of hosts that restart while DNS caches still hold their old weights.

use super::{fleet, query};
use crate::simulated_fleet::*;
use pondarch_controller::ProxyId;
use std::collections::{BTreeMap, VecDeque};

/// Requests of each proxy per second. Warm hosts can take 1 per second, so that the 12 hosts are at 0.6 of their
/// capacity.
const REQUESTS_PER_PROXY: f64 = 1.8;
/// The multiple of its capacity from which a host counts as overloaded.
const OVERLOAD_MULTIPLE: f64 = 2.5;

/// Computes the requests that all proxies together send to a host: those with a runtime API by their tables, the others
/// by the DNS answers in their caches.
struct RequestLoad {
    /// By proxy: until when its answer is cached, and the fraction of requests that goes to each host by it.
    caches: BTreeMap<u16, (u64, BTreeMap<String, f64>)>,
}

impl RequestLoad {
    /// Requests per second to a host now.
    fn requests_per_second(&mut self, fleet: &mut SimulatedFleet, host: &str) -> f64 {
        for proxy in [2, 3] {
            if self
                .caches
                .get(&proxy)
                .is_none_or(|(until, _)| *until <= fleet.now)
            {
                query(fleet, proxy);
                let view = fleet.core.dns_view();
                let table = view.table_of(
                    Some(ProxyId(proxy)),
                    pondarch_controller::RequestClassId(0),
                    1,
                );
                let lines = table
                    .map(|table| view.table_hosts(table).to_vec())
                    .unwrap_or_default();
                let total_weight: f64 = lines.iter().map(|line| line.weight).sum();
                let fractions = lines
                    .iter()
                    .map(|line| (line.host.0.to_string(), line.weight / total_weight))
                    .collect();
                // The longest that a cache may hold the answer of 4 s, as it counts whole seconds.
                self.caches
                    .insert(proxy, (fleet.now + 5 * SECOND, fractions));
            }
        }
        let by_dns = self
            .caches
            .values()
            .filter_map(|(_, fractions)| fractions.get(host))
            .sum::<f64>();
        let by_runtime = [0, 1].map(|n| {
            let serving = fleet.serving(n, "proof");
            let total_weight: f64 = serving.values().map(|(_, weight)| f64::from(*weight)).sum();
            serving
                .get(host)
                .map_or(0.0, |(_, weight)| f64::from(*weight) / total_weight)
        });
        REQUESTS_PER_PROXY * (by_dns + by_runtime.iter().sum::<f64>())
    }
}

/// A host restarts under its name and address. DNS caches still hold its old, higher weight, which cannot be revoked.
/// If proxies with a runtime API sent it requests by its new weight as well, it would be overloaded.
#[test]
fn a_restarted_host_is_not_overloaded_by_cached_answers_and_new_tables_together() {
    let worst = (0..12).map(worst_load_of_restarted_host);
    let worst = worst.fold(0.0, f64::max);
    assert!(
        worst < 1.0,
        "{worst} of the load at which a warming host is overloaded"
    );
}

/// The highest load of host `n` after its restart, as a fraction of that at which it is overloaded.
fn worst_load_of_restarted_host(n: usize) -> f64 {
    let mut worst = 0.0f64;
    let mut fleet = fleet();
    let mut load = RequestLoad {
        caches: BTreeMap::new(),
    };
    let name = format!("host-{n}");
    for _ in 0..30 {
        fleet.run(100);
        load.requests_per_second(&mut fleet, &name);
    }
    let restarted_at = fleet.now;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[n].started = Some(restarted_at as f64 / 1e6);
    fleet.apply_list(hosts);
    let mut requests = VecDeque::new();
    let mut returned_at_age = None;
    while fleet.now < restarted_at + 21 * SECOND {
        fleet.run(100);
        let now = load.requests_per_second(&mut fleet, &name);
        requests.push_back(now * 0.1);
        if requests.len() > 20 {
            requests.pop_front();
        }
        let age = (fleet.now - restarted_at) as f64 / 1e6;
        let warm_fraction = 0.2 + 0.8 * (age / 18.0).min(1.0);
        // Answers from before the restart cannot be revoked; they have expired from all caches after 5.2 s.
        if age > 5.3 {
            let fraction = requests.iter().sum::<f64>() / (OVERLOAD_MULTIPLE * warm_fraction * 2.0);
            worst = worst.max(fraction);
        }
        let in_tables = [0, 1]
            .iter()
            .any(|&proxy| fleet.serving(proxy, "proof").contains_key(&name));
        let answered = is_answered(&fleet, &name);
        if age < 2.0
            && load
                .caches
                .values()
                .any(|(_, fractions)| fractions.contains_key(&name))
        {
            assert!(
                !in_tables && !answered,
                "{name} is in cached answers from before its restart and in new tables at {age} s"
            );
        }
        if in_tables || answered {
            returned_at_age.get_or_insert(age);
        }
    }
    assert!(
        returned_at_age.is_some_and(|age| (18.0..20.0).contains(&age)),
        "{name} returned at an age of {returned_at_age:?} s"
    );
    worst
}

fn is_answered(fleet: &SimulatedFleet, name: &str) -> bool {
    fleet
        .core
        .dns_view()
        .tables
        .values()
        .flatten()
        .any(|line| *line.host.0 == *name)
}

#[test]
fn a_restarted_host_is_not_excluded_if_it_is_the_only_host() {
    let mut fleet = fleet();
    fleet.apply_list(vec![host(0)]);
    fleet.run(8_000);
    query(&mut fleet, 2);
    fleet.run(300);
    let mut restarted = host(0);
    restarted.started = Some(fleet.now as f64 / 1e6);
    fleet.apply_list(vec![restarted]);
    fleet.run(300);
    let view = fleet.core.dns_view();
    assert!(
        view.tables.values().any(|lines| !lines.is_empty()),
        "the only host is excluded"
    );
    assert!(fleet.serving(0, "proof").contains_key("host-0"));
}
