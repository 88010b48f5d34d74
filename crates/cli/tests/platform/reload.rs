//! SIGHUP: the parties move, and something happens meanwhile.

use crate::controller_process::*;
use crate::manual_peer::{
    ControllerFixture, ManualPeer, PING, host_removal, joined_event, list_change,
};
use crate::scripted_peers::*;

/// Told twice before the new parties serve: the connections that still serve went with the first of the two that
/// do not, and nothing served until one of these did.
#[test]
fn what_serves_stays_until_something_else_does() {
    let mut fixture = ControllerFixture::start(4);
    let (mut relay_2, mut discovery_2) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(discovery_2.address, relay_2.address);
    // They accept and say nothing.
    relay_2.wait_for_line("relay.watch");
    discovery_2.wait_for_line("GET /registry/instances HTTP");
    let (mut relay_3, mut discovery_3) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(discovery_3.address, relay_3.address);
    relay_3.wait_for_line("relay.watch");
    discovery_3.wait_for_line("GET /registry/instances HTTP");
    // Lists, news and calls go on where they did.
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
    // The third serves now, and the first is left.
    let news = relay_3.accept_membership_watch(&[0, 1, 2, 3, 9]);
    relay_3.send(news, PING);
    relay_3.accept_calls_until("\"bind\",\"id\":9");
    fixture.relay.wait_for_close(fixture.membership_connection);
    fixture.relay.wait_for_close(fixture.update_connection);
    fixture.controller.terminate();
}

/// A relay that accepts a connection and says nothing is none that serves: calls went there, and each was lost.
#[test]
fn calls_go_on_where_they_are_taken() {
    let mut fixture = ControllerFixture::start(4);
    let mut relay = ManualPeer::start();
    fixture
        .controller
        .change_upstreams(fixture.discovery.address, relay.address);
    relay.wait_for_line("relay.watch");
    // The other connection is up as well.
    for _ in 0..2 {
        relay.wait_for_connection();
    }
    fixture.drain_host(2, 3);
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(3)),
        fixture.update_connection
    );
    // Once it lists who stands it serves.
    let again = relay.unclaimed_line_count("relay.apply");
    assert_eq!(again, 0, "a call went to the relay that says nothing");
    fixture.controller.terminate();
}

/// There and back before the other address serves, and once more after it does.
#[test]
fn there_and_back_leaves_one_that_serves() {
    let mut fixture = ControllerFixture::start(4);
    let (mut relay_2, mut discovery_2) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(discovery_2.address, relay_2.address);
    relay_2.wait_for_line("relay.watch");
    discovery_2.wait_for_line("GET /registry/instances HTTP");
    fixture
        .controller
        .change_upstreams(fixture.discovery.address, fixture.relay.address);
    fixture.discovery.send_list(1, &list_hosts());
    let watch = fixture.discovery.accept_watch(1);
    let news = fixture.relay.accept_membership_watch(&[0, 1, 2, 3]);
    fixture.relay.send(news, PING);
    fixture.relay.accept_calls_until("\"bind\",\"id\":3");
    fixture.relay.wait_for_close(fixture.membership_connection);
    fixture
        .discovery
        .send_chunk(watch, &list_change(2, &[host_entry(1, 5, "Terminating")]));
    fixture.relay.accept_calls_until(&host_removal(5));

    fixture
        .controller
        .change_upstreams(discovery_2.address, relay_2.address);
    discovery_2.send_list(7, &list_hosts());
    let watch_2 = discovery_2.accept_watch(7);
    let news_2 = relay_2.accept_membership_watch(&[0, 1, 2, 3]);
    relay_2.send(news_2, PING);
    relay_2.accept_calls_until("\"bind\",\"id\":3");
    discovery_2.send_chunk(watch_2, &list_change(8, &[host_entry(1, 6, "Terminating")]));
    relay_2.accept_calls_until(&host_removal(6));
    fixture.controller.terminate();
}

fn list_hosts() -> Vec<String> {
    (0..8).map(|n| host_entry(1, n, "Ready")).collect()
}

/// A wrong file changes nothing and is said once; it is read again until it is right.
#[test]
fn a_wrong_file_changes_nothing() {
    let mut fixture = ControllerFixture::start(4);
    let good = std::fs::read_to_string(&fixture.controller.config).expect("the file");
    let wrong = good.replace(
        &format!("\"hub\":{{\"address\":\"{}\"}}", fixture.relay.address),
        "\"hub\":{\"address\":\"nowhere\"}",
    );
    assert_ne!(good, wrong);
    std::fs::write(&fixture.controller.config, wrong).expect("written");
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
            fixture.discovery.address,
            relay.address,
        ),
    )
    .expect("written");
    let news = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.send(news, PING);
    relay.accept_calls_until("\"bind\",\"id\":3");
    let log = fixture.controller.terminate();
    assert_eq!(
        log.matches("configuration reload failed").count(),
        1,
        "{log}"
    );
}

/// A drain that is told right after SIGHUP, on the old list while the new one does not answer, and one on the new list.
#[test]
fn drains_right_after_a_move_go_out() {
    let mut fixture = ControllerFixture::start(4);
    let (mut relay, mut discovery) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(discovery.address, relay.address);
    discovery.wait_for_line("GET /registry/instances HTTP");
    relay.wait_for_line("relay.watch");
    fixture.drain_host(2, 3);
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(3)),
        fixture.update_connection
    );
    // The question for the whole list is asked anew after its limit.
    let mut hosts = list_hosts();
    hosts[3] = host_entry(1, 3, "Terminating");
    discovery.send_list(1, &hosts);
    let watch = discovery.accept_watch(1);
    discovery.send_chunk(watch, &list_change(2, &[host_entry(1, 4, "Terminating")]));
    assert_eq!(
        fixture.relay.accept_calls_until(&host_removal(4)),
        fixture.update_connection
    );
    fixture.controller.terminate();
}
