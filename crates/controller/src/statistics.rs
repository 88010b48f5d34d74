//! Statistics helpers used by several kinds of decisions.

/// Minimum divisor, used in place of a weight, rate or load of zero.
pub(crate) const EPSILON: f64 = 1e-9;

/// Moves `mean` towards `sample` by `weight`. A mean of zero counts as unset and is replaced by the sample.
pub(crate) fn moving_average(mean: f64, sample: f64, weight: f64) -> f64 {
    if mean > 0.0 {
        mean + (sample - mean) * weight
    } else {
        sample
    }
}

/// Returns the upper median, or `None` if there are no values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns a hash that is the same at every controller.
pub(crate) fn stable_hash(seed: u64) -> u64 {
    fastrand::Rng::with_seed(seed).u64(..)
}
