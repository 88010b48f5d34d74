//! Slow start of hosts that started recently.

use crate::common::{SECOND, deployment_config, endpoint, host, report_all_healthy, small_fleet};
use pondarch_controller::{EndpointState, TableId, Time};

#[test]
fn a_later_start_time_begins_slow_start() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    let after = fleet.lines[&(TableId(0), host(2))];
    assert!(
        after < before * 0.3,
        "the restarted host has weight {after}, {before} before"
    );
    fleet.run(30_000, report_all_healthy);
    assert!(fleet.lines[&(TableId(0), host(2))] > before * 0.9);
}

/// Proxies avoid failing hosts. Under overload, they would send everything to a host that has just started and overload
/// it.
#[test]
fn a_warming_host_is_kept_out_until_the_overload_is_over() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 40.0, 20.0, 900))
    });
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    assert!(
        !fleet.hosts_of(TableId(0)).contains(&host(2)),
        "a warming host was added to an overloaded table"
    );
    fleet.check_invariants();
    fleet.run(12_000, report_all_healthy);
    assert!(fleet.hosts_of(TableId(0)).contains(&host(2)));
}

/// The list may come from another registry that is behind the previous one.
#[test]
fn a_complete_list_with_an_earlier_start_time_does_not_end_slow_start() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    fleet.apply_list(
        true,
        (0..12)
            .map(|n| endpoint(n, EndpointState::Ready, Time::from_micros(SECOND)))
            .collect(),
    );
    fleet.run(2_000, report_all_healthy);
    let weight = fleet.lines[&(TableId(0), host(2))];
    assert!(
        weight < before * 0.5,
        "the warming host has weight {weight}, {before} before its restart"
    );
}

/// The clock of a host may be ahead.
#[test]
fn a_start_time_in_the_future_counts_as_now() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    let future_start = Time::from_micros(fleet.now_us + 3_600 * SECOND);
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, future_start)]);
    assert!(fleet.lines[&(TableId(0), host(2))] < before * 0.3);
    fleet.run(30_000, report_all_healthy);
    assert!(fleet.lines[&(TableId(0), host(2))] > before * 0.9);
}
