//! Why a command is rejected. The texts are on the wire: each is the whole reply, with its line end.

use crate::zone_map::ZoneMapError;

/// Why a command is rejected.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum OperatorError {
    /// The access level of the connection is too low for the command.
    #[error("Permission denied\n")]
    PermissionDenied,
    /// A command that shows a backend names one that does not exist.
    #[error("Can't find backend.\n")]
    CannotFindBackend,
    /// A command that changes a host names a backend that does not exist.
    #[error("No such backend.\n")]
    NoSuchBackend,
    /// A command that changes a host names a table.
    #[error("Tables are the steward's: change a host under 'hosts'.\n")]
    TableIsReadOnly,
    /// No host has that name.
    #[error("No such server.\n")]
    NoSuchServer,
    /// A host of that name is listed already.
    #[error("Already exists a server with the same name in the backend.\n")]
    ServerExists,
    /// The name is not valid for a host.
    #[error("A host's name has 1 to 64 letters, digits, '-', '_', '.' or ':'.\n")]
    InvalidName,
    /// The host is not in maintenance.
    #[error("Only servers in maintenance mode can be deleted.\n")]
    NotInMaintenance,
    /// A weight of 0 units.
    #[error(
        "A listed weight is above 0; use 'set server <srv> state drain' to send nothing new there.\n"
    )]
    ZeroWeight,
    /// A weight that is not positive.
    #[error("A listed weight is above 0.\n")]
    WeightNotPositive,
    /// The host has this address already.
    #[error("no need to change the addr, no need to change the port\n")]
    AddressUnchanged,
    /// No map has that name.
    #[error("Unknown map identifier. Please use #<id> or <name>.\n")]
    UnknownMap,
    /// The map shows decisions and can't be set.
    #[error("The map '{map}' shows what the steward decided; it can't be set.\n")]
    MapIsReadOnly {
        /// Name of the map.
        map: String,
    },
    /// The map has no such key.
    #[error("entry not found.\n")]
    EntryNotFound,
    /// The settings have no such zone.
    #[error("'{zone}' is none of the site's zones: {}.\n", zones.join(", "))]
    UnknownZone {
        /// The zone that was given.
        zone: String,
        /// The zones of the settings.
        zones: Vec<String>,
    },
    /// The host is listed in the file, which gives its zone.
    #[error("The file names this host's zone; change it there.\n")]
    ZoneIsFromFile,
    /// The zone map could not be changed or shown.
    #[error(transparent)]
    ZoneMap(#[from] ZoneMapError),
}
