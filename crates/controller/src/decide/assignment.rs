//! Which proxy uses which table. Bindings are sticky: a proxy that comes back finds its table again.

use super::publishing::{DRAIN_MESSAGES, UpdateScope};
use super::{Controller, UpdateReason, hash};
use crate::state::*;
use crate::*;
use std::collections::BTreeSet;

/// Usage per weight, in parts of the mean, from which a table is clearly the busiest: connections are worth less.
const CLEARLY_BUSIEST: f64 = 1.25;
/// Usage per weight, in parts of the mean, that a table in the proxy's zone may have more: a crossing costs a little, a
/// jam a lot.
const ZONE_PREFERENCE: f64 = 0.5;

impl Controller {
    /// Reqs a second of our proxies on each shared table.
    pub(super) fn usage(&self) -> Vec<f64> {
        let mut usage = vec![0.0; self.ready.shared_tables];
        let bound = self
            .proxies
            .values()
            .filter_map(|p| Some((p.table?, p.rate())));
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
                near[place.table] += if host.zone == proxy.zone {
                    place.want
                } else {
                    0.0
                };
            }
        }
        let per_weight: Vec<f64> = self
            .usage()
            .iter()
            .zip(&weight)
            .map(|(used, weight)| (used + proxy.rate()) / weight)
            .collect();
        let mean = per_weight.iter().sum::<f64>() / tables as f64;
        let pull = if self.ready.zones_cost {
            ZONE_PREFERENCE
        } else {
            0.0
        };
        let cost = |t: usize| per_weight[t] / mean.max(1e-9) + pull * (1.0 - near[t] / weight[t]);
        let bound = |t: usize| self.boards[t].bound;
        let by_cost =
            |&a: &usize, &b: &usize| cost(a).total_cmp(&cost(b)).then(bound(a).cmp(&bound(b)));
        let least = (0..tables).min_by(by_cost).unwrap_or(0);
        let hashed = hash(id.0 as u64) as usize % tables;
        if proxy.fresh || per_weight[hashed] > mean * CLEARLY_BUSIEST {
            least
        } else {
            hashed
        }
    }

    /// Lines that a proxy is sent when it is bound to a table.
    fn binding_lines(&self, table: usize) -> usize {
        self.hosts.iter().filter(|host| host.holds(table)).count() + self.levels.len() + 1
    }

    /// Whether the message cap has room to bind a proxy once more, which may hold its table already. News that broke often
    /// took all messages that there were.
    fn may_bind_again(&self, table: usize, zone: ZoneId) -> bool {
        let mut tables = self.ready.tables_of(table, zone);
        tables.all(|t| self.messages_used(t) + DRAIN_MESSAGES < self.ready.cap)
    }

    /// A joined proxy is answered at once: its standing table may name hosts that are gone or cold.
    pub(super) fn bind_proxies(&mut self) {
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
            if bound_to.is_some_and(|table| !self.may_bind_again(table, zone)) {
                continue;
            }
            let table = bound_to.unwrap_or_else(|| self.choose_table(id));
            for t in self.ready.tables_of(table, zone) {
                // What nobody held may be old.
                if self.boards[t].bound == 0 {
                    self.send_update(t, UpdateReason::Ordinary, UpdateScope::All);
                    self.boards[t].messages.clear();
                }
            }
            let own = self.ready.own_table(zone).unwrap_or(table);
            let pairs = [
                (table, self.ready.free.clone()),
                (own, self.ready.confined.clone()),
            ];
            let pairs: Vec<_> = pairs
                .into_iter()
                .filter(|(_, kinds)| !kinds.is_empty())
                .collect();
            let lines = pairs
                .iter()
                .map(|(table, _)| self.binding_lines(*table))
                .sum();
            if !self.channel.admits_binding(self.now, lines) {
                break;
            }
            self.channel.send_binding(lines);
            self.proxies
                .entry(id)
                .and_modify(|p| (p.table, p.unsure) = (Some(table), false));
            for t in self.ready.tables_of(table, zone) {
                if bound_to.is_some() {
                    // One message more to whoever did hold it, counted once for all of this round.
                    again.insert(t);
                    continue;
                }
                self.boards[t].bound += 1;
            }
            for (table, kinds) in pairs {
                let kinds = if self.ready.own_tables == 0 {
                    Vec::new()
                } else {
                    kinds
                };
                self.out.push_back(Decision::BindProxy {
                    proxy: id,
                    table: TableId(table as u16),
                    classes: kinds,
                });
            }
        }
        again
            .into_iter()
            .for_each(|t| self.boards[t].messages.push_back(self.now));
    }
}
