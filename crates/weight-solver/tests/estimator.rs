//! Estimates compared to known values: hosts of known speed, classes of known work, and random observations.

use pondarch_controller::{HostId, ProxyId, RequestClassId, Time, ZoneId};
use pondarch_weight_solver::estimator::{Estimator, FleetEstimate, HostObservation, ListedHost};
use proptest::prelude::*;
use std::time::Duration;

const WORK_S: [f64; 2] = [0.06, 0.03];
const SECOND: Duration = Duration::from_millis(1_000);

fn at(s: f64) -> Time {
    Time::from_micros(1_000_000 + (s * 1e6) as u64)
}

fn id(n: usize) -> HostId {
    HostId(format!("host-{n}").into())
}

fn listed(weights: &[f64], cores: f64) -> Vec<ListedHost> {
    let listed_host = |(n, weight): (usize, &f64)| ListedHost {
        id: id(n),
        zone: ZoneId((n % 2) as u16),
        cores: Some(cores),
        weight: *weight,
        warm_fraction: 1.0,
        ready: true,
    };
    weights.iter().enumerate().map(listed_host).collect()
}

/// The observation of one second at a host with this real utilization and queue length, of whose requests `own_share` are the
/// controller's own.
fn observe_second(
    rng: &mut fastrand::Rng,
    speed: f64,
    cores: f64,
    own_share: f64,
    utilization: f64,
    queue_length: f64,
) -> HostObservation {
    let expected_requests = own_share * cores * utilization * speed / WORK_S.iter().sum::<f64>();
    let requests =
        expected_requests.floor() + f64::from(u8::from(rng.f64() < expected_requests.fract()));
    let mut completed = Vec::new();
    let at_work = WORK_S.iter().sum::<f64>() / 2.0 / speed;
    let waiting_s = at_work * queue_length / (cores * utilization);
    for (class, work) in WORK_S.iter().enumerate() {
        let mut time = 0.0;
        for _ in 0..requests as u64 {
            time += waiting_s * 2.0 * rng.f64() + work / speed * (0.5 + rng.f64());
        }
        completed.push((
            RequestClassId(class as u8),
            requests,
            Duration::from_micros((time * 1e6) as u64),
        ));
    }
    let noise = |rng: &mut fastrand::Rng| 0.8 + 0.4 * rng.f64();
    let load = Some((
        (utilization * noise(rng)).min(1.0),
        queue_length * 2.0 * rng.f64(),
    ));
    HostObservation {
        completed,
        load,
        period: SECOND,
    }
}

fn speeds(estimate: &FleetEstimate) -> Vec<f64> {
    let mut sorted: Vec<_> = estimate.speeds.iter().collect();
    sorted.sort_by_key(|(host, _)| host.0[5..].parse::<usize>().unwrap_or(0));
    sorted.into_iter().map(|(_, speed)| speed.value).collect()
}

#[test]
fn speeds_and_work_are_estimated_whatever_the_queue_lengths() {
    let truth = [1.0, 2.0, 0.5, 1.0, 1.4, 0.8];
    let queue_lengths = [0.0, 1.0, 6.0, 12.0, 0.5, 3.0];
    let mut rng = fastrand::Rng::with_seed(5);
    let mut estimator = Estimator::new(2, 2, 1.0);
    let list = listed(&[1.0; 6], 2.0);
    for s in 0..20 {
        for (n, (speed, queue_length)) in truth.iter().zip(queue_lengths).enumerate() {
            let utilization = if queue_length > 2.0 { 0.95 } else { 0.6 };
            estimator.observe_host(
                at(f64::from(s)),
                &id(n),
                &observe_second(&mut rng, *speed, 2.0, 1.0, utilization, queue_length),
            );
        }
    }
    let estimate = estimator.estimate(at(19.0), &list).expect("observations");
    let ratios: Vec<f64> = speeds(&estimate)
        .iter()
        .zip(truth)
        .map(|(estimated, truth)| estimated / truth)
        .collect();
    // Estimates and real speeds have different scales. At the slowest host requests mostly wait, so that its estimate stays
    // closer to the listed speed.
    let mean_ratio =
        (ratios.iter().map(|ratio| ratio.ln()).sum::<f64>() / ratios.len() as f64).exp();
    assert!(
        ratios
            .iter()
            .all(|ratio| (0.8..1.4).contains(&(ratio / mean_ratio))),
        "{ratios:?}"
    );
    let ratio = estimate.work[0].value / estimate.work[1].value;
    assert!((ratio - 2.0).abs() < 0.2, "{ratio}");
    assert!(
        estimate
            .speeds
            .values()
            .all(|speed| speed.relative_error < 0.3 && speed.age < Duration::from_millis(12_000))
    );
}

#[test]
fn the_estimate_of_a_host_without_reports_returns_to_its_listed_weight() {
    let mut rng = fastrand::Rng::with_seed(9);
    let mut estimator = Estimator::new(2, 2, 1.0);
    let list = listed(&[1.0; 4], 1.0);
    for s in 0..15 {
        for n in 0..4 {
            let speed = if n == 0 { 3.0 } else { 1.0 };
            estimator.observe_host(
                at(f64::from(s)),
                &id(n),
                &observe_second(&mut rng, speed, 1.0, 1.0, 0.5, 0.2),
            );
        }
    }
    let relative = |estimate: &FleetEstimate| speeds(estimate)[0] / speeds(estimate)[1];
    assert!(relative(&estimator.estimate(at(14.0), &list).expect("observations")) > 2.4);
    // Only the other hosts are still reported on.
    let mut last = f64::INFINITY;
    for s in 15..220 {
        for n in 1..4 {
            estimator.observe_host(
                at(f64::from(s)),
                &id(n),
                &observe_second(&mut rng, 1.0, 1.0, 1.0, 0.5, 0.2),
            );
        }
        let estimate = estimator
            .estimate(at(f64::from(s)), &list)
            .expect("observations");
        last = relative(&estimate);
        if s > 180 {
            let relative_error = estimate.speeds[&id(0)].relative_error;
            assert!(
                relative_error > 0.15,
                "{relative_error} after {s} s without reports"
            );
        }
    }
    assert!((last - 1.0).abs() < 0.2, "{last}");
}

#[test]
fn few_requests_change_little_of_the_listed_speeds() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut estimator = Estimator::new(2, 2, 1.0);
    let list = listed(&[2.0, 1.0, 1.0], 1.0);
    for n in 0..3 {
        estimator.observe_host(
            at(0.0),
            &id(n),
            &observe_second(&mut rng, 1.0, 1.0, 1.0, 0.09, 0.0),
        );
    }
    let estimate = estimator.estimate(at(0.0), &list).expect("observations");
    let ratio = speeds(&estimate)[0] / speeds(&estimate)[1];
    assert!(
        (1.05..2.0).contains(&ratio),
        "two requests change the estimate in part: {ratio}"
    );
    assert!(Estimator::new(2, 2, 1.0).estimate(at(0.0), &list).is_none());
}

#[test]
fn total_demand_is_estimated_from_a_part_of_the_traffic() {
    // Half of the traffic is the controller's own: 0.3 of a total utilization of 0.6.
    let mut rng = fastrand::Rng::with_seed(4);
    let mut estimator = Estimator::new(2, 2, 0.5);
    let list = listed(&[1.0; 4], 1.0);
    let own_rate = 0.3 / WORK_S.iter().sum::<f64>();
    for s in 0..30 {
        for n in 0..4 {
            estimator.observe_host(
                at(f64::from(s)),
                &id(n),
                &observe_second(&mut rng, 1.0, 1.0, 0.5, 0.6, 0.0),
            );
        }
        for (proxy, zone) in [(0, 0), (1, 1)] {
            estimator.observe_demand(
                ProxyId(proxy),
                ZoneId(zone),
                RequestClassId(0),
                2.0 * own_rate,
                SECOND,
            );
            estimator.observe_demand(
                ProxyId(proxy),
                ZoneId(zone),
                RequestClassId(1),
                2.0 * own_rate,
                SECOND,
            );
        }
    }
    let estimate = estimator.estimate(at(29.0), &list).expect("observations");
    assert!(
        (1.6..2.6).contains(&estimate.demand_scale),
        "{}",
        estimate.demand_scale
    );
    let expected_rate = 2.0 * own_rate * estimate.demand_scale;
    assert!(
        estimate
            .rates
            .iter()
            .flatten()
            .all(|rate| (rate / expected_rate - 1.0).abs() < 0.05),
        "{:?}",
        estimate.rates
    );
    // Without its only proxy, a zone has no demand.
    estimator.remove_proxy(ProxyId(1));
    assert_eq!(
        estimator
            .estimate(at(29.0), &list)
            .expect("observations")
            .rates[1],
        [0.0, 0.0]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever invalid values are observed, estimates are finite, and speeds stay within the stated range.
    #[test]
    fn invalid_observations_are_ignored(
        observations in prop::collection::vec((0usize..4, 0u8..4, prop_oneof![Just(f64::NAN), Just(f64::INFINITY), -1e9..1e9f64, 0.0..30.0f64, Just(1e300)],
            0u64..10_000_000_000, prop_oneof![Just(f64::NAN), -1.0..2.0f64], prop_oneof![Just(f64::INFINITY), -5.0..1e9f64]), 1..40),
    ) {
        let mut estimator = Estimator::new(2, 2, f64::NAN);
        for (s, (host, class, requests, time, utilization, queue_length)) in observations.into_iter().enumerate() {
            let completed = vec![(RequestClassId(class), requests, Duration::from_micros(time))];
            estimator.observe_host(at(s as f64), &id(host), &HostObservation { completed, load: Some((utilization, queue_length)), period: SECOND });
            estimator.observe_demand(ProxyId(host as u16), ZoneId(u16::from(class)), RequestClassId(class), requests, SECOND);
        }
        let estimate = estimator.estimate(at(40.0), &listed(&[1.0; 4], 2.0)).expect("observations");
        for speed in estimate.speeds.values() {
            prop_assert!((0.01..=100.0).contains(&speed.value) && speed.relative_error.is_finite(), "{speed:?}");
        }
        prop_assert!(estimate.work.iter().all(|work| work.value > 0.0 && work.value.is_finite()));
        prop_assert!(estimate.rates.iter().flatten().all(|rate| *rate >= 0.0 && rate.is_finite()));
        prop_assert!((1.0..=2.0).contains(&estimate.demand_scale));
    }
}
