//! Who may send updates, and that older ones never replace newer ones.
//!
//! A batch names its version first: `set map pond_state table <version>`. Whatever follows on that connection belongs
//! to that batch, until the next version. Requests see tables as they are after a whole line, never halfway through
//! one. A change of many lines can be held together by a prepared version of that map: what is sent between `prepare
//! map pond_state` and `commit map @<n> pond_state` takes effect at the commit, all at once, or not at all: if the
//! connection is closed, the time runs out, or the version in it is an older one.
//!
//! A connection that never named a version is an operator's: its updates are applied as they are sent.

use crate::proxy_state::ProxyState;
use crate::version::{AppliedVersion, Version, VersionError};
use pondarch_controller::Time;
use pondarch_runtime_api::command::parse_line;
use pondarch_runtime_api::{Command, Level};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The map that holds the version.
pub const STATE_MAP: &str = "pond_state";
/// The key of the version in [`STATE_MAP`].
pub const VERSION_KEY: &str = "table";
/// How long a prepared change may wait for its commit.
const PREPARED_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Commands of a prepared change at most: a table of all memberships for several classes.
const MAX_PREPARED_COMMANDS: usize = 50_000;

const VERSION_NOT_FOUND: &str = "Version not found.\n";

/// A change that a connection prepares and has not committed.
#[derive(Debug)]
struct PreparedChange {
    map_version: u64,
    since: Time,
    commands: Vec<Command>,
}

/// The connections that send updates, and the version that is applied.
#[derive(Debug, Default)]
pub struct UpdateConnections {
    /// The applied version and its sender.
    pub applied: AppliedVersion,
    /// Batches rejected for their version.
    pub rejected_batches: u64,
    /// Connections that named a version.
    controllers: BTreeSet<u64>,
    /// Connections whose last version was rejected: what follows it is rejected too.
    rejected: BTreeSet<u64>,
    prepared: BTreeMap<u64, PreparedChange>,
}

impl UpdateConnections {
    /// Records that a connection was closed; what it prepared is dropped.
    pub fn connection_closed(&mut self, connection: u64) {
        self.applied.connection_closed(connection);
        self.controllers.remove(&connection);
        self.rejected.remove(&connection);
        self.prepared.remove(&connection);
    }

    /// Executes one line of commands; gives an answer for each command.
    pub fn execute_line(
        &mut self,
        now: Time,
        connection: u64,
        level: Level,
        line: &str,
        state: &mut ProxyState,
    ) -> Vec<String> {
        // Prepared and never committed: dropped, whichever connection sends next.
        self.prepared
            .retain(|_, change| now - change.since < PREPARED_TIMEOUT);
        let commands = parse_line(line);
        if commands.is_empty() {
            return vec![String::new()];
        }
        let mut answers = Vec::with_capacity(commands.len());
        for command in commands {
            answers.push(match command {
                Ok(command) if command.level() > level => "Permission denied\n".into(),
                Ok(command) => self.execute(now, connection, command, state),
                Err(error) => format!("{error}\n"),
            });
        }
        answers
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

    /// Starts a batch with this version.
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

    fn prepare(&mut self, now: Time, connection: u64, state: &mut ProxyState) -> String {
        match state.prepare_map(STATE_MAP) {
            Ok(map_version) => {
                let change = PreparedChange {
                    map_version,
                    since: now,
                    commands: Vec::new(),
                };
                self.prepared.insert(connection, change);
                crate::proxy_state::version_created(map_version)
            }
            Err(error) => format!("{error}\n"),
        }
    }

    /// An update that belongs to the connection's prepared change, or is executed at once.
    fn update(&mut self, connection: u64, command: Command, state: &mut ProxyState) -> String {
        let is_rejected = self.is_rejected(connection);
        match self.prepared.get_mut(&connection) {
            Some(change) if change.commands.len() >= MAX_PREPARED_COMMANDS => {
                "The change is too long.\n".into()
            }
            Some(change) => {
                let answer = answer_to_prepared(&command);
                change.commands.push(command);
                answer.into()
            }
            None if is_rejected => {
                "Refused: another steward has taken over, or the version was an older one.\n".into()
            }
            None => state.execute(command),
        }
    }

    fn apply_version(&mut self, version: &str, connection: u64) -> Result<(), VersionError> {
        self.controllers.insert(connection);
        let applied = version
            .parse()
            .and_then(|version: Version| self.applied.apply(version, connection));
        if applied.is_ok() {
            self.rejected.remove(&connection);
        } else {
            self.rejected_batches += 1;
            self.rejected.insert(connection);
        }
        applied
    }

    fn is_rejected(&self, connection: u64) -> bool {
        let is_displaced =
            self.controllers.contains(&connection) && !self.applied.is_from(connection);
        is_displaced || self.rejected.contains(&connection)
    }

    /// All that was prepared takes effect, or nothing does.
    fn commit(&mut self, connection: u64, map_version: u64, state: &mut ProxyState) -> String {
        let change = self
            .prepared
            .remove(&connection)
            .filter(|change| change.map_version == map_version);
        let Some(change) = change else {
            return VERSION_NOT_FOUND.into();
        };
        let Some(entries) = state.prepared(STATE_MAP, map_version) else {
            return VERSION_NOT_FOUND.into();
        };
        if let Some(version) = entries.get(VERSION_KEY)
            && let Err(error) = self.apply_version(version, connection)
        {
            return rejection(&error);
        }
        let mut errors = String::new();
        for command in change.commands {
            let expected = answer_to_prepared(&command);
            let answer = state.execute(command);
            // An answer where success has none is an error; a changed address says what it changed.
            let is_unexpected =
                expected.is_empty() && !answer.is_empty() && !answer.starts_with("IP changed");
            if is_unexpected || answer.starts_with("No such") {
                errors.push_str(&answer);
            }
        }
        state.execute(Command::CommitMap {
            map: STATE_MAP.into(),
            version: map_version,
        });
        errors
    }
}

/// The answer to a version that was rejected.
fn rejection(error: &VersionError) -> String {
    format!("Refused: {error}.\n")
}

/// The answer to a command that waits for the commit.
fn answer_to_prepared(command: &Command) -> &'static str {
    match command {
        Command::AddServer { .. } => "New server registered.\n",
        Command::DelServer(_) => "Server deleted.\n",
        _ => "",
    }
}
