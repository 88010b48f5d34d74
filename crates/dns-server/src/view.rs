//! The tables, bindings and host addresses that answers are made from.

use pondarch_controller::{HostId, ProxyId, RequestClassId, TableId};
use pondarch_dns_core::WeightedHost;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A host of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableHost {
    /// The host.
    pub host: HostId,
    /// Its address.
    pub address: SocketAddr,
    /// Its weight in the table.
    pub weight: f64,
    /// Whether it is warming up.
    pub warming_up: bool,
}

impl TableHost {
    pub(crate) fn weighted_host(&self) -> WeightedHost<'_> {
        WeightedHost {
            host: &self.host,
            weight: self.weight,
            warming_up: self.warming_up,
        }
    }
}

/// The id under which the whole endpoint list is kept for the time before the first binding; each client gets a random
/// few of its hosts.
pub const UNBOUND_TABLE: TableId = TableId(u16::MAX - 1);
/// The most hosts of the unbound table that a client gets.
const MAX_UNBOUND_HOSTS: usize = 8;

/// One version of the data that answers are made from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// The zone serial, which increases with each change.
    pub serial: u32,
    /// The tables that proxies are bound to, and `UNBOUND_TABLE`.
    pub tables: BTreeMap<TableId, Vec<TableHost>>,
    /// The table that each proxy is bound to for a request class.
    pub bindings: BTreeMap<(ProxyId, RequestClassId), TableId>,
    /// The addresses of all hosts.
    pub hosts: BTreeMap<HostId, SocketAddr>,
    /// Tables that have no host any more and are answered with their last hosts, for a lifetime of 1 s.
    pub last_answers: BTreeSet<TableId>,
    /// Proxies that stand for unknown clients; each client is assigned to one of them.
    pub anonymous_proxies: Vec<ProxyId>,
}

impl View {
    /// The anonymous proxy that a client is assigned to: the same for each of its queries, and evenly over all clients.
    #[must_use]
    pub fn anonymous_proxy(&self, client_seed: u64) -> Option<ProxyId> {
        let drawn =
            fastrand::Rng::with_seed(client_seed).usize(0..self.anonymous_proxies.len().max(1));
        self.anonymous_proxies.get(drawn).copied()
    }

    /// The table for a proxy's request class. A proxy without a binding gets the table of the anonymous proxy for
    /// `client_seed`, or the unbound table if that proxy has no binding either.
    #[must_use]
    pub fn table_of(
        &self,
        proxy: Option<ProxyId>,
        class: RequestClassId,
        client_seed: u64,
    ) -> Option<TableId> {
        let bound_table = |proxy: ProxyId| {
            let table = self.bindings.get(&(proxy, class)).copied();
            table.filter(|table| !self.table_hosts(*table).is_empty())
        };
        proxy
            .and_then(bound_table)
            .or_else(|| bound_table(self.anonymous_proxy(client_seed)?))
            .or_else(|| {
                self.tables
                    .contains_key(&UNBOUND_TABLE)
                    .then_some(UNBOUND_TABLE)
            })
    }

    /// A table's hosts for a client; of the unbound table a random few, which depend on `client_seed` only.
    #[must_use]
    pub fn hosts_for_client(&self, table: TableId, client_seed: u64) -> Vec<TableHost> {
        let mut hosts = self.table_hosts(table).to_vec();
        if table == UNBOUND_TABLE && hosts.len() > MAX_UNBOUND_HOSTS {
            fastrand::Rng::with_seed(client_seed).shuffle(&mut hosts);
            hosts.truncate(MAX_UNBOUND_HOSTS);
        }
        hosts
    }

    /// All bound tables merged with equal shares, for clients that a secondary cannot tell apart. The unbound table if
    /// none is bound.
    #[must_use]
    pub fn all_tables(&self) -> Vec<TableHost> {
        let bound: Vec<&Vec<TableHost>> = self
            .tables
            .iter()
            .filter(|(table, hosts)| **table != UNBOUND_TABLE && !hosts.is_empty())
            .map(|(_, hosts)| hosts)
            .collect();
        let unbound = self.tables.get(&UNBOUND_TABLE).filter(|_| bound.is_empty());
        let mut all: BTreeMap<&HostId, TableHost> = BTreeMap::new();
        for hosts in bound.into_iter().chain(unbound) {
            let sum: f64 = hosts.iter().map(|host| host.weight).sum();
            for host in hosts {
                let merged = all.entry(&host.host).or_insert_with(|| TableHost {
                    weight: 0.0,
                    ..host.clone()
                });
                merged.weight += host.weight / sum.max(f64::MIN_POSITIVE);
            }
        }
        all.into_values().collect()
    }

    /// All hosts of a table.
    #[must_use]
    pub fn table_hosts(&self, table: TableId) -> &[TableHost] {
        self.tables.get(&table).map_or(&[], Vec::as_slice)
    }
}
