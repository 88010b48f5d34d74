//! Load evidence: whether the load reports show yet what the proxies of this controller bring to the hosts.
//!
//! A controller that has just started knows no load, and neither does one whose first proxies have just joined. Its
//! first reports come seconds later and cover a part of the attempts only.

use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Time after the first report until the reports cover enough attempts to measure the hosts' throughput.
const MEASURING_TIME: Duration = Duration::from_millis(3_000);
/// Minimum ratio of reported attempts to admitted requests for reports that stand for all proxies.
const MIN_REPORTED_FRACTION: f64 = 0.5;
/// Report intervals without any report after which none are expected: some deployments have no reports.
const MAX_SILENT_INTERVALS: f64 = 8.0;

/// How well the load of the fleet is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LoadEvidence {
    /// No reports yet, or only of a few attempts.
    Missing,
    /// Reports stand for most requests, but for too short a time to measure the throughput.
    Partial,
    /// Reports show the throughput of the fleet.
    Full,
}

/// Follows the evidence since this controller has had proxies.
pub(crate) struct LoadEvidenceTracker {
    /// When the first proxies joined.
    since: Time,
    /// When the first report since then arrived.
    first_report_at: Option<Time>,
}

impl LoadEvidenceTracker {
    /// Starts without evidence.
    pub(crate) fn new(now: Time) -> LoadEvidenceTracker {
        LoadEvidenceTracker {
            since: now,
            first_report_at: None,
        }
    }

    /// Records that a report has arrived.
    pub(crate) fn on_report(&mut self, now: Time) {
        self.first_report_at.get_or_insert(now);
    }

    /// Returns how well the load is known, where updates take effect after `update_delay`. `reported_fraction` is the
    /// ratio of reported attempts to admitted requests.
    pub(crate) fn evidence(
        &self,
        now: Time,
        update_delay: Duration,
        report_interval: Duration,
        reported_fraction: f64,
    ) -> LoadEvidence {
        let Some(first_report_at) = self.first_report_at else {
            let max_silence = report_interval.scaled(MAX_SILENT_INTERVALS);
            return if now - self.since < max_silence {
                LoadEvidence::Missing
            } else {
                LoadEvidence::Full
            };
        };
        if now - first_report_at >= MEASURING_TIME + update_delay {
            LoadEvidence::Full
        } else if reported_fraction >= MIN_REPORTED_FRACTION {
            LoadEvidence::Partial
        } else {
            LoadEvidence::Missing
        }
    }
}
