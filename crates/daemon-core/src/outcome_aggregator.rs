//! Outcomes of all proxies, summed up by host over a report interval: the decisions weigh each record the same.

use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostId, Time};
use pondarch_proxy_session::counters::CounterDelta;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Part of the report period that an interval waits for slow proxies; later answers count in the next one.
const WAIT_FRACTION: f64 = 0.4;

#[derive(Debug)]
pub(crate) struct OutcomeAggregator {
    interval: Duration,
    next_at: Time,
    closes_at: Option<Time>,
    awaited: BTreeSet<u16>,
    by_host: BTreeMap<HostId, AggregatedOutcomes>,
}

/// Outcomes of attempts at a host, and of when the oldest of them are.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AggregatedOutcomes {
    pub(crate) outcomes: AttemptOutcomes,
    pub(crate) oldest_at: Time,
}

impl OutcomeAggregator {
    pub(crate) fn new(interval: Duration, now: Time) -> OutcomeAggregator {
        OutcomeAggregator {
            interval,
            next_at: now + interval,
            closes_at: None,
            awaited: BTreeSet::new(),
            by_host: BTreeMap::new(),
        }
    }

    pub(crate) fn wake_at(&self) -> Time {
        self.closes_at
            .map_or(self.next_at, |at| at.min(self.next_at))
    }

    /// Whether an interval is to begin.
    pub(crate) fn begin_if_due(&mut self, now: Time) -> bool {
        let due = now >= self.next_at;
        if due {
            // A stop of the machine is not made up for by many intervals at once.
            let next = self.next_at + self.interval;
            self.next_at = if next > now {
                next
            } else {
                now + self.interval
            };
            self.closes_at = Some(now + self.interval.scaled(WAIT_FRACTION));
            self.awaited.clear();
        }
        due
    }

    pub(crate) fn request_sent(&mut self, proxy: u16) {
        self.awaited.insert(proxy);
    }

    pub(crate) fn proxy_lost(&mut self, proxy: u16) {
        self.awaited.remove(&proxy);
    }

    /// Adds the counters of one proxy as of then, of which this part counts. Those of several proxies add up; their
    /// periods are the same.
    pub(crate) fn record(&mut self, proxy: u16, counters: &CounterDelta, part: f64, at: Time) {
        self.awaited.remove(&proxy);
        if part <= 0.0 {
            return;
        }
        for (host, outcomes) in &counters.outcomes {
            let outcomes = AttemptOutcomes {
                attempts: outcomes.attempts * part,
                failures: outcomes.failures * part,
                ..*outcomes
            };
            let all = self
                .by_host
                .entry(host.clone())
                .or_insert(AggregatedOutcomes {
                    outcomes: AttemptOutcomes::default(),
                    oldest_at: at,
                });
            all.oldest_at = all.oldest_at.min(at);
            let all = &mut all.outcomes;
            let done = all.attempts - all.failures;
            let more = outcomes.attempts - outcomes.failures;
            if more > 0.0 {
                let sum = all.mean_latency.micros() as f64 * done
                    + outcomes.mean_latency.micros() as f64 * more;
                all.mean_latency = Duration::from_micros((sum / (done + more)) as u64);
            }
            all.attempts += outcomes.attempts;
            all.failures += outcomes.failures;
            all.period = all.period.max(outcomes.period);
        }
    }

    /// All that was gathered, once everybody answered or the wait is over.
    pub(crate) fn take_closed(
        &mut self,
        now: Time,
    ) -> Option<BTreeMap<HostId, AggregatedOutcomes>> {
        let at = self.closes_at?;
        if now < at && !self.awaited.is_empty() {
            return None;
        }
        self.closes_at = None;
        Some(std::mem::take(&mut self.by_host))
    }

    /// Keeps outcomes that were not applied in this interval for the next one, with what is added until then.
    pub(crate) fn defer(&mut self, host: HostId, gathered: AggregatedOutcomes) {
        self.by_host.insert(host, gathered);
    }

    /// What is gathered takes, in bytes, roughly.
    pub(crate) fn bytes(&self) -> u64 {
        self.by_host.len() as u64 * 160
    }
}
