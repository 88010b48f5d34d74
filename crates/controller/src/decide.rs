//! Every decision of a steward: which hosts stand in which shuffle-shard table, which proxy uses which table,
//! whom to keep away from, how much to let in, and when to say so.
//!
//! This file keeps what is known and says in which order decisions are taken (`decide`). Each kind of decision has a
//! module of its own: `health`, `admission`, `placement`, `assignment`, `publishing`, and `channel` for the queue.
//!
//! How it is called: `Controller::open` with a `DeploymentConfig`; then input methods (`list_*`, `proxy_*`, `met`,
//! `reqs_came`, `probe_answered`, `carried_out`, `woke`) that only note what is known; after each round of
//! them `next` until it gives `None`. The types of both directions are in `types.rs`; it knows no wire.

mod admission;
mod assignment;
mod channel;
mod glance;
mod health;
mod placement;
mod publishing;

use crate::state::*;
use crate::*;
use channel::{Channel, UpdateReason};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Proxies that a table needs (the design's bound).
const PROXIES_PER_TABLE: u64 = 5;
/// Hosts that a table needs (the design's bound).
const MIN_TABLE_HOSTS: usize = 4;
/// Part of its work from which a member of a table needs no stand-in.
const MIN_STRONG_PART: f64 = 0.5;
/// Time between two rounds of decisions (a part of a report period).
const TICK: Duration = Duration::from_millis(250);
/// Time for which differences gather before they are sent (the design's), and when they are expedited.
const UPDATE_INTERVAL: Duration = Duration::from_millis(1_000);
const EXPEDITED_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the message cap that ordinary updates may use.
const ORDINARY_CAP_PART: f64 = 0.75;
/// What one line of sums says of the delay of all: large fleets get theirs in turns.
const LAG_WEIGHT: f64 = 0.02;
/// Time in which tries lose half their say.
const TRIES_HALF_LIFE: Duration = Duration::from_millis(2_000);
/// Times over which load, requests and response times are averaged: a few of the noisy sums, yet a cut of levels shows
/// soon.
const LOAD_WINDOW: Duration = Duration::from_millis(3_000);
const RATE_WINDOW: Duration = Duration::from_millis(5_000);
const RESPONSE_TIME_WINDOW: Duration = Duration::from_millis(1_200);
/// Requests a second of each kind taken for certain, so that usual rates can be split by them.
const MIN_RATE: f64 = 1e-3;
/// Time after which a host that is gone, and stands in no table, is forgotten: late sums have come by then.
const FORGET_AFTER: Duration = Duration::from_millis(30_000);
/// Part of the time within which a list on request must be asked for anew after a failure.
const LIST_RETRY_PART: f64 = 0.3;
/// Time for which a host is kept away from at first (a few sums); one on trial is judged after twice that.
const EJECTION_TIME: Duration = Duration::from_millis(1_500);
/// Requests waiting, over twice the median, that make a probe's good answer count for nothing.
const MAX_EXTRA_QUEUE: f64 = 4.0;
/// What a waiting request adds to a load, in parts of all cores busy.
const QUEUE_WEIGHT: f64 = 0.1;

#[derive(Default)]
pub struct Controller {
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
    /// When orders were given last.
    round_at: Time,
    follow_at: Option<Time>,
    channel: Channel,
    news: bool,
    out: VecDeque<Decision>,
}

impl Controller {
    pub fn new(ticket: DeploymentConfig, seed: u64, now: Time) -> Controller {
        // Proof that the first try never ran makes a further one safe for every kind. After other failures
        // even replayable kinds gain nothing: the wait for it cuts slow answers short, and it feeds jams.
        let told = (ticket.base_retry_policy == Some(RetryPolicy::IfUnprocessed)).then_some(1.0);
        let (kinds, proxies, must_ask) = (
            ticket.request_classes.len(),
            ticket.proxy_count,
            ticket.poll_endpoints,
        );
        let ask_within = ticket.poll_interval;
        let mut chance = fastrand::Rng::with_seed(seed);
        // A steward that starts anew is not to take answers to its former marks for its own.
        let channel = Channel::new(&ticket, now, AckId(chance.u16(..)));
        let mut ready = Makeready::from_ticket(ticket);
        ready.shared_tables = (proxies.saturating_sub(1) / PROXIES_PER_TABLE).max(1) as usize;
        ready.gather = UPDATE_INTERVAL.max(
            ready
                .window
                .scaled(1.0 / (ready.cap as f64 * ORDINARY_CAP_PART).max(1.0)),
        );
        ready.report_every = ready.report_every.max(TICK);
        ready.ask_again = must_ask.then(|| ask_within.scaled(LIST_RETRY_PART).max(UPDATE_INTERVAL));
        let board = Board {
            levels_sent: vec![told; kinds],
            ..Board::default()
        };
        Controller {
            chance,
            channel,
            levels: vec![1.0; kinds],
            boards: vec![board; ready.all_tables()],
            lag: ready.report_every.seconds(),
            last_beat: now,
            faded_at: now,
            woken: true,
            news: true,
            follow_at: ready.ask_again.map(|_| now),
            ready,
            ..Controller::default()
        }
    }

    // ---- Bookkeeping: inputs only update what is known ------------------------------------------------

    /// The list or changes to it. On a complete list, whoever is missing is gone.
    pub fn apply_endpoint_list(
        &mut self,
        now: Time,
        version: u64,
        complete: bool,
        entries: Vec<Endpoint>,
    ) {
        // Changes older than the list are none. A complete list counts: another source numbers otherwise.
        if !complete && self.version.is_some_and(|held| version < held) {
            return;
        }
        (self.now, self.news, self.list_changed, self.version) = (now, true, true, Some(version));
        if complete {
            let on_it: BTreeSet<&HostId> = entries.iter().map(|entry| &entry.host).collect();
            for host in self
                .hosts
                .iter_mut()
                .filter(|host| !on_it.contains(&host.id))
            {
                host.standing = EndpointState::Removed;
            }
        }
        for entry in entries {
            let (id, known) = (entry.host, self.hosts.len());
            let place = *self.place_of.entry(id.clone()).or_insert(known);
            if place == known {
                let luck =
                    id.0.bytes()
                        .fold(0, |so_far, byte| hash(so_far ^ u64::from(byte)));
                self.hosts.push(Host {
                    id,
                    luck,
                    standing: EndpointState::Removed,
                    ..Host::default()
                });
            }
            let host = &mut self.hosts[place];
            // A new start time is a cold start, even of a host that was never announced as out.
            if entry.started != host.started || host.standing == EndpointState::Removed {
                let Host {
                    id, luck, places, ..
                } = std::mem::take(host);
                *host = Host {
                    id,
                    luck,
                    places,
                    heard: now,
                    in_use_since: now,
                    ..Host::default()
                };
            }
            (host.zone, host.machine, host.started) =
                (entry.zone, entry.machine_type, entry.started);
            host.weight = if entry.weight.is_finite() && entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
            host.standing = entry.state;
            host.drained |= entry.state == EndpointState::Draining;
        }
        // What a table holds may now be gone or cold: that waits for no beat. More hosts do.
        let ready = &self.ready;
        let in_use = |h: &Host| {
            h.places
                .iter()
                .any(|p| p.sent > 0.0 && self.boards[p.table].bound > 0)
        };
        let lost = |h: &Host| in_use(h) && (!ready.open(h, now) || ready.ramp(h, now) < 1.0);
        self.urgent |= !self.hosts.iter().any(in_use) || self.hosts.iter().any(lost);
    }

    /// The list's service failed us: the old list holds, and we ask again.
    pub fn endpoint_list_failed(&mut self, now: Time) {
        (self.now, self.news) = (now, true);
        self.follow_at = self.ready.ask_again.map(|again| now + again);
    }

    pub fn proxy_joined(
        &mut self,
        now: Time,
        proxy: ProxyId,
        fresh: bool,
        usual: f64,
        zone: ZoneId,
    ) {
        self.proxy_left(now, proxy);
        let usual = if usual.is_finite() && usual > 0.0 {
            usual
        } else {
            0.0
        };
        // Until its reqs are heard of, it is taken to have its usual ones, of the kinds that others have.
        let of_kind = |k: usize| self.proxies.values().map(|p| p.rates[k]).sum::<f64>() + MIN_RATE;
        let came: Vec<f64> = (0..self.levels.len()).map(of_kind).collect();
        let all: f64 = came.iter().sum();
        let rates = came.iter().map(|rate| usual * rate / all).collect();
        let before = self.demand();
        self.proxies.insert(
            proxy,
            Proxy {
                zone,
                rates,
                fresh,
                bind_from: now,
                ..Proxy::default()
            },
        );
        self.joined_changed(before);
    }

    /// It is joined, but may have been away unseen: what it was bound to may not stand.
    pub fn proxy_unconfirmed(&mut self, now: Time, proxy: ProxyId) {
        (self.now, self.news) = (now, true);
        self.proxies.entry(proxy).and_modify(|p| p.unsure = true);
    }

    /// What became of decisions that were carried out together. What may not stand is decided anew: at once
    /// if some went through, else with the next beat, lest orders that nobody takes run in circles.
    pub fn on_update_result(&mut self, now: Time, orders: &[Decision], outcome: UpdateResult) {
        self.now = now;
        self.channel.orders_ended(orders.len(), outcome);
        if outcome == UpdateResult::Rejected {
            self.uncount_messages(orders);
        }
        let (stood, refused) = match outcome {
            UpdateResult::Applied => (orders.len(), None),
            UpdateResult::StoppedAt(stood) => (stood.min(orders.len()), orders.get(stood)),
            UpdateResult::Rejected | UpdateResult::Unknown => (0, None),
        };
        let rest = &orders[stood + usize::from(refused.is_some())..];
        let went_on = stood > 0 || refused.is_some();
        self.news |= went_on;
        self.urgent |= !rest.is_empty() && went_on;
        // A proxy that cannot be bound has most likely left, and we shall hear of it.
        if let Some(Decision::BindProxy { proxy, .. }) = refused {
            self.proxies
                .entry(*proxy)
                .and_modify(|p| (p.unsure, p.bind_from) = (true, now + EJECTION_TIME));
        }
        for order in rest {
            match order {
                Decision::SetWeight { table, host, .. } => {
                    let host = self.place_of.get(host).map(|&place| &mut self.hosts[place]);
                    host.into_iter()
                        .for_each(|host| host.place(table.0 as usize).unsure = true);
                }
                Decision::BindProxy { proxy, .. } => {
                    let from = if went_on {
                        now
                    } else {
                        now + EXPEDITED_INTERVAL
                    };
                    self.proxies
                        .entry(*proxy)
                        .and_modify(|p| (p.unsure, p.bind_from) = (true, from));
                }
                Decision::SetAdmissionRate {
                    table, class: kind, ..
                } => {
                    self.boards[table.0 as usize].levels_sent[kind.0 as usize] = None;
                }
                Decision::RequestAck(_)
                | Decision::CheckHealth(_)
                | Decision::WatchEndpoints
                | Decision::SetTimer(_) => {}
            }
        }
    }

    /// Orders that were surely not taken made no messages. They were all of the last round.
    fn uncount_messages(&mut self, orders: &[Decision]) {
        for order in orders {
            if let Decision::SetWeight { table, .. }
            | Decision::BindProxy { table, .. }
            | Decision::SetAdmissionRate { table, .. } = order
            {
                self.boards[table.0 as usize]
                    .messages
                    .retain(|&at| at != self.round_at);
            }
        }
    }

    pub fn proxy_left(&mut self, now: Time, proxy: ProxyId) {
        (self.now, self.news) = (now, true);
        let before = self.demand();
        let Some(left) = self.proxies.remove(&proxy) else {
            return;
        };
        self.joined_changed(before);
        if let Some((table, zone)) = left.table.map(|table| (table, left.zone)) {
            self.ready
                .tables_of(table, zone)
                .for_each(|t| self.boards[t].bound -= 1);
        }
    }

    /// What proxies met at a host. It says nothing of hosts it does not name.
    pub fn record_outcomes(&mut self, now: Time, host: &HostId, met: AttemptOutcomes) {
        self.now = now;
        let Some(&place) = self.place_of.get(host) else {
            return;
        };
        let host = &mut self.hosts[place];
        let fade = (now - host.heard).decay(TRIES_HALF_LIFE);
        let since = (now - host.heard).max(self.ready.report_every);
        host.tries = host.tries * fade + met.attempts;
        host.errored = host.errored * fade + met.failures.min(met.attempts);
        if met.attempts > met.failures && met.mean_latency > Duration::ZERO {
            host.time = mix(
                host.time,
                met.mean_latency.seconds(),
                since.sample_weight(RESPONSE_TIME_WINDOW),
            );
        }
        host.heard = now;
        self.newest_line = now;
        self.first_line.get_or_insert(now);
        self.lag += (met.period.max(self.ready.report_every).seconds() - self.lag) * LAG_WEIGHT;
        host.queue = met.load.and_then(|l| l.queue_length).or(host.queue);
        if let Some(busy) = met.load.and_then(|l| l.utilization) {
            let load = busy + QUEUE_WEIGHT * host.queue.unwrap_or(0.0);
            host.busy = Some(mix(
                host.busy.unwrap_or(0.0),
                load,
                since.sample_weight(LOAD_WINDOW),
            ));
        }
    }

    pub fn record_arrivals(
        &mut self,
        now: Time,
        proxy: ProxyId,
        kind: RequestClassId,
        many: f64,
        over: Duration,
    ) {
        self.now = now;
        let rate = self
            .proxies
            .get_mut(&proxy)
            .filter(|_| many > 0.0)
            .and_then(|p| p.rate_of(kind));
        if let Some(rate) = rate.filter(|_| over > Duration::ZERO && many.is_finite()) {
            *rate += many / RATE_WINDOW.seconds();
            self.newest_reqs = now;
        }
    }

    pub fn on_health_check_result(
        &mut self,
        now: Time,
        host: &HostId,
        good: bool,
        load: Option<HostLoad>,
    ) {
        self.now = now;
        let Some(&place) = self.place_of.get(host) else {
            return;
        };
        // A shallow probe is answered beside the queue: a host that piles up reqs is no better for it.
        let usual = median(self.hosts.iter().filter_map(|h| h.queue)).unwrap_or(0.0);
        let light = load
            .and_then(|l| l.queue_length)
            .is_none_or(|q| q <= usual * 2.0 + MAX_EXTRA_QUEUE);
        if good && light && self.hosts[place].out_until.is_some() {
            self.hosts[place].start_trial(now);
        }
    }

    /// A proxy has applied a message that carried this mark.
    pub fn on_ack(&mut self, now: Time, mark: AckId) {
        self.channel.mark_applied(now, mark);
    }

    /// The part of all reqs that a plan says the fleet can do in time; none: no plan is in force. While
    /// nothing is strained, what is let in rises fast up to there. It cuts nothing; strain goes before it.
    pub fn apply_capacity_plan(&mut self, now: Time, part: Option<f64>) {
        (self.now, self.planned) = (now, part.filter(|part| (0.0..=1.0).contains(part)));
    }

    pub fn on_timer(&mut self, now: Time) {
        (self.now, self.news, self.woken) = (now, true, true);
    }

    // ---- Deciding -------------------------------------------------------------------------------------

    /// The next decision, or none until something new is known.
    pub fn next_decision(&mut self, now: Time) -> Option<Decision> {
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
            self.out.push_back(Decision::WatchEndpoints);
        }
        let (woken, urgent) = (
            std::mem::take(&mut self.woken),
            std::mem::take(&mut self.urgent),
        );
        if woken {
            // Stewards that start together do not look, probe and try again in step.
            self.out.push_back(Decision::SetTimer(
                TICK.scaled(0.9 + 0.2 * self.chance.f64()),
            ));
            let passed = (self.now - self.last_beat).seconds();
            self.last_beat = self.now;
            self.forget();
            self.fade_rates();
            self.ease_loaded_hosts(passed);
            self.set_levels(passed);
        }
        // Before the first list there is no table at all: proxies keep what they hold.
        if self.version.is_none() {
            return;
        }
        if woken || urgent {
            self.judge_hosts();
            self.place_hosts();
            self.publish_updates();
        }
        self.bind_proxies();
        self.end_round(orders_before);
    }

    /// What was ordered since then goes out together.
    fn end_round(&mut self, orders_before: usize) {
        let is_order = |ruling: &&Decision| {
            matches!(
                ruling,
                Decision::SetWeight { .. }
                    | Decision::BindProxy { .. }
                    | Decision::SetAdmissionRate { .. }
            )
        };
        let orders = self.out.iter().skip(orders_before).filter(is_order).count();
        if orders > 0 {
            self.round_at = self.now;
        }
        self.out.extend(
            self.channel
                .end_round(self.now, orders)
                .map(Decision::RequestAck),
        );
    }

    /// Reqs that came lose their say. Spans in which none came bring no line: rates by the lines' own spans
    /// told of several times the reqs of a proxy that has few. Where no line comes at all, nothing fades.
    fn fade_rates(&mut self) {
        let fade = 1.0 - (self.newest_reqs - self.faded_at).sample_weight(RATE_WINDOW);
        self.faded_at = self.faded_at.max(self.newest_reqs);
        self.proxies.values_mut().for_each(|p| p.fade(fade));
    }

    /// Ids of hosts change for good: those long gone, which owe nothing, would be kept for ever.
    fn forget(&mut self) {
        let now = self.now;
        let old = |h: &Host| h.standing == EndpointState::Removed && now - h.heard > FORGET_AFTER;
        for host in self.hosts.iter_mut().filter(|h| old(h)) {
            for place in host
                .places
                .iter_mut()
                .filter(|p| p.held() && self.boards[p.table].bound == 0)
            {
                // Nobody uses the table: this costs no line.
                (place.sent, place.unsure) = (0.0, false);
                let (table, host) = (TableId(place.table as u16), host.id.clone());
                self.out.push_back(Decision::SetWeight {
                    table,
                    host,
                    weight: None,
                });
            }
            host.places.retain(Place::held);
        }
        let (held, keeps) = (self.hosts.len(), |h: &Host| !old(h) || !h.places.is_empty());
        self.hosts.retain(keeps);
        if self.hosts.len() < held {
            self.place_of = self
                .hosts
                .iter()
                .enumerate()
                .map(|(at, host)| (host.id.clone(), at))
                .collect();
            self.list_changed = true;
        }
    }
}

fn hash(seed: u64) -> u64 {
    fastrand::Rng::with_seed(seed).u64(..)
}
