//! Placement of hosts in tables.

use crate::common::{SimulatedFleet, deployment_config, endpoint, host, ms};
use pondarch_controller::{EndpointState, HostId, ProxyId, RequestClassId, Time};
use std::collections::BTreeSet;

#[test]
fn adding_a_host_moves_few_lines() {
    let lines = |hosts| {
        let mut fleet = SimulatedFleet::new(deployment_config(21), hosts);
        (0..21).for_each(|n| fleet.join(n, true, 5.0));
        fleet.lines.into_keys().collect::<BTreeSet<_>>()
    };
    for hosts in 16..30 {
        let moved = lines(hosts).symmetric_difference(&lines(hosts + 1)).count();
        assert!(
            moved <= 9,
            "{moved} lines moved when a host was added to {hosts}"
        );
    }
}

/// A list that marks many hosts as removed for a while must not cause the rest to be drawn again, which would close all
/// connections twice.
#[test]
fn a_smaller_fleet_keeps_its_tables_while_they_satisfy_the_limits() {
    let mut fleet = SimulatedFleet::new(deployment_config(500), 400);
    (0..200).for_each(|n| fleet.join(n, true, 2.0));
    let before = fleet.lines.keys().cloned().collect::<BTreeSet<_>>();
    fleet.apply_list(
        false,
        (0..180)
            .map(|n| endpoint(n, EndpointState::Removed, Time::default()))
            .collect(),
    );
    fleet.run(5_000, |_| {});
    let removed: BTreeSet<HostId> = (0..180).map(host).collect();
    let remaining = before
        .iter()
        .filter(|(_, host)| !removed.contains(host))
        .collect::<Vec<_>>();
    let kept = remaining
        .iter()
        .filter(|line| fleet.lines.contains_key(line))
        .count();
    assert!(
        kept * 10 >= remaining.len() * 6,
        "only {kept} of {} lines were kept",
        remaining.len()
    );
}

#[test]
fn a_table_with_busy_proxies_borrows_hosts() {
    let mut fleet = SimulatedFleet::new(deployment_config(16), 18);
    (0..12).for_each(|n| fleet.join(n, true, 6.0));
    let table = fleet.proxies[&ProxyId(0)].tables[&Vec::new()];
    let before = fleet.hosts_of(table).len();
    fleet.run(20_000, |fleet| {
        (0..18).for_each(|n| fleet.report_outcomes(n, 8.0, 0.0, 200));
        for n in 0..12 {
            let is_busy = fleet.proxies[&ProxyId(n)].tables[&Vec::new()] == table;
            let requests = if is_busy { 30.0 } else { 5.0 };
            fleet.controller.record_arrivals(
                fleet.time(),
                ProxyId(n),
                RequestClassId(0),
                requests,
                ms(1_000),
            );
        }
    });
    assert!(
        fleet.hosts_of(table).len() > before,
        "the busy table has borrowed no host beyond its {before}"
    );
}

#[test]
fn a_draining_host_is_removed_at_once_and_replaced() {
    let mut fleet = SimulatedFleet::new(deployment_config(16), 18);
    (0..12).for_each(|n| fleet.join(n, true, 6.0));
    let table = fleet.proxies[&ProxyId(0)].tables[&Vec::new()];
    let members = fleet.hosts_of(table);
    let drained = (0..18)
        .find(|n| members.contains(&host(*n)))
        .expect("the table has no host");
    fleet.apply_list(
        false,
        vec![endpoint(drained, EndpointState::Draining, Time::default())],
    );
    assert!(fleet.is_unused(drained));
    assert_eq!(
        fleet.hosts_of(table).len(),
        members.len(),
        "the draining host has no stand-in"
    );
    fleet.join(40, false, 3.0);
    fleet.apply_list(
        true,
        (0..18)
            .filter(|n| *n != drained)
            .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
            .collect(),
    );
    fleet.run(3_000, |_| {});
    fleet.check_invariants();
    fleet.apply_list(
        false,
        vec![endpoint(drained, EndpointState::Ready, fleet.time())],
    );
    fleet.run(25_000, |_| {});
    assert!(!fleet.is_unused(drained) && fleet.lines.keys().any(|(_, id)| *id == host(drained)));
}
