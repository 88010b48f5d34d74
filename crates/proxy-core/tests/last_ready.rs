//! The last ready hosts of a class stay in use for a while.

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

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000 + ms * 1_000)
}

fn hosts(tables: &ClassTables, now: Time) -> Vec<String> {
    tables
        .table(now, Duration::from_millis(500))
        .members()
        .iter()
        .map(|member| member.host.clone())
        .collect()
}

#[test]
fn the_last_ready_hosts_stay_within_the_limit_but_for_excluded_ones() {
    let mut tables = ClassTables::default();
    assert_eq!(
        tables.in_use(at(0), Duration::from_millis(500)),
        TableInUse::NoHost
    );
    tables.set(at(0), table(&["a", "b", "c"]), &BTreeSet::new());
    tables.set(at(100), table(&[]), &["b".to_string()].into());
    assert_eq!(hosts(&tables, at(200)), ["a", "c"]);
    // Another empty table does not make the time longer, and a later drain counts too.
    tables.set(
        at(400),
        table(&[]),
        &["b".to_string(), "c".to_string()].into(),
    );
    assert_eq!(hosts(&tables, at(599)), ["a"]);
    assert_eq!(
        tables.in_use(at(600), Duration::from_millis(500)),
        TableInUse::NoHost
    );
    tables.set(at(700), table(&["d"]), &BTreeSet::new());
    assert_eq!(hosts(&tables, at(9_000)), ["d"]);
    tables.set(at(9_100), table(&[]), &["d".to_string()].into());
    assert_eq!(
        tables.in_use(at(9_101), Duration::from_millis(500)),
        TableInUse::NoHost
    );
}
