//! Versions of update batches: which of two is newer, and which controller may send updates.
//!
//! A version is written `name:start/number`: the name of the controller, its incarnation (its start time in
//! microseconds since 1970), and a number that increases with each update batch.
//!
//! - Versions of the same controller are ordered by incarnation, then by batch number. The current version may be sent
//!   again: it is the same batch or its next line, and updates are idempotent because they only set values.
//! - Versions of different controllers cannot be compared, because controllers share no state. While both are
//!   connected, the controller with the newer connection wins. Once the connection that sent the applied version is
//!   closed, any controller may send.
//! - A controller that is replaced while silent is rejected on its old connection, and has to reconnect to take over
//!   again.

use std::cmp::Ordering;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Maximum number of characters of a malformed version that an error message quotes.
const MAX_QUOTED_CHARS: usize = 80;

/// The version of an update batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The name of the controller.
    pub controller: String,
    /// The start time of the controller, in microseconds since 1970.
    pub incarnation: u64,
    /// The number of the batch within the incarnation.
    pub batch: u64,
}

/// Why a version is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum VersionError {
    /// The text is not a version.
    #[error("'{0}' is no version: name:start/number")]
    Malformed(String),
    /// The same controller has already sent a newer version.
    #[error("{sent} is older than {current}")]
    Older {
        /// The rejected version.
        sent: Version,
        /// The applied version.
        current: Version,
    },
    /// Another controller with a newer connection has taken over.
    #[error("{sent} comes from a steward that {current} has taken over from")]
    Displaced {
        /// The rejected version.
        sent: Version,
        /// The applied version.
        current: Version,
    },
}

/// An applied version and the connection that sent it. Connections are numbered in the order in which they open.
#[derive(Clone, Debug)]
struct Applied {
    version: Version,
    connection: u64,
}

/// Tracks the applied version and whether its sender is still connected.
#[derive(Clone, Debug, Default)]
pub struct AppliedVersion {
    applied: Option<Applied>,
    is_connected: bool,
}

impl AppliedVersion {
    /// The applied version, or `None` before the first one.
    #[must_use]
    pub fn version(&self) -> Option<&Version> {
        self.applied.as_ref().map(|applied| &applied.version)
    }

    /// Whether this connection sent the applied version and is still open.
    #[must_use]
    pub fn is_current_sender(&self, connection: u64) -> bool {
        self.is_connected && self.was_sent_by(connection)
    }

    /// Whether the controller that sent the applied version is still connected.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Records that a connection was closed.
    pub fn connection_closed(&mut self, connection: u64) {
        if self.was_sent_by(connection) {
            self.is_connected = false;
        }
    }

    fn was_sent_by(&self, connection: u64) -> bool {
        self.applied
            .as_ref()
            .is_some_and(|applied| applied.connection == connection)
    }

    /// Applies a version sent by this connection. A rejected version changes nothing.
    pub fn apply(&mut self, sent: Version, connection: u64) -> Result<(), VersionError> {
        if let Some(applied) = &self.applied {
            let current = &applied.version;
            let order = (sent.incarnation, sent.batch).cmp(&(current.incarnation, current.batch));
            let is_same_controller = sent.controller == current.controller;
            if is_same_controller && order == Ordering::Less {
                return Err(VersionError::Older {
                    sent,
                    current: current.clone(),
                });
            }
            if !is_same_controller && self.is_connected && connection < applied.connection {
                return Err(VersionError::Displaced {
                    sent,
                    current: current.clone(),
                });
            }
        }
        self.applied = Some(Applied {
            version: sent,
            connection,
        });
        self.is_connected = true;
        Ok(())
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}/{}", self.controller, self.incarnation, self.batch)
    }
}

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Version, VersionError> {
        let malformed = || VersionError::Malformed(text.chars().take(MAX_QUOTED_CHARS).collect());
        let (sender, batch) = text.rsplit_once('/').ok_or_else(malformed)?;
        let (controller, incarnation) = sender.rsplit_once(':').ok_or_else(malformed)?;
        let incarnation = incarnation.parse().map_err(|_| malformed())?;
        let batch = batch.parse().map_err(|_| malformed())?;
        if controller.is_empty() {
            return Err(malformed());
        }
        Ok(Version {
            controller: controller.to_string(),
            incarnation,
            batch,
        })
    }
}
