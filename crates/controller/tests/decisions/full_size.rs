//! Full-size fleets.

use crate::common::{SimulatedFleet, deployment, endpoint, host};
use pondarch_controller::{DeploymentConfig, EndpointState, Time};
use std::collections::BTreeSet;

/// A few hundred hosts and a thousand proxies: the rules hold through a loss, a release and a return, and a fleet
/// that doubles leaves the old lines where they are.
#[test]
fn full_size_keeps_the_rules_and_its_lines() {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            update_rate: 20_000.0,
            max_queued_lines: 40_000.0,
            ..deployment(1_000)
        },
        300,
    );
    (0..350).for_each(|n| fleet.join(n, true, 1.0 + f64::from(n % 7)));
    let reports = |fleet: &mut SimulatedFleet| {
        (0..300).for_each(|n| fleet.report_outcomes(n, 4.0, 0.0, 200));
        fleet.check();
    };
    fleet.run(5_000, reports);
    let before = fleet.lines.keys().cloned().collect::<BTreeSet<_>>();
    let fresh = (300..600).map(|n| endpoint(n, EndpointState::Ready, fleet.time()));
    fleet.list(false, fresh.collect());
    fleet.run(3_000, reports);
    let kept = before
        .iter()
        .filter(|line| fleet.lines.contains_key(line))
        .count();
    assert!(
        kept * 10 >= before.len() * 9,
        "{kept} of {} lines are left",
        before.len()
    );
    fleet.list(
        false,
        (0..75)
            .map(|n| endpoint(n * 4, EndpointState::Draining, Time::default()))
            .collect(),
    );
    fleet.run(4_000, reports);
    fleet.list(
        false,
        (0..75)
            .map(|n| endpoint(n * 4, EndpointState::Ready, fleet.time()))
            .collect(),
    );
    fleet.run(4_000, reports);
}

/// During a release four of five stewards go at once, and all proxies come to the last one: its binds fill half of the
/// queue, and hurried pushes of all differences at each drain filled the rest and more, before the drains behind them.
#[test]
fn all_proxies_of_a_platform_at_one_controller_leave_room_in_its_queue() {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            update_rate: 9_000.0,
            max_queued_lines: 56_000.0,
            ..deployment(2_400)
        },
        200,
    );
    (0..470).for_each(|n| fleet.join(n, true, 0.3));
    let reports = |fleet: &mut SimulatedFleet| {
        let listed: Vec<usize> = (0..400)
            .filter(|&n| fleet.listed.contains_key(&host(n)))
            .collect();
        listed
            .into_iter()
            .for_each(|n| fleet.report_outcomes(n, 3.0, f64::from(n % 3 == 0), 300));
    };
    fleet.run(5_000, reports);
    let mut least = usize::MAX;
    for wave in 0..6 {
        // Three waves of joins, among six of a release.
        let joins = (470..2_400).filter(|n| (1..4).contains(&wave) && n % 3 == wave - 1);
        joins.for_each(|n| fleet.join(n, false, 0.3));
        let fresh = (200 + wave * 30..230 + wave * 30)
            .map(|n| endpoint(n as usize, EndpointState::Ready, fleet.time()));
        fleet.list(false, fresh.collect());
        let drained = wave * 30..30 + wave * 30;
        fleet.list(
            false,
            drained
                .map(|n| endpoint(n as usize, EndpointState::Draining, Time::default()))
                .collect(),
        );
        fleet.run(2_000, reports);
        fleet.check();
        least = least.min(fleet.smallest_table());
    }
    fleet.run(10_000, reports);
    fleet.check();
    assert!(
        fleet.max_queue_use() < 1.0,
        "{:.2} of what may wait",
        fleet.max_queue_use()
    );
    assert!(
        least >= 3,
        "a table in use was left with {least} hosts: all its proxies bring falls to them"
    );
}
