//! SIGHUP: the parties move, and something happens meanwhile.

use crate::controller_process::*;
use crate::party::{ALIVE, Party, Served, changes, joined, off};
use crate::stage::*;

/// Told twice before the new parties serve: the connections that still serve went with the first of the two that
/// do not, and nothing served until one of these did.
#[test]
fn what_serves_stays_until_something_else_does() {
    let mut site = Served::with(4);
    let (mut relay_2, mut discovery_2) = (Party::open(), Party::open());
    site.controller.moves(discovery_2.at, relay_2.at);
    // They accept and say nothing.
    relay_2.line("relay.watch");
    discovery_2.line("GET /registry/instances HTTP");
    let (mut relay_3, mut discovery_3) = (Party::open(), Party::open());
    site.controller.moves(discovery_3.at, relay_3.at);
    relay_3.line("relay.watch");
    discovery_3.line("GET /registry/instances HTTP");
    // Lists, news and calls go on where they did.
    site.drains(2, 3);
    assert_eq!(site.relay.takes(&off(3)), site.caller);
    site.relay.say(site.news, &joined(9));
    assert_eq!(site.relay.takes("\"bind\",\"id\":9"), site.caller);
    // The third serves now, and the first is left.
    let news = relay_3.watcher(&[0, 1, 2, 3, 9]);
    relay_3.say(news, ALIVE);
    relay_3.takes("\"bind\",\"id\":9");
    site.relay.closed(site.news);
    site.relay.closed(site.caller);
    site.controller.ends();
}

/// A relay that accepts a connection and says nothing is none that serves: calls went there, and each was lost.
#[test]
fn calls_go_on_where_they_are_taken() {
    let mut site = Served::with(4);
    let mut relay = Party::open();
    site.controller.moves(site.discovery.at, relay.at);
    relay.line("relay.watch");
    // The other connection is up as well.
    for _ in 0..2 {
        relay.came();
    }
    site.drains(2, 3);
    assert_eq!(site.relay.takes(&off(3)), site.caller);
    // Once it lists who stands it serves.
    let again = relay.line_count("relay.apply");
    assert_eq!(again, 0, "a call went to the relay that says nothing");
    site.controller.ends();
}

/// There and back before the other address serves, and once more after it does.
#[test]
fn there_and_back_leaves_one_that_serves() {
    let mut site = Served::with(4);
    let (mut relay_2, mut discovery_2) = (Party::open(), Party::open());
    site.controller.moves(discovery_2.at, relay_2.at);
    relay_2.line("relay.watch");
    discovery_2.line("GET /registry/instances HTTP");
    site.controller.moves(site.discovery.at, site.relay.at);
    site.discovery.lists(1, &list_hosts());
    let watch = site.discovery.watch(1);
    let news = site.relay.watcher(&[0, 1, 2, 3]);
    site.relay.say(news, ALIVE);
    site.relay.takes("\"bind\",\"id\":3");
    site.relay.closed(site.news);
    site.discovery
        .piece(watch, &changes(2, &[host(1, 5, "Terminating")]));
    site.relay.takes(&off(5));

    site.controller.moves(discovery_2.at, relay_2.at);
    discovery_2.lists(7, &list_hosts());
    let watch_2 = discovery_2.watch(7);
    let news_2 = relay_2.watcher(&[0, 1, 2, 3]);
    relay_2.say(news_2, ALIVE);
    relay_2.takes("\"bind\",\"id\":3");
    discovery_2.piece(watch_2, &changes(8, &[host(1, 6, "Terminating")]));
    relay_2.takes(&off(6));
    site.controller.ends();
}

fn list_hosts() -> Vec<String> {
    (0..8).map(|n| host(1, n, "Ready")).collect()
}

/// A wrong file changes nothing and is said once; it is read again until it is right.
#[test]
fn a_wrong_file_changes_nothing() {
    let mut site = Served::with(4);
    let good = std::fs::read_to_string(&site.controller.config).expect("the file");
    let wrong = good.replace(
        &format!("\"hub\":{{\"address\":\"{}\"}}", site.relay.at),
        "\"hub\":{\"address\":\"nowhere\"}",
    );
    assert_ne!(good, wrong);
    std::fs::write(&site.controller.config, wrong).expect("written");
    site.controller.signal("-HUP");
    site.controller
        .logs("'hub.address' is missing or is not an address", 1);
    site.drains(2, 3);
    assert_eq!(site.relay.takes(&off(3)), site.caller);
    let mut relay = Party::open();
    std::fs::write(
        &site.controller.config,
        config(site.controller.listen, site.discovery.at, relay.at),
    )
    .expect("written");
    let news = relay.watcher(&[0, 1, 2, 3]);
    relay.say(news, ALIVE);
    relay.takes("\"bind\",\"id\":3");
    let log = site.controller.ends();
    assert_eq!(
        log.matches("configuration reload failed").count(),
        1,
        "{log}"
    );
}

/// A drain that is told right after SIGHUP, on the old list while the new one does not answer, and one on the new list.
#[test]
fn drains_right_after_a_move_go_out() {
    let mut site = Served::with(4);
    let (mut relay, mut discovery) = (Party::open(), Party::open());
    site.controller.moves(discovery.at, relay.at);
    discovery.line("GET /registry/instances HTTP");
    relay.line("relay.watch");
    site.drains(2, 3);
    assert_eq!(site.relay.takes(&off(3)), site.caller);
    // The question for the whole list is asked anew after its limit.
    let mut hosts = list_hosts();
    hosts[3] = host(1, 3, "Terminating");
    discovery.lists(1, &hosts);
    let watch = discovery.watch(1);
    discovery.piece(watch, &changes(2, &[host(1, 4, "Terminating")]));
    assert_eq!(site.relay.takes(&off(4)), site.caller);
    site.controller.ends();
}
