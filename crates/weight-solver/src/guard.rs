//! What a cold host can bear, whatever a solver says. It knows nothing of how weights came to be: it is given weights
//! and what each host can do now, and takes from cold ones.

/// Work per capacity that a cold host may be given at most, in parts of what the warm ones are given on the mean. It
/// falls over at two and a half times what it can do; tables and proxies deal unevenly, the fleet may be full, and
/// nobody has seen yet whether its listed weight is right.
const COLD_SHARE: f64 = 0.75;
/// Weights beyond this are no weights.
const WEIGHT_MOST: f64 = 1e12;

/// What a host can do a second, warm or as it is, in any unit; and whether it is warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bears {
    pub capacity: f64,
    pub warm: bool,
}

/// The same weights with each cold host's cut to its bound. Weights that are negative or no number count as 0. If
/// there is no warm host with a weight, cold ones are bound by their capacity alone.
pub fn guarded(hosts: &[Bears], weights: &[f64]) -> Vec<f64> {
    let clean = |weight: f64| {
        if weight.is_finite() {
            weight.clamp(0.0, WEIGHT_MOST)
        } else {
            0.0
        }
    };
    let mut out: Vec<f64> = weights.iter().copied().map(clean).collect();
    out.resize(hosts.len(), 0.0);
    let warm = || hosts.iter().zip(&out).filter(|(host, _)| host.warm);
    let (given, capacity) = warm().fold((0.0, 0.0), |(w, c), (host, weight)| {
        (w + weight, c + host.capacity)
    });
    let per_capacity = if given > 0.0 {
        given / capacity
    } else {
        f64::INFINITY
    };
    // Without a warm one the heaviest cold ones come down to the least given per capacity.
    let least = hosts
        .iter()
        .zip(&out)
        .filter(|(_, w)| **w > 0.0)
        .map(|(h, w)| w / h.capacity);
    let per_capacity = if per_capacity.is_finite() {
        per_capacity
    } else {
        least.fold(f64::INFINITY, f64::min)
    };
    for (host, weight) in hosts.iter().zip(&mut out).filter(|(host, _)| !host.warm) {
        *weight = weight.min(COLD_SHARE * per_capacity * host.capacity);
    }
    out
}
