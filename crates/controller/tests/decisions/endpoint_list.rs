//! Endpoint lists: advisory removal, polling, and invalid values.

use crate::common::{
    SECOND, SimulatedFleet, deployment_config, endpoint, host, report_all_except,
    report_all_healthy, small_fleet,
};
use pondarch_controller::{
    DeploymentConfig, Endpoint, EndpointList, EndpointState, ProxyId, RequestClassId, TableId, Time,
};
use std::time::Duration;

#[test]
fn an_advisory_removal_keeps_the_host_while_it_answers() {
    let mut fleet = small_fleet(DeploymentConfig {
        removal_is_advisory: true,
        ..deployment_config(8)
    });
    fleet.run(4_000, report_all_healthy);
    fleet.apply_list(
        true,
        (1..12)
            .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
            .collect(),
    );
    fleet.run(4_000, report_all_healthy);
    assert!(fleet.hosts_of(TableId(0)).contains(&host(0)));
    fleet.run(8_000, |fleet| report_all_except(fleet, &[0]));
    assert!(!fleet.hosts_of(TableId(0)).contains(&host(0)));
}

#[test]
fn a_failed_poll_is_repeated() {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            poll_endpoints: true,
            ..deployment_config(8)
        },
        12,
    );
    assert_eq!(fleet.polls, 1, "the list is not polled at startup");
    fleet.controller.endpoint_list_failed(fleet.time());
    fleet.run(9_000, |_| {});
    assert_eq!(fleet.polls, 2);
}

#[test]
fn invalid_values_do_not_stop_decisions() {
    let mut fleet = SimulatedFleet::new(DeploymentConfig::default(), 1);
    fleet.join(1, true, f64::NAN);
    fleet.join(1, true, -3.0);
    let invalid = Endpoint {
        weight: f64::NAN,
        ..endpoint(0, EndpointState::Ready, Time::from_micros(u64::MAX))
    };
    fleet.apply_list(false, vec![invalid]);
    fleet.report_outcomes(77, 3.0, 9.0, 0);
    fleet.controller.record_arrivals(
        fleet.time(),
        ProxyId(9),
        RequestClassId(200),
        f64::INFINITY,
        Duration::ZERO,
    );
    fleet.apply_list(
        false,
        vec![endpoint(0, EndpointState::Ready, Time::default())],
    );
    fleet.controller.apply_endpoint_list(
        fleet.time(),
        EndpointList {
            generation: 0,
            complete: false,
            endpoints: vec![endpoint(0, EndpointState::Removed, Time::default())],
        },
    );
    fleet.run(3 * SECOND / 1_000, |fleet| {
        fleet.report_outcomes(0, 5.0, 50.0, 100)
    });
    assert_eq!(fleet.hosts_of(TableId(0)).len(), 1);
}
