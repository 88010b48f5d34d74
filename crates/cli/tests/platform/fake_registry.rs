//! A registry on loopback: the complete list to whoever asks, and each change to all that watch.

use crate::scripted_peers::{bind_listener, write_chunked_line};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time between two signs of life on a watch.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// A host as it is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Listed {
    pub lifecycle: &'static str,
    /// Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

impl Listed {
    pub(crate) const READY: Listed = Listed {
        lifecycle: "Ready",
        started_ms: 0,
    };

    /// Ready, and started just now.
    pub(crate) fn just_started() -> Listed {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Listed {
            lifecycle: "Ready",
            started_ms: now.expect("after 1970").as_millis() as u64,
        }
    }
}

#[derive(Default)]
struct State {
    generation: u64,
    listed: BTreeMap<String, Listed>,
    watchers: Vec<TcpStream>,
}

pub(crate) struct FakeRegistry {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeRegistry {
    pub(crate) fn start(hosts: &[String]) -> FakeRegistry {
        let (listener, address) = bind_listener();
        let listed = hosts.iter().map(|host| (host.clone(), Listed::READY));
        let state = Arc::new(Mutex::new(State {
            generation: 1,
            listed: listed.collect(),
            ..State::default()
        }));
        let serving = state.clone();
        thread::spawn(move || serve(&listener, &serving));
        FakeRegistry { address, state }
    }

    /// Another address of the same registry.
    pub(crate) fn listen_elsewhere(&self) -> SocketAddr {
        let (listener, address) = bind_listener();
        let serving = self.state.clone();
        thread::spawn(move || serve(&listener, &serving));
        address
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Lists hosts otherwise, in one change.
    pub(crate) fn change(&self, changes: &[(String, Listed)]) {
        let mut state = self.state();
        state.generation += 1;
        for (host, listed) in changes {
            if listed.lifecycle == "Gone" {
                state.listed.remove(host);
            } else {
                state.listed.insert(host.clone(), *listed);
            }
        }
        let entries = changes.iter().map(|(host, listed)| entry(host, *listed));
        let list = json!({"generation": state.generation, "reset": false, "instances": entries.collect::<Vec<_>>()});
        let line = list.to_string();
        state
            .watchers
            .retain_mut(|watcher| write_chunked_line(watcher, &line).is_some());
    }

    /// Breaks all watches.
    pub(crate) fn break_watches(&self) {
        for watcher in self.state().watchers.drain(..) {
            // It may be gone already.
            watcher.shutdown(Shutdown::Both).ok();
        }
    }

    /// The complete list, as a configuration's `known` has it.
    pub(crate) fn complete_list(&self) -> Value {
        self.state().complete_list()
    }
}

impl State {
    fn complete_list(&self) -> Value {
        let listed = self.listed.iter();
        let entries: Vec<Value> = listed.map(|(host, listed)| entry(host, *listed)).collect();
        json!({"generation": self.generation, "reset": true, "instances": entries})
    }
}

fn entry(host: &str, listed: Listed) -> Value {
    json!({"instanceId": host, "hostPort": "127.0.0.1:9", "zone": "a", "machineType": "m", "cell": 1,
        "lifecycle": listed.lifecycle, "weight": 1.0, "startedAtMs": listed.started_ms})
}

fn serve(listener: &TcpListener, state: &Arc<Mutex<State>>) {
    for stream in listener.incoming().flatten() {
        let state = state.clone();
        thread::spawn(move || answer(stream, &state));
    }
}

fn answer(mut stream: TcpStream, state: &Mutex<State>) -> Option<()> {
    let mut head = String::new();
    let mut reading = BufReader::new(stream.try_clone().ok()?);
    while !head.ends_with("\r\n\r\n") {
        reading.read_line(&mut head).ok().filter(|read| *read > 0)?;
    }
    if !head.contains("follow=1") {
        let list = state.lock().expect("no panic").complete_list().to_string();
        let length = list.len();
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{list}");
        return stream.write_all(answer.as_bytes()).ok();
    }
    let mut kept_alive = stream.try_clone().ok()?;
    {
        let mut state = state.lock().expect("no panic");
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            .ok()?;
        write_chunked_line(&mut stream, &state.complete_list().to_string())?;
        state.watchers.push(stream);
    }
    loop {
        thread::sleep(KEEP_ALIVE);
        let _ordered = state.lock().expect("no panic");
        write_chunked_line(&mut kept_alive, "")?;
    }
}
