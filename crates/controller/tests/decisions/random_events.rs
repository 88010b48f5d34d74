//! Invariants under random events.

use crate::common::{SimulatedFleet, deployment_config, endpoint, host};
use pondarch_controller::{Controller, DeploymentConfig, EndpointState, TableId, Time};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum FleetEvent {
    /// A proxy joins: number, whether it is newly started, usual rate.
    Join(u16, bool, f64),
    Leave(u16),
    Drain(usize),
    Remove(usize),
    Restart(usize),
    /// A complete list without hosts.
    EmptyList,
    /// A complete list with this many hosts.
    FullList(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
    /// Sets the failure ratio of a host.
    SetFailureRatio(usize, f64),
    /// Sets the failure ratio of all hosts.
    SetAllFailureRatios(f64),
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    prop_oneof![
        3 => (0..16u16, any::<bool>(), 0.0..30.0).prop_map(|(n, newly_started, usual_rate)| FleetEvent::Join(n, newly_started, usual_rate)),
        1 => (0..16u16).prop_map(FleetEvent::Leave),
        2 => (0..24usize).prop_map(FleetEvent::Drain),
        2 => (0..24usize).prop_map(FleetEvent::Remove),
        3 => (0..24usize).prop_map(FleetEvent::Restart),
        1 => Just(FleetEvent::EmptyList),
        1 => (0..24usize).prop_map(FleetEvent::FullList),
        6 => (50..4_000u64).prop_map(FleetEvent::Wait),
        2 => (0..24usize, 0.0..1.0).prop_map(|(n, ratio)| FleetEvent::SetFailureRatio(n, ratio)),
        1 => (0.0..1.0).prop_map(FleetEvent::SetAllFailureRatios),
    ]
}

fn apply_event(
    fleet: &mut SimulatedFleet,
    event: &FleetEvent,
    failure_ratios: &mut BTreeMap<usize, f64>,
) {
    match *event {
        FleetEvent::Join(n, newly_started, usual_rate) => fleet.join(n, newly_started, usual_rate),
        FleetEvent::Leave(n) => fleet.leave(n),
        FleetEvent::Drain(n) => fleet.apply_list(
            false,
            vec![endpoint(n, EndpointState::Draining, Time::default())],
        ),
        FleetEvent::Remove(n) => fleet.apply_list(
            false,
            vec![endpoint(n, EndpointState::Removed, Time::default())],
        ),
        FleetEvent::Restart(n) => {
            fleet.apply_list(false, vec![endpoint(n, EndpointState::Ready, fleet.time())])
        }
        FleetEvent::EmptyList => fleet.apply_list(true, Vec::new()),
        FleetEvent::FullList(n) => {
            fleet.apply_list(
                true,
                (0..n)
                    .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
                    .collect(),
            );
        }
        FleetEvent::Wait(millis) => fleet.run(millis, |fleet| {
            for n in 0..24 {
                let ratio = failure_ratios.get(&n).copied().unwrap_or(0.0);
                fleet.report_outcomes(n, 8.0, 8.0 * ratio, 200);
            }
            fleet.check_invariants();
        }),
        FleetEvent::SetFailureRatio(n, ratio) => drop(failure_ratios.insert(n, ratio)),
        FleetEvent::SetAllFailureRatios(ratio) => {
            failure_ratios.extend((0..24).map(|n| (n, ratio)));
        }
    }
    fleet.check_invariants();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_after_every_event(
        hosts in 0..24usize,
        proxies in 1..28u64,
        health_checks: bool,
        removal_is_advisory in Just(false),
        events in prop::collection::vec(fleet_event(), 1..40),
    ) {
        let config = DeploymentConfig { health_checks, removal_is_advisory, max_messages_per_window: 0, ..deployment_config(proxies) };
        let mut fleet = SimulatedFleet::new(config, hosts);
        let mut failure_ratios = BTreeMap::new();
        for event in &events {
            apply_event(&mut fleet, event, &mut failure_ratios);
        }
    }

    /// List changes every 2.5 s and random failures, with the message cap in force.
    #[test]
    fn the_message_cap_is_not_exceeded(events in prop::collection::vec((0..24usize, 0.0..1.0f64, 0..3u8), 1..30)) {
        let mut fleet = SimulatedFleet::new(deployment_config(16), 24);
        (0..16).for_each(|n| fleet.join(n, true, 5.0));
        for (n, failure_ratio, change) in events {
            match change {
                0 => fleet.apply_list(false, vec![endpoint(n, EndpointState::Draining, Time::default())]),
                1 => fleet.apply_list(false, vec![endpoint(n, EndpointState::Ready, fleet.time())]),
                _ => {}
            }
            fleet.run(2_500, |fleet| (0..24).for_each(|other| fleet.report_outcomes(other, 9.0, if other == n { 9.0 * failure_ratio } else { 0.0 }, 300)));
            fleet.check_invariants();
        }
    }

    /// Controllers with different seeds draw the same tables, which are even in size and within the limits.
    #[test]
    fn tables_are_equal_at_all_controllers_even_and_within_limits(hosts in 8..40usize, proxies in 6..40u64, seeds: (u64, u64)) {
        let draw_tables = |seed| {
            let mut fleet = SimulatedFleet::new(deployment_config(proxies), 0);
            fleet.controller = Controller::new(deployment_config(proxies), seed, fleet.time());
            fleet.apply_list(true, (0..hosts).map(|n| endpoint(n, EndpointState::Ready, Time::default())).collect());
            (0..proxies as u16).for_each(|n| fleet.join(n, true, 5.0));
            let tables: BTreeSet<TableId> = fleet.lines.keys().map(|(table, _)| *table).collect();
            tables.into_iter().map(|table| fleet.hosts_of(table)).collect::<Vec<_>>()
        };
        let tables = draw_tables(seeds.0);
        prop_assert_eq!(&tables, &draw_tables(seeds.1));
        prop_assert!(tables.len() as u64 * 5 < proxies.max(6));
        let distinct: BTreeSet<_> = tables.iter().collect();
        let tables_of = |n: usize| distinct.iter().filter(|table| table.contains(&host(n))).count();
        let counts: Vec<usize> = (0..hosts).map(tables_of).collect();
        let (min_count, max_count) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        prop_assert!(*min_count >= 1 && max_count - min_count <= 2, "{counts:?}");
        for (i, table) in distinct.iter().enumerate() {
            prop_assert!(table.len() >= 4 && table.len() <= 2 * hosts / distinct.len());
            prop_assert!(distinct.iter().skip(i + 1).all(|other| other.intersection(table).count() <= 2));
        }
    }
}
