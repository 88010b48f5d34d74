//! The file config.json with each of its keys, the values that the environment gives, and the refusals.

use pondarch_controller::{AdmissionMode, RetryPolicy};
use pondarch_platform_protocol::config::{self, Config, Env};
use serde_json::{Value, json};

const FILE: &str = r#"{"name":"steward-2","listen":"127.0.0.1:7001","discovery":"127.0.0.1:7002",
"hub":{"address":"127.0.0.1:7003"},"seed":"00000000000000ff","limits":{"sockets":99},
"known":{"generation":7,"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"Ready"}]},
"settings":{"localities":["east","west"],"machineTypes":["m1"],
"classes":[{"name":"lookup","aim":250000,"worth":2.5},{"name":"order","aim":1,"worth":1}],
"familyInfo":{"proxies":40,"partitionsN":2,"classOwnZone":[true,false],"baseMode":2,"admission":"share",
"channelRate":800,"mostWaiting":900,"perMessage":3,"updateCap":12,"updateWindow":10000000,"reportEvery":1000000},
"obligations":{"askWithin":1,"startCapacity":0.2,"cold":2,"stopSendingWithin":3,"removalNotBinding":true},
"limits":{"probes":true},"discovery":"on_request","prices":{"crossZone":0.06},
"report":{"source":"header","fields":["util","queue"]}}}"#;

fn environment() -> Env {
    let text = |text: &str| Some(text.to_string());
    Env {
        name: text("other"),
        listen: text("127.0.0.9:1"),
        discovery: text("127.0.0.9:2"),
    }
}

fn read(text: &str, environment: &Env) -> Config {
    config::read(text.as_bytes(), environment).expect("a good file")
}

#[test]
fn file_wins_over_the_environment() {
    let all = read(FILE, &environment());
    assert_eq!(
        (all.name.as_str(), all.listen.to_string().as_str()),
        ("steward-2", "127.0.0.1:7001")
    );
    assert_eq!(all.around.discovery.to_string(), "127.0.0.1:7002");
    assert_eq!(all.around.relay.to_string(), "127.0.0.1:7003");
    assert_eq!((all.seed, all.sockets), (255, 99));
    let known = all.known.expect("a known list");
    assert_eq!(
        (known.generation, known.whole, known.entries.len()),
        (7, true, 1)
    );
    let moved = config::read_around(FILE.as_bytes(), &environment()).expect("a good file");
    assert_eq!((moved.discovery.port(), moved.relay.port()), (7_002, 7_003));
}

#[test]
fn environment_fills_in() {
    let text = r#"{"hub":{"address":"127.0.0.1:7003"},"known":null,"settings":{}}"#;
    let all = read(text, &environment());
    assert_eq!(
        (all.name.as_str(), all.listen.to_string().as_str()),
        ("other", "127.0.0.9:1")
    );
    assert_eq!(all.around.discovery.to_string(), "127.0.0.9:2");
    assert!(all.known.is_none() && all.sockets == 256);
    let unnamed = Env {
        name: None,
        ..environment()
    };
    assert_eq!(read(text, &unnamed).name, "steward");
}

#[test]
fn settings_names() {
    let all = read(FILE, &Env::default());
    let names = &all.names;
    assert_eq!(names.kinds(), ["lookup", "order"]);
    assert_eq!(names.report_fields(), ["util", "queue"]);
    assert_eq!(names.known_zone("west").map(|zone| zone.0), Some(1));
    let ticket = &all.ticket;
    let kind = &ticket.request_classes[0];
    assert_eq!(
        (
            kind.latency_objective.as_micros(),
            kind.priority_weight,
            kind.zone_local
        ),
        (250_000, 2.5, true)
    );
    assert_eq!(
        (ticket.proxy_count, ticket.partitioned, ticket.zone_count),
        (40, true, 2)
    );
    assert_eq!(
        (ticket.base_retry_policy, ticket.admission),
        (Some(RetryPolicy::OnceOnFailure), AdmissionMode::Share)
    );
    assert_eq!(
        (
            ticket.update_rate,
            ticket.max_queued_lines,
            ticket.message_overhead_lines
        ),
        (800.0, 900.0, 3.0)
    );
    assert_eq!(
        (
            ticket.max_messages_per_window,
            ticket.message_window.as_micros()
        ),
        (12, 10_000_000)
    );
    assert_eq!(
        (ticket.poll_endpoints, ticket.poll_interval.as_micros()),
        (true, 1)
    );
    assert_eq!(
        (ticket.health_checks, ticket.report_interval.as_micros()),
        (true, 1_000_000)
    );
    assert_eq!(
        (
            ticket.initial_capacity,
            ticket.slow_start_window.as_micros()
        ),
        (0.2, 2)
    );
    assert_eq!(
        (
            ticket.drain_grace_period.as_micros(),
            ticket.removal_is_advisory
        ),
        (3, true)
    );
    assert_eq!(ticket.cross_zone_cost, 0.06);
}

#[test]
fn settings_words() {
    let with = |key: &str, section: &str, value: Value| {
        let mut all: Value = serde_json::from_str(FILE).expect("an object");
        all["settings"][section][key] = value;
        read(&all.to_string(), &Env::default())
    };
    let admission = |word: &str| {
        with("admission", "familyInfo", json!(word))
            .ticket
            .admission
    };
    assert_eq!(
        (admission("rate"), admission("off")),
        (AdmissionMode::Rate, AdmissionMode::Off)
    );
    let modes = [
        RetryPolicy::Never,
        RetryPolicy::IfUnprocessed,
        RetryPolicy::OnceOnFailure,
        RetryPolicy::TwiceOnFailure,
    ];
    for (number, tries) in modes.into_iter().enumerate() {
        assert_eq!(
            with("baseMode", "familyInfo", json!(number))
                .ticket
                .base_retry_policy,
            Some(tries)
        );
    }
    assert!(
        with("source", "report", json!("off"))
            .names
            .report_fields()
            .is_empty()
    );
}

#[test]
fn refusal_texts() {
    let refusal = |text: &str| {
        config::read(text.as_bytes(), &Env::default())
            .expect_err("a bad file")
            .to_string()
    };
    let without = |path: &str| {
        let mut all: Value = serde_json::from_str(FILE).expect("an object");
        *all.pointer_mut(path).expect("a key") = Value::Null;
        refusal(&all.to_string())
    };
    assert_eq!(without("/listen"), "'listen' is missing or is no address");
    assert_eq!(
        without("/discovery"),
        "'discovery' is missing or is no address"
    );
    assert_eq!(
        without("/hub/address"),
        "'hub.address' is missing or is no address"
    );
    assert_eq!(without("/settings"), "settings: not an object");
    let known = without("/known/generation");
    assert!(
        known.starts_with("known: cannot be read: invalid type: null"),
        "{known}"
    );
    assert!(refusal("{").starts_with("cannot be read: "));
}
