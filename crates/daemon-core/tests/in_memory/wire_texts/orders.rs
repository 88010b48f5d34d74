//! Commands that proxies are sent: when they are bound, when a weight changes and when a host drains.

use super::*;

/// The batches sent to the first proxy since so many, a command a line.
fn orders(fleet: &SimulatedFleet, since: usize) -> String {
    fleet.fronts[0].orders[since..]
        .iter()
        .flat_map(|(_, commands)| commands)
        .map(|c| format!("{c}\n"))
        .collect()
}

#[test]
fn orders_to_a_proxy_that_is_bound() {
    assert_same(&orders(&fleet(), 0), include_str!("bound.txt"));
}

#[test]
fn orders_when_a_weight_changes() {
    let mut fleet = fleet();
    let before = fleet.fronts[0].orders.len();
    fleet.command(2, "set server hosts/host-0 weight 2");
    fleet.run(5_000);
    assert_same(&orders(&fleet, before), include_str!("weight.txt"));
}

#[test]
fn orders_when_a_host_drains() {
    let mut fleet = fleet();
    let before = fleet.fronts[0].orders.len();
    fleet.command(2, "set server hosts/host-1 state drain");
    fleet.run(5_000);
    assert_same(&orders(&fleet, before), include_str!("drain.txt"));
}
