//! Proxies that take their tables from the DNS front: joined while they ask, what is answered to them, and what may still
//! be held of it.

use crate::course::Course;
use crate::list::{HostList, Known};
use crate::peer::Link;
use crate::remembered::RememberedHost;
use crate::wire::{Event, Output, micros};
use pondarch::types::{HostId, Met, ProxyId, Span, Standing, TableId, Time};
use pondarch_dns_front::{Line, STANDING, View};
use pondarch_dns_rules::{Asked, Heard, Held, Lifetime, Members, Named, Secondaries};
use pondarch_settings::Site;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Proxies that are tracked at most: those of the settings.
const MEMBERS_MOST: usize = 60_000;
/// How late the edge may tell of an answer: it tells of each table and proxy once in this time.
pub const TOLD_WITHIN: Span = Span::from_millis(200);
/// Whoever is not known is one of so many strangers. Each is bound like a proxy, so that no table is given away that the
/// module keeps no longer, and strangers do not all meet the same few hosts.
const STRANGERS: usize = 4;
/// Serials that an earlier run may have given out after its last record: some a second, for the seconds that records may
/// be late.
const UNSEEN_SERIALS: u32 = 100;
/// Stands for all that an earlier run gave away.
const BEFORE: TableId = TableId(u16::MAX - 2);
/// How often it is noted that copies of the zone are being answered from.
const SERVED_EVERY: Span = Span::from_millis(100);

pub(crate) struct Names {
    members: Members,
    held: Held,
    holds: Span,
    view: Arc<View>,
    /// Tables, bindings or the list may have changed since the view was made.
    stale: bool,
    /// After its hosts were told away, a table's last answer may be given for so long.
    last_answer_for: Span,
    /// When the first such answer must end.
    last_until: Option<Time>,
    /// Hosts that started anew and are still met by answers from before, with until when.
    echoes: BTreeMap<HostId, Time>,
    secondaries: Secondaries,
    keys: Vec<String>,
    served: Time,
    /// When hosts' own words were last taken for looks.
    told: Time,
    strangers: Vec<ProxyId>,
}

/// Strangers as proxies of a site: after those of the settings, one after the other from each zone.
pub(crate) fn strangers(site: &Site) -> Vec<pondarch_settings::site::Proxy> {
    if site.dns.is_none() {
        return Vec::new();
    }
    let usual: f64 = site.proxies.iter().map(|proxy| proxy.usual_rate).sum();
    let stranger = |n: usize| pondarch_settings::site::Proxy {
        name: format!("strangers-{n}"),
        zone: site.zones[n % site.zones.len()].clone(),
        runtime: None,
        sources: Vec::new(),
        usual_rate: usual / site.proxies.len().max(1) as f64,
    };
    (0..STRANGERS).map(stranger).collect()
}

impl Names {
    /// None without a DNS front, or with one whose lifetime does not fit its grace, which `check` refuses.
    pub(crate) fn new(site: &Site) -> Option<Names> {
        let dns = site.dns.as_ref()?;
        let lifetime: Lifetime = dns.lifetime().ok()?;
        let holds = lifetime.held() + TOLD_WITHIN;
        let spare = dns.grace.0.as_micros().saturating_sub(dns.learns_within.0.as_micros());
        Some(Names {
            members: Members::new(holds, MEMBERS_MOST),
            held: Held::default(),
            holds,
            view: Arc::default(),
            stale: true,
            last_answer_for: Lifetime::last_answer_for(Span::from_micros(spare)).unwrap_or(Span::ZERO),
            last_until: None,
            echoes: BTreeMap::new(),
            secondaries: Secondaries::new(dns.secondaries.len(), dns.behind.0, dns.expires.0),
            keys: dns.secondaries.iter().map(|secondary| secondary.key.clone()).collect(),
            served: Time::default(),
            told: Time::default(),
            strangers: (0..STRANGERS).map(|n| ProxyId((site.proxies.len() + n) as u16)).collect(),
        })
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    pub(crate) fn wake_at(&self) -> Option<Time> {
        let echo = self.echoes.values().min().copied();
        [self.members.wake_at(), echo, self.last_until, self.secondaries.wake_at()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Tables or bindings may have changed.
    pub(crate) fn touch(&mut self) {
        self.stale = true;
    }

    /// Proxies of the settings that ask.
    pub(crate) fn members(&self) -> usize {
        self.members.len() - self.strangers_asking()
    }

    pub(crate) fn strangers(&self) -> usize {
        self.strangers.len()
    }

    /// Of the strangers, those that somebody asked as.
    pub(crate) fn strangers_asking(&self) -> usize {
        self.strangers.iter().filter(|id| self.members.holds(**id)).count()
    }

    /// Proxies that hold answers longer than they may, by their places.
    pub(crate) fn holds_too_long(&self) -> impl Iterator<Item = ProxyId> {
        // Strangers are many, each with a cache of its own.
        self.members.holds_too_long().filter(|id| !self.strangers.contains(id))
    }

    /// Hosts that no table names any more and caches may still hold, each with until when.
    pub(crate) fn lingering(&self, now: Time) -> BTreeMap<String, Time> {
        self.held.lingering(now).into_iter().map(|(host, until)| (host.0.to_string(), until)).collect()
    }

    /// Each secondary by its key: what it holds, and for how long it is behind.
    pub(crate) fn copies(&self, now: Time) -> BTreeMap<String, String> {
        let word = |(holds, behind): (Option<u32>, Option<Time>)| {
            let holds = holds.map_or("nothing yet".to_string(), |serial| format!("holds {serial}"));
            match behind {
                Some(since) => format!("{holds}, behind for {:.1} s", (now - since).secs()),
                None => holds,
            }
        };
        self.keys.iter().cloned().zip(self.secondaries.states().map(word)).collect()
    }

    /// Serials go on from there. Whatever caches were given in the run's last moment they may hold for a while: any host that
    /// was known then, and of one that had just started the process before it.
    pub(crate) fn recover(&mut self, now: Time, last: Time, serial: u32, hosts: &[RememberedHost]) {
        // What the run gave out after its last record is not known: a secondary that has it must see a newer one.
        self.view = Arc::new(View { serial: serial.wrapping_add(UNSEEN_SERIALS), ..View::default() });
        let until = last + self.holds;
        if until <= now {
            return;
        }
        let (mut known, mut before) = (BTreeMap::new(), BTreeMap::new());
        for host in hosts {
            let (id, started) = (HostId(host.entry.name.as_str().into()), Time::from_micros(host.started_us));
            let long_away = host.told_away_us.is_some_and(|at| Time::from_micros(at) + self.holds <= last);
            if long_away {
                continue;
            }
            let named = Named { part: 1.0, addr: host.entry.address, started };
            if !started.is_unset() && last - started < self.holds {
                before.insert(id.clone(), Named { started: Time::default(), ..named });
            }
            known.insert(id, named);
        }
        self.held.recover(now, vec![(BEFORE, serial, until, before), (BEFORE, serial, until, known)]);
    }

    /// Hosts of the list that started anew and are still met by answers from before.
    fn found_echoes(&self, now: Time, list: &HostList) -> BTreeMap<HostId, Time> {
        let cold =
            |(host, known): &(&HostId, &Known)| known.standing == Standing::Open && list.is_cold(host, now);
        let echo = |(host, known): (&HostId, &Known)| {
            Some((host.clone(), self.held.echo(now, host, known.entry.address, known.started)?))
        };
        list.known.iter().filter(cold).filter_map(echo).collect()
    }

    /// A table's lines as they are to be answered, and whether they are only what it last had.
    fn lines(
        &self,
        now: Time,
        dealt: &BTreeMap<HostId, f64>,
        table: TableId,
        list: &HostList,
    ) -> (Vec<Line>, Option<Time>) {
        let line = |(host, weight): (&HostId, &f64)| {
            let addr = list.address(host).filter(|_| !list.must_go(host))?;
            Some(Line { host: host.clone(), addr, weight: *weight, cold: list.is_cold(host, now) })
        };
        let mut lines: Vec<Line> = dealt.iter().filter_map(line).collect();
        // One that is kept out is better than none.
        if lines.iter().any(|line| !self.echoes.contains_key(&line.host)) {
            lines.retain(|line| !self.echoes.contains_key(&line.host));
        }
        if !lines.is_empty() {
            return (lines, None);
        }
        let until = |line: &Line| Some(list.known.get(&line.host)?.told_away? + self.last_answer_for);
        let still = |line: &&Line| until(line).is_some_and(|until| until > now);
        let last: Vec<Line> = self.view.lines(table).iter().filter(still).cloned().collect();
        let ends = last.iter().filter_map(until).min();
        (last, ends)
    }
}

impl Course {
    /// A table was answered as it was at this serial, to a proxy if it is known which.
    pub(crate) fn asked_by_name(&mut self, proxy: Option<u16>, table: Option<u16>, serial: u32) {
        let (now, cause) = (self.now, self.cause.clone());
        let Some(names) = &mut self.names else { return };
        if let Some(table) = table {
            names.held.answered(now, serial, TableId(table), names.holds);
            if names.view.serial != serial {
                self.find_echoes();
            }
        }
        if let Some(proxy) = proxy {
            self.asks_for_hosts(proxy, cause);
        }
    }

    fn asks_for_hosts(&mut self, proxy: u16, cause: String) {
        let now = self.now;
        let Some(names) = &mut self.names else { return };
        // Those with a runtime API are joined by it; that they ask for names as well changes nothing.
        let Some(peer) = self.peers.get_mut(proxy as usize) else { return };
        let Link::ByName { joined } = peer.link else { return };
        if names.members.asked(now, peer.id) == Asked::Joined && !joined {
            peer.link = Link::ByName { joined: true };
            let (id, usual, zone, proxy) = (peer.id, peer.usual, peer.zone, peer.name.clone());
            // Nobody can tell a restart: it counts as one that was there before.
            self.steward.proxy_joined(now, id, false, usual, zone);
            self.tell(Event::Joined { proxy, fresh: false, cause });
        }
    }

    /// What is due by time: who has left, what caches hold no more, and secondaries that are to be told.
    pub(crate) fn names_timers(&mut self) {
        let now = self.now;
        let Some(names) = &mut self.names else { return };
        if now - names.served >= SERVED_EVERY {
            names.served = now;
            if let Some(serial) = names.secondaries.oldest(now) {
                names.held.served(now, serial, names.holds);
                // Who asks a secondary is not seen here: strangers, as far as is known.
                for stranger in names.strangers.clone() {
                    self.asks_for_hosts(stranger.0, "a secondary serves".into());
                }
            }
        }
        let Some(names) = &mut self.names else { return };
        if names.last_until.take_if(|until| *until <= now).is_some() {
            names.stale = true;
        }
        let late = names.secondaries.late(now);
        let late: Vec<String> =
            late.into_iter().filter_map(|n| names.keys.get(usize::from(n)).cloned()).collect();
        let left = names.members.left(now);
        let ended = names.echoes.values().any(|until| *until <= now);
        for secondary in names.secondaries.say(now) {
            self.out.push_back(Output::SayChanged { secondary });
        }
        late.into_iter().for_each(|secondary| self.tell(Event::SecondaryLate { secondary }));
        for id in left {
            let peer = &mut self.peers[id.0 as usize];
            peer.link = Link::ByName { joined: false };
            peer.bound.clear();
            let proxy = peer.name.clone();
            self.steward.proxy_left(now, id);
            self.tell(Event::Left { proxy, why: "has not asked for its hosts".into() });
        }
        if ended {
            self.find_echoes();
        }
    }

    /// DNS brings no sums: of hosts that only proxies without a runtime API meet, what they say of themselves is all
    /// there is, and stands for a look at them. One that says nothing was not seen.
    pub(crate) fn told_of_themselves(&mut self) -> BTreeMap<HostId, Met> {
        let now = self.now;
        let Some(names) = &mut self.names else { return BTreeMap::new() };
        let last = std::mem::replace(&mut names.told, now);
        // Where proxies bring sums, those are the evidence: a host that hangs may still answer a short question.
        let looked_at = self.peers.iter().filter(|peer| peer.is_joined());
        let tables: BTreeSet<TableId> = looked_at.flat_map(|peer| peer.bound.values().copied()).collect();
        let of = |table: &TableId| self.books.books.get(table).into_iter().flat_map(|book| book.dealt.keys());
        let looked_at: BTreeSet<&HostId> = tables.iter().flat_map(of).collect();
        // Each word counts once, for the time since the last ones were taken.
        let over = (now - last).min(self.report_every.times(2.0));
        let told = self.loads.iter().filter(|(host, (at, _))| !looked_at.contains(host) && *at > last);
        told.map(|(host, (_, told))| (host.clone(), told.met(over))).collect()
    }

    pub(crate) fn secondary_heard(&mut self, n: u16, heard: Heard) {
        let now = self.now;
        if let Some(names) = &mut self.names {
            names.secondaries.heard(now, usize::from(n), heard);
        }
    }

    /// Hosts that started anew under the same name and address are kept out of all tables, of both fronts, until the
    /// answers of their old, heavy lines have run out: what caches bring such a host cannot be taken back, and with
    /// its new line on top it could be pushed over.
    pub(crate) fn find_echoes(&mut self) {
        let now = self.now;
        let Some(names) = &mut self.names else { return };
        let found = names.found_echoes(now, &self.list);
        let before = std::mem::replace(&mut names.echoes, found);
        let names = &self.names.as_ref().map(|names| names.echoes.clone()).unwrap_or_default();
        let changed: BTreeSet<&HostId> = before
            .keys()
            .filter(|host| !names.contains_key(*host))
            .chain(names.keys().filter(|host| !before.contains_key(*host)))
            .collect();
        if changed.is_empty() {
            return;
        }
        for table in self.books.keep_out(names.keys().cloned().collect(), &changed) {
            self.mark_table(table);
        }
        for (host, until) in names.iter().filter(|(host, _)| !before.contains_key(*host)) {
            let (host, for_s) = (host.0.to_string(), (*until - now).secs());
            self.tell(Event::KeptOut { host, for_s });
        }
        self.touch_names();
    }

    pub(crate) fn touch_names(&mut self) {
        if let Some(names) = &mut self.names {
            names.touch();
        }
    }

    /// What is to be answered from now on, if it changed.
    pub(crate) fn renew_view(&mut self) {
        let now = self.now;
        let Some(names) = self.names.as_mut().filter(|names| names.stale) else { return };
        names.stale = false;
        let list = &self.list;
        let by_name = self.peers.iter().filter(|peer| matches!(peer.link, Link::ByName { joined: true }));
        let bound: BTreeMap<_, TableId> = by_name
            .flat_map(|peer| peer.bound.iter().map(|(kind, table)| ((peer.id, *kind), *table)))
            .collect();
        let used: BTreeSet<TableId> = bound.values().copied().collect();
        // Where nobody is bound the list itself is all there is; cold hosts of it come with a table alone.
        let listed =
            list.known.iter().filter(|(host, k)| k.standing == Standing::Open && !list.is_cold(host, now));
        let listed: BTreeMap<HostId, f64> = listed.map(|(host, k)| (host.clone(), k.entry.weight)).collect();
        let dealt = |table: &TableId| self.books.books.get(table).map(|book| (*table, &book.dealt));
        let (mut tables, mut last) = (BTreeMap::new(), BTreeSet::new());
        names.last_until = None;
        for (table, dealt) in used.iter().filter_map(dealt).chain([(STANDING, &listed)]) {
            let (lines, until) = names.lines(now, dealt, table, list);
            if let Some(until) = until {
                last.insert(table);
                names.last_until = Some(names.last_until.map_or(until, |other| other.min(until)));
            }
            tables.insert(table, lines);
        }
        let hosts = list.known.iter().map(|(host, known)| (host.clone(), known.entry.address)).collect();
        let old = &names.view;
        let strangers = names.strangers.clone();
        let view = View { serial: old.serial, tables, bound, hosts, last, strangers };
        if view == **old {
            return;
        }
        // Seconds since 1970, so that a steward that starts again never goes back.
        let serial = old.serial.wrapping_add(1).max((micros(now) / 1_000_000) as u32);
        for (table, lines) in &view.tables {
            if old.tables.get(table) != Some(lines) {
                let all: f64 = lines.iter().map(|line| line.weight).sum();
                let named = |line: &Line| {
                    let started = list.known.get(&line.host).map(|known| known.started).unwrap_or_default();
                    (line.host.clone(), Named { part: line.weight / all.max(1e-9), addr: line.addr, started })
                };
                names.held.changed(now, serial, *table, lines.iter().map(named).collect());
            }
        }
        for table in old.tables.keys().filter(|table| !view.tables.contains_key(table)) {
            names.held.changed(now, serial, *table, BTreeMap::new());
        }
        names.view = Arc::new(View { serial, ..view });
        self.out.push_back(Output::ViewChanged { serial });
        // After the view, so that what they fetch is it.
        names.secondaries.changed(now, serial);
        for secondary in names.secondaries.say(now) {
            self.out.push_back(Output::SayChanged { secondary });
        }
    }
}
