//! Lists that replace hosts, are broken, or are not there yet.

use super::{holds_its_table, settled};
use crate::simulated_fleet::*;
use pondarch_daemon_core::Input;

#[test]
fn two_hosts_that_swap_addresses_are_swapped_at_the_proxies() {
    let mut fleet = settled(4, 8);
    let mut hosts: Vec<_> = (0..8).map(host).collect();
    (hosts[1].address, hosts[2].address) = (hosts[2].address, hosts[1].address);
    // Known to run on: the list says since when.
    hosts
        .iter_mut()
        .for_each(|host| host.started = Some(1_700_000_000.0));
    fleet.list(hosts);
    fleet.run(20_000);
    for n in 0..4 {
        for (name, (held, _)) in fleet.serving(n, "order") {
            let wanted = match name.as_str() {
                "host-1" => addr(2),
                "host-2" => addr(1),
                other => addr(other[5..].parse().expect("a number")),
            };
            assert_eq!(held, wanted, "{name} at front-{n}");
        }
    }
}

#[test]
fn a_host_replaced_under_its_name_is_cold_and_lighter_before_it_is_reached() {
    let mut fleet = settled(2, 8);
    let old: Vec<_> = (0..2).map(|n| fleet.serving(n, "proof")).collect();
    let before: Vec<usize> = fleet
        .fronts
        .iter()
        .map(|front| front.orders.len())
        .collect();
    let mut hosts: Vec<_> = (0..8).map(host).collect();
    hosts[3].address = addr(33);
    fleet.list(hosts);
    fleet.run(2_000);
    for n in 0..2 {
        let commands: Vec<&String> = fleet.fronts[n].orders[before[n]..]
            .iter()
            .flat_map(|(_, c)| c)
            .collect();
        let place = |part: &str| {
            commands
                .iter()
                .position(|c| c.starts_with(&format!("set server proof/host-3 {part}")))
        };
        if !old[n].contains_key("host-3") {
            continue;
        }
        let now = fleet.serving(n, "proof").get("host-3").copied();
        if let Some((addr_now, units)) = now {
            assert_eq!(addr_now, addr(33));
            assert!(
                units < old[n]["host-3"].1,
                "a cold host with a warm one's weight"
            );
            assert!(place("weight") < place("addr"), "{commands:?}");
        }
    }
}

#[test]
fn broken_and_older_lists_leave_the_last_good_one() {
    let mut fleet = settled(2, 8);
    fleet.give(Input::EndpointListRejected {
        error: "hosts.jsonnet:3:1: syntax error".into(),
    });
    fleet.give(Input::EndpointList {
        generation: Some(0),
        hosts: Vec::new(),
    });
    fleet.run(3_000);
    assert_eq!(fleet.info("HostsReady"), 8);
    assert!(
        fleet
            .command(0, "show info")
            .contains("ListRefused: the list's version fell")
    );
    holds_its_table(&mut fleet, 0);
    // An empty list of the right version does count.
    fleet.list(Vec::new());
    fleet.run(3_000);
    assert!(fleet.serving(0, "proof").is_empty());
}

#[test]
fn before_the_first_list_nothing_is_touched() {
    let site = site(2);
    let mut core = pondarch_daemon_core::Core::new(
        &site,
        7,
        1,
        START,
        pondarch_controller::Time::from_micros(START),
    );
    for n in 1..40u64 {
        core.handle(
            pondarch_controller::Time::from_micros(START + n * 250_000),
            Input::TimerExpired,
        );
    }
    let out: Vec<_> = std::iter::from_fn(|| core.next_output()).collect();
    assert!(
        out.iter()
            .all(|o| !matches!(o, pondarch_daemon_core::Output::Write { .. })),
        "{out:?}"
    );
}
