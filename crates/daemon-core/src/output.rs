//! What comes out of the core. Outputs are recorded in the event log, by the names of their variants and fields there.

use crate::event::Event;
use pondarch_weight_solver::Fleet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Something to be done, in the order given.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum Output {
    /// Open a connection to a proxy.
    Dial {
        /// Position of the proxy in the settings.
        proxy: u16,
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// Write lines to a proxy.
    Write {
        /// Position of the proxy in the settings.
        proxy: u16,
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
        /// The lines, as they are to be written.
        lines: Vec<String>,
    },
    /// Close the connection to a proxy.
    #[serde(rename = "Hangup")]
    HangUp {
        /// Position of the proxy in the settings.
        proxy: u16,
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
    },
    /// Check the health of a host, or read its load.
    #[serde(rename = "Probe")]
    CheckHealth {
        /// Name of the host.
        host: String,
        /// Where to reach it.
        #[serde(rename = "addr")]
        address: SocketAddr,
        /// Whether only the load was asked for; otherwise it was a health check.
        for_load: bool,
    },
    /// The DNS server has other answers to give: `Core::dns_view`.
    #[serde(rename = "ViewChanged")]
    DnsViewChanged {
        /// Serial of the DNS zone.
        serial: u32,
    },
    /// A sender may send this many more reports.
    #[serde(rename = "Credit")]
    GrantCredit {
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
        /// How many more reports.
        #[serde(rename = "more")]
        reports: u32,
        /// When, in microseconds since 1970.
        at_us: u64,
    },
    /// A sender is rejected, or not accepted any longer.
    #[serde(rename = "RefuseSender")]
    RejectSender {
        /// Which connection, so that late events of an older one can be distinguished.
        #[serde(rename = "conn")]
        connection: u64,
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The outcomes of one report interval were applied to the decisions.
    #[serde(rename = "Looked")]
    LoadReportsApplied {
        /// Hosts whose outcomes were applied.
        hosts: usize,
        /// Hosts whose outcomes were deferred to the next interval.
        #[serde(rename = "kept")]
        deferred: usize,
        /// Age of the oldest outcome, in microseconds.
        oldest_us: u64,
        /// Hosts whose outcomes were too old to be applied.
        dropped: usize,
    },
    /// A secondary is to be notified that the zone has changed.
    #[serde(rename = "SayChanged")]
    NotifySecondary {
        /// Position of the secondary in the settings.
        secondary: u16,
    },
    /// A problem to solve, beside all else; one at a time.
    Solve {
        /// Which of the problems given to the solver.
        number: u64,
        /// The problem to solve.
        fleet: Fleet,
    },
    /// The reply to a command line, as it is to be written.
    Reply {
        /// Which connection waits for the reply.
        caller: u64,
        /// The text, as it stands on the wire.
        text: String,
    },
    /// Something to log.
    Event(Event),
}
