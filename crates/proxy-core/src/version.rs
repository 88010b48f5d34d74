//! Which update is newer, and which controller may send one.
//!
//! A version names the controller, its incarnation (the start in microseconds since 1970), and a number that rises with
//! each update batch: `name:start/number`. Controllers share nothing, so their numbers do not compare. Of one
//! controller, a later incarnation wins, and within an incarnation the higher number; the same number again is the same
//! batch, or its next line, and harmless, as updates only set. Of two controllers, the one whose connection is the
//! newer wins while both are connected; once the connection of the last sender is closed, any other may send. A
//! controller that was only silent and returns on its old connection is rejected from then on, and may dial anew.

use std::cmp::Ordering;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Most characters of a malformed version that an error repeats.
const MAX_QUOTED_CHARS: usize = 80;

/// The version of an update batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The name of the controller.
    pub controller: String,
    /// When the controller started, in microseconds since 1970.
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
    /// The same controller has sent a newer one.
    #[error("{sent} is older than {current}")]
    Older {
        /// The version that was sent.
        sent: Version,
        /// The version that is applied.
        current: Version,
    },
    /// Another controller has taken over by a newer connection.
    #[error("{sent} comes from a steward that {current} has taken over from")]
    Displaced {
        /// The version that was sent.
        sent: Version,
        /// The version that is applied.
        current: Version,
    },
}

/// An applied version, and the connection that sent it; connections are numbered as they open.
#[derive(Clone, Debug)]
struct Applied {
    version: Version,
    connection: u64,
}

/// The version that is applied, and whether its sender is still connected.
#[derive(Clone, Debug, Default)]
pub struct AppliedVersion {
    applied: Option<Applied>,
    is_connected: bool,
}

impl AppliedVersion {
    /// The applied version; none before the first.
    #[must_use]
    pub fn version(&self) -> Option<&Version> {
        self.applied.as_ref().map(|applied| &applied.version)
    }

    /// Whether the applied version was sent by this connection, and it is still open.
    #[must_use]
    pub fn is_from(&self, connection: u64) -> bool {
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

    /// Applies a version that this connection sent. Nothing changes if it is rejected.
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
