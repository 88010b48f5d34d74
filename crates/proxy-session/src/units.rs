//! A table's weights as the runtime API has them: whole numbers, 256 at most, 0 for a line that takes nothing.

/// Largest weight of the runtime API (management guide, `set server ... weight`: 0 to 256).
pub const UNITS_MOST: u16 = 256;
/// Times the warm lines may be doubled to make a cold host's part small enough.
const DOUBLINGS: u32 = 9;

/// One line's weight, and whether its host is still cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    pub weight: f64,
    pub cold: bool,
}

/// Whole numbers for these weights, in the same order.
///
/// - A positive weight never becomes 0.
/// - A cold line's part of the table never becomes larger than it was, as long as there are warm lines to take
///   the difference. If even 1 beside warm lines of 256 each were too much, the line is `None`: it is held back,
///   as a host that joins late harms nobody and one that is pushed over stays down.
/// - The scale is a power of two, so that one line's change leaves the other lines as they are.
///
/// Weights that are not finite and positive are `None`.
pub fn units(shares: &[Share]) -> Vec<Option<u16>> {
    let counts = |share: &Share| share.weight.is_finite() && share.weight > 0.0;
    let heaviest = shares
        .iter()
        .filter(|s| counts(s))
        .map(|s| s.weight)
        .fold(0.0, f64::max);
    if heaviest <= 0.0 {
        return vec![None; shares.len()];
    }
    let scale = (f64::from(UNITS_MOST) / heaviest).log2().floor().exp2();
    // Parts are of the whole table as it was decided, with those held back: the warm lines take theirs too.
    let total: f64 = shares.iter().filter(|s| counts(s)).map(|s| s.weight).sum();
    let mut held_back = vec![false; shares.len()];
    loop {
        let in_use = |n: usize| counts(&shares[n]) && !held_back[n];
        let places: Vec<usize> = (0..shares.len()).filter(|&n| in_use(n)).collect();
        let fitted = (0..DOUBLINGS)
            .find_map(|times| fit(shares, &places, scale, f64::from(1 << times), total));
        if let Some(fitted) = fitted {
            let mut out = vec![None; shares.len()];
            places
                .iter()
                .zip(fitted)
                .for_each(|(&n, units)| out[n] = Some(units));
            return out;
        }
        // The lightest cold line cannot be told: without it the others may.
        let cold = places.iter().copied().filter(|&n| shares[n].cold);
        let Some(lightest) = cold.min_by(|&a, &b| shares[a].weight.total_cmp(&shares[b].weight))
        else {
            return vec![None; shares.len()];
        };
        held_back[lightest] = true;
    }
}

/// Units for the lines at these places with warm ones `lift` times their due; `None` if a cold line would get
/// more than its part.
fn fit(shares: &[Share], places: &[usize], scale: f64, lift: f64, total: f64) -> Option<Vec<u16>> {
    let most = f64::from(UNITS_MOST);
    let whole = |n: usize| match shares[n] {
        Share { weight, cold: true } => (weight * scale).floor().max(1.0),
        Share {
            weight,
            cold: false,
        } => (weight * scale * lift).ceil().clamp(1.0, most),
    };
    let mut units: Vec<f64> = places.iter().map(|&n| whole(n)).collect();
    let warm = places.iter().any(|&n| !shares[n].cold);
    if !warm {
        return Some(units.iter().map(|&u| u as u16).collect());
    }
    // Taking from one cold line raises the part of the others: it settles, as each step takes at least 1.
    loop {
        let sum: f64 = units.iter().sum();
        let over = places.iter().zip(&units).position(|(&n, &u)| {
            shares[n].cold && u / sum > shares[n].weight / total * (1.0 + 1e-9)
        });
        let Some(at) = over else {
            return Some(units.iter().map(|&u| u as u16).collect());
        };
        if units[at] <= 1.0 {
            return None;
        }
        let due = (shares[places[at]].weight / total * sum).floor();
        units[at] = due.clamp(1.0, units[at] - 1.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn share() -> impl Strategy<Value = Share> {
        ((-3.0..1.0f64), any::<bool>()).prop_map(|(exp, cold)| Share {
            weight: 10f64.powf(exp),
            cold,
        })
    }

    proptest! {
        #[test]
        fn cold_parts_never_grow_and_nothing_becomes_zero(shares in prop::collection::vec(share(), 1..12)) {
            let units = units(&shares);
            let total: f64 = shares.iter().map(|s| s.weight).sum();
            let sum: f64 = units.iter().flatten().map(|&u| f64::from(u)).sum();
            let warm = shares.iter().filter(|s| !s.cold).count();
            prop_assert!(sum > 0.0);
            for (share, units) in shares.iter().zip(&units) {
                match units {
                    Some(units) => {
                        prop_assert!((1..=UNITS_MOST).contains(units));
                        let part = f64::from(*units) / sum;
                        prop_assert!(!share.cold || warm == 0 || part <= share.weight / total * 1.000_001 + 1e-9);
                    }
                    // Held back: cold, and too light to be told beside the warm lines.
                    None => prop_assert!(share.cold && share.weight / total <= 1.0 / 256.0),
                }
            }
        }

        #[test]
        fn warm_parts_are_near(weights in prop::collection::vec(0.1..2.0f64, 2..12)) {
            let shares: Vec<Share> = weights.iter().map(|&weight| Share { weight, cold: false }).collect();
            let units = units(&shares);
            let (total, sum) = (weights.iter().sum::<f64>(), units.iter().flatten().map(|&u| f64::from(u)).sum::<f64>());
            for (weight, units) in weights.iter().zip(&units) {
                let part = f64::from(units.unwrap_or(0)) / sum;
                prop_assert!((part - weight / total).abs() < 0.02);
            }
        }
    }

    #[test]
    fn a_change_of_one_line_leaves_the_others() {
        let line = |weight| Share {
            weight,
            cold: false,
        };
        let (before, after) = (
            units(&[line(1.0), line(0.9)]),
            units(&[line(1.0), line(0.4)]),
        );
        assert_eq!(before[0], after[0]);
        assert_ne!(before[1], after[1]);
    }

    #[test]
    fn odd_weights_are_left_out() {
        let odd = [f64::NAN, f64::INFINITY, 0.0, -1.0].map(|weight| Share {
            weight,
            cold: false,
        });
        assert_eq!(units(&odd), vec![None; 4]);
        assert!(units(&[]).is_empty());
    }
}
