//! Termination by a signal during an update call, at start-up and during a reload.

use crate::controller_process::*;
use crate::manual_peer::{
    ControllerFixture, ManualPeer, accept_pending_update_call, host_removal, small_buffer_listener,
};
use crate::scripted_peers::*;
use std::io::{Read, Write};
use std::process::Command;
use std::time::Duration;

/// A planned restart sends SIGKILL no sooner than 0.7 s after SIGTERM.
const TERM_TO_KILL: Duration = Duration::from_millis(700);

fn assert_exits_in_time(mut controller: ControllerProcess, signal: &str) {
    controller.signal(signal);
    let status = controller.exits_within(TERM_TO_KILL);
    assert!(
        status.is_some_and(|status| status.success()),
        "{status:?}: {}",
        controller.log()
    );
}

/// The relay has received an entire update call and has not answered.
#[test]
fn an_unanswered_update_call_does_not_delay_termination() {
    for signal in ["-TERM", "-INT"] {
        let mut fixture = ControllerFixture::start(4);
        fixture.drain_host(2, 3);
        let (update_connection, _) = fixture.relay.wait_for_call(&host_removal(3));
        assert_exits_in_time(fixture.controller, signal);
        fixture.relay.wait_for_close(update_connection);
    }
}

/// The relay has read the first bytes of an update call and reads no further, so that the rest cannot be sent.
#[test]
fn a_partly_sent_update_call_does_not_delay_termination() {
    let (relay, relay_address) = small_buffer_listener();
    let (registry, _requests) = start_registry(1);
    let controller = ControllerProcess::start(registry, relay_address);
    let mut update_connection = accept_pending_update_call(&relay);
    update_connection
        .read_exact(&mut [0; 16])
        .expect("no byte of the call arrived");
    assert_exits_in_time(controller, "-TERM");
}

/// The configuration has no endpoint list, and the registry does not answer.
#[test]
fn the_controller_terminates_before_its_first_endpoint_list() {
    for signal in ["-TERM", "-INT"] {
        let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
        let controller = ControllerProcess::start_with_command(
            registry.address,
            relay.address,
            without_known_list,
        );
        registry.wait_for_line("GET /registry/instances HTTP");
        relay.accept_membership_watch(&[0, 1]);
        assert_exits_in_time(controller, signal);
    }
}

/// Removes the endpoint list from the configuration that the command names.
fn without_known_list(command: Command) -> Command {
    let path = command
        .get_envs()
        .find(|(name, _)| *name == "RELAY_CONFIG")
        .and_then(|(_, path)| path);
    let path = path.expect("no configuration path").to_owned();
    let text = std::fs::read_to_string(&path).expect("cannot read the file");
    std::fs::write(
        path,
        text.replace(&format!("\"known\":{}", ready_list(1)), "\"known\":null"),
    )
    .expect("cannot write");
    command
}

/// A reload is under way: the file is half written, or the new registry and relay accept connections and send nothing.
#[test]
fn the_controller_terminates_during_a_reload() {
    let fixture = ControllerFixture::start(4);
    let config_text =
        std::fs::read_to_string(&fixture.controller.config).expect("cannot read the file");
    std::fs::write(
        &fixture.controller.config,
        &config_text[..config_text.len() / 2],
    )
    .expect("cannot write");
    fixture.controller.signal("-HUP");
    fixture
        .controller
        .wait_for_log("configuration reload failed", 1);
    assert_exits_in_time(fixture.controller, "-TERM");

    let fixture = ControllerFixture::start(4);
    let (mut relay, mut registry) = (ManualPeer::start(), ManualPeer::start());
    fixture
        .controller
        .change_upstreams(registry.address, relay.address);
    registry.wait_for_line("GET /registry/instances HTTP");
    relay.wait_for_line("relay.watch");
    assert_exits_in_time(fixture.controller, "-TERM");
}

/// A signal that arrived while the configuration was being read, as at a start under load, killed the controller: the
/// signal handlers were installed only after the file had been read.
#[test]
fn a_signal_during_start_up_is_handled_after_the_configuration_is_read() {
    let (relay_address, calls) = start_relay(4);
    let (registry_address, _requests) = start_registry(1);
    let mut text = String::new();
    let mut pipe = None;
    let controller =
        ControllerProcess::start_with_command(registry_address, relay_address, |mut command| {
            let path = command
                .get_envs()
                .find(|(name, _)| *name == "RELAY_CONFIG")
                .and_then(|(_, path)| path);
            let path = std::path::PathBuf::from(path.expect("no configuration path"));
            text = std::fs::read_to_string(&path).expect("cannot read the file");
            let pipe_path = path.with_extension("pipe");
            assert!(
                Command::new("mkfifo")
                    .arg(&pipe_path)
                    .status()
                    .expect("cannot run mkfifo")
                    .success()
            );
            command.env("RELAY_CONFIG", &pipe_path);
            pipe = Some((pipe_path, path));
            command
        });
    let (pipe_path, path) = pipe.expect("no pipe was created");
    // Opening returns once the controller has opened the other end.
    let mut writer = std::fs::OpenOptions::new()
        .write(true)
        .open(&pipe_path)
        .expect("cannot open the pipe");
    controller.signal("-HUP");
    // The reload reads a regular file.
    std::fs::rename(&path, &pipe_path).expect("cannot rename");
    writer
        .write_all(text.as_bytes())
        .expect("the controller no longer reads the pipe");
    drop(writer);
    wait_for(&calls, "\"verb\":\"bind\"");
    let log = controller.terminate();
    assert_eq!(log.matches("configuration reloaded").count(), 1, "{log}");
}
