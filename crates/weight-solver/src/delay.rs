//! How missed targets rise with load. Where arrivals are drawn by chance, a req waits at a host of c cores and
//! utilisation u at all with Erlang's chance C(c, u), and longer than t with C * exp(-c * (1 - u) * t / s), s being
//! the time of one req; where work is more even than drawn times, waits are shorter by half of one and its squared
//! variation (Kingman's approximation). With `room`, the target's time left for waiting in times of one req,
//! `missing` is the part of what a host could do that misses its target. A linear program takes that as the lines
//! through its points at a few utilisations: above the curve between them, and never more than `ERROR` above it in
//! its own unit.

/// Utilisations at which the pieces meet. The last is the most that a host is planned to bear: beyond it a small
/// error of an estimate is a jam.
pub const POINTS: [f64; 9] = [0.0, 0.3, 0.5, 0.65, 0.75, 0.82, 0.87, 0.9, 0.92];

/// How far the pieces stand above the curve at most, as a part of what a host could do.
pub const ERROR: f64 = 0.02;

/// Waits in parts of those of drawn work: reqs of a kind differ by half of their mean, in rough figures.
const WAIT_PART: f64 = 0.625;
/// Cores beyond which a few more change nothing that a plan could show.
const CORES_MOST: f64 = 64.0;
/// What one more piece costs at least over the one before: hosts that miss nothing are still filled evenly.
const EVEN: f64 = 1e-4;

/// The chance that a req finds all cores busy (Erlang's second formula, by the recursion of the first).
fn waits(cores: f64, utilisation: f64) -> f64 {
    let cores = cores.clamp(1.0, CORES_MOST).round();
    let offered = cores * utilisation;
    let mut blocked = 1.0;
    for n in 1..=cores as u32 {
        blocked = offered * blocked / (f64::from(n) + offered * blocked);
    }
    if utilisation >= 1.0 {
        1.0
    } else {
        blocked / (1.0 - utilisation * (1.0 - blocked))
    }
}

/// The part of what a host of so many cores could do that misses its target.
pub fn missing(utilisation: f64, cores: f64, room: f64) -> f64 {
    let cores = cores.max(1.0);
    let late = (-cores * (1.0 - utilisation) * room / WAIT_PART).exp();
    utilisation * waits(cores, utilisation) * late
}

/// The pieces: how much more utilisation each holds, and its slope; slopes rise.
pub fn pieces(cores: f64, room: f64) -> impl Iterator<Item = (f64, f64)> {
    let ends = POINTS.windows(2).enumerate();
    ends.map(move |(n, ends)| {
        let width = ends[1] - ends[0];
        let slope = (missing(ends[1], cores, room) - missing(ends[0], cores, room)) / width;
        (width, slope + EVEN * n as f64)
    })
}

/// The bound on `missing`, up to the last point.
pub fn bound(utilisation: f64, cores: f64, room: f64) -> f64 {
    let mut left = utilisation;
    let piece = |(width, slope): (f64, f64)| {
        let here = left.clamp(0.0, width);
        left -= here;
        here * slope
    };
    pieces(cores, room).map(piece).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_pieces_bound_the_curve_within_the_stated_error() {
        let most = POINTS[POINTS.len() - 1];
        for (cores, room) in [1.0, 2.0, 4.0, 8.0, 32.0]
            .into_iter()
            .flat_map(|c| [2.0, 3.0, 5.0, 10.0, 40.0].map(|r| (c, r)))
        {
            for n in 0..=1_000 {
                let u = most * f64::from(n) / 1_000.0;
                let over = bound(u, cores, room) - missing(u, cores, room);
                assert!(
                    (-1e-9..=ERROR).contains(&over),
                    "{over} at {u}, {cores} cores, room {room}"
                );
            }
            let slopes: Vec<f64> = pieces(cores, room).map(|(_, slope)| slope).collect();
            assert!(slopes.is_sorted());
        }
    }

    #[test]
    fn one_core_waits_as_often_as_it_is_busy_and_many_cores_less() {
        assert!((waits(1.0, 0.7) - 0.7).abs() < 1e-12);
        // Two servers at half their capacity: one third (any table of Erlang's second formula).
        assert!((waits(2.0, 0.5) - 1.0 / 3.0).abs() < 1e-12);
        assert!(waits(8.0, 0.7) < waits(2.0, 0.7));
    }
}
