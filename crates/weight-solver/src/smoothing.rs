//! Bounded weight changes with a dead band: a plan that oscillates must not make tables oscillate, and a wrong plan must not
//! take full effect at once.

/// Largest relative change of a weight in one step.
pub const MAX_STEP: f64 = 0.25;
/// Smaller relative differences are ignored; the relative error of the estimate replaces this limit where it is larger.
const DEAD_BAND: f64 = 0.1;
/// Cap on the relative error in the dead band. Controllers that see part of the traffic only have large errors, and without a
/// cap their hosts would stay that far from the planned weight.
const MAX_RELATIVE_ERROR: f64 = 0.15;

/// The next weight of each host, from its current weight and its planned weight with the relative error of the estimates
/// behind it. A new host, without a current weight, gets its planned weight.
pub fn next_weights(current: &[Option<f64>], planned: &[(f64, f64)]) -> Vec<f64> {
    let next_weight =
        |(weight, (planned, relative_error)): (&Option<f64>, &(f64, f64))| match weight {
            Some(weight) if *weight > 0.0 && planned.is_finite() => {
                let change = planned / weight - 1.0;
                let dead_band = DEAD_BAND.max(relative_error.min(MAX_RELATIVE_ERROR));
                if change.abs() < dead_band {
                    *weight
                } else {
                    weight * (1.0 + change.clamp(-MAX_STEP, MAX_STEP))
                }
            }
            Some(weight) if !planned.is_finite() => *weight,
            _ => *planned,
        };
    current.iter().zip(planned).map(next_weight).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn small_changes_are_ignored_and_large_ones_limited() {
        assert_eq!(next_weights(&[Some(1.0)], &[(1.09, 0.0)]), [1.0]);
        assert_eq!(next_weights(&[Some(1.0)], &[(3.0, 0.0)]), [1.25]);
        assert_eq!(next_weights(&[Some(1.0)], &[(0.1, 0.0)]), [0.75]);
        assert_eq!(
            next_weights(&[Some(1.0), None], &[(f64::NAN, 0.0), (0.4, 0.0)]),
            [1.0, 0.4]
        );
        // An uncertain estimate widens the dead band, but only up to the cap.
        assert_eq!(next_weights(&[Some(1.0)], &[(1.14, 0.25)]), [1.0]);
        assert_eq!(next_weights(&[Some(1.0)], &[(1.4, 5.0)]), [1.25]);
    }

    #[test]
    fn an_oscillating_plan_does_not_change_the_weight() {
        let mut weight = 1.0;
        let mut changes = 0;
        for n in 0..100 {
            let next = next_weights(
                &[Some(weight)],
                &[(if n % 2 == 0 { 1.08 } else { 0.93 }, 0.05)],
            )[0];
            changes += usize::from(next != weight);
            weight = next;
        }
        assert_eq!(changes, 0);
    }
}
