//! Stand-ins for the platform, written from PROTOCOL.md, DEPLOY.md and the simulator's wire page: discovery, the relay
//! with its channel, proxies, hosts and collectors. All of them run in this process, on loopback addresses and the real
//! clock; the steward is a process of its own. Everything that is sent, answered and run goes to the record.

#![allow(dead_code)]

use crate::json::Json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const CLASSES: [&str; 3] = ["proof", "order", "release"];
/// How often stand-ins look for something to do.
const POLL: Duration = Duration::from_millis(10);

/// What the relay does with the calls that reach it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Calls {
    /// Carries them out and answers.
    Serve,
    /// The call is not carried out and never answered; its connection stays open and silent.
    LoseUnapplied,
}

pub struct Host {
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub weight: f64,
    pub started_ms: u64,
    pub lifecycle: &'static str,
    pub address: SocketAddr,
    /// The version of the list that changed it last.
    changed: u64,
    /// When discovery had written to the steward that it drains or is gone.
    pub told: Option<Instant>,
    pub requests: u64,
}

#[derive(Clone, Default)]
pub struct Table {
    pub lines: BTreeMap<String, f64>,
    pub levels: BTreeMap<String, f64>,
}

struct Message {
    due: Instant,
    sent: Instant,
    held: BTreeMap<&'static str, Table>,
    marks: Vec<u64>,
}

pub struct Proxy {
    pub site: String,
    pub rate: f64,
    pub joined: Option<Instant>,
    /// Whether the relay takes it for joined: a broken stream is noticed later.
    listed: bool,
    /// Whether it holds no table that was ordered.
    pub new: bool,
    /// The table of each class, by the steward's orders on the present stream.
    bound: BTreeMap<&'static str, u64>,
    /// What it holds.
    pub held: BTreeMap<&'static str, Table>,
    inbox: VecDeque<Message>,
    /// When messages to it were written, on the present stream.
    pub messages: Vec<Instant>,
}

/// One request that a proxy sent to a host.
#[derive(Clone)]
pub struct Sent {
    pub at: Instant,
    pub proxy: u64,
    pub host: String,
    pub class: &'static str,
    /// Whether the proxy was joined to the steward under test.
    pub joined: Option<Instant>,
}

pub struct State {
    pub hosts: BTreeMap<String, Host>,
    pub listed_ever: BTreeSet<String>,
    pub generation: u64,
    pub tables: BTreeMap<u64, Table>,
    pub proxies: BTreeMap<u64, Proxy>,
    pub calls: Calls,
    pub lost_calls: Vec<(Instant, String)>,
    events: Vec<String>,
    pub sent: Vec<Sent>,
    sums: BTreeMap<(String, String), (u64, u64)>,
    usage: BTreeMap<(u64, &'static str), u64>,
    stop: bool,
    random: u64,
}

pub struct World {
    state: Mutex<State>,
    record: Mutex<File>,
    pub begun: Instant,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub steward: SocketAddr,
    /// Keeps the steward's address free for it until it starts.
    reserved: Mutex<Option<TcpListener>>,
    /// How long a message takes to a proxy.
    pub late: Duration,
    pub folder: String,
}

pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

impl State {
    /// A number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    fn entry(&self, id: &str) -> String {
        let host = &self.hosts[id];
        format!(
            "{{\"instanceId\":\"{id}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\"lifecycle\":\"{}\",\"weight\":{:.1},\"startedAtMs\":{}}}",
            host.address, host.zone, host.kind, host.cell, host.lifecycle, host.weight, host.started_ms
        )
    }

    pub fn whole_list(&self) -> String {
        let entries: Vec<String> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.lifecycle != "Gone")
            .map(|(id, _)| self.entry(id))
            .collect();
        format!(
            "{{\"generation\":{},\"reset\":true,\"instances\":[{}]}}",
            self.generation,
            entries.join(",")
        )
    }

    fn changes_since(&self, since: u64) -> Option<(String, Vec<String>)> {
        let changed: Vec<String> = self
            .hosts
            .iter()
            .filter(|(_, host)| host.changed > since)
            .map(|(id, _)| id.clone())
            .collect();
        if changed.is_empty() {
            return None;
        }
        let entries: Vec<String> = changed.iter().map(|id| self.entry(id)).collect();
        let line = format!(
            "{{\"generation\":{},\"reset\":false,\"instances\":[{}]}}",
            self.generation,
            entries.join(",")
        );
        Some((line, changed))
    }

    /// Carries out the orders of a call. Returns how many were taken.
    fn apply(&mut self, changes: &[Json], late: Duration) -> usize {
        let now = Instant::now();
        let mut reached: BTreeSet<u64> = BTreeSet::new();
        let mut marks: Vec<(u64, bool)> = Vec::new();
        let mut taken = 0;
        for change in changes {
            let table = change.get("cluster").number().map(|number| number as u64);
            let usable = match (change.get("verb").text(), table) {
                (Some("share"), Some(table)) => {
                    let target = change.get("target").text().unwrap_or("");
                    match change.get("rps").number() {
                        Some(weight) if weight >= 0.0 && self.listed_ever.contains(target) => {
                            let lines = &mut self.tables.entry(table).or_default().lines;
                            if weight == 0.0 {
                                lines.remove(target);
                            } else {
                                lines.insert(target.to_string(), weight);
                            }
                            reached.extend(self.users(table));
                            true
                        }
                        _ => false,
                    }
                }
                (Some("clear"), Some(table)) => {
                    self.tables.insert(table, Table::default());
                    reached.extend(self.users(table));
                    true
                }
                (Some("bind"), Some(table)) => {
                    let id = change.get("id").number().unwrap_or(-1.0) as i64 as u64;
                    let routes: Vec<&str> =
                        change.get("routes").list().iter().filter_map(Json::text).collect();
                    match self.proxies.get_mut(&id).filter(|proxy| proxy.listed) {
                        Some(proxy) => {
                            for class in CLASSES {
                                if routes.is_empty() || routes.contains(&class) {
                                    proxy.bound.insert(class, table);
                                }
                            }
                            proxy.new = false;
                            reached.insert(id);
                            true
                        }
                        None => false,
                    }
                }
                (Some("admit"), Some(table)) => {
                    let level = change.get("admit").number().unwrap_or(-1.0);
                    let routes = change.get("routes").list();
                    for class in CLASSES {
                        let named = routes.iter().any(|route| route.text() == Some(class));
                        if routes.is_empty() || named {
                            let levels = &mut self.tables.entry(table).or_default().levels;
                            levels.insert(class.to_string(), level);
                        }
                    }
                    reached.extend(self.users(table));
                    level >= 0.0
                }
                (Some("mark"), _) => match change.get("nonce_out").number() {
                    Some(mark) => {
                        marks.push((mark as u64, change.get("flag").number() == Some(1.0)));
                        true
                    }
                    None => false,
                },
                _ => false,
            };
            if !usable {
                break;
            }
            taken += 1;
        }
        if marks.iter().any(|(_, all)| *all) {
            let joined = self.proxies.iter().filter(|(_, proxy)| proxy.listed);
            reached.extend(joined.map(|(id, _)| *id));
        }
        for id in reached {
            let tables = &self.tables;
            let proxy = self.proxies.get_mut(&id).unwrap();
            let held = proxy
                .bound
                .iter()
                .map(|(class, table)| (*class, tables.get(table).cloned().unwrap_or_default()))
                .collect();
            proxy.messages.push(now);
            proxy.inbox.push_back(Message {
                due: now + late,
                sent: now,
                held,
                marks: marks.iter().map(|(mark, _)| *mark).collect(),
            });
        }
        taken
    }

    fn users(&self, table: u64) -> Vec<u64> {
        self.proxies
            .iter()
            .filter(|(_, proxy)| proxy.listed && proxy.bound.values().any(|t| *t == table))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Lets messages take effect that have reached their proxies.
    fn deliver(&mut self) {
        let now = Instant::now();
        let mut applied = Vec::new();
        for (id, proxy) in &mut self.proxies {
            while proxy.inbox.front().is_some_and(|message| message.due <= now) {
                let message = proxy.inbox.pop_front().unwrap();
                // What was on its way when the stream broke is lost.
                if proxy.joined.is_none() {
                    continue;
                }
                proxy.held = message.held;
                for mark in message.marks {
                    let ms = (now - message.sent).as_secs_f64() * 1e3;
                    applied.push(format!(
                        "{{\"jsonrpc\":\"2.0\",\"method\":\"applied\",\"params\":{{\"id\":{id},\"seq\":{mark},\"ms\":{ms:.1}}}}}"
                    ));
                }
            }
        }
        self.events.extend(applied);
    }

    fn joined_event(id: u64, proxy: &Proxy) -> String {
        format!(
            "{{\"jsonrpc\":\"2.0\",\"method\":\"joined\",\"params\":{{\"id\":{id},\"site\":\"{}\",\"rps\":{:.1},\"new\":{}}}}}",
            proxy.site, proxy.rate, proxy.new
        )
    }

    pub fn join(&mut self, id: u64) {
        let proxy = self.proxies.get_mut(&id).unwrap();
        proxy.joined = Some(Instant::now());
        proxy.listed = true;
        proxy.bound.clear();
        proxy.inbox.clear();
        proxy.messages.clear();
        let event = State::joined_event(id, proxy);
        self.events.push(event);
    }

    /// A proxy's stream breaks. The proxy keeps its tables; neither side has noticed yet.
    pub fn break_stream(&mut self, id: u64) {
        let proxy = self.proxies.get_mut(&id).unwrap();
        proxy.joined = None;
        proxy.inbox.clear();
    }

    /// The break of a proxy's stream is noticed: the relay tells that it has left.
    pub fn notice_break(&mut self, id: u64) {
        let proxy = self.proxies.get_mut(&id).unwrap();
        proxy.listed = false;
        proxy.bound.clear();
        proxy.inbox.clear();
        self.events.push(format!(
            "{{\"jsonrpc\":\"2.0\",\"method\":\"left\",\"params\":{{\"id\":{id}}}}}"
        ));
    }

    /// Gives a proxy its standing table: up to eight listed hosts of its zone.
    pub fn give_standing_table(&mut self, id: u64) {
        let site = self.proxies[&id].site.clone();
        let in_zone = self.hosts.iter().filter(|(_, host)| host.zone == site);
        let lines: BTreeMap<String, f64> = in_zone.take(8).map(|(id, _)| (id.clone(), 1.0)).collect();
        let table = Table {
            lines,
            levels: BTreeMap::new(),
        };
        let held = CLASSES.map(|class| (class, table.clone()));
        self.proxies.get_mut(&id).unwrap().held = held.into_iter().collect();
    }

    /// Returns how many joined proxies hold a table that was ordered on their present stream.
    pub fn bound(&self) -> usize {
        let joined = self.proxies.values().filter(|proxy| proxy.joined.is_some());
        joined.filter(|proxy| !proxy.bound.is_empty()).count()
    }

    /// Changes entries of the list, as one change of discovery's.
    pub fn list(&mut self, ids: &[String], lifecycle: &'static str) {
        self.generation += 1;
        for id in ids {
            let host = self.hosts.get_mut(id).unwrap();
            host.lifecycle = lifecycle;
            host.changed = self.generation;
        }
    }
}

impl World {
    pub fn new(folder: &str, late: Duration) -> Arc<World> {
        let record = File::create(format!("{}/record.txt", record_folder())).expect("record.txt");
        let relay = listener();
        let discovery = listener();
        // An address of the loopback network that no other run uses, so that its port can't be taken in between.
        let run = std::process::id();
        let own = std::net::Ipv4Addr::new(127, 64 + (run >> 16) as u8 % 64, (run >> 8) as u8, (run as u8).max(1));
        let reserved = TcpListener::bind((own, 0)).expect("a free port");
        let world = Arc::new(World {
            state: Mutex::new(State {
                hosts: BTreeMap::new(),
                listed_ever: BTreeSet::new(),
                generation: 41,
                tables: BTreeMap::new(),
                proxies: BTreeMap::new(),
                calls: Calls::Serve,
                lost_calls: Vec::new(),
                events: Vec::new(),
                sent: Vec::new(),
                sums: BTreeMap::new(),
                usage: BTreeMap::new(),
                stop: false,
                random: wall_ms(),
            }),
            record: Mutex::new(record),
            begun: Instant::now(),
            discovery: discovery.local_addr().unwrap(),
            relay: relay.local_addr().unwrap(),
            steward: reserved.local_addr().unwrap(),
            reserved: Mutex::new(Some(reserved)),
            late,
            folder: folder.to_string(),
        });
        let shared = Arc::clone(&world);
        thread::spawn(move || serve(discovery, move |stream| shared.serve_discovery(stream)));
        let shared = Arc::clone(&world);
        thread::spawn(move || serve(relay, move |stream| shared.serve_relay(stream)));
        let shared = Arc::clone(&world);
        thread::spawn(move || {
            while !shared.state().stop {
                shared.state().deliver();
                thread::sleep(POLL);
            }
        });
        world
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.begun).as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        writeln!(self.record.lock().unwrap(), "{at:8.3} {text}").unwrap();
    }

    /// Adds a host and starts it: it answers each request with 200.
    pub fn add_host(self: &Arc<World>, id: &str, zone: &str, kind: &str, cell: u32, weight: f64) {
        self.start_host(id, zone, kind, cell, weight, 0);
    }

    /// The same for a host that has just started.
    pub fn add_cold_host(self: &Arc<World>, id: &str, zone: &str, kind: &str, cell: u32, weight: f64) {
        self.start_host(id, zone, kind, cell, weight, wall_ms());
    }

    fn start_host(
        self: &Arc<World>,
        id: &str,
        zone: &str,
        kind: &str,
        cell: u32,
        weight: f64,
        started_ms: u64,
    ) {
        let socket = listener();
        let address = socket.local_addr().unwrap();
        {
            let mut state = self.state();
            let changed = state.generation;
            state.listed_ever.insert(id.to_string());
            state.hosts.insert(
                id.to_string(),
                Host {
                    zone: zone.to_string(),
                    kind: kind.to_string(),
                    cell,
                    weight,
                    started_ms,
                    lifecycle: "Ready",
                    address,
                    changed,
                    told: None,
                    requests: 0,
                },
            );
        }
        let shared = Arc::clone(self);
        let id = id.to_string();
        thread::spawn(move || {
            for stream in socket.incoming() {
                let Ok(mut stream) = stream else { continue };
                stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
                    if line.starts_with("POST") {
                        let mut state = shared.state();
                        state.hosts.get_mut(&id).unwrap().requests += 1;
                    }
                    line.clear();
                }
                let body = "TEXT inflight=1, queue=0, util=0.31";
                let answer = format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes()).ok();
            }
        });
    }

    pub fn add_proxy(self: &Arc<World>, id: u64, site: &str, rate: f64) {
        self.state().proxies.insert(
            id,
            Proxy {
                site: site.to_string(),
                rate,
                joined: None,
                listed: false,
                new: true,
                bound: BTreeMap::new(),
                held: BTreeMap::new(),
                inbox: VecDeque::new(),
                messages: Vec::new(),
            },
        );
        let shared = Arc::clone(self);
        thread::spawn(move || shared.run_proxy(id));
    }

    /// Sends the proxy's requests by the tables it holds, while it is joined to the steward under test.
    fn run_proxy(&self, id: u64) {
        loop {
            let (target, class, pause) = {
                let mut state = self.state();
                if state.stop {
                    return;
                }
                let pause = Duration::from_secs_f64(1.0 / state.proxies[&id].rate);
                let chance = state.random();
                let class = CLASSES[(chance * 3.0) as usize % 3];
                (self.pick(&mut state, id, class), class, pause)
            };
            if let Some((host, address, joined)) = target {
                let at = Instant::now();
                let ok = request(address, class);
                let answer = if ok { "answered 200" } else { "no answer" };
                self.note(&format!("proxy {id} sent {class} to {host}: {answer}"));
                let mut state = self.state();
                let site = state.proxies[&id].site.clone();
                let sums = state.sums.entry((site, host.clone())).or_default();
                sums.0 += 1;
                sums.1 += u64::from(!ok);
                *state.usage.entry((id, class)).or_default() += 1;
                state.sent.push(Sent {
                    at,
                    proxy: id,
                    host,
                    class,
                    joined,
                });
            }
            thread::sleep(pause);
        }
    }

    fn pick(
        &self,
        state: &mut State,
        id: u64,
        class: &'static str,
    ) -> Option<(String, SocketAddr, Option<Instant>)> {
        let chance = state.random();
        let proxy = &state.proxies[&id];
        let joined = Some(proxy.joined?);
        let lines = &proxy.held.get(class)?.lines;
        let sum: f64 = lines.values().sum();
        let mut left = chance * sum;
        for (host, weight) in lines {
            left -= weight;
            if left <= 0.0 {
                return Some((host.clone(), state.hosts[host].address, joined));
            }
        }
        None
    }

    /// Runs the collector of a zone: sums once a second.
    pub fn run_collector(self: &Arc<World>, zone: &str) {
        let shared = Arc::clone(self);
        let zone = zone.to_string();
        thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(shared.steward) else { return };
            stream.write_all(&resp(&["collector", "site", &zone])).ok();
            while !shared.state().stop {
                thread::sleep(Duration::from_secs(1));
                let mut out = Vec::new();
                {
                    let mut state = shared.state();
                    let keys: Vec<_> = state.sums.keys().filter(|key| key.0 == zone).cloned().collect();
                    for key in keys {
                        let (count, fail) = state.sums.remove(&key).unwrap();
                        out.extend(resp(&[
                            "heard", "site", &zone, "target", &key.1, "count", &count.to_string(), "fail",
                            &fail.to_string(), "mean", "41.7", "over", "1000.0", "util", "queue:0,util:0.31",
                        ]));
                    }
                    let keys: Vec<_> = state.usage.keys().cloned().collect();
                    for key in keys {
                        if state.proxies[&key.0].site == zone {
                            let count = state.usage.remove(&key).unwrap();
                            out.extend(resp(&[
                                "usage", "id", &key.0.to_string(), "lane", key.1, "count", &count.to_string(),
                                "fail", "0", "over", "1000.0",
                            ]));
                        }
                    }
                }
                if stream.write_all(&out).is_err() {
                    return;
                }
                let words = String::from_utf8_lossy(&out);
                let words = words.split("\r\n").filter(|word| !word.starts_with(['*', '$']));
                shared.note(&format!("collector {zone} -> {}", words.collect::<Vec<_>>().join(" ")));
            }
        });
    }

    fn serve_discovery(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut request = String::new();
        if reader.read_line(&mut request).is_err() {
            return;
        }
        let mut line = String::new();
        while reader.read_line(&mut line).is_ok_and(|read| read > 2) {
            line.clear();
        }
        let path = request.split_whitespace().nth(1).unwrap_or("").to_string();
        self.note(&format!("discovery <- GET {path}"));
        if !path.contains("follow=1") {
            let list = self.state().whole_list();
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
                list.len()
            );
            stream.write_all((head + &list).as_bytes()).ok();
            return;
        }
        let since = path.split("since=").nth(1).and_then(|text| text.parse().ok());
        let mut known: u64 = since.unwrap_or(0);
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut quiet_since = Instant::now();
        loop {
            let (line, changed) = {
                let state = self.state();
                if state.stop {
                    return;
                }
                let changes = state.changes_since(known);
                known = state.generation;
                changes.unwrap_or_default()
            };
            if !line.is_empty() || quiet_since.elapsed() >= Duration::from_secs(2) {
                let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                if stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                quiet_since = Instant::now();
            }
            if !line.is_empty() {
                self.note(&format!("discovery -> {line}"));
                let now = Instant::now();
                let mut state = self.state();
                for id in changed {
                    let host = state.hosts.get_mut(&id).unwrap();
                    if host.lifecycle != "Ready" && host.told.is_none() {
                        host.told = Some(now);
                    }
                }
            }
            thread::sleep(POLL);
        }
    }

    fn serve_relay(self: &Arc<World>, stream: TcpStream) {
        let mut writer = stream.try_clone().unwrap();
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { return };
            let Some(call) = Json::parse(&line) else { return };
            let id = call.get("id").number().unwrap_or(0.0) as u64;
            if call.get("method").text() == Some("relay.watch") {
                return self.watch(writer, id);
            }
            self.note(&format!("relay <- {line}"));
            let answer = {
                let mut state = self.state();
                if state.calls == Calls::LoseUnapplied {
                    state.lost_calls.push((Instant::now(), line.clone()));
                    drop(state);
                    self.note("relay: not carried out, no answer");
                    continue;
                }
                let changes = call.get("params").get("changes").list();
                let taken = state.apply(changes, self.late);
                format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ok_count\":{taken}}}}}\n")
            };
            self.note(&format!("relay -> {}", answer.trim()));
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn watch(&self, mut writer: TcpStream, id: u64) {
        let mut out = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n");
        let mut next = {
            let state = self.state();
            for (id, proxy) in &state.proxies {
                if proxy.listed {
                    out += &(State::joined_event(*id, proxy) + "\n");
                }
            }
            state.events.len()
        };
        let mut pinged = Instant::now();
        loop {
            if pinged.elapsed() >= Duration::from_secs(1) {
                out += "{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                pinged = Instant::now();
            }
            if !out.is_empty() {
                for line in out.lines().filter(|line| !line.contains("\"ping\"")) {
                    self.note(&format!("relay news -> {line}"));
                }
                if writer.write_all(out.as_bytes()).is_err() {
                    return;
                }
            }
            thread::sleep(POLL);
            let state = self.state();
            if state.stop {
                return;
            }
            out = state.events[next..].iter().map(|event| event.clone() + "\n").collect();
            next = state.events.len();
        }
    }

    pub fn stop(&self) {
        self.state().stop = true;
    }
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else { continue };
        stream.set_nodelay(true).ok();
        let handle = handle.clone();
        thread::spawn(move || handle(stream));
    }
}

/// Sends one request to a host. Returns whether it answered with 200 in time.
fn request(address: SocketAddr, class: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(250)) else {
        return false;
    };
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok();
    let text = format!("POST /{class} HTTP/1.1\r\nhost: backend.local\r\ncontent-length: 0\r\n\r\n");
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok();
    answer.starts_with("HTTP/1.1 200")
}

pub fn resp(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    for word in words {
        out += &format!("${}\r\n{word}\r\n", word.len());
    }
    out.into_bytes()
}

fn record_folder() -> String {
    std::env::var("CASE").unwrap_or_else(|_| ".".to_string())
}

/// The steward under test, ended when this is dropped.
pub struct Steward {
    child: Child,
}

impl Steward {
    /// Starts the steward by the `run` line of the deploy file and waits until it answers a ping.
    pub fn start(world: &World, config: &str) -> Option<Steward> {
        let path = format!("{}/config.json", world.folder);
        std::fs::write(&path, config).ok()?;
        let log = File::create(format!("{}/steward.log", world.folder)).ok()?;
        drop(world.reserved.lock().unwrap().take());
        let child = Command::new("/bin/sh")
            .args(["-c", &std::env::var("RUN").ok()?])
            .env("RELAY_NAME", "n0")
            .env("RELAY_LISTEN", world.steward.to_string())
            .env("RELAY_DISCOVERY", world.discovery.to_string())
            .env("RELAY_CONFIG", &path)
            .env("TMPDIR", &world.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        let mut steward = Steward { child };
        for _ in 0..300 {
            if let Ok(mut stream) = TcpStream::connect(world.steward) {
                stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
                stream.write_all(&resp(&["ping"])).ok();
                let mut answer = [0; 14];
                if stream.read_exact(&mut answer).is_ok() && &answer[8..12] == b"pong" {
                    world.note("steward answered pong");
                    return Some(steward);
                }
            }
            if steward.ended() {
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Steward {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// The configuration of a small deployment, with the settings of the wire page's example.
pub fn config(world: &World, proxies: u64) -> String {
    let settings = SETTINGS.replace("\"proxies\": 12", &format!("\"proxies\": {proxies}"));
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"hub\":{{\"address\":\"{}\"}},\"known\":{},\"settings\":{settings}}}",
        world.steward,
        world.discovery,
        wall_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
        world.relay,
        world.state().whole_list()
    )
}

pub const ZONES: [&str; 4] = ["ede", "arnhem", "utrecht", "amersfoort"];

const SETTINGS: &str = r#"{"balancers": 2,
 "classes": [{"aim": 1500000, "effect": "pure", "giveUp": 4000000, "group": "all", "lateValue": 0.2, "memorySpan": 5000000, "name": "proof", "worth": 1.0}, {"aim": 1000000, "effect": "token", "giveUp": 3000000, "group": "cell", "lateValue": 0.2, "memorySpan": 3000000, "name": "order", "worth": 5.0}, {"aim": 800000, "effect": "side_effect", "giveUp": 2500000, "group": "all", "lateValue": 0.2, "memorySpan": 5000000, "name": "release", "worth": 3.0}],
 "discovery": "pushed",
 "familyInfo": {"admission": "share", "bare": 7200000, "baseMode": 0, "channelRate": 9800.0, "classOwnZone": [false, false, false], "costPerLine": 0.04, "failsToEject": 3, "firstWait": 1.2, "hold": 300000, "ingestRate": 1000.0, "lateMost": 870000, "minConnCap": 71.0, "mostWaiting": 9800.0, "movePrice": 0.01, "mutating": [false, true, true], "partitionsN": 0, "perMessage": 3.0, "pick": "weighted", "proxies": 12, "reportEvery": 1000000, "singleWriter": false, "standing": 8, "tenure": 2500000, "transit": 348000, "updateCap": 12, "updateWindow": 10000000, "warmKeys": true, "writeLife": 3020000, "zonal": false},
 "index": 0,
 "limits": {"cpuUsPerS": 456563, "dialTimeout": 250000, "idleClose": 15000000, "maxStreams": 100, "peers": false, "probes": true},
 "localities": ["ede", "arnhem", "utrecht", "amersfoort"],
 "locality": "ede",
 "machineTypes": ["single-fast", "dual-std"],
 "obligations": {"askWithin": 10000000, "cold": 18000000, "fall": 2000000, "fallMultiple": 2.5, "startCapacity": 0.17, "stopSendingWithin": 3400000},
 "period": 4000,
 "prices": {"connection": 0.02, "crossZone": 0.06, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.08, "moves": 0.0, "peer": 0.0, "probe": 0.02, "waste": 0.03},
 "report": {"fields": ["busy", "q"], "source": "inline"},
 "scoreParts": {"tail": 0.2, "tailMiss": 0.1, "whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.2},
 "serviceType": "control",
 "weightKind": "nominal",
 "worthBy": "request"}"#;
