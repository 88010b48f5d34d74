//! Whole runs of the controller: start, reload and termination; memory and file descriptors; unidentified clients.

use crate::controller_process::*;
use crate::scripted_peers::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn an_invalid_configuration_is_reported_and_ends_the_program() {
    let folder = tempfile::tempdir().expect("no temporary directory");
    let invalid_config = folder.path().join("config.json");
    std::fs::write(&invalid_config, "{\"name\":").expect("cannot write");
    for (config, expected) in [
        (None, "RELAY_CONFIG"),
        (Some(invalid_config.as_path()), "config.json"),
        (Some(Path::new("/nowhere")), "/nowhere"),
    ] {
        let output = platform_command(config)
            .output()
            .expect("cannot start the program");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(
            text.lines().count() == 1 && text.contains(expected),
            "{text}"
        );
    }
}

#[test]
fn the_controller_serves_reloads_and_terminates() {
    let (relay_address, calls) = start_relay(12);
    let (registry_address, requests) = start_registry(1);
    let controller = ControllerProcess::start(registry_address, relay_address);
    wait_for(&calls, "relay.watch");
    wait_for(&calls, "\"verb\":\"bind\"");
    wait_for(&requests, "follow=1&since=1");
    // The watch is silent: it is renewed within the time after which the controller is expected to know a change.
    wait_for(&requests, "follow=1&since=1");

    // A half-written file changes nothing, even with two signals; a valid one is applied, and the list is requested again.
    let valid = std::fs::read_to_string(&controller.config).expect("cannot read the file");
    std::fs::write(&controller.config, &valid[..valid.len() / 2]).expect("cannot write");
    controller.signal("-HUP");
    controller.signal("-HUP");
    thread::sleep(Duration::from_millis(300));
    let (next_relay, next_calls) = start_relay(12);
    let (next_registry, next_requests) = start_registry(0);
    std::fs::write(
        &controller.config,
        config(controller.listen, next_registry, next_relay),
    )
    .expect("cannot write");
    wait_for(&next_requests, "GET /registry/instances HTTP");
    wait_for(&next_calls, "relay.watch");
    // The new list has other hosts and a lower generation: these hosts are put into tables, through whichever relay is in
    // use then.
    let deadline = Instant::now() + TIMEOUT;
    let (mut listed, mut bound) = (false, false);
    while !listed || !bound {
        listed |= calls.try_iter().any(|line| line.contains("s-0-"));
        for line in next_calls.try_iter() {
            (listed, bound) = (
                listed || line.contains("s-0-"),
                bound || line.contains("\"verb\":\"bind\""),
            );
        }
        assert!(
            Instant::now() < deadline,
            "new hosts in tables: {listed}, proxies bound by the new relay: {bound}"
        );
        thread::sleep(Duration::from_millis(5));
    }
    let log = controller.terminate();
    // Two signals may be delivered as one.
    assert!(
        (1..=2).contains(&log.matches("configuration reload failed").count()),
        "not one failure per signal: {log}"
    );
}

/// The relay moves while an update call to it is in flight: the call is completed on the old connection and not taken for
/// lost.
#[test]
fn an_update_call_in_flight_completes_on_the_old_relay() {
    let (relay_address, calls) = start_slow_relay(12, Duration::from_millis(200));
    let (registry_address, _requests) = start_registry(1);
    let controller = ControllerProcess::start(registry_address, relay_address);
    wait_for(&calls, "\"verb\":\"bind\"");
    let (next_relay, next_calls) = start_relay(14);
    std::fs::write(
        &controller.config,
        config(controller.listen, registry_address, next_relay),
    )
    .expect("cannot write");
    controller.signal("-HUP");
    wait_for(&next_calls, "relay.watch");
    // Proxies that only the new relay lists are bound through it.
    wait_for(&next_calls, "\"bind\",\"id\":13");
    let log = controller.terminate();
    assert!(
        !log.contains("update call failed") && !log.contains("relay connection failed"),
        "{log}"
    );
}

/// A host drains while the watch is silent: the next watch reports it, well within the time after which the controller is
/// expected to know.
#[test]
fn a_drain_during_a_silent_watch_is_noticed_in_time() {
    let (relay_address, calls) = start_relay(4);
    let (registry_address, _requests) = start_registry_with_watch(
        1,
        Some(|watch_index, send_line| {
            if watch_index > 0 {
                let hosts: Vec<String> = (0..8)
                    .map(|n| host_entry(1, n, if n == 3 { "Terminating" } else { "Ready" }))
                    .collect();
                send_line(&endpoint_list(2, &hosts))?;
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

/// Hosts get new ids fifty times per second while unidentified clients connect: the use of memory and of file descriptors
/// does not grow.
#[test]
fn many_releases_and_unidentified_clients_leak_no_memory_or_descriptors() {
    let (relay_address, calls) = start_relay(4);
    let (registry_address, _requests) = start_registry_with_watch(
        1,
        Some(|_, send_line| {
            for generation in 2..1_000 {
                send_line(&ready_list(generation))?;
                thread::sleep(Duration::from_millis(20));
            }
            Some(())
        }),
    );
    let controller = ControllerProcess::start(registry_address, relay_address);
    wait_for(&calls, "\"verb\":\"bind\"");
    let connect_unidentified = |rounds: usize| {
        for _ in 0..rounds {
            let mut clients: Vec<TcpStream> = (0..10).map(|_| controller.connect()).collect();
            clients
                .iter_mut()
                .for_each(|client| drop(client.write_all(&resp_message("odd"))));
            thread::sleep(Duration::from_millis(20));
        }
    };
    connect_unidentified(100);
    let (memory, descriptors) = (controller.resident_kib(), controller.open_descriptors());
    connect_unidentified(200);
    // Hosts of the last 30 s are still known, at some 300 bytes each; a leaked connection or task takes far more.
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
fn unidentified_clients_are_rejected_and_block_no_others() {
    let (relay_address, _calls) = start_relay(4);
    let (registry_address, _requests) = start_registry(1);
    let controller = ControllerProcess::start(registry_address, relay_address);
    let mut ping = controller.connect();
    ping.write_all(&resp_message("ping")).expect("cannot write");
    let mut pong = [0; 14];
    ping.read_exact(&mut pong).expect("no response");
    assert_eq!(&pong, b"*1\r\n$4\r\npong\r\n");
    drop(ping);

    let mut collector = controller.connect();
    collector
        .write_all(&resp_message("collector site a"))
        .expect("cannot write");
    let before = Instant::now();
    let silent_clients: Vec<TcpStream> = (0..400).map(|_| controller.connect()).collect();
    for invalid in [
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        b"*1000000000000000000\r\n".to_vec(),
        resp_message("collector site nowhere"),
        resp_message("joined id 3 site a rps 2 new 1"),
        resp_message("heard site a target s-1-1 count 5 fail 0 mean 4 over 1000"),
        resp_message("ping")[..7].to_vec(),
        vec![b'*'; 100_000],
    ] {
        let mut client = controller.connect();
        // The connection may be closed before all is written.
        client.write_all(&invalid).ok();
        let response = read_until_closed(client);
        assert!(
            response.is_empty() || response == "*1\r\n$7\r\nrefused\r\n",
            "{response}"
        );
    }
    assert!(before.elapsed() < Duration::from_secs(3));
    assert!(
        controller.open_descriptors() <= 128,
        "{} descriptors",
        controller.open_descriptors()
    );
    // The collector keeps sending reports meanwhile, invalid ones among them.
    for text in [
        "heard site a target s-1-1 count 5 fail 9 mean 4 over 1000",
        "usage id 3 lane proof",
        "odd",
    ] {
        collector
            .write_all(&resp_message(text))
            .expect("the collector's connection was closed");
    }
    thread::sleep(Duration::from_millis(1_300));
    collector
        .write_all(&resp_message(
            "usage id 3 lane proof count 4 fail 0 over 1000",
        ))
        .expect("cannot write");
    thread::sleep(Duration::from_millis(50));
    collector
        .set_nonblocking(true)
        .expect("cannot set the socket option");
    let error = collector
        .read(&mut [0; 8])
        .expect_err("nothing is ever written to a collector");
    assert_eq!(error.kind(), std::io::ErrorKind::WouldBlock);
    drop(silent_clients);
    thread::sleep(Duration::from_millis(300));
    assert!(
        controller.open_descriptors() < 40,
        "{} descriptors",
        controller.open_descriptors()
    );
}
