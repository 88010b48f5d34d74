//! Ejection of hosts and their return.

use crate::common::{
    deployment_config, endpoint, host, report_all_except, report_all_healthy, small_fleet,
};
use pondarch_controller::{
    DeploymentConfig, EndpointState, HealthCheckResult, HostLoad, TableId, Time,
};

#[test]
fn a_failing_host_is_ejected_and_returns_after_probation() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    fleet.run(6_000, |fleet| {
        report_all_except(fleet, &[3]);
        fleet.report_outcomes(3, 8.0, 8.0, 0);
    });
    assert!(fleet.is_unused(3));
    fleet.run(30_000, report_all_healthy);
    assert!(!fleet.is_unused(3) && fleet.health_checks.is_empty());
    let weight = fleet.lines[&(TableId(0), host(3))];
    assert!(
        weight > 1.5,
        "after its probation it has weight {weight} of 2"
    );
}

#[test]
fn a_host_with_a_long_queue_does_not_return_after_a_passed_health_check() {
    let mut fleet = small_fleet(DeploymentConfig {
        health_checks: true,
        ..deployment_config(8)
    });
    fleet.run(4_000, report_all_healthy);
    fleet.run(9_000, |fleet| report_all_except(fleet, &[5]));
    assert!(fleet.is_unused(5), "a silent host is still in use");
    assert!(fleet.health_checks.contains(&host(5)));
    let long_queue = HostLoad {
        queue_length: Some(17.0),
        ..HostLoad::default()
    };
    fleet.controller.on_health_check(
        fleet.time(),
        &host(5),
        HealthCheckResult {
            healthy: true,
            load: Some(long_queue),
        },
    );
    fleet.run(2_000, |fleet| report_all_except(fleet, &[5]));
    assert!(
        fleet.is_unused(5),
        "a host with a long queue was returned after a shallow health check"
    );
    fleet.controller.on_health_check(
        fleet.time(),
        &host(5),
        HealthCheckResult {
            healthy: true,
            load: Some(HostLoad {
                queue_length: Some(0.0),
                ..long_queue
            }),
        },
    );
    fleet.run(3_000, report_all_healthy);
    assert!(!fleet.is_unused(5));
}

#[test]
fn reports_late_for_all_hosts_eject_none() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    fleet.run(8_000, |_| {});
    assert!(
        (0..12).all(|n| !fleet.is_unused(n)),
        "a host was ejected although the reports of all hosts are late"
    );
}

#[test]
fn overload_of_the_whole_fleet_ejects_no_host() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(10_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 9.0, 6.0, 2_000))
    });
    assert!((0..12).all(|n| !fleet.is_unused(n)));
}

/// Under overload, the median host fails too, but a dead host must still be detected as an outlier.
#[test]
fn a_dead_host_is_ejected_even_under_overload() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(8_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 9.0, if n == 4 { 9.0 } else { 5.0 }, 900))
    });
    assert!((0..12).all(|n| fleet.is_unused(n) == (n == 4)));
}

#[test]
fn the_last_ready_host_is_used_even_if_it_failed() {
    let mut fleet = small_fleet(DeploymentConfig {
        health_checks: true,
        ..deployment_config(8)
    });
    fleet.run(4_000, report_all_healthy);
    fleet.run(6_000, |fleet| {
        report_all_except(fleet, &[3]);
        fleet.report_outcomes(3, 8.0, 8.0, 0);
    });
    assert!(fleet.is_unused(3));
    fleet.apply_list(
        true,
        vec![endpoint(3, EndpointState::Ready, Time::default())],
    );
    fleet.run(1_000, |_| {});
    fleet.check_invariants();
}

/// A host that passes health checks but fails its requests used to be returned every few seconds at full weight.
#[test]
fn a_host_that_fails_again_is_ejected_for_longer() {
    let mut fleet = small_fleet(DeploymentConfig {
        health_checks: true,
        ..deployment_config(8)
    });
    let (mut used_seconds, mut seconds) = (0, 0);
    fleet.run(60_000, |fleet| {
        for checked in std::mem::take(&mut fleet.health_checks) {
            fleet.controller.on_health_check(
                fleet.time(),
                &checked,
                HealthCheckResult {
                    healthy: true,
                    load: None,
                },
            );
        }
        let is_unused = fleet.is_unused(0);
        (used_seconds, seconds) = (used_seconds + u32::from(!is_unused), seconds + 1);
        // Few attempts, so that two failures are enough for an ejection.
        (1..12).for_each(|n| fleet.report_outcomes(n, 1.5, 0.0, 200));
        if !is_unused {
            fleet.report_outcomes(0, 1.5, 1.5, 0);
        }
    });
    assert!(
        seconds == 60 && used_seconds < 20,
        "a failing host was used in {used_seconds} of {seconds} seconds"
    );
}

/// A host used to keep its weight although two of three attempts failed for eight seconds.
#[test]
fn a_host_with_two_of_three_attempts_failing_is_ejected() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 2.0, if n == 3 { 1.4 } else { 0.0 }, 200))
    });
    assert!(fleet.is_unused(3) && !fleet.is_unused(4));
}
