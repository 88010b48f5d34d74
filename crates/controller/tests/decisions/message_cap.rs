//! How the messages that a proxy may be sent in a window are spent.

use crate::common::{SimulatedFleet, all_healthy, deployment, endpoint, fleet_with, host, ms};
use pondarch_controller::{DeploymentConfig, EndpointState, ProxyId, TableId};

/// Less than the shortest grace period, less the longest way of a message.
const URGENT_MS: u64 = 1_500;

fn restart(fleet: &mut SimulatedFleet, n: usize) {
    fleet.list(false, vec![endpoint(n, EndpointState::Ready, fleet.time())]);
}

/// The part of its listed weight that a host has in the table of all proxies.
fn weight_part(fleet: &SimulatedFleet, n: usize) -> f64 {
    let listed = endpoint(n, EndpointState::Ready, fleet.time()).weight;
    let weight = fleet.lines.get(&(TableId(0), host(n)));
    weight.copied().unwrap_or(0.0) / listed
}

#[test]
fn restarts_one_after_another_do_not_use_up_the_cap() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(12_000, all_healthy);
    for n in 0..10 {
        restart(&mut fleet, n);
        fleet.run(150, all_healthy);
    }
    fleet.run(URGENT_MS, all_healthy);
    for n in 0..10 {
        let part = weight_part(&fleet, n);
        assert!(part < 0.5, "host {n} has {part} of its weight");
    }
}

/// Load that shifts from report to report makes updates that can wait, as many as may be sent.
#[test]
fn shifting_load_leaves_messages_for_a_restart() {
    let mut fleet = fleet_with(deployment(8));
    let mut round = 0;
    fleet.run(12_000, |fleet| {
        round += 1;
        let mean = |n: usize| {
            if (n + round).is_multiple_of(3) {
                1_500
            } else {
                100
            }
        };
        (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 0.0, mean(n)));
    });
    for n in 0..6 {
        let before = fleet.now;
        restart(&mut fleet, n);
        while weight_part(&fleet, n) >= 0.5 {
            fleet.run(50, all_healthy);
            let waited_ms = (fleet.now - before) / 1_000;
            assert!(waited_ms <= URGENT_MS, "host {n} waits for {waited_ms} ms");
        }
    }
}

#[test]
fn a_drain_waits_for_no_burst_of_restarts() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(12_000, all_healthy);
    for n in 0..6 {
        restart(&mut fleet, n);
        fleet.run(100, all_healthy);
    }
    fleet.list(
        false,
        vec![endpoint(8, EndpointState::Draining, fleet.time())],
    );
    fleet.run(URGENT_MS, all_healthy);
    assert!(fleet.is_unused(8), "a drained host is still used");
}

/// Hosts restart until the cap holds the next one's update back; gives that host.
fn restart_until_held_back(fleet: &mut SimulatedFleet) -> usize {
    for n in 0..8 {
        restart(fleet, n);
        if weight_part(fleet, n) >= 0.5 {
            return n;
        }
    }
    panic!("the cap held nothing back");
}

/// Whether any proxy that was bound within the last instant was given a restarted host at its full weight.
fn assert_binds_no_heavy_line(fleet: &SimulatedFleet, proxy: u16, n: usize) {
    let bound = &fleet.proxies[&ProxyId(proxy)];
    let is_bound_now = bound.messages.last() == Some(&fleet.now);
    assert!(
        !is_bound_now || weight_part(fleet, n) < 0.5,
        "proxy {proxy} is bound to a table with host {n} at its full weight"
    );
}

#[test]
fn a_proxy_that_joins_is_not_given_the_old_line_of_a_restarted_host() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(12_000, all_healthy);
    fleet.leave(7);
    let held_back = restart_until_held_back(&mut fleet);
    fleet.join(7, false, 6.0);
    assert_binds_no_heavy_line(&fleet, 7, held_back);
    fleet.run(URGENT_MS, all_healthy);
    assert!(!fleet.proxies[&ProxyId(7)].tables.is_empty());
    assert!(weight_part(&fleet, held_back) < 0.5);
}

#[test]
fn a_proxy_that_is_bound_again_is_not_given_the_old_line_of_a_restarted_host() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(12_000, all_healthy);
    let held_back = restart_until_held_back(&mut fleet);
    while weight_part(&fleet, held_back) >= 0.5 {
        fleet.now += 20_000;
        let now = fleet.time();
        fleet.controller.proxy_unconfirmed(now, ProxyId(3));
        fleet.carry_out_decisions();
        assert_binds_no_heavy_line(&fleet, 3, held_back);
    }
}

/// Hazards wait while updates are late; a binding that needs one out first does not.
#[test]
fn a_proxy_that_joins_on_a_stopped_channel_is_bound_though_a_host_has_restarted() {
    let mut fleet = fleet_with(DeploymentConfig {
        drain_grace_period: ms(2_000),
        ..deployment(8)
    });
    fleet.run(12_000, all_healthy);
    fleet.slow_channel_to(0.0);
    restart(&mut fleet, 0);
    fleet.run(4_500, all_healthy);
    restart(&mut fleet, 3);
    assert!(weight_part(&fleet, 3) >= 0.5, "the hazard waits");
    fleet.leave(7);
    fleet.join(7, false, 6.0);
    assert!(!fleet.proxies[&ProxyId(7)].tables.is_empty());
    assert_binds_no_heavy_line(&fleet, 7, 3);
}
