//! Conversion of table weights to 16-bit SRV weights (RFC 2782), and weighted sampling of targets for answers that
//! cannot hold all of them.

use pondarch_controller::HostId;

/// The SRV weight of the heaviest target. Rounding changes a weight by at most 0.5, which is 1/2,000 of the heaviest.
const HEAVIEST_WEIGHT: f64 = 1_000.0;
/// The SRV weight of a share of 1. A host may be the only one in six tables before its weight is clamped to 16 bits.
const WHOLE_SHARE_WEIGHT: f64 = 10_000.0;
/// The relative rounding error above which a weight counts as rounded up. Such weights are below 1/1,000 of the
/// heaviest.
const MAX_ROUNDING_ERROR: f64 = 0.5;
/// One in this many targets of a sample is reserved for hosts that are warming up, and at least one in a sample of two
/// or more: their weights are too small for them to be drawn often.
const TARGETS_PER_WARMING_TARGET: usize = 4;

/// A host of a table and its weight there.
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

/// Returns a table's targets with integer weights; the heaviest gets 1,000. A host without a positive weight is left
/// out. The weight of a host that is warming up is rounded down so that it gets no more than its share, and the host is
/// left out if the result is 0, unless all hosts are warming up. Other weights are rounded to at least 1.
#[must_use]
pub fn srv_weights<'a>(hosts: impl IntoIterator<Item = WeightedHost<'a>>) -> Vec<SrvTarget> {
    let hosts = with_positive_weight(hosts);
    let heaviest = hosts.iter().map(|host| host.weight).fold(0.0, f64::max);
    scaled_targets(&hosts, HEAVIEST_WEIGHT / heaviest)
}

/// As `srv_weights`, for weights that are shares of all requests. The scale is fixed, so that a change of one share
/// does not change the weights of the other hosts.
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

/// Counts the weights that grow by more than half when they are rounded up to the smallest SRV weight.
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

/// Draws at most `count` of the targets without replacement, by systematic sampling on the weights, so that over many
/// draws each host is picked in proportion to its weight. A target whose weight is at least an even share of the sample
/// is in every draw and keeps its weight; the other drawn targets share the rest evenly.
///
/// A target that is warming up keeps its own weight if it is drawn. A cache sends requests by one sample for seconds,
/// and an even share of them would be many times the host's share.
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
    // Hosts that are warming up are drawn with equal probability, so that each of them receives requests.
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
    // Targets with at least an even share are always drawn. Each one taken out changes the even share of the rest.
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

/// Draws at most `count` of the targets by systematic sampling and gives each an even share of the total weight.
fn draw_evenly(
    mut targets: Vec<&SrvTarget>,
    count: usize,
    rng: &mut fastrand::Rng,
    drawn: &mut Vec<SrvTarget>,
) {
    // In a fixed order, light targets next to each other would never be drawn together.
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
