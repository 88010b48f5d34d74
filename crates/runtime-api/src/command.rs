//! Commands as types. `Command::parse` reads a command and `Display` writes it, so that parsing gives the same command.

use crate::tokenizer::{escape, split_commands, split_words};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Commands that a connection may use (management guide, 9.3, "level"): each level includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    User,
    Operator,
    Admin,
}

/// Name of a server with its backend, `<backend>/<server>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerRef {
    pub backend: String,
    pub server: String,
}

/// A state of `set server <b>/<s> state`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminState {
    /// Takes new requests.
    Ready,
    /// Takes only requests of persistent sessions.
    Drain,
    /// Takes no requests.
    Maint,
}

/// Mode of a connection: `prompt` without an argument, or with an argument of version 3.2.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptMode {
    /// Without an argument: toggles between [`PromptMode::InteractiveWithPrompt`] and [`PromptMode::NonInteractive`].
    Toggle,
    /// The connection closes after one line.
    NonInteractive,
    /// The connection stays open.
    Interactive,
    /// The connection stays open, and a prompt follows each reply.
    InteractiveWithPrompt,
}

/// A weight as an argument of a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WeightArgument {
    /// From 0 to 256.
    Absolute(u16),
    /// In per cent of the initial weight.
    Percent(f64),
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Help,
    Quit,
    Prompt(PromptMode),
    ShowInfo {
        json: bool,
    },
    ShowStat {
        json: bool,
    },
    ShowBackend,
    ShowServersState(Option<String>),
    ShowServersConn(Option<String>),
    ShowErrors,
    ShowEvents,
    /// Memory by purpose. HAProxy has no such command.
    ShowMemory,
    ShowMaps,
    ShowMap {
        map: String,
        version: Option<u64>,
    },
    GetMap {
        map: String,
        key: String,
    },
    AddMap {
        map: String,
        version: Option<u64>,
        key: String,
        value: String,
    },
    SetMap {
        map: String,
        key: String,
        value: String,
    },
    DelMap {
        map: String,
        key: String,
    },
    ClearMap {
        map: String,
        version: Option<u64>,
    },
    PrepareMap {
        map: String,
    },
    CommitMap {
        map: String,
        version: u64,
    },
    GetWeight(ServerRef),
    SetWeight(ServerRef, WeightArgument),
    SetState(ServerRef, AdminState),
    SetAddr(ServerRef, IpAddr, Option<u16>),
    AddServer {
        server: ServerRef,
        addr: SocketAddr,
        weight: Option<u16>,
    },
    DelServer(ServerRef),
}

/// Why a text is not a command. The text of the error is the reply.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    #[error("Unknown command: '{0}'. Type 'help' for the list of commands.")]
    Unknown(String),
    #[error("'{0}' needs {1}.")]
    MissingArgument(&'static str, &'static str),
    #[error("Require 'backend/server', got '{0}'.")]
    InvalidServer(String),
    #[error("Malformed weight '{0}': a whole number from 0 to 256, or 0 to 100 with '%'.")]
    InvalidWeight(String),
    #[error("'set server <srv> state' expects 'ready', 'drain' and 'maint', got '{0}'.")]
    InvalidState(String),
    #[error("Malformed address '{0}'.")]
    InvalidAddress(String),
    #[error("Malformed version '{0}'.")]
    InvalidVersion(String),
    #[error("'{0}' takes no word '{1}'.")]
    UnexpectedArgument(&'static str, String),
}

/// The reply to `help`.
pub const HELP: &str = "The following commands are valid at this level:
  add map [@<ver>] <map> <key> <val>      : add a map entry
  add server <bk>/<srv> <addr> [weight n] : create a new server (in maintenance)
  clear map [@<ver>] <map>                : clear the contents of a map
  commit map @<ver> <map>                 : commit a prepared version of a map
  del map <map> <key>                     : delete a map entry
  del server <bk>/<srv>                   : remove a server in maintenance
  disable server <bk>/<srv>               : put a server into maintenance
  enable server <bk>/<srv>                : make a server ready
  get map <map> <key>                     : what a key maps to
  get weight <bk>/<srv>                   : a server's current and initial weight
  help                                    : this message
  prepare map <map>                       : start a new version of a map
  prompt [n|i|p]                          : closing, interactive or prompting mode
  quit                                    : disconnect
  set map <map> <key> <val>               : change a map entry
  set server <bk>/<srv> addr|state|weight : change a server
  set weight <bk>/<srv> <weight>[%]       : change a server's weight
  show backend                            : list backends
  show errors                             : the last errors
  show events                             : the last events
  show info [json]                        : general state
  show map [[@<ver>] <map>]               : list maps, or a map's entries
  show memory                             : memory by purpose
  show servers conn [<bk>]                : connections by server
  show servers state [<bk>]               : state by server
  show stat [json]                        : counters by server and backend
";

/// Parses the commands of one line, in order. Empty commands are skipped.
pub fn parse_line(line: &str) -> Vec<Result<Command, CommandError>> {
    split_commands(line)
        .iter()
        .map(|text| Command::parse(text))
        .collect()
}

impl Command {
    /// Parses one command.
    ///
    /// # Errors
    ///
    /// The command is unknown, or an argument is missing, unexpected or malformed.
    pub fn parse(text: &str) -> Result<Command, CommandError> {
        let words = split_words(text);
        let mut args = Args {
            words: words.iter().map(String::as_str).collect(),
            position: 0,
            name: "command",
        };
        let unknown = || CommandError::Unknown(truncated(text.trim()));
        let verb = args.next_word().ok_or_else(unknown)?;
        let is_single_word = matches!(verb, "help" | "quit" | "prompt");
        let noun = if is_single_word {
            ""
        } else {
            args.next_word().ok_or_else(unknown)?
        };
        let command = match (verb, noun) {
            ("help", _) => {
                args.position = args.words.len();
                Command::Help
            }
            ("quit", _) => Command::Quit,
            ("prompt", _) => Command::Prompt(match args.next_word() {
                None => PromptMode::Toggle,
                Some("n") => PromptMode::NonInteractive,
                Some("i") => PromptMode::Interactive,
                Some("p") => PromptMode::InteractiveWithPrompt,
                Some(other) => {
                    return Err(CommandError::UnexpectedArgument(
                        "prompt",
                        other.to_string(),
                    ));
                }
            }),
            ("show", "info") => Command::ShowInfo {
                json: args.flag("show info", "json"),
            },
            ("show", "stat") => Command::ShowStat {
                json: args.flag("show stat", "json"),
            },
            ("show", "backend") => args.without_arguments("show backend", Command::ShowBackend),
            ("show", "errors") => args.without_arguments("show errors", Command::ShowErrors),
            ("show", "memory") => args.without_arguments("show memory", Command::ShowMemory),
            ("show", "events") => args.without_arguments("show events", Command::ShowEvents),
            ("show", "servers") => {
                args.name = "show servers";
                match args.word("'state' or 'conn'")? {
                    "state" => Command::ShowServersState(args.next_word().map(str::to_string)),
                    "conn" => Command::ShowServersConn(args.next_word().map(str::to_string)),
                    _ => {
                        return Err(CommandError::MissingArgument(
                            "show servers",
                            "'state' or 'conn'",
                        ));
                    }
                }
            }
            ("show", "map") => {
                args.name = "show map";
                let version = args.version()?;
                match args.next_word() {
                    None if version.is_none() => Command::ShowMaps,
                    None => return Err(CommandError::MissingArgument("show map", "a map")),
                    Some(map) => Command::ShowMap {
                        map: map.to_string(),
                        version,
                    },
                }
            }
            ("get", "map") => {
                args.name = "get map";
                Command::GetMap {
                    map: args.text("a map")?,
                    key: args.text("a key")?,
                }
            }
            ("add", "map") => {
                args.name = "add map";
                let version = args.version()?;
                let (map, key) = (args.text("a map")?, args.text("a key")?);
                Command::AddMap {
                    map,
                    version,
                    key,
                    value: args.remaining("a value")?,
                }
            }
            ("set", "map") => {
                args.name = "set map";
                let (map, key) = (args.text("a map")?, args.text("a key")?);
                Command::SetMap {
                    map,
                    key,
                    value: args.remaining("a value")?,
                }
            }
            ("del", "map") => {
                args.name = "del map";
                Command::DelMap {
                    map: args.text("a map")?,
                    key: args.text("a key")?,
                }
            }
            ("clear", "map") => {
                args.name = "clear map";
                let version = args.version()?;
                Command::ClearMap {
                    map: args.text("a map")?,
                    version,
                }
            }
            ("prepare", "map") => {
                args.name = "prepare map";
                Command::PrepareMap {
                    map: args.text("a map")?,
                }
            }
            ("commit", "map") => {
                args.name = "commit map";
                let version = args
                    .version()?
                    .ok_or(CommandError::MissingArgument("commit map", "a version"))?;
                Command::CommitMap {
                    map: args.text("a map")?,
                    version,
                }
            }
            ("get", "weight") => {
                args.name = "get weight";
                Command::GetWeight(args.server()?)
            }
            ("set", "weight") => {
                args.name = "set weight";
                let server = args.server()?;
                Command::SetWeight(server, parse_weight(args.word("a weight")?)?)
            }
            ("enable" | "disable", "server") => {
                args.name = "enable server";
                let state = if verb == "enable" {
                    AdminState::Ready
                } else {
                    AdminState::Maint
                };
                Command::SetState(args.server()?, state)
            }
            ("set", "server") => {
                args.name = "set server";
                let server = args.server()?;
                match args.word("'addr', 'state' or 'weight'")? {
                    "weight" => Command::SetWeight(server, parse_weight(args.word("a weight")?)?),
                    "state" => Command::SetState(server, parse_state(args.word("a state")?)?),
                    "addr" => {
                        let text = args.word("an address")?;
                        let ip = text
                            .parse()
                            .map_err(|_| CommandError::InvalidAddress(text.to_string()))?;
                        let port = match args.next_word() {
                            None => None,
                            Some("port") => {
                                let text = args.word("a port")?;
                                let invalid = |_| CommandError::InvalidAddress(text.to_string());
                                Some(text.parse().map_err(invalid)?)
                            }
                            Some(other) => {
                                return Err(CommandError::UnexpectedArgument(
                                    "set server",
                                    other.into(),
                                ));
                            }
                        };
                        Command::SetAddr(server, ip, port)
                    }
                    _ => {
                        return Err(CommandError::MissingArgument(
                            "set server",
                            "'addr', 'state' or 'weight'",
                        ));
                    }
                }
            }
            ("add", "server") => {
                args.name = "add server";
                let server = args.server()?;
                let text = args.word("an address")?;
                let addr = text
                    .parse()
                    .map_err(|_| CommandError::InvalidAddress(text.to_string()))?;
                let weight = match args.next_word() {
                    None => None,
                    Some("weight") => match parse_weight(args.word("a weight")?)? {
                        WeightArgument::Absolute(weight) => Some(weight),
                        WeightArgument::Percent(_) => {
                            return Err(CommandError::InvalidWeight("%".into()));
                        }
                    },
                    Some(other) => {
                        return Err(CommandError::UnexpectedArgument("add server", other.into()));
                    }
                };
                Command::AddServer {
                    server,
                    addr,
                    weight,
                }
            }
            ("del", "server") => {
                args.name = "del server";
                Command::DelServer(args.server()?)
            }
            _ => return Err(unknown()),
        };
        match args.next_word() {
            Some(unexpected) => Err(CommandError::UnexpectedArgument(
                args.name,
                unexpected.to_string(),
            )),
            None => Ok(command),
        }
    }

    /// The lowest level that may use this command.
    pub fn level(&self) -> Level {
        match self {
            Command::Help | Command::Quit | Command::Prompt(_) => Level::User,
            Command::ShowInfo { .. } | Command::ShowStat { .. } | Command::ShowBackend => {
                Level::User
            }
            Command::ShowServersState(_) | Command::ShowServersConn(_) => Level::Operator,
            Command::ShowErrors | Command::ShowEvents | Command::ShowMaps => Level::Operator,
            Command::ShowMemory => Level::Operator,
            Command::ShowMap { .. } | Command::GetMap { .. } | Command::GetWeight(_) => {
                Level::Operator
            }
            _ => Level::Admin,
        }
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let version_prefix =
            |version: &Option<u64>| version.map(|v| format!("@{v} ")).unwrap_or_default();
        match self {
            Command::Help => f.write_str("help"),
            Command::Quit => f.write_str("quit"),
            Command::Prompt(mode) => f.write_str(match mode {
                PromptMode::Toggle => "prompt",
                PromptMode::NonInteractive => "prompt n",
                PromptMode::Interactive => "prompt i",
                PromptMode::InteractiveWithPrompt => "prompt p",
            }),
            Command::ShowInfo { json } => {
                write!(f, "show info{}", if *json { " json" } else { "" })
            }
            Command::ShowStat { json } => {
                write!(f, "show stat{}", if *json { " json" } else { "" })
            }
            Command::ShowBackend => f.write_str("show backend"),
            Command::ShowErrors => f.write_str("show errors"),
            Command::ShowEvents => f.write_str("show events"),
            Command::ShowMemory => f.write_str("show memory"),
            Command::ShowServersState(None) => f.write_str("show servers state"),
            Command::ShowServersState(Some(backend)) => {
                write!(f, "show servers state {}", escape(backend))
            }
            Command::ShowServersConn(None) => f.write_str("show servers conn"),
            Command::ShowServersConn(Some(backend)) => {
                write!(f, "show servers conn {}", escape(backend))
            }
            Command::ShowMaps => f.write_str("show map"),
            Command::ShowMap { map, version } => {
                write!(f, "show map {}{}", version_prefix(version), escape(map))
            }
            Command::GetMap { map, key } => write!(f, "get map {} {}", escape(map), escape(key)),
            Command::AddMap {
                map,
                version,
                key,
                value,
            } => {
                write!(
                    f,
                    "add map {}{} {} {}",
                    version_prefix(version),
                    escape(map),
                    escape(key),
                    escape(value)
                )
            }
            Command::SetMap { map, key, value } => {
                write!(
                    f,
                    "set map {} {} {}",
                    escape(map),
                    escape(key),
                    escape(value)
                )
            }
            Command::DelMap { map, key } => write!(f, "del map {} {}", escape(map), escape(key)),
            Command::ClearMap { map, version } => {
                write!(f, "clear map {}{}", version_prefix(version), escape(map))
            }
            Command::PrepareMap { map } => write!(f, "prepare map {}", escape(map)),
            Command::CommitMap { map, version } => {
                write!(f, "commit map @{version} {}", escape(map))
            }
            Command::GetWeight(server) => write!(f, "get weight {server}"),
            Command::SetWeight(server, WeightArgument::Absolute(weight)) => {
                write!(f, "set server {server} weight {weight}")
            }
            Command::SetWeight(server, WeightArgument::Percent(percent)) => {
                write!(f, "set server {server} weight {percent}%")
            }
            Command::SetState(server, state) => write!(f, "set server {server} state {state}"),
            Command::SetAddr(server, ip, None) => write!(f, "set server {server} addr {ip}"),
            Command::SetAddr(server, ip, Some(port)) => {
                write!(f, "set server {server} addr {ip} port {port}")
            }
            Command::AddServer {
                server,
                addr,
                weight: None,
            } => write!(f, "add server {server} {addr}"),
            Command::AddServer {
                server,
                addr,
                weight: Some(weight),
            } => {
                write!(f, "add server {server} {addr} weight {weight}")
            }
            Command::DelServer(server) => write!(f, "del server {server}"),
        }
    }
}

impl ServerRef {
    /// The server of this backend.
    pub fn new(backend: &str, server: &str) -> ServerRef {
        ServerRef {
            backend: backend.to_string(),
            server: server.to_string(),
        }
    }
}

impl fmt::Display for ServerRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", escape(&self.backend), escape(&self.server))
    }
}

impl fmt::Display for AdminState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AdminState::Ready => "ready",
            AdminState::Drain => "drain",
            AdminState::Maint => "maint",
        })
    }
}

/// The words of a command, which are consumed in order.
struct Args<'a> {
    words: Vec<&'a str>,
    /// Index of the next word.
    position: usize,
    /// The command, for errors.
    name: &'static str,
}

impl<'a> Args<'a> {
    fn next_word(&mut self) -> Option<&'a str> {
        let word = self.words.get(self.position).copied();
        self.position += usize::from(word.is_some());
        word
    }

    /// A required word; `what` names it in the error.
    fn word(&mut self, what: &'static str) -> Result<&'a str, CommandError> {
        self.next_word()
            .ok_or(CommandError::MissingArgument(self.name, what))
    }

    fn text(&mut self, what: &'static str) -> Result<String, CommandError> {
        self.word(what).map(str::to_string)
    }

    /// All remaining words, for the value of a map entry, which may have spaces.
    fn remaining(&mut self, what: &'static str) -> Result<String, CommandError> {
        let mut value = self.text(what)?;
        while let Some(word) = self.next_word() {
            value.push(' ');
            value.push_str(word);
        }
        Ok(value)
    }

    fn flag(&mut self, name: &'static str, flag: &str) -> bool {
        self.name = name;
        let is_set = self.words.get(self.position) == Some(&flag);
        self.position += usize::from(is_set);
        is_set
    }

    /// Sets the name for errors; the command takes no arguments.
    fn without_arguments(&mut self, name: &'static str, command: Command) -> Command {
        self.name = name;
        command
    }

    fn server(&mut self) -> Result<ServerRef, CommandError> {
        let text = self.word("a server")?;
        match text.split_once('/') {
            Some((backend, server)) if !backend.is_empty() && !server.is_empty() => {
                Ok(ServerRef::new(backend, server))
            }
            _ => Err(CommandError::InvalidServer(text.to_string())),
        }
    }

    /// An optional `@<version>`.
    fn version(&mut self) -> Result<Option<u64>, CommandError> {
        let Some(text) = self
            .words
            .get(self.position)
            .and_then(|word| word.strip_prefix('@'))
        else {
            return Ok(None);
        };
        self.position += 1;
        text.parse()
            .map(Some)
            .map_err(|_| CommandError::InvalidVersion(text.to_string()))
    }
}

fn parse_weight(text: &str) -> Result<WeightArgument, CommandError> {
    let invalid = || CommandError::InvalidWeight(text.to_string());
    if let Some(percent) = text.strip_suffix('%') {
        let percent: f64 = percent.parse().map_err(|_| invalid())?;
        return if (0.0..=100.0).contains(&percent) {
            Ok(WeightArgument::Percent(percent))
        } else {
            Err(invalid())
        };
    }
    text.parse()
        .ok()
        .filter(|weight| *weight <= 256)
        .map(WeightArgument::Absolute)
        .ok_or_else(invalid)
}

fn parse_state(text: &str) -> Result<AdminState, CommandError> {
    match text {
        "ready" => Ok(AdminState::Ready),
        "drain" => Ok(AdminState::Drain),
        "maint" => Ok(AdminState::Maint),
        other => Err(CommandError::InvalidState(other.to_string())),
    }
}

/// The start of an unknown command, for the reply: the command itself may be very long.
fn truncated(text: &str) -> String {
    text.chars().take(64).collect()
}
