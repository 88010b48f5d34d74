//! Tests the fallback to the last ready hosts of a request class.

use pondarch_controller::Time;
use pondarch_proxy_core::last_ready::{ClassTables, TableInUse};
use pondarch_proxy_core::routing_table::{RoutingTable, TableMembership};
use std::collections::BTreeSet;
use std::time::Duration;

fn table(hosts: &[&str]) -> RoutingTable {
    let address = ([127, 0, 0, 1], 80).into();
    RoutingTable::new(hosts.iter().map(|host| TableMembership {
        host: host.to_string(),
        address,
        weight: 1,
    }))
}

fn at_ms(ms: u64) -> Time {
    Time::from_micros(1_000_000 + ms * 1_000)
}

fn hosts_in_use(tables: &ClassTables, now: Time) -> Vec<String> {
    tables
        .table(now, Duration::from_millis(500))
        .members()
        .iter()
        .map(|member| member.host.clone())
        .collect()
}

#[test]
fn last_ready_hosts_stay_in_use_within_the_limit_except_excluded_ones() {
    let mut tables = ClassTables::default();
    assert_eq!(
        tables.in_use(at_ms(0), Duration::from_millis(500)),
        TableInUse::NoHost
    );
    tables.set(at_ms(0), table(&["a", "b", "c"]), &BTreeSet::new());
    tables.set(at_ms(100), table(&[]), &["b".to_string()].into());
    assert_eq!(hosts_in_use(&tables, at_ms(200)), ["a", "c"]);
    // A second empty table does not extend the time limit, and a host that drains later is excluded too.
    tables.set(
        at_ms(400),
        table(&[]),
        &["b".to_string(), "c".to_string()].into(),
    );
    assert_eq!(hosts_in_use(&tables, at_ms(599)), ["a"]);
    assert_eq!(
        tables.in_use(at_ms(600), Duration::from_millis(500)),
        TableInUse::NoHost
    );
    tables.set(at_ms(700), table(&["d"]), &BTreeSet::new());
    assert_eq!(hosts_in_use(&tables, at_ms(9_000)), ["d"]);
    tables.set(at_ms(9_100), table(&[]), &["d".to_string()].into());
    assert_eq!(
        tables.in_use(at_ms(9_101), Duration::from_millis(500)),
        TableInUse::NoHost
    );
}
