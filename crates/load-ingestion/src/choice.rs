//! Which hosts' lines go to the module when there is no room for all. What a host's line does not say now is added to its
//! next one: nothing is lost, and nothing counted twice; it only comes later.

use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, Time};
use std::time::Duration;

/// No host stays untold for longer than so many rounds, as long as the budget has room for all in that time; else for as
/// many as it takes.
const ROUNDS_MOST: usize = 3;
/// Of the budget, the part that hosts that matter most may take, so that the others have their turn.
const MATTERS_PART: f64 = 0.5;
/// A share of tries that errored from which a host matters, and a part of the mean of all tries that makes it heavy.
const FAILS: f64 = 0.1;
const HEAVY: f64 = 3.0;

/// A host of which something is to be told.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub host: HostId,
    /// When it was told of last.
    pub told: Time,
    pub tries: f64,
    pub errored: f64,
    /// It has just started, is to be left alone, or is on trial.
    pub changing: bool,
}

/// Chooses within a budget of lines.
#[derive(Debug)]
pub struct Choice {
    chance: fastrand::Rng,
}

impl Choice {
    pub fn new(seed: u64) -> Choice {
        Choice {
            chance: fastrand::Rng::with_seed(seed),
        }
    }

    /// The places of those chosen: first those that were not told of for too long, then those that matter most, then a
    /// draw among the rest. `every`: time between two rounds.
    pub fn among(
        &mut self,
        now: Time,
        every: Duration,
        candidates: &[Candidate],
        budget: usize,
    ) -> Vec<usize> {
        if candidates.len() <= budget {
            return (0..candidates.len()).collect();
        }
        let mean = candidates.iter().map(|c| c.tries).sum::<f64>() / candidates.len() as f64;
        let rounds = candidates.len().div_ceil(budget.max(1)).max(ROUNDS_MOST);
        let too_long = every.scaled(rounds as f64 - 0.5);
        let matters = |c: &Candidate| {
            let fails = if c.tries > 0.0 {
                c.errored / c.tries
            } else {
                0.0
            };
            let failing = if fails >= FAILS { 2.0 + fails } else { 0.0 };
            failing + f64::from(u8::from(c.changing)) + f64::from(u8::from(c.tries > mean * HEAVY))
        };
        let mut chosen: Vec<usize> = Vec::with_capacity(budget);
        let mut overdue: Vec<usize> = (0..candidates.len())
            .filter(|&n| now - candidates[n].told >= too_long)
            .collect();
        overdue.sort_by_key(|&n| candidates[n].told);
        // Some room is left for what matters, however much is overdue.
        let kept = ((budget as f64 * MATTERS_PART) as usize).min(budget.saturating_sub(1));
        let rest = |chosen: &[usize]| {
            (0..candidates.len())
                .filter(|n| !chosen.contains(n))
                .collect::<Vec<_>>()
        };
        let mut first: Vec<usize> = (0..candidates.len())
            .filter(|&n| matters(&candidates[n]) > 0.0)
            .collect();
        first.sort_by(|&a, &b| {
            let by = matters(&candidates[b]).total_cmp(&matters(&candidates[a]));
            by.then(candidates[a].told.cmp(&candidates[b].told))
                .then(a.cmp(&b))
        });
        first.truncate(kept);
        chosen.extend(first);
        for n in overdue {
            if chosen.len() < budget && !chosen.contains(&n) {
                chosen.push(n);
            }
        }
        let mut others = rest(&chosen);
        self.chance.shuffle(&mut others);
        chosen.extend(others.into_iter().take(budget.saturating_sub(chosen.len())));
        chosen.sort_unstable();
        chosen
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EVERY: Duration = Duration::from_millis(1_000);

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000 + ms * 1_000)
    }

    fn hosts(count: usize) -> Vec<Candidate> {
        let host = |n: usize| Candidate {
            host: HostId(format!("h{n}").into()),
            told: at(0),
            tries: 10.0,
            errored: 0.0,
            changing: false,
        };
        (0..count).map(host).collect()
    }

    #[test]
    fn everybody_is_told_of_in_time_and_those_that_fail_at_once() {
        let (mut choice, mut all) = (Choice::new(3), hosts(700));
        let mut longest = Duration::ZERO;
        for round in 1..60u64 {
            let now = at(round * 1_000);
            // A tenth of them hangs in the middle.
            for host in all.iter_mut().take(70) {
                host.errored = if (20..40).contains(&round) { 9.0 } else { 0.0 };
            }
            let chosen = choice.among(now, EVERY, &all, 200);
            assert_eq!(chosen.len(), 200);
            if (20..40).contains(&round) {
                assert!((0..70).all(|n| chosen.contains(&n)), "round {round}");
            }
            for n in chosen {
                longest = longest.max(now - all[n].told);
                all[n].told = now;
            }
        }
        // 630 others in the 130 places that failing ones leave: five rounds; and never much more.
        assert!(longest <= Duration::from_millis(8_000), "{longest:?}");
    }

    #[test]
    fn however_small_the_budget_those_that_matter_do_not_take_all_of_it() {
        let (mut choice, mut all) = (Choice::new(3), hosts(100));
        all.iter_mut().take(60).for_each(|host| host.errored = 10.0);
        let mut told = vec![0; 100];
        for round in 1..40u64 {
            let now = at(round * 1_000);
            let chosen = choice.among(now, EVERY, &all, 10);
            assert_eq!(chosen.len(), 10);
            for n in chosen {
                told[n] += 1;
                all[n].told = now;
            }
        }
        assert!(told.iter().all(|times| *times > 0), "{told:?}");
        assert!(choice.among(at(99_000), EVERY, &all, 0).is_empty());
    }
}
