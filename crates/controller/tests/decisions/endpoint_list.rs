//! Endpoint lists that are polled, wrong or odd.

use crate::common::{
    SECOND, SimulatedFleet, all_healthy, deployment, endpoint, fleet_with, host, reports_but,
};
use pondarch_controller::{
    DeploymentConfig, Endpoint, EndpointList, EndpointState, ProxyId, RequestClassId, TableId, Time,
};
use std::time::Duration;

#[test]
fn merely_removed_host_stays_while_it_answers() {
    let mut fleet = fleet_with(DeploymentConfig {
        removal_is_advisory: true,
        ..deployment(8)
    });
    fleet.run(4_000, all_healthy);
    fleet.list(
        true,
        (1..12)
            .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
            .collect(),
    );
    fleet.run(4_000, all_healthy);
    assert!(fleet.hosts_of(TableId(0)).contains(&host(0)));
    fleet.run(8_000, |fleet| reports_but(fleet, &[0]));
    assert!(!fleet.hosts_of(TableId(0)).contains(&host(0)));
}

#[test]
fn polled_list_is_polled_again_after_a_failure() {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            poll_endpoints: true,
            ..deployment(8)
        },
        12,
    );
    assert_eq!(fleet.polls, 1, "it follows the list from its start");
    fleet.controller.endpoint_list_failed(fleet.time());
    fleet.run(9_000, |_| {});
    assert_eq!(fleet.polls, 2);
}

#[test]
fn odd_figures_leave_it_deciding() {
    let mut fleet = SimulatedFleet::new(DeploymentConfig::default(), 1);
    fleet.join(1, true, f64::NAN);
    fleet.join(1, true, -3.0);
    let odd = Endpoint {
        weight: f64::NAN,
        ..endpoint(0, EndpointState::Ready, Time::from_micros(u64::MAX))
    };
    fleet.list(false, vec![odd]);
    fleet.report_outcomes(77, 3.0, 9.0, 0);
    fleet.controller.record_arrivals(
        fleet.time(),
        ProxyId(9),
        RequestClassId(200),
        f64::INFINITY,
        Duration::ZERO,
    );
    fleet.list(
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
