//! Errors of runtime API commands.

use thiserror::Error;

/// Why a command was not executed. The text of the error is the reply to the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum StateError {
    /// No backend has this name.
    #[error("No such backend.")]
    NoBackend,
    /// The backend has no server of this name.
    #[error("No such server.")]
    NoServer,
    /// The backend already has a server of this name.
    #[error("Already exists a server with the same name in the backend.")]
    ServerExists,
    /// The backend has the maximum number of servers.
    #[error("The backend is full.")]
    BackendFull,
    /// Only a server in maintenance can be deleted.
    #[error("Only servers in maintenance mode can be deleted.")]
    NotInMaintenance,
    /// A server with requests in flight can't be deleted.
    #[error("Server still has connections attached to it, cannot remove it.")]
    RequestsInFlight,
    /// No map has this name.
    #[error("Unknown map identifier. Please use #<id> or <name>.")]
    NoMap,
    /// No map has this name, so no version of it can be prepared.
    #[error("Unknown map identifier.")]
    NoMapToPrepare,
    /// The map has the maximum number of entries.
    #[error("The map is full.")]
    MapFull,
    /// The key to set does not exist in the map.
    #[error("entry not found.")]
    NoEntry,
    /// The key to delete does not exist in the map.
    #[error("Key not found.")]
    NoKey,
    /// The map has no prepared version of this number.
    #[error("Version not found.")]
    NoVersion,
}
