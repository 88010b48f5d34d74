//! An in-memory proxy that executes the commands it is sent.

use super::scenario::HostAttempts;
use pondarch_proxy_core::proxy_state::{Backend, ProxyState, Server};
use pondarch_runtime_api::command;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// A command line that was sent to a proxy.
pub(super) struct SentLine {
    pub(super) connection: u64,
    pub(super) line: String,
}

/// An in-memory proxy.
pub(super) struct SimulatedProxy {
    /// Backends, servers and counters of the proxy.
    pub(super) proxy_state: ProxyState,
    /// Whether it can be connected to.
    pub(super) reachable: bool,
    /// Number of the open connection.
    pub(super) connection: Option<u64>,
    /// Command lines that it has not answered yet.
    pub(super) lines: VecDeque<SentLine>,
    /// Times of the messages with updates within the message window of the settings, in microseconds.
    pub(super) messages: VecDeque<u64>,
    /// The time since which some backend has had no serving host, in microseconds.
    pub(super) without_host_since: Option<u64>,
}

impl SimulatedProxy {
    pub(super) fn new(proxy_state: ProxyState) -> SimulatedProxy {
        SimulatedProxy {
            proxy_state,
            reachable: false,
            connection: None,
            lines: VecDeque::new(),
            messages: VecDeque::new(),
            without_host_since: None,
        }
    }

    /// Closes the connection with this number if it is open, and drops all unanswered lines.
    pub(super) fn close_connection(&mut self, connection: u64) {
        self.connection = self.connection.filter(|open| *open != connection);
        self.lines.clear();
    }

    /// Adds recorded requests and attempts to the counters; those of a host that the proxy no longer has are left out.
    pub(super) fn apply_traffic(&mut self, requests: &[(String, u64)], attempts: &[HostAttempts]) {
        for (name, count) in requests {
            if let Some(backend) = self.proxy_state.backends.get_mut(name) {
                backend.requests += count;
            }
        }
        for host in attempts {
            let backend = self.proxy_state.backends.get_mut(&host.backend);
            let Some(server) = backend.and_then(|backend| backend.servers.get_mut(&host.host))
            else {
                continue;
            };
            server.attempts += host.succeeded + host.failed;
            server.results.succeeded += host.succeeded;
            server.results.failed += host.failed;
            server.results.succeeded_duration += Duration::from_millis(host.succeeded_ms);
        }
    }

    /// Counts the line as a message if it has updates. Returns the number of messages within the window.
    pub(super) fn count_message(&mut self, now_us: u64, line: &str, window_us: u64) -> u64 {
        let has_updates = command::parse_line(line)
            .iter()
            .flatten()
            .any(ProxyState::is_update);
        if has_updates {
            self.messages.push_back(now_us);
            self.messages.retain(|at| now_us - at <= window_us);
        }
        self.messages.len() as u64
    }

    /// Returns whether it is connected and has been sent updates.
    pub(super) fn has_joined(&self) -> bool {
        self.connection.is_some() && !self.messages.is_empty()
    }

    /// Returns whether each backend has a serving host.
    pub(super) fn all_backends_serve(&self) -> bool {
        let serves = |backend: &Backend| backend.servers.values().any(Server::is_serving);
        self.proxy_state.backends.values().all(serves)
    }

    /// Returns the names of the hosts that are serving in any backend.
    pub(super) fn serving_hosts(&self) -> BTreeSet<&String> {
        let backends = self.proxy_state.backends.values();
        backends
            .flat_map(|backend| backend.servers.iter())
            .filter(|(_, server)| server.is_serving())
            .map(|(name, _)| name)
            .collect()
    }
}
