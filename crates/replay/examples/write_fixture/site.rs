//! The settings and hosts of the recorded runs.

use pondarch_config::HostEntry;
use pondarch_config::hosts::HostState;

/// Returns settings with every feature that is recorded: solved weights, DNS names, pushed reports, a DNS secondary.
pub(crate) fn settings() -> String {
    let class_json = |name: &str| {
        format!(
            r#"{{"name": "{name}", "response_target": "1 s", "client_timeout": "3 s", "benefit": 1, "repeats": "replayable"}}"#
        )
    };
    format!(
        r#"{{"name": "steward", "zones": ["ede", "arnhem"], "kinds": [{}, {}],
        "proxies": [{{"name": "front-0", "zone": "ede", "usual_rate": 5, "runtime": "unix:/front-0"}},
                    {{"name": "front-1", "zone": "arnhem", "usual_rate": 5, "runtime": "unix:/front-1"}},
                    {{"name": "front-2", "zone": "ede", "usual_rate": 5}}],
        "hosts_file": "hosts", "cold": {{"start_share": 0.2, "warm_within": "18 s"}},
        "probes": {{"path": "/health", "load_every": "2 s"}}, "weights": "solved", "crossing_price": 0.06,
        "reports": {{"push": "unix:/push"}},
        "dns": {{"zone": "pond.test", "listen": "127.0.0.1:0", "grace": "6 s",
                 "secondaries": [{{"address": "127.0.0.1:5300", "key": "copy", "secret_file": "secret"}}]}},
        "channel": {{"lines_per_second": 4000, "most_waiting": 4000, "message_cap": 6, "message_window": "10 s"}}}}"#,
        class_json("proof"),
        class_json("order")
    )
}

/// Returns the hosts of the first endpoint list.
pub(crate) fn hosts() -> Vec<HostEntry> {
    (0..6).map(host).collect()
}

/// Returns host number `n`.
pub(crate) fn host(n: usize) -> HostEntry {
    HostEntry {
        name: format!("host-{n}"),
        address: ([127, 0, 0, n as u8 + 1], 8000).into(),
        zone: ["ede", "arnhem"][n % 2].into(),
        rack: format!("rack-{}", n / 2),
        machine: format!("machine-{n}"),
        weight: 1.0 + n as f64 / 8.0,
        cores: (n == 3).then_some(4.0),
        started: None,
        state: HostState::Ready,
    }
}
