//! Its ends: signals while a call, a start or a move is under way.

use crate::controller_process::*;
use crate::manual_peer::{
    ControllerFixture, ManualPeer, accept_pending_update_call, host_removal, small_buffer_listener,
};
use crate::scripted_peers::*;
use std::io::{Read, Write};
use std::process::Command;
use std::time::Duration;

/// A planned restart kills no sooner than 0.7 s after SIGTERM.
const BEFORE_THE_KILL: Duration = Duration::from_millis(700);

fn ends_in_time(mut controller: ControllerProcess, signal: &str) {
    controller.signal(signal);
    let ended = controller.exits_within(BEFORE_THE_KILL);
    assert!(
        ended.is_some_and(|ended| ended.success()),
        "{ended:?}: {}",
        controller.log()
    );
}

/// The relay has all of a call and has not answered.
#[test]
fn a_call_without_its_answer_holds_no_end_up() {
    for signal in ["-TERM", "-INT"] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        let (caller, _) = fixture.relay.wait_for_call(&host_removal(3));
        ends_in_time(fixture.controller, signal);
        fixture.relay.wait_for_close(caller);
    }
}

/// The relay has the first bytes of a call and reads no further; what it has by the end is no line.
#[test]
fn a_call_half_way_out_holds_no_end_up() {
    let (relay, at) = small_buffer_listener();
    let (discovery, _asked) = start_registry(1);
    let controller = ControllerProcess::start(discovery, at);
    let mut caller = accept_pending_update_call(&relay);
    caller
        .read_exact(&mut [0; 16])
        .expect("the call has started_at");
    ends_in_time(controller, "-TERM");
}

/// It knows no host yet, and discovery says nothing.
#[test]
fn before_the_first_list_it_ends_as_well() {
    for signal in ["-TERM", "-INT"] {
        let (mut relay, mut discovery) = (ManualPeer::start(), ManualPeer::start());
        let controller =
            ControllerProcess::start_with_command(discovery.address, relay.address, without_known);
        discovery.wait_for_line("GET /registry/instances HTTP");
        relay.accept_membership_watch(&[0, 1]);
        ends_in_time(controller, signal);
    }
}

/// The configuration without the list that it had.
fn without_known(command: Command) -> Command {
    let path = command
        .get_envs()
        .find(|(name, _)| *name == "RELAY_CONFIG")
        .and_then(|(_, path)| path);
    let path = path.expect("a configuration").to_owned();
    let text = std::fs::read_to_string(&path).expect("the file");
    std::fs::write(
        path,
        text.replace(&format!("\"known\":{}", ready_list(1)), "\"known\":null"),
    )
    .expect("written");
    command
}

/// SIGHUP is being carried out: the file is half written, or the new parties accept and say nothing.
#[test]
fn it_ends_while_it_moves() {
    let fixture = ControllerFixture::start(4);
    let good = std::fs::read_to_string(&fixture.controller.config).expect("the file");
    std::fs::write(&fixture.controller.config, &good[..good.len() / 2]).expect("written");
    fixture.controller.signal("-HUP");
    fixture
        .controller
        .wait_for_log("configuration reload failed", 1);
    ends_in_time(fixture.controller, "-TERM");

    let fixture = ControllerFixture::start(4);
    let (mut relay, mut discovery) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(discovery.address, relay.address);
    discovery.wait_for_line("GET /registry/instances HTTP");
    relay.wait_for_line("relay.watch");
    ends_in_time(fixture.controller, "-TERM");
}

/// A signal that came while the configuration was being read, as at a start under load, killed the controller: it was
/// followed only once the file was read.
#[test]
fn a_signal_at_the_start_waits_for_the_configuration() {
    let (relay_at, calls) = start_relay(4);
    let (discovery_at, _asked) = start_registry(1);
    let mut text = String::new();
    let mut pipe = None;
    let controller =
        ControllerProcess::start_with_command(discovery_at, relay_at, |mut command| {
            let path = command
                .get_envs()
                .find(|(name, _)| *name == "RELAY_CONFIG")
                .and_then(|(_, path)| path);
            let path = std::path::PathBuf::from(path.expect("a configuration"));
            text = std::fs::read_to_string(&path).expect("the file");
            let at = path.with_extension("pipe");
            assert!(
                Command::new("mkfifo")
                    .arg(&at)
                    .status()
                    .expect("mkfifo")
                    .success()
            );
            command.env("RELAY_CONFIG", &at);
            pipe = Some((at, path));
            command
        });
    let (at, path) = pipe.expect("a pipe");
    // This comes back once the controller has opened the other end.
    let mut writing = std::fs::OpenOptions::new()
        .write(true)
        .open(&at)
        .expect("opened");
    controller.signal("-HUP");
    // What is read again is a file like any other.
    std::fs::rename(&path, &at).expect("renamed");
    writing
        .write_all(text.as_bytes())
        .expect("the controller still reads");
    drop(writing);
    wait_for(&calls, "\"verb\":\"bind\"");
    let log = controller.terminate();
    assert_eq!(log.matches("configuration reloaded").count(), 1, "{log}");
}
