//! The outputs of the core. The event log records them under the serde names of their variants and fields.

use crate::event::Event;
use pondarch_weight_solver::Fleet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An action that the caller carries out, in the order in which the core returns them.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// Open a connection to a proxy.
    Dial {
        /// Index of the proxy in the settings.
        proxy: u16,
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// Write lines to a proxy.
    Write {
        /// Index of the proxy in the settings.
        proxy: u16,
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
        /// The lines, without line ends.
        lines: Vec<String>,
    },
    /// Close the connection to a proxy.
    #[serde(rename = "Hangup")]
    HangUp {
        /// Index of the proxy in the settings.
        proxy: u16,
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// Check the health of a host, or read its load.
    #[serde(rename = "Probe")]
    CheckHealth {
        /// Name of the host.
        host: String,
        /// Address of the host.
        #[serde(rename = "addr")]
        address: SocketAddr,
        /// Whether only the load is to be read; otherwise this is a health check.
        for_load: bool,
    },
    /// The data that the DNS server answers from has changed: see `Core::dns_view`.
    #[serde(rename = "ViewChanged")]
    DnsViewChanged {
        /// Serial of the DNS zone.
        serial: u32,
    },
    /// Allow a sender to send this many more reports.
    #[serde(rename = "Credit")]
    GrantCredit {
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
        /// Number of further reports.
        #[serde(rename = "more")]
        reports: u32,
        /// When the credit was granted, in microseconds since 1970.
        at_us: u64,
    },
    /// Reject a sender, or close the connection of one that was accepted.
    #[serde(rename = "RefuseSender")]
    RejectSender {
        /// Id of the connection, so that late events of an earlier connection are recognized.
        #[serde(rename = "conn")]
        connection: u64,
        /// Why it is rejected.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The outcomes of one report interval were applied; nothing is to be done.
    #[serde(rename = "Looked")]
    LoadReportsApplied {
        /// Number of hosts whose outcomes were applied.
        hosts: usize,
        /// Number of hosts whose outcomes were deferred to the next interval.
        #[serde(rename = "kept")]
        deferred: usize,
        /// Age of the oldest outcome, in microseconds.
        oldest_us: u64,
        /// Number of hosts whose outcomes were too old to be applied.
        dropped: usize,
    },
    /// Notify a DNS secondary that the zone has changed.
    #[serde(rename = "SayChanged")]
    NotifySecondary {
        /// Index of the secondary in the settings.
        secondary: u16,
    },
    /// Solve a problem in the background; there is at most one at a time.
    Solve {
        /// Number of the problem, for `Input::Solved`.
        number: u64,
        /// The problem to solve.
        fleet: Fleet,
    },
    /// Write the reply to a command line.
    Reply {
        /// Id of the connection that waits for the reply.
        caller: u64,
        /// The text of the reply, as it is written.
        text: String,
    },
    /// Log an event.
    Event(Event),
}
