//! Every decision of a steward: which hosts stand in which shuffle-shard table, which proxy uses which table,
//! whom to keep away from, how much to let in, and when to say so.
//!
//! How it is called: `Steward::open` with a `JobTicket`; then input methods (`list_*`, `proxy_*`, `met`,
//! `reqs_came`, `probe_answered`, `carried_out`, `woke`) that only note what is known; after each round of
//! them `next` until it gives `None`. The types of both directions are in `types.rs`; it knows no wire.

mod channel;
mod glance;

use crate::types::*;
use channel::{Channel, UpdateReason};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

// ---- Constants: unit, and why this size ---------------------------------------------------------------

/// The design's bounds: proxies a table needs; hosts in it; hosts two share; tables a host stands in at most.
/// Places that a table must find, its stand-ins too; times over that more tables than before must.
const PROXIES_PER_TABLE: u64 = 5;
const TABLE_LEAST: usize = 4;
const OVERLAP_MOST: usize = 2;
const TABLE_MOST: usize = 2;
const TABLE_ROOM: usize = 7;
const RISE_ROOM: usize = 2;
/// Tables among which a host's hash lets it choose: more is evener, fewer moves less.
const CHOICES: usize = 4;
/// Usage per weight, in parts of the mean: clearly the busiest table (connections are worth less); what one
/// in the proxy's zone may have more (a crossing costs a little, a jam a lot); one that borrows hosts.
const CLEARLY_BUSIEST: f64 = 1.25;
const ZONE_PULL: f64 = 0.5;
const HEAVY: f64 = 1.15;
/// Rounds in which weights settle between tables; least part and pressure, which keep connections warm.
const SETTLE_ROUNDS: usize = 12;
const LEAST_PART: f64 = 0.05;
/// Time between two looks (a part of a report period); that differences gather (the design's); in a jam.
const BEAT: Span = Span::from_millis(250);
const GATHER: Span = Span::from_millis(1_000);
const HURRY: Span = Span::from_millis(200);
/// Parts of the message cap for ordinary and hurried pushes; messages for drains alone: no drain may wait.
const ORDINARY_PART: f64 = 0.75;
const JAM_PART: f64 = 0.8;
const DRAIN_RESERVE: usize = 2;
/// Part by which a weight is off before it is sent (less is not noticed); multiple of its due: a hazard.
const LINE_STEP: f64 = 0.1;
const HAZARD: f64 = 1.5;
/// What one line of sums says of the lag of all (large fleets get theirs in turns); time in which tries lose
/// half their say; over which load, reqs and answer times are averaged: a few of the noisy sums, yet a cut of
/// levels shows soon; reqs a second of each kind taken for certain, so that usual rates can be split by them.
const LAG_SAY: f64 = 0.02;
const TALLY_HALF: Span = Span::from_millis(2_000);
const LOAD_OVER: Span = Span::from_millis(3_000);
const RATE_OVER: Span = Span::from_millis(5_000);
const LEAST_RATE: f64 = 1e-3;
const TIME_OVER: Span = Span::from_millis(1_200);
/// Tries before a host is judged, lest a stray failure decides; part of the room above the fleet's median
/// share of failures from which it is kept away from: what merely limps is eased.
const TRIES_LEAST: f64 = 2.0;
const FAILING_OVER: f64 = 0.6;
/// Ended tries expected of a host, none of which came, that make it silent (e^-7 is no chance), after this
/// many times the lag; lags for which a host's sums count as evidence of strain; as a sign of life.
const SILENT_TRIES: f64 = 7.0;
const SILENT_LAGS: f64 = 2.0;
const FRESH_LAGS: f64 = 3.0;
const ALIVE_LAGS: f64 = 4.0;
/// Time after which a host that is gone, and stands in no table, is forgotten: late sums have come by then.
const FORGET: Span = Span::from_millis(30_000);
/// Part of the time within which a list on request must be asked for anew after a failure.
const ASK_PART: f64 = 0.3;
/// Part of the open hosts that health may keep away from at most: the rest must carry the day.
const OUT_MOST: f64 = 0.25;
/// Wait before a failed host is tried again (a few sums), times that it doubles (to 12 s) and one more, and
/// twice it on trial, at this part of its weight; reqs waiting, over twice the median, that make a probe's
/// good answer count for nothing; part of its work from which a member needs no stand-in.
const BACK: Span = Span::from_millis(1_500);
const OUTS_MOST: u32 = 4;
const TRIAL_PART: f64 = 0.2;
const QUEUE_OVER: f64 = 4.0;
const STAND_IN_UNTIL: f64 = 0.5;
/// What a waiting req adds to a load, in parts of all cores busy; multiple of the median load that is eased;
/// most of the weight that this takes; steps per second: down faster, as queues feed themselves.
const QUEUE_SAY: f64 = 0.1;
const LOADED: f64 = 1.3;
const EASE_MOST: f64 = 0.85;
const EASE_DOWN: f64 = 0.9;
const EASE_UP: f64 = 1.05;
/// The fleet is strained when its median host's answers take this share of the mean response target on
/// average (the slower ones then miss it), or this share of its tries fails; relaxed under this strain; long
/// answers count only while this many reqs wait at the mean host.
const STRAINED_TIME: f64 = 0.36;
const STRAINED_FAILING: f64 = 0.3;
const RELAXED: f64 = 0.6;
const QUEUED: f64 = 0.2;
/// Times that strain is raised at most for hosts that went since the sums: lists can be wrong.
const MISSING_MOST: f64 = 2.0;
/// Under strain what is let in is cut to this part of itself, or of the most ever done; wait until that
/// shows; rise per second, in parts of the most ever done: fast while relaxed.
const CUT: f64 = 0.8;
const CUT_WAIT: Span = Span::from_millis(3_000);
const RISE_FAST: f64 = 0.06;
const RISE_SLOW: f64 = 0.02;
/// Least share of the kind of highest benefit that is let in, and the step in which shares are sent.
const LEVEL_LEAST: f64 = 0.5;
const LEVEL_STEP: f64 = 0.05;
/// Load per working part that a cold host may get, in parts of the most ever done per weight (it falls over
/// at twice its capacity or more); share of its table's tries that work, under which it waits, if this part
/// of the table is warm: a few warm hosts alone would jam for sure.
const COLD_LOAD: f64 = 1.5;
const COLD_CALM: f64 = 0.85;
const WARM_PART: f64 = 0.5;

#[derive(Default)]
pub struct Steward {
    ready: Makeready,
    chance: fastrand::Rng,
    now: Time,
    version: Option<u64>,
    hosts: Vec<Host>,
    place_of: BTreeMap<HostId, usize>,
    proxies: BTreeMap<ProxyId, Proxy>,
    boards: Vec<Board>,
    listed: Vec<usize>,
    drawn: Vec<Table>,
    first_line: Option<Time>,
    newest_line: Time,
    newest_reqs: Time,
    faded_at: Time,
    lag: f64,
    levels: Vec<f64>,
    let_in: Option<f64>,
    planned: Option<f64>,
    strain: f64,
    able: f64,
    missing: f64,
    peak_per_weight: f64,
    cut_at: Time,
    list_changed: bool,
    urgent: bool,
    woken: bool,
    last_beat: Time,
    follow_at: Option<Time>,
    channel: Channel,
    news: bool,
    out: VecDeque<Ruling>,
}

impl Steward {
    pub fn open(ticket: JobTicket, seed: u64, now: Time) -> Steward {
        // Proof that the first try never ran makes a further one safe for every kind. After other failures
        // even replayable kinds gain nothing: the wait for it cuts slow answers short, and it feeds jams.
        let told = (ticket.base_tries == Some(Tries::AgainIfNeverRun)).then_some(1.0);
        let (kinds, proxies, must_ask) = (ticket.kinds.len(), ticket.proxies, ticket.must_ask);
        let ask_within = ticket.ask_within;
        let mut chance = fastrand::Rng::with_seed(seed);
        // A steward that starts anew is not to take answers to its former marks for its own.
        let channel = Channel::new(&ticket, now, MarkId(chance.u16(..)));
        let mut ready = Makeready::from_ticket(ticket);
        ready.shared_tables = (proxies.saturating_sub(1) / PROXIES_PER_TABLE).max(1) as usize;
        ready.gather = GATHER.max(ready.window.times(1.0 / (ready.cap as f64 * ORDINARY_PART).max(1.0)));
        ready.report_every = ready.report_every.max(BEAT);
        ready.ask_again = must_ask.then(|| ask_within.times(ASK_PART).max(GATHER));
        let board = Board { levels_sent: vec![told; kinds], ..Board::default() };
        Steward {
            chance,
            channel,
            levels: vec![1.0; kinds],
            boards: vec![board; ready.all_tables()],
            lag: ready.report_every.secs(),
            last_beat: now,
            faded_at: now,
            woken: true,
            news: true,
            follow_at: ready.ask_again.map(|_| now),
            ready,
            ..Steward::default()
        }
    }

    // ---- Bookkeeping: inputs only update what is known ------------------------------------------------

    /// The list or changes to it. On a complete list, whoever is missing is gone.
    pub fn list_came(&mut self, now: Time, version: u64, complete: bool, entries: Vec<Listing>) {
        // Changes older than the list are none. A complete list counts: another source numbers otherwise.
        if !complete && self.version.is_some_and(|held| version < held) {
            return;
        }
        (self.now, self.news, self.list_changed, self.version) = (now, true, true, Some(version));
        if complete {
            let on_it: BTreeSet<&HostId> = entries.iter().map(|entry| &entry.host).collect();
            for host in self.hosts.iter_mut().filter(|host| !on_it.contains(&host.id)) {
                host.standing = Standing::Gone;
            }
        }
        for entry in entries {
            let (id, known) = (entry.host, self.hosts.len());
            let place = *self.place_of.entry(id.clone()).or_insert(known);
            if place == known {
                let luck = id.0.bytes().fold(0, |hash, byte| scramble(hash ^ u64::from(byte)));
                self.hosts.push(Host { id, luck, standing: Standing::Gone, ..Host::default() });
            }
            let host = &mut self.hosts[place];
            // A new start time is a cold start, even of a host that was never announced as out.
            if entry.started != host.started || host.standing == Standing::Gone {
                let Host { id, luck, places, .. } = std::mem::take(host);
                *host = Host { id, luck, places, heard: now, in_use_since: now, ..Host::default() };
            }
            (host.zone, host.machine, host.started) = (entry.zone, entry.machine, entry.started);
            host.weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
            host.standing = entry.standing;
            host.drained |= entry.standing == Standing::Draining;
        }
        // What a table holds may now be gone or cold: that waits for no beat. More hosts do.
        let ready = &self.ready;
        let in_use = |h: &Host| h.places.iter().any(|p| p.sent > 0.0 && self.boards[p.table].bound > 0);
        let lost = |h: &Host| in_use(h) && (!ready.open(h, now) || ready.ramp(h, now) < 1.0);
        self.urgent |= !self.hosts.iter().any(in_use) || self.hosts.iter().any(lost);
    }

    /// The list's service failed us: the old list holds, and we ask again.
    pub fn list_failed(&mut self, now: Time) {
        (self.now, self.news) = (now, true);
        self.follow_at = self.ready.ask_again.map(|again| now + again);
    }

    pub fn proxy_joined(&mut self, now: Time, proxy: ProxyId, fresh: bool, usual: f64, zone: ZoneId) {
        self.proxy_left(now, proxy);
        let usual = if usual.is_finite() && usual > 0.0 { usual } else { 0.0 };
        // Until its reqs are heard of, it is taken to have its usual ones, of the kinds that others have.
        let of_kind = |k: usize| self.proxies.values().map(|p| p.rates[k]).sum::<f64>() + LEAST_RATE;
        let came: Vec<f64> = (0..self.levels.len()).map(of_kind).collect();
        let all: f64 = came.iter().sum();
        let rates = came.iter().map(|rate| usual * rate / all).collect();
        let before = self.demand();
        self.proxies.insert(proxy, Proxy { zone, rates, fresh, bind_from: now, ..Proxy::default() });
        self.joined_changed(before);
    }

    /// What is let in, and the most ever done, were of the proxies joined then. Held fast while those of a
    /// steward that restarts come over, they would have twice the reqs refused.
    fn joined_changed(&mut self, before: f64) {
        let part = self.demand() / before;
        if part.is_normal() {
            self.let_in = self.let_in.map(|let_in| let_in * part);
            self.peak_per_weight *= part;
        } else {
            (self.let_in, self.peak_per_weight) = (None, 0.0);
        }
    }

    /// Reqs a second of our proxies.
    fn demand(&self) -> f64 {
        self.proxies.values().map(Proxy::rate).sum()
    }

    /// It is joined, but may have been away unseen: what it was bound to may not stand.
    pub fn proxy_unsure(&mut self, now: Time, proxy: ProxyId) {
        (self.now, self.news) = (now, true);
        self.proxies.entry(proxy).and_modify(|p| p.unsure = true);
    }

    /// What became of decisions that were carried out together. What may not stand is decided anew: at once
    /// if some went through, else with the next beat, lest orders that nobody takes run in circles.
    pub fn carried_out(&mut self, now: Time, orders: &[Ruling], outcome: Outcome) {
        self.now = now;
        self.channel.orders_ended(orders.len(), outcome);
        let (stood, refused) = match outcome {
            Outcome::Taken => (orders.len(), None),
            Outcome::Stopped(stood) => (stood.min(orders.len()), orders.get(stood)),
            Outcome::NotTaken | Outcome::Unknown => (0, None),
        };
        let rest = &orders[stood + usize::from(refused.is_some())..];
        let went_on = stood > 0 || refused.is_some();
        self.news |= went_on;
        self.urgent |= !rest.is_empty() && went_on;
        // A proxy that cannot be bound has most likely left, and we shall hear of it.
        if let Some(Ruling::Bind { proxy, .. }) = refused {
            self.proxies.entry(*proxy).and_modify(|p| (p.unsure, p.bind_from) = (true, now + BACK));
        }
        for order in rest {
            match order {
                Ruling::Deal { table, host, .. } => {
                    let host = self.place_of.get(host).map(|&place| &mut self.hosts[place]);
                    host.into_iter().for_each(|host| host.place(table.0 as usize).unsure = true);
                }
                Ruling::Bind { proxy, .. } => {
                    let from = if went_on { now } else { now + HURRY };
                    self.proxies.entry(*proxy).and_modify(|p| (p.unsure, p.bind_from) = (true, from));
                }
                Ruling::Level { table, kind, .. } => {
                    self.boards[table.0 as usize].levels_sent[kind.0 as usize] = None;
                }
                Ruling::Mark(_) | Ruling::Probe(_) | Ruling::FollowList | Ruling::WakeIn(_) => {}
            }
        }
    }

    pub fn proxy_left(&mut self, now: Time, proxy: ProxyId) {
        (self.now, self.news) = (now, true);
        let before = self.demand();
        let Some(left) = self.proxies.remove(&proxy) else { return };
        self.joined_changed(before);
        if let Some((table, zone)) = left.table.map(|table| (table, left.zone)) {
            self.ready.tables_of(table, zone).for_each(|t| self.boards[t].bound -= 1);
        }
    }

    /// What proxies met at a host. It says nothing of hosts it does not name.
    pub fn met(&mut self, now: Time, host: &HostId, met: Met) {
        self.now = now;
        let Some(&place) = self.place_of.get(host) else { return };
        let host = &mut self.hosts[place];
        let fade = (now - host.heard).half_life(TALLY_HALF);
        let since = (now - host.heard).max(self.ready.report_every);
        host.tries = host.tries * fade + met.tries;
        host.errored = host.errored * fade + met.errored.min(met.tries);
        if met.tries > met.errored && met.mean_time > Span::ZERO {
            host.time = mix(host.time, met.mean_time.secs(), since.say_in(TIME_OVER));
        }
        host.heard = now;
        self.newest_line = now;
        self.first_line.get_or_insert(now);
        self.lag += (met.over.max(self.ready.report_every).secs() - self.lag) * LAG_SAY;
        host.queue = met.load.and_then(|l| l.queue).or(host.queue);
        if let Some(busy) = met.load.and_then(|l| l.busy) {
            let load = busy + QUEUE_SAY * host.queue.unwrap_or(0.0);
            host.busy = Some(mix(host.busy.unwrap_or(0.0), load, since.say_in(LOAD_OVER)));
        }
    }

    pub fn reqs_came(&mut self, now: Time, proxy: ProxyId, kind: KindId, many: f64, over: Span) {
        self.now = now;
        let rate = self.proxies.get_mut(&proxy).filter(|_| many > 0.0).and_then(|p| p.rate_of(kind));
        if let Some(rate) = rate.filter(|_| over > Span::ZERO && many.is_finite()) {
            *rate += many / RATE_OVER.secs();
            self.newest_reqs = now;
        }
    }

    pub fn probe_answered(&mut self, now: Time, host: &HostId, good: bool, load: Option<Load>) {
        self.now = now;
        let Some(&place) = self.place_of.get(host) else { return };
        // A shallow probe is answered beside the queue: a host that piles up reqs is no better for it.
        let usual = median(self.hosts.iter().filter_map(|h| h.queue)).unwrap_or(0.0);
        let light = load.and_then(|l| l.queue).is_none_or(|q| q <= usual * 2.0 + QUEUE_OVER);
        if good && light && self.hosts[place].out_until.is_some() {
            self.hosts[place].start_trial(now);
        }
    }

    /// A proxy has applied a message that carried this mark.
    pub fn mark_applied(&mut self, now: Time, mark: MarkId) {
        self.channel.mark_applied(now, mark);
    }

    /// The part of all reqs that a plan says the fleet can do in time; none: no plan is in force. While
    /// nothing is strained, what is let in rises fast up to there. It cuts nothing; strain goes before it.
    pub fn plan_came(&mut self, now: Time, part: Option<f64>) {
        (self.now, self.planned) = (now, part.filter(|part| (0.0..=1.0).contains(part)));
    }

    pub fn woke(&mut self, now: Time) {
        (self.now, self.news, self.woken) = (now, true, true);
    }

    // ---- Deciding -------------------------------------------------------------------------------------

    /// The next decision, or none until something new is known.
    pub fn next(&mut self, now: Time) -> Option<Ruling> {
        self.now = now;
        if std::mem::take(&mut self.news) && !self.ready.sliced {
            self.decide();
        }
        self.out.pop_front()
    }

    /// Joins and lost hosts are answered at once, all else at the next beat: a large fleet brings much news.
    fn decide(&mut self) {
        let orders_before = self.out.len();
        if self.follow_at.take_if(|at| self.now >= *at).is_some() {
            self.out.push_back(Ruling::FollowList);
        }
        let (woken, urgent) = (std::mem::take(&mut self.woken), std::mem::take(&mut self.urgent));
        if woken {
            // Stewards that start together do not look, probe and try again in step.
            self.out.push_back(Ruling::WakeIn(BEAT.times(0.9 + 0.2 * self.chance.f64())));
            let passed = (self.now - self.last_beat).secs();
            self.last_beat = self.now;
            self.forget();
            self.fade_rates();
            self.ease(passed);
            self.set_levels(passed);
        }
        // Before the first list there is no table at all: proxies keep what they hold.
        if self.version.is_none() {
            return;
        }
        if woken || urgent {
            self.judge();
            self.lay_tables();
            self.push();
        }
        self.bind_joined();
        self.end_round(orders_before);
    }

    /// What was ordered since then goes out together.
    fn end_round(&mut self, orders_before: usize) {
        let is_order = |ruling: &&Ruling| {
            matches!(ruling, Ruling::Deal { .. } | Ruling::Bind { .. } | Ruling::Level { .. })
        };
        let orders = self.out.iter().skip(orders_before).filter(is_order).count();
        self.out.extend(self.channel.end_round(self.now, orders).map(Ruling::Mark));
    }

    /// Reqs that came lose their say. Spans in which none came bring no line: rates by the lines' own spans
    /// told of several times the reqs of a proxy that has few. Where no line comes at all, nothing fades.
    fn fade_rates(&mut self) {
        let fade = 1.0 - (self.newest_reqs - self.faded_at).say_in(RATE_OVER);
        self.faded_at = self.faded_at.max(self.newest_reqs);
        self.proxies.values_mut().for_each(|p| p.fade(fade));
    }

    /// Ids of hosts change for good: those long gone, which owe nothing, would be kept for ever.
    fn forget(&mut self) {
        let now = self.now;
        let old = |h: &Host| h.standing == Standing::Gone && now - h.heard > FORGET;
        for host in self.hosts.iter_mut().filter(|h| old(h)) {
            for place in host.places.iter_mut().filter(|p| p.held() && self.boards[p.table].bound == 0) {
                // Nobody uses the table: this costs no line.
                (place.sent, place.unsure) = (0.0, false);
                let (table, host) = (TableId(place.table as u16), host.id.clone());
                self.out.push_back(Ruling::Deal { table, host, weight: None });
            }
            host.places.retain(Place::held);
        }
        let (held, keeps) = (self.hosts.len(), |h: &Host| !old(h) || !h.places.is_empty());
        self.hosts.retain(keeps);
        if self.hosts.len() < held {
            self.place_of = self.hosts.iter().enumerate().map(|(at, host)| (host.id.clone(), at)).collect();
            self.list_changed = true;
        }
    }

    /// Keeps away from hosts that fail or are silent where their peers are not, and lets them come back.
    fn judge(&mut self) {
        let now = self.now;
        let median = median(self.hosts.iter().filter_map(Host::failing)).unwrap_or(0.0);
        let open = self.hosts.iter().filter(|h| self.ready.open(h, now)).count();
        let out = self.hosts.iter().filter(|h| h.out_until.is_some()).count();
        let mut spare = ((open as f64 * OUT_MOST) as usize).saturating_sub(out);
        // What was ordered a moment ago may not have reached the proxies.
        let delay = self.channel.lateness(now);
        // Tries a second that a host should see end, by our own bindings, weights and levels.
        let mut per_weight = vec![0.0; self.boards.len()];
        self.hosts.iter().flat_map(|h| &h.places).for_each(|place| per_weight[place.table] += place.sent);
        let let_in = self.share_let_in();
        for (t, usage) in self.usage().into_iter().enumerate() {
            per_weight[t] = usage * let_in / per_weight[t].max(1e-9);
        }
        per_weight[self.ready.shared_tables..].fill(0.0);
        // Kinds may be confined to zones: each zone keeps a warm host.
        let mut warm: BTreeMap<ZoneId, usize> = BTreeMap::new();
        let stays = |h: &Host| self.ready.usable(h, now) && self.ready.ramp(h, now) >= 1.0;
        self.hosts.iter().filter(|h| stays(h)).for_each(|h| *warm.entry(h.zone).or_default() += 1);
        for host in &mut self.hosts {
            let warm_left = warm.entry(host.zone).or_default();
            let expected = host.places.iter().map(|p| p.sent * per_weight[p.table]).sum::<f64>();
            host.in_use_since = if expected > 0.0 { host.in_use_since } else { now };
            let fails = host.failing().is_some_and(|share| share > median + (1.0 - median) * FAILING_OVER);
            // No line while peers' lines come: hung or vanished, long before its tries time out. Sums that
            // are late for all make nobody silent.
            let quiet = self.newest_line - host.heard.max(host.in_use_since + delay);
            let silent = expected * quiet.secs() > SILENT_TRIES && quiet.secs() > self.lag * SILENT_LAGS;
            let bad = (fails || silent) && spare > 0 && *warm_left > 1 && host.standing == Standing::Open;
            if let Some(until) = host.out_until {
                if *warm_left == 0 || now >= until && !self.ready.probes {
                    host.start_trial(now);
                } else if now >= until && host.standing == Standing::Open {
                    host.out_until = Some(now + BACK);
                    self.out.push_back(Ruling::Probe(host.id.clone()));
                }
            } else if bad {
                *warm_left -= usize::from(self.ready.ramp(host, now) >= 1.0);
                // One that answers looks but fails reqs would be back, and failing, most of the time.
                host.outs = if fails { (host.outs + 1).min(OUTS_MOST) } else { 1 };
                let wait = BACK.times((0.8 + 0.4 * self.chance.f64()) * f64::from(1 << (host.outs - 1)));
                (host.out_until, host.trial_since) = (Some(now + wait), None);
                spare -= 1;
            } else if host.trial_since.is_some_and(|at| now - at > BACK.times(2.0)) {
                host.trial_since = None;
            } else if host.trial_since.is_none() && !fails && host.failing().is_some() {
                host.outs = 0;
            }
        }
    }

    /// Share of all reqs that the levels let in.
    fn share_let_in(&self) -> f64 {
        let came = self.demand();
        let taken = |p: &Proxy| -> f64 { p.rates.iter().zip(&self.levels).map(|(r, level)| r * level).sum() };
        if came > 0.0 { self.proxies.values().map(taken).sum::<f64>() / came } else { 1.0 }
    }

    /// Takes weight off hosts whose load stands out in the fleet (known by times alone: among their like).
    fn ease(&mut self, passed: f64) {
        let (ready, now) = (&self.ready, self.now);
        let usable = || self.hosts.iter().filter(|h| ready.usable(h, now));
        let by_busy = usable().filter(|h| h.busy.is_some()).count() * 2 > usable().count();
        let load = |h: &Host| if by_busy { h.busy } else { (h.time > 0.0).then_some(h.time) };
        let like = |h: &Host| if by_busy { MachineId::default() } else { h.machine };
        let mut loads: BTreeMap<MachineId, Vec<f64>> = BTreeMap::new();
        usable().for_each(|h| loads.entry(like(h)).or_default().extend(load(h)));
        let usual: BTreeMap<MachineId, Option<f64>> =
            loads.into_iter().map(|(machine, loads)| (machine, median(loads.into_iter()))).collect();
        for host in &mut self.hosts {
            if let (Some(own), Some(&Some(usual))) = (load(host), usual.get(&like(host))) {
                let over = own / usual.max(1e-6);
                let step = if over > LOADED { (LOADED / over).max(EASE_DOWN) } else { EASE_UP };
                host.eased = (1.0 - (1.0 - host.eased) * step.powf(passed)).clamp(0.0, EASE_MOST);
            }
        }
    }

    /// Tries and good answers a second at our proxies, of some hosts.
    fn flow<'a>(&self, hosts: impl Iterator<Item = &'a Host>) -> (f64, f64) {
        // Tallies that have only begun hold less than their due.
        let since = self.newest_line - self.first_line.unwrap_or(self.newest_line) + self.ready.report_every;
        let per_s = std::f64::consts::LN_2 / TALLY_HALF.secs() / (1.0 - since.half_life(TALLY_HALF));
        let faded = |h: &Host| (self.newest_line - h.heard).half_life(TALLY_HALF) * per_s;
        hosts.fold((0.0, 0.0), |(tries, done), h| {
            (tries + h.tries * faded(h), done + (h.tries - h.errored) * faded(h))
        })
    }

    /// Under real overload the kinds of least benefit are let in less, down to what the fleet can do.
    fn set_levels(&mut self, passed: f64) {
        // Old sums are no evidence: hosts unheard of lately say nothing of the strain.
        let usable = || self.hosts.iter().filter(|h| self.ready.usable(h, self.now));
        let known = || usable().filter(|h| (self.newest_line - h.heard).secs() < self.lag * FRESH_LAGS);
        let time = median(known().map(|h| h.time).filter(|&time| time > 0.0)).unwrap_or(0.0);
        let failing = median(known().filter_map(Host::failing)).unwrap_or(0.0);
        // Answers that take long though nothing waits are no overload: refusing would make none faster.
        let (told, queue) =
            known().filter_map(|h| h.queue).fold((0.0, 0.0), |(n, sum), q| (n + 1.0, sum + q));
        let time = if queue >= told * QUEUED { time } else { 0.0 };
        let (_, done) = self.flow(self.hosts.iter());
        // The most ever done goes by weight, so that it grows and shrinks with the fleet.
        let weight = usable().map(|h| h.weight).sum::<f64>().max(1e-9);
        self.peak_per_weight = self.peak_per_weight.max(done / weight);
        let peak = self.peak_per_weight * weight;
        let kinds = 0..self.levels.len();
        let came: Vec<f64> = kinds.map(|k| self.proxies.values().map(|p| p.rates[k]).sum()).collect();
        let demand: f64 = came.iter().sum();
        let target = came.iter().zip(&self.ready.targets).map(|(rate, t)| rate * t).sum::<f64>() / demand;
        // Sums tell of what the fleet could do then: what went since shows in them seconds later.
        let able = usable().map(|h| h.weight * self.ready.ramp(h, self.now)).sum::<f64>().max(1e-9);
        let shown = 1.0 - (-passed / LOAD_OVER.secs()).exp();
        let missing = mix(self.missing, 1.0, shown) * self.able / able;
        (self.missing, self.able) = (missing.clamp(1.0, MISSING_MOST), able);
        let strain = (time / (target * STRAINED_TIME)).max(failing / STRAINED_FAILING) * self.missing;
        self.strain = strain;
        // The first sums after a start tell of a few tries: a cut to those would refuse nearly all.
        let since = self.cut_at.max(self.first_line.unwrap_or(self.now));
        // A cut shows once it has reached the proxies.
        let wait = CUT_WAIT + self.channel.lateness(self.now);
        if strain > 1.0 && self.now - since >= wait && demand > 0.0 {
            self.let_in = Some(self.let_in.unwrap_or(demand).min(demand).min(peak) * CUT);
            self.cut_at = self.now;
        } else if strain <= 1.0 {
            let room = |held: f64| self.planned.is_some_and(|part| held < part * demand);
            let rise = |held| if strain < RELAXED || room(held) { RISE_FAST } else { RISE_SLOW };
            let risen = self.let_in.map(|held| held + peak * rise(held) * passed);
            self.let_in = risen.filter(|&let_in| let_in < demand);
        }
        let mut over = self.let_in.map_or(0.0, |let_in| demand - let_in);
        for &kind in &self.ready.least_benefit_first {
            let least = if self.ready.least_benefit_first.ends_with(&[kind]) { LEVEL_LEAST } else { 0.0 };
            let share = (1.0 - over / came[kind].max(1e-9)).clamp(least, 1.0);
            over = (over - came[kind]).max(0.0);
            self.levels[kind] = (share / LEVEL_STEP).round() * LEVEL_STEP;
        }
    }

    // ---- Tables ---------------------------------------------------------------------------------------

    /// The draw, the stand-ins and the weights: what every table should hold now.
    fn lay_tables(&mut self) {
        let (now, ready) = (self.now, &self.ready);
        let on_list = |h: &Host| h.standing == Standing::Draining || ready.open(h, now);
        let listed: Vec<usize> = (0..self.hosts.len()).filter(|&h| on_list(&self.hosts[h])).collect();
        if std::mem::take(&mut self.list_changed) || listed != self.listed {
            self.drawn = self.draw(&listed);
            self.listed = listed.clone();
        }
        let hosts = &self.hosts;
        let ramp: Vec<f64> = hosts.iter().map(|h| ready.ramp(h, now)).collect();
        let can_serve: Vec<bool> = hosts.iter().map(|h| ready.usable(h, now)).collect();
        let strong = |h: usize| can_serve[h] && ramp[h] >= STAND_IN_UNTIL;
        let strength: Vec<f64> = hosts.iter().map(|h| h.weight * ready.strength(h, now)).collect();
        let count = self.drawn.len();
        let mut shards = Shards::new(count, hosts.len());
        for (t, table) in self.drawn.iter().enumerate() {
            table.iter().filter(|(h, _)| can_serve[*h]).for_each(|&(h, _)| shards.put(t, h));
        }
        // A drained, gone, failed or still cold member gives way to the host in fewest tables, as far as the
        // fleet has that many for each table; who stands in already goes first.
        let most = (TABLE_MOST * listed.len() / count).max(TABLE_LEAST);
        let strong_part = listed.iter().filter(|&&h| strong(h)).count() as f64 / listed.len().max(1) as f64;
        let home = |t: usize| self.drawn[t].first().map(|&(h, _)| hosts[h].zone);
        let rank = |h: usize, t: usize, places: usize| {
            (!hosts[h].holds(t), places, home(t) != Some(hosts[h].zone), luck(&hosts[h], t))
        };
        for t in 0..count {
            let members = shards.tables[t].iter().filter(|(h, _)| strong(*h)).count();
            let due = ((self.drawn[t].len() as f64 * strong_part).ceil() as usize).max(TABLE_LEAST);
            for _ in 0..due.saturating_sub(members).min(most.saturating_sub(shards.tables[t].len())) {
                let Some(h) = shards.stand_in(t, &listed, OVERLAP_MOST, strong, rank) else { break };
                shards.put(t, h);
            }
            // No proxy without a host: if the bounds leave a table empty, any usable host serves it.
            let any = |h: usize| can_serve[h] && shards.tables[t].is_empty();
            let only = shards.stand_in(t, &listed, usize::MAX, any, rank);
            only.into_iter().for_each(|h| shards.put(t, h));
        }
        // Heavy proxies sharing a table overload it while others idle: it borrows hosts within the bounds,
        // and a host in two tables leans to the one with more usage for its weight.
        let mut usage = vec![0.0; count];
        self.usage().into_iter().enumerate().for_each(|(t, used)| usage[t % count] += used);
        let pressure = shards.settle(&usage, &strength);
        let idle = |h: usize, of: &[usize]| strong(h) && of.iter().all(|&u| pressure[u] < 1.0);
        let lenders: Vec<usize> = listed.iter().copied().filter(|&h| idle(h, &shards.of[h])).collect();
        for t in (0..count).filter(|&t| pressure[t] > 1.0) {
            // A borrowed host stays until the table needs it no more: each change costs connections.
            let due = (shards.tables[t].len() as f64 * (pressure[t] - 1.0)).ceil() as usize;
            for _ in 0..due.min(most.saturating_sub(shards.tables[t].len())) {
                let keeps = |h: usize| pressure[t] > HEAVY || hosts[h].holds(t);
                let Some(h) = shards.stand_in(t, &lenders, OVERLAP_MOST, keeps, rank) else { break };
                shards.put(t, h);
            }
        }
        shards.settle(&usage, &strength);
        // Proxies avoid hosts that fail them: in a table whose tries mostly fail, a cold host would be all
        // they have left. It joins no such table that is mostly warm. And per working part it gets no more
        // than the fleet's usual load per weight, however short of hosts or full of heavy proxies its table.
        let let_in = self.share_let_in();
        let even = usage.iter().sum::<f64>() / listed.iter().map(|&h| hosts[h].weight).sum::<f64>().max(1e-9);
        let usual = if self.peak_per_weight > 0.0 { self.peak_per_weight } else { even };
        let mut wants: Vec<(usize, usize, f64)> = Vec::new();
        for (t, table) in shards.tables.iter().enumerate() {
            let warm = table.iter().filter(|(h, _)| ramp[*h] >= 1.0).count() as f64;
            let (tries, done) = self.flow(table.iter().map(|(h, _)| &hosts[*h]));
            let waits = warm >= (table.len() as f64 * WARM_PART).max(1.0) && done < tries * COLD_CALM;
            let weight: f64 = table.iter().map(|(h, part)| strength[*h] * part).sum();
            let cap = (COLD_LOAD * usual * weight / (usage[t] * let_in).max(1e-9)).min(1.0);
            for &(h, part) in table.iter().filter(|(h, _)| ramp[*h] >= 1.0 || !waits) {
                let want = strength[h] * part * if ramp[h] < 1.0 { cap } else { 1.0 };
                wants.extend((t..ready.shared_tables).step_by(count).map(|t| (h, t, want)));
            }
        }
        // Kinds confined to the proxy's zone: one table a zone, of all its hosts.
        let serving = listed.iter().filter(|&&h| ready.own_tables > 0 && can_serve[h]);
        wants.extend(serving.filter_map(|&h| Some((h, ready.own_table(hosts[h].zone)?, strength[h]))));
        self.hosts.iter_mut().flat_map(|h| &mut h.places).for_each(|place| place.want = 0.0);
        for (h, table, want) in wants {
            self.hosts[h].place(table).want = (want * 1e3).round().max(1.0) / 1e3;
        }
        self.hosts.iter_mut().for_each(|h| h.places.retain(|p| p.want > 0.0 || p.held()));
    }

    /// The seeded draw: the same at every steward that has as many tables, since only the list goes in. If no
    /// such shards fit, proxies share fewer tables; under four hosts, one table holds all.
    fn draw(&self, listed: &[usize]) -> Vec<Table> {
        let mut order = listed.to_vec();
        // Whoever started last is dealt last, so that new hosts move nobody.
        order.sort_by_key(|&h| (self.hosts[h].started, self.hosts[h].luck));
        let (mut tables, kept) = (self.ready.shared_tables, self.drawn.len());
        while tables > 1 {
            // Each change deals all anew and tears connections: more only with much room, fewer with none.
            let more = if (1..tables).contains(&kept) { RISE_ROOM } else { 1 };
            let room = if kept == tables { TABLE_LEAST } else { more * TABLE_ROOM };
            if let Some(dealt) = self.deal(&order, tables, room) {
                return dealt;
            }
            tables /= 2;
        }
        vec![order.into_iter().map(|h| (h, 1.0)).collect()]
    }

    /// Each host goes to the emptiest of the few tables that its hash likes best, so that one host more or
    /// less moves few others; zone by zone where crossing zones has a price. Short tables take hosts twice.
    fn deal(&self, order: &[usize], tables: usize, room: usize) -> Option<Vec<Table>> {
        if TABLE_MOST * order.len() < room * tables {
            return None;
        }
        let zone = |h: usize| if self.ready.zones_cost { self.hosts[h].zone.0 } else { 0 };
        // A zone has the tables whose middles lie in its part of all hosts; one without any chooses freely.
        let mut by_zone = order.to_vec();
        by_zone.sort_by_key(|&h| zone(h));
        let middle = |t: usize| zone(by_zone[(2 * t + 1) * order.len() / (2 * tables)]);
        let home: Vec<u16> = (0..tables).map(middle).collect();
        let mut shards = Shards::new(tables, self.hosts.len());
        let like = |h: usize, t: usize| luck(&self.hosts[h], t);
        for &h in order {
            let anywhere = !home.contains(&zone(h));
            let near = (0..tables).filter(|&t| anywhere || home[t] == zone(h));
            let mut liked: Vec<(u64, usize)> = near.map(|t| (like(h, t), t)).collect();
            liked.sort_unstable();
            let emptiest = liked.iter().take(CHOICES).min_by_key(|(_, t)| shards.tables[*t].len());
            shards.put(emptiest?.1, h);
        }
        for t in 0..tables {
            let rank = |h: usize, t: usize, places: usize| (places, zone(h) != home[t], like(h, t));
            for _ in shards.tables[t].len()..TABLE_LEAST {
                let h = shards.stand_in(t, order, OVERLAP_MOST, |_| true, rank)?;
                shards.put(t, h);
            }
        }
        let most = TABLE_MOST * order.len() / tables;
        shards.tables.iter().all(|table| table.len() <= most).then_some(shards.tables)
    }

    /// Reqs a second of our proxies on each shared table.
    fn usage(&self) -> Vec<f64> {
        let mut usage = vec![0.0; self.ready.shared_tables];
        let bound = self.proxies.values().filter_map(|p| Some((p.table?, p.rate())));
        bound.for_each(|(t, rate)| usage[t] += rate);
        usage
    }

    /// The table for a joining proxy: least usage per weight, with a lean to its own zone where crossing has
    /// a price; or, coming back, the one its name hashes to unless that is clearly the busiest.
    fn choose_table(&self, id: ProxyId) -> usize {
        let (proxy, tables) = (&self.proxies[&id], self.ready.shared_tables);
        let (mut weight, mut near) = (vec![1e-9; tables], vec![0.0; tables]);
        for host in &self.hosts {
            for place in host.places.iter().filter(|p| p.table < tables) {
                weight[place.table] += place.want;
                near[place.table] += if host.zone == proxy.zone { place.want } else { 0.0 };
            }
        }
        let per_weight: Vec<f64> =
            self.usage().iter().zip(&weight).map(|(used, weight)| (used + proxy.rate()) / weight).collect();
        let mean = per_weight.iter().sum::<f64>() / tables as f64;
        let pull = if self.ready.zones_cost { ZONE_PULL } else { 0.0 };
        let cost = |t: usize| per_weight[t] / mean.max(1e-9) + pull * (1.0 - near[t] / weight[t]);
        let bound = |t: usize| self.boards[t].bound;
        let by_cost = |&a: &usize, &b: &usize| cost(a).total_cmp(&cost(b)).then(bound(a).cmp(&bound(b)));
        let least = (0..tables).min_by(by_cost).unwrap_or(0);
        let hashed = scramble(id.0 as u64) as usize % tables;
        if proxy.fresh || per_weight[hashed] > mean * CLEARLY_BUSIEST { least } else { hashed }
    }

    // ---- Pushes ---------------------------------------------------------------------------------------

    /// One push: lost hosts first, then hazards, jams and ordinary differences, within one budget.
    fn push(&mut self) {
        let now = self.now;
        self.channel.advance(now);
        let (mut need, mut serves) = (vec![None; self.boards.len()], vec![0; self.boards.len()]);
        for host in &self.hosts {
            let (open, usable) = (self.ready.open(host, now), self.ready.usable(host, now));
            let cold = self.ready.ramp(host, now) < 1.0;
            for place in &host.places {
                let heavy = place.sent > place.want * HAZARD;
                // Not to be put off: a failing host, or a cold one whose line is still the warm one's.
                let why = match place {
                    p if p.held() && !open => Some(UpdateReason::Drain),
                    p if p.held() && !usable || cold && (heavy || p.unsure) => Some(UpdateReason::Hazard),
                    p if p.want > 0.0 && heavy || p.unsure => Some(UpdateReason::Expedited),
                    p if off(p) => Some(UpdateReason::Ordinary),
                    _ => None,
                };
                need[place.table] = need[place.table].max(why);
                serves[place.table] += usize::from(usable && place.sent > 0.0 && !place.unsure);
            }
        }
        let mut go: Vec<usize> = (0..self.boards.len()).filter(|&t| self.boards[t].bound > 0).collect();
        for &t in &go {
            let board = &mut self.boards[t];
            board.messages.retain(|&at| now - at <= self.ready.window);
            if board.levels_sent.iter().zip(&self.levels).any(|(sent, level)| *sent != Some(*level)) {
                need[t] = need[t].max(Some(UpdateReason::Ordinary));
            }
            // A table that has run empty is refilled as fast as a drain goes out.
            if need[t].is_some() && serves[t] == 0 {
                need[t] = Some(UpdateReason::Drain);
            }
            board.differs_since = board.differs_since.or(Some(now)).filter(|_| need[t].is_some());
        }
        go.sort_by_key(|&t| (std::cmp::Reverse(need[t]), self.boards[t].differs_since));
        for t in go {
            // The rest goes out once this is carried out.
            if self.out.len() >= self.ready.round_most {
                self.urgent = true;
                break;
            }
            let board = &self.boards[t];
            let gathered = |least: Span| board.differs_since.is_some_and(|since| now - since >= least);
            let (used, cap) = (board.messages.len() + 1, self.ready.cap); // the bind was one too
            let under = |part: f64| (used as f64) < cap as f64 * part;
            let Some(reason) = need[t] else { continue };
            let due = match reason {
                UpdateReason::Drain => used < cap,
                UpdateReason::Hazard => used + DRAIN_RESERVE < cap,
                UpdateReason::Expedited => gathered(HURRY) && under(JAM_PART),
                UpdateReason::Ordinary => gathered(self.ready.gather) && under(ORDINARY_PART),
            };
            if !due {
                continue;
            }
            let scope = match () {
                () if serves[t] == 0 || !self.channel.is_congested(now) => UpdateScope::All,
                () if serves[t] < TABLE_LEAST => UpdateScope::RisksAndNewcomers,
                () => UpdateScope::Risks,
            };
            let (lines, bound) = (self.lines_due(t, scope), self.boards[t].bound);
            if self.channel.admits_update(now, reason, lines, bound) {
                self.send_table(t, reason, scope);
            }
        }
    }

    /// How many lines an update of a table has for each proxy that uses it.
    fn lines_due(&self, t: usize, scope: UpdateScope) -> usize {
        let places = self.hosts.iter().flat_map(|host| &host.places);
        let hosts = places.filter(|place| place.table == t && scope.takes(place)).count();
        let sent = &self.boards[t].levels_sent;
        let levels = sent.iter().zip(&self.levels).filter(|(sent, level)| **sent != Some(**level)).count();
        hosts + if scope == UpdateScope::All { levels } else { 0 }
    }

    /// The differences of one table that are in scope, to all who use it.
    fn send_table(&mut self, t: usize, reason: UpdateReason, scope: UpdateScope) {
        let (now, table, lines) = (self.now, TableId(t as u16), self.lines_due(t, scope));
        for host in &mut self.hosts {
            for place in host.places.iter_mut().filter(|place| place.table == t && scope.takes(place)) {
                (place.sent, place.unsure) = (place.want, false);
                let weight = (place.want > 0.0).then_some(place.want);
                self.out.push_back(Ruling::Deal { table, host: host.id.clone(), weight });
            }
        }
        let board = &mut self.boards[t];
        for (k, &share) in self.levels.iter().enumerate().filter(|_| scope == UpdateScope::All) {
            if board.levels_sent[k].replace(share) == Some(share) {
                continue;
            }
            // Where proxies count reqs a second, the busiest proxy sets the measure.
            let busiest = self.proxies.values().map(|p| p.rates[k]).fold(0.0, f64::max);
            let measure = if share < 1.0 { busiest } else { f64::from(u32::MAX) };
            let (kind, quota) = (KindId(k as u8), if self.ready.by_rate { share * measure } else { share });
            self.out.push_back(Ruling::Level { table, kind, quota, tries: Tries::AgainIfNeverRun });
        }
        board.differs_since = None;
        self.channel.send_update(reason, lines, board.bound);
        // Where proxies hold two tables, a message on either counts for both.
        let also = if self.ready.own_tables > 0 { 0..self.boards.len() } else { t..t + 1 };
        self.boards[also].iter_mut().for_each(|board| board.messages.push_back(now));
    }

    /// Lines that a proxy is sent when it is bound to a table.
    fn binding_lines(&self, table: usize) -> usize {
        self.hosts.iter().filter(|host| host.holds(table)).count() + self.levels.len() + 1
    }

    /// A joined proxy is answered at once: its standing table may name hosts that are gone or cold.
    fn bind_joined(&mut self) {
        let due = |p: &Proxy| (p.table.is_none() || p.unsure) && self.now >= p.bind_from;
        let unbound = self.proxies.iter().filter(|(_, proxy)| due(proxy));
        let mut unbound: Vec<ProxyId> = unbound.map(|(&id, _)| id).collect();
        let mut again = BTreeSet::new();
        // The heaviest first, so that the light ones even out.
        unbound.sort_by(|a, b| self.proxies[b].rate().total_cmp(&self.proxies[a].rate()));
        for id in unbound {
            if self.out.len() >= self.ready.round_most {
                break;
            }
            let (bound_to, zone) = (self.proxies[&id].table, self.proxies[&id].zone);
            let table = bound_to.unwrap_or_else(|| self.choose_table(id));
            for t in self.ready.tables_of(table, zone) {
                // What nobody held may be old.
                if self.boards[t].bound == 0 {
                    self.send_table(t, UpdateReason::Ordinary, UpdateScope::All);
                    self.boards[t].messages.clear();
                }
            }
            let own = self.ready.own_table(zone).unwrap_or(table);
            let pairs = [(table, self.ready.free.clone()), (own, self.ready.confined.clone())];
            let pairs: Vec<_> = pairs.into_iter().filter(|(_, kinds)| !kinds.is_empty()).collect();
            let lines = pairs.iter().map(|(table, _)| self.binding_lines(*table)).sum();
            if !self.channel.admits_binding(self.now, lines) {
                break;
            }
            self.channel.send_binding(lines);
            self.proxies.entry(id).and_modify(|p| (p.table, p.unsure) = (Some(table), false));
            for t in self.ready.tables_of(table, zone) {
                if bound_to.is_some() {
                    // One message more to whoever did hold it, counted once for all of this round.
                    again.insert(t);
                    continue;
                }
                self.boards[t].bound += 1;
            }
            for (table, kinds) in pairs {
                let kinds = if self.ready.own_tables == 0 { Vec::new() } else { kinds };
                self.out.push_back(Ruling::Bind { proxy: id, table: TableId(table as u16), kinds });
            }
        }
        again.into_iter().for_each(|t| self.boards[t].messages.push_back(self.now));
    }
}

impl Makeready {
    /// Whether the list lets us send there. Where being dropped from the list binds nobody, a host that was
    /// merely dropped counts as open while it answers.
    fn open(&self, host: &Host, now: Time) -> bool {
        let answers = now - host.heard < self.report_every.times(ALIVE_LAGS) && host.errored < host.tries;
        let dropped = host.standing == Standing::Gone && self.gone_is_no_drain && !host.drained;
        host.standing == Standing::Open || dropped && answers
    }

    fn usable(&self, host: &Host, now: Time) -> bool {
        self.open(host, now) && host.out_until.is_none()
    }

    /// The part of its work that a host can do at least, by the start time that every steward is told.
    fn ramp(&self, host: &Host, now: Time) -> f64 {
        let warmed = self.start_capacity + (1.0 - self.start_capacity) * ((now - host.started) / self.cold);
        if host.started.is_unset() { 1.0 } else { warmed.min(1.0) }
    }

    fn strength(&self, host: &Host, now: Time) -> f64 {
        let trial = if host.trial_since.is_some() { TRIAL_PART } else { 1.0 };
        self.ramp(host, now).min(trial) * (1.0 - host.eased)
    }
}

impl Host {
    fn failing(&self) -> Option<f64> {
        (self.tries >= TRIES_LEAST).then(|| self.errored / self.tries)
    }

    fn start_trial(&mut self, now: Time) {
        (self.tries, self.errored, self.time, self.heard) = (0.0, 0.0, 0.0, now);
        (self.out_until, self.trial_since) = (None, Some(now));
    }
}

/// Which differences of a table an update takes along.
#[derive(Clone, Copy, PartialEq, Eq)]
enum UpdateScope {
    All,
    /// Those alone that put a host at risk: the rest waits for room in the queue.
    Risks,
    /// And who comes into a short table: all that its proxies bring fell to the few left, and pushed cold ones over.
    RisksAndNewcomers,
}

impl UpdateScope {
    fn takes(self, place: &Place) -> bool {
        let risk = place.unsure || place.sent > place.want * HAZARD;
        let newcomer = self == UpdateScope::RisksAndNewcomers && place.sent == 0.0;
        off(place) && (self == UpdateScope::All || risk || newcomer)
    }
}

fn off(place: &Place) -> bool {
    let step = (place.want - place.sent).abs() > LINE_STEP * place.sent;
    place.unsure || step || (place.want > 0.0) != (place.sent > 0.0)
}

impl Shards {
    /// The host of least rank that may join table `t` without any pair of tables sharing more than `most`.
    fn stand_in<R: Ord>(
        &self,
        t: usize,
        of: &[usize],
        most: usize,
        may: impl Fn(usize) -> bool,
        rank: impl Fn(usize, usize, usize) -> R,
    ) -> Option<usize> {
        let mut shared = vec![0; self.tables.len()];
        self.tables[t].iter().flat_map(|(h, _)| &self.of[*h]).for_each(|&u| shared[u] += 1);
        shared[t] = usize::MAX;
        let fits = |&h: &usize| may(h) && self.of[h].iter().all(|&u| shared[u] < most);
        of.iter().copied().filter(fits).min_by_key(|&h| rank(h, t, self.of[h].len()))
    }

    /// Splits hosts in several tables so that usage per weight comes as even as it can; gives that, mean 1.
    fn settle(&mut self, usage: &[f64], strength: &[f64]) -> Vec<f64> {
        let all: f64 = usage.iter().sum();
        let mut pressure = vec![1.0; self.tables.len()];
        let mut sums = vec![0.0; self.of.len()];
        for _ in 0..SETTLE_ROUNDS {
            sums.fill(0.0);
            let mut total = 0.0;
            for (table, lean) in self.tables.iter().zip(&pressure) {
                table.iter().for_each(|(h, part)| sums[*h] += part * lean);
            }
            let mut weights = Vec::with_capacity(usage.len());
            for (table, lean) in self.tables.iter_mut().zip(&pressure) {
                table.iter_mut().for_each(|(h, part)| *part = (*part * lean / sums[*h]).max(LEAST_PART));
                let weight = table.iter().map(|(h, part)| strength[*h] * part).sum::<f64>().max(1e-9);
                weights.push(weight);
                total += weight;
            }
            if all > 0.0 {
                let even = usage.iter().zip(weights).map(|(used, weight)| used / all * total / weight);
                pressure = even.map(|p| p.clamp(LEAST_PART, 1.0 / LEAST_PART)).collect();
            }
        }
        pressure
    }
}

fn luck(host: &Host, table: usize) -> u64 {
    scramble(host.luck.wrapping_add(table as u64))
}

fn scramble(seed: u64) -> u64 {
    fastrand::Rng::with_seed(seed).u64(..)
}
