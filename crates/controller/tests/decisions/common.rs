//! A stand-in for the surroundings of one steward: feeds it, carries out its rulings, and knows what would break a
//! rule.

use pondarch_controller::Steward;
use pondarch_controller::types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub(crate) const SECOND: u64 = 1_000_000;
/// Less than the shortest grace of any site less the longest way of a message.
pub(crate) const GRACE: u64 = SECOND;

pub(crate) fn ms(count: u64) -> Span {
    Span::from_millis(count)
}

pub(crate) fn host(n: usize) -> HostId {
    HostId(format!("host_{n}").into())
}

pub(crate) fn listing(n: usize, standing: Standing, started: Time) -> Listing {
    Listing {
        host: host(n),
        zone: ZoneId((n % 4) as u16),
        machine: MachineId(0),
        cell: CellId((n / 4) as u64),
        weight: 1.0 + (n % 2) as f64,
        started,
        standing,
    }
}

pub(crate) fn ticket(proxies: u64) -> JobTicket {
    let kind = |target, benefit| KindTicket {
        response_target: ms(target),
        benefit,
        own_zone: false,
    };
    JobTicket {
        kinds: vec![kind(1_000, 1.0), kind(800, 5.0), kind(600, 3.0)],
        proxies,
        zones: 4,
        base_tries: Some(Tries::Once),
        admission: Admission::Share,
        channel_rate: 8_000.0,
        most_waiting: 8_000.0,
        lines_per_message: 3.0,
        message_cap: 12,
        message_window: ms(10_000),
        ask_within: ms(10_000),
        report_every: ms(1_000),
        start_capacity: 0.2,
        cold: ms(18_000),
        crossing_price: 0.06,
        marks: true,
        ..JobTicket::default()
    }
}

#[derive(Default)]
pub(crate) struct Joined {
    pub tables: BTreeMap<Vec<KindId>, TableId>,
    pub messages: Vec<u64>,
}

/// The world as the steward's rulings make it.
pub(crate) struct Shop {
    pub steward: Steward,
    pub now: u64,
    pub wake: Option<u64>,
    pub cap: usize,
    pub listed: BTreeMap<HostId, Listing>,
    pub told_at: BTreeMap<HostId, u64>,
    pub lines: BTreeMap<(TableId, HostId), f64>,
    pub levels: BTreeMap<(TableId, KindId), (f64, Tries)>,
    pub proxies: BTreeMap<ProxyId, Joined>,
    pub probes: Vec<HostId>,
    pub asked: usize,
    pub version: u64,
    channel: Channel,
    kinds: usize,
}

/// Lines on their way to proxies, by the ticket's figures.
#[derive(Default)]
struct Channel {
    stated_rate: f64,
    rate: f64,
    loses_marks: bool,
    head: f64,
    most: f64,
    waiting: f64,
    most_seen: f64,
    sent: f64,
    /// Marked messages, each with the lines that are sent once it is.
    marked: VecDeque<(f64, MarkId)>,
}

impl Channel {
    fn send(&mut self, lines: f64, mark: Option<MarkId>) {
        self.waiting += lines;
        self.marked
            .extend(mark.map(|mark| (self.sent + self.waiting, mark)));
        self.most_seen = self.most_seen.max(self.waiting);
    }

    /// Goes on for so long; gives the marks of the messages that went out.
    fn run(&mut self, seconds: f64) -> Vec<MarkId> {
        let sent = (self.rate * seconds).min(self.waiting);
        self.waiting -= sent;
        self.sent += sent;
        let out = self
            .marked
            .iter()
            .take_while(|(lines, _)| *lines <= self.sent + 1e-6)
            .count();
        let marks = self.marked.drain(..out).map(|(_, mark)| mark);
        if self.loses_marks {
            Vec::new()
        } else {
            marks.collect()
        }
    }
}

impl Shop {
    pub(crate) fn open(ticket: JobTicket, hosts: usize) -> Shop {
        let now = 100 * SECOND;
        let cap = if ticket.message_cap == 0 {
            usize::MAX
        } else {
            ticket.message_cap as usize
        };
        let kinds = ticket.kinds.len();
        let channel = Channel {
            stated_rate: ticket.channel_rate,
            rate: ticket.channel_rate,
            head: ticket.lines_per_message,
            most: ticket.most_waiting,
            ..Channel::default()
        };
        let mut shop = Shop {
            steward: Steward::open(ticket, 7, Time::from_micros(now)),
            now,
            wake: None,
            cap,
            listed: BTreeMap::new(),
            told_at: BTreeMap::new(),
            lines: BTreeMap::new(),
            levels: BTreeMap::new(),
            proxies: BTreeMap::new(),
            probes: Vec::new(),
            asked: 0,
            version: 0,
            channel,
            kinds,
        };
        shop.list(
            true,
            (0..hosts)
                .map(|n| listing(n, Standing::Open, Time::default()))
                .collect(),
        );
        shop
    }

    pub(crate) fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    pub(crate) fn list(&mut self, complete: bool, entries: Vec<Listing>) {
        let before = self.listed.clone();
        if complete {
            self.listed.clear();
        }
        self.listed.extend(
            entries
                .iter()
                .map(|entry| (entry.host.clone(), entry.clone())),
        );
        let state = |of: &BTreeMap<HostId, Listing>, id: &HostId| {
            of.get(id).map(|h| (h.standing, h.started))
        };
        for id in before.keys().chain(self.listed.keys()) {
            if state(&before, id) != state(&self.listed, id) {
                self.told_at.insert(id.clone(), self.now);
            }
        }
        self.version += 1;
        self.steward
            .list_came(self.time(), self.version, complete, entries);
        self.pull();
    }

    pub(crate) fn join(&mut self, n: u16, fresh: bool, usual: f64) {
        self.proxies.insert(ProxyId(n), Joined::default());
        self.steward
            .proxy_joined(self.time(), ProxyId(n), fresh, usual, ZoneId(n % 4));
        self.pull();
    }

    pub(crate) fn leave(&mut self, n: u16) {
        self.proxies.remove(&ProxyId(n));
        self.steward.proxy_left(self.time(), ProxyId(n));
        self.pull();
    }

    pub(crate) fn met(&mut self, n: usize, tries: f64, errored: f64, mean: u64) {
        let met = Met {
            tries,
            errored,
            mean_time: ms(mean),
            over: ms(1_000),
            load: None,
        };
        self.steward.met(self.time(), &host(n), met);
    }

    /// Time goes on, with the wakes that the steward asked for and, every second, sums as `sums` tells them.
    pub(crate) fn run(&mut self, millis: u64, mut sums: impl FnMut(&mut Shop)) {
        let end = self.now + millis * 1_000;
        while self.now < end {
            self.now += 50_000;
            for mark in self.channel.run(0.05) {
                self.steward.mark_applied(self.time(), mark);
            }
            if self.now.is_multiple_of(SECOND) {
                sums(self);
            }
            if self.wake.is_some_and(|at| at <= self.now) {
                self.wake = None;
                self.steward.woke(self.time());
            }
            self.pull();
        }
    }

    fn pull(&mut self) {
        let mut told: BTreeMap<ProxyId, usize> = BTreeMap::new();
        let mut round_mark = None;
        let mut line = |proxies: Vec<ProxyId>| {
            proxies
                .into_iter()
                .for_each(|id| *told.entry(id).or_default() += 1)
        };
        while let Some(ruling) = self.steward.next(self.time()) {
            let of_table = |proxies: &BTreeMap<ProxyId, Joined>, table: TableId| -> Vec<ProxyId> {
                let on_it = |p: &Joined| p.tables.values().any(|t| *t == table);
                proxies
                    .iter()
                    .filter(|(_, p)| on_it(p))
                    .map(|(id, _)| *id)
                    .collect()
            };
            match ruling {
                Ruling::Deal {
                    table,
                    host,
                    weight,
                } => {
                    line(of_table(&self.proxies, table));
                    match weight {
                        Some(weight) => {
                            assert!(weight.is_finite() && weight > 0.0, "a weight of {weight}");
                            self.lines.insert((table, host), weight);
                        }
                        None => {
                            self.lines.remove(&(table, host));
                        }
                    }
                }
                Ruling::Bind {
                    proxy,
                    table,
                    kinds,
                } => {
                    let lines = self.lines.keys().filter(|(t, _)| *t == table).count() + self.kinds;
                    line(vec![proxy; lines + 1]);
                    let joined = self
                        .proxies
                        .get_mut(&proxy)
                        .expect("only joined proxies are bound");
                    joined.tables.insert(kinds, table);
                }
                Ruling::Level {
                    table,
                    kind,
                    quota,
                    tries,
                } => {
                    line(of_table(&self.proxies, table));
                    assert!(quota.is_finite() && quota >= 0.0, "a level of {quota}");
                    self.levels.insert((table, kind), (quota, tries));
                }
                Ruling::Mark(mark) => round_mark = Some(mark),
                Ruling::Probe(host) => self.probes.push(host),
                Ruling::FollowList => self.asked += 1,
                Ruling::WakeIn(span) => self.wake = Some(self.now + span.as_micros()),
            }
        }
        for (proxy, lines) in told {
            self.proxies
                .get_mut(&proxy)
                .expect("joined")
                .messages
                .push(self.now);
            let marks = f64::from(u8::from(round_mark.is_some()));
            self.channel
                .send(lines as f64 + marks + self.channel.head, round_mark);
        }
    }

    /// From now on the channel sends at this part of its stated rate.
    pub(crate) fn slow_channel_to(&mut self, part: f64) {
        self.channel.rate = self.channel.stated_rate * part;
    }

    /// Whether answers to marks are lost from now on.
    pub(crate) fn lose_marks(&mut self, lost: bool) {
        self.channel.loses_marks = lost;
    }

    /// How long a message that is sent now takes to leave the channel.
    pub(crate) fn queue_seconds(&self) -> f64 {
        self.channel.waiting / self.channel.rate
    }

    /// Lines that the channel was given since the start.
    pub(crate) fn lines_ordered(&self) -> f64 {
        self.channel.sent + self.channel.waiting
    }

    fn used(&self) -> BTreeSet<TableId> {
        self.proxies
            .values()
            .flat_map(|p| p.tables.values())
            .copied()
            .collect()
    }

    /// Whether no table in use names a host.
    pub(crate) fn is_out(&self, n: usize) -> bool {
        !self
            .used()
            .iter()
            .any(|table| self.lines.contains_key(&(*table, host(n))))
    }

    pub(crate) fn hosts_of(&self, table: TableId) -> BTreeSet<HostId> {
        let open = self.lines.keys().filter(|(t, _)| *t == table);
        open.map(|(_, host)| host.clone()).collect()
    }

    /// Hosts of the table in use that has the fewest.
    pub(crate) fn smallest_table(&self) -> usize {
        self.used()
            .into_iter()
            .map(|table| self.hosts_of(table).len())
            .min()
            .unwrap_or(0)
    }

    fn warm(&self, host: &Listing) -> bool {
        host.standing == Standing::Open
            && (host.started.is_unset() || self.time() - host.started >= ms(18_000))
    }

    /// Whether what the list says of a host is old enough that its proxies must go by it.
    fn due(&self, host: &HostId) -> bool {
        self.now - self.told_at.get(host).copied().unwrap_or(0) > GRACE
    }

    /// The most lines that ever waited, in parts of how many may.
    pub(crate) fn most_waiting(&self) -> f64 {
        self.channel.most_seen / self.channel.most
    }

    /// Rules that must hold whenever the steward has no more to say.
    pub(crate) fn check(&self) {
        let open_warm = self.listed.values().any(|h| self.warm(h));
        for (id, proxy) in &self.proxies {
            assert!(!proxy.tables.is_empty(), "{id:?} was not answered");
            for table in proxy.tables.values() {
                let hosts = self.hosts_of(*table);
                assert!(
                    !open_warm || !hosts.is_empty(),
                    "{id:?} has nothing to pick on {table:?}"
                );
                for host in &hosts {
                    let standing = self.listed.get(host).map_or(Standing::Gone, |h| h.standing);
                    assert!(
                        standing == Standing::Open || !self.due(host),
                        "{host:?} is still used"
                    );
                }
            }
            let since = self.now.saturating_sub(10 * SECOND);
            let lately = proxy.messages.iter().filter(|at| **at > since).count();
            assert!(
                lately <= self.cap,
                "{lately} messages to {id:?} within the window"
            );
        }
        for table in self.used() {
            for (host, weight) in self
                .lines
                .iter()
                .filter(|((t, _), _)| *t == table)
                .map(|((_, h), w)| (h, w))
            {
                let Some(listed) = self.listed.get(host).filter(|h| !h.started.is_unset()) else {
                    continue;
                };
                if !self.due(host) {
                    continue;
                }
                let age = (self.time() - listed.started) / ms(18_000);
                // What a cold host may get: its part of its listed weight, with the slack of one line step.
                let most = listed.weight * (0.2 + 0.8 * age.min(1.0)) * 1.5 + 0.01;
                assert!(
                    *weight <= most,
                    "{host:?} has {weight} at {age} of its warming"
                );
            }
        }
        for (quota, tries) in self.levels.values() {
            assert!(
                *quota >= 0.0 && *tries <= Tries::AgainIfNeverRun,
                "a try that may have run is repeated"
            );
        }
    }
}
