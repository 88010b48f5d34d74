//! Calls to the relay with each kind of order, and each answer and event that the relay writes.

use pondarch_controller::{AckId, Decision, HostId, ProxyId, RequestClassId, RetryPolicy, TableId};
use pondarch_platform_protocol::relay::{self, Line, News};
use std::time::Duration;

fn order(ruling: Decision) -> Option<String> {
    relay::order(&ruling, &["lookup".into(), "order".into()])
}

fn weight(weight: Option<f64>) -> Option<String> {
    order(Decision::SetWeight {
        table: TableId(4),
        host: HostId("s-5be2a07c".into()),
        weight,
    })
}

fn bind(kinds: Vec<RequestClassId>) -> Option<String> {
    order(Decision::BindProxy {
        proxy: ProxyId(17),
        table: TableId(4),
        classes: kinds,
    })
}

fn level(tries: RetryPolicy) -> Option<String> {
    order(Decision::SetAdmissionRate {
        table: TableId(4),
        class: RequestClassId(1),
        quota: 0.9,
        retry_policy: tries,
    })
}

#[test]
fn weight_order_text() {
    let share = r#"{"verb":"share","cluster":4,"target":"s-5be2a07c","rps":1.5}"#;
    assert_eq!(weight(Some(1.5)).as_deref(), Some(share));
    let removed = r#"{"verb":"share","cluster":4,"target":"s-5be2a07c","rps":0.0}"#;
    assert_eq!(weight(None).as_deref(), Some(removed));
}

#[test]
fn bind_order_text() {
    assert_eq!(
        bind(vec![]).as_deref(),
        Some(r#"{"verb":"bind","id":17,"cluster":4}"#)
    );
    let routes = r#"{"verb":"bind","id":17,"cluster":4,"routes":["lookup","order"]}"#;
    assert_eq!(
        bind(vec![RequestClassId(0), RequestClassId(1)]).as_deref(),
        Some(routes)
    );
}

#[test]
fn level_order_text_for_each_retry_policy() {
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
        policies.map(|policy| level(policy).expect("an order")),
        expected
    );
}

#[test]
fn mark_order_text() {
    let mark = order(Decision::RequestAck(AckId(301)));
    assert_eq!(
        mark.as_deref(),
        Some(r#"{"verb":"mark","nonce_out":301,"flag":0}"#)
    );
}

#[test]
fn decisions_without_an_order() {
    assert_eq!(order(Decision::CheckHealth(HostId("h".into()))), None);
    assert_eq!(order(Decision::WatchEndpoints), None);
    assert_eq!(order(Decision::SetTimer(Duration::from_millis(5))), None);
}

#[test]
fn call_text() {
    let orders =
        [bind(vec![]), order(Decision::RequestAck(AckId(9)))].map(|text| text.expect("an order"));
    assert_eq!(
        relay::call(8, &orders),
        "{\"jsonrpc\":\"2.0\",\"id\":8,\"method\":\"relay.apply\",\"params\":{\"changes\":[\
         {\"verb\":\"bind\",\"id\":17,\"cluster\":4},{\"verb\":\"mark\",\"nonce_out\":9,\"flag\":0}]}}\n"
    );
    assert_eq!(
        relay::watch(),
        "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"relay.watch\"}\n"
    );
    assert_eq!((relay::CALL_MOST, relay::LINE_MOST), (60_000, 65_536));
}

fn taken(line: &str) -> Option<(u64, u64)> {
    match relay::read(line)? {
        Line::Taken { id, orders } => Some((id, orders)),
        _ => None,
    }
}

fn refused(line: &str) -> Option<(u64, String)> {
    match relay::read(line)? {
        Line::Refused { id, why } => Some((id, why)),
        _ => None,
    }
}

#[test]
fn answers_that_took_orders_wholly_or_in_part() {
    assert_eq!(
        taken(r#"{"jsonrpc":"2.0","id":8,"result":{"ok_count":5}}"#),
        Some((8, 5))
    );
    assert_eq!(
        taken(r#"{"jsonrpc":"2.0","id":9,"result":{"ok_count":0},"error":null}"#),
        Some((9, 0))
    );
    assert!(matches!(
        relay::read(r#"{"jsonrpc":"2.0","id":0,"result":true}"#),
        Some(Line::Watching)
    ));
}

#[test]
fn answers_that_refused() {
    let line = r#"{"jsonrpc":"2.0","id":7,"error":{"code":-32000,"message":"busy"}}"#;
    assert_eq!(
        refused(line),
        Some((7, r#"{"code":-32000,"message":"busy"}"#.into()))
    );
}

#[test]
fn spoilt_lines_are_nothing() {
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
        assert!(relay::read(line).is_none(), "{line}");
    }
}

fn event(method: &str, params: &str) -> News {
    let line = format!(r#"{{"jsonrpc":"2.0","method":"{method}","params":{params}}}"#);
    match relay::read(&line) {
        Some(Line::News(news)) => news,
        _ => panic!("no event: {line}"),
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
        let News::Joined {
            proxy,
            site,
            usual,
            fresh,
        } = event("joined", &params)
        else {
            panic!("{params}")
        };
        assert_eq!(
            (proxy.0, site.as_str(), usual, fresh),
            (3, "a", 2.5, expected)
        );
    }
    let News::Joined { usual, fresh, .. } = event("joined", r#"{"id":3,"site":"a"}"#) else {
        panic!()
    };
    assert_eq!((usual, fresh), (0.0, false));
}

#[test]
fn left_applied_ping_and_unknown_events() {
    assert!(matches!(
        event("left", r#"{"id":65535}"#),
        News::Left(ProxyId(65_535))
    ));
    let News::Applied { proxy, mark } = event("applied", r#"{"id":3,"seq":301}"#) else {
        panic!()
    };
    assert_eq!((proxy.0, mark.0), (3, 301));
    assert!(matches!(event("ping", "{}"), News::Ping));
    assert!(matches!(event("pong", "{}"), News::Other));
}
