//! A stand-in of the operators' platform, from PROTOCOL.md and DEPLOY.md: registry, relay, proxies, hosts, collectors.
//!
//! Proxies are kept here: they pick hosts by weight at an even rate from the tables that the relay's messages brought.
//! What is judged is what they hold, what they send, and what the relay was told, by the rules as written, with their
//! bounds and excuses.
#![allow(dead_code)]

use crate::common::*;
use crate::json::Json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// "a little slack for chance" (WIRE): a quarter of the budget.
pub const SLACK_FOR_CHANCE: f64 = 0.25;
/// "The rules' time limits ... are 300 ms longer" (PROTOCOL.md).
pub const SOCKET_SLACK_S: f64 = 0.3;

/// The classes of veenendaal-print, in the order of the settings.
pub const CLASSES: usize = 3;
pub const CLASS_NAMES: [&str; CLASSES] = ["proof", "order", "release"];
pub const AIMS_S: [f64; CLASSES] = [1.5, 1.0, 0.8];
pub const CLIENT_TIMEOUTS_S: [f64; CLASSES] = [4.0, 3.0, 2.5];

#[derive(Clone)]
pub struct Site {
    pub proxies: usize,
    pub hosts: usize,
    pub zones: Vec<&'static str>,
    /// `obligations.stopSendingWithin`, `familyInfo.bare`, `obligations.cold`.
    pub grace_s: f64,
    pub bare_s: f64,
    pub cold_s: f64,
    /// Mean time of a message from the channel to the proxy.
    pub transit_s: f64,
    pub message_cap: usize,
    pub message_window_s: f64,
    pub line_limit: f64,
    pub lines_per_s: f64,
    pub overhead: f64,
    /// Requests per second of one proxy, and the share of each class.
    pub proxy_rate: f64,
    pub class_shares: [f64; CLASSES],
    /// Classes that keep to the proxy's zone (`familyInfo.classOwnZone`).
    pub own_zone: [bool; CLASSES],
    /// What a warm host can do, in requests per second.
    pub host_rate: f64,
    /// `obligations.startCapacity`, `fallMultiple` and `fall`.
    pub start_capacity: f64,
    pub fall_multiple: f64,
    pub fall_s: f64,
    /// How many requests a host holds, working and waiting, before it turns others away; 0: hosts answer at once.
    pub host_room: usize,
}

impl Default for Site {
    /// veenendaal-print, with figures inside the ranges of its brief.
    fn default() -> Site {
        Site {
            proxies: 12,
            hosts: 20,
            zones: vec!["ede", "arnhem", "utrecht", "amersfoort"],
            grace_s: 2.4,
            bare_s: 7.2,
            cold_s: 18.0,
            transit_s: 0.1,
            message_cap: 12,
            message_window_s: 10.0,
            line_limit: 9_800.0,
            lines_per_s: 9_800.0,
            overhead: 3.0,
            proxy_rate: 8.0,
            class_shares: [0.48, 0.40, 0.12],
            own_zone: [false; CLASSES],
            host_rate: 8.0,
            start_capacity: 0.17,
            fall_multiple: 2.5,
            fall_s: 2.0,
            host_room: 0,
        }
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Answered,
    /// The connection is reset after the call's last byte.
    Reset { carried_out: bool },
    /// Nothing arrives.
    Silent { carried_out: bool },
    /// What arrives cannot be read.
    Garbled { carried_out: bool },
}

#[derive(Clone)]
pub struct Host {
    pub zone: &'static str,
    pub weight: f64,
    pub started_ms: u64,
    pub state: &'static str,
    pub changed_in: u64,
    /// Whether its process runs.
    pub up: bool,
    /// When the steward was told of its last start.
    pub told_start: f64,
    /// The requests of the last seconds since its start: when, and whether the proxy's orders knew of the start.
    pub load: VecDeque<(f64, bool)>,
    /// What it works on, the first first, and what waits.
    jobs: VecDeque<Job>,
    worked_until: f64,
}

/// A request at a host.
#[derive(Clone)]
struct Job {
    sent_at: f64,
    give_up_at: f64,
    /// What is left of its work, where 1 is the mean.
    work: f64,
    proxy: usize,
    class: usize,
    given_up: bool,
}

impl Host {
    fn new(zone: &'static str, started_ms: u64, generation: u64) -> Host {
        Host {
            zone, weight: 1.0, started_ms, state: "Ready", changed_in: generation, up: true,
            told_start: f64::INFINITY, load: VecDeque::new(),
            jobs: VecDeque::new(), worked_until: 0.0,
        }
    }
}

pub struct Proxy {
    pub zone: &'static str,
    pub joined: bool,
    pub joined_at: f64,
    pub fresh: bool,
    /// Number of its stream: what travels on an earlier one is lost.
    pub stream: u64,
    /// The table and the lines of each class.
    pub bound: [Option<u64>; CLASSES],
    pub tables: [BTreeMap<String, f64>; CLASSES],
    pub messages: VecDeque<f64>,
    pub bare_since: [Option<f64>; CLASSES],
    pub next_pick: f64,
    /// When the last message that it has applied was written.
    pub last_order: f64,
    /// The share of each class that it lets in.
    pub let_in: [f64; CLASSES],
    /// Failures in a row at each host, and until when the proxy keeps away from it.
    fails: BTreeMap<String, (u32, f64)>,
}

struct Message {
    proxy: usize,
    stream: u64,
    departs: f64,
    arrives: f64,
    lines: f64,
    steps: Vec<Step>,
    sent_at: f64,
}

enum Step {
    Set(Vec<usize>, String, f64),
    Replace(Vec<usize>, BTreeMap<String, f64>, [f64; CLASSES]),
    Level(Vec<usize>, f64),
    Clear(Vec<usize>),
    Mark(u64),
}

pub struct State {
    pub site: Site,
    pub record: Record,
    pub hosts: BTreeMap<String, Host>,
    pub generation: u64,
    /// When the steward was told that a host drains or is gone.
    pub told_away: BTreeMap<String, f64>,
    /// When the steward was told of a host's entry as it stands.
    pub told_generation: u64,
    pub proxies: Vec<Proxy>,
    pub tables: BTreeMap<u64, BTreeMap<String, f64>>,
    /// The levels of each table, by class.
    pub levels: BTreeMap<u64, [Option<f64>; CLASSES]>,
    /// Requests answered in time and late, failed, and not let in.
    pub answered: [u64; 4],
    times: BTreeMap<(&'static str, String), (u64, f64)>,
    channel: VecDeque<Message>,
    channel_free: f64,
    pub channel_slowdown: f64,
    watchers: Vec<Sender<String>>,
    /// Spans in which the rules' time limits wait.
    pub excuses: Vec<(f64, f64)>,
    pub first_pong: Option<f64>,
    /// What becomes of the next call; none: it is answered.
    pub fate: Option<Box<dyn FnMut(f64) -> Fate + Send>>,
    pub registry_silent: bool,
    pub breaks: usize,
    pub calls: usize,
    pub violations: Vec<String>,
    /// Reqs by host, in the report period; and all that were sent, by time.
    met: BTreeMap<(&'static str, String), u64>,
    failed: BTreeMap<(&'static str, String), u64>,
    asked: BTreeMap<(usize, usize), u64>,
    pub sent_late: Vec<(f64, usize, String)>,
    random: u64,
    health_port: u16,
    /// Connections by kind and address, so that they can be broken.
    relay_streams: Vec<(u16, bool, TcpStream)>,
    registry_streams: Vec<(u16, TcpStream)>,
    closed_ports: BTreeSet<u16>,
}

#[derive(Clone)]
pub struct Platform(Arc<Mutex<State>>);

impl State {
    pub fn now(&self) -> f64 {
        self.record.now()
    }

    pub fn random(&mut self) -> f64 {
        // xorshift64*
        self.random ^= self.random >> 12;
        self.random ^= self.random << 25;
        self.random ^= self.random >> 27;
        (self.random.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn excuse(&mut self, seconds: f64) {
        let now = self.now();
        self.excuses.push((now, now + seconds));
    }

    /// The time from `from` to `to` in which the rules' limits ran. Each wait counts in full, also where two overlap.
    pub fn counted(&self, from: f64, to: f64) -> f64 {
        let from = from.max(self.first_pong.map_or(f64::INFINITY, |at| at + 1.0));
        let waits: f64 = self.excuses.iter().map(|(start, end)| {
            if *start >= to || *end <= from { 0.0 } else { end - start.max(from) }
        }).sum();
        to - from - waits
    }

    fn violation(&mut self, text: String) {
        self.record.line(&format!("RULE: {text}"));
        self.violations.push(text);
    }

    fn entry(&self, id: &str) -> String {
        let host = &self.hosts[id];
        format!(
            "{{\"instanceId\":\"{id}\",\"hostPort\":\"127.0.0.1:{}\",\"zone\":\"{}\",\"machineType\":\"single-fast\",\"cell\":0,\"lifecycle\":\"{}\",\"weight\":{:.1},\"startedAtMs\":{}}}",
            self.health_port, host.zone, host.state, host.weight, host.started_ms
        )
    }

    fn list(&self, since: Option<u64>) -> String {
        let entries: Vec<String> = self.hosts.iter()
            .filter(|(_, host)| since.map_or(host.state != "Gone", |since| host.changed_in > since))
            .map(|(id, _)| self.entry(id)).collect();
        format!("{{\"generation\":{},\"reset\":{},\"instances\":[{}]}}", self.generation, since.is_none(), entries.join(","))
    }

    /// The list has been written to the steward.
    fn told(&mut self) {
        let now = self.now();
        for host in self.hosts.values_mut().filter(|host| host.state == "Ready") {
            host.told_start = host.told_start.min(now);
        }
        self.told_generation = self.generation;
        for (id, host) in &self.hosts {
            if host.state == "Ready" {
                self.told_away.remove(id);
            } else if !self.told_away.contains_key(id) {
                self.record.line(&format!("registry tells the steward: {id} is {}", host.state));
                self.told_away.insert(id.clone(), now);
            }
        }
    }

    /// Changes the list.
    pub fn set_host(&mut self, id: &str, state: &'static str) {
        self.generation += 1;
        let generation = self.generation;
        let host = self.hosts.get_mut(id).expect("host");
        (host.state, host.changed_in) = (state, generation);
        self.record.line(&format!("list {generation}: {id} {state}"));
    }

    pub fn add_host(&mut self, id: &str, zone: &'static str, started_ms: u64) {
        self.generation += 1;
        let host = Host::new(zone, started_ms, self.generation);
        self.record.line(&format!("list {}: {id} Ready, started {started_ms}", self.generation));
        self.hosts.insert(id.to_string(), host);
    }

    /// A host's process dies; the list learns of it later.
    pub fn stop_host(&mut self, id: &str) {
        self.record.line(&format!("{id} dies"));
        self.hosts.get_mut(id).expect("host").up = false;
    }

    /// A host's process starts; the list learns of it later.
    pub fn start_host(&mut self, id: &str) {
        self.record.line(&format!("{id} starts, cold"));
        let host = self.hosts.get_mut(id).expect("host");
        (host.up, host.started_ms, host.told_start) = (true, unix_ms(), f64::INFINITY);
        host.load.clear();
    }

    fn news(&mut self, method: &str, params: &str) {
        let line = format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{method}\",\"params\":{params}}}\n");
        self.watchers.retain(|watcher| watcher.send(line.clone()).is_ok());
    }

    fn joined_params(&self, id: usize) -> String {
        let proxy = &self.proxies[id];
        format!("{{\"id\":{id},\"site\":\"{}\",\"rps\":{:.1},\"new\":{}}}", proxy.zone, self.site.proxy_rate, proxy.fresh)
    }

    /// A proxy's stream comes up.
    pub fn join(&mut self, id: usize) {
        let now = self.now();
        let proxy = &mut self.proxies[id];
        if proxy.joined {
            return;
        }
        proxy.joined = true;
        proxy.joined_at = now;
        proxy.stream += 1;
        proxy.bound = [None; CLASSES];
        proxy.messages.clear();
        proxy.bare_since = [None; CLASSES];
        let params = self.joined_params(id);
        self.record.line(&format!("proxy {id} joined"));
        self.news("joined", &params);
    }

    /// A proxy's stream breaks.
    pub fn leave(&mut self, id: usize) {
        let proxy = &mut self.proxies[id];
        if !proxy.joined {
            return;
        }
        proxy.joined = false;
        proxy.stream += 1;
        proxy.bound = [None; CLASSES];
        self.record.line(&format!("proxy {id} left"));
        self.news("left", &format!("{{\"id\":{id}}}"));
    }

    /// The steward's process has ended: the relay forgets its tables, and all streams to it end.
    pub fn forget_steward(&mut self) {
        for id in 0..self.proxies.len() {
            self.leave(id);
        }
        self.tables.clear();
        self.levels.clear();
        self.channel.clear();
        self.watchers.clear();
        self.told_away.clear();
        self.first_pong = None;
        for host in self.hosts.values_mut() {
            host.told_start = f64::INFINITY;
        }
    }

    /// A proxy starts again with a standing table: up to eight listed hosts of its zone, if three are there.
    pub fn restart_proxy(&mut self, id: usize) {
        self.leave(id);
        let zone = self.proxies[id].zone;
        let ready = |host: &Host| host.state == "Ready";
        let own: Vec<String> = self.hosts.iter().filter(|(_, h)| ready(h) && h.zone == zone).map(|(id, _)| id.clone()).collect();
        let all: Vec<String> = self.hosts.iter().filter(|(_, h)| ready(h)).map(|(id, _)| id.clone()).collect();
        let from = if own.len() >= 3 { own } else { all };
        let table: BTreeMap<String, f64> = from.into_iter().take(8).map(|host| (host, 1.0)).collect();
        self.proxies[id].tables = std::array::from_fn(|_| table.clone());
        self.proxies[id].fresh = true;
    }

    /// Carries out a call. Returns how many orders were taken.
    fn apply(&mut self, changes: &[Json]) -> usize {
        let now = self.now();
        let mut steps: BTreeMap<usize, (f64, Vec<Step>)> = BTreeMap::new();
        let mut taken = 0;
        for change in changes {
            let cluster = change.get("cluster").number().map(|number| number as u64);
            let users = |state: &State, cluster: u64| -> Vec<(usize, Vec<usize>)> {
                let classes = |proxy: &Proxy| -> Vec<usize> { (0..CLASSES).filter(|&class| proxy.bound[class] == Some(cluster)).collect() };
                let joined = (0..state.proxies.len()).filter(|&id| state.proxies[id].joined);
                joined.map(|id| (id, classes(&state.proxies[id]))).filter(|(_, classes)| !classes.is_empty()).collect()
            };
            match change.get("verb").text() {
                Some("share") => {
                    let (Some(cluster), Some(target), Some(weight)) = (cluster, change.get("target").text(), change.get("rps").number()) else { break };
                    if !self.hosts.contains_key(target) || weight < 0.0 {
                        self.record.line(&format!("relay halts at a share of {target}"));
                        break;
                    }
                    let table = self.tables.entry(cluster).or_default();
                    if weight > 0.0 { table.insert(target.into(), weight); } else { table.remove(target); }
                    for (id, classes) in users(self, cluster) {
                        let entry = steps.entry(id).or_default();
                        entry.0 += 1.0;
                        entry.1.push(Step::Set(classes, target.into(), weight));
                    }
                }
                Some("clear") => {
                    let Some(cluster) = cluster else { break };
                    self.tables.remove(&cluster);
                    for (id, classes) in users(self, cluster) {
                        let entry = steps.entry(id).or_default();
                        entry.0 += 1.0;
                        entry.1.push(Step::Clear(classes));
                    }
                }
                Some("bind") => {
                    let (Some(cluster), Some(id)) = (cluster, change.get("id").number().map(|number| number as usize)) else { break };
                    if self.proxies.get(id).is_none_or(|proxy| !proxy.joined) {
                        self.record.line(&format!("relay halts at a bind of proxy {id}"));
                        break;
                    }
                    let table = self.tables.get(&cluster).cloned().unwrap_or_default();
                    let set = self.levels.get(&cluster).copied().unwrap_or_default();
                    let levels = set.iter().flatten().count();
                    let routes: Vec<&str> = change.get("routes").list().iter().filter_map(Json::text).collect();
                    let classes: Vec<usize> = (0..CLASSES).filter(|&class| routes.is_empty() || routes.contains(&CLASS_NAMES[class])).collect();
                    for &class in &classes {
                        self.proxies[id].bound[class] = Some(cluster);
                    }
                    let entry = steps.entry(id).or_default();
                    entry.0 += 1.0 + table.len() as f64 + levels as f64;
                    entry.1.push(Step::Replace(classes, table, set.map(|level| level.unwrap_or(1.0))));
                }
                Some("admit") => {
                    let Some(cluster) = cluster else { break };
                    let policy = change.get("policy").number().unwrap_or(0.0);
                    if policy > 1.0 {
                        self.violation(format!("a way of trying again that may repeat what ran: {policy}"));
                    }
                    let level = change.get("admit").number().unwrap_or(1.0);
                    let routes: Vec<&str> = change.get("routes").list().iter().filter_map(Json::text).collect();
                    let named: Vec<usize> = (0..CLASSES).filter(|&class| routes.is_empty() || routes.contains(&CLASS_NAMES[class])).collect();
                    self.record.line(&format!("level of table {cluster}, {routes:?}: {level}"));
                    for &class in &named {
                        self.levels.entry(cluster).or_default()[class] = Some(level);
                    }
                    for (id, mut classes) in users(self, cluster) {
                        classes.retain(|class| named.contains(class));
                        let entry = steps.entry(id).or_default();
                        entry.0 += 1.0;
                        entry.1.push(Step::Level(classes, level));
                    }
                }
                Some("mark") => {
                    let Some(seq) = change.get("nonce_out").number() else { break };
                    for entry in steps.values_mut() {
                        entry.0 += 1.0;
                        entry.1.push(Step::Mark(seq as u64));
                    }
                }
                _ => break,
            }
            taken += 1;
        }
        for (id, (lines, steps)) in steps {
            let lines = lines + self.site.overhead;
            self.channel_free = self.channel_free.max(now) + lines * self.channel_slowdown / self.site.lines_per_s;
            let message = Message {
                proxy: id,
                stream: self.proxies[id].stream,
                departs: self.channel_free,
                arrives: self.channel_free + self.site.transit_s,
                lines,
                steps,
                sent_at: now,
            };
            self.channel.push_back(message);
            let window = self.site.message_window_s;
            let proxy = &mut self.proxies[id];
            proxy.messages.push_back(now);
            while proxy.messages.front().is_some_and(|at| now - at > window) {
                proxy.messages.pop_front();
            }
            let count = proxy.messages.len();
            if self.site.message_cap > 0 && count > self.site.message_cap {
                self.violation(format!("{count} messages to proxy {id} within {window} s"));
            }
        }
        let waiting: f64 = self.channel.iter().filter(|message| message.departs > now).map(|message| message.lines).sum();
        if waiting > self.site.line_limit {
            self.violation(format!("{waiting} lines wait in the channel"));
        }
        taken
    }

    /// Delivers messages, and lets the proxies pick.
    fn tick(&mut self) {
        let now = self.now();
        while self.channel.front().is_some_and(|message| message.arrives <= now) {
            let message = self.channel.pop_front().unwrap();
            if self.proxies[message.proxy].stream != message.stream {
                continue;
            }
            for step in message.steps {
                let proxy = &mut self.proxies[message.proxy];
                proxy.last_order = message.sent_at;
                match step {
                    Step::Set(classes, host, weight) => for class in classes {
                        if weight > 0.0 {
                            proxy.tables[class].insert(host.clone(), weight);
                        } else {
                            proxy.tables[class].remove(&host);
                        }
                    },
                    Step::Replace(classes, table, levels) => for class in classes {
                        proxy.tables[class] = table.clone();
                        proxy.let_in[class] = levels[class];
                    },
                    Step::Level(classes, level) => classes.into_iter().for_each(|class| proxy.let_in[class] = level),
                    Step::Clear(classes) => classes.into_iter().for_each(|class| proxy.tables[class].clear()),
                    Step::Mark(seq) => {
                        let took = (now - message.sent_at) * 1e3;
                        let params = format!("{{\"id\":{},\"seq\":{seq},\"ms\":{took:.1}}}", message.proxy);
                        self.news("applied", &params);
                    }
                }
                self.proxies[message.proxy].fresh = false;
            }
        }
        if self.site.host_room > 0 {
            self.work(now);
        }
        let cold_s = self.site.cold_s;
        let is_warm = |host: &Host| host.started_ms == 0 || unix_ms().saturating_sub(host.started_ms) as f64 > cold_s * 1e3;
        let warm_zones: BTreeSet<&'static str> = self.hosts.values().filter(|host| host.state == "Ready" && is_warm(host)).map(|host| host.zone).collect();
        for id in 0..self.proxies.len() {
            while self.proxies[id].next_pick <= now {
                let step = 1.0 / self.site.proxy_rate;
                self.proxies[id].next_pick += step;
                self.pick(id, now);
            }
            for class in 0..CLASSES {
                let own_zone = self.site.own_zone[class];
                let proxy = &mut self.proxies[id];
                let is_owed = if own_zone { warm_zones.contains(proxy.zone) } else { !warm_zones.is_empty() };
                if !(proxy.joined && proxy.tables[class].is_empty() && is_owed) {
                    proxy.bare_since[class] = None;
                    continue;
                }
                let since = *proxy.bare_since[class].get_or_insert(now);
                let from = since.max(proxy.joined_at);
                if since.is_finite() && self.counted(from, now) > self.site.bare_s + SOCKET_SLACK_S {
                    self.violation(format!("proxy {id} has had no host to pick for {} since {since:.2} s", CLASS_NAMES[class]));
                    self.proxies[id].bare_since[class] = Some(f64::INFINITY);
                }
            }
        }
    }

    fn pick(&mut self, id: usize, now: f64) {
        let mut drawn = self.random();
        let class = (0..CLASSES - 1).find(|&class| {
            drawn -= self.site.class_shares[class];
            drawn <= 0.0
        }).unwrap_or(CLASSES - 1);
        *self.asked.entry((id, class)).or_default() += 1;
        if self.random() >= self.proxies[id].let_in[class] {
            self.answered[3] += 1;
            return;
        }
        self.attempt(id, class, now, now + CLIENT_TIMEOUTS_S[class], None);
    }

    /// Sends a request to a host by weight. A proxy keeps away from one at which three tries in a row failed, and tries
    /// another once if the first turned it away unseen, as the steward's levels say (policy 1).
    fn attempt(&mut self, id: usize, class: usize, now: f64, give_up_at: f64, tried: Option<&str>) {
        let proxy = &self.proxies[id];
        let is_open = |host: &str| Some(host) != tried;
        let is_avoided = |host: &str| proxy.fails.get(host).is_some_and(|(_, until)| *until > now);
        let table = &proxy.tables[class];
        let all_avoided = table.keys().filter(|host| is_open(host)).all(|host| is_avoided(host));
        let usable: Vec<(&String, f64)> = table.iter().map(|(host, weight)| (host, *weight))
            .filter(|(host, _)| is_open(host) && (all_avoided || !is_avoided(host))).collect();
        let total: f64 = usable.iter().map(|(_, weight)| weight).sum();
        let usable: Vec<(String, f64)> = usable.into_iter().map(|(host, weight)| (host.clone(), weight)).collect();
        let mut drawn = self.random() * total;
        let Some((host, _)) = usable.into_iter().find(|(_, weight)| {
            drawn -= *weight;
            drawn <= 0.0
        }) else { return };
        let proxy = &self.proxies[id];
        let (zone, joined, joined_at, last_order) = (proxy.zone, proxy.joined, proxy.joined_at, proxy.last_order);
        if let Some(&told) = self.told_away.get(&host)
            && joined && self.counted(told.max(joined_at), now) > self.site.grace_s + SOCKET_SLACK_S
        {
            self.record.line(&format!("proxy {id} sends a req to {host}, {:.2} s after the steward was told", now - told));
            self.sent_late.push((now, id, host.clone()));
        }
        let is_up = self.hosts.get(&host).is_some_and(|host| host.up);
        if is_up {
            self.load_host(&host, now, joined, last_order, id, class);
        }
        if self.site.host_room == 0 {
            *self.met.entry((zone, host.clone())).or_default() += 1;
            if !is_up {
                *self.failed.entry((zone, host.clone())).or_default() += 1;
            }
            return;
        }
        // The work of a request, with a coefficient of variation of a half.
        let work: f64 = (0..4).map(|_| -(1.0 - self.random()).ln() / 4.0).sum();
        let room = self.site.host_room;
        let entry = self.hosts.get_mut(&host).unwrap();
        if entry.up && entry.jobs.len() < room {
            entry.jobs.push_back(Job { sent_at: now, give_up_at, work, proxy: id, class, given_up: false });
            return;
        }
        self.ended(&host, id, class, None);
        if tried.is_none() {
            self.attempt(id, class, now, give_up_at, Some(&host));
        }
    }

    /// A try has ended: after this time, or it has failed.
    fn ended(&mut self, host: &str, id: usize, class: usize, took: Option<f64>) {
        let (now, extra) = (self.now(), self.random());
        let key = (self.proxies[id].zone, host.to_string());
        *self.met.entry(key.clone()).or_default() += 1;
        if let Some(took) = took {
            self.proxies[id].fails.remove(host);
            let times = self.times.entry(key).or_default();
            *times = (times.0 + 1, times.1 + took);
            self.answered[usize::from(took > AIMS_S[class])] += 1;
            return;
        }
        self.answered[2] += 1;
        *self.failed.entry(key).or_default() += 1;
        let fails = self.proxies[id].fails.entry(host.to_string()).or_insert((0, 0.0));
        fails.0 += 1;
        if fails.0 >= 3 {
            // "keeps away for 2.2 to 7.7 s"; back again, one failure more is enough.
            *fails = (2, now + 2.2 + 5.5 * extra);
        }
    }

    /// The hosts work on what they hold, the first first. "A req whose time-out has passed is not begun"; what has begun by
    /// then is dropped too, to the steward's advantage.
    fn work(&mut self, now: f64) {
        let site = self.site.clone();
        let mut ended = Vec::new();
        for (id, host) in &mut self.hosts {
            let mut budget = (now - host.worked_until) * host_capacity(&site, host.started_ms);
            host.worked_until = now;
            for job in host.jobs.iter_mut().filter(|job| !job.given_up) {
                if now > job.give_up_at || !host.up {
                    job.given_up = true;
                    ended.push((id.clone(), job.proxy, job.class, None));
                }
            }
            if !host.up {
                host.jobs.clear();
            }
            while budget > 0.0 {
                while host.jobs.front().is_some_and(|job| job.given_up) {
                    host.jobs.pop_front();
                }
                let Some(job) = host.jobs.front_mut() else { break };
                let done = budget.min(job.work);
                job.work -= done;
                budget -= done;
                if job.work <= 1e-9 {
                    ended.push((id.clone(), job.proxy, job.class, Some(now - job.sent_at)));
                    host.jobs.pop_front();
                }
            }
        }
        for (host, proxy, class, took) in ended {
            self.ended(&host, proxy, class, took);
        }
    }

    /// "It is counted as a budget: what is sent within any span of that length must stay under multiple x present
    /// capacity x span (with a little slack for chance)". The capacity rises evenly, as slowly as the settings allow.
    fn load_host(&mut self, id: &str, now: f64, joined: bool, last_order: f64, proxy: usize, class: usize) {
        let (site, first_pong) = (self.site.clone(), self.first_pong);
        let host = self.hosts.get_mut(id).unwrap();
        let age = unix_ms().saturating_sub(host.started_ms) as f64 / 1e3;
        if host.started_ms == 0 || age >= site.cold_s {
            return;
        }
        // "start no sooner than 1 s after the steward first answered"
        let is_due = first_pong.is_some_and(|at| now >= at + 1.0);
        let knew = is_due && joined && (last_order >= host.told_start || now >= host.told_start + site.grace_s);
        host.load.push_back((now, knew));
        let span = site.fall_s + SOCKET_SLACK_S;
        while host.load.front().is_some_and(|(at, _)| now - at > span) {
            host.load.pop_front();
        }
        let capacity = host_capacity(&site, host.started_ms);
        let budget = site.fall_multiple * capacity * span;
        let (all, known) = (host.load.len(), host.load.iter().filter(|(_, knew)| *knew).count());
        self.record.line(&format!("proxy {proxy} sends a {} to the cold {id}: {all} within {span:.1} s, {budget:.1} are its budget", CLASS_NAMES[class]));
        let host = self.hosts.get_mut(id).unwrap();
        if all as f64 > budget * (1.0 + SLACK_FOR_CHANCE) && known * 3 >= all * 2 {
            host.load.clear();
            host.up = false;
            self.violation(format!("{id} has fallen over: {all} reqs within {span:.1} s, {known} of them by orders that knew of its start; {budget:.1} were its budget"));
        }
    }
}

/// What a host can do now, in requests a second: the capacity rises evenly, as slowly as the settings allow.
fn host_capacity(site: &Site, started_ms: u64) -> f64 {
    let age = if started_ms == 0 { f64::INFINITY } else { unix_ms().saturating_sub(started_ms) as f64 / 1e3 };
    site.host_rate * (site.start_capacity + (1.0 - site.start_capacity) * age / site.cold_s).min(1.0)
}

impl Platform {
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    pub fn new(site: Site, record: Record, seed: u64) -> Platform {
        let health_port = serve_host(|_| (200, "TEXT queue=0, util=0.30".into())).port();
        let mut hosts = BTreeMap::new();
        for n in 0..site.hosts {
            let zone = site.zones[n % site.zones.len()];
            hosts.insert(format!("s-{:08x}", 0x5be2a000 + n * 7919), Host::new(zone, 0, 1));
        }
        let proxies = (0..site.proxies).map(|n| Proxy {
            zone: site.zones[n % site.zones.len()],
            joined: false,
            joined_at: 0.0,
            fresh: true,
            stream: 0,
            bound: [None; CLASSES],
            tables: std::array::from_fn(|_| BTreeMap::new()),
            messages: VecDeque::new(),
            bare_since: [None; CLASSES],
            next_pick: n as f64 * 0.013,
            last_order: 0.0,
            let_in: [1.0; CLASSES],
            fails: BTreeMap::new(),
        }).collect();
        let mut state = State {
            site, record, hosts, proxies, health_port,
            generation: 1,
            told_away: BTreeMap::new(),
            told_generation: 0,
            tables: BTreeMap::new(),
            levels: BTreeMap::new(),
            answered: [0; 4],
            times: BTreeMap::new(),
            channel: VecDeque::new(),
            channel_free: 0.0,
            channel_slowdown: 1.0,
            watchers: Vec::new(),
            excuses: Vec::new(),
            first_pong: None,
            fate: None,
            registry_silent: false,
            breaks: 0,
            calls: 0,
            violations: Vec::new(),
            met: BTreeMap::new(),
            failed: BTreeMap::new(),
            asked: BTreeMap::new(),
            sent_late: Vec::new(),
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            relay_streams: Vec::new(),
            registry_streams: Vec::new(),
            closed_ports: BTreeSet::new(),
        };
        for id in 0..state.proxies.len() {
            state.restart_proxy(id);
        }
        let platform = Platform(Arc::new(Mutex::new(state)));
        let ticking = platform.clone();
        thread::spawn(move || loop {
            ticking.lock().tick();
            sleep_ms(4);
        });
        platform
    }

    /// The configuration file of a steward.
    pub fn config(&self, listen: SocketAddr, registry: u16, relay: u16) -> String {
        let state = self.lock();
        let site = &state.site;
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        let zones: Vec<String> = site.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let class = |name: &str, aim: u64, give_up: u64, effect: &str, group: &str, span: u64, worth: f64| format!(
            "{{\"aim\":{aim},\"effect\":\"{effect}\",\"giveUp\":{give_up},\"group\":\"{group}\",\"lateValue\":0.2,\"memorySpan\":{span},\"name\":\"{name}\",\"worth\":{worth}}}");
        let classes = [
            class("proof", 1_500_000, 4_000_000, "pure", "all", 5_000_000, 1.0),
            class("order", 1_000_000, 3_000_000, "token", "cell", 3_000_000, 5.0),
            class("release", 800_000, 2_500_000, "side_effect", "all", 5_000_000, 3.0),
        ].join(",");
        format!(
            "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"127.0.0.1:{registry}\",\"seed\":\"8c1f30d27a5be964\",
            \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":256}},\"hub\":{{\"address\":\"127.0.0.1:{relay}\"}},
            \"known\":{},
            \"settings\":{{\"balancers\":2,\"classes\":[{classes}],\"discovery\":\"pushed\",
            \"familyInfo\":{{\"admission\":\"share\",\"bare\":{},\"baseMode\":0,\"channelRate\":{:.1},\"classOwnZone\":{:?},
              \"costPerLine\":0.04,\"failsToEject\":3,\"firstWait\":1.2,\"hold\":300000,\"ingestRate\":1000.0,\"lateMost\":870000,
              \"minConnCap\":71.0,\"mostWaiting\":{:.1},\"movePrice\":0.01,\"mutating\":[false,true,true],\"partitionsN\":0,
              \"perMessage\":{:.1},\"pick\":\"weighted\",\"proxies\":{},\"reportEvery\":1000000,\"singleWriter\":false,\"standing\":8,
              \"tenure\":2500000,\"transit\":{},\"updateCap\":{},\"updateWindow\":{},\"warmKeys\":true,\"writeLife\":3020000,\"zonal\":false}},
            \"index\":0,\"limits\":{{\"cpuUsPerS\":456563,\"dialTimeout\":250000,\"idleClose\":15000000,\"maxStreams\":100,\"peers\":false,\"probes\":true}},
            \"localities\":[{}],\"locality\":\"{}\",\"machineTypes\":[\"single-fast\",\"dual-std\"],
            \"obligations\":{{\"askWithin\":10000000,\"cold\":{},\"fall\":2000000,\"fallMultiple\":2.5,\"startCapacity\":0.17,\"stopSendingWithin\":{}}},
            \"period\":4000,\"prices\":{{\"connection\":0.02,\"crossZone\":0.06,\"discovery\":0.0,\"handshake\":0.02,\"lateFail\":0.08,\"moves\":0.0,\"peer\":0.0,\"probe\":0.02,\"waste\":0.03}},
            \"report\":{{\"fields\":[\"busy\",\"q\"],\"source\":\"inline\"}},
            \"scoreParts\":{{\"tail\":0.2,\"tailMiss\":0.1,\"whole\":0.5,\"worstClass\":0.1,\"worstTenant\":0.0,\"worstWindow\":0.2}},
            \"serviceType\":\"control\",\"weightKind\":\"nominal\",\"worthBy\":\"request\"}}}}",
            state.list(None), micros(site.bare_s), site.lines_per_s, site.own_zone, site.line_limit, site.overhead, site.proxies,
            micros(site.transit_s), site.message_cap, micros(site.message_window_s),
            zones.join(","), site.zones[0], micros(site.cold_s), micros(site.grace_s))
    }

    /// Listens as the relay; returns the port.
    pub fn listen_relay(&self) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("relay");
        let port = listener.local_addr().unwrap().port();
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if platform.lock().closed_ports.contains(&port) {
                    return;
                }
                let platform = platform.clone();
                thread::spawn(move || platform.serve_relay(port, stream));
            }
        });
        port
    }

    fn serve_relay(&self, port: u16, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().unwrap();
        let index = {
            let mut state = self.lock();
            state.relay_streams.push((port, false, stream.try_clone().unwrap()));
            state.relay_streams.len() - 1
        };
        // "closes a connection that has stood idle for about 10 s or less"
        stream.set_read_timeout(Some(Duration::from_secs(8))).ok();
        let mut lines = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if !matches!(lines.read_line(&mut line), Ok(length) if length > 0) || !line.ends_with('\n') {
                writer.shutdown(Shutdown::Both).ok();
                return;
            }
            let Some(call) = Json::parse(line.trim_end()) else { return };
            let id = call.get("id").number().unwrap_or(-1.0) as i64;
            match call.get("method").text() {
                Some("relay.watch") => {
                    let (sender, receiver) = channel();
                    {
                        let mut state = self.lock();
                        state.relay_streams[index].1 = true;
                        let mut first = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n");
                        for proxy in 0..state.proxies.len() {
                            if state.proxies[proxy].joined {
                                let params = state.joined_params(proxy);
                                first += &format!("{{\"jsonrpc\":\"2.0\",\"method\":\"joined\",\"params\":{params}}}\n");
                            }
                        }
                        sender.send(first).ok();
                        state.watchers.push(sender);
                        state.record.line("relay: news is asked for");
                    }
                    return write_news(writer, &receiver);
                }
                Some("relay.apply") => {
                    let mut state = self.lock();
                    let now = state.now();
                    state.calls += 1;
                    let mut fate = state.fate.take();
                    let outcome = fate.as_mut().map_or(Fate::Answered, |fate| fate(now));
                    state.fate = fate;
                    let changes = call.get("params").get("changes").list();
                    let is_carried_out = !matches!(outcome,
                        Fate::Reset { carried_out: false } | Fate::Silent { carried_out: false } | Fate::Garbled { carried_out: false });
                    let taken = if is_carried_out { state.apply(changes) } else { 0 };
                    let names: BTreeSet<&str> = changes.iter().filter(|change| change.get("rps").number() == Some(0.0))
                        .filter_map(|change| change.get("target").text()).collect();
                    state.record.line(&format!("call {id}: {} orders, {taken} taken, {outcome:?}; takes out {names:?}", changes.len()));
                    match outcome {
                        Fate::Answered => {
                            let answer = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ok_count\":{taken}}}}}\n");
                            drop(state);
                            if writer.write_all(answer.as_bytes()).is_err() {
                                return;
                            }
                        }
                        Fate::Reset { .. } => {
                            state.breaks += 1;
                            state.excuse(0.5);
                            drop(state);
                            writer.shutdown(Shutdown::Both).ok();
                            return;
                        }
                        Fate::Silent { .. } => {
                            state.breaks += 1;
                            state.excuse(1.5);
                            drop(state);
                            // It says nothing more on this connection.
                            let mut rest = Vec::new();
                            lines.read_to_end(&mut rest).ok();
                            return;
                        }
                        Fate::Garbled { .. } => {
                            state.breaks += 1;
                            state.excuse(1.5);
                            drop(state);
                            writer.write_all(format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ok_count\":\"x\"}}}}\n").as_bytes()).ok();
                        }
                    }
                }
                _ => {
                    let answer = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":-32600,\"message\":\"SYNTAX\"}}}}\n");
                    writer.write_all(answer.as_bytes()).ok();
                }
            }
        }
    }

    /// Breaks off the news.
    pub fn break_news(&self) {
        let mut state = self.lock();
        state.excuse(4.0);
        state.record.line("relay breaks off its news");
        state.watchers.clear();
        for (_, _, stream) in state.relay_streams.iter().filter(|(_, is_watch, _)| *is_watch) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Listens as the registry; returns the port.
    pub fn listen_registry(&self) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("registry");
        let port = listener.local_addr().unwrap().port();
        let platform = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if platform.lock().closed_ports.contains(&port) {
                    return;
                }
                let platform = platform.clone();
                thread::spawn(move || platform.serve_registry(port, stream));
            }
        });
        port
    }

    fn serve_registry(&self, port: u16, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().unwrap();
        self.lock().registry_streams.push((port, stream.try_clone().unwrap()));
        let mut reader = BufReader::new(stream);
        let Some((first, _)) = read_head(&mut reader) else { return };
        let path = first.split_whitespace().nth(1).unwrap_or("").to_string();
        while self.lock().registry_silent {
            sleep_ms(20);
        }
        if !path.contains("follow=1") {
            let mut state = self.lock();
            let list = state.list(None);
            state.told();
            drop(state);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n", list.len());
            writer.write_all((head + &list).as_bytes()).ok();
            return;
        }
        let since = path.split("since=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut sent: u64 = since;
        if writer.write_all(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut quiet = 0;
        loop {
            let mut text = String::new();
            {
                let mut state = self.lock();
                if !state.registry_silent {
                    if state.generation > sent {
                        text = state.list(Some(sent)) + "\n";
                        sent = state.generation;
                    } else if quiet >= 200 {
                        text = "\n".into();
                    }
                    if !text.is_empty() {
                        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                        if writer.write_all(chunk.as_bytes()).is_err() {
                            return;
                        }
                        state.told();
                        quiet = 0;
                    }
                }
            }
            quiet += 1;
            sleep_ms(10);
        }
    }

    /// Resets the watches of the registry.
    pub fn break_registry(&self) {
        let mut state = self.lock();
        state.record.line("registry: the watch is reset");
        for (_, stream) in state.registry_streams.drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Closes an address: no new connections at once, the open ones after 1.5 s.
    pub fn retire_port(&self, port: u16) {
        self.lock().closed_ports.insert(port);
        // The listener notices with its next connection.
        TcpStream::connect(("127.0.0.1", port)).ok();
        let platform = self.clone();
        thread::spawn(move || {
            sleep_ms(1_500);
            let state = platform.lock();
            for (_, _, stream) in state.relay_streams.iter().filter(|(at, _, _)| *at == port) {
                stream.shutdown(Shutdown::Both).ok();
            }
            for (_, stream) in state.registry_streams.iter().filter(|(at, _)| *at == port) {
                stream.shutdown(Shutdown::Both).ok();
            }
        });
    }

    /// Waits for the first `pong`.
    pub fn wait_ready(&self, listen: SocketAddr) -> bool {
        let ready = wait_for(20.0, || {
            let Ok(mut stream) = TcpStream::connect_timeout(&listen, Duration::from_millis(200)) else { return false };
            stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
            stream.write_all(b"*1\r\n$4\r\nping\r\n").ok();
            let mut answer = [0; 14];
            stream.read_exact(&mut answer).is_ok() && answer.windows(4).any(|word| word == b"pong")
        });
        let mut state = self.lock();
        state.first_pong = ready.then(|| state.now());
        ready
    }

    /// A collector for each zone; reports go out each second, half a second late.
    pub fn start_collectors(&self, listen: SocketAddr) {
        let zones = self.lock().site.zones.clone();
        for (index, zone) in zones.into_iter().enumerate() {
            let platform = self.clone();
            thread::spawn(move || loop {
                let Ok(mut stream) = TcpStream::connect(listen) else {
                    sleep_ms(200);
                    continue;
                };
                let message = |words: &[String]| {
                    let mut text = format!("*{}\r\n", words.len());
                    for word in words {
                        text += &format!("${}\r\n{word}\r\n", word.len());
                    }
                    text
                };
                let words = |text: &str| -> Vec<String> { text.split(' ').map(String::from).collect() };
                if stream.write_all(message(&words(&format!("collector site {zone}"))).as_bytes()).is_err() {
                    continue;
                }
                loop {
                    sleep_ms(1_000);
                    let mut text = String::new();
                    {
                        let mut state = platform.lock();
                        let met = std::mem::take(&mut state.met);
                        let (own, others): (BTreeMap<_, _>, BTreeMap<_, _>) = met.into_iter().partition(|((at, _), _)| *at == zone);
                        state.met = others;
                        for ((_, host), count) in own {
                            let fail = state.failed.remove(&(zone, host.clone())).unwrap_or(0).min(count);
                            let mean = match state.times.remove(&(zone, host.clone())) {
                                Some((answers, sum)) => sum / answers as f64 * 1e3,
                                None if fail < count => 200.0,
                                None => 0.0,
                            };
                            let held = state.hosts.get(&host).map_or(0, |host| host.jobs.len());
                            let (queue, util) = if state.site.host_room == 0 { (0, 0.3) } else { (held.saturating_sub(1), (held as f64).min(1.0)) };
                            text += &message(&words(&format!("heard site {zone} target {host} count {count} fail {fail} mean {mean:.1} over 1000.0 util queue:{queue},util:{util:.2}")));
                        }
                        if index == 0 {
                            for ((id, class), count) in std::mem::take(&mut state.asked) {
                                text += &message(&words(&format!("usage id {id} lane {} count {count} fail 0 over 1000.0", CLASS_NAMES[class])));
                            }
                        }
                    }
                    sleep_ms(500);
                    if stream.write_all(text.as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    }
}

fn write_news(mut writer: TcpStream, news: &Receiver<String>) {
    let ping = "{\"jsonrpc\":\"2.0\",\"method\":\"ping\",\"params\":{}}\n";
    let mut next_ping = std::time::Instant::now() + Duration::from_secs(1);
    loop {
        let wait = next_ping.saturating_duration_since(std::time::Instant::now());
        let line = match news.recv_timeout(wait) {
            Ok(line) => line,
            Err(RecvTimeoutError::Timeout) => {
                next_ping += Duration::from_secs(1);
                ping.to_string()
            }
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if writer.write_all(line.as_bytes()).is_err() {
            return;
        }
    }
}
