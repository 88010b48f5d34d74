//! Commands that change hosts of the endpoint list.

use super::HOSTS;
use super::error::OperatorError;
use crate::endpoint_list::ListedHost;
use crate::state::DaemonState;
use pondarch_config::HostEntry;
use pondarch_config::hosts::{HostState, invalid_name};
use pondarch_controller::{EndpointState, HostId};
use pondarch_runtime_api::command::WeightArgument;
use pondarch_runtime_api::{AdminState, ServerRef};
use std::net::{IpAddr, SocketAddr};

/// The host that a command names.
fn find(state: &DaemonState, server: &ServerRef) -> Result<(HostId, ListedHost), OperatorError> {
    if server.backend != HOSTS {
        let is_table = state
            .tables
            .by_id
            .keys()
            .any(|table| server.backend == format!("table-{}", table.0));
        return Err(if is_table {
            OperatorError::TableIsReadOnly
        } else {
            OperatorError::NoSuchBackend
        });
    }
    let id = HostId(server.server.as_str().into());
    state
        .endpoints
        .hosts
        .get(&id)
        .map(|host| (id, host.clone()))
        .ok_or(OperatorError::NoSuchServer)
}

pub(super) fn get_weight(state: &DaemonState, server: &ServerRef) -> Result<String, OperatorError> {
    let (_, host) = find(state, server)?;
    let weight = host.entry.weight;
    Ok(format!("{weight} (initial {weight})\n"))
}

pub(super) fn set_weight(
    state: &mut DaemonState,
    server: &ServerRef,
    weight: WeightArgument,
) -> Result<String, OperatorError> {
    let (id, host) = find(state, server)?;
    let weight = match weight {
        WeightArgument::Absolute(0) => return Err(OperatorError::ZeroWeight),
        WeightArgument::Absolute(units) => f64::from(units),
        WeightArgument::Percent(percent) => host.entry.weight * percent / 100.0,
    };
    if weight <= 0.0 {
        return Err(OperatorError::WeightNotPositive);
    }
    let endpoints = state
        .endpoints
        .edit(state.now, &id, |edit| edit.weight = Some(weight));
    state.apply_endpoints(endpoints);
    Ok(String::new())
}

pub(super) fn set_state(
    state: &mut DaemonState,
    server: &ServerRef,
    wanted: AdminState,
) -> Result<String, OperatorError> {
    let (id, _) = find(state, server)?;
    let wanted = match wanted {
        AdminState::Ready => HostState::Ready,
        AdminState::Drain => HostState::Drain,
        AdminState::Maint => HostState::Gone,
    };
    let endpoints = state
        .endpoints
        .edit(state.now, &id, |edit| edit.state = Some(wanted));
    state.apply_endpoints(endpoints);
    Ok(String::new())
}

pub(super) fn set_address(
    state: &mut DaemonState,
    server: &ServerRef,
    ip: IpAddr,
    port: Option<u16>,
) -> Result<String, OperatorError> {
    let (id, host) = find(state, server)?;
    let old = host.entry.address;
    let new = SocketAddr::new(ip, port.unwrap_or(old.port()));
    if old == new {
        return Err(OperatorError::AddressUnchanged);
    }
    let endpoints = state
        .endpoints
        .edit(state.now, &id, |edit| edit.address = Some(new));
    state.apply_endpoints(endpoints);
    Ok(format!(
        "IP changed from '{}' to '{}', port changed from '{}' to '{}' by 'stats socket command'\n",
        old.ip(),
        new.ip(),
        old.port(),
        new.port()
    ))
}

/// Adds a host. As the management guide requires, a new server is in maintenance until it is made ready. Its zone is
/// that of the zone map or, if it is not in the map, the first zone of the settings.
pub(super) fn add(
    state: &mut DaemonState,
    server: &ServerRef,
    address: SocketAddr,
    weight: Option<u16>,
) -> Result<String, OperatorError> {
    if server.backend != HOSTS {
        return Err(OperatorError::NoSuchBackend);
    }
    let id = HostId(server.server.as_str().into());
    let listed = state.endpoints.hosts.get(&id);
    if listed.is_some_and(|host| host.state != EndpointState::Removed) {
        return Err(OperatorError::ServerExists);
    }
    if invalid_name(&server.server).is_some() {
        return Err(OperatorError::InvalidName);
    }
    let zone = state
        .zones
        .zone_of_host(&id.0)
        .or(state.endpoints.zones().first())
        .cloned()
        .unwrap_or_default();
    let entry = HostEntry {
        name: server.server.clone(),
        address,
        zone,
        rack: String::new(),
        machine: String::new(),
        weight: f64::from(weight.unwrap_or(1).max(1)),
        cores: None,
        started: None,
        state: HostState::Gone,
    };
    let endpoints = state.endpoints.add(state.now, entry);
    state.apply_endpoints(endpoints);
    Ok("New server registered.\n".into())
}

pub(super) fn delete(state: &mut DaemonState, server: &ServerRef) -> Result<String, OperatorError> {
    let (id, host) = find(state, server)?;
    if host.state != EndpointState::Removed {
        return Err(OperatorError::NotInMaintenance);
    }
    let endpoints = state.endpoints.remove(state.now, &id);
    state.apply_endpoints(endpoints);
    Ok("Server deleted.\n".into())
}
