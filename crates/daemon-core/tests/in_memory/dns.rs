//! Proxies that take their tables from the DNS server.

mod answers;
mod restarted_hosts;
mod secondaries;

use crate::simulated_fleet::*;
use pondarch_config::DurationSetting;
use pondarch_config::site::{DnsSettings, Secondary};
use pondarch_controller::{ProxyId, TableId};
use pondarch_daemon_core::{Event, Input, ReportedLoad};
use pondarch_dns_server::UNBOUND_TABLE;

/// Two proxies with a runtime API, and two that query the DNS server; answers live 4 s, or 3 s with secondaries.
fn fleet() -> SimulatedFleet {
    fleet_with_secondaries(Vec::new())
}

fn fleet_with_secondaries(secondaries: Vec<Secondary>) -> SimulatedFleet {
    fleet_with_dns_proxies(secondaries, &[2, 3])
}

/// Four proxies, of which these query the DNS server.
fn fleet_with_dns_proxies(secondaries: Vec<Secondary>, by_name: &[usize]) -> SimulatedFleet {
    let mut site = site(4);
    site.dns = Some(DnsSettings {
        zone: "pond.example".into(),
        listen: ([127, 0, 0, 1], 0).into(),
        drain_grace_period: DurationSetting::from_millis(6_000),
        max_list_delay: DurationSetting::from_millis(500),
        lifetime_s: None,
        answers_per_second: 50.0,
        secondaries,
        max_secondary_lag: DurationSetting::from_millis(1_000),
        secondary_expiry: DurationSetting::from_millis(60_000),
    });
    by_name
        .iter()
        .for_each(|&n| site.proxies[n].runtime_api = None);
    let mut fleet = SimulatedFleet::open(&site, 12);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), 4 - by_name.len() as u64);
    fleet
}

fn query(fleet: &mut SimulatedFleet, proxy: u16) {
    let view = fleet.core.view();
    let table = view
        .table_of(
            Some(ProxyId(proxy)),
            pondarch_controller::RequestClassId(0),
            1,
        )
        .map(|table| table.0);
    fleet.give(Input::DnsQueried {
        proxy: Some(proxy),
        table,
        serial: view.serial,
    });
}

fn bound(fleet: &SimulatedFleet, proxy: u16) -> Option<TableId> {
    fleet
        .core
        .view()
        .bindings
        .get(&(ProxyId(proxy), pondarch_controller::RequestClassId(0)))
        .copied()
}

#[test]
fn a_proxy_that_queries_is_joined_and_bound_and_one_that_stopped_has_left() {
    let mut fleet = fleet();
    assert!(bound(&fleet, 2).is_none());
    query(&mut fleet, 2);
    fleet.run(1_000);
    let table = bound(&fleet, 2).expect("bound");
    assert!(!fleet.core.view().table_hosts(table).is_empty());
    assert!(bound(&fleet, 3).is_none());
    for _ in 0..10 {
        fleet.run(3_000);
        query(&mut fleet, 2);
    }
    assert_eq!(
        bound(&fleet, 2),
        Some(table),
        "asking again changes nothing"
    );
    fleet.run(30_000);
    assert!(bound(&fleet, 2).is_none());
    let left =
        |event: &&Event| matches!(event, Event::ProxyLeft { proxy, .. } if proxy == "front-2");
    assert_eq!(fleet.events.iter().filter(left).count(), 1);
    assert_eq!(fleet.info("NamesAsking"), 0);
    // Those with a runtime API are not touched by any of it.
    assert_eq!(fleet.info("ProxiesJoined"), 2);
    query(&mut fleet, 0);
    assert_eq!(fleet.info("NamesAsking"), 0);
}

/// A table that the decisions keep no longer may name hosts that hang or start cold: unknown proxies are bound like
/// known ones, and a table that nobody is bound to is answered to nobody.
#[test]
fn unknown_proxies_are_bound_like_proxies_and_no_other_table_is_answered() {
    let mut fleet = fleet();
    let first = fleet.core.view();
    let standing = first
        .table_of(None, pondarch_controller::RequestClassId(0), 77)
        .expect("the list itself");
    assert!(standing == UNBOUND_TABLE && first.table_hosts(standing).len() == 12);
    for mark in 0..40 {
        let unknown_proxy = first.anonymous_proxy(mark).map(|id| id.0);
        fleet.give(Input::DnsQueried {
            proxy: unknown_proxy,
            table: Some(UNBOUND_TABLE.0),
            serial: first.serial,
        });
    }
    fleet.run(500);
    assert_eq!(
        (
            fleet.info("NamesStrangersAsking"),
            fleet.info("NamesAsking"),
            fleet.info("Proxies")
        ),
        (4, 0, 4)
    );
    query(&mut fleet, 2);
    fleet.run(500);
    for _ in 0..20 {
        let view = fleet.core.view();
        let used: std::collections::BTreeSet<_> = view
            .bindings
            .values()
            .copied()
            .chain([UNBOUND_TABLE])
            .collect();
        assert!(view.tables.keys().all(|table| used.contains(table)));
        assert!(
            view.table_of(None, pondarch_controller::RequestClassId(0), 77)
                .is_some()
        );
        fleet.run(2_000);
        query(&mut fleet, 2);
    }
    assert_eq!(
        fleet.info("NamesStrangersAsking"),
        0,
        "they stopped querying"
    );
    assert_eq!(fleet.info("NamesAsking"), 1);
}

/// Load reports of the hosts themselves, where no proxy reports outcomes: one host is fully busy, one is silent.
#[test]
fn a_host_that_only_dns_proxies_use_is_judged_by_its_own_load_report() {
    let mut fleet = fleet_with_dns_proxies(Vec::new(), &[0, 1, 2, 3]);
    let mut before = (0.0, 0.0);
    for step in 0..60 {
        (0..4).for_each(|proxy| query(&mut fleet, proxy));
        for n in (0..12).filter(|n| step < 20 || *n != 7) {
            let load = Some(if step < 20 {
                ReportedLoad {
                    utilization: Some(0.3),
                    queue_length: Some(0.0),
                    ..load_of(n)
                }
            } else {
                load_of(n)
            });
            fleet.give(Input::HealthCheckCompleted {
                host: format!("host-{n}"),
                for_load: true,
                healthy: true,
                load,
            });
        }
        if step == 19 {
            before = (
                weight_outside_list(&fleet, "host-5"),
                weight_outside_list(&fleet, "host-7"),
            );
        }
        fleet.run(500);
    }
    assert!(before.0 > 0.0 && before.1 > 0.0);
    let after = (
        weight_outside_list(&fleet, "host-5"),
        weight_outside_list(&fleet, "host-7"),
    );
    assert!(
        after.0 < before.0 * 0.7,
        "busy: {} after {}",
        after.0,
        before.0
    );
    assert!(
        after.1 < before.1 * 0.1,
        "silent: {} after {}",
        after.1,
        before.1
    );
}

/// The load of host `n` in the second part: host 5 is fully busy.
fn load_of(n: usize) -> ReportedLoad {
    ReportedLoad {
        utilization: Some(if n == 5 { 1.0 } else { 0.3 }),
        queue_length: Some(if n == 5 { 9.0 } else { 0.0 }),
        service_time_ms: None,
        request_rate: Some(8.0),
        failure_rate: Some(0.0),
    }
}

/// The weight of a host over all tables but the list's own.
fn weight_outside_list(fleet: &SimulatedFleet, name: &str) -> f64 {
    let view = fleet.core.view();
    let lines = view
        .tables
        .iter()
        .filter(|(table, _)| **table != UNBOUND_TABLE)
        .flat_map(|(_, lines)| lines);
    lines
        .filter(|line| *line.host.0 == *name)
        .map(|line| line.weight)
        .sum::<f64>()
}
