//! Small statistics that several decisions use.

/// Stands in for a weight, a rate or a load of zero as a divisor.
pub(crate) const EPSILON: f64 = 1e-9;

/// Moves `mean` towards `sample` by `weight`; without a mean yet, the sample is the mean.
pub(crate) fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    if mean > 0.0 {
        mean + (sample - mean) * weight
    } else {
        sample
    }
}

/// The upper median of some values, or none of none.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// A hash that is the same at every controller.
pub(crate) fn stable_hash(seed: u64) -> u64 {
    fastrand::Rng::with_seed(seed).u64(..)
}
