//! A relay whose channel to the proxies sends at a limited rate: messages wait in it in order, and are counted as the
//! platform counts them. It keeps what each proxy has applied, and answers marks.

use crate::stage::listener;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that a message counts beyond its own.
pub(crate) const MESSAGE_OVERHEAD: f64 = 3.0;
/// From leaving the channel to being applied by the proxy.
const TRANSIT: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(5);

pub(crate) struct ChannelRelay {
    pub at: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// What a message changes at its proxy.
enum Change {
    Table(BTreeSet<String>),
    Add(String),
    Remove(String),
    Level,
}

struct Message {
    proxy: u16,
    lines: f64,
    changes: Vec<Change>,
    mark: Option<u64>,
}

#[derive(Default)]
struct State {
    rate: f64,
    tables: BTreeMap<u16, BTreeSet<String>>,
    levels: BTreeMap<u16, BTreeSet<String>>,
    bound: BTreeMap<u16, u16>,
    queue: VecDeque<Message>,
    in_transit: VecDeque<(Instant, Message)>,
    waiting: f64,
    most_waiting: f64,
    held: BTreeMap<u16, BTreeSet<String>>,
    watchers: Vec<TcpStream>,
    /// Calls are carried out and not answered.
    loses_answers: bool,
    last_call: Option<Instant>,
}

impl ChannelRelay {
    /// Lines a second; the proxies that are joined.
    pub(crate) fn start(rate: f64, proxies: u16) -> ChannelRelay {
        let (listener, at) = listener();
        let state = Arc::new(Mutex::new(State {
            rate,
            ..State::default()
        }));
        let channel_state = state.clone();
        thread::spawn(move || run_channel(&channel_state));
        let serving = state.clone();
        thread::spawn(move || serve(&listener, &serving, proxies));
        ChannelRelay { at, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    pub(crate) fn set_rate(&self, rate: f64) {
        self.state().rate = rate;
    }

    /// Whether calls are carried out without an answer from now on.
    pub(crate) fn lose_answers(&self, lost: bool) {
        self.state().loses_answers = lost;
    }

    /// Breaks all connections that bring news.
    pub(crate) fn break_news(&self) {
        for watcher in self.state().watchers.drain(..) {
            // It may be gone already.
            watcher.shutdown(Shutdown::Both).ok();
        }
    }

    /// The most lines that waited at any time.
    pub(crate) fn most_waiting(&self) -> f64 {
        self.state().most_waiting
    }

    /// Proxies that may still send to a host, by what they have applied.
    pub(crate) fn holders(&self, host: &str) -> usize {
        self.state()
            .held
            .values()
            .filter(|hosts| hosts.contains(host))
            .count()
    }

    /// Tables with proxies that hold a host, by what has been ordered.
    pub(crate) fn tables_with(&self, host: &str) -> usize {
        let state = self.state();
        let used: BTreeSet<u16> = state.bound.values().copied().collect();
        state
            .tables
            .iter()
            .filter(|(table, hosts)| used.contains(table) && hosts.contains(host))
            .count()
    }

    /// How long no call has come.
    pub(crate) fn idle_for(&self) -> Option<Duration> {
        self.state().last_call.map(|at| at.elapsed())
    }

    pub(crate) fn bound(&self) -> usize {
        self.state().bound.len()
    }
}

fn run_channel(state: &Mutex<State>) {
    let mut last = Instant::now();
    loop {
        thread::sleep(STEP);
        let now = Instant::now();
        state.lock().expect("no panic").advance(now, now - last);
        last = now;
    }
}

fn serve(listener: &TcpListener, state: &Arc<Mutex<State>>, proxies: u16) {
    for stream in listener.incoming().flatten() {
        let state = state.clone();
        thread::spawn(move || talk(stream, &state, proxies));
    }
}

fn talk(mut stream: TcpStream, state: &Mutex<State>, proxies: u16) -> Option<()> {
    let reading = BufReader::new(stream.try_clone().ok()?);
    for line in reading.lines() {
        let call: Value = serde_json::from_str(&line.ok()?).expect("an object");
        if call["method"] == "relay.watch" {
            let mut watcher = stream.try_clone().ok()?;
            watcher.write_all(standing(proxies).as_bytes()).ok()?;
            state.lock().expect("no panic").watchers.push(watcher);
            thread::spawn({
                let mut stream = stream.try_clone().ok()?;
                move || {
                    while stream.write_all(b"{\"method\":\"ping\"}\n").is_ok() {
                        thread::sleep(Duration::from_millis(500));
                    }
                }
            });
            continue;
        }
        let orders = call["params"]["changes"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        let lost = {
            let mut state = state.lock().expect("no panic");
            state.apply(orders);
            state.loses_answers
        };
        if lost {
            continue;
        }
        let (id, count) = (&call["id"], orders.len());
        let answer =
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{{\"ok_count\":{count}}}}}\n");
        stream.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

/// What a watcher is told first: all proxies that are joined.
fn standing(proxies: u16) -> String {
    let joined = |id| {
        format!(
            "{{\"method\":\"joined\",\"params\":{{\"id\":{id},\"site\":\"a\",\"rps\":4.0,\"new\":true}}}}\n"
        )
    };
    let first = "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n".to_string();
    first + &(0..proxies).map(joined).collect::<String>()
}

impl State {
    /// Puts the messages of one call into the queue.
    fn apply(&mut self, orders: &[Value]) {
        self.last_call = Some(Instant::now());
        let mut changes: BTreeMap<u16, Vec<Change>> = BTreeMap::new();
        let mut lines: BTreeMap<u16, f64> = BTreeMap::new();
        let mut mark = None;
        for order in orders {
            let table = order["cluster"].as_u64().unwrap_or_default() as u16;
            match order["verb"].as_str().expect("a verb") {
                "mark" => mark = order["nonce_out"].as_u64(),
                "bind" => {
                    let proxy = order["id"].as_u64().expect("a proxy") as u16;
                    let hosts = self.tables.get(&table).cloned().unwrap_or_default();
                    let levels = self.levels.get(&table).map_or(0, BTreeSet::len);
                    *lines.entry(proxy).or_default() += (1 + hosts.len() + levels) as f64;
                    changes.entry(proxy).or_default().push(Change::Table(hosts));
                    self.bound.insert(proxy, table);
                }
                verb => {
                    let users: Vec<u16> = self
                        .bound
                        .iter()
                        .filter(|(_, t)| **t == table)
                        .map(|(id, _)| *id)
                        .collect();
                    for proxy in users {
                        *lines.entry(proxy).or_default() += 1.0;
                        changes
                            .entry(proxy)
                            .or_default()
                            .push(change_of(verb, order));
                    }
                    self.change_table(verb, table, order);
                }
            }
        }
        for (proxy, changes) in changes {
            let lines = lines[&proxy] + MESSAGE_OVERHEAD + f64::from(u8::from(mark.is_some()));
            self.waiting += lines;
            self.queue.push_back(Message {
                proxy,
                lines,
                changes,
                mark,
            });
        }
        self.most_waiting = self.most_waiting.max(self.waiting);
    }

    fn change_table(&mut self, verb: &str, table: u16, order: &Value) {
        match change_of(verb, order) {
            Change::Add(host) => drop(self.tables.entry(table).or_default().insert(host)),
            Change::Remove(host) => drop(self.tables.entry(table).or_default().remove(&host)),
            Change::Level => {
                let kinds = self.levels.entry(table).or_default();
                kinds.insert(order["routes"].to_string());
            }
            Change::Table(_) => unreachable!("no table is set as a whole"),
        }
    }

    fn advance(&mut self, now: Instant, passed: Duration) {
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
        let held = self.held.entry(message.proxy).or_default();
        for change in message.changes {
            match change {
                Change::Table(hosts) => *held = hosts,
                Change::Add(host) => drop(held.insert(host)),
                Change::Remove(host) => drop(held.remove(&host)),
                Change::Level => {}
            }
        }
        if let Some(mark) = message.mark {
            let proxy = message.proxy;
            let applied = format!(
                "{{\"method\":\"applied\",\"params\":{{\"id\":{proxy},\"seq\":{mark},\"ms\":1.0}}}}\n"
            );
            // A watcher that is gone hears nothing.
            self.watchers
                .retain_mut(|watcher| watcher.write_all(applied.as_bytes()).is_ok());
        }
    }
}

fn change_of(verb: &str, order: &Value) -> Change {
    let host = || order["target"].as_str().expect("a host").to_string();
    match verb {
        "share" if order["rps"].as_f64() == Some(0.0) => Change::Remove(host()),
        "share" => Change::Add(host()),
        "admit" => Change::Level,
        other => panic!("'{other}' is no order that this relay knows"),
    }
}
