//! The watch on the list: silent, in pieces, numbered otherwise, closed.

use crate::controller_process::*;
use crate::party::{ALIVE, Party, Served, changes, off};
use crate::stage::*;
use std::time::{Duration, Instant};

/// What is told counts as told 6 s later, whether it arrived or not.
const TOLD: Duration = Duration::from_secs(6);

fn drained(n: usize) -> Vec<String> {
    (0..8)
        .map(|m| host(1, m, if m == n { "Terminating" } else { "Ready" }))
        .collect()
}

/// Silent from its first byte, twice over; and not even the head of an answer.
#[test]
fn a_watch_that_says_nothing_is_renewed() {
    let mut site = Served::with(4);
    let begun = Instant::now();
    site.discovery.watch(1);
    site.discovery.line("follow=1&since=1 ");
    let watch = site.discovery.watch(1);
    site.discovery
        .piece(watch, &changes(2, &[host(1, 3, "Terminating")]));
    site.relay.takes(&off(3));
    assert!(begun.elapsed() < 2 * TOLD, "{:?}", begun.elapsed());
    site.controller.ends();
}

/// Half a line, and then nothing; or byte after byte of a line that does not end. Nothing of it is kept.
#[test]
fn half_a_line_is_given_up_in_time() {
    for drips in [false, true] {
        let mut site = Served::with(4);
        let line = changes(2, &[host(1, 3, "Terminating")]);
        let half = &line[..line.len() / 2];
        let begun = Instant::now();
        if drips {
            // Each piece is a sign of life; the line would take a minute.
            for byte in half.as_bytes().chunks(1) {
                if site.discovery.has_closed(site.watch) {
                    break;
                }
                site.discovery
                    .piece(site.watch, std::str::from_utf8(byte).expect("text"));
                std::thread::sleep(Duration::from_millis(500));
                assert!(begun.elapsed() < TOLD, "the watch still stands");
            }
        } else {
            site.discovery.piece(site.watch, half);
        }
        let watch = site.discovery.watch(1);
        assert!(begun.elapsed() < TOLD, "{:?}", begun.elapsed());
        // The rest of that line is no line.
        site.discovery
            .piece(watch, &changes(2, &[host(1, 4, "Terminating")]));
        site.relay.takes(&off(4));
        assert_eq!(site.relay.line_count(&off(3)), 0);
        site.controller.ends();
    }
}

/// Signs of life and a line come a byte at a time, the line over 1.5 s: it is no silence.
#[test]
fn a_line_in_pieces_counts_once_it_is_whole() {
    let mut site = Served::with(4);
    for piece in changes(2, &[host(1, 3, "Terminating")])
        .as_bytes()
        .chunks(8)
    {
        site.discovery
            .piece(site.watch, std::str::from_utf8(piece).expect("text"));
        std::thread::sleep(Duration::from_millis(50));
    }
    site.relay.takes(&off(3));
    assert!(!site.discovery.has_closed(site.watch));
    site.controller.ends();
}

/// Quiet but for signs of life, for longer than any limit, and then a drain on the same watch.
#[test]
fn a_drain_late_in_the_day_goes_out() {
    let mut site = Served::with(4);
    for _ in 0..5 {
        std::thread::sleep(Duration::from_millis(1_000));
        site.discovery.piece(site.watch, "\n");
    }
    site.drains(2, 3);
    site.relay.takes(&off(3));
    assert_eq!(site.discovery.count(), 1);
    site.controller.ends();
}

/// A whole list in place of a change, under a lower version: what it says holds, and changes go on from there.
#[test]
fn a_whole_list_of_a_lower_version_holds() {
    let mut site = Served::with(4);
    site.drains(9, 2);
    site.relay.takes(&off(2));
    site.discovery
        .piece(site.watch, &format!("{}\n", list_of(4, &drained(3))));
    site.relay.takes(&off(3));
    site.drains(5, 4);
    site.relay.takes(&off(4));
    site.discovery.close(site.watch);
    site.discovery.watch(5);
    site.controller.ends();
}

/// Changes numbered lower than the list, as after a restart of the agent: they were dropped without a word, and asked
/// for no more. The whole list is asked for instead.
#[test]
fn changes_numbered_lower_bring_the_whole_list() {
    let mut site = Served::with(4);
    site.drains(9, 2);
    site.relay.takes(&off(2));
    site.drains(3, 3);
    site.discovery.lists(3, &drained(3));
    site.relay.takes(&off(3));
    let watch = site.discovery.watch(3);
    site.discovery
        .piece(watch, &changes(4, &[host(1, 4, "Terminating")]));
    site.relay.takes(&off(4));
    site.controller.ends();
}

/// The last thing that a connection brings is a change: it counts, and the next watch goes on behind it.
#[test]
fn a_change_right_before_the_end_counts() {
    for reset in [false, true] {
        let mut site = Served::with(4);
        site.drains(2, 3);
        if reset {
            // A reset may take what was not read yet: the next watch tells it, from whichever version that asks.
            site.discovery.reset(site.watch);
            let (watch, asked) = site.discovery.line("follow=1&since=");
            site.discovery.say(
                watch,
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            );
            if asked.contains("since=1 ") {
                site.discovery
                    .piece(watch, &changes(2, &[host(1, 3, "Terminating")]));
            }
        } else {
            site.discovery.close(site.watch);
            site.discovery.watch(2);
        }
        site.relay.takes(&off(3));
        site.controller.ends();
    }
}

/// It starts with a list that is out of date: a drain told meanwhile is the first thing it hears. Calls that were
/// made before it are put right.
#[test]
fn a_stale_list_at_the_start_is_put_right() {
    let (mut relay, mut discovery) = (Party::open(), Party::open());
    let controller = ControllerProcess::start(discovery.at, relay.at);
    let news = relay.watcher(&[0, 1, 2, 3]);
    relay.say(news, ALIVE);
    // All are bound by the stale list; only then discovery speaks.
    relay.takes("\"bind\",\"id\":3");
    let watch = discovery.watch(1);
    discovery.piece(watch, &changes(7, &[host(1, 3, "Terminating")]));
    relay.takes(&off(3));
    controller.ends();
}

/// A line that cannot be read: the watch is given up, nothing of the line is kept, and what was known stays.
#[test]
fn an_unreadable_line_ends_the_watch_alone() {
    let mut site = Served::with(4);
    let wrong = changes(2, &[host(1, 3, "Terminating"), host(1, 4, "Asleep")]);
    site.discovery.piece(site.watch, &wrong);
    site.discovery.closed(site.watch);
    let watch = site.discovery.watch(1);
    site.discovery
        .piece(watch, &changes(2, &[host(1, 5, "Terminating")]));
    site.relay.takes(&off(5));
    assert_eq!(site.relay.line_count(&off(3)), 0);
    let log = site.controller.ends();
    assert!(log.contains("lifecycle is unknown"), "{log}");
}
