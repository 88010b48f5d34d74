//! The watch on the list: silent, in pieces, numbered otherwise, closed.

use crate::controller_process::*;
use crate::manual_peer::{ControllerFixture, ManualPeer, PING, host_removal, list_change};
use crate::scripted_peers::*;
use std::time::{Duration, Instant};

/// What is told counts as told 6 s later, whether it arrived or not.
const TOLD: Duration = Duration::from_secs(6);

fn drained(n: usize) -> Vec<String> {
    (0..8)
        .map(|m| host_entry(1, m, if m == n { "Terminating" } else { "Ready" }))
        .collect()
}

/// Silent from its first byte, twice over; and not even the head of an answer.
#[test]
fn a_watch_that_says_nothing_is_renewed() {
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
        started_at.elapsed() < 2 * TOLD,
        "{:?}",
        started_at.elapsed()
    );
    fixture.controller.terminate();
}

/// Half a line, and then nothing; or byte after byte of a line that does not end. Nothing of it is kept.
#[test]
fn half_a_line_is_given_up_in_time() {
    for drips in [false, true] {
        let mut fixture = ControllerFixture::start(4);
        let line = list_change(2, &[host_entry(1, 3, "Terminating")]);
        let half = &line[..line.len() / 2];
        let started_at = Instant::now();
        if drips {
            // Each piece is a sign of life; the line would take a minute.
            for byte in half.as_bytes().chunks(1) {
                if fixture.registry.has_closed(fixture.watch_connection) {
                    break;
                }
                fixture.registry.send_chunk(
                    fixture.watch_connection,
                    std::str::from_utf8(byte).expect("text"),
                );
                std::thread::sleep(Duration::from_millis(500));
                assert!(started_at.elapsed() < TOLD, "the watch still stands");
            }
        } else {
            fixture.registry.send_chunk(fixture.watch_connection, half);
        }
        let watch = fixture.registry.accept_watch(1);
        assert!(started_at.elapsed() < TOLD, "{:?}", started_at.elapsed());
        // The rest of that line is no line.
        fixture
            .registry
            .send_chunk(watch, &list_change(2, &[host_entry(1, 4, "Terminating")]));
        fixture.relay.accept_calls_until(&host_removal(4));
        assert_eq!(fixture.relay.unclaimed_line_count(&host_removal(3)), 0);
        fixture.controller.terminate();
    }
}

/// Signs of life and a line come a byte at a time, the line over 1.5 s: it is no silence.
#[test]
fn a_line_in_pieces_counts_once_it_is_whole() {
    let mut fixture = ControllerFixture::start(4);
    for piece in list_change(2, &[host_entry(1, 3, "Terminating")])
        .as_bytes()
        .chunks(8)
    {
        fixture.registry.send_chunk(
            fixture.watch_connection,
            std::str::from_utf8(piece).expect("text"),
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    fixture.relay.accept_calls_until(&host_removal(3));
    assert!(!fixture.registry.has_closed(fixture.watch_connection));
    fixture.controller.terminate();
}

/// Quiet but for signs of life, for longer than any limit, and then a drain on the same watch.
#[test]
fn a_drain_late_in_the_day_goes_out() {
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

/// A whole list in place of a change, under a lower version: what it says holds, and changes go on from there.
#[test]
fn a_whole_list_of_a_lower_version_holds() {
    let mut fixture = ControllerFixture::start(4);
    fixture.drain_host(9, 2);
    fixture.relay.accept_calls_until(&host_removal(2));
    fixture.registry.send_chunk(
        fixture.watch_connection,
        &format!("{}\n", endpoint_list(4, &drained(3))),
    );
    fixture.relay.accept_calls_until(&host_removal(3));
    fixture.drain_host(5, 4);
    fixture.relay.accept_calls_until(&host_removal(4));
    fixture.registry.close(fixture.watch_connection);
    fixture.registry.accept_watch(5);
    fixture.controller.terminate();
}

/// Changes numbered lower than the list, as after a restart of the agent: they were dropped without a word, and asked
/// for no more. The whole list is asked for instead.
#[test]
fn changes_numbered_lower_bring_the_whole_list() {
    let mut fixture = ControllerFixture::start(4);
    fixture.drain_host(9, 2);
    fixture.relay.accept_calls_until(&host_removal(2));
    fixture.drain_host(3, 3);
    fixture.registry.send_list(3, &drained(3));
    fixture.relay.accept_calls_until(&host_removal(3));
    let watch = fixture.registry.accept_watch(3);
    fixture
        .registry
        .send_chunk(watch, &list_change(4, &[host_entry(1, 4, "Terminating")]));
    fixture.relay.accept_calls_until(&host_removal(4));
    fixture.controller.terminate();
}

/// The last thing that a connection brings is a change: it counts, and the next watch goes on behind it.
#[test]
fn a_change_right_before_the_end_counts() {
    for reset in [false, true] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        if reset {
            // A reset may take what was not read yet: the next watch tells it, from whichever version that asks.
            fixture.registry.reset(fixture.watch_connection);
            let (watch, asked) = fixture.registry.wait_for_line("follow=1&since=");
            fixture.registry.send(
                watch,
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            );
            if asked.contains("since=1 ") {
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

/// It starts with a list that is out of date: a drain told meanwhile is the first thing it hears. Calls that were
/// made before it are put right.
#[test]
fn a_stale_list_at_the_start_is_put_right() {
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    let controller = ControllerProcess::start(registry.address, relay.address);
    let news = relay.accept_membership_watch(&[0, 1, 2, 3]);
    relay.send(news, PING);
    // All are bound by the stale list; only then registry speaks.
    relay.accept_calls_until("\"bind\",\"id\":3");
    let watch = registry.accept_watch(1);
    registry.send_chunk(watch, &list_change(7, &[host_entry(1, 3, "Terminating")]));
    relay.accept_calls_until(&host_removal(3));
    controller.terminate();
}

/// A line that cannot be read: the watch is given up, nothing of the line is kept, and what was known stays.
#[test]
fn an_unreadable_line_ends_the_watch_alone() {
    let mut fixture = ControllerFixture::start(4);
    let wrong = list_change(
        2,
        &[host_entry(1, 3, "Terminating"), host_entry(1, 4, "Asleep")],
    );
    fixture
        .registry
        .send_chunk(fixture.watch_connection, &wrong);
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
