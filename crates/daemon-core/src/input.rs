//! The inputs of the core. The event log records them under the serde names of their variants and fields.

use crate::recovered_state::RecoveredState;
use crate::reported_load::ReportedLoad;
use pondarch_config::HostEntry;
use pondarch_dns_core::SecondaryEvent;
use pondarch_load_report_protocol::{Report, SenderRole};
use pondarch_weight_solver::Plan;
use serde::{Deserialize, Serialize};

/// An event outside the core.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The state of the previous run of this controller; if there is one, it is the first input of a run.
    Recovered(Box<RecoveredState>),
    /// The state of the event log has changed.
    #[serde(rename = "Records")]
    EventLog(EventLogState),
    /// The time that `Core::wake_at` returned has come.
    #[serde(rename = "Tick")]
    TimerExpired,
    /// The endpoint list was read.
    #[serde(rename = "List")]
    EndpointList {
        /// Generation of the list, if its source numbers its lists.
        #[serde(rename = "version")]
        generation: Option<u64>,
        /// All hosts of the list.
        hosts: Vec<HostEntry>,
    },
    /// The endpoint list could not be read; the last valid one stays in force.
    #[serde(rename = "ListRefused")]
    EndpointListRejected {
        /// Why it could not be read.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// A connection to a proxy is open.
    Connected {
        /// Index of the proxy in the settings.
        proxy: u16,
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// One reply of a proxy.
    Answer {
        /// Index of the proxy in the settings.
        proxy: u16,
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
        /// The text of the reply, as received.
        text: String,
    },
    /// The connection to a proxy was lost, or could not be opened.
    #[serde(rename = "Lost")]
    Disconnected {
        /// Index of the proxy in the settings.
        proxy: u16,
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
        /// Why the connection was lost.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A health check of a host, or a read of its load, has ended.
    #[serde(rename = "Probed")]
    HealthCheckCompleted {
        /// Name of the host.
        host: String,
        /// Whether only the load was read; otherwise this was a health check.
        for_load: bool,
        /// Whether the host replied that it serves.
        #[serde(rename = "good")]
        healthy: bool,
        /// The load that the host reported.
        load: Option<ReportedLoad>,
    },
    /// The DNS server answered a query with a table as of this serial. Reported at intervals, once for many answers.
    #[serde(rename = "AskedByName")]
    DnsQueried {
        /// Index of the proxy in the settings; none: the sender of the query is not known.
        proxy: Option<u16>,
        /// The table that was answered; none: there was none.
        table: Option<u16>,
        /// Serial of the DNS zone.
        serial: u32,
    },
    /// A client that pushes reports has identified itself.
    #[serde(rename = "SenderCame")]
    SenderConnected {
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
        /// Name of the sender.
        name: String,
        /// Whether it is a proxy or a host.
        #[serde(rename = "is")]
        role: SenderRole,
        /// Distinguishes the runs of this sender.
        #[serde(rename = "run")]
        incarnation: u64,
    },
    /// A sender pushed a report.
    #[serde(rename = "Pushed")]
    ReportReceived {
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
        /// The report.
        report: Box<Report>,
    },
    /// The connection of a sender was lost.
    #[serde(rename = "SenderLeft")]
    SenderDisconnected {
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// The memory that the process uses outside the core has changed.
    #[serde(rename = "Memory")]
    MemoryUsage {
        /// Bytes of reports that are queued to be applied.
        #[serde(rename = "waiting")]
        queued_bytes: u64,
        /// Bytes that are queued to be written to the event log.
        #[serde(rename = "records")]
        event_log_bytes: u64,
        /// Bytes that open connections use.
        #[serde(rename = "connections")]
        connection_bytes: u64,
        /// Connections that were rejected since the last such input.
        #[serde(rename = "capped")]
        rejected_connections: u64,
    },
    /// A DNS secondary did something.
    #[serde(rename = "Secondary")]
    SecondaryObserved {
        /// Index of the secondary in the settings.
        #[serde(rename = "n")]
        index: u16,
        /// What it did.
        #[serde(rename = "heard")]
        observation: SecondaryEvent,
    },
    /// The solver has finished a problem.
    Solved {
        /// Number of the problem, from `Output::Solve`.
        number: u64,
        /// The plan, or why there is none.
        plan: Result<Plan, String>,
    },
    /// An operator sent a command line.
    Command {
        /// Id of the connection that waits for the reply.
        caller: u64,
        /// Access level: 0 user, 1 operator, 2 admin.
        level: u8,
        /// The command line.
        line: String,
    },
}

impl Input {
    /// Whether it changes the state that is recovered after a restart. Observations of proxies and hosts do not: they
    /// would be outdated by then, and are made again.
    pub fn changes_recovered_state(&self) -> bool {
        match self {
            Input::Recovered(_) | Input::EndpointList { .. } => true,
            Input::Command { line, .. } => !line.starts_with("show"),
            _ => false,
        }
    }
}

/// The state of the event log.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EventLogState {
    /// Why the event log is not written; none: it is.
    #[serde(rename = "stopped")]
    pub stopped_reason: Option<String>,
    /// Number of inputs so far that were not recorded.
    #[serde(rename = "lost")]
    pub lost_inputs: u64,
}
