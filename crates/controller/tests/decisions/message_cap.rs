//! The message cap: which updates use the limited messages to each proxy per window.

use crate::common::{
    SimulatedFleet, deployment_config, endpoint, host, ms, report_all_healthy, small_fleet,
};
use pondarch_controller::{DeploymentConfig, EndpointState, ProxyId, TableId};

/// Time limit for safety-critical updates: less than the shortest grace period minus the longest delay of a message.
const SAFETY_LIMIT_MS: u64 = 1_500;

/// Lists a host with the current time as its start time.
fn restart(fleet: &mut SimulatedFleet, n: usize) {
    fleet.apply_list(false, vec![endpoint(n, EndpointState::Ready, fleet.time())]);
}

/// Returns the fraction of its listed weight that a host has in table 0, which all proxies use.
fn weight_fraction(fleet: &SimulatedFleet, n: usize) -> f64 {
    let listed = endpoint(n, EndpointState::Ready, fleet.time()).weight;
    let weight = fleet.lines.get(&(TableId(0), host(n)));
    weight.copied().unwrap_or(0.0) / listed
}

#[test]
fn restarts_one_after_another_do_not_use_up_the_cap() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(12_000, report_all_healthy);
    for n in 0..10 {
        restart(&mut fleet, n);
        fleet.run(150, report_all_healthy);
    }
    fleet.run(SAFETY_LIMIT_MS, report_all_healthy);
    for n in 0..10 {
        let fraction = weight_fraction(&fleet, n);
        assert!(fraction < 0.5, "host {n} has {fraction} of its weight");
    }
}

/// Runs with load that shifts with every report, which causes as many deferrable updates as the message cap allows.
fn shift_load(fleet: &mut SimulatedFleet) {
    let mut round = 0;
    fleet.run(12_000, |fleet| {
        round += 1;
        let latency_ms = |n: usize| {
            if (n + round).is_multiple_of(3) {
                1_500
            } else {
                100
            }
        };
        (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 0.0, latency_ms(n)));
    });
}

#[test]
fn shifting_load_leaves_messages_for_a_restart() {
    let mut fleet = small_fleet(deployment_config(8));
    shift_load(&mut fleet);
    for n in 0..6 {
        let before = fleet.now_us;
        restart(&mut fleet, n);
        while weight_fraction(&fleet, n) >= 0.5 {
            fleet.run(50, report_all_healthy);
            let waited_ms = (fleet.now_us - before) / 1_000;
            assert!(
                waited_ms <= SAFETY_LIMIT_MS,
                "the update for host {n} waited {waited_ms} ms"
            );
        }
    }
}

/// The list may show several restarts within 0.1 ms, each as a change of its own. The message for the first counted as one
/// that knows of the second, whose update waited for a second.
#[test]
fn a_restart_listed_right_after_another_does_not_wait_for_the_cap() {
    /// Less than two decision rounds.
    const LIMIT_MS: u64 = 500;
    let mut fleet = small_fleet(deployment_config(8));
    shift_load(&mut fleet);
    for n in 0..4 {
        restart(&mut fleet, n);
        fleet.now_us += 40;
    }
    fleet.run(LIMIT_MS, report_all_healthy);
    for n in 0..4 {
        let fraction = weight_fraction(&fleet, n);
        assert!(fraction < 0.5, "host {n} has {fraction} of its weight");
    }
}

#[test]
fn a_drain_does_not_wait_behind_a_burst_of_restarts() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(12_000, report_all_healthy);
    for n in 0..6 {
        restart(&mut fleet, n);
        fleet.run(100, report_all_healthy);
    }
    fleet.apply_list(
        false,
        vec![endpoint(8, EndpointState::Draining, fleet.time())],
    );
    fleet.run(SAFETY_LIMIT_MS, report_all_healthy);
    assert!(fleet.is_unused(8), "a draining host is still in use");
}

/// Restarts hosts until the message cap holds back the update for one, and returns that host.
fn restart_hosts_until_held_back(fleet: &mut SimulatedFleet) -> usize {
    for n in 0..8 {
        restart(fleet, n);
        if weight_fraction(fleet, n) >= 0.5 {
            return n;
        }
    }
    panic!("the message cap held back no update");
}

/// Asserts that, if the proxy was bound at the current time, its table does not have a restarted host at its full
/// weight.
fn assert_not_bound_with_full_weight(fleet: &SimulatedFleet, proxy: u16, n: usize) {
    let joined = &fleet.proxies[&ProxyId(proxy)];
    let is_bound_now = joined.message_times_us.last() == Some(&fleet.now_us);
    assert!(
        !is_bound_now || weight_fraction(fleet, n) < 0.5,
        "proxy {proxy} is bound to a table with host {n} at its full weight"
    );
}

#[test]
fn a_joining_proxy_does_not_get_the_full_weight_of_a_restarted_host() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(12_000, report_all_healthy);
    fleet.leave(7);
    let held_back = restart_hosts_until_held_back(&mut fleet);
    fleet.join(7, false, 6.0);
    assert_not_bound_with_full_weight(&fleet, 7, held_back);
    fleet.run(SAFETY_LIMIT_MS, report_all_healthy);
    assert!(!fleet.proxies[&ProxyId(7)].tables.is_empty());
    assert!(weight_fraction(&fleet, held_back) < 0.5);
}

#[test]
fn a_proxy_bound_again_does_not_get_the_full_weight_of_a_restarted_host() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(12_000, report_all_healthy);
    let held_back = restart_hosts_until_held_back(&mut fleet);
    while weight_fraction(&fleet, held_back) >= 0.5 {
        fleet.now_us += 20_000;
        let now = fleet.time();
        fleet.controller.proxy_unconfirmed(now, ProxyId(3));
        fleet.carry_out_decisions();
        assert_not_bound_with_full_weight(&fleet, 3, held_back);
    }
}

/// Hazards are held back while messages are late, but not if a binding has to wait for them.
#[test]
fn a_joining_proxy_is_bound_on_a_stopped_channel_after_a_host_restart() {
    let mut fleet = small_fleet(DeploymentConfig {
        drain_grace_period: ms(2_000),
        ..deployment_config(8)
    });
    fleet.run(12_000, report_all_healthy);
    fleet.set_channel_rate(0.0);
    restart(&mut fleet, 0);
    fleet.run(4_500, report_all_healthy);
    let held_back = restart_hosts_until_held_back(&mut fleet);
    fleet.leave(7);
    fleet.join(7, false, 6.0);
    assert!(!fleet.proxies[&ProxyId(7)].tables.is_empty());
    assert_not_bound_with_full_weight(&fleet, 7, held_back);
}
