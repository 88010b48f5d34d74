//! Parses the endpoint list, which the registry sends complete or as changes.

use crate::report::MAX_NAME_BYTES;
use pondarch_controller::{CellId, Endpoint, EndpointState, HostId, Time};
use pondarch_deployment::DeploymentNames;
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum size, in bytes, of a line of the registry watch or of a complete list.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum number of entries in one message.
const MAX_ENTRIES: usize = 16_384;

/// Why an endpoint list is invalid.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum EndpointListError {
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error("cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The list has this many entries, which is over the limit.
    #[error("{0} entries; {MAX_ENTRIES} at most")]
    TooManyEntries(usize),
    /// The host id of the entry at this position is empty or too long.
    #[error("entry {0}: instanceId is empty or too long")]
    InvalidInstanceId(usize),
    /// The lifecycle state of the entry at this position is unknown.
    #[error("entry {0}: lifecycle is unknown")]
    UnknownLifecycle(usize),
}

/// One message of the registry: a complete endpoint list, or changes to it.
#[derive(Clone, Debug)]
pub struct RegistryList {
    /// The generation of the list after this message is applied.
    pub generation: u64,
    /// Whether the list is complete: a host without an entry has been removed.
    pub complete: bool,
    /// The listed hosts, or only those that have changed.
    pub entries: Vec<EndpointEntry>,
}

/// One host of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The id of the host.
    pub host: HostId,
    /// The address for health checks; `None` if the entry has no valid address.
    pub address: Option<SocketAddr>,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine type.
    pub machine_type: String,
    /// The cell that the host belongs to.
    pub cell: CellId,
    /// The weight that the operators have set.
    pub weight: f64,
    /// When the host started, by the wall clock.
    pub started: Time,
    /// Whether the host is ready, draining or removed.
    pub state: EndpointState,
}

impl EndpointEntry {
    /// Converts the entry for the decision module, with numbers in place of names.
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

/// An endpoint list in its wire format.
#[derive(Deserialize)]
struct WireList {
    generation: u64,
    reset: bool,
    instances: Vec<WireEntry>,
}

/// An entry of an endpoint list in its wire format.
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

/// Parses an endpoint list.
pub fn parse(text: &[u8]) -> Result<RegistryList, EndpointListError> {
    convert_list(serde_json::from_slice(text)?)
}

/// Converts JSON that is already parsed to an endpoint list.
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
