//! Tests of endpoint lists that replace hosts, cannot be read, or have not arrived.

use super::{assert_holds_its_table, joined_fleet};
use crate::simulated_fleet::*;
use pondarch_daemon_core::Input;

#[test]
fn an_address_swap_of_two_hosts_reaches_the_proxies() {
    let mut fleet = joined_fleet(4, 8);
    let mut hosts: Vec<_> = (0..8).map(host).collect();
    (hosts[1].address, hosts[2].address) = (hosts[2].address, hosts[1].address);
    // The list gives the same start time, so that the hosts do not count as restarted.
    hosts
        .iter_mut()
        .for_each(|host| host.started = Some(1_700_000_000.0));
    fleet.apply_list(hosts);
    fleet.run(20_000);
    for n in 0..4 {
        for (name, (address, _)) in fleet.serving(n, "order") {
            let wanted = match name.as_str() {
                "host-1" => addr(2),
                "host-2" => addr(1),
                other => addr(other[5..].parse().expect("a number")),
            };
            assert_eq!(address, wanted, "{name} at front-{n}");
        }
    }
}

#[test]
fn the_weight_of_a_replaced_host_is_reduced_before_its_address_changes() {
    let mut fleet = joined_fleet(2, 8);
    let old_lines: Vec<_> = (0..2).map(|n| fleet.serving(n, "proof")).collect();
    let updates_before: Vec<usize> = fleet
        .proxies
        .iter()
        .map(|proxy| proxy.updates.len())
        .collect();
    let mut hosts: Vec<_> = (0..8).map(host).collect();
    hosts[3].address = addr(33);
    fleet.apply_list(hosts);
    fleet.run(2_000);
    for n in 0..2 {
        let commands: Vec<&String> = fleet.proxies[n].updates[updates_before[n]..]
            .iter()
            .flat_map(|(_, commands)| commands)
            .collect();
        let position_of = |part: &str| {
            commands
                .iter()
                .position(|command| command.starts_with(&format!("set server proof/host-3 {part}")))
        };
        if !old_lines[n].contains_key("host-3") {
            continue;
        }
        let line = fleet.serving(n, "proof").get("host-3").copied();
        if let Some((address, units)) = line {
            assert_eq!(address, addr(33));
            assert!(
                units < old_lines[n]["host-3"].1,
                "a warming host has the weight of a warm one"
            );
            assert!(position_of("weight") < position_of("addr"), "{commands:?}");
        }
    }
}

#[test]
fn after_an_unreadable_or_older_list_the_last_valid_one_stays_in_force() {
    let mut fleet = joined_fleet(2, 8);
    fleet.apply(Input::EndpointListRejected {
        error: "hosts.jsonnet:3:1: syntax error".into(),
    });
    fleet.apply(Input::EndpointList {
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
    assert_holds_its_table(&mut fleet, 0);
    // An empty list of a newer generation is applied.
    fleet.apply_list(Vec::new());
    fleet.run(3_000);
    assert!(fleet.serving(0, "proof").is_empty());
}

#[test]
fn nothing_is_sent_to_proxies_before_the_first_list() {
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
    let outputs: Vec<_> = std::iter::from_fn(|| core.next_output()).collect();
    assert!(
        outputs
            .iter()
            .all(|output| !matches!(output, pondarch_daemon_core::Output::Write { .. })),
        "{outputs:?}"
    );
}
