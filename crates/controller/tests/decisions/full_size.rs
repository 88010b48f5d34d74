//! Tests with full-size fleets.

use crate::common::{SimulatedFleet, deployment_config, endpoint, host};
use pondarch_controller::{DeploymentConfig, EndpointState, Time};
use std::collections::BTreeSet;

/// 300 hosts and 350 of 1,000 proxies: the invariants hold while hosts are added, drain and return, and existing lines
/// stay in place when the fleet doubles.
#[test]
fn a_full_size_fleet_keeps_the_invariants_and_its_lines() {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            update_rate: 20_000.0,
            max_queued_lines: 40_000.0,
            ..deployment_config(1_000)
        },
        300,
    );
    (0..350).for_each(|n| fleet.join(n, true, 1.0 + f64::from(n % 7)));
    let reports = |fleet: &mut SimulatedFleet| {
        (0..300).for_each(|n| fleet.report_outcomes(n, 4.0, 0.0, 200));
        fleet.check_invariants();
    };
    fleet.run(5_000, reports);
    let before = fleet.lines.keys().cloned().collect::<BTreeSet<_>>();
    let added = (300..600).map(|n| endpoint(n, EndpointState::Ready, fleet.time()));
    fleet.apply_list(false, added.collect());
    fleet.run(3_000, reports);
    let kept = before
        .iter()
        .filter(|line| fleet.lines.contains_key(line))
        .count();
    assert!(
        kept * 10 >= before.len() * 9,
        "only {kept} of {} lines were kept",
        before.len()
    );
    fleet.apply_list(
        false,
        (0..75)
            .map(|n| endpoint(n * 4, EndpointState::Draining, Time::default()))
            .collect(),
    );
    fleet.run(4_000, reports);
    fleet.apply_list(
        false,
        (0..75)
            .map(|n| endpoint(n * 4, EndpointState::Ready, fleet.time()))
            .collect(),
    );
    fleet.run(4_000, reports);
}

/// During a release, four of five controllers stop at once and all proxies migrate to the last one. Its bindings fill
/// half of the queue. Sending all differences with each drain used to fill the rest and more, ahead of later drains.
#[test]
fn one_controller_with_all_proxies_keeps_its_queue_within_the_limit() {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            update_rate: 9_000.0,
            max_queued_lines: 56_000.0,
            ..deployment_config(2_400)
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
    let mut min_table_size = usize::MAX;
    for wave in 0..6 {
        // Three waves of joining proxies during the six waves of a release.
        let joins = (470..2_400).filter(|n| (1..4).contains(&wave) && n % 3 == wave - 1);
        joins.for_each(|n| fleet.join(n, false, 0.3));
        let added = (200 + wave * 30..230 + wave * 30)
            .map(|n| endpoint(n as usize, EndpointState::Ready, fleet.time()));
        fleet.apply_list(false, added.collect());
        let drained = wave * 30..30 + wave * 30;
        fleet.apply_list(
            false,
            drained
                .map(|n| endpoint(n as usize, EndpointState::Draining, Time::default()))
                .collect(),
        );
        fleet.run(2_000, reports);
        fleet.check_invariants();
        min_table_size = min_table_size.min(fleet.min_table_size());
    }
    fleet.run(10_000, reports);
    fleet.check_invariants();
    assert!(
        fleet.max_queue_utilization() < 1.0,
        "the queue reached {:.2} of its limit",
        fleet.max_queue_utilization()
    );
    assert!(
        min_table_size >= 3,
        "a table in use had only {min_table_size} hosts for all requests of its proxies"
    );
}
