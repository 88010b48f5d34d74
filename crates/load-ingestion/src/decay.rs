//! The weight of evidence by its age: requests of a second ago show the present state of a host, those of ten seconds ago a
//! past one.

use pondarch_controller::DurationExt;
use std::time::Duration;

/// The weight of evidence halves in this time.
const HALF_LIFE: Duration = Duration::from_millis(2_000);
/// Evidence of this age or older counts for nothing, whether it is in favour of a host or against it.
pub const MAX_AGE: Duration = Duration::from_millis(6_000);

/// The part of a weight that remains after this time.
pub fn remaining_weight(elapsed: Duration) -> f64 {
    (-std::f64::consts::LN_2 * elapsed.ratio(HALF_LIFE)).exp()
}

/// The weight of counts over a period that ended this long ago: the mean of the weights of its moments.
pub fn mean_weight(since_end: Duration, period: Duration) -> f64 {
    if since_end >= MAX_AGE {
        return 0.0;
    }
    let rate = std::f64::consts::LN_2 / HALF_LIFE.seconds();
    let (from, to) = (
        since_end.seconds(),
        (since_end + period).seconds().min(MAX_AGE.seconds()),
    );
    let period_s = period.seconds();
    if period_s <= 1e-6 {
        return (-rate * from).exp();
    }
    ((-rate * from).exp() - (-rate * to).exp()) / rate / period_s
}

/// The weight of counts over a period relative to counts over a period that has just ended. Of a period longer than
/// `MAX_AGE` only the last part counts.
pub fn relative_weight(since_end: Duration, period: Duration) -> f64 {
    let fresh = mean_weight(Duration::ZERO, period.min(MAX_AGE));
    let counted_part = if period > MAX_AGE {
        MAX_AGE.ratio(period)
    } else {
        1.0
    };
    mean_weight(since_end, period.min(MAX_AGE)) / fresh * counted_part
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn weight_halves_and_then_ends() {
        assert!((mean_weight(Duration::ZERO, Duration::ZERO) - 1.0).abs() < 1e-9);
        assert!((mean_weight(MS(2_000), Duration::ZERO) - 0.5).abs() < 1e-9);
        assert_eq!(mean_weight(MS(6_000), MS(1_000)), 0.0);
        assert!(mean_weight(MS(200), MS(1_000)) > 0.75);
        // Of a period of a minute that has just ended, only the last seconds count.
        assert!(mean_weight(Duration::ZERO, MS(60_000)) < 0.05);
    }

    #[test]
    fn fresh_counts_weigh_in_full_and_long_periods_in_part() {
        assert!((relative_weight(Duration::ZERO, MS(1_000)) - 1.0).abs() < 1e-9);
        assert!((relative_weight(MS(2_000), MS(1_000)) - 0.5).abs() < 1e-9);
        assert!((relative_weight(Duration::ZERO, MS(60_000)) - 0.1).abs() < 1e-9);
        assert_eq!(relative_weight(MS(6_000), MS(1_000)), 0.0);
    }

    proptest! {
        #[test]
        fn weight_never_rises_with_age(since_end in 0u64..9_000, later in 0u64..9_000, period in 0u64..30_000) {
            let newer = mean_weight(MS(since_end), MS(period));
            let older = mean_weight(MS(since_end + later), MS(period));
            prop_assert!((0.0..=1.0).contains(&newer) && older <= newer + 1e-12);
        }
    }
}
