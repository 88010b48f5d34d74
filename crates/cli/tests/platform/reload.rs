//! Reload on SIGHUP: the registry and the relay move to other addresses while something else happens.

use crate::controller_process::*;
use crate::manual_peer::{
    ControllerFixture, ManualPeer, PING, host_removal, joined_event, list_change,
};
use crate::scripted_peers::*;

/// Two reloads before a new registry and relay answer: the second reload dropped the working connections together with the
/// first pair of new ones, and there was no working connection until a new one answered.
#[test]
fn working_connections_are_kept_until_new_ones_are_ready() {
    let mut fixture = ControllerFixture::start(4);
    let (mut relay_2, mut registry_2) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(registry_2.address, relay_2.address);
    // They accept connections and send nothing.
    relay_2.wait_for_line("relay.watch");
    registry_2.wait_for_line("GET /registry/instances HTTP");
    let (mut relay_3, mut registry_3) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(registry_3.address, relay_3.address);
    relay_3.wait_for_line("relay.watch");
    registry_3.wait_for_line("GET /registry/instances HTTP");
    // List changes, membership events and update calls continue on the old connections.
    fixture.drain_host(2, 3);
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(3)),
        fixture.update_connection
    );
    fixture
        .relay
        .send(fixture.membership_connection, &joined_event(9));
    assert_eq!(
        fixture.relay.accept_calls_until("\"bind\",\"id\":9"),
        fixture.update_connection
    );
    // The third relay answers now, and the first one is dropped.
    let membership = relay_3.accept_membership_watch(&[0, 1, 2, 3, 9]);
    relay_3.send(membership, PING);
    relay_3.accept_calls_until("\"bind\",\"id\":9");
    fixture.relay.wait_for_close(fixture.membership_connection);
    fixture.relay.wait_for_close(fixture.update_connection);
    fixture.controller.terminate();
}

/// A relay that accepts a connection and sends nothing is not ready: update calls were sent to it, and each was lost.
#[test]
fn update_calls_stay_on_the_old_relay_until_the_new_one_is_ready() {
    let mut fixture = ControllerFixture::start(4);
    let mut relay = ManualPeer::start();
    fixture
        .controller
        .change_upstreams(fixture.registry.address, relay.address);
    relay.wait_for_line("relay.watch");
    // Both of its connections are established.
    for _ in 0..2 {
        relay.wait_for_connection();
    }
    fixture.drain_host(2, 3);
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(3)),
        fixture.update_connection
    );
    // The new relay becomes ready only when it has listed the joined proxies.
    let calls = relay.unclaimed_line_count("relay.apply");
    assert_eq!(calls, 0, "a call was sent to the relay that is not ready");
    fixture.controller.terminate();
}

/// To another address and back before that address answers, and to it once more when it does.
#[test]
fn moving_to_another_address_and_back_keeps_a_working_connection() {
    let mut fixture = ControllerFixture::start(4);
    let (mut relay_2, mut registry_2) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(registry_2.address, relay_2.address);
    relay_2.wait_for_line("relay.watch");
    registry_2.wait_for_line("GET /registry/instances HTTP");
    fixture
        .controller
        .change_upstreams(fixture.registry.address, fixture.relay.address);
    fixture.registry.send_list(1, &ready_hosts());
    let watch = fixture.registry.accept_watch(1);
    let membership = fixture.relay.accept_membership_watch(&[0, 1, 2, 3]);
    fixture.relay.send(membership, PING);
    fixture.relay.accept_calls_until("\"bind\",\"id\":3");
    fixture.relay.wait_for_close(fixture.membership_connection);
    fixture
        .registry
        .send_chunk(watch, &list_change(2, &[host_entry(1, 5, "Terminating")]));
    fixture.relay.accept_calls_until(&host_removal(5));

    fixture
        .controller
        .change_upstreams(registry_2.address, relay_2.address);
    registry_2.send_list(7, &ready_hosts());
    let watch_2 = registry_2.accept_watch(7);
    let membership_2 = relay_2.accept_membership_watch(&[0, 1, 2, 3]);
    relay_2.send(membership_2, PING);
    relay_2.accept_calls_until("\"bind\",\"id\":3");
    registry_2.send_chunk(watch_2, &list_change(8, &[host_entry(1, 6, "Terminating")]));
    relay_2.accept_calls_until(&host_removal(6));
    fixture.controller.terminate();
}

fn ready_hosts() -> Vec<String> {
    (0..8).map(|n| host_entry(1, n, "Ready")).collect()
}

/// An invalid file changes nothing and is logged once; it is read again until it is valid.
#[test]
fn an_invalid_file_changes_nothing() {
    let mut fixture = ControllerFixture::start(4);
    let valid = std::fs::read_to_string(&fixture.controller.config).expect("cannot read the file");
    let invalid = valid.replace(
        &format!("\"hub\":{{\"address\":\"{}\"}}", fixture.relay.address),
        "\"hub\":{\"address\":\"nowhere\"}",
    );
    assert_ne!(valid, invalid);
    std::fs::write(&fixture.controller.config, invalid).expect("cannot write");
    fixture.controller.signal("-HUP");
    fixture
        .controller
        .wait_for_log("'hub.address' is missing or is not an address", 1);
    fixture.drain_host(2, 3);
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(3)),
        fixture.update_connection
    );
    let mut relay = ManualPeer::start();
    std::fs::write(
        &fixture.controller.config,
        config(
            fixture.controller.listen,
            fixture.registry.address,
            relay.address,
        ),
    )
    .expect("cannot write");
    let membership = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.send(membership, PING);
    relay.accept_calls_until("\"bind\",\"id\":3");
    let log = fixture.controller.terminate();
    assert_eq!(
        log.matches("configuration reload failed").count(),
        1,
        "{log}"
    );
}

/// A drain that is listed right after SIGHUP, by the old registry while the new one does not answer, and one by the new
/// registry.
#[test]
fn drains_right_after_a_reload_are_sent() {
    let mut fixture = ControllerFixture::start(4);
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(registry.address, relay.address);
    registry.wait_for_line("GET /registry/instances HTTP");
    relay.wait_for_line("relay.watch");
    fixture.drain_host(2, 3);
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(3)),
        fixture.update_connection
    );
    // The request for the complete list is repeated after its time limit.
    let mut hosts = ready_hosts();
    hosts[3] = host_entry(1, 3, "Terminating");
    registry.send_list(1, &hosts);
    let watch = registry.accept_watch(1);
    registry.send_chunk(watch, &list_change(2, &[host_entry(1, 4, "Terminating")]));
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(4)),
        fixture.update_connection
    );
    fixture.controller.terminate();
}
