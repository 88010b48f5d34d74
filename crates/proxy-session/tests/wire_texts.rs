//! The literal commands that a scripted proxy is sent: when it is looked at, bound, when a weight, a level or a retry
//! policy changes, and when a host drains. A renaming in the code must leave each as it is.

use pondarch_controller::{HostId, RequestClassId, RetryPolicy, Time};
use pondarch_proxy_session::table::{level_word, tries_word};
use pondarch_proxy_session::{Front, FrontKind, Lines, Session, Told, Wanted, WantedLine};
use std::sync::Arc;

const LOOK: [&str; 6] = [
    "prompt i",
    "show info",
    "show servers state",
    "show map pond_levels",
    "show map pond_tries",
    "show map pond_state",
];

/// What a proxy with one server says of itself, in the order of `LOOK`.
const HELD: [&str; 6] = [
    "",
    "Name: pondproxy\nPid: 7\nStart_time_sec: 9\n",
    "1\n# be_name srv_name srv_addr srv_port srv_admin_state srv_uweight srv_time_since_last_change\n\
     b-proof old 127.0.0.9 80 0 100 5\n",
    "",
    "",
    "",
];

fn session() -> Session {
    let kinds = vec![FrontKind {
        name: "proof".into(),
        backend: "b-proof".into(),
    }];
    Session::new(Arc::new(Front {
        mark: "steward:1".into(),
        kinds,
    }))
}

fn wanted(hosts: &[(&str, u8, u16)], level: &str, tries: RetryPolicy) -> Wanted {
    let line = |&(name, ip, units): &(&str, u8, u16)| {
        (
            HostId(name.into()),
            WantedLine {
                addr: ([127, 0, 0, ip], 80).into(),
                units,
            },
        )
    };
    let mut wanted = Wanted::default();
    let lines: Lines = hosts.iter().map(line).collect();
    wanted.lines.insert(RequestClassId(0), Arc::new(lines));
    wanted.levels.insert(RequestClassId(0), level.into());
    wanted.tries.insert(RequestClassId(0), tries_word(tries));
    wanted
}

/// The commands that a difference is written as, one each; each is answered as a good proxy does.
fn commands(session: &mut Session, wanted: &Wanted, must_go: &str) -> Vec<String> {
    let now = Time::from_micros(1_000_000);
    let batch = session
        .due(now, wanted, |host| &*host.0 == must_go)
        .expect("a difference");
    let lines = session.order(now, batch);
    let sent: Vec<String> = lines
        .iter()
        .flat_map(|line| line.split("; "))
        .map(str::to_string)
        .collect();
    for command in &sent {
        let answer = match command {
            add if add.starts_with("add server") => "New server registered.",
            del if del.starts_with("del server") => "Server deleted.",
            _ => "",
        };
        session
            .answered(now, answer)
            .expect("an answer that was asked for");
    }
    sent
}

fn joined() -> (Session, Vec<String>) {
    let mut session = session();
    assert_eq!(session.begin(), LOOK);
    for (place, answer) in HELD.iter().enumerate() {
        let (told, lines) = session
            .answered(Time::from_micros(1), answer)
            .expect("a good answer");
        assert!(lines.is_empty());
        assert_eq!(
            matches!(told, Some(Told::Learned { fresh: true })),
            place == HELD.len() - 1
        );
    }
    let sent = commands(&mut session, &usual(), "");
    (session, sent)
}

fn usual() -> Wanted {
    wanted(&[("a", 1, 64), ("b", 2, 32)], "100", RetryPolicy::Never)
}

#[test]
fn bound() {
    let (mut session, first) = joined();
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
    let second = commands(&mut session, &usual(), "");
    assert_eq!(
        second,
        [
            "set map pond_state table steward:1/2",
            "set server b-proof/old state maint"
        ]
    );
}

/// A proxy whose standing server is out of use already.
fn settled() -> Session {
    let (mut session, _) = joined();
    commands(&mut session, &usual(), "");
    session
}

#[test]
fn weights_and_address_change() {
    let wanted = wanted(&[("a", 1, 32), ("b", 3, 33)], "100", RetryPolicy::Never);
    let expected = [
        "set map pond_state table steward:1/3",
        "set server b-proof/a weight 32",
        "set server b-proof/b addr 127.0.0.3 port 80",
        "set server b-proof/b weight 33",
        "del server b-proof/old",
    ];
    assert_eq!(commands(&mut settled(), &wanted, ""), expected);
}

#[test]
fn host_drains() {
    let mut session = settled();
    let wanted = wanted(&[("a", 1, 64)], "100", RetryPolicy::Never);
    let expected = [
        "set map pond_state table steward:1/3",
        "set server b-proof/b state drain",
        "del server b-proof/old",
    ];
    assert_eq!(commands(&mut session, &wanted, "b"), expected);
    let back = commands(&mut session, &usual(), "");
    assert_eq!(
        back,
        [
            "set map pond_state table steward:1/4",
            "set server b-proof/b state ready"
        ]
    );
}

#[test]
fn level_and_retry_policy_change() {
    let wanted = wanted(
        &[("a", 1, 64), ("b", 2, 32)],
        &level_word(0.7549, false),
        RetryPolicy::OnceOnFailure,
    );
    let expected = [
        "set map pond_state table steward:1/3",
        "set map pond_levels proof 75.4",
        "set map pond_tries proof failure",
        "del server b-proof/old",
    ];
    assert_eq!(commands(&mut settled(), &wanted, ""), expected);
}

#[test]
fn level_words() {
    assert_eq!(level_word(1.0, false), "100");
    assert_eq!(level_word(0.0, false), "0");
    assert_eq!(level_word(12.5, true), "12.500/s");
    assert_eq!(level_word(1e9, true), "100");
}

#[test]
fn retry_words() {
    let tries = [
        RetryPolicy::Never,
        RetryPolicy::IfUnprocessed,
        RetryPolicy::OnceOnFailure,
        RetryPolicy::TwiceOnFailure,
    ];
    assert_eq!(
        tries.map(tries_word),
        ["never", "unsent", "failure", "failure-twice"]
    );
}

#[test]
fn counters_are_asked_for() {
    assert_eq!(settled().read_stat().as_deref(), Some("show stat"));
}

#[test]
fn refusal_texts() {
    let refusal = |place: usize, text: &str| {
        let mut session = session();
        session.begin();
        let answers = HELD[..place].iter().chain([&text]);
        let last = answers
            .map(|answer| session.answered(Time::from_micros(1), answer))
            .last();
        last.expect("an answer")
            .expect_err("a bad answer")
            .to_string()
    };
    assert_eq!(
        refusal(3, "Unknown map."),
        "the proxy has no map 'pond_levels'"
    );
    assert_eq!(
        refusal(4, "Unknown map."),
        "the proxy has no map 'pond_tries'"
    );
    assert_eq!(
        refusal(5, "Unknown map."),
        "the proxy has no map 'pond_state'"
    );
}
