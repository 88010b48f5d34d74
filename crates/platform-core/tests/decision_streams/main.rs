//! Seeded runs of the controller with simulated fleets. Each run has a digest of all its call lines and health checks,
//! which any change of a decision, a random draw, the order of lines or a floating-point sum changes. A digest may be
//! updated only together with an intended change of decisions.

mod controller;
#[path = "../../../simulator-adapter/tests/decision_streams/fleet.rs"]
mod fleet;
#[path = "../../../simulator-adapter/tests/decision_streams/random.rs"]
mod random;
mod session;
#[path = "../../../simulator-adapter/tests/decision_streams/site.rs"]
mod site;

use session::{Counts, run};
use site::{SMALL_SITE, Site};

/// Asserts the digest of a run, and that the run covers enough decisions for its digest to be meaningful.
fn assert_digest(site: &Site, digest: &str, covers_enough: impl Fn(&Counts) -> bool) {
    let outcome = run(site);
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
    let site = Site {
        seed: 21,
        incident_percent: 50,
        seconds: 300,
        ..SMALL_SITE
    };
    assert_digest(
        &site,
        "22a192027ff9835c307beca67cbbdf45f9c554986bd18db9a12bf3c30bb0bbe1",
        |counts| counts.lines >= 150 && counts.bindings >= 90 && counts.ack_requests >= 40,
    );
}

/// Calls are rejected, applied in part and left unanswered while quotas are lowered and raised again.
#[test]
fn overload_while_calls_fail() {
    let site = Site {
        seed: 22,
        proxies: 60,
        hosts: 24,
        overload: true,
        seconds: 160,
        ..SMALL_SITE
    };
    assert_digest(
        &site,
        "ae9b10a3f5d7e96467266632c0150eacd96457e05f1685c2b31c45a8d0039d40",
        |counts| {
            counts.quotas_lowered >= 150
                && counts.quotas_raised >= 30
                && counts.calls_rejected >= 8
                && counts.calls_applied_in_part >= 7
                && counts.calls_unanswered >= 10
        },
    );
}

#[test]
fn large_fleet() {
    let site = Site {
        seed: 23,
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
        &site,
        "c6cdce6785603d646969e37e78db4bf0a921b56e10613bb736a82e2d8d7e8dc0",
        |counts| {
            counts.calls >= 200
                && counts.lines >= 6_000
                && counts.bindings >= 3_000
                && counts.quotas_lowered >= 700
                && counts.ack_requests >= 50
        },
    );
}

/// Three zones with a zone-local class, a low message cap, a short update queue, a slow relay and frequent incidents.
#[test]
fn zones_and_a_slow_relay_with_a_short_queue() {
    let site = Site {
        seed: 24,
        proxies: 90,
        hosts: 30,
        zones: 3,
        zone_local_class: true,
        crossing_price: true,
        message_cap: 6,
        update_queue_limit: 1_200,
        relay_rate: 1_500,
        slow_relay: true,
        incident_percent: 80,
        overload: true,
        seconds: 300,
        ..SMALL_SITE
    };
    assert_digest(
        &site,
        "0249129bec132a6344e2f02f71d17468e618c63f8411a06535b0b1ad2b3e4535",
        |counts| {
            counts.calls >= 50
                && counts.lines >= 200
                && counts.bindings >= 180
                && counts.quotas_lowered >= 20
                && counts.quotas_raised >= 10
                && counts.health_checks >= 40
        },
    );
}
