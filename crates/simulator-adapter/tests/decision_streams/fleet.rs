//! A simulated fleet: hosts with queues, proxies that send by the tables they were handed, and what happens to both.
//! It knows no wire, and counts in whole numbers (thousandths), so that its reports are the same on every platform.

use crate::random::Random;
use crate::site::{CLASSES, MACHINES, Site};
use std::collections::BTreeMap;

/// Requests that a host of size 1 can do in a second.
const HOST_RATE: u64 = 30;
/// Time of an answer while nothing waits, and of one waiting request, in microseconds.
const BASE_TIME: u64 = 40_000;
const QUEUE_TIME: u64 = 30_000;
const MAX_QUEUE: u64 = 60_000;
const COLD_TIME: u64 = 18_000_000;

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Health {
    Listed,
    Draining,
    Removed,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    Nothing,
    Fails,
    Slow,
    Hangs,
}

pub(crate) struct Host {
    pub name: String,
    pub zone: usize,
    pub machine: &'static str,
    pub cell: usize,
    /// In thousandths.
    pub size: u64,
    /// When it last started, in microseconds; 0: long ago.
    pub started: u64,
    pub health: Health,
    pub fault: Fault,
    /// Requests waiting, in thousandths.
    pub queue: u64,
}

pub(crate) struct Proxy {
    pub zone: usize,
    pub joined: bool,
    /// Requests a second, in thousandths.
    pub rate: u64,
    tables: [Option<u16>; CLASSES.len()],
}

/// What the attempts of one zone's proxies at one host gave within a report period.
pub(crate) struct HostReport {
    pub zone: usize,
    pub host: usize,
    pub attempts: u64,
    pub errors: u64,
    /// In microseconds.
    pub mean_time: u64,
    /// In thousandths.
    pub busy: u64,
    pub queue: u64,
}

/// Requests of one class at one proxy within a report period.
pub(crate) struct UsageReport {
    pub proxy: usize,
    pub class: usize,
    pub count: u64,
    pub errors: u64,
}

/// What the controller is to hear of an incident.
pub(crate) enum Change {
    Hosts(Vec<usize>),
    Joined { proxy: usize, fresh: bool },
    Left(usize),
}

pub(crate) struct Fleet {
    pub hosts: Vec<Host>,
    pub proxies: Vec<Proxy>,
    pub random: Random,
    lines: BTreeMap<u16, BTreeMap<usize, u64>>,
    levels: BTreeMap<(u16, usize), u64>,
    zones: usize,
}

impl Fleet {
    pub(crate) fn new(site: &Site) -> Fleet {
        let mut random = Random::new(site.seed);
        let hosts: Vec<Host> = (0..site.hosts)
            .map(|n| new_host(n, site.zones, &mut random))
            .collect();
        let capacity: u64 = hosts.iter().map(|host| host.size * HOST_RATE).sum();
        let usual = capacity * 6 / 10 / site.proxies as u64;
        let proxy = |n| Proxy {
            zone: n % site.zones,
            joined: false,
            rate: usual * random.between(500, 1_500) / 1_000,
            tables: [None; CLASSES.len()],
        };
        let proxies = (0..site.proxies).map(proxy).collect();
        Fleet {
            hosts,
            proxies,
            random,
            lines: BTreeMap::new(),
            levels: BTreeMap::new(),
            zones: site.zones,
        }
    }

    // ---- What the controller decides ---------------------------------------------------------------------

    /// Sets a line of a table; a weight of zero thousandths removes it.
    pub(crate) fn set_line(&mut self, table: u16, host: &str, weight: u64) {
        let host = self
            .hosts
            .iter()
            .position(|known| known.name == host)
            .expect("a host that was listed");
        let lines = self.lines.entry(table).or_default();
        if weight > 0 {
            lines.insert(host, weight)
        } else {
            lines.remove(&host)
        };
    }

    /// Hands a table to a proxy, for the classes whose bits are set; no bit: for all.
    pub(crate) fn hand_table(&mut self, proxy: usize, table: u16, classes: u64) {
        for class in (0..CLASSES.len()).filter(|class| classes == 0 || classes >> class & 1 == 1) {
            self.proxies[proxy].tables[class] = Some(table);
        }
    }

    /// Sets the share, in thousandths, of the classes whose bits are set.
    pub(crate) fn set_level(&mut self, table: u16, classes: u64, share: u64) {
        for class in (0..CLASSES.len()).filter(|class| classes >> class & 1 == 1) {
            self.levels.insert((table, class), share);
        }
    }

    /// The joined proxies that hold a table.
    pub(crate) fn users(&self, table: u16) -> Vec<usize> {
        let uses = |proxy: &Proxy| proxy.joined && proxy.tables.contains(&Some(table));
        (0..self.proxies.len())
            .filter(|&n| uses(&self.proxies[n]))
            .collect()
    }

    // ---- One report period ------------------------------------------------------------------------------

    /// Sends the requests of one second and gives the proxies' reports.
    pub(crate) fn serve(
        &mut self,
        now: u64,
        demand_percent: u64,
    ) -> (Vec<HostReport>, Vec<UsageReport>) {
        let mut usage = Vec::new();
        let mut sent: BTreeMap<(usize, usize), u64> = BTreeMap::new();
        for n in 0..self.proxies.len() {
            for (class, part) in [500, 300, 200].into_iter().enumerate() {
                let noise = self.random.between(850, 1_150);
                let proxy = &self.proxies[n];
                let count = proxy.rate * demand_percent / 100 * part / 1_000 * noise / 1_000;
                if !proxy.joined {
                    continue;
                }
                let errors = self.send(n, class, count, &mut sent);
                usage.push(UsageReport {
                    proxy: n,
                    class,
                    count: count.div_ceil(1_000),
                    errors: errors / 1_000,
                });
            }
        }
        (self.work(now, &sent), usage)
    }

    /// Spreads requests (in thousandths) over the lines of the proxy's table; gives those that found no host.
    fn send(
        &self,
        proxy: usize,
        class: usize,
        count: u64,
        sent: &mut BTreeMap<(usize, usize), u64>,
    ) -> u64 {
        let Proxy { zone, tables, .. } = &self.proxies[proxy];
        let Some(table) = tables[class] else {
            return count;
        };
        let level = self
            .levels
            .get(&(table, class))
            .copied()
            .unwrap_or(1_000)
            .min(1_000);
        let lines = self.lines.get(&table);
        let all: u64 = lines.iter().flat_map(|lines| lines.values()).sum();
        if all == 0 {
            return count;
        }
        for (&host, &weight) in lines.into_iter().flatten() {
            *sent.entry((*zone, host)).or_default() += count * level / 1_000 * weight / all;
        }
        0
    }

    /// Lets the hosts work on what they were sent.
    fn work(&mut self, now: u64, sent: &BTreeMap<(usize, usize), u64>) -> Vec<HostReport> {
        let mut arrived = vec![0; self.hosts.len()];
        sent.iter()
            .for_each(|(&(_, host), &count)| arrived[host] += count);
        let mut busy = Vec::new();
        for (host, arrived) in self.hosts.iter_mut().zip(arrived) {
            let capacity = host.capacity(now).max(1);
            busy.push((arrived * 1_000 / capacity).min(1_000));
            host.queue = (host.queue + arrived)
                .saturating_sub(capacity)
                .min(MAX_QUEUE);
        }
        let mut reports = Vec::new();
        for (&(zone, host), &count) in sent {
            let attempts = (count + self.random.between(0, 1_000)) / 1_000;
            let found = &self.hosts[host];
            if attempts == 0 || found.fault == Fault::Hangs || found.health == Health::Removed {
                continue;
            }
            let slow = if found.fault == Fault::Slow { 8 } else { 1 };
            let noise = self.random.between(900, 1_100);
            let mean_time = (BASE_TIME + QUEUE_TIME * found.queue / 1_000) * slow * noise / 1_000;
            let failing = if found.fault == Fault::Fails {
                90
            } else {
                u64::from(mean_time > 1_500_000) * 40
            };
            let errors = (attempts * failing + self.random.between(0, 100)) / 100;
            let queue = found.queue / 1_000;
            reports.push(HostReport {
                zone,
                host,
                attempts,
                errors: errors.min(attempts),
                mean_time,
                busy: busy[host],
                queue,
            });
        }
        reports
    }

    // ---- Incidents --------------------------------------------------------------------------------------

    /// Something happens to a host or a proxy.
    pub(crate) fn incident(&mut self, now: u64) -> Vec<Change> {
        let host = self.random.place(self.hosts.len());
        let incident = self.random.place(12);
        match incident {
            0 => self.hosts[host].fault = Fault::Fails,
            1 => self.hosts[host].fault = Fault::Slow,
            2 => self.hosts[host].fault = Fault::Hangs,
            3 => self
                .hosts
                .iter_mut()
                .for_each(|host| host.fault = Fault::Nothing),
            4 | 5 => {
                return self.retire(
                    host,
                    if incident == 4 {
                        Health::Draining
                    } else {
                        Health::Removed
                    },
                );
            }
            6 | 7 => return self.restart(host, now),
            8 if self.hosts.len() < 400 => {
                let mut host = new_host(self.hosts.len(), self.zones, &mut self.random);
                host.started = now;
                self.hosts.push(host);
                return vec![Change::Hosts(vec![self.hosts.len() - 1])];
            }
            9 => return self.proxies_leave(),
            _ => return self.proxies_join(),
        }
        Vec::new()
    }

    /// A host drains or goes, while most of the fleet is left.
    fn retire(&mut self, host: usize, health: Health) -> Vec<Change> {
        let listed = self
            .hosts
            .iter()
            .filter(|host| host.health == Health::Listed)
            .count();
        if listed * 3 < self.hosts.len() * 2 || self.hosts[host].health == Health::Removed {
            return Vec::new();
        }
        self.hosts[host].health = health;
        vec![Change::Hosts(vec![host])]
    }

    /// A host, and every other one of its cell that drains or is removed, starts again.
    fn restart(&mut self, host: usize, now: u64) -> Vec<Change> {
        let cell = self.hosts[host].cell;
        let away =
            |n: &usize| self.hosts[*n].cell == cell && self.hosts[*n].health != Health::Listed;
        let mut back: Vec<usize> = (0..self.hosts.len()).filter(away).collect();
        if !back.contains(&host) {
            back.push(host);
        }
        for &n in &back {
            let host = &mut self.hosts[n];
            (host.health, host.fault, host.started, host.queue) =
                (Health::Listed, Fault::Nothing, now, 0);
        }
        vec![Change::Hosts(back)]
    }

    fn proxies_leave(&mut self) -> Vec<Change> {
        let leaving: Vec<usize> = (0..self.proxies.len())
            .filter(|_| self.random.percent(10))
            .collect();
        let joined: Vec<usize> = leaving
            .into_iter()
            .filter(|&n| self.proxies[n].joined)
            .collect();
        joined.iter().for_each(|&n| self.proxies[n].joined = false);
        joined.into_iter().map(Change::Left).collect()
    }

    /// Some of the proxies that are away join; one in three has forgotten its tables.
    pub(crate) fn proxies_join(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].joined || !self.random.percent(70) {
                continue;
            }
            let fresh =
                self.random.percent(33) || self.proxies[proxy].tables == [None; CLASSES.len()];
            self.proxies[proxy].joined = true;
            if fresh {
                self.proxies[proxy].tables = [None; CLASSES.len()];
            }
            changes.push(Change::Joined { proxy, fresh });
        }
        changes
    }
}

impl Host {
    /// Requests that it can do in a second, in thousandths: a cold one does less.
    fn capacity(&self, now: u64) -> u64 {
        let age = (now - self.started).min(COLD_TIME);
        let warm = if self.started == 0 {
            1_000
        } else {
            250 + 750 * age / COLD_TIME
        };
        self.size * HOST_RATE * warm / 1_000
    }
}

fn new_host(n: usize, zones: usize, random: &mut Random) -> Host {
    let size = random.between(2, 7) * 250;
    Host {
        name: format!("host_{n}_{}", random.between(0, 100_000)),
        zone: n % zones,
        machine: MACHINES[usize::from(size > 1_000)],
        cell: n / 4,
        size,
        started: 0,
        health: Health::Listed,
        fault: Fault::Nothing,
        queue: 0,
    }
}

/// A whole number of thousandths as text with three decimals.
pub(crate) fn decimal(thousandths: u64) -> String {
    format!("{}.{:03}", thousandths / 1_000, thousandths % 1_000)
}

/// A number of an update, in thousandths.
pub(crate) fn thousandths(figure: f64) -> u64 {
    (figure * 1_000.0).round() as u64
}
