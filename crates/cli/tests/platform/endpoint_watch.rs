//! Faults of the registry watch: silence, lines in pieces, unexpected generations, closed connections.

use crate::controller_process::*;
use crate::manual_peer::{ControllerFixture, ManualPeer, PING, host_removal, list_change};
use crate::scripted_peers::*;
use std::time::{Duration, Instant};

/// The controller is expected to know a change of the list 6 s after it was listed, whether it arrived or not.
const NOTICE_LIMIT: Duration = Duration::from_secs(6);

/// The entries of a list in which host `n` drains.
fn hosts_with_drained(n: usize) -> Vec<String> {
    (0..8)
        .map(|m| host_entry(1, m, if m == n { "Terminating" } else { "Ready" }))
        .collect()
}

/// Two watches in a row are silent, one after the response head and one without even that.
#[test]
fn a_silent_watch_is_renewed() {
    let mut fixture = ControllerFixture::start(4);
    let started_at = Instant::now();
    fixture.registry.accept_watch(1);
    fixture.registry.wait_for_line("follow=1&since=1 ");
    let watch = fixture.registry.accept_watch(1);
    fixture
        .registry
        .send_chunk(watch, &list_change(2, &[host_entry(1, 3, "Terminating")]));
    fixture.relay.accept_calls_until(&host_removal(3));
    assert!(
        started_at.elapsed() < 2 * NOTICE_LIMIT,
        "{:?}",
        started_at.elapsed()
    );
    fixture.controller.terminate();
}

/// Half a line, and then nothing; or single bytes of a line that does not end in time. Nothing of the line is kept.
#[test]
fn an_incomplete_line_is_abandoned_in_time() {
    for by_bytes in [false, true] {
        let mut fixture = ControllerFixture::start(4);
        let line = list_change(2, &[host_entry(1, 3, "Terminating")]);
        let incomplete = &line[..line.len() / 2];
        let started_at = Instant::now();
        if by_bytes {
            // Each byte ends the silence; the whole line would take a minute.
            for byte in incomplete.as_bytes().chunks(1) {
                if fixture.registry.has_closed(fixture.watch_connection) {
                    break;
                }
                fixture.registry.send_chunk(
                    fixture.watch_connection,
                    std::str::from_utf8(byte).expect("not UTF-8"),
                );
                std::thread::sleep(Duration::from_millis(500));
                assert!(
                    started_at.elapsed() < NOTICE_LIMIT,
                    "the watch is still open"
                );
            }
        } else {
            fixture
                .registry
                .send_chunk(fixture.watch_connection, incomplete);
        }
        let watch = fixture.registry.accept_watch(1);
        assert!(
            started_at.elapsed() < NOTICE_LIMIT,
            "{:?}",
            started_at.elapsed()
        );
        // Nothing of the incomplete line is used by the new watch.
        fixture
            .registry
            .send_chunk(watch, &list_change(2, &[host_entry(1, 4, "Terminating")]));
        fixture.relay.accept_calls_until(&host_removal(4));
        assert_eq!(fixture.relay.unclaimed_line_count(&host_removal(3)), 0);
        fixture.controller.terminate();
    }
}

/// A line arrives in pieces over 1.5 s: that does not count as silence.
#[test]
fn a_line_in_pieces_is_applied_once_it_is_complete() {
    let mut fixture = ControllerFixture::start(4);
    for piece in list_change(2, &[host_entry(1, 3, "Terminating")])
        .as_bytes()
        .chunks(8)
    {
        fixture.registry.send_chunk(
            fixture.watch_connection,
            std::str::from_utf8(piece).expect("not UTF-8"),
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    fixture.relay.accept_calls_until(&host_removal(3));
    assert!(!fixture.registry.has_closed(fixture.watch_connection));
    fixture.controller.terminate();
}

/// Only keep-alive lines for longer than any time limit, and then a drain on the same watch.
#[test]
fn a_drain_after_a_long_quiet_time_is_sent() {
    let mut fixture = ControllerFixture::start(4);
    for _ in 0..5 {
        std::thread::sleep(Duration::from_millis(1_000));
        fixture.registry.send_chunk(fixture.watch_connection, "\n");
    }
    fixture.drain_host(2, 3);
    fixture.relay.accept_calls_until(&host_removal(3));
    assert_eq!(fixture.registry.connection_count(), 1);
    fixture.controller.terminate();
}

/// A complete list of a lower generation in place of a change: it is applied, and changes continue from its generation.
#[test]
fn a_complete_list_of_a_lower_generation_is_applied() {
    let mut fixture = ControllerFixture::start(4);
    fixture.drain_host(9, 2);
    fixture.relay.accept_calls_until(&host_removal(2));
    fixture.registry.send_chunk(
        fixture.watch_connection,
        &format!("{}\n", endpoint_list(4, &hosts_with_drained(3))),
    );
    fixture.relay.accept_calls_until(&host_removal(3));
    fixture.drain_host(5, 4);
    fixture.relay.accept_calls_until(&host_removal(4));
    fixture.registry.close(fixture.watch_connection);
    fixture.registry.accept_watch(5);
    fixture.controller.terminate();
}

/// Changes of a lower generation than the list, as after a restart of the registry's agent: they were dropped without a
/// log line and never requested again. The controller requests the complete list instead.
#[test]
fn changes_of_a_lower_generation_cause_a_request_for_the_complete_list() {
    let mut fixture = ControllerFixture::start(4);
    fixture.drain_host(9, 2);
    fixture.relay.accept_calls_until(&host_removal(2));
    fixture.drain_host(3, 3);
    fixture.registry.send_list(3, &hosts_with_drained(3));
    fixture.relay.accept_calls_until(&host_removal(3));
    let watch = fixture.registry.accept_watch(3);
    fixture
        .registry
        .send_chunk(watch, &list_change(4, &[host_entry(1, 4, "Terminating")]));
    fixture.relay.accept_calls_until(&host_removal(4));
    fixture.controller.terminate();
}

/// The last line before a connection ends is a change: it is applied, and the next watch continues after it.
#[test]
fn a_change_right_before_the_close_is_applied() {
    for reset in [false, true] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        if reset {
            // A reset may discard what was not read yet: then the next watch asks from the old generation and gets the change
            // again.
            fixture.registry.reset(fixture.watch_connection);
            let (watch, request) = fixture.registry.wait_for_line("follow=1&since=");
            fixture.registry.send(
                watch,
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            );
            if request.contains("since=1 ") {
                fixture
                    .registry
                    .send_chunk(watch, &list_change(2, &[host_entry(1, 3, "Terminating")]));
            }
        } else {
            fixture.registry.close(fixture.watch_connection);
            fixture.registry.accept_watch(2);
        }
        fixture.relay.accept_calls_until(&host_removal(3));
        fixture.controller.terminate();
    }
}

/// The controller starts with an outdated list, and the first line of its watch is a drain that happened meanwhile. Updates
/// that were sent before it are corrected.
#[test]
fn an_outdated_list_at_the_start_is_corrected() {
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    let controller = ControllerProcess::start(registry.address, relay.address);
    let membership = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.send(membership, PING);
    // All proxies are bound by the outdated list; only then the registry answers.
    relay.accept_calls_until("\"bind\",\"id\":3");
    let watch = registry.accept_watch(1);
    registry.send_chunk(watch, &list_change(7, &[host_entry(1, 3, "Terminating")]));
    relay.accept_calls_until(&host_removal(3));
    controller.terminate();
}

/// A line that cannot be parsed: the watch is closed, nothing of the line is applied, and the known list stays.
#[test]
fn an_unreadable_line_only_ends_the_watch() {
    let mut fixture = ControllerFixture::start(4);
    let invalid = list_change(
        2,
        &[host_entry(1, 3, "Terminating"), host_entry(1, 4, "Asleep")],
    );
    fixture
        .registry
        .send_chunk(fixture.watch_connection, &invalid);
    fixture.registry.wait_for_close(fixture.watch_connection);
    let watch = fixture.registry.accept_watch(1);
    fixture
        .registry
        .send_chunk(watch, &list_change(2, &[host_entry(1, 5, "Terminating")]));
    fixture.relay.accept_calls_until(&host_removal(5));
    assert_eq!(fixture.relay.unclaimed_line_count(&host_removal(3)), 0);
    let log = fixture.controller.terminate();
    assert!(log.contains("lifecycle is unknown"), "{log}");
}
