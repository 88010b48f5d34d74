//! The endpoint list and its entries.

use crate::ids::{CellId, HostId, MachineTypeId, ZoneId};
use crate::time::Time;

/// State of a host in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes the requests in flight and must be sent no new ones.
    Draining,
    /// It is no longer on the list.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The host's name.
    pub host: HostId,
    /// The host's zone.
    pub zone: ZoneId,
    /// The host's machine type.
    pub machine_type: MachineTypeId,
    /// The host's cell.
    pub cell: CellId,
    /// Its capacity relative to other hosts.
    pub weight: f64,
    /// When it started; unset if unknown (see [`Time::is_unset`]).
    pub started: Time,
    /// Whether it may be sent requests.
    pub state: EndpointState,
}

/// A complete endpoint list, or changes to the current one.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// Its version; changes with a lower generation than the current list are outdated.
    pub generation: u64,
    /// Whether it names all hosts, so that hosts missing from it are removed.
    pub complete: bool,
    /// The entries.
    pub endpoints: Vec<Endpoint>,
}
