//! The state a proxy should have, and the state it has.

use pondarch_controller::{HostId, RequestClassId, RetryPolicy};
use pondarch_runtime_api::AdminState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How tables map to the objects of the runtime API: one backend for each request class, one server for each line,
/// named as the host, and three maps, two of them with an entry for each request class.
#[derive(Clone, Debug)]
pub struct ProxyMapping {
    /// Name and incarnation of the controller, `name:start`; a joined proxy has it in the map `pond_state`.
    pub controller_incarnation: String,
    /// All request classes; their order gives their index.
    pub classes: Vec<ClassMapping>,
}

/// How one request class appears in the runtime API.
#[derive(Clone, Debug)]
pub struct ClassMapping {
    /// The name of the class: its key in maps.
    pub name: String,
    /// The name of its backend.
    pub backend: String,
}

/// Map of the admission quotas by request class: `100` admits all, `75` that percentage, `12.5/s` that rate at each
/// proxy.
pub const QUOTA_MAP: &str = "pond_levels";
/// Map of the retry policies by request class: `never`, `unsent`, `failure`, `failure-twice`.
pub const RETRY_POLICY_MAP: &str = "pond_tries";
/// Map with the incarnation of the controller that joined the proxy, and the version of the last update batch.
pub const STATE_MAP: &str = "pond_state";
/// Key of the controller's name and incarnation in [`STATE_MAP`].
pub const CONTROLLER_KEY: &str = "steward";
/// Key of the version in [`STATE_MAP`]: the controller's name and incarnation, and a number that rises.
pub const VERSION_KEY: &str = "table";

/// One line as the proxy should have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DesiredLine {
    /// Where the host listens.
    pub addr: SocketAddr,
    /// The weight, from 1 to 256.
    pub weight: u16,
}

/// The lines of one table, shared by all proxies that use it.
pub type TableLines = BTreeMap<HostId, DesiredLine>;

/// The state a proxy should have.
#[derive(Clone, Debug, Default)]
pub struct DesiredState {
    /// The lines of the table of each request class.
    pub lines: BTreeMap<RequestClassId, Arc<TableLines>>,
    /// Values of the map `pond_levels`.
    pub quotas: BTreeMap<RequestClassId, String>,
    /// Values of the map `pond_tries`.
    pub retry_policies: BTreeMap<RequestClassId, &'static str>,
}

/// One server as the proxy has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedLine {
    /// Where the proxy sends requests for the host.
    pub addr: SocketAddr,
    /// The weight, from 0 to 256.
    pub weight: u16,
    /// Whether the server is in use.
    pub state: AdminState,
}

impl AppliedLine {
    /// Whether the proxy may pick this host for a request.
    pub fn is_selectable(&self) -> bool {
        self.state == AdminState::Ready && self.weight > 0
    }
}

/// The state a proxy has, as far as it was read or acknowledged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppliedState {
    /// The servers of each request class.
    pub lines: BTreeMap<(RequestClassId, HostId), AppliedLine>,
    /// The map `pond_levels`.
    pub quotas: BTreeMap<String, String>,
    /// The map `pond_tries`.
    pub retry_policies: BTreeMap<String, String>,
    /// The map `pond_state`.
    pub state: BTreeMap<String, String>,
}

/// The value of a retry policy in the map `pond_tries`.
pub fn retry_policy_value(policy: RetryPolicy) -> &'static str {
    match policy {
        RetryPolicy::Never => "never",
        RetryPolicy::IfUnprocessed => "unsent",
        RetryPolicy::OnceOnFailure => "failure",
        RetryPolicy::TwiceOnFailure => "failure-twice",
    }
}

/// The value of an admission quota in the map `pond_levels`. A fraction is rounded down to tenths of a percent, so that
/// no more is admitted than was decided.
pub fn quota_value(quota: f64, by_rate: bool) -> String {
    if by_rate {
        // A rate that no proxy can reach means no limit.
        return if quota >= 1e9 {
            "100".into()
        } else {
            format!("{quota:.3}/s")
        };
    }
    format!("{}", (quota.clamp(0.0, 1.0) * 1e3 + 1e-6).floor() / 10.0)
}
