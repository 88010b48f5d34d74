//! Which proxy uses which table.

use crate::common::{
    JoinedProxy, SECOND, SimulatedFleet, all_healthy, deployment, endpoint, fleet_with,
};
use pondarch_controller::{
    Controller, Decision, Endpoint, EndpointList, EndpointState, JoiningProxy, ProxyId,
    RequestClassId, Time, ZoneId,
};

#[test]
fn rejoining_proxy_finds_its_hashed_table_again() {
    let mut fleet = SimulatedFleet::new(deployment(21), 20);
    (0..12).for_each(|n| fleet.join(n, false, 5.0));
    let rejoin = |fleet: &mut SimulatedFleet| {
        fleet.leave(3);
        fleet.join(3, false, 5.0);
        fleet.proxies[&ProxyId(3)].tables.clone()
    };
    assert_eq!(rejoin(&mut fleet), rejoin(&mut fleet));
}

#[test]
fn zone_local_classes_are_bound_to_their_zone() {
    let mut deployment = deployment(8);
    deployment.request_classes[1].zone_local = true;
    let fleet = fleet_with(deployment);
    let tables = &fleet.proxies[&ProxyId(2)].tables;
    let own = tables[&vec![RequestClassId(1)]];
    assert_eq!(tables.len(), 2);
    assert!(
        fleet
            .hosts_of(own)
            .iter()
            .all(|id| fleet.listed[id].zone == ZoneId(2))
    );
}

/// A list names a zone that the settings do not: its hosts serve all class_count but the confined ones, and a proxy there
/// sends these where it sends all else. The controller ended at such a list.
#[test]
fn a_zone_that_the_deployment_does_not_name_has_no_table() {
    let mut deployment = deployment(8);
    deployment.request_classes[1].zone_local = true;
    let mut fleet = fleet_with(deployment);
    let far = |n| Endpoint {
        zone: ZoneId(9),
        ..endpoint(n, EndpointState::Ready, Time::default())
    };
    fleet.list(false, (20..24).map(far).collect());
    fleet.proxies.insert(ProxyId(7), JoinedProxy::default());
    fleet.controller.proxy_joined(
        fleet.time(),
        JoiningProxy {
            id: ProxyId(7),
            zone: ZoneId(9),
            newly_started: true,
            usual_rate: 2.0,
        },
    );
    fleet.run(3_000, all_healthy);
    fleet.check();
    let tables = &fleet.proxies[&ProxyId(7)].tables;
    assert_eq!(
        tables[&vec![RequestClassId(1)]],
        tables[&vec![RequestClassId(0), RequestClassId(2)]]
    );
    assert!(
        (20..24).any(|n| !fleet.is_unused(n)),
        "its hosts serve the other class_count"
    );
}

/// A list that has not come yet is no empty list: nobody is bound to a table without a host.
#[test]
fn before_the_first_list_nobody_is_bound() {
    let mut controller = Controller::new(deployment(8), 1, Time::from_micros(SECOND));
    controller.proxy_joined(
        Time::from_micros(SECOND),
        JoiningProxy {
            id: ProxyId(3),
            zone: ZoneId(0),
            newly_started: false,
            usual_rate: 5.0,
        },
    );
    let mut decided = Vec::new();
    for n in 0..20 {
        let now = Time::from_micros(SECOND + n * SECOND / 4);
        controller.on_timer(now);
        decided.extend(std::iter::from_fn(|| controller.next_decision(now)));
    }
    assert!(
        decided
            .iter()
            .all(|decision| matches!(decision, Decision::SetTimer(_))),
        "{decided:?}"
    );
    let now = Time::from_micros(7 * SECOND);
    controller.apply_endpoint_list(
        now,
        EndpointList {
            generation: 1,
            complete: true,
            endpoints: (0..8)
                .map(|n| endpoint(n, EndpointState::Ready, Time::default()))
                .collect(),
        },
    );
    let decided: Vec<Decision> = std::iter::from_fn(|| controller.next_decision(now)).collect();
    assert!(
        decided
            .iter()
            .any(|decision| matches!(decision, Decision::BindProxy { .. })),
        "{decided:?}"
    );
}
