//! The endpoint list, complete or as changes.

use crate::report::MAX_NAME_BYTES;
use pondarch_controller::{CellId, Endpoint, EndpointState, HostId, Time};
use pondarch_deployment::DeploymentNames;
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest line of a watch, or complete list, in bytes.
pub const MAX_LIST_BYTES: usize = 4 << 20;
const MAX_ENTRIES: usize = 16_384;

/// Why an endpoint list can't be read.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum EndpointListError {
    /// It is no JSON, or a field is missing or of another type.
    #[error("cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// It has this many entries.
    #[error("{0} entries; {MAX_ENTRIES} at most")]
    TooManyEntries(usize),
    /// The entry at this position has an empty id, or one that is too long.
    #[error("entry {0}: instanceId cannot be")]
    InvalidInstanceId(usize),
    /// The entry at this position is in a state that is not known.
    #[error("entry {0}: lifecycle is unknown")]
    UnknownLifecycle(usize),
}

/// One message of the registry: a complete list, or changes to it.
#[derive(Clone, Debug)]
pub struct RegistryList {
    /// The number of the list after this message.
    pub generation: u64,
    /// Whether hosts without an entry have been removed.
    pub complete: bool,
    /// The hosts that are listed or have changed.
    pub entries: Vec<EndpointEntry>,
}

/// A host, and where it answers health checks.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The host.
    pub host: HostId,
    /// Where it answers health checks; none if the entry names no address.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type.
    pub machine_type: String,
    /// The cell that it belongs to.
    pub cell: CellId,
    /// Its weight, as the operators set it.
    pub weight: f64,
    /// When it started.
    pub started: Time,
    /// Whether it serves, drains or has been removed.
    pub state: EndpointState,
}

impl EndpointEntry {
    /// The entry as the controller takes it, with numbers in place of names.
    pub fn to_endpoint(&self, names: &mut DeploymentNames) -> Endpoint {
        Endpoint {
            host: self.host.clone(),
            zone: names.zone(&self.zone),
            machine_type: names.machine_type(&self.machine_type),
            cell: self.cell,
            weight: self.weight,
            started: self.started,
            state: self.state,
        }
    }
}

/// An endpoint list as it stands on the wire.
#[derive(Deserialize)]
struct WireList {
    generation: u64,
    reset: bool,
    instances: Vec<WireEntry>,
}

/// An entry as it stands on the wire.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireEntry {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: f64,
    lifecycle: String,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

/// Reads an endpoint list.
pub fn parse(text: &[u8]) -> Result<RegistryList, EndpointListError> {
    convert_list(serde_json::from_slice(text)?)
}

/// Reads an endpoint list from JSON that is parsed already.
pub fn parse_value(value: serde_json::Value) -> Result<RegistryList, EndpointListError> {
    convert_list(serde_json::from_value(value)?)
}

fn convert_list(list: WireList) -> Result<RegistryList, EndpointListError> {
    if list.instances.len() > MAX_ENTRIES {
        return Err(EndpointListError::TooManyEntries(list.instances.len()));
    }
    let entries = list
        .instances
        .into_iter()
        .enumerate()
        .map(|(position, entry)| convert_entry(position, entry))
        .collect::<Result<_, _>>()?;
    Ok(RegistryList {
        generation: list.generation,
        complete: list.reset,
        entries,
    })
}

fn convert_entry(position: usize, entry: WireEntry) -> Result<EndpointEntry, EndpointListError> {
    if !(1..=MAX_NAME_BYTES).contains(&entry.instance_id.len()) {
        return Err(EndpointListError::InvalidInstanceId(position));
    }
    let state = match entry.lifecycle.as_str() {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Removed,
        _ => return Err(EndpointListError::UnknownLifecycle(position)),
    };
    Ok(EndpointEntry {
        host: HostId(entry.instance_id.as_str().into()),
        address: entry.host_port.parse().ok(),
        zone: entry.zone,
        machine_type: entry.machine_type,
        cell: CellId(entry.cell.max(0.0) as u64),
        weight: entry.weight,
        started: Time::from_micros((entry.started_at_ms.max(0.0) * 1e3) as u64),
        state,
    })
}
