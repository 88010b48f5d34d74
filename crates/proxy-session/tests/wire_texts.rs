//! The literal commands that a scripted proxy is sent: when its state is read, when it is bound, when a weight, an
//! admission quota or a retry policy changes, and when a host drains. Renaming identifiers must not change any of them.

use pondarch_controller::{HostId, RequestClassId, RetryPolicy, Time};
use pondarch_proxy_session::proxy_state::{quota_value, retry_policy_value};
use pondarch_proxy_session::{
    ClassMapping, DesiredLine, DesiredState, ProxyMapping, Session, SessionEvent, TableLines,
};
use std::sync::Arc;

const STATE_COMMANDS: [&str; 6] = [
    "prompt i",
    "show info",
    "show servers state",
    "show map pond_levels",
    "show map pond_tries",
    "show map pond_state",
];

/// The replies of a proxy with one server, in the order of `STATE_COMMANDS`.
const STATE_REPLIES: [&str; 6] = [
    "",
    "Name: pondproxy\nPid: 7\nStart_time_sec: 9\n",
    "1\n# be_name srv_name srv_addr srv_port srv_admin_state srv_uweight srv_time_since_last_change\n\
     b-proof old 127.0.0.9 80 0 100 5\n",
    "",
    "",
    "",
];

fn session() -> Session {
    let classes = vec![ClassMapping {
        name: "proof".into(),
        backend: "b-proof".into(),
    }];
    Session::new(Arc::new(ProxyMapping {
        controller_incarnation: "steward:1".into(),
        classes,
    }))
}

fn desired(hosts: &[(&str, u8, u16)], quota: &str, retry_policy: RetryPolicy) -> DesiredState {
    let line = |&(name, ip, weight): &(&str, u8, u16)| {
        (
            HostId(name.into()),
            DesiredLine {
                addr: ([127, 0, 0, ip], 80).into(),
                weight,
            },
        )
    };
    let mut desired = DesiredState::default();
    let lines: TableLines = hosts.iter().map(line).collect();
    desired.lines.insert(RequestClassId(0), Arc::new(lines));
    desired.quotas.insert(RequestClassId(0), quota.into());
    desired
        .retry_policies
        .insert(RequestClassId(0), retry_policy_value(retry_policy));
    desired
}

/// The commands of the next update batch, each acknowledged as a proxy does.
fn commands(session: &mut Session, desired: &DesiredState, draining_host: &str) -> Vec<String> {
    let now = Time::from_micros(1_000_000);
    let batch = session
        .next_batch(now, desired, |host| &*host.0 == draining_host)
        .expect("a difference");
    let lines = session.send_batch(now, batch);
    let sent: Vec<String> = lines
        .iter()
        .flat_map(|line| line.split("; "))
        .map(str::to_string)
        .collect();
    for command in &sent {
        let reply = match command {
            text if text.starts_with("add server") => "New server registered.",
            text if text.starts_with("del server") => "Server deleted.",
            _ => "",
        };
        session.on_reply(now, reply).expect("an accepted reply");
    }
    sent
}

fn joined_session() -> (Session, Vec<String>) {
    let mut session = session();
    assert_eq!(session.on_connected(), STATE_COMMANDS);
    for (index, reply) in STATE_REPLIES.iter().enumerate() {
        let (event, lines) = session
            .on_reply(Time::from_micros(1), reply)
            .expect("a valid reply");
        assert!(lines.is_empty());
        assert_eq!(
            matches!(
                event,
                Some(SessionEvent::StateRead {
                    newly_started: true
                })
            ),
            index == STATE_REPLIES.len() - 1
        );
    }
    let sent = commands(&mut session, &two_hosts(), "");
    (session, sent)
}

fn two_hosts() -> DesiredState {
    desired(&[("a", 1, 64), ("b", 2, 32)], "100", RetryPolicy::Never)
}

#[test]
fn proxy_is_bound() {
    let (mut session, first) = joined_session();
    let expected = [
        "add map pond_state table steward:1/1",
        "add server b-proof/a 127.0.0.1:80 weight 64",
        "set server b-proof/a state ready",
        "add server b-proof/b 127.0.0.2:80 weight 32",
        "set server b-proof/b state ready",
        "add map pond_levels proof 100",
        "add map pond_tries proof never",
        "add map pond_state steward steward:1",
    ];
    assert_eq!(first, expected);
    let second = commands(&mut session, &two_hosts(), "");
    assert_eq!(
        second,
        [
            "set map pond_state table steward:1/2",
            "set server b-proof/old state maint"
        ]
    );
}

/// A session whose proxy is bound, with the static server out of use.
fn bound_session() -> Session {
    let (mut session, _) = joined_session();
    commands(&mut session, &two_hosts(), "");
    session
}

#[test]
fn weights_and_address_change() {
    let desired = desired(&[("a", 1, 32), ("b", 3, 33)], "100", RetryPolicy::Never);
    let expected = [
        "set map pond_state table steward:1/3",
        "set server b-proof/a weight 32",
        "set server b-proof/b addr 127.0.0.3 port 80",
        "set server b-proof/b weight 33",
        "del server b-proof/old",
    ];
    assert_eq!(commands(&mut bound_session(), &desired, ""), expected);
}

#[test]
fn host_drains_and_returns() {
    let mut session = bound_session();
    let desired = desired(&[("a", 1, 64)], "100", RetryPolicy::Never);
    let expected = [
        "set map pond_state table steward:1/3",
        "set server b-proof/b state drain",
        "del server b-proof/old",
    ];
    assert_eq!(commands(&mut session, &desired, "b"), expected);
    let after_return = commands(&mut session, &two_hosts(), "");
    assert_eq!(
        after_return,
        [
            "set map pond_state table steward:1/4",
            "set server b-proof/b state ready"
        ]
    );
}

#[test]
fn quota_and_retry_policy_change() {
    let desired = desired(
        &[("a", 1, 64), ("b", 2, 32)],
        &quota_value(0.7549, false),
        RetryPolicy::OnceOnFailure,
    );
    let expected = [
        "set map pond_state table steward:1/3",
        "set map pond_levels proof 75.4",
        "set map pond_tries proof failure",
        "del server b-proof/old",
    ];
    assert_eq!(commands(&mut bound_session(), &desired, ""), expected);
}

#[test]
fn quota_values() {
    assert_eq!(quota_value(1.0, false), "100");
    assert_eq!(quota_value(0.0, false), "0");
    assert_eq!(quota_value(12.5, true), "12.500/s");
    assert_eq!(quota_value(1e9, true), "100");
}

#[test]
fn retry_policy_values() {
    let retry_policies = [
        RetryPolicy::Never,
        RetryPolicy::IfUnprocessed,
        RetryPolicy::OnceOnFailure,
        RetryPolicy::TwiceOnFailure,
    ];
    assert_eq!(
        retry_policies.map(retry_policy_value),
        ["never", "unsent", "failure", "failure-twice"]
    );
}

#[test]
fn counters_are_requested() {
    assert_eq!(
        bound_session().request_counters().as_deref(),
        Some("show stat")
    );
}

#[test]
fn error_texts() {
    let error_text = |index: usize, text: &str| {
        let mut session = session();
        session.on_connected();
        let replies = STATE_REPLIES[..index].iter().chain([&text]);
        let last_result = replies
            .map(|reply| session.on_reply(Time::from_micros(1), reply))
            .last();
        last_result
            .expect("a reply")
            .expect_err("an invalid reply")
            .to_string()
    };
    assert_eq!(
        error_text(3, "Unknown map."),
        "the proxy has no map 'pond_levels'"
    );
    assert_eq!(
        error_text(4, "Unknown map."),
        "the proxy has no map 'pond_tries'"
    );
    assert_eq!(
        error_text(5, "Unknown map."),
        "the proxy has no map 'pond_state'"
    );
}
