//! Reports in the course of things: what is pushed or read goes to a round, and each round to the module.

use crate::course::{Course, LOAD_PERIODS};
use crate::event::Event;
use crate::output::Output;
use crate::pushes::{CREDIT, Sender, odd, row};
use crate::reported_load::ReportedLoad;
use crate::round::Gathered;
use crate::time::micros;
use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostId, ProxyId, Time};
use pondarch_load_ingestion::{Candidate, Purpose, Verdict, age};
use pondarch_load_report_protocol::{Counted, Report, SenderIs};
use pondarch_proxy_session::sums::Look;
use pondarch_runtime_api::stat::StatRow;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl Course {
    pub(crate) fn sender_came(&mut self, conn: u64, name: String, is: SenderIs, run: u64) {
        let refused = match is {
            SenderIs::Proxy
                if !self
                    .peers
                    .iter()
                    .any(|peer| peer.has_runtime() && peer.name == name) =>
            {
                Some("no proxy of this steward has that name")
            }
            SenderIs::Host if !self.list.known.contains_key(&HostId(name.as_str().into())) => {
                Some("no host of the list has that name")
            }
            _ => None,
        };
        if let Some(why) = refused {
            self.pushes.counts.strangers += 1;
            return self.out.push_back(Output::RejectSender {
                connection: conn,
                reason: why.into(),
            });
        }
        // Whoever comes later under a name is it: the other is a connection that nobody has closed yet.
        let known = self.pushes.known.entry(name.clone()).or_default();
        let old = std::mem::replace(&mut known.conn, conn);
        if old != conn && self.pushes.senders.remove(&old).is_some() {
            self.out.push_back(Output::RejectSender {
                connection: old,
                reason: "another connection has the name".into(),
            });
        }
        self.pushes.senders.insert(conn, Sender { name, is, run });
        let at_us = micros(self.now);
        self.out.push_back(Output::GrantCredit {
            connection: conn,
            reports: CREDIT,
            at_us,
        });
    }

    pub(crate) fn sender_left(&mut self, conn: u64) {
        self.pushes.senders.remove(&conn);
    }

    pub(crate) fn pushed(&mut self, conn: u64, mut report: Report) {
        let now = self.now;
        // Hosts that nobody listed are no evidence, and would be kept for nothing, however many a sender makes up.
        let hosts = &self.list.known;
        let listed = |of: &Counted| {
            of.server
                .as_ref()
                .is_none_or(|host| hosts.contains_key(&HostId(host.as_str().into())))
        };
        let before = report.body.counted.len();
        report.body.counted.retain(listed);
        self.pushes.counts.unlisted += (before - report.body.counted.len()) as u64;
        let Some(Sender { name, is, run }) = self.pushes.senders.get(&conn) else {
            return;
        };
        let (name, is, run) = (name.clone(), *is, *run);
        self.out.push_back(Output::GrantCredit {
            connection: conn,
            reports: 1,
            at_us: micros(now),
        });
        let (known, counts) = (
            self.pushes.known.entry(name.clone()).or_default(),
            &mut self.pushes.counts,
        );
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
            (
                Time::from_micros(report.word_us),
                Duration::from_micros(report.had_us.min(86_400_000_000)),
            )
        });
        let mapped = known.clocks.came(now, report.sent_us, word);
        if mapped.jumped {
            counts.jumps += 1;
        }
        let sent = mapped.sent();
        let over = sent
            .map_or(Duration::ZERO, |sent| sent - known.last_at)
            .max(Duration::from_millis(100));
        if let Some(odd) = odd(&report.body, known, over.seconds()) {
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
                    let told = ReportedLoad {
                        utilization: own.busy,
                        queue_length: own.waiting,
                        service_time_ms: own.service_ms,
                        request_rate: own.rate,
                        failure_rate: own.errored_rate,
                    };
                    self.loads
                        .insert(HostId(name.as_str().into()), (sent, told));
                }
            }
            SenderIs::Proxy => self.proxy_pushed(&name, sent, fresh, report.body.counted),
        }
    }

    fn proxy_pushed(&mut self, name: &str, sent: Option<Time>, fresh: bool, counted: Vec<Counted>) {
        let now = self.now;
        let Some(peer) = self
            .peers
            .iter_mut()
            .find(|peer| peer.name == name && peer.is_joined())
        else {
            return;
        };
        let (id, at) = (peer.id, sent.unwrap_or(now));
        let rows: Vec<StatRow> = counted.into_iter().map(row).collect();
        let Some(look) = peer.session.counted(at, &rows) else {
            return;
        };
        self.pushes.silence.heard(now, id);
        if fresh {
            self.looked(id, look, at);
        }
    }

    /// What a look at a proxy brought, by whichever way, as of then.
    pub(crate) fn looked(&mut self, id: ProxyId, look: Look, at: Time) {
        let now = self.now;
        for &(kind, many) in &look.reqs {
            self.steward.record_arrivals(now, id, kind, many, look.over);
            self.reqs_asked(id.0, kind, many, look.over);
        }
        if let Some(weigher) = &mut self.weigher {
            weigher.looked(&look);
        }
        self.rounds
            .came(id.0, &look, age::counts(now - at, look.over), at);
        self.loads.extend(
            look.loads
                .into_iter()
                .map(|(host, load)| (host, (at, ReportedLoad::from_host_load(&load)))),
        );
    }

    /// Proxies whose counters come by pushes now; the others are asked.
    pub(crate) fn speaks(&self, id: ProxyId) -> bool {
        self.pushes.on && self.pushes.silence.speaks(self.now, self.report_every, id)
    }

    /// Hosts that are told of as not heard of through no fault of their own, with a line that says nothing.
    pub(crate) fn excused(&self) -> BTreeMap<HostId, AttemptOutcomes> {
        if !self.pushes.on
            || self
                .pushes
                .silence
                .silent(self.now, self.report_every)
                .is_empty()
        {
            return BTreeMap::new();
        }
        let meets = self
            .peers
            .iter()
            .filter(|peer| peer.is_joined())
            .map(|peer| {
                let tables: BTreeSet<_> = peer.bound.values().collect();
                let books = tables
                    .into_iter()
                    .filter_map(|table| self.books.books.get(table));
                (
                    peer.id,
                    books
                        .flat_map(|book| book.dealt.keys().cloned())
                        .collect::<BTreeSet<HostId>>(),
                )
            });
        let meets = meets.collect();
        let excused = self
            .pushes
            .silence
            .excused(self.now, self.report_every, &meets);
        let nothing = AttemptOutcomes {
            period: self.report_every,
            ..AttemptOutcomes::default()
        };
        excused.into_iter().map(|host| (host, nothing)).collect()
    }

    /// Says what was odd since the last time, if anything was: once a round, however much came.
    pub(crate) fn tell_odd(&mut self) {
        if let Some(wrong) = self.pushes.counts.last_odd.take() {
            let refused = self.pushes.counts.odd;
            self.tell(Event::ReportRejected {
                error: wrong,
                rejected_total: refused,
            });
        }
    }

    /// A round is over: its lines go to the module, within the budget, each with how old it is.
    pub(crate) fn tell_round(&mut self, gathered: BTreeMap<HostId, Gathered>) {
        let (now, every) = (self.now, self.report_every);
        let stale = gathered
            .iter()
            .filter(|(_, of)| now - of.at >= age::STALE)
            .count();
        let mut gathered: Vec<(HostId, Gathered)> = gathered
            .into_iter()
            .filter(|(_, of)| now - of.at < age::STALE)
            .collect();
        let budget = self.lines_per_second.map_or(usize::MAX, |lines| {
            (lines * every.seconds()).max(1.0) as usize
        });
        let mut kept = 0;
        if gathered.len() > budget {
            let candidates: Vec<Candidate> = gathered
                .iter()
                .map(|(host, of)| self.candidate(host, of))
                .collect();
            let chosen = self.choice.among(now, every, &candidates, budget);
            let mut n = 0;
            let told = |_: &mut (HostId, Gathered)| {
                n += 1;
                chosen.binary_search(&(n - 1)).is_err()
            };
            let rest: Vec<_> = gathered.extract_if(.., told).collect();
            kept = rest.len();
            let fades = age::faded(every);
            for (host, of) in rest {
                let met = AttemptOutcomes {
                    attempts: of.met.attempts * fades,
                    failures: of.met.failures * fades,
                    ..of.met
                };
                let met = AttemptOutcomes {
                    period: met.period + every,
                    ..met
                };
                self.rounds.keep(host, Gathered { met, ..of });
            }
        }
        let oldest = gathered
            .iter()
            .map(|(_, of)| now - of.at)
            .max()
            .unwrap_or(Duration::ZERO);
        let mut lines: BTreeMap<HostId, AttemptOutcomes> = gathered
            .into_iter()
            .map(|(host, of)| (host, of.met))
            .collect();
        for (host, met) in self.told_of_themselves().into_iter().chain(self.excused()) {
            lines.entry(host).or_insert(met);
        }
        if !lines.is_empty() || kept > 0 {
            let (hosts, oldest_us) = (lines.len(), oldest.micros());
            self.out.push_back(Output::LoadReportsApplied {
                hosts,
                deferred: kept,
                oldest_us,
                dropped: stale,
            });
        }
        let fresh = self
            .load_every
            .unwrap_or(Duration::ZERO)
            .max(every)
            .scaled(LOAD_PERIODS);
        for (host, met) in lines {
            let load = self.loads.get(&host).filter(|(at, _)| now - *at <= fresh);
            let load = load.map(|(_, told)| told.host_load());
            let met = AttemptOutcomes { load, ..met };
            self.steward.record_outcomes(now, &host, met);
            self.told_at.insert(host.clone(), now);
            self.met.insert(host, met);
        }
        self.round_closed(fresh);
        self.tell_odd();
        let reports = self.rounds.bytes() + self.pushes.bytes() + self.loads.len() as u64 * 150;
        if !self.account.takes(Purpose::Reports, reports) {
            let times = self.pushes.shed(reports - Purpose::Reports.cap());
            self.account.capped(Purpose::Reports, times);
        }
        let tables = self.books.bytes()
            + self
                .peers
                .iter()
                .map(|peer| peer.session.bytes())
                .sum::<u64>();
        if !self.account.takes(Purpose::Tables, tables) {
            let used = self
                .peers
                .iter()
                .flat_map(|peer| peer.bound.values().copied())
                .collect();
            let times = self.books.shed(&used);
            self.account.capped(Purpose::Tables, times);
        }
    }

    fn candidate(&self, host: &HostId, of: &Gathered) -> Candidate {
        Candidate {
            host: host.clone(),
            told: self.told_at.get(host).copied().unwrap_or_default(),
            tries: of.met.attempts,
            errored: of.met.failures,
            changing: self.list.is_cold(host, self.now) || self.list.must_go(host),
        }
    }
}
