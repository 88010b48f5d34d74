//! `pondarch platform` as a process, between a scripted relay and a scripted discovery on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

const SOON: Duration = Duration::from_secs(5);

/// Whatever a party reads, as lines.
type Lines = Receiver<String>;

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    (listener, at)
}

/// A byte at a time: nothing may hang on how the network cuts.
fn drip(stream: &mut TcpStream, text: &str) -> Option<()> {
    text.bytes().try_for_each(|byte| stream.write_all(&[byte]).ok())
}

/// Serves each connection by `talk`, which says what it reads.
fn party(
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
fn relay(proxies: usize) -> (SocketAddr, Lines) {
    slow_relay(proxies, Duration::ZERO)
}

/// The same, and each answer takes its time.
fn slow_relay(proxies: usize, takes: Duration) -> (SocketAddr, Lines) {
    party(move |stream, say| relay_talk(stream, proxies, takes, say))
}

fn relay_talk(mut stream: TcpStream, proxies: usize, takes: Duration, say: &Sender<String>) -> Option<()> {
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
        let answer =
            format!("{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{{\"ok_count\":{orders}}}}}\n", call["id"]);
        thread::sleep(takes);
        drip(&mut stream, &answer)?;
    }
    Some(())
}

fn host(version: u64, n: usize, lifecycle: &str) -> String {
    format!(
        "{{\"instanceId\":\"s-{version}-{n}\",\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\",\
         \"cell\":1,\"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}"
    )
}

fn list_of(version: u64, hosts: &[String]) -> String {
    format!("{{\"generation\":{version},\"reset\":true,\"instances\":[{}]}}", hosts.join(","))
}

fn list(version: u64) -> String {
    list_of(version, &(0..8).map(|n| host(version, n, "Ready")).collect::<Vec<_>>())
}

/// What a watch says after its head: its number from 0 on, and how to say a line.
type Watch = fn(usize, &mut dyn FnMut(&str) -> Option<()>) -> Option<()>;

/// Answers with the whole list; a watch gets it too, a byte at a time, and is silent from then on.
fn discovery(version: u64) -> (SocketAddr, Lines) {
    watched_discovery(version, None)
}

fn watched_discovery(version: u64, watch: Option<Watch>) -> (SocketAddr, Lines) {
    let watches = Arc::new(AtomicUsize::new(0));
    party(move |stream, say| discovery_talk(stream, version, watch, &watches, say))
}

fn discovery_talk(
    mut stream: TcpStream,
    version: u64,
    watch: Option<Watch>,
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
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
        return stream.write_all(answer.as_bytes()).ok();
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").ok()?;
    if let Some(watch) = watch {
        let mut line =
            |text: &str| stream.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).ok();
        return watch(watches.fetch_add(1, Relaxed), &mut line);
    }
    for byte in format!("{list}\n").bytes() {
        stream.write_all(&[b"1\r\n", &[byte][..], b"\r\n"].concat()).ok()?;
    }
    thread::sleep(Duration::from_secs(60));
    Some(())
}

struct Steward {
    child: Child,
    config: PathBuf,
    listen: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Drop for Steward {
    fn drop(&mut self) {
        // It may have ended by itself.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn config(listen: SocketAddr, discovery: SocketAddr, relay: SocketAddr) -> String {
    format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"1f\",\
         \"limits\":{{\"sockets\":128}},\"hub\":{{\"address\":\"{relay}\"}},\"known\":{},\
         \"settings\":{{\"classes\":[{{\"name\":\"proof\",\"aim\":1500000,\"worth\":1.0}}],\"localities\":[\"a\"],\
         \"familyInfo\":{{\"proxies\":20,\"channelRate\":9800.0,\"mostWaiting\":9800.0,\"perMessage\":3.0,\
         \"updateCap\":12,\"updateWindow\":10000000,\"reportEvery\":1000000,\"admission\":\"share\",\"baseMode\":0}},\
         \"obligations\":{{\"cold\":18000000,\"startCapacity\":0.2}}}}}}",
        list(1)
    )
}

impl Steward {
    fn start(discovery: SocketAddr, relay: SocketAddr) -> Steward {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("config.json");
        let (held, listen) = listener();
        drop(held);
        std::fs::write(&path, config(listen, discovery, relay)).expect("written");
        let child = platform(Some(&path)).spawn().expect("the program");
        Steward { child, config: path, listen, _folder: folder }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(sent.expect("kill").success());
    }

    fn dial(&self) -> TcpStream {
        let until = Instant::now() + SOON;
        loop {
            if let Ok(stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(SOON)).expect("a limit");
                return stream;
            }
            assert!(Instant::now() < until, "the steward cannot be reached");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its files").count()
    }

    /// KiB that it has in memory.
    fn memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("its state");
        let line = status.lines().find(|line| line.starts_with("VmRSS")).expect("its memory");
        line.split_whitespace().nth(1).and_then(|count| count.parse().ok()).expect("a count")
    }

    /// Ends it, as a planned restart does; gives its log.
    fn ends(mut self) -> String {
        self.signal("-TERM");
        let mut log = String::new();
        self.child.stderr.take().expect("its log").read_to_string(&mut log).expect("text");
        assert!(self.child.wait().expect("its end").success(), "{log}");
        log
    }
}

fn platform(config: Option<&Path>) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pondarch"));
    command.arg("platform").stdout(Stdio::null()).stderr(Stdio::piped());
    for name in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONFIG"] {
        command.env_remove(name);
    }
    if let Some(config) = config {
        command.env("RELAY_CONFIG", config);
    }
    command
}

fn message(text: &str) -> Vec<u8> {
    let words: Vec<&str> = text.split(' ').collect();
    let word = |word: &&str| format!("${}\r\n{word}\r\n", word.len());
    format!("*{}\r\n{}", words.len(), words.iter().map(word).collect::<String>()).into_bytes()
}

fn said(mut stream: TcpStream) -> String {
    let mut all = Vec::new();
    // A reset is a close too.
    stream.read_to_end(&mut all).ok();
    String::from_utf8_lossy(&all).into_owned()
}

fn wait_for(lines: &Lines, what: &str) -> String {
    let until = Instant::now() + SOON;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let line = lines.recv_timeout(left).unwrap_or_else(|_| panic!("'{what}' never came"));
        if line.contains(what) {
            return line;
        }
    }
}

#[test]
fn without_a_good_configuration_it_says_why_and_ends() {
    let folder = tempfile::tempdir().expect("a folder");
    let broken = folder.path().join("config.json");
    std::fs::write(&broken, "{\"name\":").expect("written");
    for (config, says) in [
        (None, "RELAY_CONFIG"),
        (Some(broken.as_path()), "config.json"),
        (Some(Path::new("/nowhere")), "/nowhere"),
    ] {
        let ended = platform(config).output().expect("the program");
        let text = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(ended.status.code(), Some(2), "{text}");
        assert!(text.lines().count() == 1 && text.contains(says), "{text}");
    }
}

#[test]
fn it_serves_moves_and_ends() {
    let (relay_at, calls) = relay(12);
    let (discovery_at, asked) = discovery(1);
    let steward = Steward::start(discovery_at, relay_at);
    wait_for(&calls, "relay.watch");
    wait_for(&calls, "\"verb\":\"bind\"");
    wait_for(&asked, "follow=1&since=1");
    // The watch falls silent: it is renewed within the time after which changes count as told.
    wait_for(&asked, "follow=1&since=1");

    // A file that is half written changes nothing, even if told twice; a good one does, and lists are asked for anew.
    let good = std::fs::read_to_string(&steward.config).expect("the file");
    std::fs::write(&steward.config, &good[..good.len() / 2]).expect("written");
    steward.signal("-HUP");
    steward.signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    let (relay_next, calls_next) = relay(12);
    let (discovery_next, asked_next) = discovery(0);
    std::fs::write(&steward.config, config(steward.listen, discovery_next, relay_next)).expect("written");
    wait_for(&asked_next, "GET /registry/instances HTTP");
    wait_for(&calls_next, "relay.watch");
    // The new list has other hosts, under a lower version: they are dealt.
    wait_for(&calls_next, "s-0-");
    let log = steward.ends();
    // Two signals may be told as one.
    assert!((1..=2).contains(&log.matches("configuration cannot be read").count()), "once a signal: {log}");
}

/// The relay moves while a call is under way there: that call ends where it began, and none is taken for lost.
#[test]
fn a_call_under_way_ends_where_it_began() {
    let (relay_at, calls) = slow_relay(12, Duration::from_millis(200));
    let (discovery_at, _asked) = discovery(1);
    let steward = Steward::start(discovery_at, relay_at);
    wait_for(&calls, "\"verb\":\"bind\"");
    let (relay_next, calls_next) = relay(14);
    std::fs::write(&steward.config, config(steward.listen, discovery_at, relay_next)).expect("written");
    steward.signal("-HUP");
    wait_for(&calls_next, "relay.watch");
    // Whoever joined meanwhile is bound by the new relay alone.
    wait_for(&calls_next, "\"bind\",\"id\":13");
    let log = steward.ends();
    assert!(!log.contains("call not taken") && !log.contains("calls lost"), "{log}");
}

/// A host drains while the watch is silent: the next watch tells, well within the time after which it counts as told.
#[test]
fn a_silent_watch_hides_no_drain_for_long() {
    let (relay_at, calls) = relay(4);
    let (discovery_at, _asked) = watched_discovery(
        1,
        Some(|number, line| {
            if number > 0 {
                let hosts: Vec<String> =
                    (0..8).map(|n| host(1, n, if n == 3 { "Terminating" } else { "Ready" })).collect();
                line(&list_of(2, &hosts))?;
            }
            thread::sleep(Duration::from_secs(60));
            Some(())
        }),
    );
    let steward = Steward::start(discovery_at, relay_at);
    wait_for(&calls, "\"target\":\"s-1-3\"");
    let before = Instant::now();
    wait_for(&calls, "\"target\":\"s-1-3\",\"rps\":0");
    assert!(before.elapsed() < Duration::from_secs(4), "{:?}", before.elapsed());
    steward.ends();
}

/// Hosts under new ids fifty times a second, and strangers all the while: memory and descriptors stay as they were.
#[test]
fn many_releases_and_strangers_leave_nothing_behind() {
    let (relay_at, calls) = relay(4);
    let (discovery_at, _asked) = watched_discovery(
        1,
        Some(|_, line| {
            for version in 2..1_000 {
                line(&list(version))?;
                thread::sleep(Duration::from_millis(20));
            }
            Some(())
        }),
    );
    let steward = Steward::start(discovery_at, relay_at);
    wait_for(&calls, "\"verb\":\"bind\"");
    let strangers = |rounds: usize| {
        for _ in 0..rounds {
            let mut some: Vec<TcpStream> = (0..10).map(|_| steward.dial()).collect();
            some.iter_mut().for_each(|stranger| drop(stranger.write_all(&message("odd"))));
            thread::sleep(Duration::from_millis(20));
        }
    };
    strangers(100);
    let (memory, descriptors) = (steward.memory(), steward.descriptors());
    strangers(200);
    // Hosts of the last 30 s are still known, some 300 bytes each; a connection or task that stays takes far more.
    let grown = steward.memory().saturating_sub(memory);
    assert!(grown < 3_000, "{grown} KiB more than {memory}");
    assert!(steward.descriptors() <= descriptors + 12, "{} then {}", descriptors, steward.descriptors());
    steward.ends();
}

#[test]
fn strangers_are_refused_and_lock_nobody_out() {
    let (relay_at, _calls) = relay(4);
    let (discovery_at, _asked) = discovery(1);
    let steward = Steward::start(discovery_at, relay_at);
    let mut ping = steward.dial();
    ping.write_all(&message("ping")).expect("written");
    let mut pong = [0; 14];
    ping.read_exact(&mut pong).expect("an answer");
    assert_eq!(&pong, b"*1\r\n$4\r\npong\r\n");
    drop(ping);

    let mut collector = steward.dial();
    collector.write_all(&message("collector site a")).expect("written");
    let before = Instant::now();
    let silent: Vec<TcpStream> = (0..400).map(|_| steward.dial()).collect();
    for bad in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        b"*1000000000000000000\r\n".to_vec(),
        message("collector site nowhere"),
        message("joined id 3 site a rps 2 new 1"),
        message("heard site a target s-1-1 count 5 fail 0 mean 4 over 1000"),
        message("ping")[..7].to_vec(),
        vec![b'*'; 100_000],
    ] {
        let mut stranger = steward.dial();
        // It may be closed before all is written.
        stranger.write_all(&bad).ok();
        let answer = said(stranger);
        assert!(answer.is_empty() || answer == "*1\r\n$7\r\nrefused\r\n", "{answer}");
    }
    assert!(before.elapsed() < Duration::from_secs(3));
    assert!(steward.descriptors() <= 128, "{} descriptors", steward.descriptors());
    // Reports go on all the while, spoilt ones among them.
    for text in ["heard site a target s-1-1 count 5 fail 9 mean 4 over 1000", "usage id 3 lane proof", "odd"]
    {
        collector.write_all(&message(text)).expect("the collector's connection stands");
    }
    thread::sleep(Duration::from_millis(1_300));
    collector.write_all(&message("usage id 3 lane proof count 4 fail 0 over 1000")).expect("written");
    thread::sleep(Duration::from_millis(50));
    collector.set_nonblocking(true).expect("set");
    let waits = collector.read(&mut [0; 8]).expect_err("nothing is ever written to a collector");
    assert_eq!(waits.kind(), std::io::ErrorKind::WouldBlock);
    drop(silent);
    thread::sleep(Duration::from_millis(300));
    assert!(steward.descriptors() < 40, "{} descriptors", steward.descriptors());
}
