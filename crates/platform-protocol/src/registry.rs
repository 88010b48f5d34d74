//! The list of hosts, whole or as changes.

use crate::report::NAME_MOST;
use pondarch_controller::{CellId, Endpoint, EndpointState, HostId, Time};
use pondarch_deployment::Names;
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// Longest line of a watch, or whole list, in bytes.
pub const LIST_MOST: usize = 4 << 20;
const ENTRIES_MOST: usize = 16_384;

#[derive(Debug, Error)]
pub enum ListError {
    #[error("cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0} entries; {ENTRIES_MOST} at most")]
    Entries(usize),
    #[error("entry {0}: {1}")]
    Entry(usize, &'static str),
}

/// What discovery says, once.
#[derive(Clone, Debug)]
pub struct Listed {
    pub generation: u64,
    pub whole: bool,
    pub entries: Vec<Found>,
}

/// A host, and where it answers probes.
#[derive(Clone, Debug)]
pub struct Found {
    pub host: HostId,
    pub at: Option<SocketAddr>,
    pub zone: String,
    pub machine: String,
    pub cell: CellId,
    pub weight: f64,
    pub started: Time,
    pub standing: EndpointState,
}

impl Found {
    pub fn listing(&self, names: &mut Names) -> Endpoint {
        Endpoint {
            host: self.host.clone(),
            zone: names.zone(&self.zone),
            machine_type: names.machine(&self.machine),
            cell: self.cell,
            weight: self.weight,
            started: self.started,
            state: self.standing,
        }
    }
}

#[derive(Deserialize)]
struct Message {
    generation: u64,
    reset: bool,
    instances: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Entry {
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

pub fn read(text: &[u8]) -> Result<Listed, ListError> {
    from(serde_json::from_slice(text)?)
}

/// The same, from an object that is read already.
pub fn read_value(value: serde_json::Value) -> Result<Listed, ListError> {
    from(serde_json::from_value(value)?)
}

fn from(message: Message) -> Result<Listed, ListError> {
    if message.instances.len() > ENTRIES_MOST {
        return Err(ListError::Entries(message.instances.len()));
    }
    let entries = message
        .instances
        .into_iter()
        .enumerate()
        .map(found)
        .collect::<Result<_, _>>()?;
    Ok(Listed {
        generation: message.generation,
        whole: message.reset,
        entries,
    })
}

fn found((place, entry): (usize, Entry)) -> Result<Found, ListError> {
    let name = |text: &str| (1..=NAME_MOST).contains(&text.len());
    if !name(&entry.instance_id) {
        return Err(ListError::Entry(place, "instanceId cannot be"));
    }
    let standing = match entry.lifecycle.as_str() {
        "Ready" => EndpointState::Ready,
        "Terminating" => EndpointState::Draining,
        "Gone" => EndpointState::Removed,
        _ => return Err(ListError::Entry(place, "lifecycle is unknown")),
    };
    Ok(Found {
        host: HostId(entry.instance_id.as_str().into()),
        at: entry.host_port.parse().ok(),
        zone: entry.zone,
        machine: entry.machine_type,
        cell: CellId(entry.cell.max(0.0) as u64),
        weight: entry.weight,
        started: Time::from_micros((entry.started_at_ms.max(0.0) * 1e3) as u64),
        standing,
    })
}
