//! What the DNS server answers after changes of the list.

use super::{bound, fleet, query};
use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;

#[test]
fn a_drain_leaves_the_answers_at_once_and_lingers_no_longer_than_the_grace() {
    let mut fleet = fleet();
    query(&mut fleet, 2);
    fleet.run(1_000);
    query(&mut fleet, 2);
    let table = bound(&fleet, 2).expect("bound");
    let host_of = fleet.core.dns_view().table_hosts(table)[0].host.clone();
    let serial = fleet.core.dns_view().serial;
    // The drain comes just after an answer.
    let drained_at = fleet.now;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts
        .iter_mut()
        .filter(|host| *host.name == *host_of.0)
        .for_each(|host| host.state = HostState::Drain);
    fleet.list(hosts);
    let view = fleet.core.dns_view();
    assert!(view.serial > serial);
    assert!(
        view.tables
            .values()
            .flatten()
            .all(|line| line.host != host_of),
        "it is answered no more"
    );
    let lingering = fleet.command(1, "show map lingering");
    assert!(lingering.contains(&*host_of.0), "{lingering}");
    fleet.run(6_000);
    assert!(fleet.now - drained_at <= 6_000_000);
    assert!(!fleet.command(1, "show map lingering").contains(&*host_of.0));
}

#[test]
fn an_emptied_list_and_a_refilled_one() {
    let mut fleet = fleet();
    query(&mut fleet, 2);
    fleet.run(1_000);
    let table = bound(&fleet, 2).expect("bound");
    let before = fleet.core.dns_view().table_hosts(table).to_vec();
    fleet.list(Vec::new());
    fleet.run(1_000);
    // What the table last had is given for as long as it runs out within the grace, and no longer.
    let view = fleet.core.dns_view();
    assert!(view.last_answers.contains(&table) && view.table_hosts(table) == before);
    fleet.run(2_450);
    assert!(!fleet.core.dns_view().table_hosts(table).is_empty());
    fleet.run(100);
    assert!(
        fleet.core.dns_view().table_hosts(table).is_empty(),
        "the grace ends in 2.5 s: 0.5 to learn, 1 held, 1 counted"
    );
    assert_eq!(bound(&fleet, 2), Some(table), "still bound");
    let serial = fleet.core.dns_view().serial;
    fleet.list((0..12).map(host).collect());
    fleet.run(2_000);
    query(&mut fleet, 2);
    fleet.run(1_000);
    let view = fleet.core.dns_view();
    assert!(view.serial > serial && view.last_answers.is_empty());
    assert!(bound(&fleet, 2).is_some_and(|table| !view.table_hosts(table).is_empty()));
}

/// A list that names one drained host fewer does not bring it back as a last answer.
#[test]
fn a_host_that_drained_long_ago_is_in_no_last_answer() {
    let mut fleet = fleet();
    query(&mut fleet, 2);
    fleet.run(1_000);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts
        .iter_mut()
        .skip(1)
        .for_each(|host| host.state = HostState::Drain);
    fleet.list(hosts);
    fleet.run(5_000);
    fleet.list(Vec::new());
    fleet.run(500);
    let view = fleet.core.dns_view();
    let named: Vec<_> = view
        .tables
        .values()
        .flatten()
        .map(|line| &*line.host.0)
        .collect();
    assert!(
        !named.is_empty() && named.iter().all(|name| *name == "host-0"),
        "{named:?}"
    );
}

#[test]
fn serials_never_go_back_when_a_controller_starts_again() {
    let mut first = fleet();
    for n in 0..8 {
        let mut hosts: Vec<_> = (0..12).map(host).collect();
        hosts[n].weight = 4.0;
        first.list(hosts);
        first.run(1_500);
    }
    let before = first.core.dns_view().serial;
    assert!(u64::from(before) >= START / SECOND, "seconds since 1970");
    // Another process starts later than the first one's last input.
    assert!(u64::from(before) <= first.now / SECOND + 8, "{before}");
}
