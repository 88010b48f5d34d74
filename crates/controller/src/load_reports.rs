//! Timeliness of the proxies' load reports, and the hosts' throughput computed from them.

use crate::attempt_stats::ATTEMPT_HALF_LIFE;
use crate::host::Host;
use crate::status::Throughput;
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Weight of one report in the average delay; small because the proxies of a large fleet report in turns.
const DELAY_WEIGHT: f64 = 0.02;

/// Arrival times and average delay of load reports.
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

    /// Records the arrival of a report that covers `period`.
    pub(crate) fn record(&mut self, now: Time, period: Duration) {
        self.newest_at = now;
        self.first_at.get_or_insert(now);
        self.delay_s += (period.max(self.interval).seconds() - self.delay_s) * DELAY_WEIGHT;
    }

    pub(crate) fn interval(&self) -> Duration {
        self.interval
    }

    pub(crate) fn newest_at(&self) -> Time {
        self.newest_at
    }

    /// Returns the average delay of reports in seconds.
    pub(crate) fn delay_s(&self) -> f64 {
        self.delay_s
    }

    /// Returns the attempts and successes per second at the given hosts, for this controller's proxies.
    pub(crate) fn throughput<'a>(&self, hosts: impl Iterator<Item = &'a Host>) -> Throughput {
        // The decayed counts start at zero; this corrects for the time not yet covered.
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
