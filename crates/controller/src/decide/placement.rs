//! Shuffle shards: which hosts stand in which table, and with what weight. Tables are few, evenly dealt, and any two of
//! them share a bounded number of hosts.

use super::{Controller, MIN_STRONG_PART, MIN_TABLE_HOSTS, hash};
use crate::state::*;
use crate::*;

/// Hosts that two tables share at most (the design's bound).
const MAX_SHARED_HOSTS: usize = 2;
/// Tables that a host stands in at most (the design's bound).
const MAX_TABLES_PER_HOST: usize = 2;
/// Places that a table must find, its stand-ins too.
const PLACES_PER_TABLE: usize = 7;
/// Times over that more tables than before must find their places: each change deals all anew and tears connections.
const GROWTH_MARGIN: usize = 2;
/// Tables among which a host's hash lets it choose: more is evener, fewer moves less.
const HASH_CHOICES: usize = 4;
/// Usage per weight, in parts of the mean, from which a table borrows hosts.
const BORROWING_PRESSURE: f64 = 1.15;
/// Rounds in which weights settle between tables.
const SETTLE_ROUNDS: usize = 12;
/// Least part of its weight that a host keeps in each of its tables, which keeps connections warm.
const MIN_SHARED_PART: f64 = 0.05;
/// HostLoad per working part that a cold host may get, in parts of the most ever done per weight: it falls over at twice its
/// capacity or more.
const MAX_COLD_LOAD: f64 = 1.5;
/// Share of a table's tries that work, under which a cold host waits.
const MIN_COLD_SUCCESS: f64 = 0.85;
/// A cold host waits only where this part of the table is warm: a few warm hosts alone would jam for sure.
const MIN_WARM_PART: f64 = 0.5;

/// The hosts as they are now; by their places among all hosts, but for `listed`.
struct Fleet {
    /// Hosts that the list lets stand in a table.
    listed: Vec<usize>,
    /// The part of its work that a host can do at least.
    ramp: Vec<f64>,
    can_serve: Vec<bool>,
    /// Weight, less what warming up, a trial or easing takes off.
    strength: Vec<f64>,
    /// Most hosts in a table.
    max_table_hosts: usize,
}

/// The weight that a host should have in a table.
struct WantedLine {
    host: usize,
    table: usize,
    weight: f64,
}

impl Fleet {
    fn is_strong(&self, host: usize) -> bool {
        self.can_serve[host] && self.ramp[host] >= MIN_STRONG_PART
    }

    /// The part of the listed hosts that is strong.
    fn strong_part(&self) -> f64 {
        let strong = self.listed.iter().filter(|&&h| self.is_strong(h)).count();
        strong as f64 / self.listed.len().max(1) as f64
    }

    /// How many hosts more a table may take.
    fn places_left(&self, table: &Table) -> usize {
        self.max_table_hosts.saturating_sub(table.len())
    }
}

impl Controller {
    /// The draw, the stand-ins and the weights: what every table should hold now.
    pub(super) fn place_hosts(&mut self) {
        self.renew_draw();
        let fleet = self.fleet();
        let mut shards = Shards::new(self.drawn.len(), self.hosts.len());
        for (t, table) in self.drawn.iter().enumerate() {
            let serving = table.iter().filter(|(h, _)| fleet.can_serve[*h]);
            serving.for_each(|&(h, _)| shards.put(t, h));
        }
        self.add_stand_ins(&mut shards, &fleet);
        let usage = self.usage_by_draw();
        self.lend_hosts(&mut shards, &fleet, &usage);
        let mut wanted = self.shared_lines(&shards, &fleet, &usage);
        wanted.extend(self.zone_lines(&fleet));
        self.set_wanted(wanted);
    }

    /// Deals all hosts anew if the list has changed.
    fn renew_draw(&mut self) {
        let on_list =
            |h: &Host| h.standing == EndpointState::Draining || self.ready.open(h, self.now);
        let listed: Vec<usize> = (0..self.hosts.len())
            .filter(|&h| on_list(&self.hosts[h]))
            .collect();
        if std::mem::take(&mut self.list_changed) || listed != self.listed {
            self.drawn = self.draw_tables(&listed);
            self.listed = listed;
        }
    }

    fn fleet(&self) -> Fleet {
        let (now, ready, hosts) = (self.now, &self.ready, &self.hosts);
        let most = MAX_TABLES_PER_HOST * self.listed.len() / self.drawn.len();
        Fleet {
            listed: self.listed.clone(),
            ramp: hosts.iter().map(|h| ready.ramp(h, now)).collect(),
            can_serve: hosts.iter().map(|h| ready.usable(h, now)).collect(),
            strength: hosts
                .iter()
                .map(|h| h.weight * ready.strength(h, now))
                .collect(),
            max_table_hosts: most.max(MIN_TABLE_HOSTS),
        }
    }

    /// Which host comes into a table first: one that stands there already, then one in few tables, then one of the
    /// table's zone.
    fn stand_in_rank(&self, host: usize, table: usize, tables_of_host: usize) -> impl Ord + use<> {
        let home = self.drawn[table].first().map(|&(h, _)| self.hosts[h].zone);
        let host = &self.hosts[host];
        (
            !host.holds(table),
            tables_of_host,
            home != Some(host.zone),
            table_hash(host, table),
        )
    }

    /// A drained, gone, failed or still cold member gives way to the host in fewest tables, as far as the fleet has
    /// that many for each table.
    fn add_stand_ins(&self, shards: &mut Shards, fleet: &Fleet) {
        let rank = |h: usize, t: usize, places: usize| self.stand_in_rank(h, t, places);
        let strong_part = fleet.strong_part();
        for t in 0..self.drawn.len() {
            let members = shards.tables[t]
                .iter()
                .filter(|(h, _)| fleet.is_strong(*h))
                .count();
            let due =
                ((self.drawn[t].len() as f64 * strong_part).ceil() as usize).max(MIN_TABLE_HOSTS);
            for _ in 0..due
                .saturating_sub(members)
                .min(fleet.places_left(&shards.tables[t]))
            {
                let strong = |h: usize| fleet.is_strong(h);
                let Some(h) = shards.stand_in(t, &fleet.listed, MAX_SHARED_HOSTS, strong, rank)
                else {
                    break;
                };
                shards.put(t, h);
            }
            // No proxy without a host: if the bounds leave a table empty, any usable host serves it.
            let any = |h: usize| fleet.can_serve[h] && shards.tables[t].is_empty();
            let only = shards.stand_in(t, &fleet.listed, usize::MAX, any, rank);
            only.into_iter().for_each(|h| shards.put(t, h));
        }
    }

    /// Usage of each table of the draw: where there are fewer than shared tables, several of these hold the same hosts.
    fn usage_by_draw(&self) -> Vec<f64> {
        let count = self.drawn.len();
        let mut usage = vec![0.0; count];
        self.usage()
            .into_iter()
            .enumerate()
            .for_each(|(t, used)| usage[t % count] += used);
        usage
    }

    /// Heavy proxies sharing a table overload it while others idle: it borrows hosts within the bounds, and a host in
    /// two tables leans to the one with more usage for its weight.
    fn lend_hosts(&self, shards: &mut Shards, fleet: &Fleet, usage: &[f64]) {
        let rank = |h: usize, t: usize, places: usize| self.stand_in_rank(h, t, places);
        let pressure = shards.settle(usage, &fleet.strength);
        let idle =
            |h: usize, of: &[usize]| fleet.is_strong(h) && of.iter().all(|&u| pressure[u] < 1.0);
        let lenders: Vec<usize> = fleet
            .listed
            .iter()
            .copied()
            .filter(|&h| idle(h, &shards.of[h]))
            .collect();
        for t in (0..usage.len()).filter(|&t| pressure[t] > 1.0) {
            // A borrowed host stays until the table needs it no more: each change costs connections.
            let due = (shards.tables[t].len() as f64 * (pressure[t] - 1.0)).ceil() as usize;
            for _ in 0..due.min(fleet.places_left(&shards.tables[t])) {
                let keeps = |h: usize| pressure[t] > BORROWING_PRESSURE || self.hosts[h].holds(t);
                let Some(h) = shards.stand_in(t, &lenders, MAX_SHARED_HOSTS, keeps, rank) else {
                    break;
                };
                shards.put(t, h);
            }
        }
        shards.settle(usage, &fleet.strength);
    }

    /// Weights of the shared tables. Proxies avoid hosts that fail them: in a table whose tries mostly fail, a cold host
    /// would be all they have left, so it joins no such table that is mostly warm. And per working part it gets no more
    /// than the fleet's usual load per weight, however short of hosts or full of heavy proxies its table.
    fn shared_lines(&self, shards: &Shards, fleet: &Fleet, usage: &[f64]) -> Vec<WantedLine> {
        let let_in = self.share_let_in();
        let listed_weight = fleet
            .listed
            .iter()
            .map(|&h| self.hosts[h].weight)
            .sum::<f64>();
        let even = usage.iter().sum::<f64>() / listed_weight.max(1e-9);
        let usual = if self.peak_per_weight > 0.0 {
            self.peak_per_weight
        } else {
            even
        };
        let mut wanted = Vec::new();
        for (t, table) in shards.tables.iter().enumerate() {
            let warm = |h: usize| fleet.ramp[h] >= 1.0;
            let waits = self.cold_hosts_wait(table, warm);
            let weight: f64 = table
                .iter()
                .map(|(h, part)| fleet.strength[*h] * part)
                .sum();
            let cap = (MAX_COLD_LOAD * usual * weight / (usage[t] * let_in).max(1e-9)).min(1.0);
            for &(host, part) in table.iter().filter(|(h, _)| warm(*h) || !waits) {
                let weight = fleet.strength[host] * part * if warm(host) { 1.0 } else { cap };
                let same = (t..self.ready.shared_tables).step_by(usage.len());
                wanted.extend(same.map(|table| WantedLine {
                    host,
                    table,
                    weight,
                }));
            }
        }
        wanted
    }

    fn cold_hosts_wait(&self, table: &Table, is_warm: impl Fn(usize) -> bool) -> bool {
        let warm = table.iter().filter(|(h, _)| is_warm(*h)).count() as f64;
        let Throughput {
            attempts: tries,
            successes: done,
        } = self.flow(table.iter().map(|(h, _)| &self.hosts[*h]));
        warm >= (table.len() as f64 * MIN_WARM_PART).max(1.0) && done < tries * MIN_COLD_SUCCESS
    }

    /// Kinds confined to the proxy's zone: one table a zone, of all its hosts.
    fn zone_lines(&self, fleet: &Fleet) -> Vec<WantedLine> {
        let serving = fleet
            .listed
            .iter()
            .filter(|&&h| self.ready.own_tables > 0 && fleet.can_serve[h]);
        let line = |&host: &usize| {
            let table = self.ready.own_table(self.hosts[host].zone)?;
            Some(WantedLine {
                host,
                table,
                weight: fleet.strength[host],
            })
        };
        serving.filter_map(line).collect()
    }

    fn set_wanted(&mut self, wanted: Vec<WantedLine>) {
        self.hosts
            .iter_mut()
            .flat_map(|h| &mut h.places)
            .for_each(|place| place.want = 0.0);
        for WantedLine {
            host,
            table,
            weight,
        } in wanted
        {
            self.hosts[host].place(table).want = (weight * 1e3).round().max(1.0) / 1e3;
        }
        self.hosts
            .iter_mut()
            .for_each(|h| h.places.retain(|p| p.want > 0.0 || p.held()));
    }

    /// The seeded draw: the same at every steward that has as many tables, since only the list goes in. If no
    /// such shards fit, proxies share fewer tables; under four hosts, one table holds all.
    fn draw_tables(&self, listed: &[usize]) -> Vec<Table> {
        let mut order = listed.to_vec();
        // Whoever started last is dealt last, so that new hosts move nobody.
        order.sort_by_key(|&h| (self.hosts[h].started, self.hosts[h].luck));
        let (mut tables, kept) = (self.ready.shared_tables, self.drawn.len());
        while tables > 1 {
            // Each change deals all anew and tears connections: more only with much room, fewer with none.
            let more = if (1..tables).contains(&kept) {
                GROWTH_MARGIN
            } else {
                1
            };
            let room = if kept == tables {
                MIN_TABLE_HOSTS
            } else {
                more * PLACES_PER_TABLE
            };
            if let Some(dealt) = self.deal_hosts(&order, tables, room) {
                return dealt;
            }
            tables /= 2;
        }
        vec![order.into_iter().map(|h| (h, 1.0)).collect()]
    }

    /// Each host goes to the emptiest of the few tables that its hash likes best, so that one host more or
    /// less moves few others; zone by zone where crossing zones has a price. Short tables take hosts twice.
    fn deal_hosts(&self, order: &[usize], tables: usize, room: usize) -> Option<Vec<Table>> {
        if MAX_TABLES_PER_HOST * order.len() < room * tables {
            return None;
        }
        let zone = |h: usize| {
            if self.ready.zones_cost {
                self.hosts[h].zone.0
            } else {
                0
            }
        };
        // A zone has the tables whose middles lie in its part of all hosts; one without any chooses freely.
        let mut by_zone = order.to_vec();
        by_zone.sort_by_key(|&h| zone(h));
        let middle = |t: usize| zone(by_zone[(2 * t + 1) * order.len() / (2 * tables)]);
        let home: Vec<u16> = (0..tables).map(middle).collect();
        let mut shards = Shards::new(tables, self.hosts.len());
        let like = |h: usize, t: usize| table_hash(&self.hosts[h], t);
        for &h in order {
            let anywhere = !home.contains(&zone(h));
            let near = (0..tables).filter(|&t| anywhere || home[t] == zone(h));
            let mut liked: Vec<(u64, usize)> = near.map(|t| (like(h, t), t)).collect();
            liked.sort_unstable();
            let emptiest = liked
                .iter()
                .take(HASH_CHOICES)
                .min_by_key(|(_, t)| shards.tables[*t].len());
            shards.put(emptiest?.1, h);
        }
        for t in 0..tables {
            let rank = |h: usize, t: usize, places: usize| (places, zone(h) != home[t], like(h, t));
            for _ in shards.tables[t].len()..MIN_TABLE_HOSTS {
                let h = shards.stand_in(t, order, MAX_SHARED_HOSTS, |_| true, rank)?;
                shards.put(t, h);
            }
        }
        let most = MAX_TABLES_PER_HOST * order.len() / tables;
        shards
            .tables
            .iter()
            .all(|table| table.len() <= most)
            .then_some(shards.tables)
    }
}

impl Shards {
    /// The host of least rank that may join table `t` without any pair of tables sharing more than `most`.
    fn stand_in<R: Ord>(
        &self,
        t: usize,
        of: &[usize],
        most: usize,
        may: impl Fn(usize) -> bool,
        rank: impl Fn(usize, usize, usize) -> R,
    ) -> Option<usize> {
        let mut shared = vec![0; self.tables.len()];
        self.tables[t]
            .iter()
            .flat_map(|(h, _)| &self.of[*h])
            .for_each(|&u| shared[u] += 1);
        shared[t] = usize::MAX;
        let fits = |&h: &usize| may(h) && self.of[h].iter().all(|&u| shared[u] < most);
        of.iter()
            .copied()
            .filter(fits)
            .min_by_key(|&h| rank(h, t, self.of[h].len()))
    }

    /// Splits hosts in several tables so that usage per weight comes as even as it can; gives that, mean 1.
    fn settle(&mut self, usage: &[f64], strength: &[f64]) -> Vec<f64> {
        let all: f64 = usage.iter().sum();
        let mut pressure = vec![1.0; self.tables.len()];
        let mut sums = vec![0.0; self.of.len()];
        for _ in 0..SETTLE_ROUNDS {
            sums.fill(0.0);
            let mut total = 0.0;
            for (table, lean) in self.tables.iter().zip(&pressure) {
                table.iter().for_each(|(h, part)| sums[*h] += part * lean);
            }
            let mut weights = Vec::with_capacity(usage.len());
            for (table, lean) in self.tables.iter_mut().zip(&pressure) {
                table
                    .iter_mut()
                    .for_each(|(h, part)| *part = (*part * lean / sums[*h]).max(MIN_SHARED_PART));
                let weight = table
                    .iter()
                    .map(|(h, part)| strength[*h] * part)
                    .sum::<f64>()
                    .max(1e-9);
                weights.push(weight);
                total += weight;
            }
            if all > 0.0 {
                let even = usage
                    .iter()
                    .zip(weights)
                    .map(|(used, weight)| used / all * total / weight);
                pressure = even
                    .map(|p| p.clamp(MIN_SHARED_PART, 1.0 / MIN_SHARED_PART))
                    .collect();
            }
        }
        pressure
    }
}

fn table_hash(host: &Host, table: usize) -> u64 {
    hash(host.luck.wrapping_add(table as u64))
}
