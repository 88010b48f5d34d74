//! The rules under seeded random runs.

use crate::common::{SimulatedFleet, deployment, endpoint, host};
use pondarch_controller::{Controller, DeploymentConfig, EndpointState, TableId, Time};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Join(u16, bool, f64),
    Leave(u16),
    Drain(usize),
    Gone(usize),
    Restart(usize),
    Emptied,
    Refilled(usize),
    Wait(u64),
    Failing(usize, f64),
    Jam(f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..16u16, any::<bool>(), 0.0..30.0).prop_map(|(n, fresh, usual)| Step::Join(n, fresh, usual)),
        1 => (0..16u16).prop_map(Step::Leave),
        2 => (0..24usize).prop_map(Step::Drain),
        2 => (0..24usize).prop_map(Step::Gone),
        3 => (0..24usize).prop_map(Step::Restart),
        1 => Just(Step::Emptied),
        1 => (0..24usize).prop_map(Step::Refilled),
        6 => (50..4_000u64).prop_map(Step::Wait),
        2 => (0..24usize, 0.0..1.0).prop_map(|(n, share)| Step::Failing(n, share)),
        1 => (0.0..1.0).prop_map(Step::Jam),
    ]
}

fn take(fleet: &mut SimulatedFleet, step: &Step, bad: &mut BTreeMap<usize, f64>) {
    match *step {
        Step::Join(n, fresh, usual) => fleet.join(n, fresh, usual),
        Step::Leave(n) => fleet.leave(n),
        Step::Drain(n) => fleet.list(
            false,
            vec![endpoint(n, EndpointState::Draining, Time::default())],
        ),
        Step::Gone(n) => fleet.list(
            false,
            vec![endpoint(n, EndpointState::Removed, Time::default())],
        ),
        Step::Restart(n) => {
            fleet.list(false, vec![endpoint(n, EndpointState::Ready, fleet.time())])
        }
        Step::Emptied => fleet.list(true, Vec::new()),
        Step::Refilled(n) => {
            fleet.list(
                true,
                (0..n)
                    .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
                    .collect(),
            );
        }
        Step::Wait(millis) => fleet.run(millis, |fleet| {
            for n in 0..24 {
                let share = bad.get(&n).copied().unwrap_or(0.0);
                fleet.report_outcomes(n, 8.0, 8.0 * share, 200);
            }
            fleet.check();
        }),
        Step::Failing(n, share) => drop(bad.insert(n, share)),
        Step::Jam(share) => bad.extend((0..24).map(|n| (n, share))),
    }
    fleet.check();
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_after_every_step(
        hosts in 0..24usize,
        proxies in 1..28u64,
        health_checks: bool,
        gone_is_no_drain in Just(false),
        steps in prop::collection::vec(step(), 1..40),
    ) {
        let deployment = DeploymentConfig { health_checks, removal_is_advisory: gone_is_no_drain, max_messages_per_window: 0, ..deployment(proxies) };
        let mut fleet = SimulatedFleet::new(deployment, hosts);
        let mut bad = BTreeMap::new();
        for step in &steps {
            take(&mut fleet, step, &mut bad);
        }
    }

    /// Slow list changes and any reports, under the message cap.
    #[test]
    fn message_cap_is_kept(steps in prop::collection::vec((0..24usize, 0.0..1.0f64, 0..3u8), 1..30)) {
        let mut fleet = SimulatedFleet::new(deployment(16), 24);
        (0..16).for_each(|n| fleet.join(n, true, 5.0));
        for (n, share, change) in steps {
            match change {
                0 => fleet.list(false, vec![endpoint(n, EndpointState::Draining, Time::default())]),
                1 => fleet.list(false, vec![endpoint(n, EndpointState::Ready, fleet.time())]),
                _ => {}
            }
            fleet.run(2_500, |fleet| (0..24).for_each(|m| fleet.report_outcomes(m, 9.0, if m == n { 9.0 * share } else { 0.0 }, 300)));
            fleet.check();
        }
    }

    /// Any two stewards draw the same even tables within the bounds, whatever their seeds.
    #[test]
    fn draw_is_shared_even_and_bounded(hosts in 8..40usize, proxies in 6..40u64, seeds: (u64, u64)) {
        let draw = |seed| {
            let mut fleet = SimulatedFleet::new(deployment(proxies), 0);
            fleet.controller = Controller::new(deployment(proxies), seed, fleet.time());
            fleet.list(true, (0..hosts).map(|n| endpoint(n, EndpointState::Ready, Time::default())).collect());
            (0..proxies as u16).for_each(|n| fleet.join(n, true, 5.0));
            let tables: BTreeSet<TableId> = fleet.lines.keys().map(|(table, _)| *table).collect();
            tables.into_iter().map(|table| fleet.hosts_of(table)).collect::<Vec<_>>()
        };
        let tables = draw(seeds.0);
        prop_assert_eq!(&tables, &draw(seeds.1));
        prop_assert!(tables.len() as u64 * 5 < proxies.max(6));
        let distinct: BTreeSet<_> = tables.iter().collect();
        let count = |n: usize| distinct.iter().filter(|table| table.contains(&host(n))).count();
        let counts: Vec<usize> = (0..hosts).map(count).collect();
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        prop_assert!(*least >= 1 && most - least <= 2, "{counts:?}");
        for (i, table) in distinct.iter().enumerate() {
            prop_assert!(table.len() >= 4 && table.len() <= 2 * hosts / distinct.len());
            prop_assert!(distinct.iter().skip(i + 1).all(|other| other.intersection(table).count() <= 2));
        }
    }
}
