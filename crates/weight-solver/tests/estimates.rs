//! Estimates against a known truth: hosts of known speed, kinds of known work, drawn sums.

use pondarch_controller::{HostId, ProxyId, RequestClassId, Time, ZoneId};
use pondarch_weight_solver::estimate::{Estimated, Estimates, Listed, Seen};
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

fn listed(weights: &[f64], cores: f64) -> Vec<Listed> {
    let one = |(n, weight): (usize, &f64)| Listed {
        host: id(n),
        zone: ZoneId((n % 2) as u16),
        cores: Some(cores),
        weight: *weight,
        warm: 1.0,
        open: true,
    };
    weights.iter().enumerate().map(one).collect()
}

/// One second at a host: `busy` of its cores and so many waiting, by the truth, and `own` of its reqs ours.
fn second(
    chance: &mut fastrand::Rng,
    speed: f64,
    cores: f64,
    own: f64,
    busy: f64,
    queue: f64,
) -> Seen {
    let due = own * cores * busy * speed / WORK_S.iter().sum::<f64>();
    let reqs = due.floor() + f64::from(u8::from(chance.f64() < due.fract()));
    let mut done = Vec::new();
    let at_work = WORK_S.iter().sum::<f64>() / 2.0 / speed;
    let waits = at_work * queue / (cores * busy);
    for (k, work) in WORK_S.iter().enumerate() {
        let mut time = 0.0;
        for _ in 0..reqs as u64 {
            time += waits * 2.0 * chance.f64() + work / speed * (0.5 + chance.f64());
        }
        done.push((
            RequestClassId(k as u8),
            reqs,
            Duration::from_micros((time * 1e6) as u64),
        ));
    }
    let noise = |chance: &mut fastrand::Rng| 0.8 + 0.4 * chance.f64();
    let load = Some(((busy * noise(chance)).min(1.0), queue * 2.0 * chance.f64()));
    Seen {
        done,
        load,
        over: SECOND,
    }
}

fn speeds(of: &Estimated) -> Vec<f64> {
    let mut sorted: Vec<_> = of.speed.iter().collect();
    sorted.sort_by_key(|(host, _)| host.0[5..].parse::<usize>().unwrap_or(0));
    sorted.into_iter().map(|(_, figure)| figure.value).collect()
}

#[test]
fn speeds_and_work_come_out_whatever_waits_where() {
    let truth = [1.0, 2.0, 0.5, 1.0, 1.4, 0.8];
    let queues = [0.0, 1.0, 6.0, 12.0, 0.5, 3.0];
    let mut chance = fastrand::Rng::with_seed(5);
    let mut estimates = Estimates::new(2, 2, 1.0);
    let list = listed(&[1.0; 6], 2.0);
    for s in 0..20 {
        for (n, (speed, queue)) in truth.iter().zip(queues).enumerate() {
            let busy = if queue > 2.0 { 0.95 } else { 0.6 };
            estimates.seen(
                at(f64::from(s)),
                &id(n),
                &second(&mut chance, *speed, 2.0, 1.0, busy, queue),
            );
        }
    }
    let known = estimates.read(at(19.0), &list).expect("figures");
    let ratios: Vec<f64> = speeds(&known)
        .iter()
        .zip(truth)
        .map(|(found, truth)| found / truth)
        .collect();
    // Both have their own yardstick. The slowest is mostly waited at: its figure stays nearer to the listed one.
    let middle = (ratios.iter().map(|ratio| ratio.ln()).sum::<f64>() / ratios.len() as f64).exp();
    assert!(
        ratios
            .iter()
            .all(|ratio| (0.8..1.4).contains(&(ratio / middle))),
        "{ratios:?}"
    );
    let ratio = known.work[0].value / known.work[1].value;
    assert!((ratio - 2.0).abs() < 0.2, "{ratio}");
    assert!(
        known
            .speed
            .values()
            .all(|figure| figure.spread < 0.3 && figure.age < Duration::from_millis(12_000))
    );
}

#[test]
fn a_host_nobody_hears_of_ends_at_its_listed_weight() {
    let mut chance = fastrand::Rng::with_seed(9);
    let mut estimates = Estimates::new(2, 2, 1.0);
    let list = listed(&[1.0; 4], 1.0);
    for s in 0..15 {
        for n in 0..4 {
            let speed = if n == 0 { 3.0 } else { 1.0 };
            estimates.seen(
                at(f64::from(s)),
                &id(n),
                &second(&mut chance, speed, 1.0, 1.0, 0.5, 0.2),
            );
        }
    }
    let relative = |known: &Estimated| speeds(known)[0] / speeds(known)[1];
    assert!(relative(&estimates.read(at(14.0), &list).expect("figures")) > 2.4);
    // The others go on; this one is silent.
    let mut last = f64::INFINITY;
    for s in 15..220 {
        for n in 1..4 {
            estimates.seen(
                at(f64::from(s)),
                &id(n),
                &second(&mut chance, 1.0, 1.0, 1.0, 0.5, 0.2),
            );
        }
        let known = estimates.read(at(f64::from(s)), &list).expect("figures");
        last = relative(&known);
        if s > 180 {
            let spread = known.speed[&id(0)].spread;
            assert!(spread > 0.15, "{spread} after {s} s of silence");
        }
    }
    assert!((last - 1.0).abs() < 0.2, "{last}");
}

#[test]
fn a_few_reqs_move_little_and_listed_weights_are_where_it_starts() {
    let mut chance = fastrand::Rng::with_seed(3);
    let mut estimates = Estimates::new(2, 2, 1.0);
    let list = listed(&[2.0, 1.0, 1.0], 1.0);
    for n in 0..3 {
        estimates.seen(
            at(0.0),
            &id(n),
            &second(&mut chance, 1.0, 1.0, 1.0, 0.09, 0.0),
        );
    }
    let known = estimates.read(at(0.0), &list).expect("figures");
    let ratio = speeds(&known)[0] / speeds(&known)[1];
    assert!(
        (1.05..2.0).contains(&ratio),
        "two reqs say something, not all: {ratio}"
    );
    assert!(Estimates::new(2, 2, 1.0).read(at(0.0), &list).is_none());
}

#[test]
fn the_whole_is_seen_from_a_part() {
    // Half of what comes to the hosts is ours: busy 0.6 in all, of which our reqs are 0.3.
    let mut chance = fastrand::Rng::with_seed(4);
    let mut estimates = Estimates::new(2, 2, 0.5);
    let list = listed(&[1.0; 4], 1.0);
    let own = 0.3 / WORK_S.iter().sum::<f64>();
    for s in 0..30 {
        for n in 0..4 {
            estimates.seen(
                at(f64::from(s)),
                &id(n),
                &second(&mut chance, 1.0, 1.0, 0.5, 0.6, 0.0),
            );
        }
        for (p, zone) in [(0, 0), (1, 1)] {
            estimates.asked(
                ProxyId(p),
                ZoneId(zone),
                RequestClassId(0),
                2.0 * own,
                SECOND,
            );
            estimates.asked(
                ProxyId(p),
                ZoneId(zone),
                RequestClassId(1),
                2.0 * own,
                SECOND,
            );
        }
    }
    let known = estimates.read(at(29.0), &list).expect("figures");
    assert!((1.6..2.6).contains(&known.scale), "{}", known.scale);
    let due = 2.0 * own * known.scale;
    assert!(
        known
            .rates
            .iter()
            .flatten()
            .all(|rate| (rate / due - 1.0).abs() < 0.05),
        "{:?}",
        known.rates
    );
    // Ours alone: no more than what our own proxies bring.
    estimates.left(ProxyId(1));
    assert_eq!(
        estimates.read(at(29.0), &list).expect("figures").rates[1],
        [0.0, 0.0]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    /// Nonsense in any figure: what comes out is finite, and no speed is further off than stated.
    #[test]
    fn nonsense_is_no_evidence(
        figures in prop::collection::vec((0usize..4, 0u8..4, prop_oneof![Just(f64::NAN), Just(f64::INFINITY), -1e9..1e9f64, 0.0..30.0f64, Just(1e300)],
            0u64..10_000_000_000, prop_oneof![Just(f64::NAN), -1.0..2.0f64], prop_oneof![Just(f64::INFINITY), -5.0..1e9f64]), 1..40),
    ) {
        let mut estimates = Estimates::new(2, 2, f64::NAN);
        for (s, (host, kind, reqs, time, busy, queue)) in figures.into_iter().enumerate() {
            let done = vec![(RequestClassId(kind), reqs, Duration::from_micros(time))];
            estimates.seen(at(s as f64), &id(host), &Seen { done, load: Some((busy, queue)), over: SECOND });
            estimates.asked(ProxyId(host as u16), ZoneId(u16::from(kind)), RequestClassId(kind), reqs, SECOND);
        }
        let known = estimates.read(at(40.0), &listed(&[1.0; 4], 2.0)).expect("figures");
        for figure in known.speed.values() {
            prop_assert!((0.01..=100.0).contains(&figure.value) && figure.spread.is_finite(), "{figure:?}");
        }
        prop_assert!(known.work.iter().all(|work| work.value > 0.0 && work.value.is_finite()));
        prop_assert!(known.rates.iter().flatten().all(|rate| *rate >= 0.0 && rate.is_finite()));
        prop_assert!((1.0..=2.0).contains(&known.scale));
    }
}
