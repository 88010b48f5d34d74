//! Ejection of hosts and their way back.

use crate::common::{all_healthy, deployment, endpoint, fleet_with, host, reports_but};
use pondarch_controller::{
    DeploymentConfig, EndpointState, HealthCheckResult, HostLoad, TableId, Time,
};

#[test]
fn failing_host_is_ejected_and_comes_back_by_probation() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(4_000, all_healthy);
    fleet.run(6_000, |fleet| {
        reports_but(fleet, &[3]);
        fleet.report_outcomes(3, 8.0, 8.0, 0);
    });
    assert!(fleet.is_unused(3));
    fleet.run(30_000, all_healthy);
    assert!(!fleet.is_unused(3) && fleet.health_checks.is_empty());
    let part = fleet.lines[&(TableId(0), host(3))];
    assert!(part > 1.5, "after its trial it has {part} of 2");
}

#[test]
fn checked_host_comes_back_only_without_a_long_queue() {
    let mut fleet = fleet_with(DeploymentConfig {
        health_checks: true,
        ..deployment(8)
    });
    fleet.run(4_000, all_healthy);
    fleet.run(9_000, |fleet| reports_but(fleet, &[5]));
    assert!(fleet.is_unused(5), "a silent host is in use");
    assert!(fleet.health_checks.contains(&host(5)));
    let piled = HostLoad {
        queue_length: Some(17.0),
        ..HostLoad::default()
    };
    fleet.controller.on_health_check(
        fleet.time(),
        &host(5),
        HealthCheckResult {
            healthy: true,
            load: Some(piled),
        },
    );
    fleet.run(2_000, |fleet| reports_but(fleet, &[5]));
    assert!(
        fleet.is_unused(5),
        "a hung host answers shallow health_checks"
    );
    fleet.controller.on_health_check(
        fleet.time(),
        &host(5),
        HealthCheckResult {
            healthy: true,
            load: Some(HostLoad {
                queue_length: Some(0.0),
                ..piled
            }),
        },
    );
    fleet.run(3_000, all_healthy);
    assert!(!fleet.is_unused(5));
}

#[test]
fn late_reports_make_no_host_silent() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(4_000, all_healthy);
    fleet.run(8_000, |_| {});
    assert!(
        (0..12).all(|n| !fleet.is_unused(n)),
        "reports that are late for all are no evidence against anyone"
    );
}

#[test]
fn overload_of_the_whole_fleet_ejects_nobody() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(10_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 9.0, 6.0, 2_000))
    });
    assert!((0..12).all(|n| !fleet.is_unused(n)));
}

/// In a jam the median host fails too: a dead one must still stand out.
#[test]
fn dead_host_is_ejected_even_under_overload() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(8_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 9.0, if n == 4 { 9.0 } else { 5.0 }, 900))
    });
    assert!((0..12).all(|n| fleet.is_unused(n) == (n == 4)));
}

#[test]
fn last_ready_host_is_used_even_if_it_failed() {
    let mut fleet = fleet_with(DeploymentConfig {
        health_checks: true,
        ..deployment(8)
    });
    fleet.run(4_000, all_healthy);
    fleet.run(6_000, |fleet| {
        reports_but(fleet, &[3]);
        fleet.report_outcomes(3, 8.0, 8.0, 0);
    });
    assert!(fleet.is_unused(3));
    fleet.list(
        true,
        vec![endpoint(3, EndpointState::Ready, Time::default())],
    );
    fleet.run(1_000, |_| {});
    fleet.check();
}

/// A host that answers health checks but fails its requests was put back every few seconds, at full weight.
#[test]
fn a_host_that_fails_again_is_ejected_for_longer() {
    let mut fleet = fleet_with(DeploymentConfig {
        health_checks: true,
        ..deployment(8)
    });
    let (mut used, mut seconds) = (0, 0);
    fleet.run(60_000, |fleet| {
        for polls in std::mem::take(&mut fleet.health_checks) {
            fleet.controller.on_health_check(
                fleet.time(),
                &polls,
                HealthCheckResult {
                    healthy: true,
                    load: None,
                },
            );
        }
        let out = fleet.is_unused(0);
        (used, seconds) = (used + u32::from(!out), seconds + 1);
        // Few attempts: two that failed are enough.
        (1..12).for_each(|n| fleet.report_outcomes(n, 1.5, 0.0, 200));
        if !out {
            fleet.report_outcomes(0, 1.5, 1.5, 0);
        }
    });
    assert!(
        seconds == 60 && used < 20,
        "a failing host was used in {used} of {seconds} seconds"
    );
}

/// Two of three attempts failed at a host for eight seconds, and it kept its weight.
#[test]
fn a_host_that_fails_two_of_three_is_ejected() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 2.0, if n == 3 { 1.4 } else { 0.0 }, 200))
    });
    assert!(fleet.is_unused(3) && !fleet.is_unused(4));
}
