//! Why a command is not executed.

use thiserror::Error;

/// Why a command is not executed; the text of each is the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum StateError {
    /// No backend has this name.
    #[error("No such backend.")]
    NoBackend,
    /// The backend has no server of this name.
    #[error("No such server.")]
    NoServer,
    /// The backend has a server of this name already.
    #[error("Already exists a server with the same name in the backend.")]
    ServerExists,
    /// The backend has as many servers as it may have.
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
    /// The map has as many entries as it may have.
    #[error("The map is full.")]
    MapFull,
    /// The map has no such key to be set.
    #[error("entry not found.")]
    NoEntry,
    /// The map has no such key to be deleted.
    #[error("Key not found.")]
    NoKey,
    /// No such version of the map is prepared.
    #[error("Version not found.")]
    NoVersion,
}
