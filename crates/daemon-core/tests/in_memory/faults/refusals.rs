//! Proxies that refuse commands.

use super::{holds_its_table, settled};
use crate::simulated_fleet::*;
use pondarch_daemon_core::Event;

#[test]
fn a_refused_command_leaves_the_rest_and_is_not_asked_for_without_end() {
    let mut fleet = settled(1, 12);
    let before = fleet.fronts[0].orders.len();
    fleet.fronts[0].fault = Fault::Refuse(1);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    (0..12).step_by(2).for_each(|n| hosts[n].weight = 4.0);
    fleet.list(hosts);
    fleet.run(2_500);
    assert!(
        fleet
            .events
            .iter()
            .any(|e| matches!(e, Event::UpdateRejected { error, .. } if error.contains("Not now")))
    );
    let few = fleet.fronts[0].orders.len() - before;
    assert!(few <= 3, "{few} messages for one refusal");
    fleet.run(8_000);
    holds_its_table(&mut fleet, 0);
}

/// Its standing hosts are in no table of the controller's: taking them away with the adds refused would leave it bare.
#[test]
fn refused_lines_do_not_cost_a_proxy_those_it_has() {
    let mut fleet = SimulatedFleet::open(&site(6), 40);
    for backend in fleet.fronts[0].tables.backends.values_mut() {
        backend.servers.clear();
        let server = pondarch_proxy_core::proxy_state::Server::new(
            addr(99),
            50,
            pondarch_runtime_api::AdminState::Ready,
        );
        backend.servers.insert("elsewhere".into(), server);
    }
    fleet.fronts[0].fault = Fault::RefuseAdds;
    fleet.run(20_000);
    for class in CLASSES {
        assert!(
            fleet.serving(0, class).contains_key("elsewhere"),
            "nothing to pick for {class}"
        );
    }
    fleet.fronts[0].fault = Fault::None;
    fleet.run(10_000);
    holds_its_table(&mut fleet, 0);
}

#[test]
fn a_proxy_that_refuses_everything_gets_no_storm() {
    let mut fleet = settled(1, 12);
    // A table without its backends: every order is refused.
    fleet.fronts[0].tables.backends.clear();
    let before = fleet.fronts[0].orders.len();
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    (0..12).step_by(2).for_each(|n| hosts[n].weight = 4.0);
    fleet.list(hosts);
    fleet.run(60_000);
    let messages = fleet.fronts[0].orders.len() - before;
    assert!(messages <= 72, "{messages} messages within a minute");
}
