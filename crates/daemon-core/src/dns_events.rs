//! Events of proxies that query the DNS server: joins those that query, removes those that stopped, changes the
//! answers, and excludes restarted hosts that caches still name.

use crate::dns_state::SECONDARY_ANSWER_INTERVAL;
use crate::event::Event;
use crate::output::Output;
use crate::peer::LinkState;
use crate::state::DaemonState;
use pondarch_controller::DurationExt;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{
    AttemptOutcomes, EndpointState, HostId, ProxyId, RequestClassId, TableId,
};
use pondarch_dns_core::{QueryOutcome, SecondaryEvent};
use pondarch_dns_server::UNBOUND_TABLE;
use std::collections::{BTreeMap, BTreeSet};

impl DaemonState {
    /// A table was answered as of this serial; `proxy` is none if the sender of the query is not known.
    pub(crate) fn on_dns_query(&mut self, proxy: Option<u16>, table: Option<u16>, serial: u32) {
        let now = self.now;
        let cause = self.cause.clone();
        let Some(dns) = &mut self.dns else { return };
        if let Some(table) = table {
            dns.cached_answers
                .record_answer(now, serial, TableId(table), dns.cache_lifetime);
            if dns.view.serial != serial {
                self.update_exclusions();
            }
        }
        if let Some(proxy) = proxy {
            self.join_dns_proxy(proxy, cause);
        }
    }

    fn join_dns_proxy(&mut self, proxy: u16, cause: String) {
        let now = self.now;
        let Some(dns) = &mut self.dns else { return };
        // Proxies with a runtime API are joined by that; their DNS queries have no effect.
        let Some(peer) = self.peers.get_mut(proxy as usize) else {
            return;
        };
        let LinkState::Dns { joined } = peer.link else {
            return;
        };
        if dns.members.record_query(now, peer.id) == QueryOutcome::Joined && !joined {
            peer.link = LinkState::Dns { joined: true };
            let id = peer.id;
            let usual_rate = peer.usual_rate;
            let zone = peer.zone;
            let proxy = peer.name.clone();
            // A restart of the proxy cannot be detected here, so it never counts as newly started.
            self.controller.proxy_joined(
                now,
                JoiningProxy {
                    id,
                    zone,
                    newly_started: false,
                    usual_rate,
                },
            );
            self.log_event(Event::ProxyJoined {
                proxy,
                fresh: false,
                cause,
            });
        }
    }

    /// Runs what is due by time: proxies that stopped querying, ended exclusions and last answers, and notifications of
    /// secondaries.
    pub(crate) fn run_dns_timers(&mut self) {
        let now = self.now;
        let Some(dns) = &mut self.dns else { return };
        if now - dns.secondaries_answered_at >= SECONDARY_ANSWER_INTERVAL {
            dns.secondaries_answered_at = now;
            if let Some(serial) = dns.secondaries.oldest_served_serial(now) {
                dns.cached_answers
                    .record_zone_copy(now, serial, dns.cache_lifetime);
                // Queries to a secondary are not visible here: they count as queries of unknown proxies.
                for unknown_proxy in dns.unknown_proxies.clone() {
                    self.join_dns_proxy(unknown_proxy.0, "a secondary serves".into());
                }
            }
        }
        let Some(dns) = &mut self.dns else { return };
        if dns
            .last_answer_until
            .take_if(|until| *until <= now)
            .is_some()
        {
            dns.view_outdated = true;
        }
        let overdue = dns.secondaries.take_overdue(now);
        let overdue: Vec<String> = overdue
            .into_iter()
            .filter_map(|index| dns.secondary_names.get(usize::from(index)).cloned())
            .collect();
        let left = dns.members.remove_expired(now);
        let exclusion_ended = dns.excluded_until.values().any(|until| *until <= now);
        for secondary in dns.secondaries.take_due_notifications(now) {
            self.outputs
                .push_back(Output::NotifySecondary { secondary });
        }
        for secondary in overdue {
            self.log_event(Event::SecondaryBehind { secondary });
        }
        for id in left {
            let peer = &mut self.peers[id.0 as usize];
            peer.link = LinkState::Dns { joined: false };
            peer.bindings.clear();
            let proxy = peer.name.clone();
            self.controller.proxy_left(now, id);
            self.log_event(Event::ProxyLeft {
                proxy,
                reason: "has not asked for its hosts".into(),
            });
        }
        if exclusion_ended {
            self.update_exclusions();
        }
    }

    /// Proxies that use only DNS report no counters. For hosts that only such proxies use, the hosts' own load reports
    /// take the place of counters. A host without a report counts as not observed.
    pub(crate) fn self_reported_outcomes(&mut self) -> BTreeMap<HostId, AttemptOutcomes> {
        let now = self.now;
        let Some(dns) = &mut self.dns else {
            return BTreeMap::new();
        };
        let last_taken = std::mem::replace(&mut dns.self_reports_taken_at, now);
        // Where proxies report counters, only those count: a host that hangs may still reply to a load read.
        let observing_peers = self.peers.iter().filter(|peer| peer.is_joined());
        let tables: BTreeSet<TableId> = observing_peers
            .flat_map(|peer| peer.bindings.values().copied())
            .collect();
        let hosts_of = |table: &TableId| {
            self.tables
                .by_id
                .get(table)
                .into_iter()
                .flat_map(|assignment| assignment.weights.keys())
        };
        let observed: BTreeSet<&HostId> = tables.iter().flat_map(hosts_of).collect();
        // Each report counts once, for the period since reports were last used.
        let period = (now - last_taken).min(self.report_interval.scaled(2.0));
        let reported = self
            .loads
            .iter()
            .filter(|(host, (at, _))| !observed.contains(host) && *at > last_taken);
        reported
            .map(|(host, (_, load))| (host.clone(), load.attempt_outcomes(period)))
            .collect()
    }

    pub(crate) fn on_secondary(&mut self, index: u16, observation: SecondaryEvent) {
        let now = self.now;
        if let Some(dns) = &mut self.dns {
            dns.secondaries.apply(now, usize::from(index), observation);
        }
    }

    /// Excludes hosts that restarted under the same name and address from all tables, of DNS and of the runtime API,
    /// until DNS answers with their old, higher weights have expired: requests by cached answers cannot be
    /// stopped, and those by the new weights on top could overload the host.
    pub(crate) fn update_exclusions(&mut self) {
        let now = self.now;
        let Some(dns) = &mut self.dns else { return };
        let hosts_to_exclude = dns.hosts_to_exclude(now, &self.endpoints);
        let previous = std::mem::replace(&mut dns.excluded_until, hosts_to_exclude);
        let excluded = &self
            .dns
            .as_ref()
            .map(|dns| dns.excluded_until.clone())
            .unwrap_or_default();
        let changed: BTreeSet<&HostId> = previous
            .keys()
            .filter(|host| !excluded.contains_key(*host))
            .chain(excluded.keys().filter(|host| !previous.contains_key(*host)))
            .collect();
        if changed.is_empty() {
            return;
        }
        for table in self
            .tables
            .exclude(excluded.keys().cloned().collect(), &changed)
        {
            self.require_table_update(table);
        }
        for (host, until) in excluded
            .iter()
            .filter(|(host, _)| !previous.contains_key(*host))
        {
            let host = host.0.to_string();
            let duration_s = (*until - now).seconds();
            self.log_event(Event::HostExcluded { host, duration_s });
        }
        self.mark_dns_view_outdated();
    }

    pub(crate) fn mark_dns_view_outdated(&mut self) {
        if let Some(dns) = &mut self.dns {
            dns.mark_outdated();
        }
    }

    /// Builds and publishes a new view for the DNS server, if the current one is outdated.
    pub(crate) fn update_dns_view(&mut self) {
        if !self.dns.as_ref().is_some_and(|dns| dns.view_outdated) {
            return;
        }
        let now = self.now;
        let bindings = self.dns_bindings();
        let weights = self.dns_weights(&bindings);
        let Some(dns) = &mut self.dns else { return };
        dns.view_outdated = false;
        let view = dns.build_view(now, bindings, &weights, &self.endpoints);
        if view == *dns.view {
            return;
        }
        let serial = dns.publish_view(now, view, &self.endpoints);
        self.outputs.push_back(Output::DnsViewChanged { serial });
        // Secondaries are notified after the view has changed, so that they fetch the new one.
        dns.secondaries.record_change(now, serial);
        for secondary in dns.secondaries.take_due_notifications(now) {
            self.outputs
                .push_back(Output::NotifySecondary { secondary });
        }
    }

    /// The bindings of joined proxies that query the DNS server.
    fn dns_bindings(&self) -> BTreeMap<(ProxyId, RequestClassId), TableId> {
        self.peers
            .iter()
            .filter(|peer| matches!(peer.link, LinkState::Dns { joined: true }))
            .flat_map(|peer| {
                peer.bindings
                    .iter()
                    .map(|(class, table)| ((peer.id, *class), *table))
            })
            .collect()
    }

    /// The weights to answer from, in the order of their tables; those of the endpoint list itself come last.
    fn dns_weights(
        &self,
        bindings: &BTreeMap<(ProxyId, RequestClassId), TableId>,
    ) -> Vec<(TableId, BTreeMap<HostId, f64>)> {
        let used: BTreeSet<TableId> = bindings.values().copied().collect();
        let list = &self.endpoints;
        // Proxies that are bound to no table get the endpoint list itself, without hosts that are warming up: those are
        // answered only as members of a table.
        let listed: BTreeMap<HostId, f64> = list
            .hosts
            .iter()
            .filter(|(id, host)| {
                host.state == EndpointState::Ready && !list.is_warming_up(id, self.now)
            })
            .map(|(id, host)| (id.clone(), host.entry.weight))
            .collect();
        used.into_iter()
            .filter_map(|table| {
                let assignment = self.tables.by_id.get(&table)?;
                Some((table, assignment.weights.clone()))
            })
            .chain([(UNBOUND_TABLE, listed)])
            .collect()
    }
}
