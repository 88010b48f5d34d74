//! Clients of the controller's own address: connections that are reset, slow, too many or too fast, or that do not read.

use crate::controller_process::*;
use crate::manual_peer::ControllerFixture;
use crate::scripted_peers::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

const PONG: &[u8] = b"*1\r\n$4\r\npong\r\n";

/// The time until a ping on a new connection is answered.
fn ping_time(controller: &ControllerProcess) -> Duration {
    let started_at = Instant::now();
    let mut stream = controller.connect();
    stream
        .write_all(&resp_message("ping"))
        .expect("cannot write");
    let mut response = [0; 14];
    stream.read_exact(&mut response).expect("no response");
    assert_eq!(response, PONG);
    started_at.elapsed()
}

/// Closes a connection with RST.
fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("cannot set the socket option");
}

/// Sends a message a byte at a time.
fn write_slowly(stream: &mut TcpStream, text: &str, pause: Duration) {
    for byte in resp_message(text) {
        stream
            .write_all(&[byte])
            .expect("the connection was closed");
        thread::sleep(pause);
    }
}

/// Connections that are reset right after they are established, with and without part of a message, while the controller
/// is suspended, so that all of them are dead when it accepts them; then a connection that works.
#[test]
fn connections_reset_before_they_are_accepted_leak_no_descriptors() {
    let fixture = ControllerFixture::start(4);
    let before = fixture.controller.open_descriptors();
    for _ in 0..3 {
        fixture.controller.signal("-STOP");
        for n in 0..200 {
            let mut stream = fixture.controller.connect();
            stream
                .write_all(&resp_message("collector site a")[..n % 20])
                .expect("cannot write");
            reset(stream);
        }
        fixture.controller.signal("-CONT");
        assert!(ping_time(&fixture.controller) < Duration::from_secs(1));
    }
    // The last connections may not be closed yet.
    thread::sleep(Duration::from_millis(200));
    let after = fixture.controller.open_descriptors();
    assert!(after <= before + 2, "{after} descriptors, {before} before");
    fixture.controller.terminate();
}

/// A collector whose bytes arrive one at a time has identified itself after 1.5 s: such a collector was rejected at each
/// attempt. A connection that stops after part of a message is closed within the time limit of all clients.
#[test]
fn a_slow_collector_is_accepted() {
    let fixture = ControllerFixture::start(4);
    let mut collector = fixture.controller.connect();
    let bytes = resp_message("collector site a").len() as u32;
    write_slowly(
        &mut collector,
        "collector site a",
        Duration::from_millis(1_500) / bytes,
    );
    write_slowly(
        &mut collector,
        "usage id 3 lane proof count 4 fail 0 over 1000",
        Duration::from_millis(5),
    );
    fixture.controller.wait_for_log("collector joined zone=", 1);
    let started_at = Instant::now();
    let mut partial = fixture.controller.connect();
    partial
        .write_all(&resp_message("collector site a")[..20])
        .expect("cannot write");
    let response = read_until_closed(partial);
    assert!(
        response.is_empty() || response == "*1\r\n$7\r\nrefused\r\n",
        "{response}"
    );
    assert!(
        started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
    let log = fixture.controller.terminate();
    assert!(
        log.lines()
            .rfind(|line| line.contains("counters"))
            .is_some_and(|line| line.contains("reports: 1,")),
        "{log}"
    );
}

/// A thousand unidentified clients that send nothing connect before a collector that reconnects, and stay connected.
#[test]
fn a_collector_reconnects_among_a_thousand_unidentified_clients() {
    let fixture = ControllerFixture::start(4);
    let unidentified: Vec<TcpStream> = (0..1_000).map(|_| fixture.controller.connect()).collect();
    let started_at = Instant::now();
    let mut collector = fixture.controller.connect();
    collector
        .write_all(&resp_message("collector site a"))
        .expect("cannot write");
    fixture.controller.wait_for_log("collector joined zone=", 1);
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
    assert!(fixture.controller.open_descriptors() <= 128);
    drop(unidentified);
    assert!(ping_time(&fixture.controller) < Duration::from_secs(2));
    fixture.controller.terminate();
}

/// Three collectors send reports without pause, as fast as they are read. A ping, a reload and a drain are not delayed:
/// the event loop handled reports first, and all others waited until the reports ended.
#[test]
fn a_flood_of_reports_delays_no_other_events() {
    let mut fixture = ControllerFixture::start(4);
    let stop = Arc::new(AtomicBool::new(false));
    let flood: Vec<u8> = (0..500)
        .flat_map(|n| {
            resp_message(&format!(
                "heard site a target s-1-{} count 5 fail 0 mean 40 over 1000",
                n % 8
            ))
        })
        .collect();
    // At most three collectors of a zone stay connected, and all of these are of one zone.
    let floods: Vec<thread::JoinHandle<()>> = (0..3)
        .map(|_| {
            let (mut stream, flood, stop) =
                (fixture.controller.connect(), flood.clone(), stop.clone());
            thread::spawn(move || {
                stream
                    .write_all(&resp_message("collector site a"))
                    .expect("cannot write");
                while !stop.load(Relaxed) && stream.write_all(&flood).is_ok() {}
            })
        })
        .collect();
    fixture.controller.wait_for_log("collector joined zone=", 3);
    for _ in 0..20 {
        // On a busy machine this loop takes longer than a watch may be silent, and a new watch would not get the drain.
        fixture.registry.send_chunk(fixture.watch_connection, "\n");
        assert!(ping_time(&fixture.controller) < Duration::from_secs(1));
    }
    fixture.drain_host(2, 3);
    fixture
        .relay
        .accept_calls_until(&crate::manual_peer::host_removal(3));
    let relay = crate::manual_peer::ManualPeer::start();
    fixture
        .controller
        .change_upstreams(fixture.registry.address, relay.address);
    fixture.controller.wait_for_log("configuration reloaded", 1);
    stop.store(true, Relaxed);
    floods
        .into_iter()
        .for_each(|flood| flood.join().expect("a thread panicked"));
    fixture.controller.terminate();
}

/// Unidentified clients use all file descriptors for as long as each is allowed to stay: established connections keep
/// working, and once these clients are gone new connections are accepted again.
#[test]
fn established_connections_survive_a_lack_of_file_descriptors() {
    let (relay_address, calls) = start_relay(4);
    let (registry_address, _requests) = start_registry(1);
    // The configuration allows more connections than the process may have open files.
    let controller =
        ControllerProcess::start_with_command(registry_address, relay_address, |command| {
            let mut limited = Command::new("sh");
            limited
                .arg("-c")
                .arg("ulimit -n 40; exec \"$0\" platform")
                .arg(command.get_program());
            command.get_envs().for_each(|(name, value)| match value {
                Some(value) => drop(limited.env(name, value)),
                None => drop(limited.env_remove(name)),
            });
            limited.stdout(std::process::Stdio::null());
            limited
        });
    wait_for(&calls, "\"verb\":\"bind\"");
    let unidentified: Vec<TcpStream> = (0..100).map(|_| controller.connect()).collect();
    let deadline = Instant::now() + TIMEOUT;
    while controller.open_descriptors() < 40 {
        assert!(
            Instant::now() < deadline,
            "{} descriptors",
            controller.open_descriptors()
        );
    }
    // Each of these clients is closed within 1 s of being accepted; the last are accepted when the first are closed.
    drop(unidentified);
    let started_at = Instant::now();
    ping_time(&controller);
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
    let log = controller.terminate();
    assert!(!log.contains("panicked"), "{log}");
}

/// A client sends pings without end and either reads the responses or not: it was served for as long as it sent. It is
/// closed within the time limit of all clients, and other clients are served.
#[test]
fn a_client_that_pings_without_end_is_closed() {
    let fixture = ControllerFixture::start(4);
    for reads_responses in [false, true] {
        let mut client = fixture.controller.connect();
        client
            .set_write_timeout(Some(TIMEOUT))
            .expect("cannot set a time limit");
        let pings: Vec<u8> = (0..1_000).flat_map(|_| resp_message("ping")).collect();
        let started_at = Instant::now();
        let mut responses = client.try_clone().expect("cannot clone the stream");
        let reader = thread::spawn(move || {
            while reads_responses && responses.read(&mut [0; 4_096]).is_ok_and(|n| n > 0) {}
        });
        while client.write_all(&pings).is_ok() {
            assert!(
                started_at.elapsed() < Duration::from_secs(3),
                "the client's pings are still being read"
            );
        }
        assert!(ping_time(&fixture.controller) < Duration::from_secs(1));
        reader.join().expect("a thread panicked");
    }
    fixture.controller.terminate();
}

/// How much the controller may grow while clients misbehave, in KiB.
const MAX_GROWTH_KIB: u64 = 16 * 1024;

/// Clients by the hundred that write slowly, stop half way through a large message, or send a head of very many fields.
#[test]
fn hundreds_of_incomplete_messages_fill_no_memory() {
    let fixture = ControllerFixture::start(4);
    let before = fixture.controller.resident_kib();
    let many_fields = format!("*100000\r\n{}", "$1\r\na\r\n".repeat(2_000));
    let half = format!("*2\r\n$1000000\r\n{}", "x".repeat(100_000));
    let mut clients = Vec::new();
    for n in 0..400 {
        let mut client = fixture.controller.connect();
        let text: &[u8] = match n % 3 {
            0 => b"*2\r\n$9\r\ncoll",
            1 => half.as_bytes(),
            _ => many_fields.as_bytes(),
        };
        // The controller may close the connection before all is written.
        client.write_all(text).ok();
        clients.push(client);
    }
    for _ in 0..10 {
        thread::sleep(Duration::from_millis(50));
        for client in clients.iter_mut().step_by(3) {
            client.write_all(b"e").ok();
        }
    }
    let growth = fixture.controller.resident_kib().saturating_sub(before);
    assert!(growth < MAX_GROWTH_KIB, "grown by {growth} KiB");
    assert!(ping_time(&fixture.controller) < Duration::from_secs(2));
    fixture.controller.terminate();
}

/// One collector sends small reports, sound and unsound, as fast as they are read, and each names something new.
#[test]
fn a_flood_of_new_names_delays_no_ping_and_fills_no_memory() {
    let fixture = ControllerFixture::start(4);
    let before = fixture.controller.resident_kib();
    let mut collector = fixture.controller.connect();
    collector
        .write_all(&resp_message("collector site a"))
        .expect("cannot write");
    let is_over = Arc::new(AtomicBool::new(false));
    let is_flood_over = is_over.clone();
    let flood = thread::spawn(move || {
        let mut sent = 0_u64;
        while !is_flood_over.load(Relaxed) {
            let mut messages = Vec::new();
            for n in sent..sent + 100 {
                let texts = [
                    format!("heard site a target new-{n} count 1 fail 0 mean 1.0 over 1000"),
                    format!("heard site z{n} target host-1 count 1 fail 0 mean 1.0 over 1000"),
                    format!(
                        "usage id {} lane new-{n} count 1 fail 0 over 1000",
                        n % 60_000
                    ),
                    format!("new-{n}"),
                ];
                texts
                    .iter()
                    .for_each(|text| messages.extend(resp_message(text)));
            }
            if collector.write_all(&messages).is_err() {
                break;
            }
            sent += 100;
        }
        sent
    });
    let mut longest = Duration::ZERO;
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_secs(3) {
        longest = longest.max(ping_time(&fixture.controller));
        thread::sleep(Duration::from_millis(20));
    }
    let growth = fixture.controller.resident_kib().saturating_sub(before);
    is_over.store(true, Relaxed);
    let sent = flood.join().expect("a thread panicked");
    println!("{sent} rounds, longest ping {longest:?}, grown by {growth} KiB");
    assert!(sent > 1_000, "the flood ended after {sent} rounds");
    fixture
        .controller
        .wait_for_log("collector connection closed client=", 1);
    assert!(longest < Duration::from_secs(1), "{longest:?}");
    assert!(growth < MAX_GROWTH_KIB, "grown by {growth} KiB");
    fixture.controller.terminate();
}
