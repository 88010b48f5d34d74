//! A peer that sends nothing by itself: the test reads what the peer received and decides what it sends, so that one
//! event can be held back until another has happened.

use crate::controller_process::ControllerProcess;
use crate::scripted_peers::{TIMEOUT, endpoint_list, host_entry};
use serde_json::Value;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happened on a connection. Connections are numbered from 0 in the order in which they were accepted.
#[derive(Debug)]
pub(crate) enum Event {
    Connected(usize),
    Line(usize, String),
    Closed(usize),
}

/// A peer with any number of connections.
pub(crate) struct ManualPeer {
    pub address: SocketAddr,
    events: Receiver<Event>,
    /// Events that arrived while the test waited for another one.
    unclaimed: VecDeque<Event>,
    streams: Arc<Mutex<Vec<Option<TcpStream>>>>,
}

impl ManualPeer {
    pub(crate) fn start() -> ManualPeer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
        let address = listener.local_addr().expect("no local address");
        let (sender, events) = channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let accepted = Arc::clone(&streams);
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let reader = BufReader::new(stream.try_clone().expect("cannot clone the stream"));
                accepted
                    .lock()
                    .expect("a thread panicked")
                    .push(Some(stream));
                // The test may have ended.
                sender.send(Event::Connected(connection)).ok();
                let sender = sender.clone();
                thread::spawn(move || {
                    reader
                        .lines()
                        .map_while(Result::ok)
                        .for_each(|line| drop(sender.send(Event::Line(connection, line))));
                    sender.send(Event::Closed(connection)).ok();
                });
            }
        });
        ManualPeer {
            address,
            events,
            unclaimed: VecDeque::new(),
            streams,
        }
    }

    /// Waits for the first unclaimed event for which `select` returns a value, and claims it; the others stay unclaimed.
    fn wait_for_event<T>(&mut self, description: &str, select: impl Fn(&Event) -> Option<T>) -> T {
        if let Some(index) = self
            .unclaimed
            .iter()
            .position(|event| select(event).is_some())
        {
            let event = self.unclaimed.remove(index).expect("position is in range");
            return select(&event).expect("the event was selected");
        }
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let event = self
                .events
                .recv_timeout(remaining)
                .unwrap_or_else(|_| panic!("'{description}' did not arrive in time"));
            if let Some(found) = select(&event) {
                return found;
            }
            self.unclaimed.push_back(event);
        }
    }

    /// Waits for a line that contains `text`; returns its connection and the line.
    pub(crate) fn wait_for_line(&mut self, text: &str) -> (usize, String) {
        self.wait_for_event(text, |event| match event {
            Event::Line(connection, line) if line.contains(text) => {
                Some((*connection, line.clone()))
            }
            _ => None,
        })
    }

    /// Waits for a new connection.
    pub(crate) fn wait_for_connection(&mut self) -> usize {
        self.wait_for_event("a connection", |event| {
            if let Event::Connected(connection) = event {
                Some(*connection)
            } else {
                None
            }
        })
    }

    /// Waits until the other end has closed a connection.
    pub(crate) fn wait_for_close(&mut self, connection: usize) {
        let is_close = |event: &Event| {
            matches!(event, Event::Closed(closed) if *closed == connection).then_some(())
        };
        self.wait_for_event(&format!("the end of connection {connection}"), is_close);
    }

    /// Whether the other end has closed a connection by now.
    pub(crate) fn has_closed(&mut self, connection: usize) -> bool {
        self.unclaimed.extend(self.events.try_iter());
        self.unclaimed
            .iter()
            .any(|event| matches!(event, Event::Closed(closed) if *closed == connection))
    }

    /// The number of unclaimed lines so far that contain `text`.
    pub(crate) fn unclaimed_line_count(&mut self, text: &str) -> usize {
        self.unclaimed.extend(self.events.try_iter());
        self.unclaimed
            .iter()
            .filter(|event| matches!(event, Event::Line(_, line) if line.contains(text)))
            .count()
    }

    /// The number of connections accepted so far.
    pub(crate) fn connection_count(&self) -> usize {
        self.streams.lock().expect("a thread panicked").len()
    }

    /// Sends a text; it is lost if the other end has gone.
    pub(crate) fn send(&self, connection: usize, text: &str) {
        if let Some(stream) = self.streams.lock().expect("a thread panicked")[connection].as_mut() {
            stream.write_all(text.as_bytes()).ok();
        }
    }

    /// Closes a connection with FIN.
    pub(crate) fn close(&self, connection: usize) {
        if let Some(stream) = self.streams.lock().expect("a thread panicked")[connection].take() {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Closes a connection with RST.
    pub(crate) fn reset(&self, connection: usize) {
        if let Some(stream) = self.streams.lock().expect("a thread panicked")[connection].take() {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("cannot set the socket option");
            // Ends the reader thread, whose handle would keep the connection open.
            stream.shutdown(Shutdown::Read).ok();
        }
    }

    // ---- The relay's side ----

    /// Waits for a membership watch and lists the joined proxies on it, without a ping; returns its connection.
    pub(crate) fn accept_membership_watch(&mut self, joined: &[u16]) -> usize {
        let (connection, _) = self.wait_for_line("relay.watch");
        self.send(
            connection,
            "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n",
        );
        joined
            .iter()
            .for_each(|&proxy| self.send(connection, &joined_event(proxy)));
        connection
    }

    /// Waits for an update call that contains `text` and leaves it unanswered; accepts all calls before it.
    pub(crate) fn wait_for_call(&mut self, text: &str) -> (usize, Value) {
        loop {
            let (connection, line) = self.wait_for_line("relay.apply");
            let call: Value = serde_json::from_str(&line).expect("the line is not JSON");
            if line.contains(text) {
                return (connection, call);
            }
            self.accept_call(connection, &call);
        }
    }

    /// Answers that all changes of a call were accepted.
    pub(crate) fn accept_call(&self, connection: usize, call: &Value) {
        let changes = call["params"]["changes"]
            .as_array()
            .expect("no changes")
            .len();
        self.send(
            connection,
            &response(call, &format!("\"result\":{{\"ok_count\":{changes}}}")),
        );
    }

    /// Accepts all update calls up to and including one that contains `text`; returns its connection.
    pub(crate) fn accept_calls_until(&mut self, text: &str) -> usize {
        let (connection, call) = self.wait_for_call(text);
        self.accept_call(connection, &call);
        connection
    }

    // ---- The registry's side ----

    /// Waits for a request for the complete list and answers it.
    pub(crate) fn send_list(&mut self, generation: u64, hosts: &[String]) {
        let (connection, _) = self.wait_for_line("GET /registry/instances HTTP");
        let list = endpoint_list(generation, hosts);
        self.send(
            connection,
            &format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
                list.len()
            ),
        );
    }

    /// Waits for a watch from generation `since` on and sends the head of the response; returns its connection.
    pub(crate) fn accept_watch(&mut self, since: u64) -> usize {
        let (connection, _) = self.wait_for_line(&format!("follow=1&since={since} "));
        self.send(
            connection,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        );
        connection
    }

    /// Sends one chunk of a watch's response.
    pub(crate) fn send_chunk(&self, connection: usize, text: &str) {
        self.send(connection, &format!("{:x}\r\n{text}\r\n", text.len()));
    }
}

/// A relay's event that a proxy has joined.
pub(crate) fn joined_event(proxy: u16) -> String {
    format!(
        "{{\"method\":\"joined\",\"params\":{{\"id\":{proxy},\"site\":\"a\",\"rps\":4.0,\"new\":true}}}}\n"
    )
}

/// A ping of the relay on a membership watch.
pub(crate) const PING: &str = "{\"method\":\"ping\"}\n";

/// The response to a call, with its `result` or `error` member.
pub(crate) fn response(call: &Value, outcome: &str) -> String {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{},{outcome}}}\n", call["id"])
}

/// A line of a watch that changes the entries of some hosts.
pub(crate) fn list_change(generation: u64, hosts: &[String]) -> String {
    endpoint_list(generation, hosts).replace("\"reset\":true", "\"reset\":false") + "\n"
}

/// A controller that has bound all proxies, and its connections.
pub(crate) struct ControllerFixture {
    pub controller: ControllerProcess,
    pub relay: ManualPeer,
    pub registry: ManualPeer,
    pub membership_connection: usize,
    pub update_connection: usize,
    pub watch_connection: usize,
}

impl ControllerFixture {
    pub(crate) fn start(proxies: u16) -> ControllerFixture {
        let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
        let controller = ControllerProcess::start(registry.address, relay.address);
        let watch_connection = registry.accept_watch(1);
        registry.send_chunk(watch_connection, "\n");
        let membership_connection =
            relay.accept_membership_watch(&(0..proxies).collect::<Vec<_>>());
        relay.send(membership_connection, PING);
        let last = format!("\"bind\",\"id\":{}", proxies - 1);
        let update_connection = relay.accept_calls_until(&last);
        ControllerFixture {
            controller,
            relay,
            registry,
            membership_connection,
            update_connection,
            watch_connection,
        }
    }

    /// The registry lists host `n` as draining.
    pub(crate) fn drain_host(&self, generation: u64, n: usize) {
        self.registry.send_chunk(
            self.watch_connection,
            &list_change(generation, &[host_entry(1, n, "Terminating")]),
        );
    }
}

/// A listener whose connections have a small receive buffer, and its address.
pub(crate) fn small_buffer_listener() -> (TcpListener, SocketAddr) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("no socket");
    socket
        .set_recv_buffer_size(2_048)
        .expect("cannot set the socket option");
    socket
        .bind(
            &"127.0.0.1:0"
                .parse::<SocketAddr>()
                .expect("no local address")
                .into(),
        )
        .expect("cannot bind");
    socket.listen(8).expect("cannot listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("no local address");
    (listener, address)
}

/// Accepts the controller's connections as a relay and lets twenty proxies join at once: their bindings and lines exceed
/// the small receive buffer. Returns the connection of that update call, with nothing of it read yet.
pub(crate) fn accept_pending_update_call(relay: &TcpListener) -> TcpStream {
    let accept = || relay.accept().expect("no connection").0;
    let (mut updates, mut membership) = (accept(), accept());
    // Before any proxy has joined, only the membership connection has received anything.
    updates
        .set_read_timeout(Some(Duration::from_millis(200)))
        .expect("cannot set a time limit");
    if updates.read(&mut [0; 64]).is_ok() {
        std::mem::swap(&mut updates, &mut membership);
    }
    let mut events = "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n".to_string();
    (0..20).for_each(|proxy| events += &joined_event(proxy));
    membership
        .write_all(events.as_bytes())
        .expect("cannot write");
    // Keeps the membership watch open, without events, until the test process ends.
    std::mem::forget(membership);
    updates
        .set_read_timeout(Some(TIMEOUT))
        .expect("cannot set a time limit");
    updates
}

/// The change that removes host `n` of the first list from a table.
pub(crate) fn host_removal(n: usize) -> String {
    // Includes the closing brace: a small weight of the host begins with the same digits.
    format!("\"target\":\"s-1-{n}\",\"rps\":0.0}}")
}
