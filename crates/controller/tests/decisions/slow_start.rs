//! Hosts that have started lately.

use crate::common::{SECOND, all_healthy, deployment, endpoint, fleet_with, host};
use pondarch_controller::{EndpointState, TableId, Time};

#[test]
fn unannounced_restart_begins_a_slow_start() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(4_000, all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    fleet.list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    let after = fleet.lines[&(TableId(0), host(2))];
    assert!(
        after < before * 0.3,
        "the cold host has {after} of {before}"
    );
    fleet.run(30_000, all_healthy);
    assert!(fleet.lines[&(TableId(0), host(2))] > before * 0.9);
}

/// Proxies avoid hosts that fail them: in a jam a fresh host would be all they have left, and fall over.
#[test]
fn warming_host_waits_until_the_overload_is_over() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 40.0, 20.0, 900))
    });
    fleet.list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    assert!(
        !fleet.hosts_of(TableId(0)).contains(&host(2)),
        "a cold host joins a jam"
    );
    fleet.check();
    fleet.run(12_000, all_healthy);
    assert!(fleet.hosts_of(TableId(0)).contains(&host(2)));
}

/// As of a registry that is behind the one before.
#[test]
fn a_complete_list_with_an_earlier_start_ends_no_slow_start() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(4_000, all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    fleet.list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    fleet.list(
        true,
        (0..12)
            .map(|n| endpoint(n, EndpointState::Ready, Time::from_micros(SECOND)))
            .collect(),
    );
    fleet.run(2_000, all_healthy);
    let weight = fleet.lines[&(TableId(0), host(2))];
    assert!(weight < before * 0.5, "the cold host has {weight}");
}

/// As of a machine whose clock is ahead.
#[test]
fn a_start_in_the_future_counts_from_now_on() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(4_000, all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    let ahead = Time::from_micros(fleet.now + 3_600 * SECOND);
    fleet.list(false, vec![endpoint(2, EndpointState::Ready, ahead)]);
    assert!(fleet.lines[&(TableId(0), host(2))] < before * 0.3);
    fleet.run(30_000, all_healthy);
    assert!(fleet.lines[&(TableId(0), host(2))] > before * 0.9);
}
