//! Proxies that take their tables from the DNS front: joined while they ask, what is answered to them, and what may still
//! be held of it.

use crate::list::{HostList, Known};
use crate::remembered::RememberedHost;
use pondarch_config::Site;
use pondarch_controller::DurationExt;
use pondarch_controller::{EndpointState, HostId, ProxyId, TableId, Time};
use pondarch_dns_core::{
    AnsweredHost, CachedAnswers, Lifetime, Members, RecoveredVersion, Secondaries, SecondaryState,
};
use pondarch_dns_server::{TableHost, View};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Proxies that are tracked at most: those of the settings.
const MEMBERS_MOST: usize = 60_000;
/// How late the edge may tell of an answer: it tells of each table and proxy once in this time.
pub const TOLD_WITHIN: Duration = Duration::from_millis(200);
/// Whoever is not known is one of so many strangers. Each is bound like a proxy, so that no table is given away that the
/// module keeps no longer, and strangers do not all meet the same few hosts.
const STRANGERS: usize = 4;
/// Serials that an earlier run may have given out after its last record: some a second, for the seconds that records may
/// be late.
const UNSEEN_SERIALS: u32 = 100;
/// Stands for all that an earlier run gave away.
const BEFORE: TableId = TableId(u16::MAX - 2);
/// How often it is noted that copies of the zone are being answered from.
pub(crate) const SERVED_EVERY: Duration = Duration::from_millis(100);

pub(crate) struct Names {
    pub(crate) members: Members,
    pub(crate) held: CachedAnswers,
    pub(crate) holds: Duration,
    pub(crate) view: Arc<View>,
    /// Tables, bindings or the list may have changed since the view was made.
    pub(crate) stale: bool,
    /// After its hosts were told away, a table's last answer may be given for so long.
    pub(crate) last_answer_for: Duration,
    /// When the first such answer must end.
    pub(crate) last_until: Option<Time>,
    /// Hosts that started anew and are still met by answers from before, with until when.
    pub(crate) echoes: BTreeMap<HostId, Time>,
    pub(crate) secondaries: Secondaries,
    pub(crate) keys: Vec<String>,
    pub(crate) served: Time,
    /// When hosts' own words were last taken for looks.
    pub(crate) told: Time,
    pub(crate) strangers: Vec<ProxyId>,
}

/// Strangers as proxies of a site: after those of the settings, one after the other from each zone.
pub(crate) fn strangers(site: &Site) -> Vec<pondarch_config::site::Proxy> {
    if site.dns.is_none() {
        return Vec::new();
    }
    let usual: f64 = site.proxies.iter().map(|proxy| proxy.usual_rate).sum();
    let stranger = |n: usize| pondarch_config::site::Proxy {
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
        let holds = lifetime.max_cache_time() + TOLD_WITHIN;
        let spare = dns
            .grace
            .0
            .micros()
            .saturating_sub(dns.learns_within.0.micros());
        Some(Names {
            members: Members::new(holds, MEMBERS_MOST),
            held: CachedAnswers::default(),
            holds,
            view: Arc::default(),
            stale: true,
            last_answer_for: Lifetime::last_answer_window(Duration::from_micros(spare))
                .unwrap_or(Duration::ZERO),
            last_until: None,
            echoes: BTreeMap::new(),
            secondaries: Secondaries::new(dns.secondaries.len(), dns.behind.0, dns.expires.0),
            keys: dns
                .secondaries
                .iter()
                .map(|secondary| secondary.key.clone())
                .collect(),
            served: Time::default(),
            told: Time::default(),
            strangers: (0..STRANGERS)
                .map(|n| ProxyId((site.proxies.len() + n) as u16))
                .collect(),
        })
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    pub(crate) fn wake_at(&self) -> Option<Time> {
        let echo = self.echoes.values().min().copied();
        [
            self.members.next_expiry(),
            echo,
            self.last_until,
            self.secondaries.next_due_at(),
        ]
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
        self.strangers
            .iter()
            .filter(|id| self.members.contains(**id))
            .count()
    }

    /// Proxies that hold answers longer than they may, by their places.
    pub(crate) fn holds_too_long(&self) -> impl Iterator<Item = ProxyId> {
        // Strangers are many, each with a cache of its own.
        self.members
            .caching_too_long()
            .filter(|id| !self.strangers.contains(id))
    }

    /// Hosts that no table names any more and caches may still hold, each with until when.
    pub(crate) fn lingering(&self, now: Time) -> BTreeMap<String, Time> {
        self.held
            .lingering(now)
            .into_iter()
            .map(|(host, until)| (host.0.to_string(), until))
            .collect()
    }

    /// Each secondary by its key: what it holds, and for how long it is behind.
    pub(crate) fn copies(&self, now: Time) -> BTreeMap<String, String> {
        let word = |state: SecondaryState| {
            let holds = state.serial.map_or("nothing yet".to_string(), |serial| {
                format!("holds {serial}")
            });
            match state.behind_since {
                Some(since) => format!("{holds}, behind for {:.1} s", (now - since).seconds()),
                None => holds,
            }
        };
        self.keys
            .iter()
            .cloned()
            .zip(self.secondaries.states().map(word))
            .collect()
    }

    /// Serials go on from there. Whatever caches were given in the run's last moment they may hold for a while: any host that
    /// was known then, and of one that had just started the process before it.
    pub(crate) fn recover(&mut self, now: Time, last: Time, serial: u32, hosts: &[RememberedHost]) {
        // What the run gave out after its last record is not known: a secondary that has it must see a newer one.
        self.view = Arc::new(View {
            serial: serial.wrapping_add(UNSEEN_SERIALS),
            ..View::default()
        });
        let until = last + self.holds;
        if until <= now {
            return;
        }
        let (mut known, mut before) = (BTreeMap::new(), BTreeMap::new());
        for host in hosts {
            let (id, started) = (
                HostId(host.entry.name.as_str().into()),
                Time::from_micros(host.started_us),
            );
            let long_away = host
                .told_away_us
                .is_some_and(|at| Time::from_micros(at) + self.holds <= last);
            if long_away {
                continue;
            }
            let named = AnsweredHost {
                share: 1.0,
                address: host.entry.address,
                started,
            };
            if !started.is_unset() && last - started < self.holds {
                before.insert(
                    id.clone(),
                    AnsweredHost {
                        started: Time::default(),
                        ..named
                    },
                );
            }
            known.insert(id, named);
        }
        self.held.recover(
            now,
            [before, known]
                .map(|hosts| RecoveredVersion {
                    table: BEFORE,
                    serial,
                    cached_until: until,
                    hosts,
                })
                .into(),
        );
    }

    /// Hosts of the list that started anew and are still met by answers from before.
    pub(crate) fn found_echoes(&self, now: Time, list: &HostList) -> BTreeMap<HostId, Time> {
        let cold = |(host, known): &(&HostId, &Known)| {
            known.standing == EndpointState::Ready && list.is_cold(host, now)
        };
        let echo = |(host, known): (&HostId, &Known)| {
            Some((
                host.clone(),
                self.held.earlier_incarnation_cached_until(
                    now,
                    host,
                    known.entry.address,
                    known.started,
                )?,
            ))
        };
        list.known.iter().filter(cold).filter_map(echo).collect()
    }

    /// A table's lines as they are to be answered, and whether they are only what it last had.
    pub(crate) fn lines(
        &self,
        now: Time,
        dealt: &BTreeMap<HostId, f64>,
        table: TableId,
        list: &HostList,
    ) -> (Vec<TableHost>, Option<Time>) {
        let line = |(host, weight): (&HostId, &f64)| {
            let addr = list.address(host).filter(|_| !list.must_go(host))?;
            Some(TableHost {
                host: host.clone(),
                address: addr,
                weight: *weight,
                warming_up: list.is_cold(host, now),
            })
        };
        let mut lines: Vec<TableHost> = dealt.iter().filter_map(line).collect();
        // One that is kept out is better than none.
        if lines
            .iter()
            .any(|line| !self.echoes.contains_key(&line.host))
        {
            lines.retain(|line| !self.echoes.contains_key(&line.host));
        }
        if !lines.is_empty() {
            return (lines, None);
        }
        let until =
            |line: &TableHost| Some(list.known.get(&line.host)?.told_away? + self.last_answer_for);
        let still = |line: &&TableHost| until(line).is_some_and(|until| until > now);
        let last: Vec<TableHost> = self
            .view
            .table_hosts(table)
            .iter()
            .filter(still)
            .cloned()
            .collect();
        let ends = last.iter().filter_map(until).min();
        (last, ends)
    }
}
