//! Seeded runs of the adapter with simulated fleets. Each run has a digest of every byte that the adapter writes, which
//! any change of a decision, a random draw, the order of lines or a floating-point sum changes. A digest may be updated
//! only together with an intended change of decisions.

mod fleet;
mod random;
mod session;
mod site;

use session::{Counts, run};
use site::{SMALL_SITE, Site};

/// Asserts the digest of a run, and that the run covers enough decisions for its digest to be meaningful.
fn assert_digest(sites: &[Site], digest: &str, covers_enough: impl Fn(&Counts) -> bool) {
    let outcome = run(sites);
    assert!(
        covers_enough(&outcome.counts),
        "the run covers too few decisions: {:?}",
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
    assert_digest(
        &[Site {
            seconds: 2 * SMALL_SITE.seconds,
            ..SMALL_SITE
        }],
        "d3dd50d9cbf18f8b732b77b5256347dd9c4093457c0fe30256f0506519e911cb",
        |counts| counts.lines >= 200 && counts.bindings >= 12 && counts.ack_requests >= 40,
    );
}

/// Quotas are shares of the requests. They are lowered and raised again while hosts fail.
#[test]
fn overload_with_share_quotas() {
    let site = Site {
        seed: 2,
        proxies: 60,
        hosts: 24,
        overload: true,
        seconds: 400,
        ..SMALL_SITE
    };
    assert_digest(
        &[site],
        "c26e231037f1a788d61276246a5682cc2a52705c7d11178502802c6ffd618483",
        |counts| {
            counts.lines >= 1_000
                && counts.quotas_lowered >= 350
                && counts.quotas_raised >= 45
                && counts.ack_requests >= 200
        },
    );
}

/// Quotas are requests per second at each proxy, and there are no health checks.
#[test]
fn overload_with_rate_quotas() {
    let site = Site {
        seed: 3,
        proxies: 40,
        hosts: 16,
        admission: "rate",
        health_checks: false,
        overload: true,
        seconds: 160,
        report_source: "off",
        ..SMALL_SITE
    };
    assert_digest(
        &[site],
        "44fe5e4ee5b21924d01dc5a9b287a5b17de9282eb906a7cfbfcd5fdc3b6712f3",
        |counts| {
            counts.lines >= 800
                && counts.quotas >= 150
                && counts.bindings >= 40
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
        incident_percent: 80,
        overload: true,
        update_queue_limit: 60_000,
        relay_rate: 40_000,
        seconds: 60,
        ..SMALL_SITE
    };
    assert_digest(
        &[site],
        "d672677375857dd533fca3c6ccdaee26e2e380d13bb2b94b42aa948846c0d8ab",
        |counts| {
            counts.lines >= 8_000
                && counts.bindings >= 900
                && counts.quotas_lowered >= 800
                && counts.quotas_raised >= 300
                && counts.ack_requests >= 50
        },
    );
}

/// Three zones, a zone-local class, and a price for requests across zones.
#[test]
fn zones_with_a_zone_local_class() {
    let site = Site {
        seed: 5,
        proxies: 90,
        hosts: 30,
        zones: 3,
        zone_local_class: true,
        crossing_price: true,
        incident_percent: 70,
        overload: true,
        ..SMALL_SITE
    };
    assert_digest(
        &[site],
        "8e2b40b31321d3797eb4e2b2e742d4c0b62535d63b96d7df998346e32f26a483",
        |counts| {
            counts.lines >= 400
                && counts.bindings >= 200
                && counts.quotas_lowered >= 40
                && counts.quotas_raised >= 40
                && counts.ack_requests >= 30
        },
    );
}

/// A low message cap, a short update queue and a slow relay.
#[test]
fn low_message_cap_and_slow_relay() {
    let site = Site {
        seed: 6,
        proxies: 120,
        hosts: 40,
        message_cap: 5,
        update_queue_limit: 900,
        relay_rate: 900,
        slow_relay: true,
        incident_percent: 90,
        seconds: 400,
        ..SMALL_SITE
    };
    assert_digest(
        &[site],
        "1b0b6edab575b5fc2e049f824ea3508158efac46286acd99c18d5ca188243787",
        |counts| {
            counts.lines >= 4_000
                && counts.bindings >= 240
                && counts.ack_requests >= 350
                && counts.health_checks >= 240
        },
    );
}

/// The endpoint list is sent on request and its watch may fail; hosts that the list drops may stay in tables.
#[test]
fn endpoint_list_on_request() {
    let site = Site {
        seed: 7,
        proxies: 30,
        hosts: 20,
        zones: 2,
        list_on_request: true,
        removal_not_binding: true,
        crossing_price: true,
        incident_percent: 60,
        ..SMALL_SITE
    };
    assert_digest(
        &[site],
        "8b8cae07f1ee6b8dbf009079f4c2209702481a22f5b88460f07c7157e932d3b5",
        |counts| {
            counts.lines >= 600
                && counts.bindings >= 35
                && counts.list_requests >= 5
                && counts.ack_requests >= 60
        },
    );
}

/// Three controllers in one process, each with its own site; two of them restart.
#[test]
fn several_controllers() {
    let first = Site {
        seed: 8,
        proxies: 24,
        hosts: 12,
        incident_percent: 90,
        ..SMALL_SITE
    };
    let second = Site {
        seed: 9,
        proxies: 36,
        hosts: 16,
        zones: 4,
        zone_local_class: true,
        overload: true,
        ..SMALL_SITE
    };
    let third = Site {
        seed: 10,
        admission: "off",
        message_cap: 0,
        incident_percent: 90,
        ..SMALL_SITE
    };
    assert_digest(
        &[first, second, third],
        "fb4f1e711ed2b341e4c856bd10bd73339111764724e4928514e4392d8a4a540b",
        |counts| {
            counts.lines >= 1_000
                && counts.bindings >= 100
                && counts.health_checks >= 60
                && counts.quotas_lowered >= 80
                && counts.ack_requests >= 130
        },
    );
}
