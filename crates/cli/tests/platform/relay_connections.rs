//! Calls and news: answers too late or of another call, cuts in the worst moment, a relay that closes at once.

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

/// The answer comes after the limit for it: what was ordered may stand or not, and is ordered again on a new connection.
/// The late answer says nothing of the second call.
#[test]
fn an_answer_after_its_limit_counts_for_nothing() {
    let mut fixture = ControllerFixture::start(4);
    fixture.drain_host(2, 3);
    let (first, call) = fixture.relay.wait_for_call(&host_removal(3));
    let (second, again) = fixture.relay.wait_for_call(&host_removal(3));
    assert_ne!(first, second, "the connection that owes an answer is left");
    fixture.relay.accept_call(first, &call);
    fixture.relay.accept_call(second, &again);
    fixture.drain_host(3, 4);
    assert_eq!(fixture.relay.accept_calls_until(&host_removal(4)), second);
    let log = fixture.controller.terminate();
    assert_eq!(log.matches("update call failed").count(), 1, "{log}");
}

/// An answer to some other call, and one that cannot be read: neither is taken for the answer.
#[test]
fn an_answer_to_another_call_is_none() {
    for wrong in [
        "{\"jsonrpc\":\"2.0\",\"id\":999,\"result\":{\"ok_count\":1}}\n",
        "{\"jsonrpc\":\n",
    ] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        let (first, _) = fixture.relay.wait_for_call(&host_removal(3));
        fixture.relay.send(first, wrong);
        let second = fixture.relay.accept_calls_until(&host_removal(3));
        assert_ne!(first, second);
        fixture.relay.wait_for_close(first);
        fixture.controller.terminate();
    }
}

/// The relay closes the idle connection in the moment in which a drain is told: both are there when the controller, held
/// still meanwhile, goes on.
#[test]
fn an_idle_close_as_a_call_is_due_loses_no_call() {
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
        let caller = fixture.relay.accept_calls_until(&host_removal(3));
        assert_ne!(caller, fixture.update_connection);
        fixture.controller.terminate();
    }
}

/// The connection breaks once the call's last byte is there: whether it was carried out or not, it is ordered again.
#[test]
fn a_cut_after_the_last_byte_is_made_good() {
    for reset in [false, true] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        let (caller, _) = fixture.relay.wait_for_call(&host_removal(3));
        if reset {
            fixture.relay.reset(caller);
        } else {
            fixture.relay.close(caller);
        }
        fixture.relay.accept_calls_until(&host_removal(3));
        fixture.controller.terminate();
    }
}

/// The connection breaks with part of a call on it: what was in it is ordered again on the next one.
#[test]
fn a_cut_before_the_last_byte_is_made_good() {
    let (relay, at) = small_buffer_listener();
    let (registry, _requests) = start_registry(1);
    let controller = ControllerProcess::start(registry, at);
    let mut caller = accept_pending_update_call(&relay);
    caller
        .read_exact(&mut [0; 16])
        .expect("the call has started_at");
    SockRef::from(&caller)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
    drop(caller);
    loop {
        let (next, _) = relay.accept().expect("the next connection");
        next.set_read_timeout(Some(TIMEOUT)).expect("a limit");
        let mut line = String::new();
        // News may be asked for anew in between.
        BufReader::new(next).read_line(&mut line).expect("a line");
        if line.contains("relay.apply") {
            let binds = line.matches("\"verb\":\"bind\"").count();
            assert_eq!(binds, 20, "{line}");
            break;
        }
    }
    controller.terminate();
}

/// News break between what stands and the first sign of life. Whom only the broken list named has left.
#[test]
fn news_cut_before_the_first_sign_of_life_leave_no_ghosts() {
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    let controller = ControllerProcess::start(registry.address, relay.address);
    registry.accept_watch(1);
    let news = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.accept_calls_until("\"bind\",\"id\":3");
    relay.reset(news);
    let news = relay.accept_membership_watch(&[0, 1]);
    relay.send(news, PING);
    relay.accept_calls_until("\"bind\",\"id\":1");
    // Who joins after that is bound, and who was named by the broken list alone is not.
    relay.send(news, &joined_event(7));
    relay.accept_calls_until("\"bind\",\"id\":7");
    controller.wait_for_log("counters", 1);
    let log = controller.terminate();
    let members = log
        .lines()
        .rfind(|line| line.contains("counters"))
        .expect("counts");
    assert!(members.contains("joined_proxies=3 "), "{members}");
}

/// A proxy left and joined while no news came: it holds nothing of ours, and is bound again to the table it had.
#[test]
fn left_and_joined_across_a_reconnect_is_bound_again() {
    let mut fixture = ControllerFixture::start(4);
    fixture.relay.reset(fixture.membership_connection);
    let news = fixture.relay.accept_membership_watch(&[0, 1, 2, 3]);
    fixture.relay.accept_calls_until("\"bind\",\"id\":2");
    fixture.relay.send(news, PING);
    // And in the other order, on one connection.
    fixture
        .relay
        .send(news, "{\"method\":\"left\",\"params\":{\"id\":2}}\n");
    fixture.relay.send(news, &joined_event(2));
    fixture.relay.accept_calls_until("\"bind\",\"id\":2");
    fixture.controller.terminate();
}

/// BUSY for two seconds: asked again at a calm pace on one connection, and served at once when it is over.
#[test]
fn a_busy_relay_is_asked_at_a_calm_pace() {
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    let controller = ControllerProcess::start(registry.address, relay.address);
    registry.accept_watch(1);
    let news = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.send(news, PING);
    let (until, mut asked) = (Instant::now() + Duration::from_secs(2), 0);
    let mut on = Vec::new();
    while Instant::now() < until {
        let (who, call) = relay.wait_for_call("\"bind\"");
        relay.send(
            who,
            &response(&call, "\"error\":{\"code\":-32000,\"message\":\"BUSY\"}"),
        );
        asked += 1;
        on.push(who);
    }
    assert!((2..=20).contains(&asked), "asked {asked} times");
    assert!(
        on.iter().all(|who| *who == on[0]),
        "on one connection: {on:?}"
    );
    relay.accept_calls_until("\"bind\",\"id\":3");
    controller.terminate();
}

/// A relay that takes each connection and closes it at once, as one that holds as many as it may does, was dialled
/// again without end.
#[test]
fn a_relay_that_closes_at_once_is_dialled_calmly() {
    let (listener, at) = bind_listener();
    let (registry, _requests) = start_registry(1);
    let dialled = Arc::new(AtomicUsize::new(0));
    let counted = dialled.clone();
    thread::spawn(move || {
        for _ in listener.incoming() {
            counted.fetch_add(1, Relaxed);
        }
    });
    let controller = ControllerProcess::start(registry, at);
    controller.wait_for_log("relay connection failed", 1);
    thread::sleep(Duration::from_secs(1));
    // Two connections, each ten times a second at most.
    let dialled = dialled.load(Relaxed);
    assert!((2..=40).contains(&dialled), "dialled {dialled} times");
    controller.terminate();
}
