//! Who is let in: levels by share or rate, and the waiting line for hosts that are all at their limit.

use fastrand::Rng;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Reqs of a rate that may come at once, in seconds of it; one at least.
const RATE_BURST_S: f64 = 1.0;

/// How much of a kind is let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Level {
    /// Part of all reqs, 0 to 1.
    Share(f64),
    /// Reqs a second.
    Rate(f64),
}

/// Turned away, at once: nothing that is given up is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// By the kind's share: the fleet is full.
    Share,
    /// By the kind's rate: more would be let in after this span.
    Rate(Duration),
    /// The proxy's own line is full or past hope.
    Full,
    NoHost,
}

impl Level {
    /// The words of the map `pond_levels`: `75` per cent, or `12.5/s`. Anything else lets all in: a level that
    /// cannot be read must not shut a kind out.
    pub fn from_word(word: &str) -> Level {
        let number = |text: &str| {
            text.trim()
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite() && *n >= 0.0)
        };
        match word.strip_suffix("/s") {
            Some(rate) => number(rate).map_or(Level::Share(1.0), Level::Rate),
            None => Level::Share(number(word).map_or(1.0, |part| (part / 100.0).min(1.0))),
        }
    }
}

/// One kind's gate.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    tokens: Option<(f64, Time)>,
}

impl Gate {
    pub fn enter(&mut self, now: Time, level: Level, chance: &mut Rng) -> Result<(), Denied> {
        match level {
            Level::Share(share) if share >= 1.0 || chance.f64() < share => Ok(()),
            Level::Share(_) => Err(Denied::Share),
            Level::Rate(rate) => {
                let most = (rate * RATE_BURST_S).max(1.0);
                let (held, at) = self.tokens.unwrap_or((most, now));
                let held = (held + (now - at).seconds() * rate).min(most);
                let there = held >= 1.0;
                self.tokens = Some((held - f64::from(u8::from(there)), now));
                if there {
                    return Ok(());
                }
                let wait = if rate > 0.0 {
                    (1.0 - held) / rate
                } else {
                    60.0
                };
                Err(Denied::Rate(Duration::from_millis(
                    (wait.min(60.0) * 1e3) as u64,
                )))
            }
        }
    }
}

/// A req that waits, by a number of the caller's own.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Waiting {
    benefit: f64,
    /// When it is past hope: its client has given up by then.
    hopeless_at: Time,
}

/// Reqs that wait for a host with room, in the order they came.
#[derive(Clone, Debug, Default)]
pub struct Line {
    most: usize,
    waiting: BTreeMap<u64, Waiting>,
}

/// What becomes of a req that wants to wait, and of others because of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Offered {
    pub waits: bool,
    /// Those to be turned away now.
    pub turned_away: Vec<u64>,
}

impl Line {
    pub fn new(most: usize) -> Line {
        Line {
            most,
            waiting: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// A req with a number above all before it wants to wait. Whoever is past hope leaves first; if the line is
    /// still full, the one of least benefit does, the newest of them, be it this one.
    pub fn offer(&mut self, now: Time, number: u64, benefit: f64, hopeless_at: Time) -> Offered {
        let mut turned_away = self.past_hope(now);
        let least = self
            .waiting
            .iter()
            .rev()
            .min_by(|a, b| a.1.benefit.total_cmp(&b.1.benefit));
        let waits = match least.map(|(number, waiting)| (*number, waiting.benefit)) {
            _ if now >= hopeless_at || self.most == 0 => false,
            _ if self.waiting.len() < self.most => true,
            Some((worst, held)) if held < benefit => {
                self.waiting.remove(&worst);
                turned_away.push(worst);
                true
            }
            _ => false,
        };
        if waits {
            self.waiting.insert(
                number,
                Waiting {
                    benefit,
                    hopeless_at,
                },
            );
        }
        Offered { waits, turned_away }
    }

    /// A host has room: who goes, the first that came of those with hope.
    pub fn next(&mut self, now: Time) -> (Option<u64>, Vec<u64>) {
        let away = self.past_hope(now);
        (self.waiting.pop_first().map(|(number, _)| number), away)
    }

    /// A req that no longer waits: its client has gone.
    pub fn leave(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    fn past_hope(&mut self, now: Time) -> Vec<u64> {
        let past = |(_, waiting): &(&u64, &Waiting)| now >= waiting.hopeless_at;
        let past: Vec<u64> = self
            .waiting
            .iter()
            .filter(past)
            .map(|(number, _)| *number)
            .collect();
        self.waiting.retain(|_, waiting| now < waiting.hopeless_at);
        past
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fastrand::Rng;
    use proptest::prelude::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000 + ms * 1_000)
    }

    proptest! {
        /// Never more than the limit, nobody past hope is served, everybody who waits leaves once.
        #[test]
        fn the_line_is_bounded(steps in prop::collection::vec((0..50u64, 0..4u8, 1..400u64), 1..200)) {
            let (mut line, mut now) = (Line::new(5), 0);
            let mut hope: BTreeMap<u64, u64> = BTreeMap::new();
            for (number, (wait, what, patience)) in steps.into_iter().enumerate() {
                now += wait;
                let number = number as u64;
                if what == 0 {
                    let (next, away) = line.next(at(now));
                    for gone in away {
                        prop_assert!(hope.remove(&gone).is_some_and(|until| until <= now));
                    }
                    if let Some(next) = next {
                        prop_assert!(hope.remove(&next).is_some_and(|until| until > now));
                    }
                } else {
                    let offered = line.offer(at(now), number, f64::from(what), at(now + patience));
                    for gone in &offered.turned_away {
                        prop_assert!(hope.remove(gone).is_some());
                    }
                    if offered.waits {
                        hope.insert(number, now + patience);
                    }
                }
                prop_assert!(line.len() <= 5);
                prop_assert_eq!(line.len(), hope.len());
            }
        }
    }

    #[test]
    fn the_least_benefit_leaves_first() {
        let mut line = Line::new(2);
        let mut offer = |number, benefit| line.offer(at(0), number, benefit, at(1_000));
        assert!(offer(1, 1.0).waits && offer(2, 5.0).waits);
        assert_eq!(
            offer(3, 1.0),
            Offered {
                waits: false,
                turned_away: vec![]
            }
        );
        assert_eq!(
            offer(4, 3.0),
            Offered {
                waits: true,
                turned_away: vec![1]
            }
        );
        assert_eq!(line.next(at(1)), (Some(2), vec![]));
        assert_eq!(line.next(at(2_000)), (None, vec![4]));
    }

    #[test]
    fn levels() {
        assert_eq!(Level::from_word("75"), Level::Share(0.75));
        assert_eq!(Level::from_word("12.5/s"), Level::Rate(12.5));
        assert_eq!(
            [
                Level::from_word("x"),
                Level::from_word("-3"),
                Level::from_word("NaN")
            ],
            [Level::Share(1.0); 3]
        );
        let mut chance = Rng::with_seed(4);
        let mut gate = Gate::default();
        let entered = (0..10_000)
            .filter(|_| gate.enter(at(0), Level::Share(0.25), &mut chance).is_ok())
            .count();
        assert!((2_350..2_650).contains(&entered), "{entered}");
        let at_rate = (0..10_000)
            .filter(|n| gate.enter(at(*n), Level::Rate(7.0), &mut chance).is_ok())
            .count();
        assert!(
            (70..=78).contains(&at_rate),
            "{at_rate} in 10 s at 7 a second"
        );
        assert!(matches!(
            gate.enter(at(10_000), Level::Rate(0.0), &mut chance),
            Err(Denied::Rate(_))
        ));
        assert_eq!(
            gate.enter(at(0), Level::Share(0.0), &mut chance),
            Err(Denied::Share)
        );
    }
}
