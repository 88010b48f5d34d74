//! Many controllers that start at the same time, while hosts are warming up.

use crate::controller_process::*;
use crate::scripted_peers::*;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// 24 controllers start at the same time; most hosts of the list have just started as well, and all proxies join within
/// the first second. All controllers answer pings within 10 s, and each binds all of its proxies.
#[test]
fn two_dozen_controllers_start_at_once_with_warming_hosts() {
    let (registry_address, _requests) = start_registry_with_watch(
        1,
        Some(|_, send_line| {
            let now = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .expect("the clock is before 1970")
                .as_millis();
            let started = |n: usize| if n < 5 { now } else { 0 };
            let hosts = (0..8).map(|n| {
                host_entry(1, n, "Ready").replace(
                    "\"startedAtMs\":0",
                    &format!("\"startedAtMs\":{}", started(n)),
                )
            });
            send_line(&endpoint_list(2, &hosts.collect::<Vec<_>>()))?;
            thread::sleep(Duration::from_secs(60));
            Some(())
        }),
    );
    let started_at = Instant::now();
    let controllers: Vec<_> = (0..24)
        .map(|_| {
            let (relay_address, calls) = start_relay(20);
            (
                ControllerProcess::start(registry_address, relay_address),
                calls,
            )
        })
        .collect();
    for (controller, _) in &controllers {
        let mut ping = controller.connect();
        ping.write_all(&resp_message("ping")).expect("cannot write");
        let mut pong = [0; 14];
        ping.read_exact(&mut pong).expect("no response");
        assert_eq!(&pong, b"*1\r\n$4\r\npong\r\n");
    }
    assert!(
        started_at.elapsed() < Duration::from_secs(10),
        "{:?}",
        started_at.elapsed()
    );
    for (controller, calls) in controllers {
        let mut bound = std::collections::BTreeSet::new();
        let deadline = Instant::now() + TIMEOUT;
        while bound.len() < 20 {
            assert!(Instant::now() < deadline, "{} of 20 are bound", bound.len());
            let Ok(line) = calls.recv_timeout(TIMEOUT) else {
                panic!("{} of 20 are bound", bound.len())
            };
            let call: serde_json::Value =
                serde_json::from_str(&line).expect("the line is not JSON");
            let changes = call["params"]["changes"]
                .as_array()
                .map(Vec::as_slice)
                .unwrap_or_default();
            bound.extend(
                changes
                    .iter()
                    .filter(|change| change["verb"] == "bind")
                    .filter_map(|change| change["id"].as_u64()),
            );
        }
        controller.terminate();
    }
}
