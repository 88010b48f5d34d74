//! A simulated fleet: hosts with request queues, proxies that send requests according to their tables, and incidents
//! that affect both. It is independent of any protocol, and calculates in integers (thousandths) so that its reports
//! are the same on every platform.

use crate::random::Random;
use crate::site::{CLASSES, MACHINE_TYPES, Site};
use std::collections::BTreeMap;

/// Requests that a host of size 1 can process in a second.
const REQUESTS_PER_SECOND: u64 = 30;
/// Latency of a request when none is waiting, in microseconds.
const BASE_LATENCY: u64 = 40_000;
/// Additional latency for each waiting request, in microseconds.
const LATENCY_PER_WAITING_REQUEST: u64 = 30_000;
/// Most requests that wait at a host, in thousandths.
const QUEUE_LIMIT: u64 = 60_000;
/// Time for which a started host is warming up, in microseconds.
const WARM_UP_TIME: u64 = 18_000_000;

/// The state of a host in the endpoint list.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum HostState {
    Listed,
    Draining,
    Removed,
}

/// A fault of a host.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    None,
    Fails,
    Slow,
    Hangs,
}

/// A simulated host.
pub(crate) struct Host {
    pub name: String,
    pub zone: usize,
    pub machine: &'static str,
    pub cell: usize,
    /// Size relative to a host of size 1, in thousandths.
    pub size: u64,
    /// Time of the last start, in microseconds; 0 if the host started long before the run.
    pub started: u64,
    pub state: HostState,
    pub fault: Fault,
    /// Waiting requests, in thousandths.
    pub queue: u64,
}

/// A simulated proxy.
pub(crate) struct Proxy {
    pub zone: usize,
    pub joined: bool,
    /// Usual request rate, in thousandths of a request per second.
    pub rate: u64,
    /// The table for each request class.
    tables: [Option<u16>; CLASSES.len()],
}

/// A load report: outcomes of the attempts of one zone's proxies at one host within a report period.
pub(crate) struct HostReport {
    pub zone: usize,
    pub host: usize,
    pub attempts: u64,
    pub errors: u64,
    /// Mean latency, in microseconds.
    pub mean_latency: u64,
    /// Utilization, in thousandths.
    pub busy: u64,
    /// Waiting requests.
    pub queue: u64,
}

/// Requests of one class at one proxy within a report period.
pub(crate) struct UsageReport {
    pub proxy: usize,
    pub class: usize,
    pub count: u64,
    pub errors: u64,
}

/// A change that the registry or the relay announces to the controller.
pub(crate) enum Change {
    /// The endpoint list changed for these hosts.
    Hosts(Vec<usize>),
    /// A proxy joined; a newly started one has no tables.
    Joined { proxy: usize, newly_started: bool },
    /// A proxy left.
    Left(usize),
}

/// The hosts and proxies of a simulated site, and the tables in force.
pub(crate) struct Fleet {
    pub hosts: Vec<Host>,
    pub proxies: Vec<Proxy>,
    pub random: Random,
    /// Lines of each table: weights by host, in thousandths.
    lines: BTreeMap<u16, BTreeMap<usize, u64>>,
    /// Quotas by table and class, in thousandths.
    quotas: BTreeMap<(u16, usize), u64>,
    zones: usize,
}

impl Fleet {
    pub(crate) fn new(site: &Site) -> Fleet {
        let mut random = Random::new(site.seed);
        let hosts: Vec<Host> = (0..site.hosts)
            .map(|n| new_host(n, site.zones, &mut random))
            .collect();
        let capacity: u64 = hosts
            .iter()
            .map(|host| host.size * REQUESTS_PER_SECOND)
            .sum();
        let usual_rate = capacity * 6 / 10 / site.proxies as u64;
        let proxy = |n| Proxy {
            zone: n % site.zones,
            joined: false,
            rate: usual_rate * random.between(500, 1_500) / 1_000,
            tables: [None; CLASSES.len()],
        };
        let proxies = (0..site.proxies).map(proxy).collect();
        Fleet {
            hosts,
            proxies,
            random,
            lines: BTreeMap::new(),
            quotas: BTreeMap::new(),
            zones: site.zones,
        }
    }

    // ---- Updates from the controller ---------------------------------------------------------------------

    /// Sets a line of a table; a weight of 0 thousandths removes it.
    pub(crate) fn set_line(&mut self, table: u16, host: &str, weight: u64) {
        let host = self
            .hosts
            .iter()
            .position(|candidate| candidate.name == host)
            .expect("the host is listed");
        let lines = self.lines.entry(table).or_default();
        if weight > 0 {
            lines.insert(host, weight)
        } else {
            lines.remove(&host)
        };
    }

    /// Binds a proxy to a table for the classes whose bits are set, or for all classes if no bit is set.
    pub(crate) fn bind_table(&mut self, proxy: usize, table: u16, classes: u64) {
        for class in (0..CLASSES.len()).filter(|class| classes == 0 || classes >> class & 1 == 1) {
            self.proxies[proxy].tables[class] = Some(table);
        }
    }

    /// Sets the quota, in thousandths, of the classes whose bits are set.
    pub(crate) fn set_quota(&mut self, table: u16, classes: u64, quota: u64) {
        for class in (0..CLASSES.len()).filter(|class| classes >> class & 1 == 1) {
            self.quotas.insert((table, class), quota);
        }
    }

    /// Returns the joined proxies that are bound to a table.
    pub(crate) fn joined_proxies_with(&self, table: u16) -> Vec<usize> {
        let is_bound = |proxy: &Proxy| proxy.joined && proxy.tables.contains(&Some(table));
        (0..self.proxies.len())
            .filter(|&n| is_bound(&self.proxies[n]))
            .collect()
    }

    // ---- One report period ------------------------------------------------------------------------------

    /// Sends the requests of one report period and returns the load reports and the usage reports of the proxies.
    pub(crate) fn serve(
        &mut self,
        now: u64,
        demand_percent: u64,
    ) -> (Vec<HostReport>, Vec<UsageReport>) {
        let mut usage = Vec::new();
        let mut sent: BTreeMap<(usize, usize), u64> = BTreeMap::new();
        for n in 0..self.proxies.len() {
            for (class, share_permille) in [500, 300, 200].into_iter().enumerate() {
                let variation_permille = self.random.between(850, 1_150);
                let proxy = &self.proxies[n];
                let count = proxy.rate * demand_percent / 100 * share_permille / 1_000
                    * variation_permille
                    / 1_000;
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
        (self.process_requests(now, &sent), usage)
    }

    /// Distributes requests (in thousandths) over the lines of the proxy's table; returns how many found no host.
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
        let quota = self
            .quotas
            .get(&(table, class))
            .copied()
            .unwrap_or(1_000)
            .min(1_000);
        let lines = self.lines.get(&table);
        let total_weight: u64 = lines.iter().flat_map(|lines| lines.values()).sum();
        if total_weight == 0 {
            return count;
        }
        for (&host, &weight) in lines.into_iter().flatten() {
            *sent.entry((*zone, host)).or_default() +=
                count * quota / 1_000 * weight / total_weight;
        }
        0
    }

    /// Processes the requests that the hosts received, and returns the load reports on them.
    fn process_requests(
        &mut self,
        now: u64,
        sent: &BTreeMap<(usize, usize), u64>,
    ) -> Vec<HostReport> {
        let mut arrived = vec![0; self.hosts.len()];
        sent.iter()
            .for_each(|(&(_, host), &count)| arrived[host] += count);
        let mut busy = Vec::new();
        for (host, arrived) in self.hosts.iter_mut().zip(arrived) {
            let capacity = host.capacity(now).max(1);
            busy.push((arrived * 1_000 / capacity).min(1_000));
            host.queue = (host.queue + arrived)
                .saturating_sub(capacity)
                .min(QUEUE_LIMIT);
        }
        let mut reports = Vec::new();
        for (&(zone, host), &count) in sent {
            let attempts = (count + self.random.between(0, 1_000)) / 1_000;
            let target_host = &self.hosts[host];
            if attempts == 0
                || target_host.fault == Fault::Hangs
                || target_host.state == HostState::Removed
            {
                continue;
            }
            let latency_factor = if target_host.fault == Fault::Slow {
                8
            } else {
                1
            };
            let variation_permille = self.random.between(900, 1_100);
            let mean_latency = (BASE_LATENCY
                + LATENCY_PER_WAITING_REQUEST * target_host.queue / 1_000)
                * latency_factor
                * variation_permille
                / 1_000;
            let failure_percent = if target_host.fault == Fault::Fails {
                90
            } else {
                u64::from(mean_latency > 1_500_000) * 40
            };
            let errors = (attempts * failure_percent + self.random.between(0, 100)) / 100;
            let queue = target_host.queue / 1_000;
            reports.push(HostReport {
                zone,
                host,
                attempts,
                errors: errors.min(attempts),
                mean_latency,
                busy: busy[host],
                queue,
            });
        }
        reports
    }

    // ---- Incidents --------------------------------------------------------------------------------------

    /// Applies a random incident to the hosts or proxies, and returns the changes to announce.
    pub(crate) fn incident(&mut self, now: u64) -> Vec<Change> {
        let host = self.random.index(self.hosts.len());
        let incident = self.random.index(12);
        match incident {
            0 => self.hosts[host].fault = Fault::Fails,
            1 => self.hosts[host].fault = Fault::Slow,
            2 => self.hosts[host].fault = Fault::Hangs,
            3 => self
                .hosts
                .iter_mut()
                .for_each(|host| host.fault = Fault::None),
            4 | 5 => {
                return self.withdraw_host(
                    host,
                    if incident == 4 {
                        HostState::Draining
                    } else {
                        HostState::Removed
                    },
                );
            }
            6 | 7 => return self.restart_host(host, now),
            8 if self.hosts.len() < 400 => {
                let mut host = new_host(self.hosts.len(), self.zones, &mut self.random);
                host.started = now;
                self.hosts.push(host);
                return vec![Change::Hosts(vec![self.hosts.len() - 1])];
            }
            9 => return self.disconnect_some_proxies(),
            _ => return self.connect_some_proxies(),
        }
        Vec::new()
    }

    /// Drains or removes a host, unless less than two thirds of the hosts are listed.
    fn withdraw_host(&mut self, host: usize, state: HostState) -> Vec<Change> {
        let listed = self
            .hosts
            .iter()
            .filter(|host| host.state == HostState::Listed)
            .count();
        if listed * 3 < self.hosts.len() * 2 || self.hosts[host].state == HostState::Removed {
            return Vec::new();
        }
        self.hosts[host].state = state;
        vec![Change::Hosts(vec![host])]
    }

    /// Restarts a host together with all draining or removed hosts of its cell.
    fn restart_host(&mut self, host: usize, now: u64) -> Vec<Change> {
        let cell = self.hosts[host].cell;
        let is_not_listed =
            |n: &usize| self.hosts[*n].cell == cell && self.hosts[*n].state != HostState::Listed;
        let mut restarted: Vec<usize> = (0..self.hosts.len()).filter(is_not_listed).collect();
        if !restarted.contains(&host) {
            restarted.push(host);
        }
        for &n in &restarted {
            let host = &mut self.hosts[n];
            (host.state, host.fault, host.started, host.queue) =
                (HostState::Listed, Fault::None, now, 0);
        }
        vec![Change::Hosts(restarted)]
    }

    /// Disconnects about a tenth of the proxies.
    fn disconnect_some_proxies(&mut self) -> Vec<Change> {
        let selected: Vec<usize> = (0..self.proxies.len())
            .filter(|_| self.random.chance(10))
            .collect();
        let joined: Vec<usize> = selected
            .into_iter()
            .filter(|&n| self.proxies[n].joined)
            .collect();
        joined.iter().for_each(|&n| self.proxies[n].joined = false);
        joined.into_iter().map(Change::Left).collect()
    }

    /// Connects about 70 % of the proxies that are not connected. One in three of them, and each one without tables, is
    /// newly started and has no tables.
    pub(crate) fn connect_some_proxies(&mut self) -> Vec<Change> {
        let mut changes = Vec::new();
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].joined || !self.random.chance(70) {
                continue;
            }
            let newly_started =
                self.random.chance(33) || self.proxies[proxy].tables == [None; CLASSES.len()];
            self.proxies[proxy].joined = true;
            if newly_started {
                self.proxies[proxy].tables = [None; CLASSES.len()];
            }
            changes.push(Change::Joined {
                proxy,
                newly_started,
            });
        }
        changes
    }
}

impl Host {
    /// Returns the requests that the host can process in a second, in thousandths; the rate is lower while it warms up.
    fn capacity(&self, now: u64) -> u64 {
        let age = (now - self.started).min(WARM_UP_TIME);
        let warm_up_permille = if self.started == 0 {
            1_000
        } else {
            250 + 750 * age / WARM_UP_TIME
        };
        self.size * REQUESTS_PER_SECOND * warm_up_permille / 1_000
    }
}

fn new_host(n: usize, zones: usize, random: &mut Random) -> Host {
    let size = random.between(2, 7) * 250;
    Host {
        name: format!("host_{n}_{}", random.between(0, 100_000)),
        zone: n % zones,
        machine: MACHINE_TYPES[usize::from(size > 1_000)],
        cell: n / 4,
        size,
        started: 0,
        state: HostState::Listed,
        fault: Fault::None,
        queue: 0,
    }
}

/// Formats a number of thousandths with three decimal places.
pub(crate) fn decimal(thousandths: u64) -> String {
    format!("{}.{:03}", thousandths / 1_000, thousandths % 1_000)
}

/// Converts a number of an update to thousandths.
pub(crate) fn thousandths(number: f64) -> u64 {
    (number * 1_000.0).round() as u64
}
