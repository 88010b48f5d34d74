//! The external inputs of a run: what came from outside, which would have come whatever was decided. What proxies
//! answered is not among them (it follows from updates), what their clients and hosts did is.
//!
//! The names in the file (a "scene" on the command line) are pinned: they never follow a name in the code.

use pondarch_config::HostEntry;
use pondarch_daemon_core::{RecoveredState, ReportedLoad};
use serde::{Deserialize, Serialize};

/// The external inputs of a run, as a file: JSON, which is Jsonnet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The settings, evaluated, as JSON.
    pub settings: String,
    /// When the run began, in microseconds since 1970.
    pub at_us: u64,
    /// The inputs, in order of time.
    #[serde(rename = "course")]
    pub events: Vec<ScenarioEvent>,
}

/// An external input and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioEvent {
    /// Time since the start of the run.
    pub after_us: u64,
    /// The input.
    #[serde(rename = "what")]
    pub input: ExternalInput,
}

/// Something that came from outside.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ExternalInput {
    /// The state that was recovered from an earlier run.
    #[serde(rename = "Known")]
    RecoveredState(Box<RecoveredState>),
    /// The endpoint list.
    #[serde(rename = "List")]
    EndpointList {
        /// Its generation, if it has one.
        #[serde(rename = "version")]
        generation: Option<u64>,
        /// Its hosts.
        hosts: Vec<HostEntry>,
    },
    /// A proxy became reachable, or no longer is.
    #[serde(rename = "Proxy")]
    ProxyReachable {
        /// Number of the proxy.
        proxy: u16,
        /// Whether it can be connected to.
        #[serde(rename = "up")]
        reachable: bool,
    },
    /// What a proxy's clients sent and its hosts did since its last report.
    #[serde(rename = "Traffic")]
    ProxyTraffic {
        /// Number of the proxy.
        proxy: u16,
        /// Requests by backend.
        #[serde(rename = "reqs")]
        requests: Vec<(String, u64)>,
        /// Attempts by backend and host.
        #[serde(rename = "met")]
        attempts: Vec<HostAttempts>,
    },
    /// A health check ended.
    #[serde(rename = "Probed")]
    HealthCheckCompleted {
        /// Name of the host.
        host: String,
        /// Whether it was made for the host's load.
        for_load: bool,
        /// Whether the host answered that it serves.
        #[serde(rename = "good")]
        healthy: bool,
        /// The load that the host reported.
        load: Option<ReportedLoad>,
    },
    /// A proxy queried its table over DNS.
    #[serde(rename = "Asked")]
    DnsQueried {
        /// Number of the proxy; none: one that is not known by its address.
        proxy: Option<u16>,
    },
    /// An operator's command that changes something.
    #[serde(rename = "Operator")]
    OperatorCommand {
        /// Level of the socket.
        level: u8,
        /// The line.
        line: String,
    },
}

/// What one host did with the attempts of one backend of one proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostAttempts {
    /// The backend.
    pub backend: String,
    /// Name of the host.
    pub host: String,
    /// Attempts that succeeded.
    #[serde(rename = "done")]
    pub succeeded: u64,
    /// Attempts that failed.
    #[serde(rename = "errored")]
    pub failed: u64,
    /// Time that those that succeeded took, summed.
    #[serde(rename = "done_ms")]
    pub succeeded_ms: u64,
}
