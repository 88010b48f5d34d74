//! Proxies that ask by name, in the course of things: who is joined and who has left, what is answered from now on, and what
//! caches may still hold.

use crate::course::Course;
use crate::names::SERVED_EVERY;
use crate::peer::Link;
use crate::wire::{Event, Output, micros};
use pondarch_controller::DurationExt;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{AttemptOutcomes, EndpointState, HostId, TableId};
use pondarch_dns_core::{AnsweredHost, QueryOutcome, SecondaryEvent};
use pondarch_dns_server::{TableHost, UNBOUND_TABLE, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Course {
    /// A table was answered as it was at this serial, to a proxy if it is known which.
    pub(crate) fn asked_by_name(&mut self, proxy: Option<u16>, table: Option<u16>, serial: u32) {
        let (now, cause) = (self.now, self.cause.clone());
        let Some(names) = &mut self.names else { return };
        if let Some(table) = table {
            names
                .held
                .record_answer(now, serial, TableId(table), names.holds);
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
        let Some(peer) = self.peers.get_mut(proxy as usize) else {
            return;
        };
        let Link::ByName { joined } = peer.link else {
            return;
        };
        if names.members.record_query(now, peer.id) == QueryOutcome::Joined && !joined {
            peer.link = Link::ByName { joined: true };
            let (id, usual, zone, proxy) = (peer.id, peer.usual, peer.zone, peer.name.clone());
            // Nobody can tell a restart: it counts as one that was there before.
            self.steward.proxy_joined(
                now,
                JoiningProxy {
                    id,
                    zone,
                    newly_started: false,
                    usual_rate: usual,
                },
            );
            self.tell(Event::Joined {
                proxy,
                fresh: false,
                cause,
            });
        }
    }

    /// What is due by time: who has left, what caches hold no more, and secondaries that are to be told.
    pub(crate) fn names_timers(&mut self) {
        let now = self.now;
        let Some(names) = &mut self.names else { return };
        if now - names.served >= SERVED_EVERY {
            names.served = now;
            if let Some(serial) = names.secondaries.oldest_served_serial(now) {
                names.held.record_zone_copy(now, serial, names.holds);
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
        let late = names.secondaries.take_overdue(now);
        let late: Vec<String> = late
            .into_iter()
            .filter_map(|n| names.keys.get(usize::from(n)).cloned())
            .collect();
        let left = names.members.remove_expired(now);
        let ended = names.echoes.values().any(|until| *until <= now);
        for secondary in names.secondaries.take_due_notifications(now) {
            self.out.push_back(Output::SayChanged { secondary });
        }
        late.into_iter()
            .for_each(|secondary| self.tell(Event::SecondaryLate { secondary }));
        for id in left {
            let peer = &mut self.peers[id.0 as usize];
            peer.link = Link::ByName { joined: false };
            peer.bound.clear();
            let proxy = peer.name.clone();
            self.steward.proxy_left(now, id);
            self.tell(Event::Left {
                proxy,
                why: "has not asked for its hosts".into(),
            });
        }
        if ended {
            self.find_echoes();
        }
    }

    /// DNS brings no sums: of hosts that only proxies without a runtime API meet, what they say of themselves is all
    /// there is, and stands for a look at them. One that says nothing was not seen.
    pub(crate) fn told_of_themselves(&mut self) -> BTreeMap<HostId, AttemptOutcomes> {
        let now = self.now;
        let Some(names) = &mut self.names else {
            return BTreeMap::new();
        };
        let last = std::mem::replace(&mut names.told, now);
        // Where proxies bring sums, those are the evidence: a host that hangs may still answer a short question.
        let looked_at = self.peers.iter().filter(|peer| peer.is_joined());
        let tables: BTreeSet<TableId> = looked_at
            .flat_map(|peer| peer.bound.values().copied())
            .collect();
        let of = |table: &TableId| {
            self.books
                .books
                .get(table)
                .into_iter()
                .flat_map(|book| book.dealt.keys())
        };
        let looked_at: BTreeSet<&HostId> = tables.iter().flat_map(of).collect();
        // Each word counts once, for the time since the last ones were taken.
        let over = (now - last).min(self.report_every.scaled(2.0));
        let told = self
            .loads
            .iter()
            .filter(|(host, (at, _))| !looked_at.contains(host) && *at > last);
        told.map(|(host, (_, told))| (host.clone(), told.met(over)))
            .collect()
    }

    pub(crate) fn secondary_heard(&mut self, n: u16, heard: SecondaryEvent) {
        let now = self.now;
        if let Some(names) = &mut self.names {
            names.secondaries.apply(now, usize::from(n), heard);
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
        let names = &self
            .names
            .as_ref()
            .map(|names| names.echoes.clone())
            .unwrap_or_default();
        let changed: BTreeSet<&HostId> = before
            .keys()
            .filter(|host| !names.contains_key(*host))
            .chain(names.keys().filter(|host| !before.contains_key(*host)))
            .collect();
        if changed.is_empty() {
            return;
        }
        for table in self
            .books
            .keep_out(names.keys().cloned().collect(), &changed)
        {
            self.mark_table(table);
        }
        for (host, until) in names.iter().filter(|(host, _)| !before.contains_key(*host)) {
            let (host, for_s) = (host.0.to_string(), (*until - now).seconds());
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
        let Some(names) = self.names.as_mut().filter(|names| names.stale) else {
            return;
        };
        names.stale = false;
        let list = &self.list;
        let by_name = self
            .peers
            .iter()
            .filter(|peer| matches!(peer.link, Link::ByName { joined: true }));
        let bound: BTreeMap<_, TableId> = by_name
            .flat_map(|peer| {
                peer.bound
                    .iter()
                    .map(|(kind, table)| ((peer.id, *kind), *table))
            })
            .collect();
        let used: BTreeSet<TableId> = bound.values().copied().collect();
        // Where nobody is bound the list itself is all there is; cold hosts of it come with a table alone.
        let listed = list
            .known
            .iter()
            .filter(|(host, k)| k.standing == EndpointState::Ready && !list.is_cold(host, now));
        let listed: BTreeMap<HostId, f64> = listed
            .map(|(host, k)| (host.clone(), k.entry.weight))
            .collect();
        let dealt = |table: &TableId| {
            self.books
                .books
                .get(table)
                .map(|book| (*table, &book.dealt))
        };
        let (mut tables, mut last) = (BTreeMap::new(), BTreeSet::new());
        names.last_until = None;
        for (table, dealt) in used
            .iter()
            .filter_map(dealt)
            .chain([(UNBOUND_TABLE, &listed)])
        {
            let (lines, until) = names.lines(now, dealt, table, list);
            if let Some(until) = until {
                last.insert(table);
                names.last_until = Some(names.last_until.map_or(until, |other| other.min(until)));
            }
            tables.insert(table, lines);
        }
        let hosts = list
            .known
            .iter()
            .map(|(host, known)| (host.clone(), known.entry.address))
            .collect();
        let old = &names.view;
        let strangers = names.strangers.clone();
        let view = View {
            serial: old.serial,
            tables,
            bindings: bound,
            hosts,
            last_answers: last,
            anonymous_proxies: strangers,
        };
        if view == **old {
            return;
        }
        // Seconds since 1970, so that a steward that starts again never goes back.
        let serial = old
            .serial
            .wrapping_add(1)
            .max((micros(now) / 1_000_000) as u32);
        for (table, lines) in &view.tables {
            if old.tables.get(table) != Some(lines) {
                let all: f64 = lines.iter().map(|line| line.weight).sum();
                let named = |line: &TableHost| {
                    let started = list
                        .known
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
                };
                names
                    .held
                    .record_table(now, serial, *table, lines.iter().map(named).collect());
            }
        }
        for table in old
            .tables
            .keys()
            .filter(|table| !view.tables.contains_key(table))
        {
            names
                .held
                .record_table(now, serial, *table, BTreeMap::new());
        }
        names.view = Arc::new(View { serial, ..view });
        self.out.push_back(Output::ViewChanged { serial });
        // After the view, so that what they fetch is it.
        names.secondaries.record_change(now, serial);
        for secondary in names.secondaries.take_due_notifications(now) {
            self.out.push_back(Output::SayChanged { secondary });
        }
    }
}
