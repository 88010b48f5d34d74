//! The numbered endpoint lists, which the simulator defines one entry per line.

use crate::error::LineError;
use crate::message::Message;
use pondarch_controller::{CellId, Endpoint, EndpointState, HostId, Time};
use pondarch_deployment::DeploymentNames;
use std::collections::BTreeMap;

/// An entry of a list. Zone and machine type are kept as names, because each controller numbers
/// them on its own.
struct Entry {
    started: Time,
    host: HostId,
    machine_type: String,
    cell: u64,
    weight: f64,
    zone: String,
    state: EndpointState,
}

/// A list that still lacks entries.
struct IncompleteList {
    list: u64,
    missing_entries: u64,
}

/// The defined lists, and the list whose entries are being read.
#[derive(Default)]
pub(crate) struct EndpointLists {
    lists: BTreeMap<u64, Vec<Entry>>,
    incomplete: Option<IncompleteList>,
}

impl EndpointLists {
    /// Whether the next line must be an entry.
    pub(crate) fn expects_entry(&self) -> bool {
        self.incomplete.is_some()
    }

    /// Begins a list, which replaces any list of the same number.
    pub(crate) fn begin(&mut self, mut message: Message<'_>) -> Result<(), LineError> {
        let list = message.integer("list")?;
        let missing_entries = message.integer("members")?;
        self.lists.insert(list, Vec::new());
        self.incomplete = (missing_entries > 0).then_some(IncompleteList {
            list,
            missing_entries,
        });
        message.end()
    }

    /// Adds an entry to the list whose entries are being read.
    pub(crate) fn add_entry(&mut self, mut message: Message<'_>) -> Result<(), LineError> {
        if message.name() != "M" {
            let name = message.name().to_string();
            return Err(LineError::ListEntryMissing { name });
        }
        let entry = read_entry(&mut message)?;
        message.end()?;
        if let Some(mut incomplete) = self.incomplete.take() {
            self.lists.entry(incomplete.list).or_default().push(entry);
            incomplete.missing_entries -= 1;
            self.incomplete = (incomplete.missing_entries > 0).then_some(incomplete);
        }
        Ok(())
    }

    /// Returns the endpoints of a list, with zones and machine types as one controller numbers them.
    pub(crate) fn endpoints(
        &self,
        list: u64,
        names: &mut DeploymentNames,
    ) -> Result<Vec<Endpoint>, LineError> {
        let entries = self
            .lists
            .get(&list)
            .ok_or(LineError::UnknownList { list })?;
        let endpoint = |entry: &Entry| Endpoint {
            host: entry.host.clone(),
            zone: names.zone(&entry.zone),
            machine_type: names.machine_type(&entry.machine_type),
            cell: CellId(entry.cell),
            weight: entry.weight,
            started: entry.started,
            state: entry.state,
        };
        Ok(entries.iter().map(endpoint).collect())
    }
}

fn read_entry(message: &mut Message<'_>) -> Result<Entry, LineError> {
    Ok(Entry {
        started: Time::from_micros(message.count("since")? as u64),
        host: message.host()?,
        machine_type: message.text("type")?.to_string(),
        cell: message.number("bay")?.unwrap_or(0.0) as u64,
        weight: message.number("weight")?.unwrap_or(0.0),
        zone: message.text("dc")?.to_string(),
        state: match message.text("health")? {
            "IN" => EndpointState::Ready,
            "LAME" => EndpointState::Draining,
            "OUT" => EndpointState::Removed,
            other => {
                let value = other.to_string();
                return Err(LineError::UnknownHealth { value });
            }
        },
    })
}
