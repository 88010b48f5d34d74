//! A relay whose channel to the proxies sends at a limited rate: messages wait in it in order, and are counted as the
//! platform counts them. It keeps what each proxy has applied, and answers marks.

use crate::channel_state::State;
pub(crate) use crate::channel_state::{CallFault, HeldTable, MESSAGE_OVERHEAD};
use crate::scripted_peers::bind_listener;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);

pub(crate) struct ChannelRelay {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl ChannelRelay {
    /// Lines a second; the proxies that are joined.
    pub(crate) fn start(rate: f64, proxies: u16) -> ChannelRelay {
        let (listener, address) = bind_listener();
        let state = Arc::new(Mutex::new(State::new(rate, proxies)));
        let channel_state = state.clone();
        thread::spawn(move || run_channel(&channel_state));
        let serving = state.clone();
        thread::spawn(move || serve(&listener, &serving));
        ChannelRelay { address, state }
    }

    /// Another address of the same relay.
    pub(crate) fn listen_elsewhere(&self) -> SocketAddr {
        let (listener, address) = bind_listener();
        let serving = self.state.clone();
        thread::spawn(move || serve(&listener, &serving));
        address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    pub(crate) fn set_rate(&self, rate: f64) {
        self.state().rate = rate;
    }

    /// How calls are answered from now on.
    pub(crate) fn set_fault(&self, fault: CallFault) {
        self.state().fault = fault;
    }

    /// Breaks all connections that bring news.
    pub(crate) fn break_news(&self) {
        for watcher in self.state().watchers.drain(..) {
            // It may be gone already.
            watcher.shutdown(Shutdown::Both).ok();
        }
    }

    /// The controller was killed: what it ordered and what is on its way is lost.
    pub(crate) fn forget_controller(&self) {
        self.state().forget_controller();
    }

    pub(crate) fn leave(&self, proxy: u16) {
        self.state().leave(proxy);
    }

    pub(crate) fn join(&self, proxy: u16) {
        self.state().join(proxy);
    }

    /// The most lines that waited at any time.
    pub(crate) fn most_waiting(&self) -> f64 {
        self.state().most_waiting
    }

    /// The most messages that were written to one proxy within the window that they are counted in.
    pub(crate) fn most_messages(&self) -> usize {
        self.state().most_messages
    }

    /// What each joined proxy holds.
    pub(crate) fn held_tables(&self) -> BTreeMap<u16, HeldTable> {
        let state = self.state();
        let joined = |proxy: &u16| state.joined.contains(proxy);
        let held = state.held.iter().filter(|(proxy, _)| joined(proxy));
        held.map(|(&proxy, table)| (proxy, table.clone())).collect()
    }

    /// Proxies that may still send to a host, by what they have applied.
    pub(crate) fn holders(&self, host: &str) -> usize {
        self.state()
            .held
            .values()
            .filter(|held| held.weights.contains_key(host))
            .count()
    }

    /// Tables with proxies that hold a host, by what has been ordered.
    pub(crate) fn tables_with(&self, host: &str) -> usize {
        let state = self.state();
        let used: BTreeSet<u16> = state.bound.values().copied().collect();
        state
            .tables
            .iter()
            .filter(|(table, weights)| used.contains(table) && weights.contains_key(host))
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

fn serve(listener: &TcpListener, state: &Arc<Mutex<State>>) {
    for stream in listener.incoming().flatten() {
        let state = state.clone();
        thread::spawn(move || talk(stream, &state));
    }
}

fn talk(mut stream: TcpStream, state: &Mutex<State>) -> Option<()> {
    let reading = BufReader::new(stream.try_clone().ok()?);
    for line in reading.lines() {
        let call: Value = serde_json::from_str(&line.ok()?).expect("an object");
        if call["method"] == "relay.watch" {
            watch(&stream, state)?;
            continue;
        }
        let orders = call["params"]["changes"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        let id = &call["id"];
        let outcome = {
            let mut state = state.lock().expect("no panic");
            match state.fault {
                CallFault::None => format!("\"result\":{{\"ok_count\":{}}}", state.apply(orders)),
                CallFault::AnswerLost => {
                    state.apply(orders);
                    continue;
                }
                CallFault::Busy => "\"error\":{\"code\":1,\"message\":\"BUSY\"}".to_string(),
            }
        };
        let answer = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},{outcome}}}\n");
        stream.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

/// Tells the connection who is joined, and all news from now on.
fn watch(stream: &TcpStream, state: &Mutex<State>) -> Option<()> {
    let mut watcher = stream.try_clone().ok()?;
    let mut pinged = stream.try_clone().ok()?;
    let mut state = state.lock().expect("no panic");
    watcher.write_all(state.standing().as_bytes()).ok()?;
    state.watchers.push(watcher);
    thread::spawn(move || {
        while pinged.write_all(b"{\"method\":\"ping\"}\n").is_ok() {
            thread::sleep(Duration::from_millis(500));
        }
    });
    Some(())
}
