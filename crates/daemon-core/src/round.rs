//! Sums of all proxies gathered into one look at each host, as the module weighs each line it is told.

use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostId, Time};
use pondarch_proxy_session::sums::Look;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Part of the report period that a round waits for slow proxies; what comes later counts in the next one.
const WAIT_PART: f64 = 0.4;

#[derive(Debug)]
pub(crate) struct Rounds {
    every: Duration,
    next_at: Time,
    closes_at: Option<Time>,
    awaited: BTreeSet<u16>,
    gathered: BTreeMap<HostId, Gathered>,
}

/// What was met at a host, and since when the oldest of it is known.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gathered {
    pub(crate) met: AttemptOutcomes,
    pub(crate) at: Time,
}

impl Rounds {
    pub(crate) fn new(every: Duration, now: Time) -> Rounds {
        Rounds {
            every,
            next_at: now + every,
            closes_at: None,
            awaited: BTreeSet::new(),
            gathered: BTreeMap::new(),
        }
    }

    pub(crate) fn wake_at(&self) -> Time {
        self.closes_at
            .map_or(self.next_at, |at| at.min(self.next_at))
    }

    /// Whether a round is to begin.
    pub(crate) fn due(&mut self, now: Time) -> bool {
        let due = now >= self.next_at;
        if due {
            // A stop of the machine is not made up for by many rounds at once.
            let next = self.next_at + self.every;
            self.next_at = if next > now { next } else { now + self.every };
            self.closes_at = Some(now + self.every.scaled(WAIT_PART));
            self.awaited.clear();
        }
        due
    }

    pub(crate) fn asked(&mut self, proxy: u16) {
        self.awaited.insert(proxy);
    }

    pub(crate) fn lost(&mut self, proxy: u16) {
        self.awaited.remove(&proxy);
    }

    /// One proxy's look, as of then, of which this part counts. Two looks at a host add up; their spans are of the same
    /// seconds.
    pub(crate) fn came(&mut self, proxy: u16, look: &Look, counts: f64, at: Time) {
        self.awaited.remove(&proxy);
        if counts <= 0.0 {
            return;
        }
        for (host, met) in &look.met {
            let met = AttemptOutcomes {
                attempts: met.attempts * counts,
                failures: met.failures * counts,
                ..*met
            };
            let all = self.gathered.entry(host.clone()).or_insert(Gathered {
                met: AttemptOutcomes::default(),
                at,
            });
            all.at = all.at.min(at);
            let all = &mut all.met;
            let (done, more) = (all.attempts - all.failures, met.attempts - met.failures);
            if more > 0.0 {
                let sum = all.mean_latency.micros() as f64 * done
                    + met.mean_latency.micros() as f64 * more;
                all.mean_latency = Duration::from_micros((sum / (done + more)) as u64);
            }
            all.attempts += met.attempts;
            all.failures += met.failures;
            all.period = all.period.max(met.period);
        }
    }

    /// All that was gathered, once everybody answered or the wait is over.
    pub(crate) fn closed(&mut self, now: Time) -> Option<BTreeMap<HostId, Gathered>> {
        let at = self.closes_at?;
        if now < at && !self.awaited.is_empty() {
            return None;
        }
        self.closes_at = None;
        Some(std::mem::take(&mut self.gathered))
    }

    /// What was not told in this round is told in the next, with what comes until then.
    pub(crate) fn keep(&mut self, host: HostId, gathered: Gathered) {
        self.gathered.insert(host, gathered);
    }

    /// What is gathered takes, in bytes, roughly.
    pub(crate) fn bytes(&self) -> u64 {
        self.gathered.len() as u64 * 160
    }
}
