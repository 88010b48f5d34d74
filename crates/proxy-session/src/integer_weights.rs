//! Conversion of a table's weights to those of the runtime API: whole numbers up to 256; a line with weight 0 gets no
//! requests.

/// Largest weight of the runtime API (management guide, `set server ... weight`: 0 to 256).
pub const MAX_WEIGHT: u16 = 256;
/// Factors (1, 2, 4, up to 256) by which the lines of warm hosts may be scaled up to make the fraction of a host that
/// is warming up small enough.
const WARM_FACTORS: u32 = 9;

/// The weight of one line before the conversion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineWeight {
    /// The weight, relative to the other lines of the table.
    pub weight: f64,
    /// Whether the host is still warming up.
    pub warming_up: bool,
}

/// Converts the weights of these lines to whole numbers, in the same order.
///
/// - A positive weight never becomes 0.
/// - The fraction of the table that a line gets while its host is warming up never exceeds its fraction by the given
///   weights, as long as there are lines of warm hosts to take the difference. If even a weight of 1 beside warm lines
///   of 256 each is too much, the result is `None` and the line is left out: a host that joins late does no harm, but
///   one that is overloaded while it is warming up does not recover.
/// - The scale is a power of two, so that a change of one line does not change the weights of the others.
///
/// Weights that are not finite and positive give `None`.
pub fn integer_weights(lines: &[LineWeight]) -> Vec<Option<u16>> {
    let is_valid = |line: &LineWeight| line.weight.is_finite() && line.weight > 0.0;
    let heaviest = lines
        .iter()
        .filter(|line| is_valid(line))
        .map(|line| line.weight)
        .fold(0.0, f64::max);
    if heaviest <= 0.0 {
        return vec![None; lines.len()];
    }
    let scale = (f64::from(MAX_WEIGHT) / heaviest).log2().floor().exp2();
    // Fractions refer to the whole table as it was decided, including the lines left out here: the warm lines take
    // their part as well.
    let total: f64 = lines
        .iter()
        .filter(|line| is_valid(line))
        .map(|line| line.weight)
        .sum();
    let mut excluded = vec![false; lines.len()];
    loop {
        let is_included = |index: usize| is_valid(&lines[index]) && !excluded[index];
        let indices: Vec<usize> = (0..lines.len())
            .filter(|&index| is_included(index))
            .collect();
        let fitted = (0..WARM_FACTORS)
            .find_map(|exponent| fit(lines, &indices, scale, f64::from(1 << exponent), total));
        if let Some(fitted) = fitted {
            let mut weights_by_index = vec![None; lines.len()];
            indices
                .iter()
                .zip(fitted)
                .for_each(|(&index, weight)| weights_by_index[index] = Some(weight));
            return weights_by_index;
        }
        // The lightest line of a host that is warming up cannot be represented; the others may be, once it is left out.
        let warming_up = indices
            .iter()
            .copied()
            .filter(|&index| lines[index].warming_up);
        let Some(lightest) =
            warming_up.min_by(|&a, &b| lines[a].weight.total_cmp(&lines[b].weight))
        else {
            return vec![None; lines.len()];
        };
        excluded[lightest] = true;
    }
}

/// Whole weights for the lines at these indices, where the lines of warm hosts are scaled up by `warm_factor`; `None`
/// if a line of a host that is warming up would get more than its fraction.
fn fit(
    lines: &[LineWeight],
    indices: &[usize],
    scale: f64,
    warm_factor: f64,
    total: f64,
) -> Option<Vec<u16>> {
    let max_weight = f64::from(MAX_WEIGHT);
    let round = |index: usize| match lines[index] {
        LineWeight {
            weight,
            warming_up: true,
        } => (weight * scale).floor().max(1.0),
        LineWeight {
            weight,
            warming_up: false,
        } => (weight * scale * warm_factor).ceil().clamp(1.0, max_weight),
    };
    let mut weights: Vec<f64> = indices.iter().map(|&index| round(index)).collect();
    let any_warm = indices.iter().any(|&index| !lines[index].warming_up);
    if !any_warm {
        return Some(weights.iter().map(|&weight| weight as u16).collect());
    }
    // Reducing one of these lines raises the fraction of the others. The loop ends, as each step takes away at least 1.
    loop {
        let sum: f64 = weights.iter().sum();
        let too_large = indices.iter().zip(&weights).position(|(&index, &weight)| {
            lines[index].warming_up && weight / sum > lines[index].weight / total * (1.0 + 1e-9)
        });
        let Some(position) = too_large else {
            return Some(weights.iter().map(|&weight| weight as u16).collect());
        };
        if weights[position] <= 1.0 {
            return None;
        }
        let allowed = (lines[indices[position]].weight / total * sum).floor();
        weights[position] = allowed.clamp(1.0, weights[position] - 1.0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn line_weight() -> impl Strategy<Value = LineWeight> {
        ((-3.0..1.0f64), any::<bool>()).prop_map(|(exp, warming_up)| LineWeight {
            weight: 10f64.powf(exp),
            warming_up,
        })
    }

    proptest! {
        #[test]
        fn fractions_of_hosts_warming_up_never_grow_and_no_weight_becomes_zero(lines in prop::collection::vec(line_weight(), 1..12)) {
            let weights = integer_weights(&lines);
            let total: f64 = lines.iter().map(|line| line.weight).sum();
            let sum: f64 = weights.iter().flatten().map(|&weight| f64::from(weight)).sum();
            let warm_lines = lines.iter().filter(|line| !line.warming_up).count();
            prop_assert!(sum > 0.0);
            for (line, weight) in lines.iter().zip(&weights) {
                match weight {
                    Some(weight) => {
                        prop_assert!((1..=MAX_WEIGHT).contains(weight));
                        let fraction = f64::from(*weight) / sum;
                        prop_assert!(!line.warming_up || warm_lines == 0 || fraction <= line.weight / total * 1.000_001 + 1e-9);
                    }
                    // Left out: its host is warming up, and its fraction is too small to be represented beside the warm
                    // lines.
                    None => prop_assert!(line.warming_up && line.weight / total <= 1.0 / 256.0),
                }
            }
        }

        #[test]
        fn fractions_of_warm_hosts_are_within_two_percent(weights in prop::collection::vec(0.1..2.0f64, 2..12)) {
            let lines: Vec<LineWeight> = weights.iter().map(|&weight| LineWeight { weight, warming_up: false }).collect();
            let rounded = integer_weights(&lines);
            let (total, sum) = (weights.iter().sum::<f64>(), rounded.iter().flatten().map(|&weight| f64::from(weight)).sum::<f64>());
            for (weight, rounded) in weights.iter().zip(&rounded) {
                let fraction = f64::from(rounded.unwrap_or(0)) / sum;
                prop_assert!((fraction - weight / total).abs() < 0.02);
            }
        }
    }

    #[test]
    fn change_of_one_line_leaves_the_others() {
        let line = |weight| LineWeight {
            weight,
            warming_up: false,
        };
        let (before, after) = (
            integer_weights(&[line(1.0), line(0.9)]),
            integer_weights(&[line(1.0), line(0.4)]),
        );
        assert_eq!(before[0], after[0]);
        assert_ne!(before[1], after[1]);
    }

    #[test]
    fn weights_that_are_not_finite_and_positive_are_left_out() {
        let invalid = [f64::NAN, f64::INFINITY, 0.0, -1.0].map(|weight| LineWeight {
            weight,
            warming_up: false,
        });
        assert_eq!(integer_weights(&invalid), vec![None; 4]);
        assert!(integer_weights(&[]).is_empty());
    }
}
