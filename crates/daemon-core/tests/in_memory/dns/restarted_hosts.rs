//! Hosts that start anew while caches still hold their old lines.

use super::{fleet, query};
use crate::simulated_fleet::*;
use pondarch_controller::ProxyId;
use std::collections::{BTreeMap, VecDeque};

/// Requests a second of each proxy, and what a warm host can do, so that the fleet is at 0.6.
const REQUESTS_PER_PROXY: f64 = 1.8;
const OVERLOAD_MULTIPLE: f64 = 2.5;

/// What all proxies bring a host a second: those with a runtime API by what they hold, those that ask by what their
/// caches hold.
struct Load {
    /// By proxy: until when its answer is held, and each host's part in it.
    caches: BTreeMap<u16, (u64, BTreeMap<String, f64>)>,
}

impl Load {
    fn at(&mut self, fleet: &mut SimulatedFleet, host: &str) -> f64 {
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
                let all: f64 = lines.iter().map(|line| line.weight).sum();
                let parts = lines
                    .iter()
                    .map(|line| (line.host.0.to_string(), line.weight / all))
                    .collect();
                // The worst that a cache does: it counts whole seconds.
                self.caches.insert(proxy, (fleet.now + 5 * SECOND, parts));
            }
        }
        let held = self
            .caches
            .values()
            .filter_map(|(_, parts)| parts.get(host))
            .sum::<f64>();
        let by_runtime = [0, 1].map(|n| {
            let serving = fleet.serving(n, "proof");
            let all: f64 = serving.values().map(|(_, weight)| f64::from(*weight)).sum();
            serving
                .get(host)
                .map_or(0.0, |(_, weight)| f64::from(*weight) / all)
        });
        REQUESTS_PER_PROXY * (held + by_runtime.iter().sum::<f64>())
    }
}

/// A host is replaced under its own name and address: caches hold its old, heavy line, which nobody can take back, while
/// the other front would bring it its new one on top.
#[test]
fn a_cold_host_is_not_overloaded_by_both_fronts_together() {
    let worst = (0..12).map(worst_load_of_restarted_host);
    let worst = worst.fold(0.0, f64::max);
    assert!(worst < 1.0, "{worst} of what a cold host bears");
}

/// The highest part of what it bears that host `n` gets after its restart.
fn worst_load_of_restarted_host(n: usize) -> f64 {
    let mut worst = 0.0f64;
    let mut fleet = fleet();
    let mut load = Load {
        caches: BTreeMap::new(),
    };
    let name = format!("host-{n}");
    for _ in 0..30 {
        fleet.run(100);
        load.at(&mut fleet, &name);
    }
    let start = fleet.now;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[n].started = Some(start as f64 / 1e6);
    fleet.list(hosts);
    let mut requests = VecDeque::new();
    let mut returned = None;
    while fleet.now < start + 18 * SECOND {
        fleet.run(100);
        let now = load.at(&mut fleet, &name);
        requests.push_back(now * 0.1);
        if requests.len() > 20 {
            requests.pop_front();
        }
        let age = (fleet.now - start) as f64 / 1e6;
        let share = 0.2 + 0.8 * age / 18.0;
        // Answers from before the start cannot be taken back; theirs have run out after 5.2 s.
        if age > 5.3 {
            let part = requests.iter().sum::<f64>() / (OVERLOAD_MULTIPLE * share * 2.0);
            worst = worst.max(part);
        }
        let own = [0, 1]
            .iter()
            .any(|&p| fleet.serving(p, "proof").contains_key(&name));
        let answered = is_answered(&fleet, &name);
        if age < 2.0
            && load
                .caches
                .values()
                .any(|(_, parts)| parts.contains_key(&name))
        {
            assert!(
                !own && !answered,
                "{name} is in old answers, and in new ones at {age} s"
            );
        }
        if own || answered {
            returned.get_or_insert(age);
        }
    }
    assert!(
        returned.is_some_and(|age| age < 8.0),
        "{name} returned at {returned:?}"
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
fn a_host_that_is_alone_is_not_kept_out() {
    let mut fleet = fleet();
    fleet.list(vec![host(0)]);
    fleet.run(8_000);
    query(&mut fleet, 2);
    fleet.run(300);
    let mut again = host(0);
    again.started = Some(fleet.now as f64 / 1e6);
    fleet.list(vec![again]);
    fleet.run(300);
    let view = fleet.core.dns_view();
    assert!(
        view.tables.values().any(|lines| !lines.is_empty()),
        "a cold host is better than none"
    );
    assert!(fleet.serving(0, "proof").contains_key("host-0"));
}
