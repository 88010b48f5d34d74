//! Tables of hosts that warm up.

use crate::common::{SimulatedFleet, deployment_config, endpoint, host};
use pondarch_controller::{EndpointState, HostId, ProxyId, RequestClassId, TableId};
use std::collections::BTreeSet;
use std::time::Duration;

const HOSTS: usize = 24;
const PROXIES: u16 = 240;
/// Hosts that restart: less than half of the fleet.
const RESTARTED: usize = 11;

fn report(fleet: &mut SimulatedFleet, latency_ms: u64) {
    (0..HOSTS).for_each(|n| fleet.report_outcomes(n, 12.0, 0.0, latency_ms));
    for n in 0..PROXIES {
        for class in 0..3 {
            let now = fleet.time();
            let class = RequestClassId(class);
            fleet
                .controller
                .record_arrivals(now, ProxyId(n), class, 0.4, Duration::from_secs(1));
        }
    }
}

/// Returns the tables in use that have restarted hosts, and those that have others.
fn tables_by_hosts(fleet: &SimulatedFleet) -> (BTreeSet<TableId>, BTreeSet<TableId>) {
    let restarted: BTreeSet<HostId> = (0..RESTARTED).map(host).collect();
    let used = fleet.used_tables();
    let lines = fleet.lines.keys().filter(|(table, _)| used.contains(table));
    let (of_restarted, of_others): (Vec<_>, Vec<_>) =
        lines.partition(|(_, host)| restarted.contains(host));
    let tables = |lines: Vec<&(TableId, HostId)>| lines.iter().map(|(table, _)| *table).collect();
    (tables(of_restarted), tables(of_others))
}

/// Asserts that warming hosts serve tables, and none beside warm ones.
fn assert_apart(fleet: &SimulatedFleet) {
    let (of_restarted, of_others) = tables_by_hosts(fleet);
    assert!(!of_restarted.is_empty(), "no table has warming hosts");
    let mixed: Vec<&TableId> = of_restarted.intersection(&of_others).collect();
    assert!(
        mixed.is_empty(),
        "{mixed:?} have warming hosts beside warm ones"
    );
}

/// Proxies that avoided overloaded warm hosts sent everything to the hosts of their tables that had just started.
#[test]
fn warming_hosts_serve_tables_of_their_own() {
    let mut fleet = SimulatedFleet::new(deployment_config(u64::from(PROXIES)), HOSTS);
    (0..PROXIES).for_each(|n| fleet.join(n, true, 1.2));
    fleet.run(15_000, |fleet| report(fleet, 60));
    let now = fleet.time();
    let restarted = (0..RESTARTED).map(|n| endpoint(n, EndpointState::Ready, now));
    fleet.apply_list(false, restarted.collect());
    fleet.run(5_000, |fleet| report(fleet, 60));
    assert_apart(&fleet);
    fleet.run(8_000, |fleet| report(fleet, 2_000));
    assert_apart(&fleet);
    fleet.run(30_000, |fleet| report(fleet, 60));
    let used = fleet.used_tables().len();
    let (of_restarted, of_others) = tables_by_hosts(&fleet);
    assert_eq!(
        (of_restarted.len(), of_others.len()),
        (used, used),
        "the hosts are warm and serve with the others"
    );
}
