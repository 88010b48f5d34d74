//! Hosts that have just started must not be sent more than they can take, also where the load of the fleet is not known
//! or a table has only such hosts.

use crate::common::{deployment_config, host};
use crate::loaded_fleet::{Load, LoadedFleet, entry};
use pondarch_controller::{DeploymentConfig, EndpointState, HostId, Time};

const HOSTS: usize = 20;
const PROXIES: u64 = 12;
const PROXY_RATE: f64 = 8.0;
/// Hosts replaced at a time in a release, and the time between two waves.
const HOSTS_PER_WAVE: usize = 4;
const WAVE_MS: u64 = 4_400;
/// Time for which a host of a release drains, and until the list shows that it was replaced.
const DRAIN_MS: u64 = 3_500;
const LIST_DELAY_MS: u64 = 900;

fn config() -> DeploymentConfig {
    DeploymentConfig {
        initial_capacity: 0.17,
        drain_grace_period: std::time::Duration::from_millis(2_400),
        ..deployment_config(PROXIES)
    }
}

/// Returns a fleet of hosts of weight one whose load is this fraction of its capacity.
fn fleet(config: DeploymentConfig, load: f64, class_shares: [f64; 3], seed: u64) -> LoadedFleet {
    let demand = PROXIES as f64 * PROXY_RATE;
    let load = Load {
        proxy_rate: PROXY_RATE,
        class_shares,
        host_rate: demand / HOSTS as f64 / load,
    };
    let mut fleet = LoadedFleet::new(config, load, seed);
    for n in 0..HOSTS {
        fleet.add_warm_host(entry(
            &host(n),
            (n % 4) as u16,
            EndpointState::Ready,
            Time::default(),
        ));
    }
    fleet
}

/// Replaces all hosts in five waves. The controller is restarted in the waves that `restarts` names.
fn release(fleet: &mut LoadedFleet, restarts: &[usize]) {
    for wave in 0..HOSTS / HOSTS_PER_WAVE {
        let replaced: Vec<usize> = (0..HOSTS_PER_WAVE)
            .map(|n| wave * HOSTS_PER_WAVE + n)
            .collect();
        for &n in &replaced {
            fleet.list(entry(
                &host(n),
                (n % 4) as u16,
                EndpointState::Draining,
                Time::default(),
            ));
        }
        let is_restarted = restarts.contains(&wave);
        fleet.run(WAVE_MS / 2);
        if is_restarted {
            fleet.restart_controller(250);
        }
        fleet.run(DRAIN_MS - WAVE_MS / 2 - if is_restarted { 250 } else { 0 });
        let started: Vec<(usize, Time)> = replaced
            .iter()
            .map(|&n| {
                fleet.stop_host(&host(n));
                (n, fleet.start_host(&host(HOSTS + n), 1.0))
            })
            .collect();
        fleet.run(LIST_DELAY_MS);
        for (n, started) in started {
            fleet.list(entry(
                &host(n),
                (n % 4) as u16,
                EndpointState::Removed,
                Time::default(),
            ));
            fleet.list(entry(
                &host(HOSTS + n),
                (n % 4) as u16,
                EndpointState::Ready,
                started,
            ));
        }
    }
    fleet.run(15_000);
}

/// A controller that was restarted in a release on an overloaded day knew no load and admitted all requests for seconds.
/// The warm hosts failed, the proxies avoided them, and most hosts that had just started were overloaded (review case 6).
#[test]
fn a_restart_in_a_release_on_an_overloaded_day_overloads_no_warming_host() {
    for restarts in [&[0][..], &[1], &[2], &[3], &[1, 2, 3]] {
        for seed in 1..=3 {
            let mut fleet = fleet(config(), 1.2, [0.48, 0.40, 0.12], seed);
            fleet.run(15_000);
            release(&mut fleet, restarts);
            assert!(
                fleet.overloaded.is_empty(),
                "restarts in waves {restarts:?}, seed {seed}: {:?} (host, requests, limit)",
                fleet.overloaded
            );
        }
    }
}

/// A controller that started while most hosts were warming up took what they served at its startup limit for what they
/// usually serve, and shed most of a load that they could do for as long as they were warming up.
#[test]
fn a_fleet_that_starts_cold_serves_half_of_what_it_can() {
    const SECONDS: usize = 20;
    let load = 0.3;
    let demand = PROXIES as f64 * PROXY_RATE;
    for cold_hosts in [10, 15, HOSTS] {
        let mut fleet = fleet(config(), load, [0.48, 0.40, 0.12], 1);
        fleet.run(1_000);
        for n in 0..cold_hosts {
            fleet.stop_host(&host(n));
            let started = fleet.start_host(&host(n), 1.0);
            let zone = (n % 4) as u16;
            fleet.list(entry(&host(n), zone, EndpointState::Ready, started));
        }
        fleet.restart_controller(250);
        let answered_before = fleet.answered;
        let mut possible = 0.0;
        for _ in 0..SECONDS {
            possible += demand.min(fleet.capacity());
            fleet.run(1_000);
        }
        let answered = fleet.answered - answered_before;
        assert!(
            answered as f64 > possible / 2.0 && fleet.overloaded.is_empty(),
            "with {cold_hosts} cold hosts, {answered} of {possible} requests were answered"
        );
    }
}

/// When a zone's hosts came back one after the other, the first one got all requests that keep to the zone and was
/// overloaded: it was alone in its table, where its weight bounds nothing (review case 9).
#[test]
fn the_first_host_of_a_zone_that_comes_back_is_not_overloaded() {
    let mut config = config();
    config.request_classes[1].zone_local = true;
    let run = |fleet: &mut LoadedFleet| {
        fleet.run(20_000);
        lose_and_return(fleet, |n| n % 4 == 0);
    };
    assert_none_overloaded(&config, run);
}

/// The same in shared tables: all hosts are lost, and the first one that comes back must not get all requests.
#[test]
fn the_first_host_of_a_fleet_that_comes_back_is_not_overloaded() {
    let run = |fleet: &mut LoadedFleet| {
        fleet.run(20_000);
        lose_and_return(fleet, |_| true);
    };
    assert_none_overloaded(&config(), run);
}

/// The same when the controller is restarted before the loss: as long as the throughput was not known, the only host of
/// the list counted as one that usually serves all requests.
#[test]
fn the_first_host_of_a_fleet_that_comes_back_after_a_restart_is_not_overloaded() {
    let run = |fleet: &mut LoadedFleet| {
        fleet.run(20_000);
        fleet.restart_controller(250);
        fleet.run(1_500);
        lose_and_return(fleet, |_| true);
    };
    assert_none_overloaded(&config(), run);
}

/// Asserts that no warming host is overloaded with any of five seeds at 0.64 of capacity.
fn assert_none_overloaded(config: &DeploymentConfig, run: impl Fn(&mut LoadedFleet)) {
    for seed in 1..=5 {
        let mut fleet = fleet(config.clone(), 0.64, [0.40, 0.48, 0.12], seed);
        run(&mut fleet);
        assert!(
            fleet.overloaded.is_empty(),
            "seed {seed}: {:?} (host, requests, limit)",
            fleet.overloaded
        );
    }
}

/// Loses hosts for 5 s. The list shows the first one to come back 2 s before the others.
fn lose_and_return(fleet: &mut LoadedFleet, is_lost: impl Fn(usize) -> bool) {
    let lost: Vec<(u16, HostId)> = (0..HOSTS)
        .filter(|&n| is_lost(n))
        .map(|n| ((n % 4) as u16, host(n)))
        .collect();
    lost.iter().for_each(|(_, host)| fleet.stop_host(host));
    fleet.run(1_000);
    for (zone, host) in &lost {
        fleet.list(entry(host, *zone, EndpointState::Removed, Time::default()));
    }
    fleet.run(4_000);
    let started: Vec<Time> = lost
        .iter()
        .map(|(_, host)| fleet.start_host(host, 1.0))
        .collect();
    fleet.run(300);
    for (index, ((zone, host), started)) in lost.iter().zip(started).enumerate() {
        fleet.list(entry(host, *zone, EndpointState::Ready, started));
        if index == 0 {
            fleet.run(2_100);
        }
    }
    fleet.run(15_000);
}
