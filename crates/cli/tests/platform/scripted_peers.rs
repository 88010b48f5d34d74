//! Relays and registries on loopback that follow a fixed script, and helpers for reading and writing their messages.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for something to happen.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(5);

/// The lines that a peer has received.
pub(crate) type ReceivedLines = Receiver<String>;

/// A listener on a free port, and its address.
pub(crate) fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a port");
    let address = listener.local_addr().expect("no local address");
    (listener, address)
}

/// Writes a byte at a time: the receiver must not depend on how the network splits a message.
pub(crate) fn write_bytewise(stream: &mut TcpStream, text: &str) -> Option<()> {
    text.bytes()
        .try_for_each(|byte| stream.write_all(&[byte]).ok())
}

/// Writes a line as one chunk of a response with chunked transfer encoding.
pub(crate) fn write_chunked_line(stream: &mut TcpStream, text: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    stream.write_all(chunk.as_bytes()).ok()
}

/// Serves each connection on a thread of its own with `serve`, which passes on the lines that it receives.
pub(crate) fn serve_connections(
    serve: impl Fn(TcpStream, &Sender<String>) -> Option<()> + Clone + Send + 'static,
) -> (SocketAddr, ReceivedLines) {
    let (listener, address) = bind_listener();
    let (received, lines) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (serve, received) = (serve.clone(), received.clone());
            thread::spawn(move || serve(stream, &received));
        }
    });
    (address, lines)
}

/// Starts a relay that lists its joined proxies on each membership watch and accepts every update call.
pub(crate) fn start_relay(proxies: usize) -> (SocketAddr, ReceivedLines) {
    start_slow_relay(proxies, Duration::ZERO)
}

/// As `start_relay`, with a delay before each response.
pub(crate) fn start_slow_relay(proxies: usize, delay: Duration) -> (SocketAddr, ReceivedLines) {
    serve_connections(move |stream, received| {
        serve_relay_connection(stream, proxies, delay, received)
    })
}

pub(crate) fn serve_relay_connection(
    mut stream: TcpStream,
    proxies: usize,
    delay: Duration,
    received: &Sender<String>,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut line = String::new();
    while reader.read_line(&mut line).ok()? > 0 {
        received.send(line.clone()).ok()?;
        let call: serde_json::Value = serde_json::from_str(&line).expect("the line is not JSON");
        line.clear();
        if call["method"] == "relay.watch" {
            let mut events = "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n".to_string();
            for proxy in 0..proxies {
                events += &format!(
                    "{{\"method\":\"joined\",\"params\":{{\"id\":{proxy},\"site\":\"a\",\"rps\":4.0,\"new\":true}}}}\n"
                );
            }
            write_bytewise(&mut stream, &events)?;
            loop {
                stream.write_all(b"{\"method\":\"ping\"}\n").ok()?;
                thread::sleep(Duration::from_millis(500));
            }
        }
        let changes = call["params"]["changes"].as_array().map_or(0, Vec::len);
        let response = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{{\"ok_count\":{changes}}}}}\n",
            call["id"]
        );
        thread::sleep(delay);
        write_bytewise(&mut stream, &response)?;
    }
    Some(())
}

/// An entry of the endpoint list: host `n` of those that generation `generation` lists.
pub(crate) fn host_entry(generation: u64, n: usize, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"s-{generation}-{n}\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\",\
         \"cell\":1,\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}"
    )
}

/// A complete endpoint list of these hosts.
pub(crate) fn endpoint_list(generation: u64, hosts: &[String]) -> String {
    format!(
        "{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}",
        hosts.join(",")
    )
}

/// A complete endpoint list of eight hosts, all ready.
pub(crate) fn ready_list(generation: u64) -> String {
    endpoint_list(
        generation,
        &(0..8)
            .map(|n| host_entry(generation, n, "Ready"))
            .collect::<Vec<_>>(),
    )
}

/// What a registry sends on a watch after the response head: called with the index of the watch, from 0, and a
/// function that sends a line.
pub(crate) type WatchScript = fn(usize, &mut dyn FnMut(&str) -> Option<()>) -> Option<()>;

/// Starts a registry that answers with the complete list. A watch gets it as well, a byte at a time, and then nothing
/// more.
pub(crate) fn start_registry(generation: u64) -> (SocketAddr, ReceivedLines) {
    start_registry_with_watch(generation, None)
}

/// As `start_registry`; with `watch`, that sends what each watch gets.
pub(crate) fn start_registry_with_watch(
    generation: u64,
    watch: Option<WatchScript>,
) -> (SocketAddr, ReceivedLines) {
    let watches = Arc::new(AtomicUsize::new(0));
    serve_connections(move |stream, received| {
        serve_registry_connection(stream, generation, watch, &watches, received)
    })
}

/// Starts a registry on which each watch gets what `watch` sends.
pub(crate) fn start_scripted_registry(
    generation: u64,
    watch: impl Fn(usize, &mut dyn FnMut(&str) -> Option<()>) -> Option<()> + Clone + Send + 'static,
) -> (SocketAddr, ReceivedLines) {
    let watches = Arc::new(AtomicUsize::new(0));
    serve_connections(move |stream, received| {
        serve_registry_connection(stream, generation, Some(&watch), &watches, received)
    })
}

pub(crate) fn serve_registry_connection(
    mut stream: TcpStream,
    generation: u64,
    watch: Option<impl Fn(usize, &mut dyn FnMut(&str) -> Option<()>) -> Option<()>>,
    watches: &AtomicUsize,
    received: &Sender<String>,
) -> Option<()> {
    let mut head = String::new();
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while !head.ends_with("\r\n\r\n") {
        reader.read_line(&mut head).ok().filter(|read| *read > 0)?;
    }
    let list = ready_list(generation);
    received.send(head.lines().next()?.to_string()).ok()?;
    if !head.contains("follow=1") {
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
            list.len()
        );
        return stream.write_all(response.as_bytes()).ok();
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .ok()?;
    if let Some(watch) = watch {
        let mut send_line = |text: &str| write_chunked_line(&mut stream, text);
        return watch(watches.fetch_add(1, Relaxed), &mut send_line);
    }
    for byte in format!("{list}\n").bytes() {
        stream
            .write_all(&[b"1\r\n", &[byte][..], b"\r\n"].concat())
            .ok()?;
    }
    thread::sleep(Duration::from_secs(60));
    Some(())
}

/// The words of a text as a RESP array of bulk strings.
pub(crate) fn resp_message(text: &str) -> Vec<u8> {
    let words: Vec<&str> = text.split(' ').collect();
    let bulk_string = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!(
        "*{}\r\n{}",
        words.len(),
        words.iter().map(bulk_string).collect::<String>()
    )
    .into_bytes()
}

/// All that arrives on a connection until it is closed.
pub(crate) fn read_until_closed(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset counts as a close.
    stream.read_to_end(&mut bytes).ok();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits for a received line that contains `text`, and returns it.
pub(crate) fn wait_for(lines: &ReceivedLines, text: &str) -> String {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let line = lines
            .recv_timeout(remaining)
            .unwrap_or_else(|_| panic!("no line with '{text}' arrived in time"));
        if line.contains(text) {
            return line;
        }
    }
}
