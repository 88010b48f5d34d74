//! The connections to the relay: late responses, responses to another call, breaks at bad moments, and a relay that closes
//! connections at once.

use crate::controller_process::*;
use crate::manual_peer::{
    ControllerFixture, ManualPeer, PING, accept_pending_update_call, host_removal, joined_event,
    response, small_buffer_listener,
};
use crate::scripted_peers::*;
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

/// The response to an update call arrives after its time limit: the changes may have been carried out or not, and are
/// sent again on a new connection. The late response does not count for the second call.
#[test]
fn a_late_response_is_ignored() {
    let mut fixture = ControllerFixture::start(4);
    fixture.drain_host(2, 3);
    let (first, call) = fixture.relay.wait_for_call(&host_removal(3));
    let (second, repeated_call) = fixture.relay.wait_for_call(&host_removal(3));
    assert_ne!(
        first, second,
        "the connection with the unanswered call was used again"
    );
    fixture.relay.accept_call(first, &call);
    fixture.relay.accept_call(second, &repeated_call);
    fixture.drain_host(3, 4);
    assert_eq!(fixture.relay.accept_calls_until(&host_removal(4)), second);
    let log = fixture.controller.terminate();
    assert_eq!(log.matches("update call failed").count(), 1, "{log}");
}

/// A response to another call, and one that cannot be parsed: neither is accepted as the response.
#[test]
fn a_response_to_another_call_is_not_accepted() {
    for unexpected in [
        "{\"jsonrpc\":\"2.0\",\"id\":999,\"result\":{\"ok_count\":1}}\n",
        "{\"jsonrpc\":\n",
    ] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        let (first, _) = fixture.relay.wait_for_call(&host_removal(3));
        fixture.relay.send(first, unexpected);
        let second = fixture.relay.accept_calls_until(&host_removal(3));
        assert_ne!(first, second);
        fixture.relay.wait_for_close(first);
        fixture.controller.terminate();
    }
}

/// The relay closes the idle connection at the moment when a drain is listed: both events are waiting when the controller,
/// suspended meanwhile, resumes.
#[test]
fn closing_an_idle_connection_loses_no_update_call() {
    for reset in [false, true] {
        let mut fixture = ControllerFixture::start(4);
        fixture.controller.signal("-STOP");
        if reset {
            fixture.relay.reset(fixture.update_connection);
        } else {
            fixture.relay.close(fixture.update_connection);
        }
        fixture.drain_host(2, 3);
        fixture.controller.signal("-CONT");
        let update_connection = fixture.relay.accept_calls_until(&host_removal(3));
        assert_ne!(update_connection, fixture.update_connection);
        fixture.controller.terminate();
    }
}

/// The connection breaks after the last byte of an update call: whether it was carried out or not, it is sent again.
#[test]
fn an_update_call_is_repeated_if_the_connection_breaks_after_its_last_byte() {
    for reset in [false, true] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        let (update_connection, _) = fixture.relay.wait_for_call(&host_removal(3));
        if reset {
            fixture.relay.reset(update_connection);
        } else {
            fixture.relay.close(update_connection);
        }
        fixture.relay.accept_calls_until(&host_removal(3));
        fixture.controller.terminate();
    }
}

/// The connection breaks with part of an update call sent: its changes are sent again on the next connection.
#[test]
fn an_update_call_is_repeated_if_the_connection_breaks_before_its_last_byte() {
    let (relay, relay_address) = small_buffer_listener();
    let (registry, _requests) = start_registry(1);
    let controller = ControllerProcess::start(registry, relay_address);
    let mut update_connection = accept_pending_update_call(&relay);
    update_connection
        .read_exact(&mut [0; 16])
        .expect("no byte of the call arrived");
    SockRef::from(&update_connection)
        .set_linger(Some(Duration::ZERO))
        .expect("cannot set the socket option");
    drop(update_connection);
    loop {
        let (next, _) = relay.accept().expect("no next connection");
        next.set_read_timeout(Some(TIMEOUT))
            .expect("cannot set a time limit");
        let mut line = String::new();
        // This may be a new membership watch.
        BufReader::new(next).read_line(&mut line).expect("no line");
        if line.contains("relay.apply") {
            let binds = line.matches("\"verb\":\"bind\"").count();
            assert_eq!(binds, 20, "{line}");
            break;
        }
    }
    controller.terminate();
}

/// A membership watch breaks after its list of joined proxies and before the first ping. Proxies that only this list
/// named have left.
#[test]
fn a_membership_watch_that_breaks_before_its_first_ping_leaves_no_absent_proxies() {
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    let controller = ControllerProcess::start(registry.address, relay.address);
    registry.accept_watch(1);
    let membership = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.accept_calls_until("\"bind\",\"id\":3");
    relay.reset(membership);
    let membership = relay.accept_membership_watch(&[0, 1]);
    relay.send(membership, PING);
    relay.accept_calls_until("\"bind\",\"id\":1");
    // A proxy that joins after that is bound, and proxies that only the broken watch named are not.
    relay.send(membership, &joined_event(7));
    relay.accept_calls_until("\"bind\",\"id\":7");
    controller.wait_for_log("counters", 1);
    let log = controller.terminate();
    let counters = log
        .lines()
        .rfind(|line| line.contains("counters"))
        .expect("no counters line");
    assert!(counters.contains("joined_proxies=3 "), "{counters}");
}

/// A proxy left and joined while there was no membership watch: it has lost its table and is bound to it again.
#[test]
fn a_proxy_that_left_and_joined_during_a_reconnect_is_bound_again() {
    let mut fixture = ControllerFixture::start(4);
    fixture.relay.reset(fixture.membership_connection);
    let membership = fixture.relay.accept_membership_watch(&[0, 1, 2, 3]);
    fixture.relay.accept_calls_until("\"bind\",\"id\":2");
    fixture.relay.send(membership, PING);
    // The same with both events on one connection.
    fixture
        .relay
        .send(membership, "{\"method\":\"left\",\"params\":{\"id\":2}}\n");
    fixture.relay.send(membership, &joined_event(2));
    fixture.relay.accept_calls_until("\"bind\",\"id\":2");
    fixture.controller.terminate();
}

/// The relay answers BUSY for two seconds: update calls are retried with a delay on one connection, and are accepted as
/// soon as the relay recovers.
#[test]
fn update_calls_to_a_busy_relay_are_retried_with_a_delay() {
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    let controller = ControllerProcess::start(registry.address, relay.address);
    registry.accept_watch(1);
    let membership = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.send(membership, PING);
    let (deadline, mut calls) = (Instant::now() + Duration::from_secs(2), 0);
    let mut connections = Vec::new();
    while Instant::now() < deadline {
        let (connection, call) = relay.wait_for_call("\"bind\"");
        relay.send(
            connection,
            &response(&call, "\"error\":{\"code\":-32000,\"message\":\"BUSY\"}"),
        );
        calls += 1;
        connections.push(connection);
    }
    assert!((2..=20).contains(&calls), "called {calls} times");
    assert!(
        connections
            .iter()
            .all(|connection| *connection == connections[0]),
        "not on one connection: {connections:?}"
    );
    relay.accept_calls_until("\"bind\",\"id\":3");
    controller.terminate();
}

/// A relay that accepts each connection and closes it at once, as one does that has as many connections as it allows, was
/// reconnected to without a delay.
#[test]
fn reconnects_to_a_relay_that_closes_at_once_are_delayed() {
    let (listener, relay_address) = bind_listener();
    let (registry, _requests) = start_registry(1);
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = connections.clone();
    thread::spawn(move || {
        for _ in listener.incoming() {
            counted.fetch_add(1, Relaxed);
        }
    });
    let controller = ControllerProcess::start(registry, relay_address);
    controller.wait_for_log("relay connection failed", 1);
    thread::sleep(Duration::from_secs(1));
    // Two connections, each established at most ten times per second.
    let connections = connections.load(Relaxed);
    assert!(
        (2..=40).contains(&connections),
        "connected {connections} times"
    );
    controller.terminate();
}
