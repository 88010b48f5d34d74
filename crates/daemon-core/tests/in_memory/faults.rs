//! Tests of faults at proxies and of their connections.

mod connections;
mod lists;
mod rejections;

use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::Event;
use proptest::prelude::*;

/// A fleet whose proxies have all joined.
fn joined_fleet(proxies: usize, hosts: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(&site(proxies), hosts);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), proxies as u64);
    fleet
}

/// Asserts that a proxy holds exactly its table as the controller shows it, for every request class.
fn assert_holds_its_table(fleet: &mut SimulatedFleet, n: usize) {
    let map = fleet.command(2, &format!("get map proxies front-{n}"));
    let table = map
        .split_whitespace()
        .find_map(|word| word.split('"').find(|part| part.starts_with("table-")))
        .map(str::to_string);
    let table = table.unwrap_or_else(|| panic!("front-{n} has no table: {map}"));
    let state = fleet.command(2, &format!("show servers state {table}"));
    let state = pondarch_runtime_api::state::read_state(state.trim_end()).expect("a valid state");
    let wanted: std::collections::BTreeMap<_, _> = state
        .into_iter()
        .map(|server| (server.server, (server.addr, server.weight)))
        .collect();
    for class in CLASSES {
        assert_eq!(fleet.serving(n, class), wanted, "front-{n}, {class}");
    }
}

#[test]
fn joined_proxies_hold_their_tables_and_retry_only_unsent_requests() {
    let mut fleet = joined_fleet(6, 12);
    for n in 0..6 {
        assert_holds_its_table(&mut fleet, n);
        for class in CLASSES {
            assert_eq!(
                fleet.proxies[n].state.map_entry("pond_tries", class),
                Some("unsent")
            );
        }
    }
}

#[test]
fn an_update_that_is_executed_twice_has_the_same_effect() {
    let mut fleet = joined_fleet(1, 12);
    fleet.proxies[0].fault = Fault::ExecuteTwice;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[3].state = HostState::Drain;
    hosts[5].weight = 3.0;
    fleet.apply_list(hosts);
    fleet.run(4_000);
    assert_eq!(fleet.proxies[0].fault, Fault::None, "no update arrived");
    assert_holds_its_table(&mut fleet, 0);
    assert_eq!(
        fleet.proxies[0].state.map_entry("pond_tries", "release"),
        Some("unsent")
    );
    assert!(
        fleet
            .events
            .iter()
            .all(|event| !matches!(event, Event::UpdateRejected { .. }))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// The connection breaks after any command of an update. Each line is then as before or as wanted, every request
    /// class still has a host, and the update after reconnecting repeats no command that was executed.
    #[test]
    fn an_interrupted_update_is_completed_after_reconnecting(executed in 0..60usize, drained in 0..12usize, rejoin: bool) {
        let mut fleet = if rejoin { joined_fleet(1, 12) } else { SimulatedFleet::new(&site(1), 12) };
        let before = CLASSES.map(|class| fleet.serving(0, class));
        let updates = fleet.proxies[0].updates.len();
        fleet.proxies[0].fault = Fault::DisconnectAfter(executed);
        if rejoin {
            let mut hosts: Vec<_> = (0..12).map(host).collect();
            hosts[drained].state = HostState::Drain;
            hosts[(drained + 5) % 12].weight = 4.0;
            fleet.apply_list(hosts);
        }
        // Runs until the update arrives, but not until the one that completes it.
        for _ in 0..4_000 {
            if fleet.proxies[0].updates.len() > updates {
                break;
            }
            fleet.run(1);
        }
        prop_assert_eq!(fleet.proxies[0].updates.len(), updates + 1);
        let interrupted = fleet.proxies[0].updates[updates].1.len() > executed;
        let during = CLASSES.map(|class| fleet.serving(0, class));
        let first: Vec<String> = fleet.proxies[0].updates[updates].1.clone();
        fleet.proxies[0].fault = Fault::None;
        fleet.run(4_000);
        assert_holds_its_table(&mut fleet, 0);
        for (k, class) in CLASSES.iter().enumerate() {
            prop_assert!(!during[k].is_empty(), "no host for {class}");
            let after = fleet.serving(0, class);
            for (name, line) in &during[k] {
                let known = before[k].get(name).is_some_and(|old| old.0 == line.0 || old.1 == line.1)
                    || after.get(name).is_some_and(|new| new.0 == line.0 || new.1 == line.1);
                prop_assert!(known, "{name} of {class} is neither old nor new: {line:?}");
            }
        }
        if interrupted {
            // The next update has the commands that were not executed, and none of those that were.
            let next = &fleet.proxies[0].updates[updates + 1].1;
            let done = &first[..executed];
            prop_assert!(next.iter().all(|command| !done.contains(command)), "{next:?} repeats commands of {done:?}");
        }
    }
}

#[test]
fn simultaneous_joins_stay_within_the_update_queue_and_a_drain_reaches_all_proxies() {
    let mut site = site(200);
    site.update_channel.max_waiting_commands = 2_000.0;
    let mut fleet = SimulatedFleet::new(&site, 700);
    let mut max_waiting = 0;
    for _ in 0..200 {
        fleet.run(20);
        max_waiting = max_waiting.max(fleet.info("LinesWaiting"));
    }
    assert_eq!(fleet.info("ProxiesJoined"), 200);
    assert!(max_waiting <= 2_000, "{max_waiting} lines waited");
    let (name, _) = fleet
        .serving(0, "proof")
        .into_iter()
        .next()
        .expect("a host");
    let mut hosts: Vec<_> = (0..700).map(host).collect();
    let drained = hosts
        .iter_mut()
        .find(|host| host.name == name)
        .expect("listed");
    drained.state = HostState::Drain;
    fleet.apply_list(hosts);
    fleet.run(1_500);
    for n in 0..200 {
        assert!(
            !fleet.serving(n, "proof").contains_key(&name),
            "front-{n} still holds {name}"
        );
        assert!(!fleet.serving(n, "proof").is_empty());
    }
}
