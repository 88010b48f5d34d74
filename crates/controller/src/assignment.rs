//! Assignment: which proxy uses which table. Bindings are sticky: a proxy that comes back finds its table again.

use crate::decision::Decision;
use crate::host::Host;
use crate::ids::{ProxyId, TableId, ZoneId};
use crate::proxy::Proxy;
use crate::publishing::{URGENT_TOKENS, UpdateRound, UpdateScope};
use crate::statistics::{EPSILON, stable_hash};
use crate::tables::TableLayout;
use crate::update_queue::UpdateReason;
use std::collections::BTreeSet;

/// Usage per weight, in parts of the mean, from which a table is clearly the busiest: connections are worth less.
const CLEARLY_BUSIEST: f64 = 1.25;
/// Usage per weight, in parts of the mean, that a table in the proxy's zone may have more: crossing zones costs a little, an
/// overload a lot.
const ZONE_PREFERENCE: f64 = 0.5;

/// Requests a second of the proxies of each shared table.
pub(crate) fn usage_by_table<'a>(
    proxies: impl Iterator<Item = &'a Proxy>,
    layout: &TableLayout,
) -> Vec<f64> {
    let mut usage = vec![0.0; layout.shared_tables()];
    for proxy in proxies {
        if let Some(table) = proxy.table() {
            usage[table] += proxy.rate();
        }
    }
    usage
}

impl UpdateRound<'_> {
    /// Binds each proxy that has no table, or whose binding may not hold. A proxy that joins is answered at once: its
    /// former table may name hosts that are removed or cold.
    pub(crate) fn bind_proxies(&mut self) {
        let mut bound_again = BTreeSet::new();
        for id in self.proxies.due_for_binding(self.now) {
            if self.is_full() {
                break;
            }
            let Some(proxy) = self.proxies.get(id) else {
                continue;
            };
            let bound_to = proxy.table();
            let zone = proxy.zone();
            if bound_to.is_some_and(|table| !self.may_bind_again(table, zone)) {
                continue;
            }
            let table = bound_to.unwrap_or_else(|| self.choose_table(id, proxy));
            self.refresh_unused_tables(table, zone);
            let mut tables = self.layout.tables_of(table, zone);
            if !tables.all(|table| self.send_unsafe_lines(table)) {
                continue;
            }
            if !self.send_binding(id, table, zone) {
                break;
            }
            let tables = self.layout.tables_of(table, zone);
            if bound_to.is_some() {
                // One message more to whoever did hold it, counted once for all of this round.
                bound_again.extend(tables);
            } else {
                for table in tables {
                    self.tables[table].add_proxy();
                }
            }
        }
        let message = self.message();
        for table in bound_again {
            self.tables[table].count_message(message);
        }
    }

    /// The table for a joining proxy: least usage per weight, with a lean to its own zone where crossing has a price; or,
    /// coming back, the one its number hashes to unless that is clearly the busiest.
    fn choose_table(&self, id: ProxyId, proxy: &Proxy) -> usize {
        let tables = self.layout.shared_tables();
        let mut weight = vec![EPSILON; tables];
        let mut local_weight = vec![0.0; tables];
        for host in self.hosts.iter() {
            let is_local = host.zone() == proxy.zone();
            for membership in host.memberships.iter() {
                let table = membership.table();
                if table >= tables {
                    continue;
                }
                weight[table] += membership.target_weight();
                local_weight[table] += if is_local {
                    membership.target_weight()
                } else {
                    0.0
                };
            }
        }
        let usage = usage_by_table(self.proxies.iter(), self.layout);
        let per_weight: Vec<f64> = usage
            .iter()
            .zip(&weight)
            .map(|(used, weight)| (used + proxy.rate()) / weight)
            .collect();
        let mean = per_weight.iter().sum::<f64>() / tables as f64;
        let hashed = stable_hash(id.0 as u64) as usize % tables;
        let is_clearly_busiest = per_weight[hashed] > mean * CLEARLY_BUSIEST;
        if !proxy.is_newly_started() && !is_clearly_busiest {
            return hashed;
        }
        let pull = if self.policy.prefers_own_zone {
            ZONE_PREFERENCE
        } else {
            0.0
        };
        let cost = |table: usize| {
            let local_part = local_weight[table] / weight[table];
            per_weight[table] / mean.max(EPSILON) + pull * (1.0 - local_part)
        };
        let bound = |table: usize| self.tables[table].bound_proxies();
        (0..tables)
            .min_by(|&a, &b| {
                let by_cost = cost(a).total_cmp(&cost(b));
                by_cost.then(bound(a).cmp(&bound(b)))
            })
            .unwrap_or(0)
    }

    /// Whether the message cap has room to bind a proxy once more, which may hold its table already: membership events
    /// that broke often took all messages that there were.
    fn may_bind_again(&self, table: usize, zone: ZoneId) -> bool {
        let mut tables = self.layout.tables_of(table, zone);
        tables.all(|table| self.has_token(table))
    }

    /// A binding brings a proxy all lines of its table as they were sent: those that a rule wants changed go out first. Gives
    /// whether none is left; else the binding waits for the message cap or the queue.
    fn send_unsafe_lines(&mut self, table: usize) -> bool {
        let Some(reason) = self.unsafe_lines_reason(table) else {
            return true;
        };
        let scope = if self.queue.is_half_full() {
            UpdateScope::UnsafeAndAddedLines
        } else {
            UpdateScope::All
        };
        let lines = self.lines_due(table, scope);
        let messages = self.tables[table].bound_proxies();
        // As pressing as the binding that waits for it.
        let urgency = UpdateReason::Drain;
        let is_admitted =
            self.has_token(table) && self.queue.admits_update(self.now, urgency, lines, messages);
        if is_admitted {
            self.send_update(table, reason, scope);
        }
        is_admitted
    }

    /// Why lines of a table must not reach one more proxy as they are; none: they may.
    fn unsafe_lines_reason(&self, table: usize) -> Option<UpdateReason> {
        let memberships = |host: &'_ Host| -> Option<UpdateReason> {
            let membership = host.memberships.get(table)?;
            self.rule_breaking_reason(host, membership)
        };
        self.hosts.iter().filter_map(memberships).max()
    }

    fn has_token(&self, table: usize) -> bool {
        self.tables[table].has_tokens(self.message(), &self.policy.message_cap, URGENT_TOKENS)
    }

    /// What nobody held may be old.
    fn refresh_unused_tables(&mut self, table: usize, zone: ZoneId) {
        for table in self.layout.tables_of(table, zone) {
            if !self.tables[table].is_used() {
                self.send_update(table, UpdateReason::Ordinary, UpdateScope::All);
                self.tables[table].clear_messages();
            }
        }
    }

    /// Sends a proxy its binding, if the queue has room.
    fn send_binding(&mut self, id: ProxyId, table: usize, zone: ZoneId) -> bool {
        let bindings = self.layout.bindings(table, zone);
        let lines = bindings
            .iter()
            .map(|(table, _)| self.binding_lines(*table))
            .sum();
        if !self.queue.admits_binding(self.now, lines) {
            return false;
        }
        self.queue.send_binding(lines);
        if let Some(proxy) = self.proxies.get_mut(id) {
            proxy.mark_bound(table);
        }
        for (table, classes) in bindings {
            self.decisions.push_back(Decision::BindProxy {
                proxy: id,
                table: TableId(table as u16),
                classes,
            });
        }
        true
    }

    /// Lines that a proxy is sent when it is bound to a table.
    fn binding_lines(&self, table: usize) -> usize {
        let hosts = self.hosts.iter();
        let members = hosts.filter(|host| host.memberships.is_sent_in(table));
        members.count() + self.fractions.len() + 1
    }
}
