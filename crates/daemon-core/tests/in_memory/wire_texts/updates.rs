//! Tests of the commands that are sent to proxies when they are bound, when a weight changes and when a host drains.

use super::*;

/// The commands of all updates of the first proxy but the first `skipped` ones, one on each line.
fn update_commands(fleet: &SimulatedFleet, skipped: usize) -> String {
    fleet.proxies[0].updates[skipped..]
        .iter()
        .flat_map(|(_, commands)| commands)
        .map(|command| format!("{command}\n"))
        .collect()
}

#[test]
fn update_of_a_proxy_that_is_bound() {
    assert_same(&update_commands(&fleet(), 0), include_str!("bound.txt"));
}

#[test]
fn update_when_a_weight_changes() {
    let mut fleet = fleet();
    let updates_before = fleet.proxies[0].updates.len();
    fleet.command(2, "set server hosts/host-0 weight 2");
    fleet.run(5_000);
    assert_same(
        &update_commands(&fleet, updates_before),
        include_str!("weight.txt"),
    );
}

#[test]
fn update_when_a_host_drains() {
    let mut fleet = fleet();
    let updates_before = fleet.proxies[0].updates.len();
    fleet.command(2, "set server hosts/host-1 state drain");
    fleet.run(5_000);
    assert_same(
        &update_commands(&fleet, updates_before),
        include_str!("drain.txt"),
    );
}
