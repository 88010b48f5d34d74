//! Shards: tables of hosts that overlap in a bounded number of hosts.

use crate::host::{Host, HostRegistry};
use crate::ids::ZoneId;
use crate::statistics::{EPSILON, stable_hash};

/// Hosts that a table needs (docs/design.md, What was kept).
pub(crate) const MIN_TABLE_HOSTS: usize = 4;
/// Hosts that two tables share at most (docs/design.md, What was kept).
pub(crate) const MAX_SHARED_HOSTS: usize = 2;
/// Tables that a host is in at most (docs/design.md, What was kept).
pub(crate) const MAX_TABLES_PER_HOST: usize = 2;
/// Hosts that a table must find room for, its stand-ins too.
const SLOTS_PER_TABLE: usize = 7;
/// A growing number of tables needs this many times the usual slots, since each change draws all anew and tears connections.
const GROWTH_MARGIN: usize = 2;
/// Tables among which a host's hash lets it choose: more is evener, fewer moves less.
const HASH_CHOICES: usize = 4;
/// Rounds in which weights balance_weights between tables.
const BALANCING_ROUNDS: usize = 12;
/// Least part of its weight that a host keeps in each of its tables, which keeps connections warm.
const MIN_SHARED_PART: f64 = 0.05;

/// A host of a table, by its place in the registry.
#[derive(Clone, Copy)]
pub(crate) struct ShardMember {
    pub(crate) host: usize,
    /// The part of its weight that this table has.
    pub(crate) part: f64,
}

/// The hosts of one table.
pub(crate) type Shard = Vec<ShardMember>;

/// Which hosts are in which table.
pub(crate) struct ShardAssignment {
    shards: Vec<Shard>,
    tables_of_host: Vec<Vec<usize>>,
}

impl ShardAssignment {
    pub(crate) fn new(tables: usize, hosts: usize) -> ShardAssignment {
        ShardAssignment {
            shards: vec![Vec::new(); tables],
            tables_of_host: vec![Vec::new(); hosts],
        }
    }

    pub(crate) fn assign(&mut self, table: usize, host: usize) {
        self.shards[table].push(ShardMember { host, part: 1.0 });
        self.tables_of_host[host].push(table);
    }

    pub(crate) fn shards(&self) -> &[Shard] {
        &self.shards
    }

    pub(crate) fn shard(&self, table: usize) -> &Shard {
        &self.shards[table]
    }

    pub(crate) fn tables_of(&self, host: usize) -> &[usize] {
        &self.tables_of_host[host]
    }

    /// The candidate of least rank that may join a table without any pair of tables sharing more than `max_shared` hosts.
    /// The rank is given how many tables the host is in.
    pub(crate) fn find_stand_in<R: Ord>(
        &self,
        table: usize,
        candidates: impl Iterator<Item = usize>,
        max_shared: usize,
        rank: impl Fn(usize, usize) -> R,
    ) -> Option<usize> {
        let mut shared = vec![0; self.shards.len()];
        for member in &self.shards[table] {
            for &other in self.tables_of(member.host) {
                shared[other] += 1;
            }
        }
        shared[table] = usize::MAX;
        let fits = |&host: &usize| {
            let mut tables = self.tables_of(host).iter();
            tables.all(|&other| shared[other] < max_shared)
        };
        candidates
            .filter(fits)
            .min_by_key(|&host| rank(host, self.tables_of(host).len()))
    }

    /// Splits hosts in several tables so that usage per weight comes as even as it can; gives each table's relative usage: its
    /// usage per weight, mean 1.
    pub(crate) fn balance_weights(&mut self, usage: &[f64], weights: &[f64]) -> Vec<f64> {
        let total_usage: f64 = usage.iter().sum();
        let mut relative_usage = vec![1.0; self.shards.len()];
        let mut relative_usage_sums = vec![0.0; self.tables_of_host.len()];
        for _ in 0..BALANCING_ROUNDS {
            self.sum_relative_usage(&relative_usage, &mut relative_usage_sums);
            let shard_weights = self.split_parts(&relative_usage, &relative_usage_sums, weights);
            if total_usage > 0.0 {
                let total_weight: f64 = shard_weights.iter().sum();
                let even = usage
                    .iter()
                    .zip(shard_weights)
                    .map(|(used, weight)| used / total_usage * total_weight / weight);
                relative_usage = even
                    .map(|ratio| ratio.clamp(MIN_SHARED_PART, 1.0 / MIN_SHARED_PART))
                    .collect();
            }
        }
        relative_usage
    }

    /// The relative_usage of all tables of each host, by its parts in them.
    fn sum_relative_usage(&self, relative_usage: &[f64], sums: &mut [f64]) {
        sums.fill(0.0);
        for (shard, relative_usage) in self.shards.iter().zip(relative_usage) {
            for member in shard {
                sums[member.host] += member.part * relative_usage;
            }
        }
    }

    /// Splits each host by the relative_usage of its tables; gives the tables' weights.
    fn split_parts(&mut self, relative_usage: &[f64], sums: &[f64], weights: &[f64]) -> Vec<f64> {
        let mut shard_weights = Vec::with_capacity(relative_usage.len());
        for (shard, relative_usage) in self.shards.iter_mut().zip(relative_usage) {
            for member in shard.iter_mut() {
                let part = member.part * relative_usage / sums[member.host];
                member.part = part.max(MIN_SHARED_PART);
            }
            let weight: f64 = shard
                .iter()
                .map(|member| weights[member.host] * member.part)
                .sum();
            shard_weights.push(weight.max(EPSILON));
        }
        shard_weights
    }
}

/// Draws hosts into tables. The draw is the same at every controller that has as many tables, since only the endpoint list
/// goes in.
pub(crate) struct ShardDraw<'a> {
    pub(crate) hosts: &'a HostRegistry,
    /// Whether hosts are drawn zone by zone, where crossing zones has a price.
    pub(crate) by_zone: bool,
}

impl ShardDraw<'_> {
    /// Draws the listed hosts into up to `max_tables` tables. If no such shards fit, proxies share fewer tables, by halves;
    /// under four hosts, one table holds all.
    pub(crate) fn draw(
        &self,
        listed: &[usize],
        max_tables: usize,
        current_tables: usize,
    ) -> Vec<Shard> {
        let mut order = listed.to_vec();
        // Whoever started last is drawn last, so that new hosts move nobody.
        order.sort_by_key(|&host| {
            let host = self.hosts.at(host);
            (host.started(), host.tie_breaker())
        });
        let mut tables = max_tables;
        while tables > 1 {
            let places = slots_needed(tables, current_tables);
            if let Some(shards) = self.try_draw(&order, tables, places) {
                return shards;
            }
            tables /= 2;
        }
        let members = order.into_iter();
        vec![
            members
                .map(|host| ShardMember { host, part: 1.0 })
                .collect(),
        ]
    }

    /// Each host goes to the emptiest of the few tables that its hash likes best, so that one host more or less moves few
    /// others; zone by zone where crossing zones has a price. Short tables take hosts twice.
    fn try_draw(&self, order: &[usize], tables: usize, places: usize) -> Option<Vec<Shard>> {
        if MAX_TABLES_PER_HOST * order.len() < places * tables {
            return None;
        }
        let home_zones = self.home_zones(order, tables);
        let mut assignment = ShardAssignment::new(tables, self.hosts.len());
        for &host in order {
            let table = self.preferred_table(&assignment, &home_zones, host)?;
            assignment.assign(table, host);
        }
        for (table, &home_zone) in home_zones.iter().enumerate() {
            let rank = |host: usize, tables_of_host: usize| {
                let is_foreign = self.zone(host) != home_zone;
                (tables_of_host, is_foreign, self.preference(host, table))
            };
            for _ in assignment.shard(table).len()..MIN_TABLE_HOSTS {
                let candidates = order.iter().copied();
                let host = assignment.find_stand_in(table, candidates, MAX_SHARED_HOSTS, rank)?;
                assignment.assign(table, host);
            }
        }
        let max_hosts = MAX_TABLES_PER_HOST * order.len() / tables;
        let is_even = assignment
            .shards
            .iter()
            .all(|shard| shard.len() <= max_hosts);
        is_even.then_some(assignment.shards)
    }

    fn zone(&self, host: usize) -> ZoneId {
        if self.by_zone {
            self.hosts.at(host).zone()
        } else {
            ZoneId::default()
        }
    }

    fn preference(&self, host: usize, table: usize) -> u64 {
        table_preference(self.hosts.at(host), table)
    }

    /// A zone has the tables whose middles lie in its part of all hosts.
    fn home_zones(&self, order: &[usize], tables: usize) -> Vec<ZoneId> {
        let mut by_zone = order.to_vec();
        by_zone.sort_by_key(|&host| self.zone(host));
        let middle = |table: usize| (2 * table + 1) * order.len() / (2 * tables);
        (0..tables)
            .map(|table| self.zone(by_zone[middle(table)]))
            .collect()
    }

    /// The emptiest of the tables that a host's hash likes best. A zone without a table of its own chooses freely.
    fn preferred_table(
        &self,
        assignment: &ShardAssignment,
        home_zones: &[ZoneId],
        host: usize,
    ) -> Option<usize> {
        let zone = self.zone(host);
        let is_homeless = !home_zones.contains(&zone);
        let near = (0..home_zones.len()).filter(|&table| is_homeless || home_zones[table] == zone);
        let mut preferred: Vec<(u64, usize)> = near
            .map(|table| (self.preference(host, table), table))
            .collect();
        preferred.sort_unstable();
        let choices = preferred.into_iter().take(HASH_CHOICES);
        let emptiest = choices.min_by_key(|&(_, table)| assignment.shard(table).len());
        emptiest.map(|(_, table)| table)
    }
}

/// Places that each table must find. Each change draws all anew and tears connections: more tables only with much room,
/// fewer with none.
fn slots_needed(tables: usize, current_tables: usize) -> usize {
    if current_tables == tables {
        return MIN_TABLE_HOSTS;
    }
    let grows = (1..tables).contains(&current_tables);
    let margin = if grows { GROWTH_MARGIN } else { 1 };
    margin * SLOTS_PER_TABLE
}

/// How much a host's hash likes a table: least first.
pub(crate) fn table_preference(host: &Host, table: usize) -> u64 {
    stable_hash(host.tie_breaker().wrapping_add(table as u64))
}
