//! What goes into the core. Inputs are recorded in the event log, by the names of their variants and fields there.

use crate::recovered_state::RecoveredState;
use crate::reported_load::ReportedLoad;
use pondarch_config::HostEntry;
use pondarch_dns_core::SecondaryEvent;
use pondarch_load_report_protocol::{Report, SenderRole};
use pondarch_weight_solver::Plan;
use serde::{Deserialize, Serialize};

/// Something that happened.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// What a controller of this name knew before it started again: the first input of a run, or none.
    Recovered(Box<RecoveredState>),
    /// The state of the event log, where it changed.
    #[serde(rename = "Records")]
    EventLog(EventLogState),
    /// The time that `Core::wake_at` asked for has come.
    #[serde(rename = "Tick")]
    TimerExpired,
    /// The endpoint list was read.
    #[serde(rename = "List")]
    EndpointList {
        /// Number of the list, if its source numbers lists.
        #[serde(rename = "version")]
        generation: Option<u64>,
        /// All hosts of the list.
        hosts: Vec<HostEntry>,
    },
    /// The endpoint list could not be read: the last good one stays in force.
    #[serde(rename = "ListRefused")]
    EndpointListRejected {
        /// What was wrong.
        #[serde(rename = "wrong")]
        error: String,
    },
    /// A connection to a proxy is open.
    Connected {
        /// Position of the proxy in the settings.
        proxy: u16,
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// One reply of a proxy, as it stands on the wire.
    Answer {
        /// Position of the proxy in the settings.
        proxy: u16,
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
        /// The text, as it stands on the wire.
        text: String,
    },
    /// The connection is gone, or could not be opened.
    #[serde(rename = "Lost")]
    Disconnected {
        /// Position of the proxy in the settings.
        proxy: u16,
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// A health check, or a read of the load of a host, has ended.
    #[serde(rename = "Probed")]
    HealthCheckCompleted {
        /// Name of the host.
        host: String,
        /// Whether only the load was asked for; otherwise it was a health check.
        for_load: bool,
        /// Whether the host answered that it serves.
        #[serde(rename = "good")]
        healthy: bool,
        /// What the host reported of its load.
        load: Option<ReportedLoad>,
    },
    /// The DNS server gave a table away as it was at this serial, to a proxy if it is known which. Reported at
    /// intervals, once for many answers.
    #[serde(rename = "AskedByName")]
    DnsQueried {
        /// Position of the proxy in the settings.
        proxy: Option<u16>,
        /// The table.
        table: Option<u16>,
        /// Serial of the DNS zone.
        serial: u32,
    },
    /// A client that pushes reports has said who it is.
    #[serde(rename = "SenderCame")]
    SenderConnected {
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
        /// Name of the sender.
        name: String,
        /// Whether it is a proxy or a host.
        #[serde(rename = "is")]
        role: SenderRole,
        /// Tells the starts of this sender apart.
        #[serde(rename = "run")]
        incarnation: u64,
    },
    /// A report from a sender.
    #[serde(rename = "Pushed")]
    ReportReceived {
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
        /// What it reported.
        report: Box<Report>,
    },
    /// The connection of a sender is gone.
    #[serde(rename = "SenderLeft")]
    SenderDisconnected {
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// Memory that the process outside the core uses, where it changed.
    #[serde(rename = "Memory")]
    MemoryUsage {
        /// Bytes of reports that wait to be applied.
        #[serde(rename = "waiting")]
        queued_bytes: u64,
        /// Bytes that wait to be written to the event log.
        #[serde(rename = "records")]
        event_log_bytes: u64,
        /// Bytes that open connections take.
        #[serde(rename = "connections")]
        connection_bytes: u64,
        /// Connections that were rejected since the last such input.
        #[serde(rename = "capped")]
        rejected_connections: u64,
    },
    /// Something was observed of a DNS secondary.
    #[serde(rename = "Secondary")]
    SecondaryObserved {
        /// Position of the secondary in the settings.
        #[serde(rename = "n")]
        index: u16,
        /// What it did.
        #[serde(rename = "heard")]
        observation: SecondaryEvent,
    },
    /// The result of a problem that was given to the solver.
    Solved {
        /// Which of the problems given to the solver.
        number: u64,
        /// The plan, or why there is none.
        plan: Result<Plan, String>,
    },
    /// One command line of an operator.
    Command {
        /// Which connection waits for the reply.
        caller: u64,
        /// Access level: 0 user, 1 operator, 2 admin.
        level: u8,
        /// The command line.
        line: String,
    },
}

impl Input {
    /// Whether it changes the state that is recovered after a restart. What is seen of proxies and hosts is outdated by
    /// then, and read anew.
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
    /// Why nothing is written; none: it is.
    #[serde(rename = "stopped")]
    pub stopped_reason: Option<String>,
    /// Inputs that were not recorded so far.
    #[serde(rename = "lost")]
    pub lost_inputs: u64,
}
