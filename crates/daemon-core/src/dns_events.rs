//! Proxies that query the DNS server: who is joined and who has left, what is answered from now on, and what caches may
//! still hold.

use crate::dns_state::SECONDARY_ANSWER_INTERVAL;
use crate::event::Event;
use crate::output::Output;
use crate::peer::Link;
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
    /// A table was answered as it was at this serial, to a proxy if it is known which.
    pub(crate) fn on_dns_query(&mut self, proxy: Option<u16>, table: Option<u16>, serial: u32) {
        let now = self.now;
        let cause = self.cause.clone();
        let Some(dns) = &mut self.dns else { return };
        if let Some(table) = table {
            dns.held
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
        // Those with a runtime API are joined by it; that they ask for names as well changes nothing.
        let Some(peer) = self.peers.get_mut(proxy as usize) else {
            return;
        };
        let Link::Dns { joined } = peer.link else {
            return;
        };
        if dns.members.record_query(now, peer.id) == QueryOutcome::Joined && !joined {
            peer.link = Link::Dns { joined: true };
            let id = peer.id;
            let usual = peer.usual_rate;
            let zone = peer.zone;
            let proxy = peer.name.clone();
            // A restart cannot be seen: it counts as one that was there before.
            self.controller.proxy_joined(
                now,
                JoiningProxy {
                    id,
                    zone,
                    newly_started: false,
                    usual_rate: usual,
                },
            );
            self.log_event(Event::ProxyJoined {
                proxy,
                fresh: false,
                cause,
            });
        }
    }

    /// What is due by time: who has left, what caches hold no more, and secondaries that are to be notified.
    pub(crate) fn run_dns_timers(&mut self) {
        let now = self.now;
        let Some(dns) = &mut self.dns else { return };
        if now - dns.secondaries_answered_at >= SECONDARY_ANSWER_INTERVAL {
            dns.secondaries_answered_at = now;
            if let Some(serial) = dns.secondaries.oldest_served_serial(now) {
                dns.held.record_zone_copy(now, serial, dns.cache_lifetime);
                // Queries to a secondary are not seen here: they count as those of unknown proxies.
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
        let late = dns.secondaries.take_overdue(now);
        let late: Vec<String> = late
            .into_iter()
            .filter_map(|n| dns.secondary_names.get(usize::from(n)).cloned())
            .collect();
        let left = dns.members.remove_expired(now);
        let ended = dns.excluded_until.values().any(|until| *until <= now);
        for secondary in dns.secondaries.take_due_notifications(now) {
            self.outputs
                .push_back(Output::NotifySecondary { secondary });
        }
        for secondary in late {
            self.log_event(Event::SecondaryBehind { secondary });
        }
        for id in left {
            let peer = &mut self.peers[id.0 as usize];
            peer.link = Link::Dns { joined: false };
            peer.bindings.clear();
            let proxy = peer.name.clone();
            self.controller.proxy_left(now, id);
            self.log_event(Event::ProxyLeft {
                proxy,
                reason: "has not asked for its hosts".into(),
            });
        }
        if ended {
            self.update_exclusions();
        }
    }

    /// DNS brings no counters: of hosts that only proxies without a runtime API use, their own load reports are all
    /// there is, and stand for counters. A host without a report was not observed.
    pub(crate) fn self_reported_outcomes(&mut self) -> BTreeMap<HostId, AttemptOutcomes> {
        let now = self.now;
        let Some(dns) = &mut self.dns else {
            return BTreeMap::new();
        };
        let last = std::mem::replace(&mut dns.self_reports_taken_at, now);
        // Where proxies report counters, those are the evidence: a host that hangs may still answer a short question.
        let observed = self.peers.iter().filter(|peer| peer.is_joined());
        let tables: BTreeSet<TableId> = observed
            .flat_map(|peer| peer.bindings.values().copied())
            .collect();
        let of = |table: &TableId| {
            self.tables
                .by_id
                .get(table)
                .into_iter()
                .flat_map(|assignment| assignment.weights.keys())
        };
        let observed: BTreeSet<&HostId> = tables.iter().flat_map(of).collect();
        // Each report counts once, for the time since the last ones were taken.
        let over = (now - last).min(self.report_interval.scaled(2.0));
        let reported = self
            .loads
            .iter()
            .filter(|(host, (at, _))| !observed.contains(host) && *at > last);
        reported
            .map(|(host, (_, load))| (host.clone(), load.attempt_outcomes(over)))
            .collect()
    }

    pub(crate) fn on_secondary(&mut self, n: u16, observation: SecondaryEvent) {
        let now = self.now;
        if let Some(dns) = &mut self.dns {
            dns.secondaries.apply(now, usize::from(n), observation);
        }
    }

    /// Hosts that started anew under the same name and address are kept out of all tables, of both fronts, until the
    /// answers of their old, heavy lines have run out: what caches bring such a host cannot be taken back, and with
    /// its new line on top it could be overloaded.
    pub(crate) fn update_exclusions(&mut self) {
        let now = self.now;
        let Some(dns) = &mut self.dns else { return };
        let found = dns.hosts_to_exclude(now, &self.endpoints);
        let before = std::mem::replace(&mut dns.excluded_until, found);
        let excluded = &self
            .dns
            .as_ref()
            .map(|dns| dns.excluded_until.clone())
            .unwrap_or_default();
        let changed: BTreeSet<&HostId> = before
            .keys()
            .filter(|host| !excluded.contains_key(*host))
            .chain(excluded.keys().filter(|host| !before.contains_key(*host)))
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
            .filter(|(host, _)| !before.contains_key(*host))
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

    /// Changes what is answered from now on, if it is to be changed.
    pub(crate) fn update_dns_view(&mut self) {
        if !self.dns.as_ref().is_some_and(|dns| dns.view_outdated) {
            return;
        }
        let now = self.now;
        let bound = self.dns_bindings();
        let weights = self.dns_weights(&bound);
        let Some(dns) = &mut self.dns else { return };
        dns.view_outdated = false;
        let view = dns.build_view(now, bound, &weights, &self.endpoints);
        if view == *dns.view {
            return;
        }
        let serial = dns.publish_view(now, view, &self.endpoints);
        self.outputs.push_back(Output::DnsViewChanged { serial });
        // After the view, so that what they fetch is it.
        dns.secondaries.record_change(now, serial);
        for secondary in dns.secondaries.take_due_notifications(now) {
            self.outputs
                .push_back(Output::NotifySecondary { secondary });
        }
    }

    /// The tables of joined proxies that query the DNS server.
    fn dns_bindings(&self) -> BTreeMap<(ProxyId, RequestClassId), TableId> {
        self.peers
            .iter()
            .filter(|peer| matches!(peer.link, Link::Dns { joined: true }))
            .flat_map(|peer| {
                peer.bindings
                    .iter()
                    .map(|(class, table)| ((peer.id, *class), *table))
            })
            .collect()
    }

    /// The weights that are to be answered from, in the order of their tables; the list's own come last.
    fn dns_weights(
        &self,
        bound: &BTreeMap<(ProxyId, RequestClassId), TableId>,
    ) -> Vec<(TableId, BTreeMap<HostId, f64>)> {
        let used: BTreeSet<TableId> = bound.values().copied().collect();
        let list = &self.endpoints;
        // Where nobody is bound the list itself is all there is; its hosts that are warming up are answered with a table alone.
        let listed: BTreeMap<HostId, f64> = list
            .hosts
            .iter()
            .filter(|(host, known)| {
                known.state == EndpointState::Ready && !list.is_warming_up(host, self.now)
            })
            .map(|(host, known)| (host.clone(), known.entry.weight))
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
