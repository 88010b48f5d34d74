//! SRV weights of a table and samples of its targets.

use pondarch_controller::HostId;
use pondarch_dns_core::srv::count_rounded_up;
use pondarch_dns_core::{SrvTarget, WeightedHost, sample, srv_weights};
use proptest::prelude::{ProptestConfig, prop, prop_assert, prop_assert_eq, proptest};
use std::collections::BTreeMap;

fn host(n: usize) -> HostId {
    HostId(format!("h{n}").into())
}

fn hosts(weights: &[f64]) -> Vec<(HostId, f64)> {
    weights
        .iter()
        .enumerate()
        .map(|(n, weight)| (host(n), *weight))
        .collect()
}

/// The SRV targets of these hosts; `warming_up` tells which of them are warming up.
fn targets(hosts: &[(HostId, f64)], warming_up: impl Fn(&HostId) -> bool) -> Vec<SrvTarget> {
    srv_weights(hosts.iter().map(|(host, weight)| WeightedHost {
        host,
        weight: *weight,
        warming_up: warming_up(host),
    }))
}

fn total_weight(targets: &[SrvTarget]) -> f64 {
    targets.iter().map(|target| f64::from(target.weight)).sum()
}

#[test]
fn no_weight_is_rounded_to_0_and_no_warming_host_is_rounded_up() {
    let table = hosts(&[5.0, 0.000_1, 2.5, 0.0, f64::NAN]);
    let warm = targets(&table, |_| false);
    assert_eq!(
        warm.iter().map(|target| target.weight).collect::<Vec<_>>(),
        [1_000, 1, 500]
    );
    assert_eq!(count_rounded_up(table.iter().map(|(_, weight)| weight)), 1);
    let one_warming_up = targets(&table, |host| &*host.0 == "h1");
    assert_eq!(one_warming_up.len(), 2);
    let alone = targets(&table[1..2], |_| true);
    assert_eq!(
        alone.len(),
        1,
        "the only host stays although it is warming up"
    );
}

#[test]
fn samples_are_in_proportion_to_the_weights_over_many_draws() {
    let weights: Vec<f64> = (0..60)
        .map(|n| 1.0 + f64::from(n % 7))
        .chain([80.0])
        .collect();
    let table = hosts(&weights);
    let all_targets = targets(&table, |_| false);
    let mut rng = fastrand::Rng::with_seed(11);
    let mut picked_shares = BTreeMap::<HostId, f64>::new();
    let draws = 20_000;
    for _ in 0..draws {
        let drawn = sample(&all_targets, 12, &mut rng);
        assert!(drawn.len() <= 12 && drawn.len() >= 11, "{}", drawn.len());
        let total = total_weight(&drawn);
        for target in drawn {
            *picked_shares.entry(target.host).or_default() +=
                f64::from(target.weight) / total / f64::from(draws);
        }
    }
    let sum: f64 = weights.iter().sum();
    for (host, weight) in &table {
        let share = picked_shares.get(host).copied().unwrap_or(0.0);
        let expected = weight / sum;
        assert!(
            (share - expected).abs() < 0.003,
            "{host:?}: {share}, expected {expected}"
        );
    }
}

/// With an even share of a sample, a host that is warming up would get too many requests from the cache that holds it.
#[test]
fn no_sample_gives_a_warming_host_more_than_its_share() {
    let warming = host(7);
    let expected = 0.2 / 59.2;
    let mut table = hosts(&[1.0; 60]);
    table[7].1 = 0.2;
    let all_targets = targets(&table, |host| *host == warming);
    let mut rng = fastrand::Rng::with_seed(3);
    let mut warming_drawn = 0;
    for _ in 0..200 {
        let drawn = sample(&all_targets, 12, &mut rng);
        let total = total_weight(&drawn);
        for target in drawn.iter().filter(|target| target.warming_up) {
            warming_drawn += 1;
            let share = f64::from(target.weight) / total;
            assert!(share <= expected * 1.1, "{share}, expected {expected}");
        }
    }
    assert!(warming_drawn > 0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_sample_is_a_non_empty_subset_of_the_table(
        weights in prop::collection::vec(1u16..=1_000, 1..80), count in 1usize..20, seed: u64,
    ) {
        let target = |(n, weight): (usize, &u16)| SrvTarget { host: host(n), weight: *weight, warming_up: n % 5 == 1 };
        let targets: Vec<SrvTarget> = weights.iter().enumerate().map(target).collect();
        let drawn = sample(&targets, count, &mut fastrand::Rng::with_seed(seed));
        let mut hosts: Vec<&HostId> = drawn.iter().map(|target| &target.host).collect();
        hosts.sort();
        hosts.dedup();
        prop_assert_eq!(hosts.len(), drawn.len());
        prop_assert!(!drawn.is_empty() && drawn.len() <= count.min(targets.len()));
        prop_assert!(drawn.iter().all(|target| target.weight > 0 && targets.iter().any(|other| other.host == target.host)));
    }
}
