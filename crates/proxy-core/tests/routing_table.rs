//! Tests picks from a routing table: proportions by weight, empty and full tables, and the power of two choices.

use fastrand::Rng;
use pondarch_proxy_core::routing_table::{
    MAX_MEMBERSHIPS, PickPolicy, RoutingTable, TableMembership,
};
use std::collections::BTreeMap;

fn member(n: usize, weight: u16) -> TableMembership {
    TableMembership {
        host: format!("host-{n:02}"),
        address: ([127, 0, 0, 1], n as u16).into(),
        weight,
    }
}

/// The fraction of picks that each host gets.
fn pick_fractions(
    table: &RoutingTable,
    policy: PickPolicy,
    picks: usize,
    is_usable: impl Fn(&TableMembership) -> bool,
) -> BTreeMap<String, f64> {
    let mut random = Rng::with_seed(9);
    let mut fractions = BTreeMap::new();
    for _ in 0..picks {
        let member = table
            .pick(policy, &mut random, &is_usable, |_| 0)
            .expect("a member");
        *fractions.entry(member.host.clone()).or_insert(0.0) += 1.0 / picks as f64;
    }
    fractions
}

#[test]
fn picks_are_proportional_to_the_weights_of_the_usable_members() {
    let table = RoutingTable::new((0..12).map(|n| member(n, 1 + 20 * n as u16)));
    for policy in [
        PickPolicy::WeightedRandom,
        PickPolicy::RoundRobin,
        PickPolicy::TwoChoices,
    ] {
        for excluded in [usize::MAX, 3, 11] {
            let name = format!("host-{excluded:02}");
            let is_usable = |member: &TableMembership| member.host != name;
            let usable: Vec<&TableMembership> = table
                .members()
                .iter()
                .filter(|member| is_usable(member))
                .collect();
            let total: f64 = usable.iter().map(|member| f64::from(member.weight)).sum();
            let fractions = pick_fractions(&table, policy, 200_000, is_usable);
            for member in usable {
                let fraction = fractions.get(&member.host).copied().unwrap_or(0.0);
                let expected = f64::from(member.weight) / total;
                assert!(
                    (fraction - expected).abs() < 0.004,
                    "{policy:?} without host {excluded}: {} gets {fraction}, expected {expected}",
                    member.host
                );
            }
        }
    }
}

#[test]
fn tables_may_be_empty_name_a_host_twice_or_be_full() {
    let empty = RoutingTable::new([member(1, 0), member(2, 0)]);
    assert!(
        empty.is_empty()
            && empty
                .pick(
                    PickPolicy::TwoChoices,
                    &mut Rng::with_seed(1),
                    |_| true,
                    |_| 0
                )
                .is_none()
    );
    let with_duplicate = RoutingTable::new([member(1, 10), member(1, 20), member(2, 30)]);
    assert_eq!(
        (
            with_duplicate.members().len(),
            with_duplicate.members()[0].weight
        ),
        (2, 30)
    );
    let full = RoutingTable::new((0..MAX_MEMBERSHIPS).map(|n| member(n, 1)));
    assert!(
        full.pick(
            PickPolicy::RoundRobin,
            &mut Rng::with_seed(1),
            |_| true,
            |_| 0
        )
        .is_some()
    );
    assert!(
        full.pick(
            PickPolicy::WeightedRandom,
            &mut Rng::with_seed(1),
            |_| false,
            |_| 0
        )
        .is_none()
    );
}

#[test]
fn two_choices_prefer_the_host_with_fewer_requests_in_flight() {
    let table = RoutingTable::new([member(1, 100), member(2, 100)]);
    let mut random = Rng::with_seed(2);
    let busy_picks = (0..1_000).filter(|_| {
        let in_flight = |member: &TableMembership| usize::from(member.host == "host-01") * 5;
        table
            .pick(PickPolicy::TwoChoices, &mut random, |_| true, in_flight)
            .is_some_and(|member| member.host == "host-01")
    });
    let busy_picks = busy_picks.count();
    assert!(
        (180..320).contains(&busy_picks),
        "{busy_picks} of 1000 picks; a quarter is expected, when both draws hit the busy host"
    );
}
