//! Applies updates from controllers: rejects batches with an older version, and commits prepared changes atomically.
//!
//! - A batch starts with its version: `set map pond_state table <version>`. All updates that follow on the connection
//!   belong to that batch, until the next version.
//! - Tables change only after a whole line, so that no request sees a table halfway through a line.
//! - A change of several lines is made atomic by a prepared version of the map: updates sent between `prepare map
//!   pond_state` and `commit map @<n> pond_state` take effect together at the commit. They are dropped if the
//!   connection is closed, the commit takes too long, or the version in the change is older than the applied one.
//! - A connection that has never sent a version belongs to an operator; its updates are applied as they are sent.

use crate::proxy_state::ProxyState;
use crate::version::{AppliedVersion, Version, VersionError};
use pondarch_controller::Time;
use pondarch_runtime_api::line_answers::answer_line;
use pondarch_runtime_api::{Command, Level};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The map that holds the applied version.
pub const STATE_MAP: &str = "pond_state";
/// The key of the version in [`STATE_MAP`].
pub const VERSION_KEY: &str = "table";
/// How long a prepared change is kept without a commit.
const PREPARED_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum number of commands in a prepared change: enough for a table of all memberships for several classes.
const MAX_PREPARED_COMMANDS: usize = 50_000;

const VERSION_NOT_FOUND: &str = "Version not found.\n";

/// A change that a connection has prepared and not committed yet.
#[derive(Debug)]
struct PreparedChange {
    map_version: u64,
    prepared_at: Time,
    commands: Vec<Command>,
}

/// The connections that send updates, and the applied version.
#[derive(Debug, Default)]
pub struct UpdateConnections {
    /// The applied version and its sender.
    pub applied: AppliedVersion,
    /// Number of batches rejected because of their version.
    pub rejected_batches: u64,
    /// Connections that have sent a version, and so belong to controllers.
    controller_connections: BTreeSet<u64>,
    /// Connections whose last version was rejected; the updates that follow it are rejected too.
    rejected_connections: BTreeSet<u64>,
    /// Prepared changes by connection.
    prepared: BTreeMap<u64, PreparedChange>,
}

impl UpdateConnections {
    /// Records that a connection was closed, and drops its prepared change.
    pub fn connection_closed(&mut self, connection: u64) {
        self.applied.connection_closed(connection);
        self.controller_connections.remove(&connection);
        self.rejected_connections.remove(&connection);
        self.prepared.remove(&connection);
    }

    /// Executes one line of commands and returns one reply for each command.
    pub fn execute_line(
        &mut self,
        now: Time,
        connection: u64,
        level: Level,
        line: &str,
        state: &mut ProxyState,
    ) -> Vec<String> {
        // Prepared changes that timed out are dropped here, whichever connection they belong to.
        self.prepared
            .retain(|_, change| now - change.prepared_at < PREPARED_TIMEOUT);
        answer_line(line, |command| match command {
            Ok(command) if command.level() > level => "Permission denied\n".into(),
            Ok(command) => self.execute(now, connection, command, state),
            Err(error) => format!("{error}\n"),
        })
    }

    fn execute(
        &mut self,
        now: Time,
        connection: u64,
        command: Command,
        state: &mut ProxyState,
    ) -> String {
        if !ProxyState::is_update(&command) {
            return state.execute(command);
        }
        match command {
            Command::SetMap { map, key, value }
            | Command::AddMap {
                map,
                version: None,
                key,
                value,
            } if map == STATE_MAP && key == VERSION_KEY => {
                self.set_version(connection, value, state)
            }
            Command::PrepareMap { map } if map == STATE_MAP => self.prepare(now, connection, state),
            Command::AddMap {
                version: Some(_), ..
            }
            | Command::PrepareMap { .. } => state.execute(command),
            Command::CommitMap { map, version } if map == STATE_MAP => {
                self.commit(connection, version, state)
            }
            command => self.update(connection, command, state),
        }
    }

    /// Starts a batch with this version, or rejects it.
    fn set_version(&mut self, connection: u64, version: String, state: &mut ProxyState) -> String {
        match self.apply_version(&version, connection) {
            Ok(()) => state.execute(Command::AddMap {
                map: STATE_MAP.into(),
                version: None,
                key: VERSION_KEY.into(),
                value: version,
            }),
            Err(error) => rejection(&error),
        }
    }

    /// Prepares a version of [`STATE_MAP`] and starts the connection's prepared change.
    fn prepare(&mut self, now: Time, connection: u64, state: &mut ProxyState) -> String {
        match state.prepare_map(STATE_MAP) {
            Ok(map_version) => {
                let change = PreparedChange {
                    map_version,
                    prepared_at: now,
                    commands: Vec::new(),
                };
                self.prepared.insert(connection, change);
                crate::proxy_state::version_created(map_version)
            }
            Err(error) => format!("{error}\n"),
        }
    }

    /// Adds an update to the connection's prepared change, or executes it at once if there is none.
    fn update(&mut self, connection: u64, command: Command, state: &mut ProxyState) -> String {
        let is_rejected = self.is_rejected(connection);
        match self.prepared.get_mut(&connection) {
            Some(change) if change.commands.len() >= MAX_PREPARED_COMMANDS => {
                "The change is too long.\n".into()
            }
            Some(change) => {
                let reply = reply_to_prepared(&command);
                change.commands.push(command);
                reply.into()
            }
            None if is_rejected => {
                "Refused: another steward has taken over, or the version was an older one.\n".into()
            }
            None => state.execute(command),
        }
    }

    /// Parses and applies a version, and records whether the updates that follow it are rejected.
    fn apply_version(&mut self, version: &str, connection: u64) -> Result<(), VersionError> {
        self.controller_connections.insert(connection);
        let applied = version
            .parse()
            .and_then(|version: Version| self.applied.apply(version, connection));
        if applied.is_ok() {
            self.rejected_connections.remove(&connection);
        } else {
            self.rejected_batches += 1;
            self.rejected_connections.insert(connection);
        }
        applied
    }

    /// Whether updates of this connection are rejected: its last version was, or another controller has taken over.
    fn is_rejected(&self, connection: u64) -> bool {
        let is_superseded = self.controller_connections.contains(&connection)
            && !self.applied.is_current_sender(connection);
        is_superseded || self.rejected_connections.contains(&connection)
    }

    /// Executes the connection's prepared change, or none of it if its version is rejected. Returns the replies of the
    /// commands that failed.
    fn commit(&mut self, connection: u64, map_version: u64, state: &mut ProxyState) -> String {
        let change = self
            .prepared
            .remove(&connection)
            .filter(|change| change.map_version == map_version);
        let Some(change) = change else {
            return VERSION_NOT_FOUND.into();
        };
        let Some(entries) = state.prepared_entries(STATE_MAP, map_version) else {
            return VERSION_NOT_FOUND.into();
        };
        if let Some(version) = entries.get(VERSION_KEY)
            && let Err(error) = self.apply_version(version, connection)
        {
            return rejection(&error);
        }
        let mut errors = String::new();
        for command in change.commands {
            let expected = reply_to_prepared(&command);
            let reply = state.execute(command);
            // Commands whose success reply is empty failed if they return text, except for the report of an address
            // change.
            let is_unexpected =
                expected.is_empty() && !reply.is_empty() && !reply.starts_with("IP changed");
            if is_unexpected || reply.starts_with("No such") {
                errors.push_str(&reply);
            }
        }
        state.execute(Command::CommitMap {
            map: STATE_MAP.into(),
            version: map_version,
        });
        errors
    }
}

/// The reply to a rejected version.
fn rejection(error: &VersionError) -> String {
    format!("Refused: {error}.\n")
}

/// The reply to a command that is added to a prepared change.
fn reply_to_prepared(command: &Command) -> &'static str {
    match command {
        Command::AddServer { .. } => "New server registered.\n",
        Command::DelServer(_) => "Server deleted.\n",
        _ => "",
    }
}
