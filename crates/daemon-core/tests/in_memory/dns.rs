//! Tests of proxies that get their tables from the DNS server.

mod answers;
mod restarted_hosts;
mod secondaries;

use crate::simulated_fleet::*;
use pondarch_config::DurationSetting;
use pondarch_config::site::{DnsSettings, Secondary};
use pondarch_controller::{ProxyId, TableId};
use pondarch_daemon_core::{Event, Input, ReportedLoad};
use pondarch_dns_server::UNBOUND_TABLE;

/// Two proxies with a runtime API, and two that query the DNS server. Answers live 4 s, or 3 s with secondaries.
fn fleet() -> SimulatedFleet {
    fleet_with_secondaries(Vec::new())
}

fn fleet_with_secondaries(secondaries: Vec<Secondary>) -> SimulatedFleet {
    fleet_with_dns_proxies(secondaries, &[2, 3])
}

/// Four proxies, of which `dns_proxies` query the DNS server.
fn fleet_with_dns_proxies(secondaries: Vec<Secondary>, dns_proxies: &[usize]) -> SimulatedFleet {
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
    dns_proxies
        .iter()
        .for_each(|&n| site.proxies[n].runtime_api = None);
    let mut fleet = SimulatedFleet::new(&site, 12);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), 4 - dns_proxies.len() as u64);
    fleet
}

/// Lets a proxy query the table that it is bound to.
fn query(fleet: &mut SimulatedFleet, proxy: u16) {
    let view = fleet.core.dns_view();
    let table = view
        .table_of(
            Some(ProxyId(proxy)),
            pondarch_controller::RequestClassId(0),
            1,
        )
        .map(|table| table.0);
    fleet.apply(Input::DnsQueried {
        proxy: Some(proxy),
        table,
        serial: view.serial,
    });
}

/// The table that a proxy is bound to.
fn bound_table(fleet: &SimulatedFleet, proxy: u16) -> Option<TableId> {
    fleet
        .core
        .dns_view()
        .bindings
        .get(&(ProxyId(proxy), pondarch_controller::RequestClassId(0)))
        .copied()
}

#[test]
fn a_proxy_joins_when_it_queries_and_leaves_when_it_stops() {
    let mut fleet = fleet();
    assert!(bound_table(&fleet, 2).is_none());
    query(&mut fleet, 2);
    fleet.run(1_000);
    let table = bound_table(&fleet, 2).expect("bound");
    assert!(!fleet.core.dns_view().table_hosts(table).is_empty());
    assert!(bound_table(&fleet, 3).is_none());
    for _ in 0..10 {
        fleet.run(3_000);
        query(&mut fleet, 2);
    }
    assert_eq!(
        bound_table(&fleet, 2),
        Some(table),
        "further queries change the binding"
    );
    fleet.run(30_000);
    assert!(bound_table(&fleet, 2).is_none());
    let has_left =
        |event: &&Event| matches!(event, Event::ProxyLeft { proxy, .. } if proxy == "front-2");
    assert_eq!(fleet.events.iter().filter(has_left).count(), 1);
    assert_eq!(fleet.info("NamesAsking"), 0);
    // Proxies with a runtime API are not affected by DNS queries.
    assert_eq!(fleet.info("ProxiesJoined"), 2);
    query(&mut fleet, 0);
    assert_eq!(fleet.info("NamesAsking"), 0);
}

/// A table that no proxy is bound to is no longer maintained, and may contain hosts that hang or are warming up.
/// Unknown proxies are therefore bound like known ones, and only bound tables are answered.
#[test]
fn unknown_proxies_are_bound_and_only_bound_tables_are_answered() {
    let mut fleet = fleet();
    let first = fleet.core.dns_view();
    let unbound = first
        .table_of(None, pondarch_controller::RequestClassId(0), 77)
        .expect("the table of the whole list");
    assert!(unbound == UNBOUND_TABLE && first.table_hosts(unbound).len() == 12);
    for source in 0..40 {
        let unknown_proxy = first.anonymous_proxy(source).map(|id| id.0);
        fleet.apply(Input::DnsQueried {
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
        let view = fleet.core.dns_view();
        let bound_tables: std::collections::BTreeSet<_> = view
            .bindings
            .values()
            .copied()
            .chain([UNBOUND_TABLE])
            .collect();
        assert!(view.tables.keys().all(|table| bound_tables.contains(table)));
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
        "unknown proxies stay joined although they stopped querying"
    );
    assert_eq!(fleet.info("NamesAsking"), 1);
}

/// If no proxy reports outcomes, the load reports of the hosts themselves take their place. Here the utilization of
/// host 5 rises to 1, and host 7 stops reporting: both must lose weight.
#[test]
fn a_host_that_only_dns_proxies_use_is_weighted_by_its_own_load_reports() {
    let mut fleet = fleet_with_dns_proxies(Vec::new(), &[0, 1, 2, 3]);
    let mut before = (0.0, 0.0);
    for step in 0..60 {
        (0..4).for_each(|proxy| query(&mut fleet, proxy));
        for n in (0..12).filter(|n| step < 20 || *n != 7) {
            let load = Some(if step < 20 {
                ReportedLoad {
                    utilization: Some(0.3),
                    queue_length: Some(0.0),
                    ..load_report(n)
                }
            } else {
                load_report(n)
            });
            fleet.apply(Input::HealthCheckCompleted {
                host: format!("host-{n}"),
                for_load: true,
                healthy: true,
                load,
            });
        }
        if step == 19 {
            before = (
                weight_in_bound_tables(&fleet, "host-5"),
                weight_in_bound_tables(&fleet, "host-7"),
            );
        }
        fleet.run(500);
    }
    assert!(before.0 > 0.0 && before.1 > 0.0);
    let after = (
        weight_in_bound_tables(&fleet, "host-5"),
        weight_in_bound_tables(&fleet, "host-7"),
    );
    assert!(
        after.0 < before.0 * 0.7,
        "fully utilized host: {} after {}",
        after.0,
        before.0
    );
    assert!(
        after.1 < before.1 * 0.1,
        "silent host: {} after {}",
        after.1,
        before.1
    );
}

/// The load report of host `n` in the second part of the test: host 5 is fully utilized.
fn load_report(n: usize) -> ReportedLoad {
    ReportedLoad {
        utilization: Some(if n == 5 { 1.0 } else { 0.3 }),
        queue_length: Some(if n == 5 { 9.0 } else { 0.0 }),
        service_time_ms: None,
        request_rate: Some(8.0),
        failure_rate: Some(0.0),
    }
}

/// The sum of a host's weights in all tables that proxies are bound to.
fn weight_in_bound_tables(fleet: &SimulatedFleet, name: &str) -> f64 {
    let view = fleet.core.dns_view();
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
