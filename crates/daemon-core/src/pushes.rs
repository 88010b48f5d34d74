//! Reports that proxies and hosts push: who sends them, what of them counts, and how old it is. A proxy's pushed counters are
//! the same that `show stat` tells: whichever comes, each count is taken once, and where pushes fall silent it is read again.

use pondarch_controller::Time;
use pondarch_load_ingestion::{Clocks, Order, Silence};
use pondarch_load_report_protocol::{Body, Counted, SenderIs};
use pondarch_runtime_api::stat::{RowType, StatRow, Sums};
use std::collections::BTreeMap;
use std::time::Duration;

/// Reports of one sender that may be under way: one that is taken, one that waits.
pub(crate) const CREDIT: u32 = 3;
/// What a counter may rise by in a second: far beyond what a proxy can do.
const COUNT_MOST: f64 = 1e6;
/// Busy part of all cores, and reqs waiting, that can be.
const BUSY_MOST: f64 = 1.5;
const WAITING_MOST: f64 = 1e6;

/// One that said who it is, on one connection.
#[derive(Debug)]
pub(crate) struct Sender {
    pub(crate) name: String,
    pub(crate) is: SenderIs,
    pub(crate) run: u64,
}

/// What is known of a name over its connections.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub(crate) order: Order,
    pub(crate) clocks: Clocks,
    pub(crate) conn: u64,
    pub(crate) last: BTreeMap<(String, Option<String>), (u64, u64)>,
    pub(crate) last_at: Time,
}

impl Known {
    fn bytes(&self) -> u64 {
        300 + self.last.len() as u64 * 120
    }
}

/// What became of reports so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) taken: u64,
    pub(crate) late: u64,
    pub(crate) doubled: u64,
    pub(crate) missing: u64,
    pub(crate) restarted: u64,
    /// Too old to be evidence.
    pub(crate) stale: u64,
    /// Figures that cannot be.
    pub(crate) odd: u64,
    pub(crate) jumps: u64,
    pub(crate) strangers: u64,
    /// Lines of hosts that are not listed.
    pub(crate) unlisted: u64,
    pub(crate) last_odd: Option<String>,
}

#[derive(Debug, Default)]
pub(crate) struct Pushes {
    /// Whether there is anywhere to push to.
    pub(crate) on: bool,
    pub(crate) senders: BTreeMap<u64, Sender>,
    /// By name: those of the settings and of the list alone, so that it is bounded.
    pub(crate) known: BTreeMap<String, Known>,
    pub(crate) silence: Silence,
    pub(crate) counts: Counts,
}

impl Pushes {
    pub(crate) fn new(on: bool) -> Pushes {
        Pushes {
            on,
            ..Pushes::default()
        }
    }

    /// Senders that are connected.
    pub(crate) fn senders(&self) -> usize {
        self.senders.len()
    }

    /// What all of it takes, in bytes, roughly.
    pub(crate) fn bytes(&self) -> u64 {
        self.known.values().map(Known::bytes).sum::<u64>() + self.senders.len() as u64 * 150
    }

    /// Gives up what figures are checked by until so many bytes are free, the largest first; gives of how many senders.
    pub(crate) fn shed(&mut self, bytes: u64) -> u64 {
        let (mut freed, mut times) = (0, 0);
        let mut largest: Vec<&mut Known> = self.known.values_mut().collect();
        largest.sort_by_key(|known| std::cmp::Reverse(known.last.len()));
        for known in largest {
            if freed >= bytes {
                break;
            }
            let before = known.bytes();
            known.last.clear();
            (freed, times) = (freed + before - known.bytes(), times + 1);
        }
        times
    }
}

pub(crate) fn row(of: Counted) -> StatRow {
    let sums = Sums {
        done: of.done,
        errored: of.errored,
        done_time: Duration::from_micros(of.done_us),
    };
    StatRow {
        of: if of.server.is_some() {
            RowType::Server
        } else {
            RowType::Backend
        },
        backend: of.backend,
        server: of.server.unwrap_or_else(|| "BACKEND".into()),
        total: of.done.saturating_add(of.errored),
        reqs: of.reqs,
        sums: Some(sums),
        busy: of.busy,
        waiting: of.waiting,
        ..StatRow::default()
    }
}

/// The first figure that cannot be, if there is one: a report is taken whole or not at all.
pub(crate) fn odd(body: &Body, known: &mut Known, seconds: f64) -> Option<String> {
    let within = |what: &str, figure: Option<f64>, most: f64| {
        let odd = figure.filter(|figure| !(0.0..=most).contains(figure))?;
        Some(format!("{what} of {odd}"))
    };
    if let Some(own) = &body.own {
        let figures = [
            ("busy", own.busy, BUSY_MOST),
            ("waiting", own.waiting, WAITING_MOST),
            ("service_ms", own.service_ms, 3.6e6),
            ("rate", own.rate, COUNT_MOST),
            ("errored_rate", own.errored_rate, COUNT_MOST),
        ];
        if let Some(odd) = figures
            .into_iter()
            .find_map(|(what, figure, most)| within(what, figure, most))
        {
            return Some(odd);
        }
    }
    let mut last = BTreeMap::new();
    for of in &body.counted {
        let load = within("busy", of.busy, BUSY_MOST)
            .or_else(|| within("waiting", of.waiting, WAITING_MOST));
        let place = of.server.as_deref().unwrap_or("the backend");
        if let Some(odd) = load {
            return Some(format!("{}/{place}: {odd}", of.backend));
        }
        let key = (of.backend.clone(), of.server.clone());
        let now = (of.reqs, of.done.saturating_add(of.errored));
        if let Some(then) = known.last.get(&key) {
            let more = now
                .0
                .saturating_sub(then.0)
                .max(now.1.saturating_sub(then.1));
            if more as f64 > COUNT_MOST * seconds {
                return Some(format!(
                    "{}/{place}: {more} reqs within {seconds:.1} s",
                    of.backend
                ));
            }
        }
        last.insert(key, now);
    }
    known.last = last;
    None
}
