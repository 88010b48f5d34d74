//! Bounded steps with hysteresis: a plan that flaps must not flap the tables, and one that is wrong must not be
//! followed at once.

/// Part of itself by which a weight goes up or down in one step at most.
pub const STEP: f64 = 0.25;
/// Differences under this part of a weight are let be, or under its estimate's spread if that is more.
const DEAD: f64 = 0.1;
/// A spread beyond this says nothing: where stewards see parts only, hosts would stay as far off as that.
const SPREAD_MOST: f64 = 0.15;

/// The weights to use next, from those in use and those planned with the spread of what they rest on, host by host. A
/// host that is new (none in use) takes what is planned.
pub fn step(in_use: &[Option<f64>], planned: &[(f64, f64)]) -> Vec<f64> {
    let one = |(used, (planned, spread)): (&Option<f64>, &(f64, f64))| match used {
        Some(used) if *used > 0.0 && planned.is_finite() => {
            let off = planned / used - 1.0;
            let dead = DEAD.max(spread.min(SPREAD_MOST));
            if off.abs() < dead {
                *used
            } else {
                used * (1.0 + off.clamp(-STEP, STEP))
            }
        }
        Some(used) if !planned.is_finite() => *used,
        _ => *planned,
    };
    in_use.iter().zip(planned).map(one).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn small_changes_are_let_be_and_large_ones_taken_in_steps() {
        assert_eq!(step(&[Some(1.0)], &[(1.09, 0.0)]), [1.0]);
        assert_eq!(step(&[Some(1.0)], &[(3.0, 0.0)]), [1.25]);
        assert_eq!(step(&[Some(1.0)], &[(0.1, 0.0)]), [0.75]);
        assert_eq!(
            step(&[Some(1.0), None], &[(f64::NAN, 0.0), (0.4, 0.0)]),
            [1.0, 0.4]
        );
        // What rests on little moves nothing until it is clear.
        assert_eq!(step(&[Some(1.0)], &[(1.14, 0.25)]), [1.0]);
        assert_eq!(step(&[Some(1.0)], &[(1.4, 5.0)]), [1.25]);
    }

    #[test]
    fn an_estimate_that_flaps_does_not_flap_the_weight() {
        let mut used = 1.0;
        let mut turns = 0;
        for n in 0..100 {
            let next = step(
                &[Some(used)],
                &[(if n % 2 == 0 { 1.08 } else { 0.93 }, 0.05)],
            )[0];
            turns += usize::from(next != used);
            used = next;
        }
        assert_eq!(turns, 0);
    }
}
