//! Shards: the hosts of each table, where any two tables share a bounded number of hosts.

use crate::host::{Host, HostRegistry};
use crate::ids::ZoneId;
use crate::statistics::{EPSILON, stable_hash};

/// Minimum number of hosts in a table (see docs/design.md).
pub(crate) const MIN_TABLE_HOSTS: usize = 4;
/// Maximum number of hosts that two tables share (see docs/design.md).
pub(crate) const MAX_SHARED_HOSTS: usize = 2;
/// Maximum number of tables that a host is in (see docs/design.md).
pub(crate) const MAX_TABLES_PER_HOST: usize = 2;
/// Host slots that the fleet must provide per table, including those for stand-ins.
const SLOTS_PER_TABLE: usize = 7;
/// Factor on the required slots before the number of tables is raised, since each change of the number reassigns all
/// hosts and closes connections.
const GROWTH_MARGIN: usize = 2;
/// Number of tables preferred by a host's hash, of which the host joins the smallest. More choices give more even
/// tables; fewer choices move fewer hosts when the list changes.
const HASH_CHOICES: usize = 4;
/// Iterations of balancing weights between tables.
const BALANCING_ROUNDS: usize = 12;
/// Minimum fraction of a host's weight in each of its tables, which keeps connections open.
const MIN_WEIGHT_FRACTION: f64 = 0.05;

/// A host of a table.
#[derive(Clone, Copy)]
pub(crate) struct ShardMember {
    /// Index in the host registry.
    pub(crate) host: usize,
    /// Fraction of the host's weight in this table.
    pub(crate) weight_fraction: f64,
}

/// The hosts of one table.
pub(crate) type Shard = Vec<ShardMember>;

/// Assignment of hosts to tables.
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
        self.shards[table].push(ShardMember {
            host,
            weight_fraction: 1.0,
        });
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

    /// Returns the candidate of lowest rank that can join a table without any two tables sharing more than `max_shared`
    /// hosts. `rank` gets a host and the number of tables it is in.
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

    /// Splits the weight of hosts between their tables to even out the usage per weight. Returns the relative usage of
    /// each table: its usage per weight divided by the mean.
    pub(crate) fn balance_weights(&mut self, usage: &[f64], weights: &[f64]) -> Vec<f64> {
        let total_usage: f64 = usage.iter().sum();
        let mut relative_usage = vec![1.0; self.shards.len()];
        let mut relative_usage_sums = vec![0.0; self.tables_of_host.len()];
        for _ in 0..BALANCING_ROUNDS {
            self.sum_relative_usage(&relative_usage, &mut relative_usage_sums);
            let shard_weights = self.split_weights(&relative_usage, &relative_usage_sums, weights);
            if total_usage > 0.0 {
                let total_weight: f64 = shard_weights.iter().sum();
                let ratios = usage
                    .iter()
                    .zip(shard_weights)
                    .map(|(used, weight)| used / total_usage * total_weight / weight);
                relative_usage = ratios
                    .map(|ratio| ratio.clamp(MIN_WEIGHT_FRACTION, 1.0 / MIN_WEIGHT_FRACTION))
                    .collect();
            }
        }
        relative_usage
    }

    /// Sums the relative usage of the tables of each host, weighted by the host's weight fractions.
    fn sum_relative_usage(&self, relative_usage: &[f64], sums: &mut [f64]) {
        sums.fill(0.0);
        for (shard, relative_usage) in self.shards.iter().zip(relative_usage) {
            for member in shard {
                sums[member.host] += member.weight_fraction * relative_usage;
            }
        }
    }

    /// Splits the weight of each host by the relative usage of its tables. Returns the weight of each table.
    fn split_weights(&mut self, relative_usage: &[f64], sums: &[f64], weights: &[f64]) -> Vec<f64> {
        let mut shard_weights = Vec::with_capacity(relative_usage.len());
        for (shard, relative_usage) in self.shards.iter_mut().zip(relative_usage) {
            for member in shard.iter_mut() {
                let fraction = member.weight_fraction * relative_usage / sums[member.host];
                member.weight_fraction = fraction.max(MIN_WEIGHT_FRACTION);
            }
            let weight: f64 = shard
                .iter()
                .map(|member| weights[member.host] * member.weight_fraction)
                .sum();
            shard_weights.push(weight.max(EPSILON));
        }
        shard_weights
    }
}

/// Deterministic draw of hosts into tables. Controllers with the same endpoint list and number of tables get the same
/// shards.
pub(crate) struct ShardDraw<'a> {
    pub(crate) hosts: &'a HostRegistry,
    /// Whether tables have home zones, because crossing zones has a cost.
    pub(crate) by_zone: bool,
}

impl ShardDraw<'_> {
    /// Draws the listed hosts into up to `max_tables` shards. Halves the number of shards until they satisfy the
    /// limits; in the end, a single shard has all hosts, for instance if there are fewer than four.
    pub(crate) fn draw(
        &self,
        listed: &[usize],
        max_tables: usize,
        current_tables: usize,
    ) -> Vec<Shard> {
        let mut order = listed.to_vec();
        // Hosts are drawn in the order of their start, so that new hosts do not move older ones.
        order.sort_by_key(|&host| {
            let host = self.hosts.at(host);
            (host.started(), host.tie_breaker())
        });
        let mut tables = max_tables;
        while tables > 1 {
            let slots = slots_needed(tables, current_tables);
            if let Some(shards) = self.try_draw(&order, tables, slots) {
                return shards;
            }
            tables /= 2;
        }
        let members = order.into_iter();
        vec![
            members
                .map(|host| ShardMember {
                    host,
                    weight_fraction: 1.0,
                })
                .collect(),
        ]
    }

    /// Assigns each host to the smallest of the tables that its hash prefers, so that adding or removing a host moves
    /// few others. If crossing zones has a cost, hosts go to tables of their zone. Tables with too few hosts also get
    /// hosts that another table already has. Returns `None` if the limits cannot be met.
    fn try_draw(&self, order: &[usize], tables: usize, slots: usize) -> Option<Vec<Shard>> {
        if MAX_TABLES_PER_HOST * order.len() < slots * tables {
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
                let is_other_zone = self.zone(host) != home_zone;
                (tables_of_host, is_other_zone, self.preference(host, table))
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

    /// Returns the home zone of each table. With the hosts sorted by zone and divided evenly among the tables, it is
    /// the zone of the host in the middle of the table's section.
    fn home_zones(&self, order: &[usize], tables: usize) -> Vec<ZoneId> {
        let mut by_zone = order.to_vec();
        by_zone.sort_by_key(|&host| self.zone(host));
        let middle = |table: usize| (2 * table + 1) * order.len() / (2 * tables);
        (0..tables)
            .map(|table| self.zone(by_zone[middle(table)]))
            .collect()
    }

    /// Returns the smallest of the tables that a host's hash prefers. Hosts of a zone without a home table can go to
    /// any table.
    fn preferred_table(
        &self,
        assignment: &ShardAssignment,
        home_zones: &[ZoneId],
        host: usize,
    ) -> Option<usize> {
        let zone = self.zone(host);
        let has_no_home_table = !home_zones.contains(&zone);
        let eligible =
            (0..home_zones.len()).filter(|&table| has_no_home_table || home_zones[table] == zone);
        let mut preferred: Vec<(u64, usize)> = eligible
            .map(|table| (self.preference(host, table), table))
            .collect();
        preferred.sort_unstable();
        let choices = preferred.into_iter().take(HASH_CHOICES);
        let smallest = choices.min_by_key(|&(_, table)| assignment.shard(table).len());
        smallest.map(|(_, table)| table)
    }
}

/// Returns the number of slots required per table. A change of the number of tables reassigns all hosts and closes
/// connections, so more tables require a large margin, while the current number only requires the minimum table size.
fn slots_needed(tables: usize, current_tables: usize) -> usize {
    if current_tables == tables {
        return MIN_TABLE_HOSTS;
    }
    let grows = (1..tables).contains(&current_tables);
    let margin = if grows { GROWTH_MARGIN } else { 1 };
    margin * SLOTS_PER_TABLE
}

/// Returns the preference of a host for a table by its hash; lower is preferred.
pub(crate) fn table_preference(host: &Host, table: usize) -> u64 {
    stable_hash(host.tie_breaker().wrapping_add(table as u64))
}
