//! Each test is one hard case of the connections to proxies.

mod connections;
mod lists;
mod refusals;

use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_daemon_core::Event;
use proptest::prelude::*;

fn settled(proxies: usize, hosts: usize) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::open(&site(proxies), hosts);
    fleet.run(3_000);
    assert_eq!(fleet.info("ProxiesJoined"), proxies as u64);
    fleet
}

/// The proxy holds just what the controller's own table says, for every request class.
fn holds_its_table(fleet: &mut SimulatedFleet, n: usize) {
    let map = fleet.command(2, &format!("get map proxies front-{n}"));
    let table = map
        .split_whitespace()
        .find_map(|w| w.split('"').find(|w| w.starts_with("table-")))
        .map(str::to_string);
    let table = table.unwrap_or_else(|| panic!("front-{n} has no table: {map}"));
    let state = fleet.command(2, &format!("show servers state {table}"));
    let state = pondarch_runtime_api::state::read_state(state.trim_end()).expect("a state");
    let wanted: std::collections::BTreeMap<_, _> = state
        .into_iter()
        .map(|s| (s.server, (s.addr, s.weight)))
        .collect();
    for class in CLASSES {
        assert_eq!(fleet.serving(n, class), wanted, "front-{n}, {class}");
    }
}

#[test]
fn joined_proxies_hold_their_tables_and_only_safe_retries_are_ordered() {
    let mut fleet = settled(6, 12);
    for n in 0..6 {
        holds_its_table(&mut fleet, n);
        for class in CLASSES {
            assert_eq!(
                fleet.fronts[n].tables.map_entry("pond_tries", class),
                Some("unsent")
            );
        }
    }
}

#[test]
fn orders_delivered_twice_change_nothing_more() {
    let mut fleet = settled(1, 12);
    fleet.fronts[0].fault = Fault::Twice;
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[3].state = HostState::Drain;
    hosts[5].weight = 3.0;
    fleet.list(hosts);
    fleet.run(4_000);
    assert_eq!(fleet.fronts[0].fault, Fault::None, "no orders arrived");
    holds_its_table(&mut fleet, 0);
    assert_eq!(
        fleet.fronts[0].tables.map_entry("pond_tries", "release"),
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

    /// Cut off after any command: each line is as before or as wanted, a host to pick remains, and the next
    /// connection brings the difference alone.
    #[test]
    fn a_batch_cut_anywhere_is_repaired_by_the_difference(cut in 0..60usize, drained in 0..12usize, rejoin: bool) {
        let mut fleet = if rejoin { settled(1, 12) } else { SimulatedFleet::open(&site(1), 12) };
        let before = CLASSES.map(|class| fleet.serving(0, class));
        let orders = fleet.fronts[0].orders.len();
        fleet.fronts[0].fault = Fault::CutAfter(cut);
        if rejoin {
            let mut hosts: Vec<_> = (0..12).map(host).collect();
            hosts[drained].state = HostState::Drain;
            hosts[(drained + 5) % 12].weight = 4.0;
            fleet.list(hosts);
        }
        // Until the orders arrived, and not on to the repair.
        for _ in 0..4_000 {
            if fleet.fronts[0].orders.len() > orders {
                break;
            }
            fleet.run(1);
        }
        prop_assert_eq!(fleet.fronts[0].orders.len(), orders + 1);
        let cut_short = fleet.fronts[0].orders[orders].1.len() > cut;
        let halfway = CLASSES.map(|class| fleet.serving(0, class));
        let first: Vec<String> = fleet.fronts[0].orders[orders].1.clone();
        fleet.fronts[0].fault = Fault::None;
        fleet.run(4_000);
        holds_its_table(&mut fleet, 0);
        for (k, class) in CLASSES.iter().enumerate() {
            prop_assert!(!halfway[k].is_empty(), "nothing to pick for {class}");
            let after = fleet.serving(0, class);
            for (name, line) in &halfway[k] {
                let known = before[k].get(name).is_some_and(|old| old.0 == line.0 || old.1 == line.1)
                    || after.get(name).is_some_and(|new| new.0 == line.0 || new.1 == line.1);
                prop_assert!(known, "{name} of {class} is neither old nor new: {line:?}");
            }
        }
        if cut_short {
            // What the cut batch had not done, and not what it had.
            let again = &fleet.fronts[0].orders[orders + 1].1;
            let done = &first[..cut];
            prop_assert!(again.iter().all(|command| !done.contains(command)), "{again:?} repeats of {done:?}");
        }
    }
}

#[test]
fn a_join_storm_stays_within_the_queue_and_a_drain_reaches_all() {
    let mut site = site(200);
    site.update_channel.max_waiting_commands = 2_000.0;
    let mut fleet = SimulatedFleet::open(&site, 700);
    let mut most = 0;
    for _ in 0..200 {
        fleet.run(20);
        most = most.max(fleet.info("LinesWaiting"));
    }
    assert_eq!(fleet.info("ProxiesJoined"), 200);
    assert!(most <= 2_000, "{most} lines waited");
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
    fleet.list(hosts);
    fleet.run(1_500);
    for n in 0..200 {
        assert!(
            !fleet.serving(n, "proof").contains_key(&name),
            "front-{n} still holds {name}"
        );
        assert!(!fleet.serving(n, "proof").is_empty());
    }
}
