//! A party that does nothing by itself: the test reads what reached it and says what it answers, so that an event is
//! held back until the other one has happened.

use crate::controller_process::ControllerProcess;
use crate::stage::{SOON, host, list_of};
use serde_json::Value;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happened on which connection, counted from 0 in the order they came.
#[derive(Debug)]
pub(crate) enum Event {
    Came(usize),
    Line(usize, String),
    Closed(usize),
}

pub(crate) struct Party {
    pub at: SocketAddr,
    events: Receiver<Event>,
    /// What was passed over while something else was waited for.
    passed: VecDeque<Event>,
    streams: Arc<Mutex<Vec<Option<TcpStream>>>>,
}

impl Party {
    pub(crate) fn open() -> Party {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let (say, events) = channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let held = Arc::clone(&streams);
        thread::spawn(move || {
            for (who, stream) in listener.incoming().flatten().enumerate() {
                let reading = BufReader::new(stream.try_clone().expect("a second handle"));
                held.lock().expect("no panic").push(Some(stream));
                // The test may be over.
                say.send(Event::Came(who)).ok();
                let say = say.clone();
                thread::spawn(move || {
                    reading
                        .lines()
                        .map_while(Result::ok)
                        .for_each(|line| drop(say.send(Event::Line(who, line))));
                    say.send(Event::Closed(who)).ok();
                });
            }
        });
        Party {
            at,
            events,
            passed: VecDeque::new(),
            streams,
        }
    }

    /// The first event, of those not yet taken, that `fits` makes something of; the others stay.
    fn wait<T>(&mut self, what: &str, fits: impl Fn(&Event) -> Option<T>) -> T {
        if let Some(place) = self.passed.iter().position(|event| fits(event).is_some()) {
            let event = self.passed.remove(place).expect("it is there");
            return fits(&event).expect("it fits");
        }
        let until = Instant::now() + SOON;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let event = self
                .events
                .recv_timeout(left)
                .unwrap_or_else(|_| panic!("'{what}' never came"));
            if let Some(found) = fits(&event) {
                return found;
            }
            self.passed.push_back(event);
        }
    }

    /// A line with that in it, and on which connection.
    pub(crate) fn line(&mut self, with: &str) -> (usize, String) {
        self.wait(with, |event| match event {
            Event::Line(who, line) if line.contains(with) => Some((*who, line.clone())),
            _ => None,
        })
    }

    pub(crate) fn came(&mut self) -> usize {
        self.wait("a connection", |event| {
            if let Event::Came(who) = event {
                Some(*who)
            } else {
                None
            }
        })
    }

    pub(crate) fn closed(&mut self, who: usize) {
        let of = |event: &Event| matches!(event, Event::Closed(gone) if *gone == who).then_some(());
        self.wait(&format!("the end of connection {who}"), of);
    }

    /// Whether a connection has ended by now.
    pub(crate) fn has_closed(&mut self, who: usize) -> bool {
        self.passed.extend(self.events.try_iter());
        self.passed
            .iter()
            .any(|event| matches!(event, Event::Closed(gone) if *gone == who))
    }

    /// Lines with that in them that came by now and were not taken.
    pub(crate) fn line_count(&mut self, with: &str) -> usize {
        self.passed.extend(self.events.try_iter());
        self.passed
            .iter()
            .filter(|event| matches!(event, Event::Line(_, line) if line.contains(with)))
            .count()
    }

    /// Connections so far.
    pub(crate) fn count(&self) -> usize {
        self.streams.lock().expect("no panic").len()
    }

    /// The other end may be gone: then nobody hears it.
    pub(crate) fn say(&self, who: usize, text: &str) {
        if let Some(stream) = self.streams.lock().expect("no panic")[who].as_mut() {
            stream.write_all(text.as_bytes()).ok();
        }
    }

    /// Ends a connection in an orderly way.
    pub(crate) fn close(&self, who: usize) {
        if let Some(stream) = self.streams.lock().expect("no panic")[who].take() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    pub(crate) fn reset(&self, who: usize) {
        if let Some(stream) = self.streams.lock().expect("no panic")[who].take() {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("set");
            // Ends the reader, whose handle would keep the connection.
            stream.shutdown(Shutdown::Read).ok();
        }
    }

    // ---- As a relay ----

    /// The connection that asks for news, told who stands, without a sign of life.
    pub(crate) fn watcher(&mut self, standing: &[u16]) -> usize {
        let (who, _) = self.line("relay.watch");
        self.say(who, "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n");
        standing
            .iter()
            .for_each(|&proxy| self.say(who, &joined(proxy)));
        who
    }

    /// The next call with that in it, not answered yet; all calls before it are taken.
    pub(crate) fn call(&mut self, with: &str) -> (usize, Value) {
        loop {
            let (who, line) = self.line("relay.apply");
            let call: Value = serde_json::from_str(&line).expect("an object");
            if line.contains(with) {
                return (who, call);
            }
            self.take(who, &call);
        }
    }

    pub(crate) fn take(&self, who: usize, call: &Value) {
        let orders = call["params"]["changes"].as_array().expect("orders").len();
        self.say(
            who,
            &answer(call, &format!("\"result\":{{\"ok_count\":{orders}}}")),
        );
    }

    /// Takes all calls up to one with that in it.
    pub(crate) fn takes(&mut self, with: &str) -> usize {
        let (who, call) = self.call(with);
        self.take(who, &call);
        who
    }

    // ---- As discovery ----

    /// Answers a question for the whole list.
    pub(crate) fn lists(&mut self, version: u64, hosts: &[String]) {
        let (who, _) = self.line("GET /registry/instances HTTP");
        let list = list_of(version, hosts);
        self.say(
            who,
            &format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
                list.len()
            ),
        );
    }

    /// The next watch from there on, its answer begun.
    pub(crate) fn watch(&mut self, since: u64) -> usize {
        let (who, _) = self.line(&format!("follow=1&since={since} "));
        self.say(who, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        who
    }

    /// A piece of a watch's answer.
    pub(crate) fn piece(&self, who: usize, text: &str) {
        self.say(who, &format!("{:x}\r\n{text}\r\n", text.len()));
    }
}

pub(crate) fn joined(proxy: u16) -> String {
    format!(
        "{{\"method\":\"joined\",\"params\":{{\"id\":{proxy},\"site\":\"a\",\"rps\":4.0,\"new\":true}}}}\n"
    )
}

pub(crate) const ALIVE: &str = "{\"method\":\"ping\"}\n";

/// An answer to a call, with this as its outcome.
pub(crate) fn answer(call: &Value, outcome: &str) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{},{outcome}}}\n", call["id"])
}

/// Changes of some hosts, as a line of a watch.
pub(crate) fn changes(version: u64, hosts: &[String]) -> String {
    list_of(version, hosts).replace("\"reset\":true", "\"reset\":false") + "\n"
}

/// A controller that serves so many proxies, and the connections it has.
pub(crate) struct Served {
    pub controller: ControllerProcess,
    pub relay: Party,
    pub discovery: Party,
    pub news: usize,
    pub caller: usize,
    pub watch: usize,
}

impl Served {
    pub(crate) fn with(proxies: u16) -> Served {
        let (mut relay, mut discovery) = (Party::open(), Party::open());
        let controller = ControllerProcess::start(discovery.at, relay.at);
        let watch = discovery.watch(1);
        discovery.piece(watch, "\n");
        let news = relay.watcher(&(0..proxies).collect::<Vec<_>>());
        relay.say(news, ALIVE);
        let last = format!("\"bind\",\"id\":{}", proxies - 1);
        let caller = relay.takes(&last);
        Served {
            controller,
            relay,
            discovery,
            news,
            caller,
            watch,
        }
    }

    /// Discovery tells that host `n` drains.
    pub(crate) fn drains(&self, version: u64, n: usize) {
        self.discovery
            .piece(self.watch, &changes(version, &[host(1, n, "Terminating")]));
    }
}

/// A listener whose connections take in little at a time, and where it listens.
pub(crate) fn narrow_listener() -> (TcpListener, SocketAddr) {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(2_048).expect("set");
    socket
        .bind(
            &"127.0.0.1:0"
                .parse::<SocketAddr>()
                .expect("an address")
                .into(),
        )
        .expect("bound");
    socket.listen(8).expect("listens");
    let listener = TcpListener::from(socket);
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// Accepts as a relay, and lets twenty proxies join at once: binds and lines that take more than a narrow window. Gives
/// the connection with that call on it, nothing of it read yet.
pub(crate) fn caller_with_a_call(relay: &TcpListener) -> TcpStream {
    let accept = || relay.accept().expect("a connection").0;
    let (mut caller, mut news) = (accept(), accept());
    // Before anybody has joined only one of them says something.
    caller
        .set_read_timeout(Some(Duration::from_millis(200)))
        .expect("a limit");
    if caller.read(&mut [0; 64]).is_ok() {
        std::mem::swap(&mut caller, &mut news);
    }
    let mut said = "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n".to_string();
    (0..20).for_each(|proxy| said += &joined(proxy));
    news.write_all(said.as_bytes()).expect("written");
    // Held open to the end of the test's process: news go on, silent.
    std::mem::forget(news);
    caller.set_read_timeout(Some(SOON)).expect("a limit");
    caller
}

/// The order that takes host `n` of the first list off a table.
pub(crate) fn off(n: usize) -> String {
    // To its end: a small part of a host begins with the same digits.
    format!("\"target\":\"s-1-{n}\",\"rps\":0.0}}")
}
