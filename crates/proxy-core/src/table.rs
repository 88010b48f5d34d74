//! An immutable table of a request kind, and how a line is picked from it. It is made once when lines change; picks
//! change nothing in it but the turn of `round`.

use fastrand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Most lines of one table; more are refused.
pub const LINES_MOST: usize = 10_000;
/// Draws that may meet a host that is out before the lines are gone through one by one.
const DRAWS: usize = 8;

/// How a proxy picks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PickBy {
    /// At random by weight.
    #[default]
    Weighted,
    /// Evenly by weight, in turn.
    Round,
    /// Of two drawn by weight, the one with less of the proxy's own work out.
    Two,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    pub host: String,
    pub addr: SocketAddr,
    pub weight: u16,
}

/// The lines that may be picked, each with a weight above 0.
#[derive(Debug, Default)]
pub struct Table {
    lines: Vec<Line>,
    /// Sum of weights up to and with each line.
    up_to: Vec<u64>,
    turns: Mutex<Vec<i64>>,
}

impl Table {
    /// Lines of weight 0 are left out. A host that is named twice counts with the sum of its weights at the last
    /// address named: it is one host.
    pub fn new(lines: impl IntoIterator<Item = Line>) -> Table {
        let mut by_host: BTreeMap<String, Line> = BTreeMap::new();
        for line in lines.into_iter().filter(|line| line.weight > 0) {
            let weight = by_host
                .get(&line.host)
                .map_or(0, |held| held.weight)
                .saturating_add(line.weight);
            by_host.insert(line.host.clone(), Line { weight, ..line });
        }
        let lines: Vec<Line> = by_host.into_values().collect();
        let mut sum = 0;
        let up_to = lines.iter().map(|line| {
            sum += u64::from(line.weight);
            sum
        });
        let up_to: Vec<u64> = up_to.collect();
        let turns = Mutex::new(vec![0; lines.len()]);
        Table {
            lines,
            up_to,
            turns,
        }
    }

    pub fn lines(&self) -> &[Line] {
        &self.lines
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// A line that may be used now; none if there is none. `out` tells how much of the proxy's own work a host has.
    pub fn pick(
        &self,
        by: PickBy,
        chance: &mut Rng,
        may: impl Fn(&Line) -> bool,
        out: impl Fn(&Line) -> usize,
    ) -> Option<&Line> {
        match by {
            PickBy::Weighted => self.drawn(chance, &may),
            PickBy::Round => self.in_turn(&may),
            PickBy::Two => {
                let first = self.drawn(chance, &may)?;
                let second = self.drawn(chance, &may)?;
                Some(if out(second) < out(first) {
                    second
                } else {
                    first
                })
            }
        }
    }

    /// Drawing again until a line may be used leaves the parts of those that may as they are.
    fn drawn(&self, chance: &mut Rng, may: &impl Fn(&Line) -> bool) -> Option<&Line> {
        let total = *self.up_to.last()?;
        for _ in 0..DRAWS {
            let at = chance.u64(0..total);
            let line = &self.lines[self.up_to.partition_point(|sum| *sum <= at)];
            if may(line) {
                return Some(line);
            }
        }
        let open: Vec<&Line> = self.lines.iter().filter(|line| may(line)).collect();
        let total: u64 = open.iter().map(|line| u64::from(line.weight)).sum();
        let mut at = if total > 0 {
            chance.u64(0..total)
        } else {
            return None;
        };
        open.into_iter().find(|line| {
            let here = at < u64::from(line.weight);
            at = at.saturating_sub(u64::from(line.weight));
            here
        })
    }

    /// Smooth weighted turns: each line gains its weight, the one that is furthest ahead goes and pays for all.
    fn in_turn(&self, may: &impl Fn(&Line) -> bool) -> Option<&Line> {
        let mut turns = self
            .turns
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let open = || (0..self.lines.len()).filter(|&n| may(&self.lines[n]));
        let mut total = 0;
        for n in open() {
            turns[n] += i64::from(self.lines[n].weight);
            total += i64::from(self.lines[n].weight);
        }
        let next = open().max_by_key(|&n| (turns[n], std::cmp::Reverse(n)))?;
        turns[next] -= total;
        Some(&self.lines[next])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(n: usize, weight: u16) -> Line {
        Line {
            host: format!("host-{n:02}"),
            addr: ([127, 0, 0, 1], n as u16).into(),
            weight,
        }
    }

    fn counts(
        table: &Table,
        by: PickBy,
        picks: usize,
        may: impl Fn(&Line) -> bool,
    ) -> BTreeMap<String, f64> {
        let mut chance = Rng::with_seed(9);
        let mut counts = BTreeMap::new();
        for _ in 0..picks {
            let line = table.pick(by, &mut chance, &may, |_| 0).expect("a line");
            *counts.entry(line.host.clone()).or_insert(0.0) += 1.0 / picks as f64;
        }
        counts
    }

    #[test]
    fn parts_are_the_weights_also_of_what_is_left() {
        let table = Table::new((0..12).map(|n| line(n, 1 + 20 * n as u16)));
        for by in [PickBy::Weighted, PickBy::Round, PickBy::Two] {
            for out in [usize::MAX, 3, 11] {
                let name = format!("host-{out:02}");
                let may = |line: &Line| line.host != name;
                let open: Vec<&Line> = table.lines().iter().filter(|line| may(line)).collect();
                let total: f64 = open.iter().map(|line| f64::from(line.weight)).sum();
                let counts = counts(&table, by, 200_000, may);
                for line in open {
                    let (part, due) = (
                        counts.get(&line.host).copied().unwrap_or(0.0),
                        f64::from(line.weight) / total,
                    );
                    assert!(
                        (part - due).abs() < 0.004,
                        "{by:?} without {out}: {} {part} {due}",
                        line.host
                    );
                }
            }
        }
    }

    #[test]
    fn odd_tables() {
        let none = Table::new([line(1, 0), line(2, 0)]);
        assert!(
            none.is_empty()
                && none
                    .pick(PickBy::Two, &mut Rng::with_seed(1), |_| true, |_| 0)
                    .is_none()
        );
        let twice = Table::new([line(1, 10), line(1, 20), line(2, 30)]);
        assert_eq!((twice.lines().len(), twice.lines()[0].weight), (2, 30));
        let many = Table::new((0..LINES_MOST).map(|n| line(n, 1)));
        assert!(
            many.pick(PickBy::Round, &mut Rng::with_seed(1), |_| true, |_| 0)
                .is_some()
        );
        assert!(
            many.pick(PickBy::Weighted, &mut Rng::with_seed(1), |_| false, |_| 0)
                .is_none()
        );
    }

    #[test]
    fn of_two_the_idler() {
        let table = Table::new([line(1, 100), line(2, 100)]);
        let mut chance = Rng::with_seed(2);
        let busy = (0..1_000).filter(|_| {
            let out = |line: &Line| usize::from(line.host == "host-01") * 5;
            table
                .pick(PickBy::Two, &mut chance, |_| true, out)
                .is_some_and(|line| line.host == "host-01")
        });
        let busy = busy.count();
        assert!(
            (180..320).contains(&busy),
            "{busy} of 1000: a quarter is due, where both draws meet it"
        );
    }
}
