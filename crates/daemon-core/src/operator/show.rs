//! Commands that show figures, hosts and events.

use super::HOSTS;
use super::error::OperatorError;
use crate::endpoint_list::ListedHost;
use crate::state::{DaemonState, LoggedError, LoggedEvent};
use crate::table_assignments::TableAssignment;
use pondarch_controller::DurationExt;
use pondarch_controller::{EndpointState, HostId, TableId, Time};
use pondarch_runtime_api::AdminState;
use pondarch_runtime_api::stat::{self, AttemptTotals, RowType, StatRow};
use pondarch_runtime_api::state::{ServerState, write_conn, write_state};
use std::time::Duration;

pub(super) fn info(state: &DaemonState, json: bool) -> String {
    let info = crate::info::info(state);
    if json {
        info.write_json()
    } else {
        info.write()
    }
}

pub(super) fn stat(state: &DaemonState, json: bool) -> String {
    let rows = stat_rows(state);
    if json {
        stat::write_json(&rows)
    } else {
        stat::write(&rows)
    }
}

pub(super) fn backends(state: &DaemonState) -> String {
    let tables = state.tables.by_id.keys();
    let tables = tables.map(|table| format!("{}\n", table_name(*table)));
    std::iter::once(format!("# name\n{HOSTS}\n"))
        .chain(tables)
        .collect()
}

pub(super) fn servers_state(
    state: &mut DaemonState,
    backend: Option<&str>,
) -> Result<String, OperatorError> {
    Ok(write_state(&servers(state, backend)?))
}

pub(super) fn servers_connections(
    state: &mut DaemonState,
    backend: Option<&str>,
) -> Result<String, OperatorError> {
    Ok(write_conn(&servers(state, backend)?))
}

pub(super) fn memory(state: &DaemonState) -> String {
    let lines = state.memory.status_lines();
    lines
        .map(|(purpose, text)| format!("{purpose}: {text}\n"))
        .collect()
}

pub(super) fn errors(state: &DaemonState) -> String {
    let line =
        |LoggedError { at, text }: &LoggedError| format!("[{:.3}] {text}\n", uptime_s(state, *at));
    state.errors.iter().map(line).collect()
}

pub(super) fn events(state: &DaemonState) -> String {
    let line = |LoggedEvent { at, event }: &LoggedEvent| {
        format!("<0> [{:.3}] {event:?}\n", uptime_s(state, *at))
    };
    state.events.iter().map(line).collect()
}

fn uptime_s(state: &DaemonState, at: Time) -> f64 {
    (at - state.started).seconds()
}

fn table_name(table: TableId) -> String {
    format!("table-{}", table.0)
}

/// A row for each host of the endpoint list with its latest outcomes, and one for each member of each table.
fn stat_rows(state: &DaemonState) -> Vec<StatRow> {
    let mut rows: Vec<StatRow> = state
        .endpoints
        .hosts
        .iter()
        .map(|(id, host)| host_row(state, id, host))
        .collect();
    for (table, assignment) in &state.tables.by_id {
        rows.extend(table_rows(state, *table, assignment));
    }
    rows
}

fn host_row(state: &DaemonState, id: &HostId, host: &ListedHost) -> StatRow {
    let outcomes = state.last_outcomes.get(id).copied().unwrap_or_default();
    let succeeded = (outcomes.attempts - outcomes.failures).max(0.0);
    let total_latency_us = outcomes.mean_latency.micros() as f64 * succeeded;
    StatRow {
        backend: HOSTS.into(),
        server: id.0.to_string(),
        row_type: RowType::Server,
        status: status(host.state).into(),
        weight: host.entry.weight.round() as u64,
        mean_response_time: outcomes.mean_latency,
        addr: host.entry.address.to_string(),
        exact_totals: Some(AttemptTotals {
            succeeded: succeeded as u64,
            failed: outcomes.failures as u64,
            succeeded_duration: Duration::from_micros(total_latency_us as u64),
        }),
        ..StatRow::default()
    }
}

fn table_rows<'a>(
    state: &'a DaemonState,
    table: TableId,
    assignment: &'a TableAssignment,
) -> impl Iterator<Item = StatRow> + 'a {
    assignment.weights.iter().map(move |(id, weight)| {
        let host = state.endpoints.hosts.get(id);
        let host_state = host.map_or(EndpointState::Removed, |host| host.state);
        StatRow {
            backend: table_name(table),
            server: id.0.to_string(),
            row_type: RowType::Server,
            status: status(host_state).into(),
            // In thousandths, which is the resolution of decided weights.
            weight: (weight * 1e3).round() as u64,
            ..StatRow::default()
        }
    })
}

fn status(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => "UP",
        EndpointState::Draining => "DRAIN",
        EndpointState::Removed => "MAINT",
    }
}

fn servers(
    state: &mut DaemonState,
    backend: Option<&str>,
) -> Result<Vec<ServerState>, OperatorError> {
    let wanted = |name: &str| backend.is_none_or(|backend| backend == name);
    let mut servers = Vec::new();
    if wanted(HOSTS) {
        let hosts = state.endpoints.hosts.iter();
        servers.extend(hosts.map(|(id, host)| host_state(state, id, host)));
    }
    let all_tables: Vec<TableId> = state.tables.by_id.keys().copied().collect();
    let tables: Vec<TableId> = all_tables
        .into_iter()
        .filter(|table| wanted(&table_name(*table)))
        .collect();
    if !wanted(HOSTS) && tables.is_empty() {
        return Err(OperatorError::CannotFindBackend);
    }
    for table in tables {
        let lines = state.tables.lines(table, &state.endpoints, state.now);
        servers.extend(lines.iter().map(|(id, line)| ServerState {
            backend: table_name(table),
            server: id.0.to_string(),
            addr: line.addr,
            state: AdminState::Ready,
            weight: line.weight,
            connections_in_use: 0,
            seconds_since_change: 0,
        }));
    }
    Ok(servers)
}

fn host_state(state: &DaemonState, id: &HostId, host: &ListedHost) -> ServerState {
    ServerState {
        backend: HOSTS.into(),
        server: id.0.to_string(),
        addr: host.entry.address,
        state: match host.state {
            EndpointState::Ready => AdminState::Ready,
            EndpointState::Draining => AdminState::Drain,
            EndpointState::Removed => AdminState::Maint,
        },
        weight: host.entry.weight.round().clamp(0.0, 256.0) as u16,
        connections_in_use: 0,
        seconds_since_change: (state.now - host.started).micros() / 1_000_000,
    }
}
