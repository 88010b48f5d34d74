//! The external inputs of a run, which do not depend on its decisions. The traffic of clients and the results of hosts
//! are included; the answers of proxies are not, because they follow from the updates.
//!
//! The names in the file (a "scene" on the command line) are fixed; a renamed type or field keeps its stored name by an
//! attribute.

use pondarch_config::HostEntry;
use pondarch_daemon_core::{RecoveredState, ReportedLoad};
use serde::{Deserialize, Serialize};

/// The external inputs of a run. The file format is JSON, which is also valid Jsonnet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Evaluated settings, as JSON.
    pub settings: String,
    /// Start of the run, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// External inputs, in order of time.
    #[serde(rename = "course")]
    pub events: Vec<ScenarioEvent>,
}

/// An external input and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScenarioEvent {
    /// Time since the start of the run, in microseconds.
    pub after_us: u64,
    /// The external input.
    #[serde(rename = "what")]
    pub input: ExternalInput,
}

/// An input that does not depend on the decisions of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ExternalInput {
    /// The state that was recovered from an earlier run.
    #[serde(rename = "Known")]
    RecoveredState(Box<RecoveredState>),
    /// The endpoint list.
    #[serde(rename = "List")]
    EndpointList {
        /// Generation of the list, if it has one.
        #[serde(rename = "version")]
        generation: Option<u64>,
        /// Hosts on the list.
        hosts: Vec<HostEntry>,
    },
    /// A proxy became reachable or unreachable.
    #[serde(rename = "Proxy")]
    ProxyReachable {
        /// Number of the proxy.
        proxy: u16,
        /// Whether connections to it succeed.
        #[serde(rename = "up")]
        reachable: bool,
    },
    /// Requests and attempts that a proxy counted since its last answer with counters.
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
    /// A health check completed.
    #[serde(rename = "Probed")]
    HealthCheckCompleted {
        /// Name of the host.
        host: String,
        /// Whether the check was made to read the load of the host.
        for_load: bool,
        /// Whether the host answered that it is healthy.
        #[serde(rename = "good")]
        healthy: bool,
        /// Load that the host reported.
        load: Option<ReportedLoad>,
    },
    /// A proxy queried its table over DNS.
    #[serde(rename = "Asked")]
    DnsQueried {
        /// Number of the proxy; `None` if its address is unknown.
        proxy: Option<u16>,
    },
    /// An operator command that changes state; `show` commands are left out.
    #[serde(rename = "Operator")]
    OperatorCommand {
        /// Access level of the operator's socket.
        level: u8,
        /// Command line.
        line: String,
    },
}

/// Results of the attempts of one backend of one proxy at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostAttempts {
    /// Name of the backend.
    pub backend: String,
    /// Name of the host.
    pub host: String,
    /// Number of attempts that succeeded.
    #[serde(rename = "done")]
    pub succeeded: u64,
    /// Number of attempts that failed.
    #[serde(rename = "errored")]
    pub failed: u64,
    /// Total duration of the attempts that succeeded, in milliseconds.
    #[serde(rename = "done_ms")]
    pub succeeded_ms: u64,
}
