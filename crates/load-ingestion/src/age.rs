//! What sums of some age still weigh. Reqs of a second ago say how a host is; those of ten seconds ago how it was.

use pondarch_controller::DurationExt;
use std::time::Duration;

/// Evidence halves with each such span.
const HALF: Duration = Duration::from_millis(2_000);
/// What is older is no evidence, for good or ill.
pub const STALE: Duration = Duration::from_millis(6_000);

/// What is left of evidence that was weighed some time ago.
pub fn faded(since: Duration) -> f64 {
    (-std::f64::consts::LN_2 * since.ratio(HALF)).exp()
}

/// The part that counts of sums over a period that ended so long ago: the mean weight of its moments.
pub fn weight(ended: Duration, over: Duration) -> f64 {
    if ended >= STALE {
        return 0.0;
    }
    let rate = std::f64::consts::LN_2 / HALF.seconds();
    let (from, to) = (
        ended.seconds(),
        (ended + over).seconds().min(STALE.seconds()),
    );
    let long = over.seconds();
    if long <= 1e-6 {
        return (-rate * from).exp();
    }
    ((-rate * from).exp() - (-rate * to).exp()) / rate / long
}

/// The part of sums over a period that counts beside those that have just ended: old ones less, and of a long period
/// only what is not stale.
pub fn counts(ended: Duration, over: Duration) -> f64 {
    let fresh = weight(Duration::ZERO, over.min(STALE));
    let long = if over > STALE { STALE.ratio(over) } else { 1.0 };
    weight(ended, over.min(STALE)) / fresh * long
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn it_halves_and_ends() {
        assert!((weight(Duration::ZERO, Duration::ZERO) - 1.0).abs() < 1e-9);
        assert!((weight(MS(2_000), Duration::ZERO) - 0.5).abs() < 1e-9);
        assert_eq!(weight(MS(6_000), MS(1_000)), 0.0);
        assert!(weight(MS(200), MS(1_000)) > 0.75);
        // A period of a minute that has just ended: its last seconds alone say something.
        assert!(weight(Duration::ZERO, MS(60_000)) < 0.05);
    }

    #[test]
    fn what_has_just_ended_counts_in_full_and_long_periods_in_part() {
        assert!((counts(Duration::ZERO, MS(1_000)) - 1.0).abs() < 1e-9);
        assert!((counts(MS(2_000), MS(1_000)) - 0.5).abs() < 1e-9);
        assert!((counts(Duration::ZERO, MS(60_000)) - 0.1).abs() < 1e-9);
        assert_eq!(counts(MS(6_000), MS(1_000)), 0.0);
    }

    proptest! {
        #[test]
        fn older_is_never_more(ended in 0u64..9_000, later in 0u64..9_000, over in 0u64..30_000) {
            let (young, old) = (weight(MS(ended), MS(over)), weight(MS(ended + later), MS(over)));
            prop_assert!((0.0..=1.0).contains(&young) && old <= young + 1e-12);
        }
    }
}
