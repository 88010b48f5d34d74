//! Commands that proxies are sent: when they are bound, when a weight changes and when a host drains.

use super::*;

/// The batches sent to the first proxy since so many, a command a line.
fn orders(town: &Town, since: usize) -> String {
    town.fronts[0].orders[since..]
        .iter()
        .flat_map(|(_, commands)| commands)
        .map(|c| format!("{c}\n"))
        .collect()
}

#[test]
fn orders_to_a_proxy_that_is_bound() {
    assert_same(&orders(&town(), 0), include_str!("bound.txt"));
}

#[test]
fn orders_when_a_weight_changes() {
    let mut town = town();
    let before = town.fronts[0].orders.len();
    town.command(2, "set server hosts/host-0 weight 2");
    town.run(5_000);
    assert_same(&orders(&town, before), include_str!("weight.txt"));
}

#[test]
fn orders_when_a_host_drains() {
    let mut town = town();
    let before = town.fronts[0].orders.len();
    town.command(2, "set server hosts/host-1 state drain");
    town.run(5_000);
    assert_same(&orders(&town, before), include_str!("drain.txt"));
}
