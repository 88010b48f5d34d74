//! Calls to the relay with each kind of update, and each kind of answer and event that the relay writes.

use pondarch_controller::{AckId, Decision, HostId, ProxyId, RequestClassId, RetryPolicy, TableId};
use pondarch_platform_protocol::relay::{self, MembershipEvent, RelayMessage};
use std::time::Duration;

fn update(decision: Decision) -> Option<String> {
    relay::encode_update(&decision, &["lookup".into(), "order".into()])
}

fn weight(weight: Option<f64>) -> Option<String> {
    update(Decision::SetWeight {
        table: TableId(4),
        host: HostId("s-5be2a07c".into()),
        weight,
    })
}

fn bind(classes: Vec<RequestClassId>) -> Option<String> {
    update(Decision::BindProxy {
        proxy: ProxyId(17),
        table: TableId(4),
        classes,
    })
}

fn admission_rate(retry_policy: RetryPolicy) -> Option<String> {
    update(Decision::SetAdmissionRate {
        table: TableId(4),
        class: RequestClassId(1),
        quota: 0.9,
        retry_policy,
    })
}

#[test]
fn weight_update_text() {
    let set = r#"{"verb":"share","cluster":4,"target":"s-5be2a07c","rps":1.5}"#;
    assert_eq!(weight(Some(1.5)).as_deref(), Some(set));
    let removed = r#"{"verb":"share","cluster":4,"target":"s-5be2a07c","rps":0.0}"#;
    assert_eq!(weight(None).as_deref(), Some(removed));
}

#[test]
fn binding_update_text() {
    assert_eq!(
        bind(vec![]).as_deref(),
        Some(r#"{"verb":"bind","id":17,"cluster":4}"#)
    );
    let with_classes = r#"{"verb":"bind","id":17,"cluster":4,"routes":["lookup","order"]}"#;
    assert_eq!(
        bind(vec![RequestClassId(0), RequestClassId(1)]).as_deref(),
        Some(with_classes)
    );
}

#[test]
fn admission_update_text_for_each_retry_policy() {
    let policies = [
        RetryPolicy::Never,
        RetryPolicy::IfUnprocessed,
        RetryPolicy::OnceOnFailure,
        RetryPolicy::TwiceOnFailure,
    ];
    let expected = [
        r#"{"verb":"admit","cluster":4,"routes":["order"],"admit":0.9,"policy":0}"#,
        r#"{"verb":"admit","cluster":4,"routes":["order"],"admit":0.9,"policy":1}"#,
        r#"{"verb":"admit","cluster":4,"routes":["order"],"admit":0.9,"policy":2}"#,
        r#"{"verb":"admit","cluster":4,"routes":["order"],"admit":0.9,"policy":3}"#,
    ];
    assert_eq!(
        policies.map(|policy| admission_rate(policy).expect("an update")),
        expected
    );
}

#[test]
fn ack_request_text() {
    let request = update(Decision::RequestAck(AckId(301)));
    assert_eq!(
        request.as_deref(),
        Some(r#"{"verb":"mark","nonce_out":301,"flag":0}"#)
    );
}

#[test]
fn decisions_without_an_update_for_the_relay() {
    assert_eq!(update(Decision::CheckHealth(HostId("h".into()))), None);
    assert_eq!(update(Decision::WatchEndpoints), None);
    assert_eq!(update(Decision::SetTimer(Duration::from_millis(5))), None);
}

#[test]
fn call_text() {
    let updates =
        [bind(vec![]), update(Decision::RequestAck(AckId(9)))].map(|text| text.expect("an update"));
    assert_eq!(
        relay::encode_call(8, &updates),
        "{\"jsonrpc\":\"2.0\",\"id\":8,\"method\":\"relay.apply\",\"params\":{\"changes\":[\
         {\"verb\":\"bind\",\"id\":17,\"cluster\":4},{\"verb\":\"mark\",\"nonce_out\":9,\"flag\":0}]}}\n"
    );
    assert_eq!(
        relay::watch_request(),
        "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"relay.watch\"}\n"
    );
    assert_eq!(
        (relay::MAX_CALL_BYTES, relay::MAX_LINE_BYTES),
        (60_000, 65_536)
    );
}

fn applied(line: &str) -> Option<(u64, u64)> {
    match relay::parse(line)? {
        RelayMessage::Applied { call, updates } => Some((call, updates)),
        _ => None,
    }
}

fn rejected(line: &str) -> Option<(u64, String)> {
    match relay::parse(line)? {
        RelayMessage::Rejected { call, reason } => Some((call, reason)),
        _ => None,
    }
}

#[test]
fn answers_to_calls_applied_in_whole_or_in_part() {
    assert_eq!(
        applied(r#"{"jsonrpc":"2.0","id":8,"result":{"ok_count":5}}"#),
        Some((8, 5))
    );
    assert_eq!(
        applied(r#"{"jsonrpc":"2.0","id":9,"result":{"ok_count":0},"error":null}"#),
        Some((9, 0))
    );
    assert!(matches!(
        relay::parse(r#"{"jsonrpc":"2.0","id":0,"result":true}"#),
        Some(RelayMessage::WatchStarted)
    ));
}

#[test]
fn answers_to_rejected_calls() {
    let line = r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"busy"}}"#;
    assert_eq!(
        rejected(line),
        Some((7, r#"{"code":-32000,"message":"busy"}"#.into()))
    );
}

#[test]
fn malformed_lines_are_rejected() {
    for line in [
        "",
        "{",
        "[]",
        r#"{"jsonrpc":"2.0","result":{"ok_count":5}}"#,
        r#"{"jsonrpc":"2.0","id":8}"#,
        r#"{"jsonrpc":"2.0","id":8,"result":{"okCount":5}}"#,
        r#"{"jsonrpc":"2.0","id":8,"result":{"ok_count":-1}}"#,
        r#"{"method":"joined","params":{"id":70000,"site":"a"}}"#,
        r#"{"method":"joined","params":{"id":3}}"#,
        r#"{"method":"left","params":{}}"#,
        r#"{"method":"applied","params":{"id":3}}"#,
        r#"{"method":"applied","params":{"id":3,"seq":65536}}"#,
    ] {
        assert!(relay::parse(line).is_none(), "{line}");
    }
}

fn event(method: &str, params: &str) -> MembershipEvent {
    let line = format!(r#"{{"jsonrpc":"2.0","method":"{method}","params":{params}}}"#);
    match relay::parse(&line) {
        Some(RelayMessage::Event(event)) => event,
        _ => panic!("not an event: {line}"),
    }
}

#[test]
fn joined_event() {
    for (new, expected) in [
        ("true", true),
        ("1", true),
        ("0", false),
        ("false", false),
        ("null", false),
    ] {
        let params = format!(r#"{{"id":3,"site":"a","rps":2.5,"new":{new}}}"#);
        let MembershipEvent::Joined {
            proxy,
            zone,
            usual_request_rate,
            fresh,
        } = event("joined", &params)
        else {
            panic!("{params}")
        };
        assert_eq!(
            (proxy.0, zone.as_str(), usual_request_rate, fresh),
            (3, "a", 2.5, expected)
        );
    }
    let MembershipEvent::Joined {
        usual_request_rate,
        fresh,
        ..
    } = event("joined", r#"{"id":3,"site":"a"}"#)
    else {
        panic!()
    };
    assert_eq!((usual_request_rate, fresh), (0.0, false));
}

#[test]
fn left_applied_ping_and_unknown_events() {
    assert!(matches!(
        event("left", r#"{"id":65535}"#),
        MembershipEvent::Left(ProxyId(65_535))
    ));
    let MembershipEvent::Applied { proxy, ack } = event("applied", r#"{"id":3,"seq":301}"#) else {
        panic!()
    };
    assert_eq!((proxy.0, ack.0), (3, 301));
    assert!(matches!(event("ping", "{}"), MembershipEvent::Ping));
    assert!(matches!(event("pong", "{}"), MembershipEvent::Unknown));
}
