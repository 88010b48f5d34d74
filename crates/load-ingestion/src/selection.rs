//! Which hosts' outcomes are applied when the budget has no room for all. Outcomes that are not applied now are added to the
//! host's next ones: nothing is lost or counted twice, only delayed.

use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, Time};
use std::time::Duration;

/// No host waits for longer than this number of rounds if the budget has room for all hosts in that time; otherwise it waits
/// for the number of rounds that all hosts need.
const WAIT_ROUNDS: usize = 3;
/// Part of the budget that urgent hosts may take at most, so that the others get their turn.
const URGENT_BUDGET_SHARE: f64 = 0.5;
/// Failure ratio from which a host is urgent.
const URGENT_FAILURE_RATIO: f64 = 0.1;
/// A host with more attempts than this multiple of the mean is urgent.
const BUSY_MULTIPLE: f64 = 3.0;

/// A host with outcomes to apply.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The host.
    pub host: HostId,
    /// When its outcomes were last applied.
    pub last_applied: Time,
    /// Attempts that are not applied yet.
    pub attempts: f64,
    /// Those of them that failed.
    pub failures: f64,
    /// It is warming up, must drain, or is on probation.
    pub changing: bool,
}

/// Selects hosts within a budget of lines.
#[derive(Debug)]
pub struct HostSelector {
    rng: fastrand::Rng,
}

impl HostSelector {
    /// A selector whose random choices follow from the seed.
    pub fn new(seed: u64) -> HostSelector {
        HostSelector {
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The indices of the selected candidates, ascending. The budget goes to urgent hosts up to their share, then to hosts
    /// that have waited for too long, then to a random selection of the rest. `interval` is the time between two rounds.
    pub fn select(
        &mut self,
        now: Time,
        interval: Duration,
        candidates: &[Candidate],
        budget: usize,
    ) -> Vec<usize> {
        if candidates.len() <= budget {
            return (0..candidates.len()).collect();
        }
        let mean = candidates
            .iter()
            .map(|candidate| candidate.attempts)
            .sum::<f64>()
            / candidates.len() as f64;
        let rounds = candidates.len().div_ceil(budget.max(1)).max(WAIT_ROUNDS);
        let max_wait = interval.scaled(rounds as f64 - 0.5);
        let urgency = |candidate: &Candidate| {
            let failure_ratio = if candidate.attempts > 0.0 {
                candidate.failures / candidate.attempts
            } else {
                0.0
            };
            let failing = if failure_ratio >= URGENT_FAILURE_RATIO {
                2.0 + failure_ratio
            } else {
                0.0
            };
            failing
                + f64::from(u8::from(candidate.changing))
                + f64::from(u8::from(candidate.attempts > mean * BUSY_MULTIPLE))
        };
        let mut chosen: Vec<usize> = Vec::with_capacity(budget);
        let mut overdue: Vec<usize> = (0..candidates.len())
            .filter(|&n| now - candidates[n].last_applied >= max_wait)
            .collect();
        overdue.sort_by_key(|&n| candidates[n].last_applied);
        // Urgent hosts get their share of the budget, however many others are overdue.
        let urgent_budget =
            ((budget as f64 * URGENT_BUDGET_SHARE) as usize).min(budget.saturating_sub(1));
        let rest = |chosen: &[usize]| {
            (0..candidates.len())
                .filter(|n| !chosen.contains(n))
                .collect::<Vec<_>>()
        };
        let mut urgent: Vec<usize> = (0..candidates.len())
            .filter(|&n| urgency(&candidates[n]) > 0.0)
            .collect();
        urgent.sort_by(|&a, &b| {
            let by_urgency = urgency(&candidates[b]).total_cmp(&urgency(&candidates[a]));
            by_urgency
                .then(candidates[a].last_applied.cmp(&candidates[b].last_applied))
                .then(a.cmp(&b))
        });
        urgent.truncate(urgent_budget);
        chosen.extend(urgent);
        for n in overdue {
            if chosen.len() < budget && !chosen.contains(&n) {
                chosen.push(n);
            }
        }
        let mut others = rest(&chosen);
        self.rng.shuffle(&mut others);
        chosen.extend(others.into_iter().take(budget.saturating_sub(chosen.len())));
        chosen.sort_unstable();
        chosen
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const INTERVAL: Duration = Duration::from_millis(1_000);

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000 + ms * 1_000)
    }

    fn hosts(count: usize) -> Vec<Candidate> {
        let host = |n: usize| Candidate {
            host: HostId(format!("h{n}").into()),
            last_applied: at(0),
            attempts: 10.0,
            failures: 0.0,
            changing: false,
        };
        (0..count).map(host).collect()
    }

    #[test]
    fn all_hosts_are_selected_in_time_and_failing_ones_at_once() {
        let (mut selector, mut candidates) = (HostSelector::new(3), hosts(700));
        let mut longest_wait = Duration::ZERO;
        for round in 1..60u64 {
            let now = at(round * 1_000);
            // A tenth of the hosts fails from round 20 to 39.
            for host in candidates.iter_mut().take(70) {
                host.failures = if (20..40).contains(&round) { 9.0 } else { 0.0 };
            }
            let selected = selector.select(now, INTERVAL, &candidates, 200);
            assert_eq!(selected.len(), 200);
            if (20..40).contains(&round) {
                assert!((0..70).all(|n| selected.contains(&n)), "round {round}");
            }
            for n in selected {
                longest_wait = longest_wait.max(now - candidates[n].last_applied);
                candidates[n].last_applied = now;
            }
        }
        // Failing hosts leave 130 places a round for the 630 others: five rounds, with some margin.
        assert!(
            longest_wait <= Duration::from_millis(8_000),
            "{longest_wait:?}"
        );
    }

    #[test]
    fn urgent_hosts_leave_part_of_a_small_budget_to_the_others() {
        let (mut selector, mut candidates) = (HostSelector::new(3), hosts(100));
        candidates
            .iter_mut()
            .take(60)
            .for_each(|host| host.failures = 10.0);
        let mut selections = vec![0; 100];
        for round in 1..40u64 {
            let now = at(round * 1_000);
            let selected = selector.select(now, INTERVAL, &candidates, 10);
            assert_eq!(selected.len(), 10);
            for n in selected {
                selections[n] += 1;
                candidates[n].last_applied = now;
            }
        }
        assert!(selections.iter().all(|count| *count > 0), "{selections:?}");
        assert!(
            selector
                .select(at(99_000), INTERVAL, &candidates, 0)
                .is_empty()
        );
    }
}
