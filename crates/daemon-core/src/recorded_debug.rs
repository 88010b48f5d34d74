//! The `Debug` texts of inputs, outputs, events and recovered state.
//!
//! `show events` writes the `Debug` text of events to operators, `pondarch replay` writes that of inputs and decisions,
//! and the event log holds checksums of replies to `show events`. These texts must therefore not change when a type,
//! variant or field is renamed in the code: each is listed here with its name in the text, which is also the name under
//! which the event log stores it.

use crate::event::Event;
use crate::input::{EventLogState, Input};
use crate::output::Output;
use crate::recovered_state::{RecoveredHost, RecoveredList, RecoveredState};
use crate::reported_load::ReportedLoad;
use std::fmt;

/// Implements `Debug` with exactly the text that `derive(Debug)` would give for the names at the right of the equals
/// signs. Of an enum, variants with named fields or none come first, then, after a semicolon, those with one unnamed
/// field.
macro_rules! debug_as_recorded {
    (struct $type:ident = $type_text:literal { $($field:ident = $field_text:literal),* }) => {
        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let $type { $($field),* } = self;
                f.debug_struct($type_text)$(.field($field_text, $field))*.finish()
            }
        }
    };
    (enum $type:ident {
        $($variant:ident { $($field:ident = $field_text:literal),* } = $text:literal),*;
        $($tuple:ident ($content:ident) = $tuple_text:literal,)*
    }) => {
        impl fmt::Debug for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                match self {
                    $($type::$variant { $($field),* } => f.debug_struct($text)$(.field($field_text, $field))*.finish(),)*
                    $($type::$tuple($content) => f.debug_tuple($tuple_text).field($content).finish(),)*
                }
            }
        }
    };
}

debug_as_recorded!(enum Input {
    TimerExpired {} = "Tick",
    EndpointList { generation = "version", hosts = "hosts" } = "List",
    EndpointListRejected { error = "wrong" } = "ListRefused",
    Connected { proxy = "proxy", connection = "conn" } = "Connected",
    Answer { proxy = "proxy", connection = "conn", text = "text" } = "Answer",
    Disconnected { proxy = "proxy", connection = "conn", reason = "why" } = "Lost",
    HealthCheckCompleted { host = "host", for_load = "for_load", healthy = "good", load = "load" } = "Probed",
    DnsQueried { proxy = "proxy", table = "table", serial = "serial" } = "AskedByName",
    SenderConnected { connection = "conn", name = "name", role = "is", incarnation = "run" } = "SenderCame",
    ReportReceived { connection = "conn", report = "report" } = "Pushed",
    SenderDisconnected { connection = "conn" } = "SenderLeft",
    MemoryUsage { queued_bytes = "waiting", event_log_bytes = "records", connection_bytes = "connections", rejected_connections = "capped" } = "Memory",
    SecondaryObserved { index = "n", observation = "heard" } = "Secondary",
    Solved { number = "number", plan = "plan" } = "Solved",
    Command { caller = "caller", level = "level", line = "line" } = "Command";
    Recovered(content) = "Recovered",
    EventLog(content) = "Records",
});

debug_as_recorded!(enum Output {
    Dial { proxy = "proxy", connection = "conn" } = "Dial",
    Write { proxy = "proxy", connection = "conn", lines = "lines" } = "Write",
    HangUp { proxy = "proxy", connection = "conn" } = "Hangup",
    CheckHealth { host = "host", address = "addr", for_load = "for_load" } = "Probe",
    DnsViewChanged { serial = "serial" } = "ViewChanged",
    GrantCredit { connection = "conn", reports = "more", at_us = "at_us" } = "Credit",
    RejectSender { connection = "conn", reason = "why" } = "RefuseSender",
    LoadReportsApplied { hosts = "hosts", deferred = "kept", oldest_us = "oldest_us", dropped = "dropped" } = "Looked",
    NotifySecondary { secondary = "secondary" } = "SayChanged",
    Solve { number = "number", fleet = "fleet" } = "Solve",
    Reply { caller = "caller", text = "text" } = "Reply";
    Event(content) = "Event",
});

debug_as_recorded!(enum Event {
    EndpointListApplied { generation = "version", ready = "open", draining = "draining", removed = "gone" } = "ListTaken",
    EndpointListRejected { error = "wrong" } = "ListRefused",
    ProxyJoined { proxy = "proxy", fresh = "fresh", cause = "cause" } = "Joined",
    ProxyLeft { proxy = "proxy", reason = "why" } = "Left",
    ProxyBound { proxy = "proxy", table = "table", cause = "cause" } = "Bound",
    TableChanged { table = "table", weights = "lines", cause = "cause" } = "TableChanged",
    AdmissionChanged { table = "table", class = "kind", quota = "quota", retry_policy = "tries", cause = "cause" } = "LevelChanged",
    UpdateSent { proxy = "proxy", commands = "commands", urgency = "urgency", cause = "cause" } = "Ordered",
    UpdateAcknowledged { proxy = "proxy", took_us = "took_us" } = "Applied",
    UpdateRejected { proxy = "proxy", error = "wrong" } = "Refused",
    UpdateDelayed { proxy = "proxy", reason = "why" } = "Waits",
    WeightSourceChanged { source = "source" } = "WeightsFrom",
    TargetWeightsChanged { weights = "moved", cause = "cause" } = "Weighed",
    PlanFailed { error = "wrong" } = "PlanFailed",
    Recovered { ready = "ready", draining = "draining", removed = "gone" } = "Recovered",
    EventLogChanged { stopped_reason = "stopped", lost_inputs = "lost" } = "Records",
    ReportRejected { error = "wrong", rejected_total = "refused" } = "ReportRefused",
    HostExcluded { host = "host", duration_s = "for_s" } = "KeptOut",
    SecondaryBehind { secondary = "secondary" } = "SecondaryLate",
    WeightTooSmall { table = "table", host = "host" } = "HeldBack";
});

debug_as_recorded!(struct EventLogState = "RecordsState" { stopped_reason = "stopped", lost_inputs = "lost" });

debug_as_recorded!(struct ReportedLoad = "LoadTold" { utilization = "busy", queue_length = "queue", service_time_ms = "service_ms", request_rate = "rate", failure_rate = "errored_rate" });

debug_as_recorded!(struct RecoveredState = "Remembered" { at_us = "at_us", list = "list", zones = "zones", dns_serial = "serial" });

debug_as_recorded!(struct RecoveredList = "RememberedList" { file = "file", file_generation = "file_version", added = "added", edits = "edits", hosts = "hosts" });

debug_as_recorded!(struct RecoveredHost = "RememberedHost" { entry = "entry", started_us = "started_us", state = "standing", draining_since_us = "told_away_us" });
