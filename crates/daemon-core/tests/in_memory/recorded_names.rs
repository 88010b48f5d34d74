//! Tests of the names under which the event log stores inputs, outputs and events, and of their `Debug` texts, which
//! `show events` and `pondarch replay` write. The types here are declared with the stored names, so that a rename in
//! the code that changes either of them fails.

use pondarch_config::HostEntry;
use pondarch_daemon_core as current;
use pondarch_dns_core::SecondaryEvent;
use pondarch_load_report_protocol::{Report, SenderRole};
use pondarch_weight_solver::{Fleet, Plan};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::borrow::Cow;
use std::fmt::Debug;
use std::net::SocketAddr;

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Input {
    Records(RecordsState),
    Tick,
    List {
        version: Option<u64>,
        hosts: Vec<HostEntry>,
    },
    ListRefused {
        wrong: String,
    },
    Connected {
        proxy: u16,
        conn: u64,
    },
    Answer {
        proxy: u16,
        conn: u64,
        text: String,
    },
    Lost {
        proxy: u16,
        conn: u64,
        why: String,
    },
    Probed {
        host: String,
        for_load: bool,
        good: bool,
        load: Option<LoadTold>,
    },
    AskedByName {
        proxy: Option<u16>,
        table: Option<u16>,
        serial: u32,
    },
    SenderCame {
        conn: u64,
        name: String,
        is: SenderRole,
        run: u64,
    },
    Pushed {
        conn: u64,
        report: Box<Report>,
    },
    SenderLeft {
        conn: u64,
    },
    Memory {
        waiting: u64,
        records: u64,
        connections: u64,
        capped: u64,
    },
    Secondary {
        n: u16,
        heard: SecondaryEvent,
    },
    Solved {
        number: u64,
        plan: Result<Plan, String>,
    },
    Command {
        caller: u64,
        level: u8,
        line: String,
    },
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct RecordsState {
    stopped: Option<String>,
    lost: u64,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct LoadTold {
    busy: Option<f64>,
    queue: Option<f64>,
    service_ms: Option<f64>,
    #[serde(default)]
    rate: Option<f64>,
    #[serde(default)]
    errored_rate: Option<f64>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Output {
    Dial {
        proxy: u16,
        conn: u64,
    },
    Write {
        proxy: u16,
        conn: u64,
        lines: Vec<String>,
    },
    Hangup {
        proxy: u16,
        conn: u64,
    },
    Probe {
        host: String,
        addr: SocketAddr,
        for_load: bool,
    },
    ViewChanged {
        serial: u32,
    },
    Credit {
        conn: u64,
        more: u32,
        at_us: u64,
    },
    RefuseSender {
        conn: u64,
        why: String,
    },
    Looked {
        hosts: usize,
        kept: usize,
        oldest_us: u64,
        dropped: usize,
    },
    SayChanged {
        secondary: u16,
    },
    Solve {
        number: u64,
        fleet: Fleet,
    },
    Reply {
        caller: u64,
        text: String,
    },
    Event(Event),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum Event {
    ListTaken {
        version: u64,
        open: usize,
        draining: usize,
        gone: usize,
    },
    ListRefused {
        wrong: String,
    },
    Joined {
        proxy: String,
        fresh: bool,
        cause: String,
    },
    Left {
        proxy: String,
        why: String,
    },
    Bound {
        proxy: String,
        table: u16,
        cause: String,
    },
    TableChanged {
        table: u16,
        lines: Vec<(String, f64)>,
        cause: String,
    },
    LevelChanged {
        table: u16,
        kind: String,
        quota: f64,
        tries: Cow<'static, str>,
        cause: String,
    },
    Ordered {
        proxy: String,
        commands: usize,
        urgency: Cow<'static, str>,
        cause: String,
    },
    Applied {
        proxy: String,
        took_us: u64,
    },
    Refused {
        proxy: String,
        wrong: String,
    },
    Waits {
        proxy: String,
        why: Cow<'static, str>,
    },
    WeightsFrom {
        source: Cow<'static, str>,
    },
    Weighed {
        moved: Vec<(String, f64)>,
        cause: String,
    },
    PlanFailed {
        wrong: String,
    },
    Recovered {
        ready: usize,
        draining: usize,
        gone: usize,
    },
    Records {
        stopped: Option<String>,
        lost: u64,
    },
    ReportRefused {
        wrong: String,
        refused: u64,
    },
    KeptOut {
        host: String,
        for_s: f64,
    },
    SecondaryLate {
        secondary: String,
    },
    HeldBack {
        table: u16,
        host: String,
    },
}

/// Reads each stored value as both types: both must be written equally, and have the same `Debug` text.
fn assert_same_names<Stored, Current>(values: impl IntoIterator<Item = Value>)
where
    Stored: Debug + Serialize + DeserializeOwned,
    Current: Debug + Serialize + DeserializeOwned,
{
    for value in values {
        let stored: Stored =
            serde_json::from_value(value.clone()).expect("a value with the stored names");
        let current: Current =
            serde_json::from_value(value.clone()).expect("a value that the current type reads");
        let written = serde_json::to_value(&current).expect("a serializable value");
        assert_eq!(
            written,
            serde_json::to_value(&stored).expect("a serializable value")
        );
        assert_eq!(format!("{current:?}"), format!("{stored:?}"));
        assert_eq!(format!("{current:#?}"), format!("{stored:#?}"));
    }
}

#[test]
fn inputs() {
    assert_same_names::<Input, current::Input>([
        json!({"Records": {"stopped": "disk full", "lost": 3}}),
        json!("Tick"),
        json!({"List": {"version": 4, "hosts": []}}),
        json!({"ListRefused": {"wrong": "no \"file\""}}),
        json!({"Connected": {"proxy": 1, "conn": 2}}),
        json!({"Answer": {"proxy": 1, "conn": 2, "text": "a\nb"}}),
        json!({"Lost": {"proxy": 1, "conn": 2, "why": "closed"}}),
        json!({"Probed": {"host": "host-1", "for_load": true, "good": false, "load": {
            "busy": 0.5, "queue": 2.0, "service_ms": 3.5, "rate": 10.0, "errored_rate": 1.0,
        }}}),
        json!({"Probed": {"host": "host-1", "for_load": true, "good": false, "load": null}}),
        json!({"AskedByName": {"proxy": 1, "table": 2, "serial": 3}}),
        json!({"SenderCame": {"conn": 1, "name": "front-0", "is": "Proxy", "run": 7}}),
        json!({"SenderLeft": {"conn": 1}}),
        json!({"Memory": {"waiting": 1, "records": 2, "connections": 3, "capped": 4}}),
        json!({"Solved": {"number": 1, "plan": {"Err": "infeasible"}}}),
        json!({"Command": {"caller": 1, "level": 2, "line": "show info"}}),
    ]);
}

#[test]
fn outputs() {
    assert_same_names::<Output, current::Output>([
        json!({"Dial": {"proxy": 1, "conn": 2}}),
        json!({"Write": {"proxy": 1, "conn": 2, "lines": ["a", "b"]}}),
        json!({"Hangup": {"proxy": 1, "conn": 2}}),
        json!({"Probe": {"host": "host-1", "addr": "127.0.0.1:80", "for_load": false}}),
        json!({"ViewChanged": {"serial": 9}}),
        json!({"Credit": {"conn": 1, "more": 3, "at_us": 5}}),
        json!({"RefuseSender": {"conn": 1, "why": "unknown"}}),
        json!({"Looked": {"hosts": 1, "kept": 2, "oldest_us": 3, "dropped": 4}}),
        json!({"SayChanged": {"secondary": 1}}),
        json!({"Reply": {"caller": 1, "text": "ok"}}),
        json!({"Event": {"SecondaryLate": {"secondary": "key"}}}),
    ]);
}

#[test]
fn events() {
    assert_same_names::<Event, current::Event>([
        json!({"ListTaken": {"version": 1, "open": 2, "draining": 3, "gone": 4}}),
        json!({"ListRefused": {"wrong": "older"}}),
        json!({"Joined": {"proxy": "front-0", "fresh": true, "cause": "#1"}}),
        json!({"Left": {"proxy": "front-0", "why": "closed"}}),
        json!({"Bound": {"proxy": "front-0", "table": 1, "cause": "#1"}}),
        json!({"TableChanged": {"table": 1, "lines": [["host-1", 0.5]], "cause": "#1"}}),
        json!({"LevelChanged": {"table": 1, "kind": "read", "quota": 1.0, "tries": "any", "cause": "#1"}}),
        json!({"Ordered": {"proxy": "front-0", "commands": 3, "urgency": "drain", "cause": "#1"}}),
        json!({"Applied": {"proxy": "front-0", "took_us": 7}}),
        json!({"Refused": {"proxy": "front-0", "wrong": "no such server"}}),
        json!({"Waits": {"proxy": "front-0", "why": "message cap"}}),
        json!({"WeightsFrom": {"source": "solved"}}),
        json!({"Weighed": {"moved": [["host-1", 0.5]], "cause": "#1"}}),
        json!({"PlanFailed": {"wrong": "too late"}}),
        json!({"Recovered": {"ready": 1, "draining": 2, "gone": 3}}),
        json!({"Records": {"stopped": null, "lost": 2}}),
        json!({"ReportRefused": {"wrong": "busy of 9", "refused": 1}}),
        json!({"KeptOut": {"host": "host-1", "for_s": 1.5}}),
        json!({"SecondaryLate": {"secondary": "key"}}),
        json!({"HeldBack": {"table": 1, "host": "host-1"}}),
    ]);
}

/// The recovered state has fields that are not public, so its text is given literally.
#[test]
fn recovered_state() {
    let value = json!({"Recovered": {
        "at_us": 1,
        "list": {"file": [], "file_version": 2, "added": [], "edits": [], "hosts": []},
        "zones": {"host-1": "a"},
        "serial": 3,
    }});
    let input: current::Input =
        serde_json::from_value(value.clone()).expect("a value that the current type reads");
    assert_eq!(
        format!("{input:?}"),
        "Recovered(Remembered { at_us: 1, list: RememberedList { file: [], file_version: Some(2), added: [], \
         edits: [], hosts: [] }, zones: {\"host-1\": \"a\"}, serial: 3 })"
    );
    assert_eq!(
        serde_json::to_value(&input).expect("a serializable value"),
        value
    );
}
