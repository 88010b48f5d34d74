//! Placement: which hosts are in which table, and with what weight. Tables are of even size, and any two of them share
//! a bounded number of hosts.

use crate::config::DeploymentConfig;
use crate::endpoint::EndpointState;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::shards::{
    MAX_SHARED_HOSTS, MAX_TABLES_PER_HOST, MIN_TABLE_HOSTS, Shard, ShardAssignment, ShardDraw,
    ShardMember, table_preference,
};
use crate::statistics::EPSILON;
use crate::tables::TableLayout;
use crate::time::Time;
use crate::warming_limit::{LimitedWeight, WarmingLimit, limited_weights};
use crate::warming_tables::{ShardTable, choose_warming_tables};
use std::collections::BTreeMap;

/// Minimum warm fraction for a usable host to count as warm enough, so that its table needs no stand-in for it.
pub(crate) const MIN_WARM_ENOUGH_FRACTION: f64 = 0.5;
/// Minimum number of warm or warming hosts of a shard for tables of their own: two would have to take all requests of one
/// that is lost.
const MIN_SEPARATE_HOSTS: usize = 3;
/// Relative usage above which a table borrows hosts from other tables.
const MIN_BORROWING_USAGE: f64 = 1.15;
/// Resolution of weights: steps per unit of weight.
const STEPS_PER_WEIGHT: f64 = 1e3;

/// State of the fleet that placement reads.
pub(crate) struct PlacementView<'a> {
    pub(crate) now: Time,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) layout: &'a TableLayout,
    /// Requests per second of the proxies of each shared table.
    pub(crate) usage: &'a [f64],
    /// Attempts at hosts for each request that reaches a proxy, by what is admitted and retried.
    pub(crate) attempts_per_arrival: f64,
    /// Attempts per second by what each table admits, retries included.
    pub(crate) attempts_by_table: &'a [f64],
    /// What warming hosts may be sent.
    pub(crate) warming_limit: WarmingLimit,
}

/// The current state of all hosts. The vectors other than `listed` are indexed like the host registry.
struct Fleet {
    /// Indexes of the hosts that are ready or draining.
    listed: Vec<usize>,
    /// Fraction of its capacity that each host has at least.
    warm_fraction: Vec<f64>,
    /// Whether each host is ready and not ejected.
    usable: Vec<bool>,
    /// Whether each host is usable and may be in the table of its zone.
    in_zone_tables: Vec<bool>,
    /// Whether a usable host is warm.
    has_warm_host: bool,
    /// Weight of each host, reduced for warming up, probation and high load.
    weight: Vec<f64>,
    /// Maximum number of hosts in a table.
    max_table_hosts: usize,
}

impl Fleet {
    /// Returns whether a host can stand in for another: it is warm or, in a fleet without warm hosts, warm enough.
    fn is_warm_enough(&self, host: usize) -> bool {
        let min_fraction = if self.has_warm_host {
            1.0
        } else {
            MIN_WARM_ENOUGH_FRACTION
        };
        self.usable[host] && self.warm_fraction[host] >= min_fraction
    }

    fn is_warm(&self, host: usize) -> bool {
        self.warm_fraction[host] >= 1.0
    }

    /// Returns the fraction of the listed hosts that are warm enough.
    fn warm_enough_fraction(&self) -> f64 {
        let warm_enough = self
            .listed
            .iter()
            .filter(|&&host| self.is_warm_enough(host));
        warm_enough.count() as f64 / self.listed.len().max(1) as f64
    }

    /// Returns how many more hosts the table may have.
    fn free_slots(&self, shard: &Shard) -> usize {
        self.max_table_hosts.saturating_sub(shard.len())
    }
}

/// The weight that a host should have in a table.
struct TargetWeight {
    host: usize,
    table: usize,
    weight: f64,
}

/// Assigns hosts to tables and sets their target weights. Keeps the base shards until the listed hosts change.
pub(crate) struct Placement {
    /// Whether shards prefer hosts of one zone, because crossing zones has a cost.
    by_zone: bool,
    /// Indexes of the hosts that the base shards were drawn from.
    listed: Vec<usize>,
    /// Shards drawn from the endpoint list, before stand-ins and borrowed hosts.
    base_shards: Vec<Shard>,
}

impl Placement {
    pub(crate) fn new(config: &DeploymentConfig) -> Placement {
        Placement {
            by_zone: config.cross_zone_cost > 0.0,
            listed: Vec::new(),
            base_shards: Vec::new(),
        }
    }

    /// Sets the target weights of all tables: base shards, stand-ins, borrowed hosts and zone tables.
    pub(crate) fn place_hosts(&mut self, hosts: &mut HostRegistry, view: &PlacementView<'_>) {
        self.update_base_shards(hosts, view);
        let round = PlacementRound {
            view,
            hosts,
            base_shards: &self.base_shards,
            fleet: self.fleet(hosts, view),
        };
        let targets = round.target_weights();
        set_targets(hosts, targets);
    }

    /// Draws the base shards again if the listed hosts have changed.
    fn update_base_shards(&mut self, hosts: &mut HostRegistry, view: &PlacementView<'_>) {
        let is_listed = |host: &Host| {
            host.state() == EndpointState::Draining || view.policy.is_ready(host, view.now)
        };
        let indexed = hosts.iter().enumerate();
        let listed: Vec<usize> = indexed
            .filter(|(_, host)| is_listed(host))
            .map(|(index, _)| index)
            .collect();
        if hosts.take_changed() || listed != self.listed {
            let draw = ShardDraw {
                hosts,
                by_zone: self.by_zone,
            };
            self.base_shards =
                draw.draw(&listed, view.layout.shared_tables(), self.base_shards.len());
            self.listed = listed;
        }
    }

    fn fleet(&self, hosts: &HostRegistry, view: &PlacementView<'_>) -> Fleet {
        let PlacementView { policy, now, .. } = *view;
        let max_hosts = MAX_TABLES_PER_HOST * self.listed.len() / self.base_shards.len();
        let is_usable = |host: &Host| policy.is_usable(host, now);
        Fleet {
            listed: self.listed.clone(),
            warm_fraction: hosts
                .iter()
                .map(|host| policy.warm_fraction(host, now))
                .collect(),
            usable: hosts.iter().map(is_usable).collect(),
            in_zone_tables: hosts
                .iter()
                .map(|host| is_usable(host) && host.may_serve_zone)
                .collect(),
            has_warm_host: hosts
                .iter()
                .any(|host| is_usable(host) && policy.is_warm(host, now)),
            weight: hosts
                .iter()
                .map(|host| policy.effective_weight(host, now))
                .collect(),
            max_table_hosts: max_hosts.max(MIN_TABLE_HOSTS),
        }
    }
}

/// The inputs of one round of placement.
struct PlacementRound<'a> {
    view: &'a PlacementView<'a>,
    hosts: &'a HostRegistry,
    base_shards: &'a [Shard],
    fleet: Fleet,
}

impl PlacementRound<'_> {
    fn target_weights(&self) -> Vec<TargetWeight> {
        let mut assignment = ShardAssignment::new(self.base_shards.len(), self.hosts.len());
        for (table, shard) in self.base_shards.iter().enumerate() {
            for member in shard.iter().filter(|member| self.fleet.usable[member.host]) {
                assignment.assign(table, member.host);
            }
        }
        self.add_stand_ins(&mut assignment);
        let usage = self.usage_by_shard();
        self.add_borrowed_hosts(&mut assignment, &usage);
        let mut targets = self.shared_targets(&assignment);
        targets.extend(self.zone_targets());
        targets
    }

    /// Returns the rank of a host as a stand-in, lowest first: prefers current members of the table, then hosts in few
    /// tables, then hosts of the table's zone.
    fn stand_in_rank(&self, host: usize, table: usize, tables_of_host: usize) -> impl Ord + use<> {
        let first = self.base_shards[table].first();
        let home_zone = first.map(|member| self.hosts.at(member.host).zone());
        let host = self.hosts.at(host);
        let is_new = !host.memberships.is_sent_in(table);
        let is_other_zone = home_zone != Some(host.zone());
        (
            is_new,
            tables_of_host,
            is_other_zone,
            table_preference(host, table),
        )
    }

    /// Adds stand-ins for members that are draining, removed, failed or not warm enough, up to the number of hosts per
    /// table that the fleet can provide. Hosts in the fewest tables come first.
    fn add_stand_ins(&self, assignment: &mut ShardAssignment) {
        let warm_enough_fraction = self.fleet.warm_enough_fraction();
        for (table, base) in self.base_shards.iter().enumerate() {
            let rank = |host: usize, tables: usize| self.stand_in_rank(host, table, tables);
            let shard = assignment.shard(table);
            let is_warm_enough = |host: &usize| self.fleet.is_warm_enough(*host);
            let warm_enough = shard
                .iter()
                .filter(|member| is_warm_enough(&member.host))
                .count();
            let required =
                ((base.len() as f64 * warm_enough_fraction).ceil() as usize).max(MIN_TABLE_HOSTS);
            let missing = required
                .saturating_sub(warm_enough)
                .min(self.fleet.free_slots(shard));
            for _ in 0..missing {
                let candidates = self.fleet.listed.iter().copied().filter(is_warm_enough);
                let found = assignment.find_stand_in(table, candidates, MAX_SHARED_HOSTS, rank);
                let Some(host) = found else { break };
                assignment.assign(table, host);
            }
            self.add_warm_hosts(assignment, table);
            self.fill_empty_table(assignment, table);
        }
    }

    /// Adds warm hosts to a shard that has warming ones and too few warm ones for tables of their own, beyond the limits on
    /// shared hosts: otherwise all its hosts would serve the same tables.
    fn add_warm_hosts(&self, assignment: &mut ShardAssignment, table: usize) {
        let is_warm = |host: usize| self.fleet.usable[host] && self.fleet.is_warm(host);
        let members = assignment.shard(table).iter();
        let warm = members.filter(|member| is_warm(member.host)).count();
        let warming = assignment.shard(table).len() - warm;
        if warming == 0 {
            return;
        }
        let rank = |host: usize, tables: usize| self.stand_in_rank(host, table, tables);
        for _ in warm..MIN_SEPARATE_HOSTS {
            let candidates = self.fleet.listed.iter().copied();
            let candidates = candidates.filter(|&host| is_warm(host));
            let found = assignment.find_stand_in(table, candidates, usize::MAX, rank);
            let Some(host) = found else { break };
            assignment.assign(table, host);
        }
    }

    /// If the limits leave a table empty, adds any usable host, so that no proxy is without a host.
    fn fill_empty_table(&self, assignment: &mut ShardAssignment, table: usize) {
        if !assignment.shard(table).is_empty() {
            return;
        }
        let rank = |host: usize, tables: usize| self.stand_in_rank(host, table, tables);
        let listed = self.fleet.listed.iter().copied();
        let usable = listed.filter(|&host| self.fleet.usable[host]);
        if let Some(host) = assignment.find_stand_in(table, usable, usize::MAX, rank) {
            assignment.assign(table, host);
        }
    }

    /// Returns the usage of each base shard. If there are fewer base shards than shared tables, several tables use the
    /// same shard.
    fn usage_by_shard(&self) -> Vec<f64> {
        let count = self.base_shards.len();
        let mut usage = vec![0.0; count];
        for (table, used) in self.view.usage.iter().enumerate() {
            usage[table % count] += used;
        }
        usage
    }

    /// Adds hosts from lightly used tables to heavily used ones within the limits, since busy proxies that share a
    /// table would overload it while other tables are idle. A host in two tables gives more weight to the table with
    /// the higher usage per weight.
    fn add_borrowed_hosts(&self, assignment: &mut ShardAssignment, usage: &[f64]) {
        let relative_usage = assignment.balance_weights(usage, &self.fleet.weight);
        let is_lightly_used = |host: usize| {
            let mut tables = assignment.tables_of(host).iter();
            self.fleet.is_warm_enough(host) && tables.all(|&table| relative_usage[table] < 1.0)
        };
        let listed = self.fleet.listed.iter().copied();
        let lightly_used: Vec<usize> = listed.filter(|&host| is_lightly_used(host)).collect();
        for table in (0..usage.len()).filter(|&table| relative_usage[table] > 1.0) {
            let rank = |host: usize, tables: usize| self.stand_in_rank(host, table, tables);
            // A borrowed host stays until the table no longer needs it, because each change closes connections.
            let may_borrow = |&host: &usize| {
                let is_member = self.hosts.at(host).memberships.is_sent_in(table);
                relative_usage[table] > MIN_BORROWING_USAGE || is_member
            };
            let shard = assignment.shard(table);
            let required = (shard.len() as f64 * (relative_usage[table] - 1.0)).ceil() as usize;
            for _ in 0..required.min(self.fleet.free_slots(shard)) {
                let candidates = lightly_used.iter().copied().filter(may_borrow);
                let found = assignment.find_stand_in(table, candidates, MAX_SHARED_HOSTS, rank);
                let Some(host) = found else { break };
                assignment.assign(table, host);
            }
        }
        assignment.balance_weights(usage, &self.fleet.weight);
    }

    /// Returns the target weights of the shared tables. The warm and the warming hosts of a shard serve different tables,
    /// unless there are too few warm ones for a table.
    fn shared_targets(&self, assignment: &ShardAssignment) -> Vec<TargetWeight> {
        let has_warming_hosts = self.tables_with_warming_hosts();
        let mut targets = Vec::new();
        for (shard_index, shard) in assignment.shards().iter().enumerate() {
            let is_warm = |member: &ShardMember| self.fleet.is_warm(member.host);
            let (mut warm, mut warming): (Vec<_>, Vec<_>) =
                shard.iter().partition(|member| is_warm(member));
            if warm.len() < MIN_SEPARATE_HOSTS {
                warm.append(&mut warming);
            }
            let tables = self.tables_of_shard(shard_index, &has_warming_hosts);
            let of_warming = if warming.len() < MIN_SEPARATE_HOSTS {
                Vec::new()
            } else {
                choose_warming_tables(&tables, self.max_rate_of_members(&warming))
            };
            let of_warm = tables.iter().map(|table| table.table);
            let of_warm: Vec<usize> = of_warm
                .filter(|table| !of_warming.contains(table))
                .collect();
            targets.extend(self.targets_of_members(&warm, &of_warm));
            targets.extend(self.targets_of_members(&warming, &of_warming));
        }
        targets
    }

    /// Returns for each table whether its proxies were sent warming hosts.
    fn tables_with_warming_hosts(&self) -> Vec<bool> {
        let mut has_warming_hosts = vec![false; self.view.layout.len()];
        let hosts = self.hosts.iter().enumerate();
        for (_, host) in hosts.filter(|(index, _)| !self.fleet.is_warm(*index)) {
            let held = host.memberships.iter();
            for membership in held.filter(|membership| membership.sent_weight() > 0.0) {
                has_warming_hosts[membership.table()] = true;
            }
        }
        has_warming_hosts
    }

    /// Returns the shared tables that use a shard.
    fn tables_of_shard(&self, shard: usize, has_warming_hosts: &[bool]) -> Vec<ShardTable> {
        let tables = (shard..self.view.layout.shared_tables()).step_by(self.base_shards.len());
        tables
            .map(|table| ShardTable {
                table,
                rate: self.view.usage[table] * self.view.attempts_per_arrival,
                has_warming_hosts: has_warming_hosts[table],
            })
            .collect()
    }

    /// Returns the attempts per second that members of a table should get at most, all of them warming hosts.
    fn max_rate_of_members(&self, members: &[&ShardMember]) -> f64 {
        let rate = |member: &&ShardMember| {
            let max_rate = self.max_rate_by_weight(member.host).unwrap_or(0.0);
            max_rate * member.weight_fraction
        };
        members.iter().map(rate).sum()
    }

    /// Returns the target weights of the members of a shard in these tables of it.
    fn targets_of_members(&self, members: &[&ShardMember], tables: &[usize]) -> Vec<TargetWeight> {
        let usage = tables.iter().map(|&table| self.view.usage[table]).sum();
        let weights = self.table_weights(members, usage);
        let members = members.iter().zip(weights);
        members
            .flat_map(|(member, weight)| {
                tables.iter().map(move |&table| TargetWeight {
                    host: member.host,
                    table,
                    weight,
                })
            })
            .collect()
    }

    /// Returns the weights of the members of a table with this usage. The load of each warming host is limited, also if
    /// its table has few hosts or busy proxies.
    fn table_weights(&self, members: &[&ShardMember], usage: f64) -> Vec<f64> {
        let limited = members.iter().map(|member| LimitedWeight {
            weight: self.fleet.weight[member.host] * member.weight_fraction,
            max_rate: self
                .max_rate_by_weight(member.host)
                .map(|rate| rate * member.weight_fraction),
        });
        let rate = usage * self.view.attempts_per_arrival;
        limited_weights(&limited.collect::<Vec<_>>(), rate)
    }

    /// Returns the target weights of the zone tables: each has all hosts of its zone, for the zone-local classes. What a
    /// warming host may be sent is split between its shared tables and its zone's table like all attempts.
    fn zone_targets(&self) -> Vec<TargetWeight> {
        let mut hosts_by_table = self.hosts_by_zone_table(&self.fleet.in_zone_tables);
        // A zone without an eligible host gets all its usable ones.
        for (table, hosts) in self.hosts_by_zone_table(&self.fleet.usable) {
            hosts_by_table.entry(table).or_insert(hosts);
        }
        let zone_part = self.zone_part_of_attempts();
        let mut targets = Vec::new();
        for (table, hosts) in hosts_by_table {
            let limited = hosts.iter().map(|&host| LimitedWeight {
                weight: self.fleet.weight[host],
                max_rate: self.max_rate_by_weight(host).map(|rate| rate * zone_part),
            });
            let rate = self.view.attempts_by_table[table];
            let weights = limited_weights(&limited.collect::<Vec<_>>(), rate);
            let hosts = hosts.iter().zip(weights);
            targets.extend(hosts.map(|(&host, weight)| TargetWeight {
                host,
                table,
                weight,
            }));
        }
        targets
    }

    /// Returns the hosts of each zone table among the listed hosts that `is_included` names.
    fn hosts_by_zone_table(&self, is_included: &[bool]) -> BTreeMap<usize, Vec<usize>> {
        let mut hosts_by_table: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let listed = self.fleet.listed.iter();
        for &host in listed.filter(|&&host| is_included[host]) {
            if let Some(table) = self.view.layout.zone_table(self.hosts.at(host).zone()) {
                hosts_by_table.entry(table).or_default().push(host);
            }
        }
        hosts_by_table
    }

    /// Returns the part of all attempts that go by the zone tables.
    fn zone_part_of_attempts(&self) -> f64 {
        let by_table = self.view.attempts_by_table;
        let all: f64 = by_table.iter().sum();
        let by_zone: f64 = by_table.iter().skip(self.view.layout.shared_tables()).sum();
        by_zone / all.max(EPSILON)
    }

    /// Returns the attempts per second that a warming host's weights should bring at most; `None` for a warm one.
    fn max_rate_by_weight(&self, host: usize) -> Option<f64> {
        let capacity = self.hosts.at(host).weight() * self.fleet.warm_fraction[host];
        let is_warm = self.fleet.is_warm(host);
        (!is_warm).then(|| self.view.warming_limit.rate_by_weight(capacity))
    }
}

/// Replaces the target weights of all hosts.
fn set_targets(hosts: &mut HostRegistry, targets: Vec<TargetWeight>) {
    for host in hosts.iter_mut() {
        host.memberships.clear_targets();
    }
    for target in targets {
        let weight = (target.weight * STEPS_PER_WEIGHT).round().max(1.0) / STEPS_PER_WEIGHT;
        let host = hosts.at_mut(target.host);
        host.memberships.set_target(target.table, weight);
    }
    for host in hosts.iter_mut() {
        host.memberships.drop_unused();
    }
}
