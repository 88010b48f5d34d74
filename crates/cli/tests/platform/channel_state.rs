//! What a relay keeps: the tables that were ordered, the messages that wait in its channel, and what each proxy holds.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Lines that a message counts beyond its own.
pub(crate) const MESSAGE_OVERHEAD: f64 = 3.0;
/// From leaving the channel to being applied by the proxy.
const TRANSIT: Duration = Duration::from_millis(200);
/// Span over which the messages to a proxy are counted.
const MESSAGE_WINDOW: Duration = Duration::from_secs(10);

/// The lines of a table: hosts and their weights.
pub(crate) type Weights = BTreeMap<String, f64>;

/// How calls are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFault {
    None,
    /// Carried out, and not answered.
    AnswerLost,
    /// Not carried out, and answered with `BUSY`.
    Busy,
}

/// What a message changes at its proxy.
enum Change {
    Table(Weights),
    Set(String, f64),
    Remove(String),
    Admission,
}

struct Message {
    proxy: u16,
    lines: f64,
    changes: Vec<Change>,
    mark: Option<u64>,
    sent_at: Instant,
}

/// What a proxy holds.
#[derive(Clone)]
pub(crate) struct HeldTable {
    pub weights: Weights,
    /// When the last message that it has applied was ordered; none: before the present controller started.
    pub ordered_at: Option<Instant>,
}

pub(crate) struct State {
    pub(super) rate: f64,
    pub(super) fault: CallFault,
    pub(super) joined: BTreeSet<u16>,
    pub(super) tables: BTreeMap<u16, Weights>,
    admissions: BTreeMap<u16, BTreeSet<String>>,
    pub(super) bound: BTreeMap<u16, u16>,
    queue: VecDeque<Message>,
    in_transit: VecDeque<(Instant, Message)>,
    waiting: f64,
    pub(super) most_waiting: f64,
    pub(super) held: BTreeMap<u16, HeldTable>,
    written: BTreeMap<u16, VecDeque<Instant>>,
    pub(super) most_messages: usize,
    pub(super) watchers: Vec<TcpStream>,
    pub(super) last_call: Option<Instant>,
}

impl State {
    pub(super) fn new(rate: f64, proxies: u16) -> State {
        State {
            rate,
            fault: CallFault::None,
            joined: (0..proxies).collect(),
            tables: BTreeMap::new(),
            admissions: BTreeMap::new(),
            bound: BTreeMap::new(),
            queue: VecDeque::new(),
            in_transit: VecDeque::new(),
            waiting: 0.0,
            most_waiting: 0.0,
            held: BTreeMap::new(),
            written: BTreeMap::new(),
            most_messages: 0,
            watchers: Vec::new(),
            last_call: None,
        }
    }

    /// The controller is gone, and with it all that it ordered and that is on its way; proxies keep what they hold.
    pub(super) fn forget_controller(&mut self) {
        self.tables.clear();
        self.admissions.clear();
        self.bound.clear();
        self.queue.clear();
        self.in_transit.clear();
        self.waiting = 0.0;
        self.written.clear();
        self.watchers.clear();
        for held in self.held.values_mut() {
            held.ordered_at = None;
        }
    }

    pub(super) fn leave(&mut self, proxy: u16) {
        self.joined.remove(&proxy);
        self.bound.remove(&proxy);
        self.written.remove(&proxy);
        self.queue.retain(|message| message.proxy != proxy);
        self.in_transit
            .retain(|(_, message)| message.proxy != proxy);
        self.waiting = self.queue.iter().map(|message| message.lines).sum();
        self.notify(&format!(
            "{{\"method\":\"left\",\"params\":{{\"id\":{proxy}}}}}\n"
        ));
    }

    /// The proxy joins with what it holds.
    pub(super) fn join(&mut self, proxy: u16) {
        self.joined.insert(proxy);
        self.notify(&joined_event(proxy, false));
    }

    /// What a watcher is told first: all proxies that are joined.
    pub(super) fn standing(&self) -> String {
        let joined = self.joined.iter();
        let events = joined.map(|&proxy| joined_event(proxy, !self.held.contains_key(&proxy)));
        let first = "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n".to_string();
        first + &events.collect::<String>()
    }

    /// A watcher that is gone hears nothing.
    fn notify(&mut self, event: &str) {
        self.watchers
            .retain_mut(|watcher| watcher.write_all(event.as_bytes()).is_ok());
    }

    /// Puts the messages of one call into the queue; gives how many orders were taken.
    pub(super) fn apply(&mut self, orders: &[Value]) -> usize {
        let now = Instant::now();
        self.last_call = Some(now);
        let mut changes: BTreeMap<u16, Vec<Change>> = BTreeMap::new();
        let mut lines: BTreeMap<u16, f64> = BTreeMap::new();
        let mut mark = None;
        let mut taken = 0;
        for order in orders {
            let table = order["cluster"].as_u64().unwrap_or_default() as u16;
            match order["verb"].as_str().expect("a verb") {
                "mark" => mark = order["nonce_out"].as_u64(),
                "bind" => {
                    let proxy = order["id"].as_u64().expect("a proxy") as u16;
                    if !self.joined.contains(&proxy) {
                        break;
                    }
                    let weights = self.tables.get(&table).cloned().unwrap_or_default();
                    let admissions = self.admissions.get(&table).map_or(0, BTreeSet::len);
                    *lines.entry(proxy).or_default() += (1 + weights.len() + admissions) as f64;
                    changes
                        .entry(proxy)
                        .or_default()
                        .push(Change::Table(weights));
                    self.bound.insert(proxy, table);
                }
                verb => {
                    for proxy in self.users(table) {
                        *lines.entry(proxy).or_default() += 1.0;
                        let change = change_of(verb, order);
                        changes.entry(proxy).or_default().push(change);
                    }
                    self.change_table(verb, table, order);
                }
            }
            taken += 1;
        }
        for (proxy, changes) in changes {
            let lines = lines[&proxy] + MESSAGE_OVERHEAD + f64::from(u8::from(mark.is_some()));
            self.send(Message {
                proxy,
                lines,
                changes,
                mark,
                sent_at: now,
            });
        }
        taken
    }

    fn users(&self, table: u16) -> Vec<u16> {
        let users = self.bound.iter().filter(|(_, bound)| **bound == table);
        users.map(|(proxy, _)| *proxy).collect()
    }

    fn send(&mut self, message: Message) {
        let written = self.written.entry(message.proxy).or_default();
        written.push_back(message.sent_at);
        while written
            .front()
            .is_some_and(|at| message.sent_at - *at >= MESSAGE_WINDOW)
        {
            written.pop_front();
        }
        self.most_messages = self.most_messages.max(written.len());
        self.waiting += message.lines;
        self.most_waiting = self.most_waiting.max(self.waiting);
        self.queue.push_back(message);
    }

    fn change_table(&mut self, verb: &str, table: u16, order: &Value) {
        match change_of(verb, order) {
            Change::Set(host, weight) => {
                self.tables.entry(table).or_default().insert(host, weight);
            }
            Change::Remove(host) => {
                self.tables.entry(table).or_default().remove(&host);
            }
            Change::Admission => {
                let classes = self.admissions.entry(table).or_default();
                classes.insert(order["routes"].to_string());
            }
            Change::Table(_) => unreachable!("no table is set as a whole"),
        }
    }

    /// Lets the channel send for so long.
    pub(super) fn advance(&mut self, now: Instant, passed: Duration) {
        let mut budget = self.rate * passed.as_secs_f64();
        while let Some(message) = self.queue.front_mut() {
            let sent = message.lines.min(budget);
            message.lines -= sent;
            budget -= sent;
            self.waiting -= sent;
            if message.lines > 0.0 {
                break;
            }
            self.in_transit.extend(
                self.queue
                    .pop_front()
                    .map(|message| (now + TRANSIT, message)),
            );
        }
        while self.in_transit.front().is_some_and(|(at, _)| *at <= now) {
            let (_, message) = self.in_transit.pop_front().expect("it is there");
            self.arrive(message);
        }
    }

    fn arrive(&mut self, message: Message) {
        let held = self.held.entry(message.proxy).or_insert(HeldTable {
            weights: Weights::new(),
            ordered_at: None,
        });
        held.ordered_at = Some(message.sent_at);
        for change in message.changes {
            match change {
                Change::Table(weights) => held.weights = weights,
                Change::Set(host, weight) => drop(held.weights.insert(host, weight)),
                Change::Remove(host) => drop(held.weights.remove(&host)),
                Change::Admission => {}
            }
        }
        if let Some(mark) = message.mark {
            let proxy = message.proxy;
            self.notify(&format!(
                "{{\"method\":\"applied\",\"params\":{{\"id\":{proxy},\"seq\":{mark},\"ms\":1.0}}}}\n"
            ));
        }
    }
}

fn joined_event(proxy: u16, is_new: bool) -> String {
    format!(
        "{{\"method\":\"joined\",\"params\":{{\"id\":{proxy},\"site\":\"a\",\"rps\":4.0,\"new\":{is_new}}}}}\n"
    )
}

fn change_of(verb: &str, order: &Value) -> Change {
    let host = || order["target"].as_str().expect("a host").to_string();
    match verb {
        "share" => match order["rps"].as_f64().expect("a weight") {
            0.0 => Change::Remove(host()),
            weight => Change::Set(host(), weight),
        },
        "admit" => Change::Admission,
        other => panic!("'{other}' is no order that this relay knows"),
    }
}
