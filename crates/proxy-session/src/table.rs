//! What a proxy should hold, and what it holds.

use pondarch_controller::{HostId, RequestClassId, RetryPolicy};
use pondarch_runtime_api::AdminState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// How the steward's words map onto the proxies': one backend for each request kind, one server for each line,
/// named as the host; three maps with an entry for each kind.
#[derive(Clone, Debug)]
pub struct Front {
    /// What marks a proxy as joined: the steward's name and which start of it.
    pub mark: String,
    pub kinds: Vec<FrontKind>,
}

#[derive(Clone, Debug)]
pub struct FrontKind {
    pub name: String,
    pub backend: String,
}

/// Map of the share or rate that is let in, by kind: `100` for all, `75` per cent, `12.5/s` at each proxy.
pub const LEVELS: &str = "pond_levels";
/// Map of when a proxy tries another host, by kind: `never`, `unsent`, `failure`, `failure-twice`.
pub const TRIES: &str = "pond_tries";
/// Map with the mark of the steward that joined the proxy, under `steward`, and the version of the last batch, the
/// mark and a number that rises, under `table`.
pub const STATE: &str = "pond_state";
pub const MARK: &str = "steward";
pub const TABLE: &str = "table";

/// One line as it should be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WantedLine {
    pub addr: SocketAddr,
    pub units: u16,
}

/// The lines of one table, shared by all proxies that use it.
pub type Lines = BTreeMap<HostId, WantedLine>;

/// All that a proxy should hold.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    pub lines: BTreeMap<RequestClassId, Arc<Lines>>,
    pub levels: BTreeMap<RequestClassId, String>,
    pub tries: BTreeMap<RequestClassId, &'static str>,
}

/// One server as the proxy holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLine {
    pub addr: SocketAddr,
    pub units: u16,
    pub state: AdminState,
}

impl HeldLine {
    /// Whether the proxy may pick it.
    pub fn serves(&self) -> bool {
        self.state == AdminState::Ready && self.units > 0
    }
}

/// All that a proxy holds, as far as it told or acknowledged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    pub lines: BTreeMap<(RequestClassId, HostId), HeldLine>,
    pub levels: BTreeMap<String, String>,
    pub tries: BTreeMap<String, String>,
    pub state: BTreeMap<String, String>,
}

/// The words of the map `pond_tries`.
pub fn tries_word(tries: RetryPolicy) -> &'static str {
    match tries {
        RetryPolicy::Never => "never",
        RetryPolicy::IfUnprocessed => "unsent",
        RetryPolicy::OnceOnFailure => "failure",
        RetryPolicy::TwiceOnFailure => "failure-twice",
    }
}

/// The words of the map `pond_levels`: rounded down to tenths of a per cent, so that no more is let in than decided.
pub fn level_word(quota: f64, by_rate: bool) -> String {
    if by_rate {
        // A rate no proxy can reach stands for no limit.
        return if quota >= 1e9 {
            "100".into()
        } else {
            format!("{quota:.3}/s")
        };
    }
    format!("{}", (quota.clamp(0.0, 1.0) * 1e3 + 1e-6).floor() / 10.0)
}
