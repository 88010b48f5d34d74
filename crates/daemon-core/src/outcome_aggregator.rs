//! Sums the outcomes of all proxies by host over a report interval, because the controller gives each record the same
//! weight.

use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostId, Time};
use pondarch_proxy_session::counters::CounterDelta;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Fraction of the report interval during which replies of proxies are awaited; later ones count in the next interval.
const WAIT_FRACTION: f64 = 0.4;

#[derive(Debug)]
pub(crate) struct OutcomeAggregator {
    interval: Duration,
    /// When the next interval begins.
    next_at: Time,
    /// When the current interval is closed at the latest; none: it is closed.
    closes_at: Option<Time>,
    /// Proxies whose replies are awaited.
    awaited: BTreeSet<u16>,
    by_host: BTreeMap<HostId, AggregatedOutcomes>,
}

/// Outcomes of attempts at a host, with the time of the oldest.
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

    /// Begins an interval if it is due; returns whether one began.
    pub(crate) fn begin_if_due(&mut self, now: Time) -> bool {
        let due = now >= self.next_at;
        if due {
            // Intervals missed while the machine was suspended are skipped.
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

    /// Records that a proxy was asked for its counters.
    pub(crate) fn request_sent(&mut self, proxy: u16) {
        self.awaited.insert(proxy);
    }

    pub(crate) fn proxy_lost(&mut self, proxy: u16) {
        self.awaited.remove(&proxy);
    }

    /// Adds the counters of one proxy as of `at`, scaled by `fraction`. Those of several proxies are summed; their
    /// periods are the same.
    pub(crate) fn record(&mut self, proxy: u16, counters: &CounterDelta, fraction: f64, at: Time) {
        self.awaited.remove(&proxy);
        if fraction <= 0.0 {
            return;
        }
        for (host, outcomes) in &counters.outcomes {
            let outcomes = AttemptOutcomes {
                attempts: outcomes.attempts * fraction,
                failures: outcomes.failures * fraction,
                ..*outcomes
            };
            let aggregated = self
                .by_host
                .entry(host.clone())
                .or_insert(AggregatedOutcomes {
                    outcomes: AttemptOutcomes::default(),
                    oldest_at: at,
                });
            aggregated.oldest_at = aggregated.oldest_at.min(at);
            let total = &mut aggregated.outcomes;
            let total_successes = total.attempts - total.failures;
            let successes = outcomes.attempts - outcomes.failures;
            if successes > 0.0 {
                let latency_sum_us = total.mean_latency.micros() as f64 * total_successes
                    + outcomes.mean_latency.micros() as f64 * successes;
                total.mean_latency =
                    Duration::from_micros((latency_sum_us / (total_successes + successes)) as u64);
            }
            total.attempts += outcomes.attempts;
            total.failures += outcomes.failures;
            total.period = total.period.max(outcomes.period);
        }
    }

    /// Returns the sums once all awaited proxies replied or the time for this is over.
    pub(crate) fn take_closed(
        &mut self,
        now: Time,
    ) -> Option<BTreeMap<HostId, AggregatedOutcomes>> {
        let closes_at = self.closes_at?;
        if now < closes_at && !self.awaited.is_empty() {
            return None;
        }
        self.closes_at = None;
        Some(std::mem::take(&mut self.by_host))
    }

    /// Keeps outcomes that were not applied in this interval; those of the next interval are added to them.
    pub(crate) fn defer(&mut self, host: HostId, outcomes: AggregatedOutcomes) {
        self.by_host.insert(host, outcomes);
    }

    /// Estimated memory, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.by_host.len() as u64 * 160
    }
}
