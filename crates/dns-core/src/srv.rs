//! Tables as SRV records: weights of 16 bits (RFC 2782), none of them 0 for a host that is wanted, and a sample that is
//! true to the weights where an answer has no room for all.

use pondarch_controller::HostId;

/// The heaviest line's weight. Rounding moves a line by half of one: 1 in 2,000 of the heaviest at most.
const HEAVIEST: f64 = 1_000.0;
/// A whole table's reqs, where lines are parts of them: a host may be alone in six tables before it counts less.
const PART: f64 = 10_000.0;
/// Part of itself that a line may be off by rounding before it is told to operators: lines this light are under 1 in
/// 1,000 of the heaviest.
const OFF_MOST: f64 = 0.5;
/// One place of so many in a sample is for cold lines, and one at least: they weigh little.
const COLD_PLACES: usize = 4;

/// A host's line in an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SrvLine {
    pub host: HostId,
    pub weight: u16,
    pub cold: bool,
}

/// A table's lines with whole weights, the heaviest 1,000. What is not above 0 is not wanted and left out. A cold
/// host's line is rounded down, and left out where that is 0: it must not get more than its due. It stays in if it is
/// all there is.
pub fn srv_weights<'a>(lines: impl IntoIterator<Item = (&'a HostId, f64, bool)>) -> Vec<SrvLine> {
    let lines = wanted(lines);
    let heaviest = lines
        .iter()
        .map(|(_, weight, _)| *weight)
        .fold(0.0, f64::max);
    whole(&lines, HEAVIEST / heaviest)
}

/// The same for parts of all reqs, by a scale that does not depend on them: where one line changes, the others stay.
pub fn srv_parts<'a>(lines: impl IntoIterator<Item = (&'a HostId, f64, bool)>) -> Vec<SrvLine> {
    whole(&wanted(lines), PART)
}

type Weighed<'a> = (&'a HostId, f64, bool);

fn wanted<'a>(lines: impl IntoIterator<Item = Weighed<'a>>) -> Vec<Weighed<'a>> {
    lines
        .into_iter()
        .filter(|(_, weight, _)| weight.is_finite() && *weight > 0.0)
        .collect()
}

fn whole(lines: &[Weighed], scale: f64) -> Vec<SrvLine> {
    let only_cold = lines.iter().all(|(_, _, cold)| *cold);
    let line = |&(host, weight, cold): &Weighed| {
        let exact = (weight * scale).min(f64::from(u16::MAX));
        let weight = match cold {
            true if only_cold => exact.floor().max(1.0),
            true => exact.floor(),
            false => exact.round().max(1.0),
        };
        (weight >= 1.0).then(|| SrvLine {
            host: host.clone(),
            weight: weight as u16,
            cold,
        })
    };
    lines.iter().filter_map(line).collect()
}

/// How many lines are off by more than half of themselves by rounding up to the least weight.
pub fn rounded_up<'a>(weights: impl IntoIterator<Item = &'a f64>) -> usize {
    let weights: Vec<f64> = weights
        .into_iter()
        .copied()
        .filter(|w| w.is_finite() && *w > 0.0)
        .collect();
    let heaviest = weights.iter().copied().fold(0.0, f64::max);
    weights
        .iter()
        .filter(|weight| **weight / heaviest * HEAVIEST < 1.0 / (1.0 + OFF_MOST))
        .count()
}

/// So many of the lines, drawn without putting back by systematic sampling on the weights: over many draws each host is
/// picked as often as its weight says. A line whose weight is more than an even share of the places is in every draw,
/// and its weight stays; the others share what is left evenly, so that a pick by SRV weight from the sample is true to
/// the table.
///
/// A cold line is in a sample with its own weight or not at all: one cache that holds a sample sends by it for seconds,
/// and an even share of that would be many times the cold host's due.
pub fn sample(lines: &[SrvLine], places: usize, chance: &mut fastrand::Rng) -> Vec<SrvLine> {
    if lines.len() <= places || places == 0 {
        return lines[..lines.len().min(places)].to_vec();
    }
    let (mut cold, warm): (Vec<SrvLine>, Vec<SrvLine>) =
        lines.iter().cloned().partition(|line| line.cold);
    if cold.is_empty() || warm.is_empty() {
        return sampled(lines, places, chance);
    }
    // Drawn evenly, so that each cold host gets its turn.
    chance.shuffle(&mut cold);
    cold.truncate((places / COLD_PLACES).max(usize::from(places > 1)));
    let mut drawn = sampled(&warm, places - cold.len(), chance);
    drawn.extend(cold);
    drawn
}

fn sampled(lines: &[SrvLine], places: usize, chance: &mut fastrand::Rng) -> Vec<SrvLine> {
    if lines.len() <= places {
        return lines.to_vec();
    }
    // Heavy lines are sure of a place; without them the even share changes, until none is left over it.
    let mut sure: Vec<&SrvLine> = Vec::new();
    let mut rest: Vec<&SrvLine> = lines.iter().collect();
    rest.sort_by(|a, b| b.weight.cmp(&a.weight).then(a.host.cmp(&b.host)));
    let sum = |of: &[&SrvLine]| of.iter().map(|line| f64::from(line.weight)).sum::<f64>();
    while sure.len() < places
        && rest
            .first()
            .is_some_and(|line| f64::from(line.weight) * (places - sure.len()) as f64 >= sum(&rest))
    {
        sure.push(rest.remove(0));
    }
    let left = places - sure.len();
    let mut drawn: Vec<SrvLine> = sure.into_iter().cloned().collect();
    if left > 0 && !rest.is_empty() {
        // Neighbours in a fixed order would never be drawn together.
        chance.shuffle(&mut rest);
        let step = sum(&rest) / left as f64;
        let mut next = chance.f64() * step;
        let mut passed = 0.0;
        for line in rest {
            passed += f64::from(line.weight);
            if passed > next {
                let weight = step.round().clamp(1.0, f64::from(u16::MAX)) as u16;
                drawn.push(SrvLine {
                    weight,
                    ..line.clone()
                });
                next += step;
            }
        }
    }
    drawn
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeMap;

    fn hosts(weights: &[f64]) -> Vec<(HostId, f64)> {
        weights
            .iter()
            .enumerate()
            .map(|(n, w)| (HostId(format!("h{n}").into()), *w))
            .collect()
    }

    #[test]
    fn no_wanted_host_has_a_weight_of_0_and_a_cold_one_is_not_rounded_up() {
        let of = hosts(&[5.0, 0.000_1, 2.5, 0.0, f64::NAN]);
        let lines = srv_weights(of.iter().map(|(host, weight)| (host, *weight, false)));
        assert_eq!(
            lines.iter().map(|line| line.weight).collect::<Vec<_>>(),
            [1_000, 1, 500]
        );
        assert_eq!(rounded_up(of.iter().map(|(_, weight)| weight)), 1);
        let cold = srv_weights(
            of.iter()
                .map(|(host, weight)| (host, *weight, &*host.0 == "h1")),
        );
        assert_eq!(cold.len(), 2);
        let alone = srv_weights(of[1..2].iter().map(|(host, weight)| (host, *weight, true)));
        assert_eq!(alone.len(), 1, "a cold host is better than none");
    }

    #[test]
    fn samples_are_true_to_the_weights_over_many_draws() {
        let weights: Vec<f64> = (0..60)
            .map(|n| 1.0 + f64::from(n % 7))
            .chain([80.0])
            .collect();
        let of = hosts(&weights);
        let lines = srv_weights(of.iter().map(|(host, weight)| (host, *weight, false)));
        let (mut chance, mut picked) =
            (fastrand::Rng::with_seed(11), BTreeMap::<HostId, f64>::new());
        let draws = 20_000;
        for _ in 0..draws {
            let drawn = sample(&lines, 12, &mut chance);
            assert!(drawn.len() <= 12 && drawn.len() >= 11, "{}", drawn.len());
            let all: f64 = drawn.iter().map(|line| f64::from(line.weight)).sum();
            for line in drawn {
                *picked.entry(line.host).or_default() +=
                    f64::from(line.weight) / all / f64::from(draws);
            }
        }
        let sum: f64 = weights.iter().sum();
        for (host, weight) in &of {
            let (got, due) = (picked.get(host).copied().unwrap_or(0.0), weight / sum);
            assert!((got - due).abs() < 0.003, "{host:?}: {got} for {due}");
        }
    }

    /// A sample that a cache holds would bring a cold host an even share of all that cache's reqs.
    #[test]
    fn no_sample_gives_a_cold_host_more_than_its_due() {
        let of = hosts(&[1.0; 60]);
        let (cold, due) = (HostId("h7".into()), 0.2 / 59.2);
        let weight = |host: &HostId| if *host == cold { 0.2 } else { 1.0 };
        let lines = srv_weights(
            of.iter()
                .map(|(host, _)| (host, weight(host), *host == cold)),
        );
        let (mut chance, mut seen) = (fastrand::Rng::with_seed(3), 0);
        for _ in 0..200 {
            let drawn = sample(&lines, 12, &mut chance);
            let all: f64 = drawn.iter().map(|line| f64::from(line.weight)).sum();
            for line in drawn.iter().filter(|line| line.cold) {
                seen += 1;
                let got = f64::from(line.weight) / all;
                assert!(got <= due * 1.1, "{got} for {due}");
            }
        }
        assert!(seen > 0);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn a_sample_is_a_part_of_the_table_and_never_empty(
            weights in prop::collection::vec(1u16..=1_000, 1..80), places in 1usize..20, seed: u64,
        ) {
            let line = |(n, weight): (usize, &u16)| SrvLine { host: HostId(format!("h{n}").into()), weight: *weight, cold: n % 5 == 1 };
            let lines: Vec<SrvLine> = weights.iter().enumerate().map(line).collect();
            let drawn = sample(&lines, places, &mut fastrand::Rng::with_seed(seed));
            let mut names: Vec<&HostId> = drawn.iter().map(|line| &line.host).collect();
            names.sort();
            names.dedup();
            prop_assert_eq!(names.len(), drawn.len());
            prop_assert!(!drawn.is_empty() && drawn.len() <= places.min(lines.len()));
            prop_assert!(drawn.iter().all(|line| line.weight > 0 && lines.iter().any(|of| of.host == line.host)));
        }
    }
}
