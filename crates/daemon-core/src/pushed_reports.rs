//! Reports that proxies and hosts push: their senders, which reports are accepted, and how old they are. The counters
//! that a proxy pushes are those of `show stat`: each difference is counted once, whichever way it arrives, and when a
//! proxy stops pushing, its counters are read again.

use pondarch_controller::{DurationExt, Time};
use pondarch_load_ingestion::{Arrival, ClockOffset, ReportSequence, ReporterLiveness, decay};
use pondarch_load_report_protocol::{ProxyCounters, Report, ReportBody, SenderRole};
use pondarch_runtime_api::stat::{AttemptTotals, RowType, StatRow};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of reports of one sender that may be in flight: while one is applied, others may wait.
pub(crate) const REPORT_CREDIT: u32 = 3;
/// Maximum plausible rise of a counter per second, far above what a proxy can do.
const MAX_COUNT_RATE: f64 = 1e6;
/// Maximum plausible utilization of all cores.
const MAX_UTILIZATION: f64 = 1.5;
/// Maximum plausible number of waiting requests.
const MAX_QUEUE_LENGTH: f64 = 1e6;

/// A sender that has identified itself, on one connection.
#[derive(Debug)]
pub(crate) struct Sender {
    pub(crate) name: String,
    pub(crate) role: SenderRole,
    pub(crate) incarnation: u64,
}

/// What is known of a sender across its connections.
#[derive(Debug, Default)]
pub(crate) struct SenderHistory {
    pub(crate) sequence: ReportSequence,
    pub(crate) clock_offset: ClockOffset,
    /// The latest connection under this name.
    pub(crate) connection: u64,
    /// Requests, and attempts that ended, by backend and server, as of the latest accepted report.
    pub(crate) last_counts: BTreeMap<(String, Option<String>), (u64, u64)>,
    /// When the latest accepted report was sent.
    pub(crate) last_at: Time,
}

impl SenderHistory {
    fn bytes(&self) -> u64 {
        300 + self.last_counts.len() as u64 * 120
    }
}

/// Counters of received reports, by what became of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportCounters {
    pub(crate) received: u64,
    pub(crate) late: u64,
    pub(crate) duplicate: u64,
    pub(crate) missing: u64,
    pub(crate) restarted: u64,
    /// Reports too old for their figures to be used.
    pub(crate) stale: u64,
    /// Reports with implausible figures.
    pub(crate) rejected: u64,
    pub(crate) clock_jumps: u64,
    pub(crate) unknown_senders: u64,
    /// Rows of hosts that are not listed.
    pub(crate) unlisted_hosts: u64,
    /// The latest rejected report that was not logged yet: its sender and figure.
    pub(crate) last_rejected: Option<String>,
}

/// A report that was accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptedReport {
    /// When it was sent, by the controller's clock; none: not known.
    pub(crate) sent_at: Option<Time>,
    /// Whether it is recent enough for its figures to be used.
    pub(crate) fresh: bool,
}

#[derive(Debug, Default)]
pub(crate) struct PushedReports {
    /// Whether the settings have a socket for pushed reports.
    pub(crate) enabled: bool,
    /// Connected senders, by connection.
    pub(crate) senders: BTreeMap<u64, Sender>,
    /// By name of the sender. Bounded, as only names of the settings and of the endpoint list are accepted.
    pub(crate) histories: BTreeMap<String, SenderHistory>,
    pub(crate) liveness: ReporterLiveness,
    pub(crate) counters: ReportCounters,
}

impl PushedReports {
    pub(crate) fn new(enabled: bool) -> PushedReports {
        PushedReports {
            enabled,
            ..PushedReports::default()
        }
    }

    /// Number of connected senders.
    pub(crate) fn sender_count(&self) -> usize {
        self.senders.len()
    }

    /// Counts a report of this sender, and returns whether and how it is accepted.
    pub(crate) fn accept(
        &mut self,
        now: Time,
        name: &str,
        incarnation: u64,
        report: &Report,
    ) -> Option<AcceptedReport> {
        let history = self.histories.entry(name.to_string()).or_default();
        let counters = &mut self.counters;
        counters.received += 1;
        match history.sequence.on_report(incarnation, report.number) {
            Arrival::Newest { missing } => counters.missing += missing,
            Arrival::Restarted => {
                counters.restarted += 1;
                history.last_counts.clear();
            }
            Arrival::Late => {
                counters.late += 1;
                return None;
            }
            Arrival::Duplicate => {
                counters.duplicate += 1;
                return None;
            }
        }
        let echo = (report.echo_us > 0).then(|| {
            (
                Time::from_micros(report.echo_us),
                Duration::from_micros(report.echo_delay_us.min(86_400_000_000)),
            )
        });
        let send_time = history.clock_offset.on_report(now, report.sent_us, echo);
        if send_time.clock_jumped {
            counters.clock_jumps += 1;
        }
        let sent_at = send_time.sent_at();
        let elapsed = sent_at
            .map_or(Duration::ZERO, |sent| sent - history.last_at)
            .max(Duration::from_millis(100));
        if let Some(implausible) = implausible_figure(&report.body, history, elapsed.seconds()) {
            counters.rejected += 1;
            counters.last_rejected = Some(format!("{name}: {implausible}"));
            return None;
        }
        history.last_at = sent_at.unwrap_or(history.last_at);
        // A report whose time of sending is not known counts as stale: it only updates the counters.
        let fresh = sent_at.is_some_and(|sent| now - sent < decay::MAX_AGE);
        if !fresh {
            counters.stale += 1;
        }
        Some(AcceptedReport { sent_at, fresh })
    }

    /// Estimated memory, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.histories
            .values()
            .map(SenderHistory::bytes)
            .sum::<u64>()
            + self.senders.len() as u64 * 150
    }

    /// Drops the counters that figures are checked against, largest first, until this many bytes are free; returns the
    /// number of senders whose counters were dropped.
    pub(crate) fn drop_histories(&mut self, bytes: u64) -> u64 {
        let mut freed = 0;
        let mut dropped = 0;
        let mut largest: Vec<&mut SenderHistory> = self.histories.values_mut().collect();
        largest.sort_by_key(|history| std::cmp::Reverse(history.last_counts.len()));
        for history in largest {
            if freed >= bytes {
                break;
            }
            let before = history.bytes();
            history.last_counts.clear();
            freed += before - history.bytes();
            dropped += 1;
        }
        dropped
    }
}

/// The row of `show stat` that has these counters.
pub(crate) fn stat_row(counted: ProxyCounters) -> StatRow {
    let sums = AttemptTotals {
        succeeded: counted.succeeded,
        failed: counted.failed,
        succeeded_duration: Duration::from_micros(counted.success_time_us),
    };
    StatRow {
        row_type: if counted.server.is_some() {
            RowType::Server
        } else {
            RowType::Backend
        },
        backend: counted.backend,
        server: counted.server.unwrap_or_else(|| "BACKEND".into()),
        total_sessions: counted.succeeded.saturating_add(counted.failed),
        requests: counted.requests,
        exact_totals: Some(sums),
        cpu_utilization: counted.utilization,
        queued_at_host: counted.queue_length,
        ..StatRow::default()
    }
}

/// The first implausible figure of a report, if there is one: a report is accepted whole or not at all. `elapsed_s` is
/// the time since the previous report.
fn implausible_figure(
    body: &ReportBody,
    history: &mut SenderHistory,
    elapsed_s: f64,
) -> Option<String> {
    let check = |name: &str, figure: Option<f64>, max: f64| {
        let implausible = figure.filter(|figure| !(0.0..=max).contains(figure))?;
        Some(format!("{name} of {implausible}"))
    };
    if let Some(own) = &body.host_metrics {
        let figures = [
            ("busy", own.utilization, MAX_UTILIZATION),
            ("waiting", own.queue_length, MAX_QUEUE_LENGTH),
            ("service_ms", own.service_time_ms, 3.6e6),
            ("rate", own.request_rate, MAX_COUNT_RATE),
            ("errored_rate", own.failure_rate, MAX_COUNT_RATE),
        ];
        if let Some(implausible) = figures
            .into_iter()
            .find_map(|(name, figure, max)| check(name, figure, max))
        {
            return Some(implausible);
        }
    }
    let mut counts = BTreeMap::new();
    for counted in &body.counters {
        let load = check("busy", counted.utilization, MAX_UTILIZATION)
            .or_else(|| check("waiting", counted.queue_length, MAX_QUEUE_LENGTH));
        let place = counted.server.as_deref().unwrap_or("the backend");
        if let Some(implausible) = load {
            return Some(format!("{}/{place}: {implausible}", counted.backend));
        }
        let key = (counted.backend.clone(), counted.server.clone());
        let current = (
            counted.requests,
            counted.succeeded.saturating_add(counted.failed),
        );
        if let Some(previous) = history.last_counts.get(&key) {
            let increase = current
                .0
                .saturating_sub(previous.0)
                .max(current.1.saturating_sub(previous.1));
            if increase as f64 > MAX_COUNT_RATE * elapsed_s {
                return Some(format!(
                    "{}/{place}: {increase} reqs within {elapsed_s:.1} s",
                    counted.backend
                ));
            }
        }
        counts.insert(key, current);
    }
    history.last_counts = counts;
    None
}
