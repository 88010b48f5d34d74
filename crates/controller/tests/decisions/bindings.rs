//! Bindings of proxies to tables.

use crate::common::{
    JoinedProxy, SECOND, SimulatedFleet, deployment_config, endpoint, report_all_healthy,
    small_fleet,
};
use pondarch_controller::{
    Controller, Decision, Endpoint, EndpointList, EndpointState, JoiningProxy, ProxyId,
    RequestClassId, Time, ZoneId,
};

#[test]
fn a_rejoining_proxy_gets_the_same_table() {
    let mut fleet = SimulatedFleet::new(deployment_config(21), 20);
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
    let mut config = deployment_config(8);
    config.request_classes[1].zone_local = true;
    let fleet = small_fleet(config);
    let tables = &fleet.proxies[&ProxyId(2)].tables;
    let zone_table = tables[&vec![RequestClassId(1)]];
    assert_eq!(tables.len(), 2);
    assert!(
        fleet
            .hosts_of(zone_table)
            .iter()
            .all(|id| fleet.listed[id].zone == ZoneId(2))
    );
}

/// The endpoint list names a zone that the settings do not. Its hosts serve all but the zone-local classes, and a proxy
/// in it uses its shared table for these classes too. The controller used to panic on such a list.
#[test]
fn a_zone_unknown_to_the_deployment_has_no_table() {
    let mut config = deployment_config(8);
    config.request_classes[1].zone_local = true;
    let mut fleet = small_fleet(config);
    let endpoint_in_unknown_zone = |n| Endpoint {
        zone: ZoneId(9),
        ..endpoint(n, EndpointState::Ready, Time::default())
    };
    fleet.apply_list(false, (20..24).map(endpoint_in_unknown_zone).collect());
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
    fleet.run(3_000, report_all_healthy);
    fleet.check_invariants();
    let tables = &fleet.proxies[&ProxyId(7)].tables;
    assert_eq!(
        tables[&vec![RequestClassId(1)]],
        tables[&vec![RequestClassId(0), RequestClassId(2)]]
    );
    assert!(
        (20..24).any(|n| !fleet.is_unused(n)),
        "no host of the unknown zone serves the shared classes"
    );
}

/// Without an endpoint list, proxies must not be bound to tables without hosts: a list that has not arrived is not an
/// empty list.
#[test]
fn no_proxy_is_bound_before_the_first_list() {
    let mut controller = Controller::new(deployment_config(8), 1, Time::from_micros(SECOND));
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
