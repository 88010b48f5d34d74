//! Hosts as the endpoint list names them.

use crate::ids::{CellId, HostId, MachineTypeId, ZoneId};
use crate::time::Time;

/// Whether a host may be sent requests, by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not on the list any more.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The host's name.
    pub host: HostId,
    /// The zone it stands in.
    pub zone: ZoneId,
    /// The type of its machine.
    pub machine_type: MachineTypeId,
    /// The cell it stands in.
    pub cell: CellId,
    /// What it can do, relative to other hosts.
    pub weight: f64,
    /// When it started; the clock's origin: not stated.
    pub started: Time,
    /// Whether it may be sent requests.
    pub state: EndpointState,
}

/// The endpoint list, or changes to it.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// Its number; changes of a lower one than the list's are outdated.
    pub generation: u64,
    /// Whether it names all hosts: those that it does not name are removed then.
    pub complete: bool,
    /// The hosts.
    pub endpoints: Vec<Endpoint>,
}
