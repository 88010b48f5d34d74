//! Sums of all proxies gathered into one look at each host, as the module weighs each line it is told.

use pondarch::types::{HostId, Met, Span, Time};
use pondarch_proxy_front::sums::Look;
use std::collections::{BTreeMap, BTreeSet};

/// Part of the report period that a round waits for slow proxies; what comes later counts in the next one.
const WAIT_PART: f64 = 0.4;

#[derive(Debug)]
pub(crate) struct Rounds {
    every: Span,
    next_at: Time,
    closes_at: Option<Time>,
    awaited: BTreeSet<u16>,
    gathered: BTreeMap<HostId, Met>,
}

impl Rounds {
    pub(crate) fn new(every: Span, now: Time) -> Rounds {
        Rounds {
            every,
            next_at: now + every,
            closes_at: None,
            awaited: BTreeSet::new(),
            gathered: BTreeMap::new(),
        }
    }

    pub(crate) fn wake_at(&self) -> Time {
        self.closes_at.map_or(self.next_at, |at| at.min(self.next_at))
    }

    /// Whether a round is to begin.
    pub(crate) fn due(&mut self, now: Time) -> bool {
        let due = now >= self.next_at;
        if due {
            // A stop of the machine is not made up for by many rounds at once.
            let next = self.next_at + self.every;
            self.next_at = if next > now { next } else { now + self.every };
            self.closes_at = Some(now + self.every.times(WAIT_PART));
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

    /// One proxy's look. Two looks at a host add up; their spans are of the same seconds.
    pub(crate) fn came(&mut self, proxy: u16, look: &Look) {
        self.awaited.remove(&proxy);
        for (host, met) in &look.met {
            let all = self.gathered.entry(host.clone()).or_default();
            let (done, more) = (all.tries - all.errored, met.tries - met.errored);
            if more > 0.0 {
                let sum = all.mean_time.as_micros() as f64 * done + met.mean_time.as_micros() as f64 * more;
                all.mean_time = Span::from_micros((sum / (done + more)) as u64);
            }
            all.tries += met.tries;
            all.errored += met.errored;
            all.over = all.over.max(met.over);
        }
    }

    /// All that was gathered, once everybody answered or the wait is over.
    pub(crate) fn closed(&mut self, now: Time) -> Option<BTreeMap<HostId, Met>> {
        let at = self.closes_at?;
        if now < at && !self.awaited.is_empty() {
            return None;
        }
        self.closes_at = None;
        Some(std::mem::take(&mut self.gathered))
    }
}
