//! Who may send orders, and that older ones never go over newer ones.
//!
//! A batch names its version first: `set map pond_state table <version>`. Whatever follows on that connection is of
//! that batch, until the next version. Reqs see tables as they are after a whole line, never halfway through one. A
//! change of many lines can be held together by a prepared version of that map: what is ordered between `prepare
//! map pond_state` and `commit map @<n> pond_state` takes effect at the commit, all at once, or not at all: if the
//! connection ends, the time runs out, or the version in it is an older one.
//!
//! A connection that never named a version is an operator's: its orders count as they come.

use crate::holding::Holding;
use crate::version::{Holder, Version};
use pondarch_controller::Time;
use pondarch_runtime_api::command::parse_line;
use pondarch_runtime_api::{Command, Level};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The map and the key that hold the version.
pub const STATE: &str = "pond_state";
pub const TABLE: &str = "table";
/// How long a change that is begun may wait for its end.
const STAGED_FOR: Duration = Duration::from_millis(5_000);
/// Commands of a change that is under way at most: a table of all lines for several kinds.
const STAGED_MOST: usize = 50_000;

#[derive(Debug)]
struct Staged {
    version: u64,
    since: Time,
    commands: Vec<Command>,
}

#[derive(Debug, Default)]
pub struct Orders {
    pub holder: Holder,
    /// Connections that named a version, and those whose last one was refused: what follows it is refused too.
    stewards: BTreeSet<u64>,
    muted: BTreeSet<u64>,
    staged: BTreeMap<u64, Staged>,
    /// Batches refused for their version.
    pub refused: u64,
}

impl Orders {
    pub fn closed(&mut self, connection: u64) {
        self.holder.closed(connection);
        self.stewards.remove(&connection);
        self.muted.remove(&connection);
        self.staged.remove(&connection);
    }

    /// The answers to one line, one for each command.
    pub fn line(
        &mut self,
        now: Time,
        connection: u64,
        level: Level,
        text: &str,
        holding: &mut Holding,
    ) -> Vec<String> {
        // Begun and never finished: dropped, whoever speaks next.
        self.staged
            .retain(|_, staged| now - staged.since < STAGED_FOR);
        let commands = parse_line(text);
        if commands.is_empty() {
            return vec![String::new()];
        }
        let mut answers = Vec::with_capacity(commands.len());
        for command in commands {
            answers.push(match command {
                Ok(command) if command.level() > level => "Permission denied\n".into(),
                Ok(command) => self.command(now, connection, command, holding),
                Err(wrong) => format!("{wrong}\n"),
            });
        }
        answers
    }

    fn command(
        &mut self,
        now: Time,
        connection: u64,
        command: Command,
        holding: &mut Holding,
    ) -> String {
        let may_not = self.may_not(connection);
        if !Holding::is_order(&command) {
            return holding.command(command);
        }
        if let Command::SetMap { map, key, value }
        | Command::AddMap {
            map,
            version: None,
            key,
            value,
        } = &command
            && (map.as_str(), key.as_str()) == (STATE, TABLE)
        {
            return match self.take(value, connection) {
                Ok(()) => holding.command(Command::AddMap {
                    map: map.clone(),
                    version: None,
                    key: key.clone(),
                    value: value.clone(),
                }),
                Err(wrong) => wrong,
            };
        }
        match command {
            Command::PrepareMap { map } if map == STATE => {
                let answer = holding.command(Command::PrepareMap { map });
                let number = answer
                    .trim()
                    .rsplit(' ')
                    .next()
                    .and_then(|number| number.parse().ok());
                if let Some(version) = number {
                    self.staged.insert(
                        connection,
                        Staged {
                            version,
                            since: now,
                            commands: Vec::new(),
                        },
                    );
                }
                answer
            }
            Command::AddMap {
                version: Some(_), ..
            }
            | Command::PrepareMap { .. } => holding.command(command),
            Command::CommitMap { map, version } if map == STATE => {
                self.commit(connection, version, holding)
            }
            command => match self.staged.get_mut(&connection) {
                Some(staged) if staged.commands.len() >= STAGED_MOST => {
                    "The change is too long.\n".into()
                }
                Some(staged) => {
                    let answer = taken(&command);
                    staged.commands.push(command);
                    answer
                }
                None if may_not => {
                    "Refused: another steward has taken over, or the version was an older one.\n"
                        .into()
                }
                None => holding.command(command),
            },
        }
    }

    fn take(&mut self, version: &str, connection: u64) -> Result<(), String> {
        let named: Result<Version, _> = version.parse();
        self.stewards.insert(connection);
        match named.and_then(|version| self.holder.take(version, connection)) {
            Ok(()) => {
                self.muted.remove(&connection);
                Ok(())
            }
            Err(wrong) => {
                self.refused += 1;
                self.muted.insert(connection);
                Err(format!("Refused: {wrong}.\n"))
            }
        }
    }

    fn may_not(&self, connection: u64) -> bool {
        let displaced = self.stewards.contains(&connection) && !self.holder.is_by(connection);
        displaced || self.muted.contains(&connection)
    }

    /// All that was staged takes effect, or nothing does.
    fn commit(&mut self, connection: u64, version: u64, holding: &mut Holding) -> String {
        let Some(staged) = self
            .staged
            .remove(&connection)
            .filter(|staged| staged.version == version)
        else {
            return "Version not found.\n".into();
        };
        let Some(entries) = holding.prepared(STATE, version).cloned() else {
            return "Version not found.\n".into();
        };
        if let Some(named) = entries.get(TABLE)
            && let Err(wrong) = self.take(named, connection)
        {
            return wrong;
        }
        let mut wrong = String::new();
        for command in staged.commands {
            let due = taken(&command);
            let answer = holding.command(command);
            // An answer of more words than its success has is a refusal; a changed address says what it changed.
            if due.is_empty() && !answer.is_empty() && !answer.starts_with("IP changed")
                || answer.starts_with("No such")
            {
                wrong.push_str(&answer);
            }
        }
        holding.command(Command::CommitMap {
            map: STATE.into(),
            version,
        });
        wrong
    }
}

/// What is answered to a command that waits for the commit.
fn taken(command: &Command) -> String {
    match command {
        Command::AddServer { .. } => "New server registered.\n".into(),
        Command::DelServer(_) => "Server deleted.\n".into(),
        _ => String::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Desk {
        orders: Orders,
        holding: Holding,
    }

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000 + ms * 1_000)
    }

    impl Desk {
        fn new() -> Desk {
            Desk {
                orders: Orders::default(),
                holding: Holding::new("front", 1, &["proof"]),
            }
        }

        fn say(&mut self, ms: u64, connection: u64, line: &str) -> String {
            self.orders
                .line(at(ms), connection, Level::Admin, line, &mut self.holding)
                .concat()
        }

        fn hosts(&self) -> Vec<&str> {
            self.holding.backends["proof"]
                .servers
                .keys()
                .map(String::as_str)
                .collect()
        }
    }

    fn batch(version: &str, host: &str) -> String {
        format!("add map pond_state table {version}; add server proof/{host} 127.0.0.1:80")
    }

    #[test]
    fn an_older_batch_is_refused_whole_and_the_same_again_is_harmless() {
        let mut desk = Desk::new();
        desk.say(0, 1, &batch("a:5/2", "two"));
        assert!(
            desk.say(1, 1, &batch("a:5/1", "one"))
                .starts_with("Refused: a:5/1 is older than a:5/2")
        );
        assert_eq!(desk.hosts(), ["two"]);
        assert!(
            desk.say(2, 1, &batch("a:5/2", "two"))
                .contains("Already exists")
        );
        assert!(
            desk.say(3, 2, &batch("a:4/99", "old"))
                .starts_with("Refused"),
            "an older start of it"
        );
        assert_eq!(
            desk.say(4, 1, "set server proof/two weight 7"),
            "",
            "it still holds"
        );
        assert_eq!(desk.holding.backends["proof"].servers["two"].weight, 7);
        assert!(
            desk.say(5, 3, &batch("b:1/1", "three"))
                .starts_with("New server"),
            "a newer connection takes over"
        );
        assert!(
            desk.say(6, 1, &batch("a:5/3", "four"))
                .starts_with("Refused")
        );
        assert!(
            desk.say(7, 1, "set server proof/two weight 9")
                .starts_with("Refused")
        );
        assert_eq!(
            desk.say(8, 9, "set server proof/two weight 11"),
            "",
            "an operator"
        );
        assert_eq!(desk.orders.refused, 3);
    }

    #[test]
    fn a_prepared_change_is_all_or_nothing() {
        let mut desk = Desk::new();
        assert_eq!(
            desk.say(0, 1, "prepare map pond_state"),
            "New version created: 1\n"
        );
        assert_eq!(
            desk.say(
                1,
                1,
                "add map @1 pond_state table a:1/1; add server proof/x 127.0.0.1:80"
            ),
            "New server registered.\n"
        );
        assert!(desk.hosts().is_empty(), "not before the commit");
        assert_eq!(desk.say(2, 1, "commit map @1 pond_state"), "");
        assert_eq!(desk.hosts(), ["x"]);
        assert_eq!(desk.holding.entry("pond_state", "table"), Some("a:1/1"));
        // The steward dies in between.
        desk.say(
            3,
            1,
            "prepare map pond_state; add map @2 pond_state table a:1/2; del server proof/x",
        );
        desk.orders.closed(1);
        assert!(
            desk.say(4, 1, "commit map @2 pond_state")
                .contains("Version not found")
        );
        assert_eq!(desk.hosts(), ["x"]);
        // Or takes too long.
        desk.say(
            5,
            4,
            "prepare map pond_state; add map @3 pond_state table a:1/3; del server proof/x",
        );
        assert!(
            desk.say(5_006, 4, "commit map @3 pond_state")
                .contains("Version not found")
        );
        // Or sends an older one.
        desk.say(
            5_010,
            4,
            "prepare map pond_state; add map @4 pond_state table a:1/0; add server proof/y 127.0.0.1:80",
        );
        assert!(
            desk.say(5_011, 4, "commit map @4 pond_state")
                .starts_with("Refused: a:1/0 is older")
        );
        assert_eq!(desk.hosts(), ["x"]);
    }
}
