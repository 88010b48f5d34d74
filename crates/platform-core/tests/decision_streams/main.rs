//! Seeded runs of the controller on the platform, against simulated fleets. The digest of every call line and probe
//! stands here: any other decision, random draw, order of lines or sum of floats gives another digest. A digest may
//! change only together with a change of decisions that is meant.

mod controller;
#[path = "../../../simulator-adapter/tests/decision_streams/fleet.rs"]
mod fleet;
#[path = "../../../simulator-adapter/tests/decision_streams/random.rs"]
mod random;
mod session;
#[path = "../../../simulator-adapter/tests/decision_streams/site.rs"]
mod site;

use session::{Counts, run};
use site::{SMALL, Site};

/// Checks the digest of a run, and that the run decides enough to be worth guarding.
fn guard(site: &Site, digest: &str, worth: impl Fn(&Counts) -> bool) {
    let outcome = run(site);
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
    let site = Site {
        seed: 21,
        trouble: 50,
        seconds: 300,
        ..SMALL
    };
    guard(
        &site,
        "cc19e28b9f938ca2c55b96dc04e0bddd7e98b2cdfaa18873e815598edd668af4",
        |counts| counts.lines >= 150 && counts.tables >= 90 && counts.ack_requests >= 40,
    );
}

/// Calls are refused, stopped part-way and left without an answer while levels fall and rise again.
#[test]
fn overload_while_calls_fail() {
    let site = Site {
        seed: 22,
        proxies: 60,
        hosts: 24,
        overload: true,
        seconds: 160,
        ..SMALL
    };
    guard(
        &site,
        "d12ba0f23eb006d04e6f71e7a3e514ffc4c6234660b2f64ca9edee340c72ebeb",
        |counts| {
            counts.lowered >= 150
                && counts.raised >= 30
                && counts.refused >= 8
                && counts.stopped >= 7
                && counts.unanswered >= 10
        },
    );
}

#[test]
fn large_fleet() {
    let site = Site {
        seed: 23,
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
        &site,
        "376adb44f656a6e0f4d6369a1f91da1f608f46c8291e762fe44042d219b15cee",
        |counts| {
            counts.calls >= 200
                && counts.lines >= 6_000
                && counts.tables >= 3_000
                && counts.lowered >= 700
                && counts.ack_requests >= 50
        },
    );
}

/// Zones with a class of their own, few messages per proxy, a short queue, and a great deal of trouble.
#[test]
fn zones_and_a_tight_channel() {
    let site = Site {
        seed: 24,
        proxies: 90,
        hosts: 30,
        zones: 3,
        own_zone: true,
        crossing_price: true,
        message_cap: 6,
        most_waiting: 1_200,
        channel_rate: 1_500,
        slow_channel: true,
        trouble: 80,
        overload: true,
        seconds: 300,
        ..SMALL
    };
    guard(
        &site,
        "ffb9bd5fc20248b45513b7d677a4cdb4f6e3b12a9532bd5c2537477661ea47af",
        |counts| {
            counts.calls >= 50
                && counts.lines >= 200
                && counts.tables >= 180
                && counts.lowered >= 20
                && counts.raised >= 10
                && counts.health_checks >= 40
        },
    );
}
