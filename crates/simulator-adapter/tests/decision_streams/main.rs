//! Seeded runs of the adapter against simulated fleets. The digest of every byte that it writes stands here: any other
//! decision, random draw, order of lines or sum of floats gives another digest. A digest may change only together with
//! a change of decisions that is meant.

mod fleet;
mod random;
mod session;
mod site;

use session::{Counts, run};
use site::{SMALL, Site};

/// Checks the digest of a run, and that the run decides enough to be worth guarding.
fn guard(sites: &[Site], digest: &str, worth: impl Fn(&Counts) -> bool) {
    let outcome = run(sites);
    assert!(
        worth(&outcome.counts),
        "too little happened: {:?}",
        outcome.counts
    );
    assert_eq!(
        outcome.digest, digest,
        "the decisions differ: {:?}",
        outcome.counts
    );
}

#[test]
fn small_fleet() {
    guard(
        &[SMALL],
        "604333b50e61ff304db3c6e86704be5a3560bb07dbe73cf3453e21c324fdee3a",
        |counts| counts.lines >= 200 && counts.tables >= 12 && counts.ack_requests >= 40,
    );
}

/// Levels fall and rise again; hosts fail meanwhile.
#[test]
fn overload_by_share() {
    let site = Site {
        seed: 2,
        proxies: 60,
        hosts: 24,
        overload: true,
        seconds: 400,
        ..SMALL
    };
    guard(
        &[site],
        "1431fc545acd124043ecad21e145d4ed290660d7eac9a7b2414380a10ec7683e",
        |counts| {
            counts.lines >= 1_000
                && counts.lowered >= 350
                && counts.raised >= 45
                && counts.ack_requests >= 200
        },
    );
}

/// Levels are requests a second at each proxy, and there are no health checks.
#[test]
fn overload_by_rate() {
    let site = Site {
        seed: 3,
        proxies: 40,
        hosts: 16,
        admission: "rate",
        health_checks: false,
        overload: true,
        seconds: 160,
        report_source: "off",
        ..SMALL
    };
    guard(
        &[site],
        "5c65fbf278f01729a63a014d92c92ac3bc886c85ae67724d0d8bc4da6e37f291",
        |counts| {
            counts.lines >= 800
                && counts.levels >= 150
                && counts.tables >= 40
                && counts.ack_requests >= 70
        },
    );
}

#[test]
fn large_fleet() {
    let site = Site {
        seed: 4,
        proxies: 600,
        hosts: 200,
        trouble: 80,
        overload: true,
        most_waiting: 60_000,
        channel_rate: 40_000,
        seconds: 60,
        ..SMALL
    };
    guard(
        &[site],
        "344c8022be98564e1e8e864e0f9f321bb0e1e00e42cb77c999831fb5cef5c7c3",
        |counts| {
            counts.lines >= 8_000
                && counts.tables >= 900
                && counts.lowered >= 800
                && counts.raised >= 300
                && counts.ack_requests >= 50
        },
    );
}

/// Three zones, a class that keeps to the proxy's zone, and crossings that cost.
#[test]
fn zones_with_a_class_of_their_own() {
    let site = Site {
        seed: 5,
        proxies: 90,
        hosts: 30,
        zones: 3,
        own_zone: true,
        crossing_price: true,
        trouble: 70,
        overload: true,
        ..SMALL
    };
    guard(
        &[site],
        "9b9954659c1159131f78df4ae3be8d0d3746d5436c73ed194ba3c378cbff21e4",
        |counts| {
            counts.lines >= 400
                && counts.tables >= 200
                && counts.lowered >= 40
                && counts.raised >= 40
                && counts.ack_requests >= 30
        },
    );
}

/// Few messages per proxy, a short queue and a slow channel.
#[test]
fn tight_channel() {
    let site = Site {
        seed: 6,
        proxies: 120,
        hosts: 40,
        message_cap: 5,
        most_waiting: 900,
        channel_rate: 900,
        slow_channel: true,
        trouble: 90,
        seconds: 400,
        ..SMALL
    };
    guard(
        &[site],
        "70f34ddcc1eb2e9e312c380f9ea0f46aeae9bad2a8801ccd7c2364b546b7953d",
        |counts| {
            counts.lines >= 4_000
                && counts.tables >= 240
                && counts.ack_requests >= 350
                && counts.health_checks >= 240
        },
    );
}

/// The list comes on request and breaks; hosts that it drops may stay in tables.
#[test]
fn list_on_request() {
    let site = Site {
        seed: 7,
        proxies: 30,
        hosts: 20,
        zones: 2,
        list_on_request: true,
        removal_not_binding: true,
        crossing_price: true,
        trouble: 60,
        ..SMALL
    };
    guard(
        &[site],
        "bcdc0eda9cb4083f8ccf647604b6c733b2913f47846f195c012b1557787a8ca2",
        |counts| {
            counts.lines >= 600
                && counts.tables >= 35
                && counts.list_requests >= 5
                && counts.ack_requests >= 60
        },
    );
}

/// Three controllers in one process, each with a site of its own; two of them restart.
#[test]
fn several_controllers() {
    let first = Site {
        seed: 8,
        proxies: 24,
        hosts: 12,
        trouble: 90,
        ..SMALL
    };
    let second = Site {
        seed: 9,
        proxies: 36,
        hosts: 16,
        zones: 4,
        own_zone: true,
        overload: true,
        ..SMALL
    };
    let third = Site {
        seed: 10,
        admission: "off",
        message_cap: 0,
        trouble: 90,
        ..SMALL
    };
    guard(
        &[first, second, third],
        "7468bf9a5f710a8864b7c29d1a18d03ee2449d7f10b8bedf6fe3f3b81e21aae5",
        |counts| {
            counts.lines >= 1_000
                && counts.tables >= 100
                && counts.health_checks >= 60
                && counts.lowered >= 80
                && counts.ack_requests >= 130
        },
    );
}
