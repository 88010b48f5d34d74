//! The endpoint list, complete and as changes, and the errors of invalid lists (shown as `ListRefused`).

use pondarch_controller::EndpointState;
use pondarch_deployment::DeploymentNames;
use pondarch_platform_protocol::registry::{self, RegistryList};

const COMPLETE: &str = r#"{"generation":41,"reset":true,"instances":[
{"instanceId":"s-1","hostPort":"127.0.0.1:8080","zone":"east","machineType":"m2","cell":6,
"lifecycle":"Ready","weight":1.5,"startedAtMs":1700.5},
{"instanceId":"s-2","hostPort":"none","lifecycle":"Terminating"},
{"instanceId":"s-3","lifecycle":"Gone"}]}"#;

fn parse(text: &str) -> RegistryList {
    registry::parse(text.as_bytes()).expect("a valid list")
}

#[test]
fn complete_list() {
    let list = parse(COMPLETE);
    assert_eq!(
        (list.generation, list.complete, list.entries.len()),
        (41, true, 3)
    );
    let first = &list.entries[0];
    assert_eq!(&*first.host.0, "s-1");
    assert_eq!(
        first.address.map(|address| address.to_string()).as_deref(),
        Some("127.0.0.1:8080")
    );
    assert_eq!(
        (
            first.zone.as_str(),
            first.machine_type.as_str(),
            first.cell.0
        ),
        ("east", "m2", 6)
    );
    assert_eq!(
        (
            first.weight,
            (first.started - Default::default()).as_micros()
        ),
        (1.5, 1_700_500)
    );
    assert_eq!(first.state, EndpointState::Ready);
    let second = &list.entries[1];
    assert_eq!(
        (second.address, second.zone.as_str(), second.weight),
        (None, "", 0.0)
    );
    assert_eq!(second.state, EndpointState::Draining);
    assert_eq!(list.entries[2].state, EndpointState::Removed);
    let mut names = DeploymentNames::default();
    assert_eq!(first.to_endpoint(&mut names).zone.0, 0);
    assert_eq!(names.known_zone("east").map(|zone| zone.0), Some(0));
}

#[test]
fn changes_to_the_list() {
    let list = parse(
        r#"{"generation":42,"reset":false,"instances":[{"instanceId":"s-3","lifecycle":"Gone"}],"extra":1}"#,
    );
    assert_eq!(
        (list.generation, list.complete, list.entries.len()),
        (42, false, 1)
    );
    assert_eq!(
        parse(r#"{"generation":1,"reset":true,"instances":[]}"#)
            .entries
            .len(),
        0
    );
}

fn error_text(text: &str) -> String {
    registry::parse(text.as_bytes())
        .expect_err("an invalid list")
        .to_string()
}

#[test]
fn error_texts() {
    let missing = |name: &str| format!("cannot be read: missing field `{name}`");
    for (text, name) in [
        (r#"{"reset":true,"instances":[]}"#, "generation"),
        (r#"{"generation":1,"instances":[]}"#, "reset"),
        (r#"{"generation":1,"reset":true}"#, "instances"),
        (
            r#"{"generation":1,"reset":true,"instances":[{"lifecycle":"Ready"}]}"#,
            "instanceId",
        ),
        (
            r#"{"generation":1,"reset":true,"instances":[{"instanceId":"a"}]}"#,
            "lifecycle",
        ),
    ] {
        assert!(
            error_text(text).starts_with(&missing(name)),
            "{}",
            error_text(text)
        );
    }
    let entry = |id: &str, lifecycle: &str| {
        format!(
            r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"{id}","lifecycle":"{lifecycle}"}}]}}"#
        )
    };
    assert_eq!(
        error_text(&entry("", "Ready")),
        "entry 0: instanceId is empty or too long"
    );
    assert_eq!(
        error_text(&entry(&"x".repeat(129), "Ready")),
        "entry 0: instanceId is empty or too long"
    );
    assert_eq!(
        error_text(&entry("a", "ready")),
        "entry 0: lifecycle is unknown"
    );
    let one = r#"{"instanceId":"a","lifecycle":"Ready"}"#;
    let many = vec![one; 16_385].join(",");
    let many = format!(r#"{{"generation":1,"reset":true,"instances":[{many}]}}"#);
    assert_eq!(error_text(&many), "16385 entries; 16384 at most");
    assert_eq!(registry::MAX_LIST_BYTES, 4_194_304);
}
