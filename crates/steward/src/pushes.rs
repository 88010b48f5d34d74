//! Reports that proxies and hosts push: who sends them, what of them counts, and how old it is. A proxy's pushed counters are
//! the same that `show stat` tells: whichever comes, each count is taken once, and where pushes fall silent it is read again.

use crate::course::Course;
use crate::wire::{Event, LoadTold, Output, micros};
use pondarch::types::{HostId, Met, ProxyId, Span, Time};
use pondarch_intake::{Clocks, Order, Silence, Verdict, age};
use pondarch_load_push::{Body, Counted, Report, SenderIs};
use pondarch_proxy_front::sums::Look;
use pondarch_runtime_api::stat::{RowType, StatRow, Sums};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Reports of one sender that may be under way: one that is taken, one that waits.
const CREDIT: u32 = 3;
/// What a counter may rise by in a second: far beyond what a proxy can do.
const COUNT_MOST: f64 = 1e6;
/// Busy part of all cores, and reqs waiting, that can be.
const BUSY_MOST: f64 = 1.5;
const WAITING_MOST: f64 = 1e6;

/// One that said who it is, on one connection.
#[derive(Debug)]
struct Sender {
    name: String,
    is: SenderIs,
    run: u64,
}

/// What is known of a name over its connections.
#[derive(Debug, Default)]
struct Known {
    order: Order,
    clocks: Clocks,
    conn: u64,
    last: BTreeMap<(String, Option<String>), (u64, u64)>,
    last_at: Time,
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
    senders: BTreeMap<u64, Sender>,
    /// By name: those of the settings and of the list alone, so that it is bounded.
    known: BTreeMap<String, Known>,
    pub(crate) silence: Silence,
    pub(crate) counts: Counts,
}

impl Pushes {
    pub(crate) fn new(on: bool) -> Pushes {
        Pushes { on, ..Pushes::default() }
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

impl Course {
    pub(crate) fn sender_came(&mut self, conn: u64, name: String, is: SenderIs, run: u64) {
        let refused = match is {
            SenderIs::Proxy if !self.peers.iter().any(|peer| peer.has_runtime() && peer.name == name) => {
                Some("no proxy of this steward has that name")
            }
            SenderIs::Host if !self.list.known.contains_key(&HostId(name.as_str().into())) => {
                Some("no host of the list has that name")
            }
            _ => None,
        };
        if let Some(why) = refused {
            self.pushes.counts.strangers += 1;
            return self.out.push_back(Output::RefuseSender { conn, why: why.into() });
        }
        // Whoever comes later under a name is it: the other is a connection that nobody has closed yet.
        let known = self.pushes.known.entry(name.clone()).or_default();
        let old = std::mem::replace(&mut known.conn, conn);
        if old != conn && self.pushes.senders.remove(&old).is_some() {
            self.out
                .push_back(Output::RefuseSender { conn: old, why: "another connection has the name".into() });
        }
        self.pushes.senders.insert(conn, Sender { name, is, run });
        let at_us = micros(self.now);
        self.out.push_back(Output::Credit { conn, more: CREDIT, at_us });
    }

    pub(crate) fn sender_left(&mut self, conn: u64) {
        self.pushes.senders.remove(&conn);
    }

    pub(crate) fn pushed(&mut self, conn: u64, mut report: Report) {
        let now = self.now;
        // Hosts that nobody listed are no evidence, and would be kept for nothing, however many a sender makes up.
        let hosts = &self.list.known;
        let listed = |of: &Counted| {
            of.server.as_ref().is_none_or(|host| hosts.contains_key(&HostId(host.as_str().into())))
        };
        let before = report.body.counted.len();
        report.body.counted.retain(listed);
        self.pushes.counts.unlisted += (before - report.body.counted.len()) as u64;
        let Some(Sender { name, is, run }) = self.pushes.senders.get(&conn) else { return };
        let (name, is, run) = (name.clone(), *is, *run);
        self.out.push_back(Output::Credit { conn, more: 1, at_us: micros(now) });
        let (known, counts) = (self.pushes.known.entry(name.clone()).or_default(), &mut self.pushes.counts);
        counts.taken += 1;
        match known.order.came(run, report.number) {
            Verdict::Newest { missing } => counts.missing += missing,
            Verdict::Restarted => {
                counts.restarted += 1;
                known.last.clear();
            }
            Verdict::Late => return counts.late += 1,
            Verdict::Doubled => return counts.doubled += 1,
        }
        let word = (report.word_us > 0).then(|| {
            (Time::from_micros(report.word_us), Span::from_micros(report.had_us.min(86_400_000_000)))
        });
        let mapped = known.clocks.came(now, report.sent_us, word);
        if mapped.jumped {
            counts.jumps += 1;
        }
        let sent = mapped.sent();
        let over = sent.map_or(Span::ZERO, |sent| sent - known.last_at).max(Span::from_millis(100));
        if let Some(odd) = odd(&report.body, known, over.secs()) {
            counts.odd += 1;
            counts.last_odd = Some(format!("{name}: {odd}"));
            return;
        }
        known.last_at = sent.unwrap_or(known.last_at);
        // When it was sent is not known at all: it brings counters up to date, and is no evidence.
        let fresh = sent.is_some_and(|sent| now - sent < age::STALE);
        if !fresh {
            counts.stale += 1;
        }
        match is {
            SenderIs::Host => {
                if let (Some(own), Some(sent), true) = (report.body.own, sent, fresh) {
                    let told = LoadTold {
                        busy: own.busy,
                        queue: own.waiting,
                        service_ms: own.service_ms,
                        rate: own.rate,
                        errored_rate: own.errored_rate,
                    };
                    self.loads.insert(HostId(name.as_str().into()), (sent, told));
                }
            }
            SenderIs::Proxy => self.proxy_pushed(&name, sent, fresh, report.body.counted),
        }
    }

    fn proxy_pushed(&mut self, name: &str, sent: Option<Time>, fresh: bool, counted: Vec<Counted>) {
        let now = self.now;
        let Some(peer) = self.peers.iter_mut().find(|peer| peer.name == name && peer.is_joined()) else {
            return;
        };
        let (id, at) = (peer.id, sent.unwrap_or(now));
        let rows: Vec<StatRow> = counted.into_iter().map(row).collect();
        let Some(look) = peer.session.counted(at, &rows) else { return };
        self.pushes.silence.heard(now, id);
        if fresh {
            self.looked(id, look, at);
        }
    }

    /// What a look at a proxy brought, by whichever way, as of then.
    pub(crate) fn looked(&mut self, id: ProxyId, look: Look, at: Time) {
        let now = self.now;
        for &(kind, many) in &look.reqs {
            self.steward.reqs_came(now, id, kind, many, look.over);
            self.reqs_asked(id.0, kind, many, look.over);
        }
        if let Some(weigher) = &mut self.weigher {
            weigher.looked(&look);
        }
        self.rounds.came(id.0, &look, age::counts(now - at, look.over), at);
        self.loads.extend(look.loads.into_iter().map(|(host, load)| (host, (at, LoadTold::of(&load)))));
    }

    /// Proxies whose counters come by pushes now; the others are asked.
    pub(crate) fn speaks(&self, id: ProxyId) -> bool {
        self.pushes.on && self.pushes.silence.speaks(self.now, self.report_every, id)
    }

    /// Hosts that are told of as not heard of through no fault of their own, with a line that says nothing.
    pub(crate) fn excused(&self) -> BTreeMap<HostId, Met> {
        if !self.pushes.on || self.pushes.silence.silent(self.now, self.report_every).is_empty() {
            return BTreeMap::new();
        }
        let meets = self.peers.iter().filter(|peer| peer.is_joined()).map(|peer| {
            let tables: BTreeSet<_> = peer.bound.values().collect();
            let books = tables.into_iter().filter_map(|table| self.books.books.get(table));
            (peer.id, books.flat_map(|book| book.dealt.keys().cloned()).collect::<BTreeSet<HostId>>())
        });
        let meets = meets.collect();
        let excused = self.pushes.silence.excused(self.now, self.report_every, &meets);
        let nothing = Met { over: self.report_every, ..Met::default() };
        excused.into_iter().map(|host| (host, nothing)).collect()
    }

    /// Says what was odd since the last time, if anything was: once a round, however much came.
    pub(crate) fn tell_odd(&mut self) {
        if let Some(wrong) = self.pushes.counts.last_odd.take() {
            let refused = self.pushes.counts.odd;
            self.tell(Event::ReportRefused { wrong, refused });
        }
    }
}

fn row(of: Counted) -> StatRow {
    let sums = Sums { done: of.done, errored: of.errored, done_time: Duration::from_micros(of.done_us) };
    StatRow {
        of: if of.server.is_some() { RowType::Server } else { RowType::Backend },
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
fn odd(body: &Body, known: &mut Known, seconds: f64) -> Option<String> {
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
        if let Some(odd) = figures.into_iter().find_map(|(what, figure, most)| within(what, figure, most)) {
            return Some(odd);
        }
    }
    let mut last = BTreeMap::new();
    for of in &body.counted {
        let load = within("busy", of.busy, BUSY_MOST).or_else(|| within("waiting", of.waiting, WAITING_MOST));
        let place = of.server.as_deref().unwrap_or("the backend");
        if let Some(odd) = load {
            return Some(format!("{}/{place}: {odd}", of.backend));
        }
        let key = (of.backend.clone(), of.server.clone());
        let now = (of.reqs, of.done.saturating_add(of.errored));
        if let Some(then) = known.last.get(&key) {
            let more = now.0.saturating_sub(then.0).max(now.1.saturating_sub(then.1));
            if more as f64 > COUNT_MOST * seconds {
                return Some(format!("{}/{place}: {more} reqs within {seconds:.1} s", of.backend));
            }
        }
        last.insert(key, now);
    }
    known.last = last;
    None
}
