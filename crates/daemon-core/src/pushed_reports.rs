//! Reports that proxies and hosts push: who sends them, what of them counts, and how old it is. A proxy's pushed counters are
//! the same as those of `show stat`: each count is taken once, whichever way it arrives, and where pushes fall silent it is
//! read again.

use pondarch_controller::{DurationExt, Time};
use pondarch_load_ingestion::{Clocks, Order, Silence, Verdict, age};
use pondarch_load_report_protocol::{Body, Counted, Report, SenderIs};
use pondarch_runtime_api::stat::{AttemptTotals, RowType, StatRow};
use std::collections::BTreeMap;
use std::time::Duration;

/// Reports of one sender that may be under way: one that is taken, one that waits.
pub(crate) const REPORT_CREDIT: u32 = 3;
/// What a counter may rise by in a second: far beyond what a proxy can do.
const MAX_COUNT_RATE: f64 = 1e6;
/// The highest plausible utilization of all cores, and number of requests waiting.
const MAX_UTILIZATION: f64 = 1.5;
const MAX_QUEUE_LENGTH: f64 = 1e6;

/// A sender that has identified itself, on one connection.
#[derive(Debug)]
pub(crate) struct Sender {
    pub(crate) name: String,
    pub(crate) role: SenderIs,
    pub(crate) incarnation: u64,
}

/// What is known of a name over its connections.
#[derive(Debug, Default)]
pub(crate) struct SenderHistory {
    pub(crate) order: Order,
    pub(crate) clocks: Clocks,
    pub(crate) connection: u64,
    pub(crate) last_counts: BTreeMap<(String, Option<String>), (u64, u64)>,
    pub(crate) last_at: Time,
}

impl SenderHistory {
    fn bytes(&self) -> u64 {
        300 + self.last_counts.len() as u64 * 120
    }
}

/// What became of reports so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportCounters {
    pub(crate) received: u64,
    pub(crate) late: u64,
    pub(crate) duplicate: u64,
    pub(crate) missing: u64,
    pub(crate) restarted: u64,
    /// Too old to be evidence.
    pub(crate) stale: u64,
    /// Figures that cannot be.
    pub(crate) rejected: u64,
    pub(crate) clock_jumps: u64,
    pub(crate) unknown_senders: u64,
    /// Lines of hosts that are not listed.
    pub(crate) unlisted_hosts: u64,
    pub(crate) last_rejected: Option<String>,
}

/// A report that counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AcceptedReport {
    /// When it was sent, by the controller's clock, as far as that is known.
    pub(crate) sent_at: Option<Time>,
    /// Whether it is recent enough to be evidence.
    pub(crate) fresh: bool,
}

#[derive(Debug, Default)]
pub(crate) struct PushedReports {
    /// Whether there is anywhere to push to.
    pub(crate) enabled: bool,
    pub(crate) senders: BTreeMap<u64, Sender>,
    /// By name: those of the settings and of the list alone, so that it is bounded.
    pub(crate) histories: BTreeMap<String, SenderHistory>,
    pub(crate) silence: Silence,
    pub(crate) counters: ReportCounters,
}

impl PushedReports {
    pub(crate) fn new(on: bool) -> PushedReports {
        PushedReports {
            enabled: on,
            ..PushedReports::default()
        }
    }

    /// Senders that are connected.
    pub(crate) fn senders(&self) -> usize {
        self.senders.len()
    }

    /// Counts a report of this sender, and decides whether its contents count.
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
        match history.order.came(incarnation, report.number) {
            Verdict::Newest { missing } => counters.missing += missing,
            Verdict::Restarted => {
                counters.restarted += 1;
                history.last_counts.clear();
            }
            Verdict::Late => {
                counters.late += 1;
                return None;
            }
            Verdict::Doubled => {
                counters.duplicate += 1;
                return None;
            }
        }
        let echo = (report.word_us > 0).then(|| {
            (
                Time::from_micros(report.word_us),
                Duration::from_micros(report.had_us.min(86_400_000_000)),
            )
        });
        let mapped = history.clocks.came(now, report.sent_us, echo);
        if mapped.jumped {
            counters.clock_jumps += 1;
        }
        let sent_at = mapped.sent();
        let elapsed = sent_at
            .map_or(Duration::ZERO, |sent| sent - history.last_at)
            .max(Duration::from_millis(100));
        if let Some(implausible) = implausible_figure(&report.body, history, elapsed.seconds()) {
            counters.rejected += 1;
            counters.last_rejected = Some(format!("{name}: {implausible}"));
            return None;
        }
        history.last_at = sent_at.unwrap_or(history.last_at);
        // When it was sent is not known at all: it brings counters up to date, and is no evidence.
        let fresh = sent_at.is_some_and(|sent| now - sent < age::STALE);
        if !fresh {
            counters.stale += 1;
        }
        Some(AcceptedReport { sent_at, fresh })
    }

    /// What all of it takes, in bytes, roughly.
    pub(crate) fn bytes(&self) -> u64 {
        self.histories
            .values()
            .map(SenderHistory::bytes)
            .sum::<u64>()
            + self.senders.len() as u64 * 150
    }

    /// Gives up what figures are checked by until so many bytes are free, the largest first; gives of how many senders.
    pub(crate) fn drop_histories(&mut self, bytes: u64) -> u64 {
        let mut freed = 0;
        let mut times = 0;
        let mut largest: Vec<&mut SenderHistory> = self.histories.values_mut().collect();
        largest.sort_by_key(|known| std::cmp::Reverse(known.last_counts.len()));
        for known in largest {
            if freed >= bytes {
                break;
            }
            let before = known.bytes();
            known.last_counts.clear();
            freed += before - known.bytes();
            times += 1;
        }
        times
    }
}

pub(crate) fn row(of: Counted) -> StatRow {
    let sums = AttemptTotals {
        succeeded: of.done,
        failed: of.errored,
        succeeded_duration: Duration::from_micros(of.done_us),
    };
    StatRow {
        row_type: if of.server.is_some() {
            RowType::Server
        } else {
            RowType::Backend
        },
        backend: of.backend,
        server: of.server.unwrap_or_else(|| "BACKEND".into()),
        total_sessions: of.done.saturating_add(of.errored),
        requests: of.reqs,
        exact_totals: Some(sums),
        cpu_utilization: of.busy,
        queued_at_host: of.waiting,
        ..StatRow::default()
    }
}

/// The first figure that cannot be, if there is one: a report is taken whole or not at all.
fn implausible_figure(body: &Body, known: &mut SenderHistory, seconds: f64) -> Option<String> {
    let within = |what: &str, figure: Option<f64>, max: f64| {
        let implausible = figure.filter(|figure| !(0.0..=max).contains(figure))?;
        Some(format!("{what} of {implausible}"))
    };
    if let Some(own) = &body.own {
        let figures = [
            ("busy", own.busy, MAX_UTILIZATION),
            ("waiting", own.waiting, MAX_QUEUE_LENGTH),
            ("service_ms", own.service_ms, 3.6e6),
            ("rate", own.rate, MAX_COUNT_RATE),
            ("errored_rate", own.errored_rate, MAX_COUNT_RATE),
        ];
        if let Some(implausible) = figures
            .into_iter()
            .find_map(|(what, figure, max)| within(what, figure, max))
        {
            return Some(implausible);
        }
    }
    let mut last = BTreeMap::new();
    for of in &body.counted {
        let load = within("busy", of.busy, MAX_UTILIZATION)
            .or_else(|| within("waiting", of.waiting, MAX_QUEUE_LENGTH));
        let place = of.server.as_deref().unwrap_or("the backend");
        if let Some(implausible) = load {
            return Some(format!("{}/{place}: {implausible}", of.backend));
        }
        let key = (of.backend.clone(), of.server.clone());
        let now = (of.reqs, of.done.saturating_add(of.errored));
        if let Some(then) = known.last_counts.get(&key) {
            let more = now
                .0
                .saturating_sub(then.0)
                .max(now.1.saturating_sub(then.1));
            if more as f64 > MAX_COUNT_RATE * seconds {
                return Some(format!(
                    "{}/{place}: {more} reqs within {seconds:.1} s",
                    of.backend
                ));
            }
        }
        last.insert(key, now);
    }
    known.last_counts = last;
    None
}
