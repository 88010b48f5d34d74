//! How the share of requests that miss their latency objective rises with load.
//!
//! With random (Poisson) arrivals at a host of c cores and utilization u, a request has to wait with the Erlang C
//! probability C(c, u), and waits longer than t with C(c, u) * exp(-c * (1 - u) * t / s), where s is the service time.
//! Where service times vary less than exponential ones, waits shrink by the factor (1 + squared coefficient of variation) / 2
//! (Kingman's approximation). `wait_budget` is the part of the latency objective that is left for waiting, in service times.
//! `missed_share` is the part of a host's capacity whose requests miss their objective. For the linear program it is
//! replaced by straight lines between its values at a few utilizations. These lie above the curve, by `MAX_ERROR` at most.

/// Utilizations at which the segments meet. The last is the highest planned utilization of a host: beyond it, a small error
/// of an estimate overloads the host.
pub const BREAKPOINTS: [f64; 9] = [0.0, 0.3, 0.5, 0.65, 0.75, 0.82, 0.87, 0.9, 0.92];

/// How far the segments lie above the curve at most, as a part of the host's capacity.
pub const MAX_ERROR: f64 = 0.02;

/// Waits relative to those with exponential service times, for a coefficient of variation of 0.5, a rough figure for the
/// requests of one class: (1 + 0.5^2) / 2.
const WAIT_FACTOR: f64 = 0.625;
/// More cores than this make no visible difference to a plan.
const MAX_CORES: f64 = 64.0;
/// Added to the slope of each further segment, so that hosts are filled evenly even where no request would be late.
const SLOPE_STEP: f64 = 1e-4;

/// Probability that a request finds all cores busy: the Erlang C formula, from the Erlang B recursion.
fn wait_probability(cores: f64, utilization: f64) -> f64 {
    let cores = cores.clamp(1.0, MAX_CORES).round();
    let offered = cores * utilization;
    let mut blocking = 1.0;
    for n in 1..=cores as u32 {
        blocking = offered * blocking / (f64::from(n) + offered * blocking);
    }
    if utilization >= 1.0 {
        1.0
    } else {
        blocking / (1.0 - utilization * (1.0 - blocking))
    }
}

/// Part of a host's capacity whose requests miss their latency objective.
pub fn missed_share(utilization: f64, cores: f64, wait_budget: f64) -> f64 {
    let cores = cores.max(1.0);
    let late_probability = (-cores * (1.0 - utilization) * wait_budget / WAIT_FACTOR).exp();
    utilization * wait_probability(cores, utilization) * late_probability
}

/// Width (in utilization) and slope of each segment, with rising slopes.
pub fn segments(cores: f64, wait_budget: f64) -> impl Iterator<Item = (f64, f64)> {
    let ends = BREAKPOINTS.windows(2).enumerate();
    ends.map(move |(n, ends)| {
        let width = ends[1] - ends[0];
        let slope = (missed_share(ends[1], cores, wait_budget)
            - missed_share(ends[0], cores, wait_budget))
            / width;
        (width, slope + SLOPE_STEP * n as f64)
    })
}

/// The piecewise-linear bound on `missed_share`, up to the last breakpoint.
pub fn missed_share_bound(utilization: f64, cores: f64, wait_budget: f64) -> f64 {
    let mut remaining = utilization;
    let cost = |(width, slope): (f64, f64)| {
        let within_segment = remaining.clamp(0.0, width);
        remaining -= within_segment;
        within_segment * slope
    };
    segments(cores, wait_budget).map(cost).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn segments_bound_the_curve_within_the_stated_error() {
        let max_utilization = BREAKPOINTS[BREAKPOINTS.len() - 1];
        for (cores, wait_budget) in [1.0, 2.0, 4.0, 8.0, 32.0]
            .into_iter()
            .flat_map(|cores| [2.0, 3.0, 5.0, 10.0, 40.0].map(|wait_budget| (cores, wait_budget)))
        {
            for n in 0..=1_000 {
                let u = max_utilization * f64::from(n) / 1_000.0;
                let excess =
                    missed_share_bound(u, cores, wait_budget) - missed_share(u, cores, wait_budget);
                assert!(
                    (-1e-9..=MAX_ERROR).contains(&excess),
                    "{excess} at {u}, {cores} cores, wait budget {wait_budget}"
                );
            }
            let slopes: Vec<f64> = segments(cores, wait_budget)
                .map(|(_, slope)| slope)
                .collect();
            assert!(slopes.is_sorted());
        }
    }

    #[test]
    fn wait_probability_equals_utilization_for_one_core_and_falls_with_cores() {
        assert!((wait_probability(1.0, 0.7) - 0.7).abs() < 1e-12);
        // Erlang C for two servers at utilization 0.5 is 1/3.
        assert!((wait_probability(2.0, 0.5) - 1.0 / 3.0).abs() < 1e-12);
        assert!(wait_probability(8.0, 0.7) < wait_probability(2.0, 0.7));
    }
}
