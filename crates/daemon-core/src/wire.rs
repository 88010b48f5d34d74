//! What goes into a steward's core and what comes out of it. Both can be recorded.

use crate::remembered::Remembered;
use pondarch_config::HostEntry;
use pondarch_controller::DurationExt;
use pondarch_controller::{AttemptOutcomes, HostLoad, Time};
use pondarch_dns_core::SecondaryEvent;
use pondarch_load_report_protocol::{Report, SenderIs};
use pondarch_weight_solver::{Fleet, Plan};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::time::Duration;

/// Something that happened. `conn` tells one connection to a proxy from the next.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// What a steward of this name knew before, as it was recorded: the first input of a run, or none.
    Recovered(Box<Remembered>),
    /// How it goes with the records, where that changed.
    Records(RecordsState),
    /// The time that was asked for has come.
    Tick,
    List {
        version: Option<u64>,
        hosts: Vec<HostEntry>,
    },
    /// The list cannot be had: the last good one holds.
    ListRefused {
        wrong: String,
    },
    Connected {
        proxy: u16,
        conn: u64,
    },
    /// One answer of a proxy, as it stands on the wire.
    Answer {
        proxy: u16,
        conn: u64,
        text: String,
    },
    /// The connection is gone or never came to be.
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
    /// The DNS front gave a table away as it was at this serial, to a proxy if it is known which; told once in a while
    /// for many answers.
    AskedByName {
        proxy: Option<u16>,
        table: Option<u16>,
        serial: u32,
    },
    /// Somebody who pushes reports said who it is; `run` tells its starts apart.
    SenderCame {
        conn: u64,
        name: String,
        is: SenderIs,
        run: u64,
    },
    Pushed {
        conn: u64,
        report: Box<Report>,
    },
    SenderLeft {
        conn: u64,
    },
    /// What the edge takes of memory, in bytes, where that changed; and how often it turned something away.
    Memory {
        waiting: u64,
        records: u64,
        connections: u64,
        capped: u64,
    },
    /// Something was heard of a secondary.
    Secondary {
        n: u16,
        heard: SecondaryEvent,
    },
    /// The solver's word on a problem.
    Solved {
        number: u64,
        plan: Result<Plan, String>,
    },
    /// One line of an operator, with the level of the connection: 0 user, 1 operator, 2 admin.
    Command {
        caller: u64,
        level: u8,
        line: String,
    },
}

/// How it goes with the records.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecordsState {
    /// Why nothing is written; none: it is.
    pub stopped: Option<String>,
    /// Inputs that were not recorded so far.
    pub lost: u64,
}

/// A host's own word on its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadTold {
    /// Busy part of all cores, 0 to 1.
    pub busy: Option<f64>,
    /// Reqs waiting.
    pub queue: Option<f64>,
    /// Recent service time without waiting, in milliseconds.
    pub service_ms: Option<f64>,
    /// Reqs that ended a second, and those of them that errored.
    #[serde(default)]
    pub rate: Option<f64>,
    #[serde(default)]
    pub errored_rate: Option<f64>,
}

/// Something to be done, in the order given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Output {
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
    /// The DNS front has other answers to give: `Core::view`.
    ViewChanged {
        serial: u32,
    },
    /// A sender may send so many more reports; said at this time.
    Credit {
        conn: u64,
        more: u32,
        at_us: u64,
    },
    /// A sender is not taken, or not any more.
    RefuseSender {
        conn: u64,
        why: String,
    },
    /// A round was told to the module: hosts told of, those kept for the next one, how old the oldest figure was, and what
    /// was too old to be told.
    Looked {
        hosts: usize,
        kept: usize,
        oldest_us: u64,
        dropped: usize,
    },
    /// A secondary is to be told that the zone has changed.
    SayChanged {
        secondary: u16,
    },
    /// A fleet to plan for, beside all else; one at a time.
    Solve {
        number: u64,
        fleet: Fleet,
    },
    /// The answers to a line of an operator, as they are to be written.
    Reply {
        caller: u64,
        text: String,
    },
    Event(Event),
}

/// What there is to tell, with the input that led to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
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
    /// Lines of a table as they are now, those that changed only; 0: gone from it.
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
    /// The channel or the cap makes this proxy's orders wait.
    Waits {
        proxy: String,
        why: Cow<'static, str>,
    },
    /// Where the weights in use come from now: solved, last good or listed.
    WeightsFrom {
        source: Cow<'static, str>,
    },
    /// Weights that decisions go by from now on, those that changed only.
    Weighed {
        moved: Vec<(String, f64)>,
        cause: String,
    },
    PlanFailed {
        wrong: String,
    },
    /// What was known before is known again: hosts by where they stand.
    Recovered {
        ready: usize,
        draining: usize,
        gone: usize,
    },
    /// Records are written again, or not any more: why.
    Records {
        stopped: Option<String>,
        lost: u64,
    },
    /// A report had figures that cannot be: the last one, and how many so far.
    ReportRefused {
        wrong: String,
        refused: u64,
    },
    /// A host that started anew is left out of all tables while DNS caches hold answers from before its start.
    KeptOut {
        host: String,
        for_s: f64,
    },
    /// A secondary has not fetched a change for longer than it may be behind: drains are not kept there.
    SecondaryLate {
        secondary: String,
    },
    /// A cold host's line is too light to be told in whole numbers.
    HeldBack {
        table: u16,
        host: String,
    },
}

impl Input {
    /// Whether it says anything that a steward that starts again must still know. What is seen of proxies and hosts is
    /// old by then, and asked for anew.
    pub fn is_remembered(&self) -> bool {
        match self {
            Input::Recovered(_) | Input::List { .. } => true,
            Input::Command { line, .. } => !line.starts_with("show"),
            _ => false,
        }
    }
}

impl LoadTold {
    pub(crate) fn of(load: &HostLoad) -> LoadTold {
        let service_ms = load.service_time.map(|span| span.seconds() * 1e3);
        LoadTold {
            busy: load.utilization,
            queue: load.queue_length,
            service_ms,
            ..LoadTold::default()
        }
    }

    /// What the host says as if proxies had met it for so long.
    pub(crate) fn met(&self, over: Duration) -> AttemptOutcomes {
        let many = |rate: Option<f64>| rate.unwrap_or(0.0).clamp(0.0, 1e6) * over.seconds();
        let (tries, errored) = (many(self.rate), many(self.errored_rate));
        let mean_time = self.load().service_time.unwrap_or(Duration::ZERO);
        AttemptOutcomes {
            attempts: tries,
            failures: errored.min(tries),
            mean_latency: mean_time,
            period: over,
            load: None,
        }
    }

    pub(crate) fn load(&self) -> HostLoad {
        let ms = |ms: f64| Duration::from_micros((ms.clamp(0.0, 3_600e3) * 1e3) as u64);
        HostLoad {
            utilization: self.busy,
            queue_length: self.queue,
            service_time: self.service_ms.map(ms),
        }
    }
}

/// Microseconds of a point in time, for records.
pub fn micros(at: Time) -> u64 {
    (at - Time::default()).micros()
}
