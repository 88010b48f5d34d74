//! Placement: which hosts are in which table, and with what weight. Tables are few, evenly drawn, and any two of them share
//! a bounded number of hosts.

use crate::config::DeploymentConfig;
use crate::endpoint::EndpointState;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::load_reports::LoadReports;
use crate::shards::{
    MAX_SHARED_HOSTS, MAX_TABLES_PER_HOST, MIN_TABLE_HOSTS, Shard, ShardAssignment, ShardDraw,
    table_preference,
};
use crate::statistics::EPSILON;
use crate::tables::TableLayout;
use crate::time::Time;

/// Warm part from which a usable host counts as warm enough: a member of a table needs no stand-in then.
pub(crate) const MIN_WARM_ENOUGH_PART: f64 = 0.5;
/// Usage per weight, in parts of the mean, from which a table borrows hosts.
const BORROWING_USAGE: f64 = 1.15;
/// Load per working part that a warming host may get, in parts of the peak per weight: it falls over at twice its capacity
/// or more.
const MAX_WARMING_LOAD: f64 = 1.5;
/// Part of a table's attempts that succeed, under which a warming host waits.
const MIN_SUCCESS_RATIO: f64 = 0.85;
/// A warming host waits only where this part of the table is warm: a few warm hosts alone would be overloaded for sure.
const MIN_WARM_PART: f64 = 0.5;
/// Weights are stated in steps of one over this.
const WEIGHT_STEPS: f64 = 1e3;

/// What is known when hosts are placed.
pub(crate) struct PlacementView<'a> {
    pub(crate) now: Time,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) layout: &'a TableLayout,
    pub(crate) reports: &'a LoadReports,
    /// Requests a second of the proxies of each shared table.
    pub(crate) usage: &'a [f64],
    /// Part of the requests that is admitted.
    pub(crate) admitted_part: f64,
    /// The most successes a second ever seen, per weight; zero before the first.
    pub(crate) peak_per_weight: f64,
}

/// The hosts as they are now; by their places in the registry, but for `listed`.
struct Fleet {
    /// Hosts that the list lets be in a table.
    listed: Vec<usize>,
    /// The part of its work that a host can do at least.
    warm_part: Vec<f64>,
    usable: Vec<bool>,
    /// Weight, less what warming up, probation or load takes off.
    weight: Vec<f64>,
    /// Most hosts in a table.
    max_table_hosts: usize,
}

impl Fleet {
    fn is_warm_enough(&self, host: usize) -> bool {
        self.usable[host] && self.warm_part[host] >= MIN_WARM_ENOUGH_PART
    }

    fn is_warm(&self, host: usize) -> bool {
        self.warm_part[host] >= 1.0
    }

    /// The part of the listed hosts that is strong.
    fn warm_enough_part(&self) -> f64 {
        let strong = self
            .listed
            .iter()
            .filter(|&&host| self.is_warm_enough(host));
        strong.count() as f64 / self.listed.len().max(1) as f64
    }

    /// How many hosts more a table may take.
    fn slots_left(&self, shard: &Shard) -> usize {
        self.max_table_hosts.saturating_sub(shard.len())
    }
}

/// The weight that a host should have in a table.
struct TargetWeight {
    host: usize,
    table: usize,
    weight: f64,
}

/// The draw that tables start from.
pub(crate) struct Placement {
    /// Whether crossing zones has a price.
    by_zone: bool,
    listed: Vec<usize>,
    drawn: Vec<Shard>,
}

impl Placement {
    pub(crate) fn new(config: &DeploymentConfig) -> Placement {
        Placement {
            by_zone: config.cross_zone_cost > 0.0,
            listed: Vec::new(),
            drawn: Vec::new(),
        }
    }

    /// Sets what every table should hold now: the draw, the stand-ins and the weights.
    pub(crate) fn place_hosts(&mut self, hosts: &mut HostRegistry, view: &PlacementView<'_>) {
        self.renew_draw(hosts, view);
        let placing = Placing {
            view,
            hosts,
            drawn: &self.drawn,
            fleet: self.fleet(hosts, view),
        };
        let targets = placing.target_weights();
        set_targets(hosts, targets);
    }

    /// Draws all hosts anew if the list has changed.
    fn renew_draw(&mut self, hosts: &mut HostRegistry, view: &PlacementView<'_>) {
        let is_listed = |host: &Host| {
            host.state() == EndpointState::Draining || view.policy.is_ready(host, view.now)
        };
        let places = hosts.iter().enumerate();
        let listed: Vec<usize> = places
            .filter(|(_, host)| is_listed(host))
            .map(|(place, _)| place)
            .collect();
        if hosts.take_changed() || listed != self.listed {
            let draw = ShardDraw {
                hosts,
                by_zone: self.by_zone,
            };
            self.drawn = draw.draw(&listed, view.layout.shared_tables(), self.drawn.len());
            self.listed = listed;
        }
    }

    fn fleet(&self, hosts: &HostRegistry, view: &PlacementView<'_>) -> Fleet {
        let PlacementView { policy, now, .. } = *view;
        let max_hosts = MAX_TABLES_PER_HOST * self.listed.len() / self.drawn.len();
        Fleet {
            listed: self.listed.clone(),
            warm_part: hosts
                .iter()
                .map(|host| policy.warm_part(host, now))
                .collect(),
            usable: hosts
                .iter()
                .map(|host| policy.is_usable(host, now))
                .collect(),
            weight: hosts
                .iter()
                .map(|host| policy.effective_weight(host, now))
                .collect(),
            max_table_hosts: max_hosts.max(MIN_TABLE_HOSTS),
        }
    }
}

/// One round of placement.
struct Placing<'a> {
    view: &'a PlacementView<'a>,
    hosts: &'a HostRegistry,
    drawn: &'a [Shard],
    fleet: Fleet,
}

impl Placing<'_> {
    fn target_weights(&self) -> Vec<TargetWeight> {
        let mut assignment = ShardAssignment::new(self.drawn.len(), self.hosts.len());
        for (table, shard) in self.drawn.iter().enumerate() {
            for member in shard.iter().filter(|member| self.fleet.usable[member.host]) {
                assignment.assign(table, member.host);
            }
        }
        self.add_stand_ins(&mut assignment);
        let usage = self.usage_by_draw();
        self.lend_hosts(&mut assignment, &usage);
        let mut targets = self.shared_targets(&assignment, &usage);
        targets.extend(self.zone_targets());
        targets
    }

    /// Which host comes into a table first: one that is there already, then one in few tables, then one of the table's
    /// zone.
    fn stand_in_rank(&self, host: usize, table: usize, tables_of_host: usize) -> impl Ord + use<> {
        let first = self.drawn[table].first();
        let home_zone = first.map(|member| self.hosts.at(member.host).zone());
        let host = self.hosts.at(host);
        let is_new = !host.memberships.is_sent_in(table);
        let is_foreign = home_zone != Some(host.zone());
        (
            is_new,
            tables_of_host,
            is_foreign,
            table_preference(host, table),
        )
    }

    /// A draining, removed, failed or still cold member gives way to the host in fewest tables, as far as the fleet has
    /// that many for each table.
    fn add_stand_ins(&self, assignment: &mut ShardAssignment) {
        let warm_enough_part = self.fleet.warm_enough_part();
        for (table, drawn) in self.drawn.iter().enumerate() {
            let rank = |host: usize, tables: usize| self.stand_in_rank(host, table, tables);
            let shard = assignment.shard(table);
            let is_warm_enough = |host: &usize| self.fleet.is_warm_enough(*host);
            let strong = shard
                .iter()
                .filter(|member| is_warm_enough(&member.host))
                .count();
            let due =
                ((drawn.len() as f64 * warm_enough_part).ceil() as usize).max(MIN_TABLE_HOSTS);
            let missing = due.saturating_sub(strong).min(self.fleet.slots_left(shard));
            for _ in 0..missing {
                let candidates = self.fleet.listed.iter().copied().filter(is_warm_enough);
                let found = assignment.find_stand_in(table, candidates, MAX_SHARED_HOSTS, rank);
                let Some(host) = found else { break };
                assignment.assign(table, host);
            }
            self.fill_empty_table(assignment, table);
        }
    }

    /// No proxy without a host: if the bounds leave a table empty, any usable host serves it.
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

    /// Usage of each table of the draw: where there are fewer than shared tables, several of these hold the same hosts.
    fn usage_by_draw(&self) -> Vec<f64> {
        let count = self.drawn.len();
        let mut usage = vec![0.0; count];
        for (table, used) in self.view.usage.iter().enumerate() {
            usage[table % count] += used;
        }
        usage
    }

    /// Heavy proxies that share a table overload it while others idle: it borrows hosts within the bounds, and a host in
    /// two tables leans to the one with more usage for its weight.
    fn lend_hosts(&self, assignment: &mut ShardAssignment, usage: &[f64]) {
        let relative_usage = assignment.balance_weights(usage, &self.fleet.weight);
        let is_idle = |host: usize| {
            let mut tables = assignment.tables_of(host).iter();
            self.fleet.is_warm_enough(host) && tables.all(|&table| relative_usage[table] < 1.0)
        };
        let listed = self.fleet.listed.iter().copied();
        let lenders: Vec<usize> = listed.filter(|&host| is_idle(host)).collect();
        for table in (0..usage.len()).filter(|&table| relative_usage[table] > 1.0) {
            let rank = |host: usize, tables: usize| self.stand_in_rank(host, table, tables);
            // A borrowed host stays until the table needs it no more: each change costs connections.
            let may_stay = |&host: &usize| {
                let is_member = self.hosts.at(host).memberships.is_sent_in(table);
                relative_usage[table] > BORROWING_USAGE || is_member
            };
            let shard = assignment.shard(table);
            let due = (shard.len() as f64 * (relative_usage[table] - 1.0)).ceil() as usize;
            for _ in 0..due.min(self.fleet.slots_left(shard)) {
                let candidates = lenders.iter().copied().filter(may_stay);
                let found = assignment.find_stand_in(table, candidates, MAX_SHARED_HOSTS, rank);
                let Some(host) = found else { break };
                assignment.assign(table, host);
            }
        }
        assignment.balance_weights(usage, &self.fleet.weight);
    }

    /// Weights of the shared tables. Proxies avoid hosts that fail them: in a table whose attempts mostly fail, a warming
    /// host would be all they have left, so it joins no such table that is mostly warm. And per working part it gets no
    /// more than the fleet's usual load per weight, however short of hosts or full of heavy proxies its table.
    fn shared_targets(&self, assignment: &ShardAssignment, usage: &[f64]) -> Vec<TargetWeight> {
        let usual_load = self.usual_load(usage);
        let mut targets = Vec::new();
        for (table, shard) in assignment.shards().iter().enumerate() {
            let warming_hosts_wait = self.warming_hosts_wait(shard);
            let weights = shard
                .iter()
                .map(|member| self.fleet.weight[member.host] * member.part);
            let shard_weight: f64 = weights.sum();
            let load = (usage[table] * self.view.admitted_part).max(EPSILON);
            let limit = (MAX_WARMING_LOAD * usual_load * shard_weight / load).min(1.0);
            for member in shard {
                let is_warm = self.fleet.is_warm(member.host);
                if !is_warm && warming_hosts_wait {
                    continue;
                }
                let factor = if is_warm { 1.0 } else { limit };
                let weight = self.fleet.weight[member.host] * member.part * factor;
                let shared_tables = self.view.layout.shared_tables();
                let same = (table..shared_tables).step_by(usage.len());
                targets.extend(same.map(|table| TargetWeight {
                    host: member.host,
                    table,
                    weight,
                }));
            }
        }
        targets
    }

    /// The fleet's usual load per weight: the peak, or before the first success an even split.
    fn usual_load(&self, usage: &[f64]) -> f64 {
        if self.view.peak_per_weight > 0.0 {
            return self.view.peak_per_weight;
        }
        let listed = self.fleet.listed.iter();
        let listed_weight: f64 = listed.map(|&host| self.hosts.at(host).weight()).sum();
        usage.iter().sum::<f64>() / listed_weight.max(EPSILON)
    }

    /// Whether a table is mostly warm and mostly fails.
    fn warming_hosts_wait(&self, shard: &Shard) -> bool {
        let warm = shard
            .iter()
            .filter(|member| self.fleet.is_warm(member.host));
        let warm = warm.count() as f64;
        let hosts = shard.iter().map(|member| self.hosts.at(member.host));
        let throughput = self.view.reports.throughput(hosts);
        warm >= (shard.len() as f64 * MIN_WARM_PART).max(1.0)
            && throughput.successes < throughput.attempts * MIN_SUCCESS_RATIO
    }

    /// Classes confined to the proxy's zone: one table a zone, of all its hosts.
    fn zone_targets(&self) -> impl Iterator<Item = TargetWeight> {
        let layout = self.view.layout;
        let listed = self.fleet.listed.iter().copied();
        let serving = listed.filter(|&host| layout.has_zone_tables() && self.fleet.usable[host]);
        serving.filter_map(|host| {
            let table = layout.zone_table(self.hosts.at(host).zone())?;
            let weight = self.fleet.weight[host];
            Some(TargetWeight {
                host,
                table,
                weight,
            })
        })
    }
}

fn set_targets(hosts: &mut HostRegistry, targets: Vec<TargetWeight>) {
    for host in hosts.iter_mut() {
        host.memberships.clear_targets();
    }
    for target in targets {
        let weight = (target.weight * WEIGHT_STEPS).round().max(1.0) / WEIGHT_STEPS;
        let host = hosts.at_mut(target.host);
        host.memberships.set_target(target.table, weight);
    }
    for host in hosts.iter_mut() {
        host.memberships.drop_unused();
    }
}
