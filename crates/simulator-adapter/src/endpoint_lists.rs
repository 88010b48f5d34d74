//! The numbered lists of endpoints that the simulator defines, entry by entry.

use crate::error::LineError;
use crate::row::Row;
use pondarch_controller::{CellId, Endpoint, EndpointState, HostId, Time};
use pondarch_deployment::DeploymentNames;
use std::collections::BTreeMap;

/// An entry, with names that each controller numbers for itself.
struct Entry {
    started: Time,
    host: HostId,
    machine_type: String,
    cell: u64,
    weight: f64,
    zone: String,
    state: EndpointState,
}

/// A list whose entries are still to come.
struct OpenList {
    list: u64,
    missing_entries: u64,
}

/// The lists that are defined, and the one that is being read.
#[derive(Default)]
pub(crate) struct EndpointLists {
    lists: BTreeMap<u64, Vec<Entry>>,
    open: Option<OpenList>,
}

impl EndpointLists {
    /// Whether the next line must be an entry.
    pub(crate) fn expects_entry(&self) -> bool {
        self.open.is_some()
    }

    /// Begins a list.
    pub(crate) fn begin(&mut self, mut row: Row<'_>) -> Result<(), LineError> {
        let list = row.integer("list")?;
        let missing_entries = row.integer("members")?;
        self.lists.insert(list, Vec::new());
        self.open = (missing_entries > 0).then_some(OpenList {
            list,
            missing_entries,
        });
        row.end()
    }

    /// Adds an entry to the list that is being read.
    pub(crate) fn add_entry(&mut self, mut row: Row<'_>) -> Result<(), LineError> {
        if row.name() != "M" {
            let name = row.name().to_string();
            return Err(LineError::ListEntryMissing { name });
        }
        let entry = read_entry(&mut row)?;
        row.end()?;
        if let Some(mut open) = self.open.take() {
            self.lists.entry(open.list).or_default().push(entry);
            open.missing_entries -= 1;
            self.open = (open.missing_entries > 0).then_some(open);
        }
        Ok(())
    }

    /// The endpoints of a list, with the numbers of one controller's names.
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

fn read_entry(row: &mut Row<'_>) -> Result<Entry, LineError> {
    Ok(Entry {
        started: Time::from_micros(row.count("since")? as u64),
        host: row.host()?,
        machine_type: row.text("type")?.to_string(),
        cell: row.number("bay")?.unwrap_or(0.0) as u64,
        weight: row.number("weight")?.unwrap_or(0.0),
        zone: row.text("dc")?.to_string(),
        state: match row.text("health")? {
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
