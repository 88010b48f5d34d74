//! Proxies that get their tables from the DNS server: which of them are joined, what is answered to them, and which
//! answers caches may still hold.

use crate::endpoint_list::{EndpointList, ListedHost};
use crate::recovered_state::RecoveredHost;
use crate::time::unix_micros;
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

/// Maximum number of proxies that are tracked; only those of the settings are.
const MAX_MEMBERS: usize = 60_000;
/// How late the daemon may report an answer: it reports each table and proxy at most once in this interval.
pub const DNS_QUERY_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Proxies that are not in the settings count as one of this many unknown proxies. Each of these is bound like a known
/// proxy, so that only tables that the controller maintains are answered, and unknown proxies do not all use the same
/// few hosts.
const UNKNOWN_PROXIES: usize = 4;
/// Number of serials that the previous run may have published after its last record: a few per second, for the seconds
/// that the event log may be behind.
const UNRECORDED_SERIALS: u32 = 100;
/// The table id under which all answers of the previous run are kept.
const PREVIOUS_RUN: TableId = TableId(u16::MAX - 2);
/// How often the answers that secondaries give from their copies of the zone are recorded.
pub(crate) const SECONDARY_ANSWER_INTERVAL: Duration = Duration::from_millis(100);

pub(crate) struct DnsState {
    pub(crate) members: Members,
    pub(crate) cached_answers: CachedAnswers,
    pub(crate) cache_lifetime: Duration,
    pub(crate) view: Arc<View>,
    /// Whether tables, bindings or the endpoint list may have changed since the view was built.
    pub(crate) view_outdated: bool,
    /// For how long the last answer of a table may still be given after all its hosts were removed.
    pub(crate) last_answer_window: Duration,
    /// When the first of these last answers must end.
    pub(crate) last_answer_until: Option<Time>,
    /// Restarted hosts that still get requests by answers from before the restart, with the end of their exclusion.
    pub(crate) excluded_until: BTreeMap<HostId, Time>,
    pub(crate) secondaries: Secondaries,
    pub(crate) secondary_names: Vec<String>,
    pub(crate) secondaries_answered_at: Time,
    /// When the load reports of hosts were last used in place of proxy counters.
    pub(crate) self_reports_taken_at: Time,
    pub(crate) unknown_proxies: Vec<ProxyId>,
}

/// The proxies that stand for unknown ones; their ids follow those of the settings, and their zones take turns.
pub(crate) fn unknown_proxies(site: &SiteSettings) -> Vec<pondarch_config::site::ProxyEntry> {
    if site.dns.is_none() {
        return Vec::new();
    }
    let total_usual_rate: f64 = site
        .proxies
        .iter()
        .map(|proxy| proxy.typical_request_rate)
        .sum();
    let unknown_proxy = |n: usize| pondarch_config::site::ProxyEntry {
        name: format!("strangers-{n}"),
        zone: site.zones[n % site.zones.len()].clone(),
        runtime_api: None,
        dns_source_networks: Vec::new(),
        typical_request_rate: total_usual_rate / site.proxies.len().max(1) as f64,
    };
    (0..UNKNOWN_PROXIES).map(unknown_proxy).collect()
}

impl DnsState {
    /// None without a DNS server, or if its lifetime does not fit its grace period, which `check` rejects.
    pub(crate) fn new(site: &SiteSettings) -> Option<DnsState> {
        let dns = site.dns.as_ref()?;
        let lifetime: Lifetime = dns.answer_lifetime().ok()?;
        let cache_lifetime = lifetime.max_cache_time() + DNS_QUERY_REPORT_INTERVAL;
        let grace_left_us = dns
            .drain_grace_period
            .0
            .micros()
            .saturating_sub(dns.max_list_delay.0.micros());
        Some(DnsState {
            members: Members::new(cache_lifetime, MAX_MEMBERS),
            cached_answers: CachedAnswers::default(),
            cache_lifetime,
            view: Arc::default(),
            view_outdated: true,
            last_answer_window: Lifetime::last_answer_window(Duration::from_micros(grace_left_us))
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
                .map(|index| ProxyId((site.proxies.len() + index) as u16))
                .collect(),
        })
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    pub(crate) fn wake_at(&self) -> Option<Time> {
        let exclusion_end = self.excluded_until.values().min().copied();
        [
            self.members.next_expiry(),
            exclusion_end,
            self.last_answer_until,
            self.secondaries.next_due_at(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Tables, bindings or the endpoint list may have changed: the view is to be built again.
    pub(crate) fn mark_outdated(&mut self) {
        self.view_outdated = true;
    }

    /// Number of proxies of the settings that query the DNS server.
    pub(crate) fn querying_proxies(&self) -> usize {
        self.members.len() - self.querying_unknown_proxies()
    }

    pub(crate) fn unknown_proxy_count(&self) -> usize {
        self.unknown_proxies.len()
    }

    /// Number of unknown proxies that currently query the DNS server.
    pub(crate) fn querying_unknown_proxies(&self) -> usize {
        self.unknown_proxies
            .iter()
            .filter(|id| self.members.contains(**id))
            .count()
    }

    /// Proxies that cache answers for longer than they may.
    pub(crate) fn caching_too_long(&self) -> impl Iterator<Item = ProxyId> {
        // Not the unknown ones: each of them stands for many proxies with caches of their own.
        self.members
            .caching_too_long()
            .filter(|id| !self.unknown_proxies.contains(id))
    }

    /// Hosts that are in no table any more but may still be in caches, each with the end of that time.
    pub(crate) fn lingering(&self, now: Time) -> BTreeMap<String, Time> {
        self.cached_answers
            .lingering(now)
            .into_iter()
            .map(|(host, until)| (host.0.to_string(), until))
            .collect()
    }

    /// The state of each secondary, by its key name: the serial that it holds, and for how long it has been behind.
    pub(crate) fn secondary_states(&self, now: Time) -> BTreeMap<String, String> {
        let describe = |state: SecondaryState| {
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
            .zip(self.secondaries.states().map(describe))
            .collect()
    }

    /// Restores the state of the previous run, whose last record is of `last`. Serials continue from its serial. Caches
    /// may hold answers from its last moment: these are taken to name every host that was known then and, for a host
    /// that had just started, also the process before it.
    pub(crate) fn recover(&mut self, now: Time, last: Time, serial: u32, hosts: &[RecoveredHost]) {
        // The previous run may have published further serials after its last record: a secondary that has one of them
        // must see a newer one.
        self.view = Arc::new(View {
            serial: serial.wrapping_add(UNRECORDED_SERIALS),
            ..View::default()
        });
        let until = last + self.cache_lifetime;
        if until <= now {
            return;
        }
        let mut answered = BTreeMap::new();
        let mut earlier_processes = BTreeMap::new();
        for host in hosts {
            let id = HostId(host.entry.name.as_str().into());
            let started = Time::from_micros(host.started_us);
            let drained_long_ago = host
                .draining_since_us
                .is_some_and(|at| Time::from_micros(at) + self.cache_lifetime <= last);
            if drained_long_ago {
                continue;
            }
            let answered_host = AnsweredHost {
                share: 1.0,
                address: host.entry.address,
                started,
            };
            if !started.is_unset() && last - started < self.cache_lifetime {
                earlier_processes.insert(
                    id.clone(),
                    AnsweredHost {
                        started: Time::default(),
                        ..answered_host
                    },
                );
            }
            answered.insert(id, answered_host);
        }
        self.cached_answers.recover(
            now,
            [earlier_processes, answered]
                .map(|hosts| RecoveredVersion {
                    table: PREVIOUS_RUN,
                    serial,
                    cached_until: until,
                    hosts,
                })
                .into(),
        );
    }

    /// Restarted hosts that still get requests by answers from before the restart, with the end of that time.
    pub(crate) fn hosts_to_exclude(
        &self,
        now: Time,
        list: &EndpointList,
    ) -> BTreeMap<HostId, Time> {
        let is_warming_up = |(id, host): &(&HostId, &ListedHost)| {
            host.state == EndpointState::Ready && list.is_warming_up(id, now)
        };
        let exclusion = |(id, host): (&HostId, &ListedHost)| {
            Some((
                id.clone(),
                self.cached_answers.earlier_incarnation_cached_until(
                    now,
                    id,
                    host.entry.address,
                    host.started,
                )?,
            ))
        };
        list.hosts
            .iter()
            .filter(is_warming_up)
            .filter_map(exclusion)
            .collect()
    }

    /// The view for these bindings and weights, with the serial of the current view.
    pub(crate) fn build_view(
        &mut self,
        now: Time,
        bindings: BTreeMap<(ProxyId, RequestClassId), TableId>,
        weights: &[(TableId, BTreeMap<HostId, f64>)],
        list: &EndpointList,
    ) -> View {
        let mut tables = BTreeMap::new();
        let mut last_answers = BTreeSet::new();
        self.last_answer_until = None;
        for (table, weights) in weights {
            let (lines, until) = self.table_answer(now, weights, *table, list);
            if let Some(until) = until {
                last_answers.insert(*table);
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
            bindings,
            hosts: list
                .hosts
                .iter()
                .map(|(id, host)| (id.clone(), host.entry.address))
                .collect(),
            last_answers,
            anonymous_proxies: self.unknown_proxies.clone(),
        }
    }

    /// Replaces the view, and records what caches may hold of each changed table; returns the new serial.
    pub(crate) fn publish_view(&mut self, now: Time, view: View, list: &EndpointList) -> u32 {
        let old = &self.view;
        // At least the seconds since 1970, so that serials never go back when the controller restarts.
        let serial = old
            .serial
            .wrapping_add(1)
            .max((unix_micros(now) / 1_000_000) as u32);
        for (table, lines) in &view.tables {
            if old.tables.get(table) != Some(lines) {
                self.cached_answers
                    .record_table(now, serial, *table, answered_hosts(lines, list));
            }
        }
        for table in old
            .tables
            .keys()
            .filter(|table| !view.tables.contains_key(table))
        {
            self.cached_answers
                .record_table(now, serial, *table, BTreeMap::new());
        }
        self.view = Arc::new(View { serial, ..view });
        serial
    }

    /// The lines to answer for a table. If it has none, those of its last answer, with the time when the first of these
    /// must end.
    pub(crate) fn table_answer(
        &self,
        now: Time,
        weights: &BTreeMap<HostId, f64>,
        table: TableId,
        list: &EndpointList,
    ) -> (Vec<TableHost>, Option<Time>) {
        let line = |(host, weight): (&HostId, &f64)| {
            let address = list.address(host).filter(|_| !list.must_drain(host))?;
            Some(TableHost {
                host: host.clone(),
                address,
                weight: *weight,
                warming_up: list.is_warming_up(host, now),
            })
        };
        let mut lines: Vec<TableHost> = weights.iter().filter_map(line).collect();
        // If all hosts are excluded, they are answered: an excluded host is better than none.
        if lines
            .iter()
            .any(|line| !self.excluded_until.contains_key(&line.host))
        {
            lines.retain(|line| !self.excluded_until.contains_key(&line.host));
        }
        if !lines.is_empty() {
            return (lines, None);
        }
        let answered_until = |line: &TableHost| {
            Some(list.hosts.get(&line.host)?.draining_since? + self.last_answer_window)
        };
        let is_answered = |line: &&TableHost| answered_until(line).is_some_and(|until| until > now);
        let last_answer: Vec<TableHost> = self
            .view
            .table_hosts(table)
            .iter()
            .filter(is_answered)
            .cloned()
            .collect();
        let first_end = last_answer.iter().filter_map(answered_until).min();
        (last_answer, first_end)
    }
}

/// The hosts that an answer with these lines names, as caches may hold them.
fn answered_hosts(lines: &[TableHost], list: &EndpointList) -> BTreeMap<HostId, AnsweredHost> {
    let total_weight: f64 = lines.iter().map(|line| line.weight).sum();
    lines
        .iter()
        .map(|line| {
            let started = list
                .hosts
                .get(&line.host)
                .map(|host| host.started)
                .unwrap_or_default();
            (
                line.host.clone(),
                AnsweredHost {
                    share: line.weight / total_weight.max(1e-9),
                    address: line.address,
                    started,
                },
            )
        })
        .collect()
}
