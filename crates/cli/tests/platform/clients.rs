//! Who connects to the controller's address: cut off, slow, too many, too fast, deaf.

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

/// How long a sign of life takes, asked for on a connection of its own.
fn pong(controller: &ControllerProcess) -> Duration {
    let started_at = Instant::now();
    let mut stream = controller.connect();
    stream.write_all(&resp_message("ping")).expect("written");
    let mut said = [0; 14];
    stream.read_exact(&mut said).expect("an answer");
    assert_eq!(said, PONG);
    started_at.elapsed()
}

fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
}

/// A message goes out a byte at a time.
fn slowly(stream: &mut TcpStream, text: &str, pause: Duration) {
    for byte in resp_message(text) {
        stream.write_all(&[byte]).expect("the connection stands");
        thread::sleep(pause);
    }
}

/// Connections that are reset as soon as they are taken, with and without part of a message, while the controller is held
/// still, so that it finds them all dead; then one that is no such.
#[test]
fn connections_killed_right_after_accept_leave_nothing() {
    let fixture = ControllerFixture::start(4);
    let before = fixture.controller.open_descriptors();
    for _ in 0..3 {
        fixture.controller.signal("-STOP");
        for n in 0..200 {
            let mut stream = fixture.controller.connect();
            stream
                .write_all(&resp_message("collector site a")[..n % 20])
                .expect("written");
            reset(stream);
        }
        fixture.controller.signal("-CONT");
        assert!(pong(&fixture.controller) < Duration::from_secs(1));
    }
    // The last of them may still be on their way out.
    thread::sleep(Duration::from_millis(200));
    let after = fixture.controller.open_descriptors();
    assert!(after <= before + 2, "{after} descriptors, {before} before");
    fixture.controller.terminate();
}

/// A collector whose bytes come one at a time names itself after 1.5 s: it was refused, each time it came. Half a
/// message that goes no further is closed within what all are owed.
#[test]
fn a_slow_collector_is_let_in() {
    let fixture = ControllerFixture::start(4);
    let mut collector = fixture.controller.connect();
    let bytes = resp_message("collector site a").len() as u32;
    slowly(
        &mut collector,
        "collector site a",
        Duration::from_millis(1_500) / bytes,
    );
    slowly(
        &mut collector,
        "usage id 3 lane proof count 4 fail 0 over 1000",
        Duration::from_millis(5),
    );
    fixture.controller.wait_for_log("collector joined zone=", 1);
    let started_at = Instant::now();
    let mut half = fixture.controller.connect();
    half.write_all(&resp_message("collector site a")[..20])
        .expect("written");
    let answer = read_until_closed(half);
    assert!(
        answer.is_empty() || answer == "*1\r\n$7\r\nrefused\r\n",
        "{answer}"
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

/// A thousand strangers who say nothing are there before a collector that returns, and stay.
#[test]
fn a_collector_returns_among_a_thousand_strangers() {
    let fixture = ControllerFixture::start(4);
    let strangers: Vec<TcpStream> = (0..1_000).map(|_| fixture.controller.connect()).collect();
    let started_at = Instant::now();
    let mut collector = fixture.controller.connect();
    collector
        .write_all(&resp_message("collector site a"))
        .expect("written");
    fixture.controller.wait_for_log("collector joined zone=", 1);
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
    assert!(fixture.controller.open_descriptors() <= 128);
    drop(strangers);
    assert!(pong(&fixture.controller) < Duration::from_secs(2));
    fixture.controller.terminate();
}

/// Three collectors bring reports as fast as they are read, all the while. A sign of life, a new configuration and a
/// drain are not behind them: the loop took reports first, and whoever asked waited until the flood was over.
#[test]
fn a_flood_of_reports_starves_nobody() {
    let mut fixture = ControllerFixture::start(4);
    let over = Arc::new(AtomicBool::new(false));
    let flood: Vec<u8> = (0..500)
        .flat_map(|n| {
            resp_message(&format!(
                "heard site a target s-1-{} count 5 fail 0 mean 40 over 1000",
                n % 8
            ))
        })
        .collect();
    // Three of each zone's collectors stay, and all are of one zone.
    let floods: Vec<thread::JoinHandle<()>> = (0..3)
        .map(|_| {
            let (mut stream, flood, over) =
                (fixture.controller.connect(), flood.clone(), over.clone());
            thread::spawn(move || {
                stream
                    .write_all(&resp_message("collector site a"))
                    .expect("written");
                while !over.load(Relaxed) && stream.write_all(&flood).is_ok() {}
            })
        })
        .collect();
    fixture.controller.wait_for_log("collector joined zone=", 3);
    for _ in 0..20 {
        // On a busy machine this takes longer than a watch may be silent; one that was renewed would not hear the drain.
        fixture.registry.send_chunk(fixture.watch_connection, "\n");
        assert!(pong(&fixture.controller) < Duration::from_secs(1));
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
    over.store(true, Relaxed);
    floods
        .into_iter()
        .for_each(|flood| flood.join().expect("no panic"));
    fixture.controller.terminate();
}

/// Strangers take all descriptors but what they leave in a moment: connections that stand go on, and once they have
/// gone so does all else.
#[test]
fn out_of_descriptors_it_keeps_what_it_has() {
    let (relay_address, calls) = start_relay(4);
    let (registry_address, _requests) = start_registry(1);
    // More may connect by the configuration than the system lets it hold.
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
    let strangers: Vec<TcpStream> = (0..100).map(|_| controller.connect()).collect();
    let until = Instant::now() + TIMEOUT;
    while controller.open_descriptors() < 40 {
        assert!(
            Instant::now() < until,
            "{} descriptors",
            controller.open_descriptors()
        );
    }
    // Each stranger goes within 1 s of being taken; the last are taken when the first have gone.
    drop(strangers);
    let started_at = Instant::now();
    pong(&controller);
    assert!(
        started_at.elapsed() < Duration::from_secs(4),
        "{:?}",
        started_at.elapsed()
    );
    let log = controller.terminate();
    assert!(!log.contains("panicked"), "{log}");
}

/// One asks for signs of life without end, and reads them or not: it was served for as long as it asked. It is closed
/// within what all are owed, and all others are served.
#[test]
fn who_asks_without_end_is_closed() {
    let fixture = ControllerFixture::start(4);
    for reads in [false, true] {
        let mut asker = fixture.controller.connect();
        asker.set_write_timeout(Some(TIMEOUT)).expect("a limit");
        let asks: Vec<u8> = (0..1_000).flat_map(|_| resp_message("ping")).collect();
        let started_at = Instant::now();
        let mut answers = asker.try_clone().expect("a second handle");
        let reader =
            thread::spawn(
                move || while reads && answers.read(&mut [0; 4_096]).is_ok_and(|n| n > 0) {},
            );
        while asker.write_all(&asks).is_ok() {
            assert!(
                started_at.elapsed() < Duration::from_secs(3),
                "it is still read from"
            );
        }
        assert!(pong(&fixture.controller) < Duration::from_secs(1));
        reader.join().expect("no panic");
    }
    fixture.controller.terminate();
}
