//! Assignment: which proxy uses which table. Bindings are sticky: a proxy that rejoins gets the same table again.

use crate::decision::Decision;
use crate::host::Host;
use crate::ids::{ProxyId, TableId, ZoneId};
use crate::proxy::Proxy;
use crate::publishing::{URGENT_TOKENS, UpdateRound, UpdateScope};
use crate::statistics::{EPSILON, stable_hash};
use crate::tables::TableLayout;
use crate::update_queue::UpdateReason;
use std::collections::BTreeSet;

/// Ratio of a table's usage per weight to the mean above which a rejoining proxy is bound to another table, although
/// this closes its connections.
const MAX_REJOIN_USAGE: f64 = 1.25;
/// Additional usage per weight, relative to the mean, accepted for a table in the proxy's own zone. Crossing zones
/// costs little compared to an overload.
const ZONE_PREFERENCE: f64 = 0.5;

/// Returns the requests per second of the proxies of each shared table.
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
    /// Binds each proxy that has no table or whose binding is unconfirmed. Joining proxies are bound at once, because
    /// their former table may have hosts that were removed or have just started.
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
                // Proxies that already had the binding get one more message; it is counted once per table and round.
                bound_again.extend(tables);
            } else {
                for table in tables {
                    self.tables[table].add_proxy();
                }
            }
        }
        let message = self.message();
        for table in bound_again {
            self.tables[table].record_message(message);
        }
    }

    /// Chooses the table for a joining proxy. A proxy that rejoins gets the table that its ID hashes to, unless that
    /// table is too busy. Other proxies get the table with the lowest usage per weight, with a preference for their own
    /// zone if crossing zones has a cost.
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
        let hashed_table = stable_hash(id.0 as u64) as usize % tables;
        let is_too_busy = per_weight[hashed_table] > mean * MAX_REJOIN_USAGE;
        if !proxy.is_newly_started() && !is_too_busy {
            return hashed_table;
        }
        let zone_preference = if self.policy.prefers_own_zone {
            ZONE_PREFERENCE
        } else {
            0.0
        };
        let cost = |table: usize| {
            let local_fraction = local_weight[table] / weight[table];
            per_weight[table] / mean.max(EPSILON) + zone_preference * (1.0 - local_fraction)
        };
        let bound = |table: usize| self.tables[table].bound_proxies();
        (0..tables)
            .min_by(|&a, &b| {
                let by_cost = cost(a).total_cmp(&cost(b));
                by_cost.then(bound(a).cmp(&bound(b)))
            })
            .unwrap_or(0)
    }

    /// Returns whether the message cap allows binding a proxy again that may already have its table. Without this
    /// limit, frequent interruptions of the membership events used up all messages.
    fn may_bind_again(&self, table: usize, zone: ZoneId) -> bool {
        let mut tables = self.layout.tables_of(table, zone);
        tables.all(|table| self.has_token(table))
    }

    /// Sends the updates of unsafe lines that must precede a binding, since a binding sends all lines of the table to
    /// the proxy as they are. Returns whether no unsafe line is left; otherwise the binding waits for the message cap
    /// or the queue.
    fn send_unsafe_lines(&mut self, table: usize) -> bool {
        let Some(reason) = self.unsafe_lines_reason(table) else {
            self.send_excess_admission(table);
            return true;
        };
        let scope = self.scope_before_binding();
        let lines = self.lines_due(table, scope);
        let messages = self.tables[table].bound_proxies();
        // Admitted like a drain, because a binding waits for it.
        let urgency = UpdateReason::Drain;
        let is_admitted =
            self.has_token(table) && self.queue.admits_update(self.now, urgency, lines, messages);
        if is_admitted {
            self.send_update(table, reason, scope);
        }
        is_admitted
    }

    /// Reduces what a table admits before a binding to it, if its warming hosts are at risk. A binding does not wait for
    /// it: a proxy that is not bound is a greater risk.
    fn send_excess_admission(&mut self, table: usize) {
        if !self.has_excess_admission(table) || !self.has_token(table) {
            return;
        }
        let scope = self.scope_before_binding();
        let lines = self.lines_due(table, scope);
        let messages = self.tables[table].bound_proxies();
        let reason = UpdateReason::Hazard;
        if self.queue.admits_update(self.now, reason, lines, messages) {
            self.send_update(table, reason, scope);
        }
    }

    /// Returns which differences an update before a binding includes.
    fn scope_before_binding(&self) -> UpdateScope {
        if self.queue.is_half_full() {
            UpdateScope::UnsafeAndAddedLines
        } else {
            UpdateScope::All
        }
    }

    /// Returns the most urgent reason why lines of a table must not be sent to another proxy as they are, or `None`.
    fn unsafe_lines_reason(&self, table: usize) -> Option<UpdateReason> {
        let reason = |host: &'_ Host| -> Option<UpdateReason> {
            let membership = host.memberships.get(table)?;
            self.safety_reason(host, membership)
        };
        self.hosts.iter().filter_map(reason).max()
    }

    /// Returns whether the message cap allows an urgent message to the table's proxies.
    fn has_token(&self, table: usize) -> bool {
        self.tables[table].has_tokens(self.message(), &self.policy.message_cap, URGENT_TOKENS)
    }

    /// Brings tables that no proxy uses up to date before a proxy is bound to them.
    fn refresh_unused_tables(&mut self, table: usize, zone: ZoneId) {
        for table in self.layout.tables_of(table, zone) {
            if !self.tables[table].is_used() {
                self.send_update(table, UpdateReason::Ordinary, UpdateScope::All);
                self.tables[table].clear_messages();
            }
        }
    }

    /// Binds a proxy if the queue has capacity. Returns whether it did.
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

    /// Returns the number of lines sent to a proxy that is bound to a table.
    fn binding_lines(&self, table: usize) -> usize {
        let hosts = self.hosts.iter();
        let members = hosts.filter(|host| host.memberships.is_sent_in(table));
        members.count() + self.admissions[table].fractions().len() + 1
    }
}
