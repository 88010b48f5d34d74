//! Each key of the configuration file, the defaults from the environment, and the errors of invalid files.

use pondarch_controller::{AdmissionMode, RetryPolicy};
use pondarch_platform_protocol::config::{self, EnvironmentDefaults, PlatformConfig};
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

fn environment() -> EnvironmentDefaults {
    let text = |text: &str| Some(text.to_string());
    EnvironmentDefaults {
        name: text("other"),
        listen: text("127.0.0.9:1"),
        registry: text("127.0.0.9:2"),
    }
}

fn parse(text: &str, environment: &EnvironmentDefaults) -> PlatformConfig {
    config::parse(text.as_bytes(), environment).expect("a valid file")
}

#[test]
fn file_takes_precedence_over_the_environment() {
    let config = parse(FILE, &environment());
    assert_eq!(
        (config.name.as_str(), config.listen.to_string().as_str()),
        ("steward-2", "127.0.0.1:7001")
    );
    assert_eq!(config.upstreams.registry.to_string(), "127.0.0.1:7002");
    assert_eq!(config.upstreams.relay.to_string(), "127.0.0.1:7003");
    assert_eq!((config.seed, config.max_descriptors), (255, 99));
    let known = config.known_endpoints.expect("a known list");
    assert_eq!(
        (known.generation, known.complete, known.entries.len()),
        (7, true, 1)
    );
    let upstreams = config::parse_upstreams(FILE.as_bytes(), &environment()).expect("a valid file");
    assert_eq!(
        (upstreams.registry.port(), upstreams.relay.port()),
        (7_002, 7_003)
    );
}

#[test]
fn environment_sets_what_the_file_does_not() {
    let text = r#"{"hub":{"address":"127.0.0.1:7003"},"known":null,"settings":{}}"#;
    let config = parse(text, &environment());
    assert_eq!(
        (config.name.as_str(), config.listen.to_string().as_str()),
        ("other", "127.0.0.9:1")
    );
    assert_eq!(config.upstreams.registry.to_string(), "127.0.0.9:2");
    assert!(config.known_endpoints.is_none() && config.max_descriptors == 256);
    let unnamed = EnvironmentDefaults {
        name: None,
        ..environment()
    };
    assert_eq!(parse(text, &unnamed).name, "steward");
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "the values of one file are checked in one test"
)]
fn settings_keys() {
    let config = parse(FILE, &EnvironmentDefaults::default());
    let names = &config.names;
    assert_eq!(names.request_classes(), ["lookup", "order"]);
    assert_eq!(names.report_fields(), ["util", "queue"]);
    assert_eq!(names.known_zone("west").map(|zone| zone.0), Some(1));
    let deployment = &config.deployment;
    let class = &deployment.request_classes[0];
    assert_eq!(
        (
            class.latency_objective.as_micros(),
            class.priority_weight,
            class.zone_local
        ),
        (250_000, 2.5, true)
    );
    assert_eq!(
        (
            deployment.proxy_count,
            deployment.partitioned,
            deployment.zone_count
        ),
        (40, true, 2)
    );
    assert_eq!(
        (deployment.base_retry_policy, deployment.admission),
        (Some(RetryPolicy::OnceOnFailure), AdmissionMode::Fraction)
    );
    assert_eq!(
        (
            deployment.update_rate,
            deployment.max_queued_lines,
            deployment.message_overhead_lines
        ),
        (800.0, 900.0, 3.0)
    );
    assert_eq!(
        (
            deployment.max_messages_per_window,
            deployment.message_window.as_micros()
        ),
        (12, 10_000_000)
    );
    assert_eq!(
        (
            deployment.poll_endpoints,
            deployment.poll_interval.as_micros()
        ),
        (true, 1)
    );
    assert_eq!(
        (
            deployment.health_checks,
            deployment.report_interval.as_micros()
        ),
        (true, 1_000_000)
    );
    assert_eq!(
        (
            deployment.initial_capacity,
            deployment.slow_start_window.as_micros()
        ),
        (0.2, 2)
    );
    assert_eq!(
        (
            deployment.drain_grace_period.as_micros(),
            deployment.removal_is_advisory
        ),
        (3, true)
    );
    assert_eq!(deployment.cross_zone_cost, 0.06);
}

#[test]
fn settings_values() {
    let with_setting = |key: &str, section: &str, value: Value| {
        let mut config: Value = serde_json::from_str(FILE).expect("an object");
        config["settings"][section][key] = value;
        parse(&config.to_string(), &EnvironmentDefaults::default())
    };
    let admission = |value: &str| {
        with_setting("admission", "familyInfo", json!(value))
            .deployment
            .admission
    };
    assert_eq!(
        (admission("rate"), admission("off")),
        (AdmissionMode::Rate, AdmissionMode::Off)
    );
    let retry_policies = [
        RetryPolicy::Never,
        RetryPolicy::IfUnprocessed,
        RetryPolicy::OnceOnFailure,
        RetryPolicy::TwiceOnFailure,
    ];
    for (number, retry_policy) in retry_policies.into_iter().enumerate() {
        assert_eq!(
            with_setting("baseMode", "familyInfo", json!(number))
                .deployment
                .base_retry_policy,
            Some(retry_policy)
        );
    }
    assert!(
        with_setting("source", "report", json!("off"))
            .names
            .report_fields()
            .is_empty()
    );
}

#[test]
fn error_texts() {
    let error_text = |text: &str| {
        config::parse(text.as_bytes(), &EnvironmentDefaults::default())
            .expect_err("an invalid file")
            .to_string()
    };
    let without = |path: &str| {
        let mut config: Value = serde_json::from_str(FILE).expect("an object");
        *config.pointer_mut(path).expect("a key") = Value::Null;
        error_text(&config.to_string())
    };
    assert_eq!(
        without("/listen"),
        "'listen' is missing or is not an address"
    );
    assert_eq!(
        without("/discovery"),
        "'discovery' is missing or is not an address"
    );
    assert_eq!(
        without("/hub/address"),
        "'hub.address' is missing or is not an address"
    );
    assert_eq!(without("/settings"), "settings: not an object");
    let known = without("/known/generation");
    assert!(
        known.starts_with("known: cannot be read: invalid type: null"),
        "{known}"
    );
    assert!(error_text("{").starts_with("cannot be read: "));
}
