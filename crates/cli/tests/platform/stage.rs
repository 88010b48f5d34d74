//! Peers on loopback that follow a script by themselves.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

pub(crate) const SOON: Duration = Duration::from_secs(5);

/// Whatever a party reads, as lines.
pub(crate) type Lines = Receiver<String>;

pub(crate) fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// A byte at a time: nothing may hang on how the network cuts.
pub(crate) fn drip(stream: &mut TcpStream, text: &str) -> Option<()> {
    text.bytes()
        .try_for_each(|byte| stream.write_all(&[byte]).ok())
}

/// A line as one chunk of a chunked answer.
pub(crate) fn chunked_line(stream: &mut TcpStream, text: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    stream.write_all(chunk.as_bytes()).ok()
}

/// Serves each connection by `talk`, which says what it reads.
pub(crate) fn party(
    talk: impl Fn(TcpStream, &Sender<String>) -> Option<()> + Clone + Send + 'static,
) -> (SocketAddr, Lines) {
    let (listener, at) = listener();
    let (say, lines) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (talk, say) = (talk.clone(), say.clone());
            thread::spawn(move || talk(stream, &say));
        }
    });
    (at, lines)
}

/// Tells who is joined to whoever watches, and takes every call.
pub(crate) fn relay(proxies: usize) -> (SocketAddr, Lines) {
    slow_relay(proxies, Duration::ZERO)
}

/// The same, and each answer takes its time.
pub(crate) fn slow_relay(proxies: usize, takes: Duration) -> (SocketAddr, Lines) {
    party(move |stream, say| relay_talk(stream, proxies, takes, say))
}

pub(crate) fn relay_talk(
    mut stream: TcpStream,
    proxies: usize,
    takes: Duration,
    say: &Sender<String>,
) -> Option<()> {
    let mut reading = BufReader::new(stream.try_clone().ok()?);
    let mut line = String::new();
    while reading.read_line(&mut line).ok()? > 0 {
        say.send(line.clone()).ok()?;
        let call: serde_json::Value = serde_json::from_str(&line).expect("an object");
        line.clear();
        if call["method"] == "relay.watch" {
            let mut news = "{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}\n".to_string();
            for n in 0..proxies {
                news += &format!(
                    "{{\"method\":\"joined\",\"params\":{{\"id\":{n},\"site\":\"a\",\"rps\":4.0,\"new\":true}}}}\n"
                );
            }
            drip(&mut stream, &news)?;
            loop {
                stream.write_all(b"{\"method\":\"ping\"}\n").ok()?;
                thread::sleep(Duration::from_millis(500));
            }
        }
        let orders = call["params"]["changes"].as_array().map_or(0, Vec::len);
        let answer = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{{\"ok_count\":{orders}}}}}\n",
            call["id"]
        );
        thread::sleep(takes);
        drip(&mut stream, &answer)?;
    }
    Some(())
}

pub(crate) fn host(version: u64, n: usize, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"s-{version}-{n}\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\",\
         \"cell\":1,\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}"
    )
}

pub(crate) fn list_of(version: u64, hosts: &[String]) -> String {
    format!(
        "{{\"generation\":{version},\"reset\":true,\"instances\":[{}]}}",
        hosts.join(",")
    )
}

pub(crate) fn list(version: u64) -> String {
    list_of(
        version,
        &(0..8)
            .map(|n| host(version, n, "Ready"))
            .collect::<Vec<_>>(),
    )
}

/// What a watch says after its head: its number from 0 on, and how to say a line.
pub(crate) type Watch = fn(usize, &mut dyn FnMut(&str) -> Option<()>) -> Option<()>;

/// Answers with the whole list; a watch gets it too, a byte at a time, and is silent from then on.
pub(crate) fn discovery(version: u64) -> (SocketAddr, Lines) {
    watched_discovery(version, None)
}

pub(crate) fn watched_discovery(version: u64, watch: Option<Watch>) -> (SocketAddr, Lines) {
    let watches = Arc::new(AtomicUsize::new(0));
    party(move |stream, say| discovery_talk(stream, version, watch, &watches, say))
}

/// Each watch is told what `watch` says.
pub(crate) fn scripted_discovery(
    version: u64,
    watch: impl Fn(usize, &mut dyn FnMut(&str) -> Option<()>) -> Option<()> + Clone + Send + 'static,
) -> (SocketAddr, Lines) {
    let watches = Arc::new(AtomicUsize::new(0));
    party(move |stream, say| discovery_talk(stream, version, Some(&watch), &watches, say))
}

pub(crate) fn discovery_talk(
    mut stream: TcpStream,
    version: u64,
    watch: Option<impl Fn(usize, &mut dyn FnMut(&str) -> Option<()>) -> Option<()>>,
    watches: &AtomicUsize,
    say: &Sender<String>,
) -> Option<()> {
    let mut head = String::new();
    let mut reading = BufReader::new(stream.try_clone().ok()?);
    while !head.ends_with("\r\n\r\n") {
        reading.read_line(&mut head).ok().filter(|read| *read > 0)?;
    }
    let list = list(version);
    say.send(head.lines().next()?.to_string()).ok()?;
    if !head.contains("follow=1") {
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}",
            list.len()
        );
        return stream.write_all(answer.as_bytes()).ok();
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        .ok()?;
    if let Some(watch) = watch {
        let mut line = |text: &str| chunked_line(&mut stream, text);
        return watch(watches.fetch_add(1, Relaxed), &mut line);
    }
    for byte in format!("{list}\n").bytes() {
        stream
            .write_all(&[b"1\r\n", &[byte][..], b"\r\n"].concat())
            .ok()?;
    }
    thread::sleep(Duration::from_secs(60));
    Some(())
}

pub(crate) fn message(text: &str) -> Vec<u8> {
    let words: Vec<&str> = text.split(' ').collect();
    let word = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!(
        "*{}\r\n{}",
        words.len(),
        words.iter().map(word).collect::<String>()
    )
    .into_bytes()
}

pub(crate) fn said(mut stream: TcpStream) -> String {
    let mut all = Vec::new();
    // A reset is a close too.
    stream.read_to_end(&mut all).ok();
    String::from_utf8_lossy(&all).into_owned()
}

pub(crate) fn wait_for(lines: &Lines, what: &str) -> String {
    let until = Instant::now() + SOON;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let line = lines
            .recv_timeout(left)
            .unwrap_or_else(|_| panic!("'{what}' never came"));
        if line.contains(what) {
            return line;
        }
    }
}
