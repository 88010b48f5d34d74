//! Tests of proxies that reject commands.

use super::{assert_holds_its_table, joined_fleet};
use crate::simulated_fleet::*;
use pondarch_daemon_core::Event;

#[test]
fn a_rejected_command_does_not_stop_the_others_and_is_not_retried_without_end() {
    let mut fleet = joined_fleet(1, 12);
    let updates_before = fleet.proxies[0].updates.len();
    fleet.proxies[0].fault = Fault::RejectCommand(1);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    (0..12).step_by(2).for_each(|n| hosts[n].weight = 4.0);
    fleet.apply_list(hosts);
    fleet.run(2_500);
    assert!(fleet.events.iter().any(
        |event| matches!(event, Event::UpdateRejected { error, .. } if error.contains("Not now"))
    ));
    let messages = fleet.proxies[0].updates.len() - updates_before;
    assert!(
        messages <= 3,
        "{messages} messages for one rejected command"
    );
    fleet.run(8_000);
    assert_holds_its_table(&mut fleet, 0);
}

/// The hosts that the proxy holds at first are in no table of the controller. If its new hosts are rejected and the old
/// ones were removed, it would have no host left.
#[test]
fn a_proxy_that_rejects_new_hosts_keeps_its_old_ones() {
    let mut fleet = SimulatedFleet::new(&site(6), 40);
    for backend in fleet.proxies[0].state.backends.values_mut() {
        backend.servers.clear();
        let server = pondarch_proxy_core::proxy_state::Server::new(
            addr(99),
            50,
            pondarch_runtime_api::AdminState::Ready,
        );
        backend.servers.insert("elsewhere".into(), server);
    }
    fleet.proxies[0].fault = Fault::RejectAdds;
    fleet.run(20_000);
    for class in CLASSES {
        assert!(
            fleet.serving(0, class).contains_key("elsewhere"),
            "no host for {class}"
        );
    }
    fleet.proxies[0].fault = Fault::None;
    fleet.run(10_000);
    assert_holds_its_table(&mut fleet, 0);
}

#[test]
fn a_proxy_that_rejects_all_commands_gets_few_messages() {
    let mut fleet = joined_fleet(1, 12);
    // Without backends, the proxy rejects every command of an update.
    fleet.proxies[0].state.backends.clear();
    let updates_before = fleet.proxies[0].updates.len();
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    (0..12).step_by(2).for_each(|n| hosts[n].weight = 4.0);
    fleet.apply_list(hosts);
    fleet.run(60_000);
    let messages = fleet.proxies[0].updates.len() - updates_before;
    assert!(messages <= 72, "{messages} messages within a minute");
}
