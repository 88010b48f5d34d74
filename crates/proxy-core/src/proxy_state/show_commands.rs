//! Runtime API commands that show state and counters.

use super::{Backend, ProxyState, Server};
use pondarch_runtime_api::AdminState;
use pondarch_runtime_api::info::Info;
use pondarch_runtime_api::stat::{self, RowType, StatRow};
use pondarch_runtime_api::state::{self, ServerState};

impl ProxyState {
    pub(super) fn show_info(&self) -> String {
        let mut info = Info::default();
        info.push("Name", "pondarch-proxy");
        info.push("Node", &self.name);
        info.push("Pid", self.process_id);
        info.push("Start_time_sec", self.started_unix_s);
        for (name, value) in &self.extra_info {
            info.push(name, value);
        }
        info.write()
    }

    pub(super) fn show_stat(&self, json: bool) -> String {
        if json {
            stat::write_json(&self.stat_rows())
        } else {
            stat::write(&self.stat_rows())
        }
    }

    pub(super) fn show_backends(&self) -> String {
        std::iter::once("# name\n".to_string())
            .chain(self.backends.keys().map(|backend| format!("{backend}\n")))
            .collect()
    }

    pub(super) fn show_servers_state(&self, backend: Option<&str>) -> String {
        state::write_state(&self.server_states(backend))
    }

    pub(super) fn show_servers_connections(&self, backend: Option<&str>) -> String {
        state::write_conn(&self.server_states(backend))
    }

    fn server_states(&self, backend_filter: Option<&str>) -> Vec<ServerState> {
        self.backends
            .iter()
            .filter(|(name, _)| backend_filter.is_none_or(|backend_filter| backend_filter == *name))
            .flat_map(|(name, backend)| {
                let servers = backend.servers.iter();
                servers.map(|(server_name, server)| server_state(name, server_name, server))
            })
            .collect()
    }

    /// The rows of `show stat`.
    #[must_use]
    pub fn stat_rows(&self) -> Vec<StatRow> {
        let mut rows = Vec::new();
        for (name, backend) in &self.backends {
            let servers = backend.servers.iter();
            rows.extend(servers.map(|(server_name, server)| server_row(name, server_name, server)));
            rows.push(backend_row(name, backend));
        }
        rows
    }
}

fn server_state(backend: &str, name: &str, server: &Server) -> ServerState {
    ServerState {
        backend: backend.to_string(),
        server: name.to_string(),
        addr: server.address,
        state: server.state,
        weight: server.weight,
        connections_in_use: server.in_flight,
        seconds_since_change: 0,
    }
}

fn server_row(backend: &str, name: &str, server: &Server) -> StatRow {
    let results = server.results;
    let mean_duration = results
        .succeeded_duration
        .checked_div(results.succeeded.max(1) as u32);
    let status = match server.state {
        AdminState::Ready => "UP",
        AdminState::Drain => "DRAIN",
        AdminState::Maint => "MAINT",
    };
    StatRow {
        backend: backend.to_string(),
        server: name.to_string(),
        current_sessions: server.in_flight,
        total_sessions: server.attempts,
        status: status.into(),
        weight: u64::from(server.weight),
        addr: server.address.to_string(),
        mean_response_time: mean_duration.unwrap_or_default(),
        exact_totals: Some(results),
        cpu_utilization: server.utilization,
        queued_at_host: server.queue_length,
        ..StatRow::default()
    }
}

fn backend_row(name: &str, backend: &Backend) -> StatRow {
    StatRow {
        backend: name.to_string(),
        server: "BACKEND".into(),
        row_type: RowType::Backend,
        denied_requests: backend.rejected,
        requests: backend.requests,
        status: "UP".into(),
        ..StatRow::default()
    }
}
