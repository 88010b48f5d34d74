//! Tests of the answers of the DNS server after changes of the endpoint list.

use super::{bound_table, fleet, query};
use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;

#[test]
fn a_draining_host_is_answered_no_more_and_leaves_caches_within_the_grace_period() {
    let mut fleet = fleet();
    query(&mut fleet, 2);
    fleet.run(1_000);
    query(&mut fleet, 2);
    let table = bound_table(&fleet, 2).expect("bound");
    let drained = fleet.core.dns_view().table_hosts(table)[0].host.clone();
    let serial = fleet.core.dns_view().serial;
    // The drain starts just after an answer, which is the longest that caches can hold the host.
    let drained_at = fleet.now;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts
        .iter_mut()
        .filter(|host| *host.name == *drained.0)
        .for_each(|host| host.state = HostState::Drain);
    fleet.apply_list(hosts);
    let view = fleet.core.dns_view();
    assert!(view.serial > serial);
    assert!(
        view.tables
            .values()
            .flatten()
            .all(|line| line.host != drained),
        "the draining host is still answered"
    );
    let lingering = fleet.command(1, "show map lingering");
    assert!(lingering.contains(&*drained.0), "{lingering}");
    fleet.run(6_000);
    assert!(fleet.now - drained_at <= 6_000_000);
    assert!(!fleet.command(1, "show map lingering").contains(&*drained.0));
}

#[test]
fn an_empty_list_ends_answers_after_the_last_answer_window_and_a_new_list_restores_them() {
    let mut fleet = fleet();
    query(&mut fleet, 2);
    fleet.run(1_000);
    let table = bound_table(&fleet, 2).expect("bound");
    let before = fleet.core.dns_view().table_hosts(table).to_vec();
    fleet.apply_list(Vec::new());
    fleet.run(1_000);
    // The last answer is given only as long as it expires from caches within the grace period.
    let view = fleet.core.dns_view();
    assert!(view.last_answers.contains(&table) && view.table_hosts(table) == before);
    fleet.run(2_450);
    assert!(!fleet.core.dns_view().table_hosts(table).is_empty());
    fleet.run(100);
    assert!(
        fleet.core.dns_view().table_hosts(table).is_empty(),
        "the grace period ends in 2.5 s: 0.5 s to learn of the drain, 1 s in caches, 1 s as caches count whole seconds"
    );
    assert_eq!(
        bound_table(&fleet, 2),
        Some(table),
        "the proxy is not bound any more"
    );
    let serial = fleet.core.dns_view().serial;
    fleet.apply_list((0..12).map(host).collect());
    fleet.run(2_000);
    query(&mut fleet, 2);
    fleet.run(1_000);
    let view = fleet.core.dns_view();
    assert!(view.serial > serial && view.last_answers.is_empty());
    assert!(bound_table(&fleet, 2).is_some_and(|table| !view.table_hosts(table).is_empty()));
}

/// When the last serving host is removed, the last answer must not bring back hosts that drained before.
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
    fleet.apply_list(hosts);
    fleet.run(5_000);
    fleet.apply_list(Vec::new());
    fleet.run(500);
    let view = fleet.core.dns_view();
    let answered: Vec<_> = view
        .tables
        .values()
        .flatten()
        .map(|line| &*line.host.0)
        .collect();
    assert!(
        !answered.is_empty() && answered.iter().all(|name| *name == "host-0"),
        "{answered:?}"
    );
}

#[test]
fn serials_start_at_the_unix_time_and_never_go_back_after_a_restart() {
    let mut first = fleet();
    for n in 0..8 {
        let mut hosts: Vec<_> = (0..12).map(host).collect();
        hosts[n].weight = 4.0;
        first.apply_list(hosts);
        first.run(1_500);
    }
    let before = first.core.dns_view().serial;
    assert!(
        u64::from(before) >= START / SECOND,
        "serial {before} is below the seconds since 1970"
    );
    // A restarted controller starts from its own time, which is later than the last input here.
    assert!(u64::from(before) <= first.now / SECOND + 8, "{before}");
}
