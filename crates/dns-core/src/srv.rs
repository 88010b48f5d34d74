//! Tables as SRV records: weights of 16 bits (RFC 2782), none of them 0 for a host with a target weight, and a sample in
//! proportion to the weights where an answer has no capacity for all targets.

use pondarch_controller::HostId;

/// The weight of the heaviest target. Rounding moves a weight by half of one: 1 in 2,000 of the heaviest at most.
const HEAVIEST_WEIGHT: f64 = 1_000.0;
/// The weight of all requests, where weights are shares of them: a host may be alone in six tables before its weight is
/// cut.
const WHOLE_SHARE_WEIGHT: f64 = 10_000.0;
/// Part of itself that a weight may be off by rounding before it counts as rounded up: targets this light are under 1 in
/// 1,000 of the heaviest.
const MAX_ROUNDING_ERROR: f64 = 0.5;
/// One in this many targets of a sample is for hosts that are warming up, and one at least: they weigh little.
const TARGETS_PER_WARMING_TARGET: usize = 4;

/// A host of a table, with its weight as the table has it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedHost<'a> {
    /// The host.
    pub host: &'a HostId,
    /// Its weight among the hosts of the table.
    pub weight: f64,
    /// Whether it is warming up.
    pub warming_up: bool,
}

/// An SRV target of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SrvTarget {
    /// The host.
    pub host: HostId,
    /// Its SRV weight.
    pub weight: u16,
    /// Whether it is warming up.
    pub warming_up: bool,
}

/// A table's targets with whole weights, the heaviest 1,000. A host without a positive weight is left out. The weight of
/// a host that is warming up is rounded down, and the host left out where that is 0: it must not get more than its share.
/// It stays in if all hosts are warming up.
#[must_use]
pub fn srv_weights<'a>(hosts: impl IntoIterator<Item = WeightedHost<'a>>) -> Vec<SrvTarget> {
    let hosts = with_positive_weight(hosts);
    let heaviest = hosts.iter().map(|host| host.weight).fold(0.0, f64::max);
    scaled_targets(&hosts, HEAVIEST_WEIGHT / heaviest)
}

/// The same for shares of all requests, by a scale that does not depend on them: where one changes, the others stay.
#[must_use]
pub fn srv_share_weights<'a>(hosts: impl IntoIterator<Item = WeightedHost<'a>>) -> Vec<SrvTarget> {
    scaled_targets(&with_positive_weight(hosts), WHOLE_SHARE_WEIGHT)
}

fn with_positive_weight<'a>(
    hosts: impl IntoIterator<Item = WeightedHost<'a>>,
) -> Vec<WeightedHost<'a>> {
    hosts
        .into_iter()
        .filter(|host| host.weight.is_finite() && host.weight > 0.0)
        .collect()
}

fn scaled_targets(hosts: &[WeightedHost<'_>], scale: f64) -> Vec<SrvTarget> {
    let all_warming_up = hosts.iter().all(|host| host.warming_up);
    let target = |host: &WeightedHost<'_>| {
        let exact = (host.weight * scale).min(f64::from(u16::MAX));
        let weight = match (host.warming_up, all_warming_up) {
            (true, true) => exact.floor().max(1.0),
            (true, false) => exact.floor(),
            (false, _) => exact.round().max(1.0),
        };
        (weight >= 1.0).then(|| SrvTarget {
            host: host.host.clone(),
            weight: weight as u16,
            warming_up: host.warming_up,
        })
    };
    hosts.iter().filter_map(target).collect()
}

/// How many weights are off by more than half of themselves by rounding up to the least SRV weight.
#[must_use]
pub fn count_rounded_up<'a>(weights: impl IntoIterator<Item = &'a f64>) -> usize {
    let weights: Vec<f64> = weights
        .into_iter()
        .copied()
        .filter(|weight| weight.is_finite() && *weight > 0.0)
        .collect();
    let heaviest = weights.iter().copied().fold(0.0, f64::max);
    weights
        .iter()
        .filter(|weight| **weight / heaviest * HEAVIEST_WEIGHT < 1.0 / (1.0 + MAX_ROUNDING_ERROR))
        .count()
}

/// At most `count` of the targets, drawn without replacement by systematic sampling on the weights: over many draws each
/// host is picked as often as its weight says. A target whose weight is more than an even share of the sample is in
/// every draw, and its weight stays; the others share the rest evenly, so that a pick by SRV weight from the sample is
/// in proportion to the table.
///
/// A target that is warming up is in a sample with its own weight or not at all: one cache with a sample sends by it for
/// seconds, and an even share of that would be many times the share of the host.
#[must_use]
pub fn sample(targets: &[SrvTarget], count: usize, rng: &mut fastrand::Rng) -> Vec<SrvTarget> {
    if targets.len() <= count || count == 0 {
        return targets[..targets.len().min(count)].to_vec();
    }
    let (mut warming_up, warm): (Vec<SrvTarget>, Vec<SrvTarget>) = targets
        .iter()
        .cloned()
        .partition(|target| target.warming_up);
    if warming_up.is_empty() || warm.is_empty() {
        return systematic_sample(targets, count, rng);
    }
    // Drawn evenly, so that each host that is warming up gets its turn.
    rng.shuffle(&mut warming_up);
    warming_up.truncate((count / TARGETS_PER_WARMING_TARGET).max(usize::from(count > 1)));
    let mut drawn = systematic_sample(&warm, count - warming_up.len(), rng);
    drawn.extend(warming_up);
    drawn
}

fn systematic_sample(
    targets: &[SrvTarget],
    count: usize,
    rng: &mut fastrand::Rng,
) -> Vec<SrvTarget> {
    if targets.len() <= count {
        return targets.to_vec();
    }
    // Heavy targets are always drawn; without them the even share changes, until none is left above it.
    let mut always_drawn: Vec<&SrvTarget> = Vec::new();
    let mut rest: Vec<&SrvTarget> = targets.iter().collect();
    rest.sort_by(|a, b| b.weight.cmp(&a.weight).then(a.host.cmp(&b.host)));
    while always_drawn.len() < count
        && rest.first().is_some_and(|target| {
            f64::from(target.weight) * (count - always_drawn.len()) as f64 >= weight_sum(&rest)
        })
    {
        always_drawn.push(rest.remove(0));
    }
    let remaining = count - always_drawn.len();
    let mut drawn: Vec<SrvTarget> = always_drawn.into_iter().cloned().collect();
    if remaining > 0 && !rest.is_empty() {
        draw_evenly(rest, remaining, rng, &mut drawn);
    }
    drawn
}

/// Draws `count` of the targets, each with an even share of their weights.
fn draw_evenly(
    mut targets: Vec<&SrvTarget>,
    count: usize,
    rng: &mut fastrand::Rng,
    drawn: &mut Vec<SrvTarget>,
) {
    // Neighbours in a fixed order would never be drawn together.
    rng.shuffle(&mut targets);
    let step = weight_sum(&targets) / count as f64;
    let mut next = rng.f64() * step;
    let mut cumulative = 0.0;
    for target in targets {
        cumulative += f64::from(target.weight);
        if cumulative > next {
            let weight = step.round().clamp(1.0, f64::from(u16::MAX)) as u16;
            drawn.push(SrvTarget {
                weight,
                ..target.clone()
            });
            next += step;
        }
    }
}

fn weight_sum(targets: &[&SrvTarget]) -> f64 {
    targets.iter().map(|target| f64::from(target.weight)).sum()
}
