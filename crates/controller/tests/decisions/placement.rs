//! Which hosts are in which table.

use crate::common::{SimulatedFleet, deployment, endpoint, host, ms};
use pondarch_controller::{EndpointState, HostId, ProxyId, RequestClassId, Time};
use std::collections::BTreeSet;

#[test]
fn one_host_more_moves_few_lines() {
    let lines = |hosts| {
        let mut fleet = SimulatedFleet::new(deployment(21), hosts);
        (0..21).for_each(|n| fleet.join(n, true, 5.0));
        fleet.lines.into_keys().collect::<BTreeSet<_>>()
    };
    for hosts in 16..30 {
        let moved = lines(hosts).symmetric_difference(&lines(hosts + 1)).count();
        assert!(
            moved <= 9,
            "{moved} lines moved from {hosts} hosts to one more"
        );
    }
}

/// A list that calls most hosts gone for a while must not deal the rest anew, to tear all connections twice.
#[test]
fn shrunk_fleet_keeps_its_tables_while_they_fit() {
    let mut fleet = SimulatedFleet::new(deployment(500), 400);
    (0..200).for_each(|n| fleet.join(n, true, 2.0));
    let before = fleet.lines.keys().cloned().collect::<BTreeSet<_>>();
    fleet.list(
        false,
        (0..180)
            .map(|n| endpoint(n, EndpointState::Removed, Time::default()))
            .collect(),
    );
    fleet.run(5_000, |_| {});
    let gone: BTreeSet<HostId> = (0..180).map(host).collect();
    let stay = before
        .iter()
        .filter(|(_, host)| !gone.contains(host))
        .collect::<Vec<_>>();
    let kept = stay
        .iter()
        .filter(|line| fleet.lines.contains_key(line))
        .count();
    assert!(
        kept * 10 >= stay.len() * 6,
        "{kept} of {} lines are left",
        stay.len()
    );
}

#[test]
fn heavy_proxies_on_one_table_make_it_borrow_hosts() {
    let mut fleet = SimulatedFleet::new(deployment(16), 18);
    (0..12).for_each(|n| fleet.join(n, true, 6.0));
    let table = fleet.proxies[&ProxyId(0)].tables[&Vec::new()];
    let before = fleet.hosts_of(table).len();
    fleet.run(20_000, |fleet| {
        (0..18).for_each(|n| fleet.report_outcomes(n, 8.0, 0.0, 200));
        for n in 0..12 {
            let heavy = fleet.proxies[&ProxyId(n)].tables[&Vec::new()] == table;
            let many = if heavy { 30.0 } else { 5.0 };
            fleet.controller.record_arrivals(
                fleet.time(),
                ProxyId(n),
                RequestClassId(0),
                many,
                ms(1_000),
            );
        }
    });
    assert!(
        fleet.hosts_of(table).len() > before,
        "the heavy table still has {before} hosts"
    );
}

#[test]
fn drained_host_is_withdrawn_at_once_and_replaced() {
    let mut fleet = SimulatedFleet::new(deployment(16), 18);
    (0..12).for_each(|n| fleet.join(n, true, 6.0));
    let table = fleet.proxies[&ProxyId(0)].tables[&Vec::new()];
    let members = fleet.hosts_of(table);
    let gone = (0..18)
        .find(|n| members.contains(&host(*n)))
        .expect("a member");
    fleet.list(
        false,
        vec![endpoint(gone, EndpointState::Draining, Time::default())],
    );
    assert!(fleet.is_unused(gone));
    assert_eq!(
        fleet.hosts_of(table).len(),
        members.len(),
        "the drained host got no stand-in"
    );
    fleet.join(40, false, 3.0);
    fleet.list(
        true,
        (0..18)
            .filter(|n| *n != gone)
            .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
            .collect(),
    );
    fleet.run(3_000, |_| {});
    fleet.check();
    fleet.list(
        false,
        vec![endpoint(gone, EndpointState::Ready, fleet.time())],
    );
    fleet.run(25_000, |_| {});
    assert!(!fleet.is_unused(gone) && fleet.lines.keys().any(|(_, h)| *h == host(gone)));
}
