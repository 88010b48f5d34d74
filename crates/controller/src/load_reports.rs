//! How timely the proxies' load reports are, and what they tell of the hosts' throughput.

use crate::attempt_stats::ATTEMPT_HALF_LIFE;
use crate::host::Host;
use crate::status::Throughput;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// What one report says of the delay of all: large fleets send theirs in turns.
const DELAY_WEIGHT: f64 = 0.02;

/// When reports came, and how late they are.
pub(crate) struct LoadReports {
    interval: Duration,
    first_at: Option<Time>,
    newest_at: Time,
    delay_s: f64,
}

impl LoadReports {
    pub(crate) fn new(interval: Duration) -> LoadReports {
        LoadReports {
            interval,
            first_at: None,
            newest_at: Time::default(),
            delay_s: interval.seconds(),
        }
    }

    /// A report that covers this period has come.
    pub(crate) fn record(&mut self, now: Time, period: Duration) {
        self.newest_at = now;
        self.first_at.get_or_insert(now);
        self.delay_s += (period.max(self.interval).seconds() - self.delay_s) * DELAY_WEIGHT;
    }

    pub(crate) fn interval(&self) -> Duration {
        self.interval
    }

    pub(crate) fn first_at(&self) -> Option<Time> {
        self.first_at
    }

    pub(crate) fn newest_at(&self) -> Time {
        self.newest_at
    }

    /// The delay of reports, in seconds.
    pub(crate) fn delay_s(&self) -> f64 {
        self.delay_s
    }

    /// Attempts a second that ended at some hosts, for our proxies.
    pub(crate) fn throughput<'a>(&self, hosts: impl Iterator<Item = &'a Host>) -> Throughput {
        // The averages start at zero and read low at first.
        let first_at = self.first_at.unwrap_or(self.newest_at);
        let covered = self.newest_at - first_at + self.interval;
        let per_second = std::f64::consts::LN_2
            / ATTEMPT_HALF_LIFE.seconds()
            / (1.0 - covered.decay(ATTEMPT_HALF_LIFE));
        hosts.fold(Throughput::default(), |sum, host| {
            let stats = &host.stats;
            let age = self.newest_at - stats.last_report_at();
            let rate = age.decay(ATTEMPT_HALF_LIFE) * per_second;
            Throughput {
                attempts: sum.attempts + stats.attempts() * rate,
                successes: sum.successes + (stats.attempts() - stats.failures()) * rate,
            }
        })
    }
}
