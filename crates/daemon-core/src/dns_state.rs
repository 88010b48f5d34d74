//! Proxies that take their tables from the DNS server: joined while they query it, what is answered to them, and what may still
//! be held of it.

use crate::endpoint_list::{EndpointList, ListedHost};
use crate::recovered_state::RecoveredHost;
use crate::time::micros;
use pondarch_config::SiteSettings;
use pondarch_controller::DurationExt;
use pondarch_controller::{EndpointState, HostId, ProxyId, RequestClassId, TableId, Time};
use pondarch_dns_core::{
    AnsweredHost, CachedAnswers, Lifetime, Members, RecoveredVersion, Secondaries, SecondaryState,
};
use pondarch_dns_server::{TableHost, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Proxies that are tracked at most: those of the settings.
const MAX_MEMBERS: usize = 60_000;
/// How late the daemon may report an answer: it reports each table and proxy once in this time.
pub const DNS_QUERY_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Proxies that are not known count as one of so many unknown proxies. Each is bound like a known one, so that no table is
/// answered that the decisions keep no longer, and unknown proxies do not all use the same few hosts.
const UNKNOWN_PROXIES: usize = 4;
/// Serials that an earlier run may have given out after its last record: some a second, for the seconds that records may
/// be late.
const UNRECORDED_SERIALS: u32 = 100;
/// Stands for all that an earlier run gave away.
const PREVIOUS_RUN: TableId = TableId(u16::MAX - 2);
/// How often it is noted that copies of the zone are being answered from.
pub(crate) const SECONDARY_ANSWER_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) struct DnsState {
    pub(crate) members: Members,
    pub(crate) held: CachedAnswers,
    pub(crate) cache_lifetime: Duration,
    pub(crate) view: Arc<View>,
    /// Tables, bindings or the list may have changed since the view was made.
    pub(crate) view_outdated: bool,
    /// After its hosts were taken away, a table's last answer may be given for so long.
    pub(crate) last_answer_for: Duration,
    /// When the first such answer must end.
    pub(crate) last_answer_until: Option<Time>,
    /// Hosts that started anew and still get requests by older answers, with until when.
    pub(crate) excluded_until: BTreeMap<HostId, Time>,
    pub(crate) secondaries: Secondaries,
    pub(crate) secondary_names: Vec<String>,
    pub(crate) secondaries_answered_at: Time,
    /// When the load reports of hosts were last taken for counters.
    pub(crate) self_reports_taken_at: Time,
    pub(crate) unknown_proxies: Vec<ProxyId>,
}

/// Unknown proxies as proxies of a deployment: after those of the settings, one after the other from each zone.
pub(crate) fn unknown_proxies(site: &SiteSettings) -> Vec<pondarch_config::site::ProxyEntry> {
    if site.dns.is_none() {
        return Vec::new();
    }
    let usual: f64 = site
        .proxies
        .iter()
        .map(|proxy| proxy.typical_request_rate)
        .sum();
    let unknown_proxy = |n: usize| pondarch_config::site::ProxyEntry {
        name: format!("strangers-{n}"),
        zone: site.zones[n % site.zones.len()].clone(),
        runtime_api: None,
        dns_source_networks: Vec::new(),
        typical_request_rate: usual / site.proxies.len().max(1) as f64,
    };
    (0..UNKNOWN_PROXIES).map(unknown_proxy).collect()
}

impl DnsState {
    /// None without a DNS server, or with one whose lifetime does not fit its grace, which `check` refuses.
    pub(crate) fn new(site: &SiteSettings) -> Option<DnsState> {
        let dns = site.dns.as_ref()?;
        let lifetime: Lifetime = dns.answer_lifetime().ok()?;
        let holds = lifetime.max_cache_time() + DNS_QUERY_REPORT_INTERVAL;
        let spare = dns
            .drain_grace_period
            .0
            .micros()
            .saturating_sub(dns.max_list_delay.0.micros());
        Some(DnsState {
            members: Members::new(holds, MAX_MEMBERS),
            held: CachedAnswers::default(),
            cache_lifetime: holds,
            view: Arc::default(),
            view_outdated: true,
            last_answer_for: Lifetime::last_answer_window(Duration::from_micros(spare))
                .unwrap_or(Duration::ZERO),
            last_answer_until: None,
            excluded_until: BTreeMap::new(),
            secondaries: Secondaries::new(
                dns.secondaries.len(),
                dns.max_secondary_lag.0,
                dns.secondary_expiry.0,
            ),
            secondary_names: dns
                .secondaries
                .iter()
                .map(|secondary| secondary.key_name.clone())
                .collect(),
            secondaries_answered_at: Time::default(),
            self_reports_taken_at: Time::default(),
            unknown_proxies: (0..UNKNOWN_PROXIES)
                .map(|n| ProxyId((site.proxies.len() + n) as u16))
                .collect(),
        })
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    pub(crate) fn wake_at(&self) -> Option<Time> {
        let exclusion = self.excluded_until.values().min().copied();
        [
            self.members.next_expiry(),
            exclusion,
            self.last_answer_until,
            self.secondaries.next_due_at(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Tables or bindings may have changed.
    pub(crate) fn mark_outdated(&mut self) {
        self.view_outdated = true;
    }

    /// Proxies of the settings that query.
    pub(crate) fn members(&self) -> usize {
        self.members.len() - self.unknown_proxies_asking()
    }

    pub(crate) fn unknown_proxies(&self) -> usize {
        self.unknown_proxies.len()
    }

    /// Of the unknown proxies, those that somebody queried as.
    pub(crate) fn unknown_proxies_asking(&self) -> usize {
        self.unknown_proxies
            .iter()
            .filter(|id| self.members.contains(**id))
            .count()
    }

    /// Proxies that hold answers longer than they may, by their places.
    pub(crate) fn holds_too_long(&self) -> impl Iterator<Item = ProxyId> {
        // Unknown proxies are many, each with a cache of its own.
        self.members
            .caching_too_long()
            .filter(|id| !self.unknown_proxies.contains(id))
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
    pub(crate) fn secondary_states(&self, now: Time) -> BTreeMap<String, String> {
        let text_of = |state: SecondaryState| {
            let holds = state.serial.map_or("nothing yet".to_string(), |serial| {
                format!("holds {serial}")
            });
            match state.behind_since {
                Some(since) => format!("{holds}, behind for {:.1} s", (now - since).seconds()),
                None => holds,
            }
        };
        self.secondary_names
            .iter()
            .cloned()
            .zip(self.secondaries.states().map(text_of))
            .collect()
    }

    /// Serials go on from there. Whatever caches were given in the run's last moment they may hold for a while: any host that
    /// was known then, and of one that had just started the process before it.
    pub(crate) fn recover(&mut self, now: Time, last: Time, serial: u32, hosts: &[RecoveredHost]) {
        // What the run gave out after its last record is not known: a secondary that has it must see a newer one.
        self.view = Arc::new(View {
            serial: serial.wrapping_add(UNRECORDED_SERIALS),
            ..View::default()
        });
        let until = last + self.cache_lifetime;
        if until <= now {
            return;
        }
        let mut known = BTreeMap::new();
        let mut before = BTreeMap::new();
        for host in hosts {
            let id = HostId(host.entry.name.as_str().into());
            let started = Time::from_micros(host.started_us);
            let long_away = host
                .draining_since_us
                .is_some_and(|at| Time::from_micros(at) + self.cache_lifetime <= last);
            if long_away {
                continue;
            }
            let named = AnsweredHost {
                share: 1.0,
                address: host.entry.address,
                started,
            };
            if !started.is_unset() && last - started < self.cache_lifetime {
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
                    table: PREVIOUS_RUN,
                    serial,
                    cached_until: until,
                    hosts,
                })
                .into(),
        );
    }

    /// Hosts of the list that started anew and still get requests by older answers.
    pub(crate) fn hosts_to_exclude(
        &self,
        now: Time,
        list: &EndpointList,
    ) -> BTreeMap<HostId, Time> {
        let cold = |(host, known): &(&HostId, &ListedHost)| {
            known.state == EndpointState::Ready && list.is_warming_up(host, now)
        };
        let exclusion = |(host, known): (&HostId, &ListedHost)| {
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
        list.hosts
            .iter()
            .filter(cold)
            .filter_map(exclusion)
            .collect()
    }

    /// What is to be answered from these weights; its serial is that of the present view.
    pub(crate) fn build_view(
        &mut self,
        now: Time,
        bound: BTreeMap<(ProxyId, RequestClassId), TableId>,
        weights: &[(TableId, BTreeMap<HostId, f64>)],
        list: &EndpointList,
    ) -> View {
        let mut tables = BTreeMap::new();
        let mut last = BTreeSet::new();
        self.last_answer_until = None;
        for (table, weights) in weights {
            let (lines, until) = self.lines(now, weights, *table, list);
            if let Some(until) = until {
                last.insert(*table);
                self.last_answer_until = Some(
                    self.last_answer_until
                        .map_or(until, |other| other.min(until)),
                );
            }
            tables.insert(*table, lines);
        }
        View {
            serial: self.view.serial,
            tables,
            bindings: bound,
            hosts: list
                .hosts
                .iter()
                .map(|(host, known)| (host.clone(), known.entry.address))
                .collect(),
            last_answers: last,
            anonymous_proxies: self.unknown_proxies.clone(),
        }
    }

    /// Replaces the view, and notes what caches may hold of each table that changed; gives the new serial.
    pub(crate) fn publish_view(&mut self, now: Time, view: View, list: &EndpointList) -> u32 {
        let old = &self.view;
        // Seconds since 1970, so that a controller that starts again never goes back.
        let serial = old
            .serial
            .wrapping_add(1)
            .max((micros(now) / 1_000_000) as u32);
        for (table, lines) in &view.tables {
            if old.tables.get(table) != Some(lines) {
                self.held
                    .record_table(now, serial, *table, named_lines(lines, list));
            }
        }
        for table in old
            .tables
            .keys()
            .filter(|table| !view.tables.contains_key(table))
        {
            self.held.record_table(now, serial, *table, BTreeMap::new());
        }
        self.view = Arc::new(View { serial, ..view });
        serial
    }

    /// A table's lines as they are to be answered, and whether they are only what it last had.
    pub(crate) fn lines(
        &self,
        now: Time,
        weights: &BTreeMap<HostId, f64>,
        table: TableId,
        list: &EndpointList,
    ) -> (Vec<TableHost>, Option<Time>) {
        let line = |(host, weight): (&HostId, &f64)| {
            let addr = list.address(host).filter(|_| !list.must_drain(host))?;
            Some(TableHost {
                host: host.clone(),
                address: addr,
                weight: *weight,
                warming_up: list.is_warming_up(host, now),
            })
        };
        let mut lines: Vec<TableHost> = weights.iter().filter_map(line).collect();
        // An excluded host is better than none.
        if lines
            .iter()
            .any(|line| !self.excluded_until.contains_key(&line.host))
        {
            lines.retain(|line| !self.excluded_until.contains_key(&line.host));
        }
        if !lines.is_empty() {
            return (lines, None);
        }
        let until = |line: &TableHost| {
            Some(list.hosts.get(&line.host)?.draining_since? + self.last_answer_for)
        };
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

/// The lines of a table as caches may hold them.
fn named_lines(lines: &[TableHost], list: &EndpointList) -> BTreeMap<HostId, AnsweredHost> {
    let all: f64 = lines.iter().map(|line| line.weight).sum();
    lines
        .iter()
        .map(|line| {
            let started = list
                .hosts
                .get(&line.host)
                .map(|known| known.started)
                .unwrap_or_default();
            (
                line.host.clone(),
                AnsweredHost {
                    share: line.weight / all.max(1e-9),
                    address: line.address,
                    started,
                },
            )
        })
        .collect()
}
