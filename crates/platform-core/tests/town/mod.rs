//! A relay, a discovery and their clock, all scripted.

use pondarch_controller::DurationExt;
use pondarch_controller::{AckId, EndpointState, ProxyId, Time};
use pondarch_platform_core::{CallEnd, Core, Input, Output};
use pondarch_platform_protocol::config::{self, Env};
use pondarch_platform_protocol::relay::News;
use pondarch_platform_protocol::{registry, report};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Grace for drains, empty tables and cold hosts, and how long these wait after a fault.
pub(crate) const GRACE: Duration = Duration::from_millis(1_500);
const CAP: usize = 12;
const WINDOW: u64 = 10_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    Busy,
    /// No answer; carried out all the same.
    LostAfter,
    /// No answer, not carried out.
    LostBefore,
    /// Carried out, and answered with a count that cannot be.
    Spoilt,
}

struct Listed {
    id: String,
    standing: EndpointState,
    started: u64,
    told: u64,
}

pub(crate) struct Town {
    pub core: Core,
    pub now: u64,
    pub fault: Fault,
    pub version: u64,
    pub calls: usize,
    pub stopped: usize,
    pub bound: BTreeMap<ProxyId, u16>,
    pub listed: BTreeMap<String, (EndpointState, u64)>,
    ever_listed: BTreeMap<String, Listed>,
    joined: BTreeMap<ProxyId, u64>,
    lines: BTreeMap<(u16, String), f64>,
    messages: BTreeMap<ProxyId, Vec<u64>>,
    forgiven: u64,
    empty_since: BTreeMap<ProxyId, u64>,
    /// Marked messages whose proxies have not answered yet.
    marked: Vec<(ProxyId, AckId)>,
}

fn name(n: usize) -> String {
    format!("host-{n}")
}

impl Town {
    pub(crate) fn open(hosts: usize, proxies: u64) -> Town {
        Town::with_cap(hosts, proxies, CAP)
    }

    pub(crate) fn with_cap(hosts: usize, proxies: u64, cap: usize) -> Town {
        let kind =
            |name: &str, aim: u64, worth: f64| json!({"name": name, "aim": aim, "worth": worth});
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500", "seed": "07",
            "limits": {"sockets": 256}, "hub": {"address": "127.0.0.1:6400"},
            "settings": {
                "classes": [kind("proof", 1_500_000, 1.0), kind("order", 1_000_000, 5.0)],
                "localities": ["a", "b"], "discovery": "pushed", "machineTypes": ["m"],
                "limits": {"probes": true}, "prices": {"crossZone": 0.06},
                "report": {"fields": ["busy", "q"], "source": "inline"},
                "obligations": {"cold": 18_000_000, "startCapacity": 0.2, "askWithin": 10_000_000},
                "familyInfo": {"proxies": proxies, "admission": "share", "baseMode": 0, "channelRate": 9_800.0,
                    "mostWaiting": 9_800.0, "perMessage": 3.0, "updateCap": cap, "updateWindow": WINDOW,
                    "reportEvery": 1_000_000},
            },
        });
        let config =
            config::read(config.to_string().as_bytes(), &Env::default()).expect("a configuration");
        let now = 1_000_000_000;
        let mut town = Town {
            core: Core::open(config, Time::from_micros(now)),
            now,
            fault: Fault::None,
            version: 0,
            calls: 0,
            stopped: 0,
            bound: BTreeMap::new(),
            listed: (0..hosts)
                .map(|n| (name(n), (EndpointState::Ready, 0)))
                .collect(),
            ever_listed: BTreeMap::new(),
            joined: BTreeMap::new(),
            lines: BTreeMap::new(),
            messages: BTreeMap::new(),
            forgiven: now,
            empty_since: BTreeMap::new(),
            marked: Vec::new(),
        };
        town.tells_all();
        town.core.handle(town.time(), Input::Relay { up: true });
        town.core.handle(town.time(), Input::NewsBegan);
        town.news(News::Ping);
        town
    }

    pub(crate) fn time(&self) -> Time {
        Time::from_micros(self.now)
    }

    /// The rules' limits wait from now on.
    pub(crate) fn forgive(&mut self) {
        self.forgiven = self.now;
    }

    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(50) {
            self.now += 50_000;
            if self.core.wake_at().is_some_and(|at| at <= self.time()) {
                self.core.handle(self.time(), Input::Clock);
            }
            for (proxy, mark) in std::mem::take(&mut self.marked) {
                self.core
                    .handle(self.time(), Input::News(News::Applied { proxy, mark }));
            }
            if self.now.is_multiple_of(1_000_000) {
                self.news(News::Ping);
            }
            self.carry_out();
            self.note_empty();
        }
    }

    fn carry_out(&mut self) {
        while let Some(output) = self.core.next_output(self.time()) {
            match output {
                Output::Call { call, line } => {
                    assert!(line.len() <= 60_000, "{} bytes in a call", line.len());
                    let end = self.relay(&line);
                    self.core
                        .handle(self.time(), Input::CallEnded { call, end });
                }
                Output::Probe { host, .. } => {
                    self.core.handle(
                        self.time(),
                        Input::Probed {
                            host,
                            good: true,
                            load: None,
                        },
                    );
                }
            }
        }
    }

    fn relay(&mut self, line: &str) -> CallEnd {
        self.calls += 1;
        let call: Value = serde_json::from_str(line).expect("an object");
        let orders = call["params"]["changes"].as_array().expect("orders");
        match self.fault {
            Fault::Busy => return CallEnd::Refused,
            Fault::LostBefore => return CallEnd::Unknown,
            _ => {}
        }
        let mut told = BTreeSet::new();
        let mark = orders.iter().find(|order| order["verb"] == "mark");
        let mark = mark.map(|order| AckId(order["nonce_out"].as_u64().expect("a number") as u16));
        let taken = orders
            .iter()
            .take_while(|order| self.order(order, &mut told))
            .count() as u64;
        for proxy in told {
            self.marked.extend(mark.map(|mark| (proxy, mark)));
            self.messages.entry(proxy).or_default().push(self.now);
        }
        self.stopped += usize::from(taken < orders.len() as u64);
        match self.fault {
            Fault::LostAfter => CallEnd::Unknown,
            Fault::Spoilt => CallEnd::Answered {
                orders: taken + 7_000,
            },
            _ => CallEnd::Answered { orders: taken },
        }
    }

    fn order(&mut self, order: &Value, told: &mut BTreeSet<ProxyId>) -> bool {
        if order["verb"] == "mark" {
            return true;
        }
        let table = order["cluster"].as_u64().expect("a table") as u16;
        match order["verb"].as_str() {
            Some("share") => {
                let host = order["target"].as_str().expect("a host").to_string();
                let weight = order["rps"].as_f64().filter(|w| *w >= 0.0);
                let Some(weight) = weight.filter(|_| self.ever_listed.contains_key(&host)) else {
                    return false;
                };
                if weight > 0.0 {
                    self.lines.insert((table, host), weight);
                } else {
                    self.lines.remove(&(table, host));
                }
                told.extend(self.users(table));
            }
            Some("bind") => {
                let proxy = ProxyId(order["id"].as_u64().expect("a proxy") as u16);
                if !self.joined.contains_key(&proxy) {
                    return false;
                }
                self.bound.insert(proxy, table);
                told.insert(proxy);
            }
            Some("admit") => told.extend(self.users(table)),
            other => panic!("{other:?} is no order"),
        }
        true
    }

    fn users(&self, table: u16) -> Vec<ProxyId> {
        self.bound
            .iter()
            .filter(|(_, t)| **t == table)
            .map(|(id, _)| *id)
            .collect()
    }

    pub(crate) fn relay_lines(&self) -> usize {
        self.lines.len()
    }

    /// Proxies that may send to a host.
    pub(crate) fn users_of(&self, n: usize) -> usize {
        let host = name(n);
        let tables = self
            .lines
            .keys()
            .filter(|(_, h)| *h == host)
            .map(|(table, _)| *table);
        tables.map(|table| self.users(table).len()).sum()
    }

    // ---- Proxies ----

    fn news(&mut self, news: News) {
        self.core.handle(self.time(), Input::News(news));
        self.carry_out();
    }

    pub(crate) fn tell_joined(&mut self, n: u16, fresh: bool) {
        let site = ["a", "b"][n as usize % 2].to_string();
        self.news(News::Joined {
            proxy: ProxyId(n),
            site,
            usual: 5.0,
            fresh,
        });
    }

    fn joins_at_relay(&mut self, n: u16) {
        self.bound.remove(&ProxyId(n));
        self.messages.remove(&ProxyId(n));
        self.joined.insert(ProxyId(n), self.now);
    }

    pub(crate) fn joins(&mut self, n: u16, fresh: bool) {
        self.joins_at_relay(n);
        self.tell_joined(n, fresh);
    }

    pub(crate) fn leaves(&mut self, n: u16) {
        self.leaves_unseen(n);
        self.news(News::Left(ProxyId(n)));
    }

    pub(crate) fn leaves_unseen(&mut self, n: u16) {
        self.bound.remove(&ProxyId(n));
        self.joined.remove(&ProxyId(n));
        self.empty_since.remove(&ProxyId(n));
    }

    pub(crate) fn rejoins_unseen(&mut self, n: u16) {
        self.leaves_unseen(n);
        self.joins_at_relay(n);
    }

    /// The connection with news breaks, and a new one lists who stands.
    pub(crate) fn news_breaks(&mut self) {
        self.forgive();
        self.core.handle(self.time(), Input::NewsBegan);
        let standing: Vec<ProxyId> = self.joined.keys().copied().collect();
        for proxy in standing {
            self.tell_joined(proxy.0, false);
        }
    }

    pub(crate) fn says(&mut self, text: &str) {
        let words: Vec<String> = text.split(' ').map(str::to_string).collect();
        let message = report::read(&words).expect("well framed");
        self.core.handle(self.time(), Input::Said(message));
        self.carry_out();
    }

    // ---- Hosts ----

    pub(crate) fn tells_all(&mut self) {
        for (id, (standing, started)) in &self.listed {
            let told = Listed {
                id: id.clone(),
                standing: *standing,
                started: *started,
                told: self.now,
            };
            let known = self.ever_listed.get(id).map(|l| (l.standing, l.started));
            if known != Some((*standing, *started)) {
                self.ever_listed.insert(id.clone(), told);
            }
        }
        for listed in self
            .ever_listed
            .values_mut()
            .filter(|l| !self.listed.contains_key(&l.id))
        {
            if listed.standing != EndpointState::Removed {
                (listed.standing, listed.told) = (EndpointState::Removed, self.now);
            }
        }
        let entries = self
            .listed
            .iter()
            .map(|(id, (standing, started))| entry(id, *standing, *started));
        let entries: Vec<Value> = entries.collect();
        self.tells(true, entries);
    }

    fn tells(&mut self, whole: bool, entries: Vec<Value>) {
        self.version += 1;
        let list = json!({"generation": self.version, "reset": whole, "instances": entries});
        let listed = registry::read(list.to_string().as_bytes()).expect("a list");
        self.core.handle(self.time(), Input::Listed(listed));
        self.carry_out();
    }

    fn changes(&mut self, id: String, standing: EndpointState, started: u64) {
        if standing == EndpointState::Removed {
            self.listed.remove(&id);
        } else {
            self.listed.insert(id.clone(), (standing, started));
        }
        let told = Listed {
            id: id.clone(),
            standing,
            started,
            told: self.now,
        };
        self.ever_listed.insert(id.clone(), told);
        self.tells(false, vec![entry(&id, standing, started)]);
    }

    pub(crate) fn drains(&mut self, n: usize) {
        self.changes(name(n), EndpointState::Draining, 0);
    }

    pub(crate) fn gone(&mut self, n: usize) {
        self.changes(name(n), EndpointState::Removed, 0);
    }

    pub(crate) fn restarts(&mut self, n: usize) {
        self.changes(name(n), EndpointState::Ready, self.now / 1_000 * 1_000);
    }

    /// A release puts a new host, under a new id, in the place of an old one.
    pub(crate) fn replaces(&mut self, release: usize, n: usize) {
        self.gone((release - 1) * 100 + n);
        self.restarts(release * 100 + n);
    }

    // ---- Rules ----

    fn lines_of(&self, proxy: ProxyId) -> Vec<(&String, f64)> {
        let Some(&table) = self.bound.get(&proxy) else {
            return Vec::new();
        };
        self.lines
            .iter()
            .filter(|((t, _), _)| *t == table)
            .map(|((_, host), w)| (host, *w))
            .collect()
    }

    fn note_empty(&mut self) {
        let warm = |listed: &&(EndpointState, u64)| {
            listed.0 == EndpointState::Ready && (listed.1 == 0 || self.now - listed.1 > 18_000_000)
        };
        let any = self.listed.values().any(|listed| warm(&listed));
        let empty: BTreeSet<ProxyId> = self
            .joined
            .keys()
            .copied()
            .filter(|id| any && self.lines_of(*id).is_empty())
            .collect();
        self.empty_since.retain(|id, _| empty.contains(id));
        for id in empty {
            self.empty_since.entry(id).or_insert(self.now);
        }
    }

    pub(crate) fn check(&self) {
        let over = |since: u64| self.now - since.max(self.forgiven) > GRACE.micros();
        for (id, since) in &self.empty_since {
            assert!(!over(*since), "{id:?} has had nothing to pick");
        }
        for (&id, &joined) in &self.joined {
            for (host, weight) in self.lines_of(id) {
                let listed = &self.ever_listed[host];
                let due = over(listed.told.max(joined));
                assert!(
                    listed.standing == EndpointState::Ready || !due,
                    "{host} is still used by {id:?}"
                );
                if listed.started > 0 && due {
                    let age = (self.now - listed.started) as f64 / 18e6;
                    assert!(
                        weight <= (0.2 + 0.8 * age.min(1.0)) * 1.5 + 0.01,
                        "{host}: {weight} at {age}"
                    );
                }
            }
        }
    }

    pub(crate) fn check_cap(&self) {
        for id in self.joined.keys() {
            let lately = self.messages.get(id).map_or(0, |all| {
                all.iter()
                    .filter(|at| **at > self.now.saturating_sub(WINDOW))
                    .count()
            });
            assert!(lately <= CAP, "{lately} messages to {id:?}");
        }
    }
}

fn entry(id: &str, standing: EndpointState, started: u64) -> Value {
    let lifecycle = match standing {
        EndpointState::Ready => "Ready",
        EndpointState::Draining => "Terminating",
        EndpointState::Removed => "Gone",
    };
    let zone = ["a", "b"][id.len() % 2];
    json!({"instanceId": id, "hostPort": "127.0.0.1:9", "zone": zone, "machineType": "m", "cell": 1,
        "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": started as f64 / 1e3})
}
