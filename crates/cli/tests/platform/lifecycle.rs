//! A whole course: serving, a move, an end; memory and descriptors; strangers.

use crate::controller_process::*;
use crate::scripted_peers::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

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
        let ended = platform_command(config).output().expect("the program");
        let text = String::from_utf8_lossy(&ended.stderr);
        assert_eq!(ended.status.code(), Some(2), "{text}");
        assert!(text.lines().count() == 1 && text.contains(says), "{text}");
    }
}

#[test]
fn it_serves_moves_and_ends() {
    let (relay_address, calls) = start_relay(12);
    let (registry_address, asked) = start_registry(1);
    let controller = ControllerProcess::start(registry_address, relay_address);
    wait_for(&calls, "relay.watch");
    wait_for(&calls, "\"verb\":\"bind\"");
    wait_for(&asked, "follow=1&since=1");
    // The watch falls silent: it is renewed within the time after which changes count as told.
    wait_for(&asked, "follow=1&since=1");

    // A file that is half written changes nothing, even if told twice; a good one does, and lists are asked for anew.
    let good = std::fs::read_to_string(&controller.config).expect("the file");
    std::fs::write(&controller.config, &good[..good.len() / 2]).expect("written");
    controller.signal("-HUP");
    controller.signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    let (next_relay, next_calls) = start_relay(12);
    let (next_registry, next_requests) = start_registry(0);
    std::fs::write(
        &controller.config,
        config(controller.listen, next_registry, next_relay),
    )
    .expect("written");
    wait_for(&next_requests, "GET /registry/instances HTTP");
    wait_for(&next_calls, "relay.watch");
    // The new list has other hosts, under a lower version: they are dealt, by whichever address serves then.
    let until = Instant::now() + TIMEOUT;
    let (mut dealt, mut bound) = (false, false);
    while !dealt || !bound {
        dealt |= calls.try_iter().any(|line| line.contains("s-0-"));
        for line in next_calls.try_iter() {
            (dealt, bound) = (
                dealt || line.contains("s-0-"),
                bound || line.contains("\"verb\":\"bind\""),
            );
        }
        assert!(
            Instant::now() < until,
            "new hosts dealt: {dealt}, proxies bound by the new relay: {bound}"
        );
        thread::sleep(Duration::from_millis(5));
    }
    let log = controller.terminate();
    // Two signals may be told as one.
    assert!(
        (1..=2).contains(&log.matches("configuration reload failed").count()),
        "once a signal: {log}"
    );
}

/// The relay moves while a call is under way there: that call ends where it began, and none is taken for lost.
#[test]
fn a_call_under_way_ends_where_it_began() {
    let (relay_address, calls) = start_slow_relay(12, Duration::from_millis(200));
    let (registry_address, _requests) = start_registry(1);
    let controller = ControllerProcess::start(registry_address, relay_address);
    wait_for(&calls, "\"verb\":\"bind\"");
    let (next_relay, next_calls) = start_relay(14);
    std::fs::write(
        &controller.config,
        config(controller.listen, registry_address, next_relay),
    )
    .expect("written");
    controller.signal("-HUP");
    wait_for(&next_calls, "relay.watch");
    // Whoever joined meanwhile is bound by the new relay alone.
    wait_for(&next_calls, "\"bind\",\"id\":13");
    let log = controller.terminate();
    assert!(
        !log.contains("update call failed") && !log.contains("relay connection failed"),
        "{log}"
    );
}

/// A host drains while the watch is silent: the next watch tells, well within the time after which it counts as told.
#[test]
fn a_silent_watch_hides_no_drain_for_long() {
    let (relay_address, calls) = start_relay(4);
    let (registry_address, _requests) = start_registry_with_watch(
        1,
        Some(|number, line| {
            if number > 0 {
                let hosts: Vec<String> = (0..8)
                    .map(|n| host_entry(1, n, if n == 3 { "Terminating" } else { "Ready" }))
                    .collect();
                line(&endpoint_list(2, &hosts))?;
            }
            thread::sleep(Duration::from_secs(60));
            Some(())
        }),
    );
    let controller = ControllerProcess::start(registry_address, relay_address);
    wait_for(&calls, "\"target\":\"s-1-3\"");
    let before = Instant::now();
    wait_for(&calls, "\"target\":\"s-1-3\",\"rps\":0.0}");
    assert!(
        before.elapsed() < Duration::from_secs(4),
        "{:?}",
        before.elapsed()
    );
    controller.terminate();
}

/// Hosts under new ids fifty times a second, and strangers all the while: memory and descriptors stay as they were.
#[test]
fn many_releases_and_strangers_leave_nothing_behind() {
    let (relay_address, calls) = start_relay(4);
    let (registry_address, _requests) = start_registry_with_watch(
        1,
        Some(|_, line| {
            for version in 2..1_000 {
                line(&ready_list(version))?;
                thread::sleep(Duration::from_millis(20));
            }
            Some(())
        }),
    );
    let controller = ControllerProcess::start(registry_address, relay_address);
    wait_for(&calls, "\"verb\":\"bind\"");
    let strangers = |rounds: usize| {
        for _ in 0..rounds {
            let mut some: Vec<TcpStream> = (0..10).map(|_| controller.connect()).collect();
            some.iter_mut()
                .for_each(|stranger| drop(stranger.write_all(&resp_message("odd"))));
            thread::sleep(Duration::from_millis(20));
        }
    };
    strangers(100);
    let (memory, descriptors) = (controller.resident_kib(), controller.open_descriptors());
    strangers(200);
    // Hosts of the last 30 s are still known, some 300 bytes each; a connection or task that stays takes far more.
    let grown = controller.resident_kib().saturating_sub(memory);
    assert!(grown < 3_000, "{grown} KiB more than {memory}");
    assert!(
        controller.open_descriptors() <= descriptors + 12,
        "{} then {}",
        descriptors,
        controller.open_descriptors()
    );
    controller.terminate();
}

#[test]
fn strangers_are_refused_and_lock_nobody_out() {
    let (relay_address, _calls) = start_relay(4);
    let (registry_address, _requests) = start_registry(1);
    let controller = ControllerProcess::start(registry_address, relay_address);
    let mut ping = controller.connect();
    ping.write_all(&resp_message("ping")).expect("written");
    let mut pong = [0; 14];
    ping.read_exact(&mut pong).expect("an answer");
    assert_eq!(&pong, b"*1\r\n$4\r\npong\r\n");
    drop(ping);

    let mut collector = controller.connect();
    collector
        .write_all(&resp_message("collector site a"))
        .expect("written");
    let before = Instant::now();
    let silent: Vec<TcpStream> = (0..400).map(|_| controller.connect()).collect();
    for bad in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        b"*1000000000000000000\r\n".to_vec(),
        resp_message("collector site nowhere"),
        resp_message("joined id 3 site a rps 2 new 1"),
        resp_message("heard site a target s-1-1 count 5 fail 0 mean 4 over 1000"),
        resp_message("ping")[..7].to_vec(),
        vec![b'*'; 100_000],
    ] {
        let mut stranger = controller.connect();
        // It may be closed before all is written.
        stranger.write_all(&bad).ok();
        let answer = read_until_closed(stranger);
        assert!(
            answer.is_empty() || answer == "*1\r\n$7\r\nrefused\r\n",
            "{answer}"
        );
    }
    assert!(before.elapsed() < Duration::from_secs(3));
    assert!(
        controller.open_descriptors() <= 128,
        "{} descriptors",
        controller.open_descriptors()
    );
    // Reports go on all the while, spoilt ones among them.
    for text in [
        "heard site a target s-1-1 count 5 fail 9 mean 4 over 1000",
        "usage id 3 lane proof",
        "odd",
    ] {
        collector
            .write_all(&resp_message(text))
            .expect("the collector's connection stands");
    }
    thread::sleep(Duration::from_millis(1_300));
    collector
        .write_all(&resp_message(
            "usage id 3 lane proof count 4 fail 0 over 1000",
        ))
        .expect("written");
    thread::sleep(Duration::from_millis(50));
    collector.set_nonblocking(true).expect("set");
    let waits = collector
        .read(&mut [0; 8])
        .expect_err("nothing is ever written to a collector");
    assert_eq!(waits.kind(), std::io::ErrorKind::WouldBlock);
    drop(silent);
    thread::sleep(Duration::from_millis(300));
    assert!(
        controller.open_descriptors() < 40,
        "{} descriptors",
        controller.open_descriptors()
    );
}
