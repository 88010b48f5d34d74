//! How missed targets rise with load. Where arrivals are drawn by chance, a req waits at a host of utilisation u at all
//! with a chance of u, and longer than t with a chance of u * exp(-(1 - u) * t / s), s being the time of one req. With
//! `room`, the target's time left for waiting in times of one req, u * u * exp(-(1 - u) * room) is the part of what a
//! host could do that misses its target. A linear program takes that as the lines through its points at a few
//! utilisations: above the curve between them, and never more than `ERROR` above it in its own unit. For hosts of
//! several cores it is too dark a picture, on the safe side.

/// Utilisations at which the pieces meet. The last is the most that a host is planned to bear: beyond it a small
/// error of an estimate is a jam.
pub const POINTS: [f64; 9] = [0.0, 0.3, 0.5, 0.65, 0.75, 0.82, 0.87, 0.9, 0.92];

/// How far the pieces stand above the curve at most, as a part of what a host could do.
pub const ERROR: f64 = 0.02;

/// The part of what a host could do that misses its target.
pub fn missing(utilisation: f64, room: f64) -> f64 {
    utilisation * utilisation * (-(1.0 - utilisation) * room).exp()
}

/// The pieces: how much more utilisation each holds, and its slope; slopes rise.
pub fn pieces(room: f64) -> impl Iterator<Item = (f64, f64)> {
    POINTS.windows(2).map(move |ends| {
        let width = ends[1] - ends[0];
        (width, (missing(ends[1], room) - missing(ends[0], room)) / width)
    })
}

/// The bound on `missing`, up to the last point.
pub fn bound(utilisation: f64, room: f64) -> f64 {
    let mut left = utilisation;
    let piece = |(width, slope): (f64, f64)| {
        let here = left.clamp(0.0, width);
        left -= here;
        here * slope
    };
    pieces(room).map(piece).sum()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_pieces_bound_the_curve_within_the_stated_error() {
        let most = POINTS[POINTS.len() - 1];
        for room in [2.0, 3.0, 5.0, 10.0, 20.0, 40.0, 100.0] {
            for n in 0..=1_000 {
                let u = most * f64::from(n) / 1_000.0;
                let over = bound(u, room) - missing(u, room);
                assert!((-1e-9..=ERROR).contains(&over), "{over} at {u}, room {room}");
            }
            let slopes: Vec<f64> = pieces(room).map(|(_, slope)| slope).collect();
            assert!(slopes.is_sorted());
        }
    }
}
