//! Commands as types. `Command::parse` reads one, `Display` writes it; both give the same again.

use crate::words::{commands, guarded, words};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// What a connection may do (management guide, 9.3, "level"): each level holds the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    User,
    Operator,
    Admin,
}

/// A server by its backend, as `<backend>/<server>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerRef {
    pub backend: String,
    pub server: String,
}

/// `set server <b>/<s> state`: takes new work, takes none but that of kept sessions, takes none at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminState {
    Ready,
    Drain,
    Maint,
}

/// The manners of an interactive connection (`prompt`, version 3.2 words beside the older bare one).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptMode {
    /// Bare `prompt`: the other one of prompting and closing after each line.
    Toggle,
    Closing,
    Interactive,
    Prompting,
}

/// A weight as it is given: absolute, 0 to 256, or in per cent of the weight at start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GivenWeight {
    Units(u16),
    Percent(f64),
}

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
    /// Ours: memory by purpose.
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
    SetWeight(ServerRef, GivenWeight),
    SetState(ServerRef, AdminState),
    SetAddr(ServerRef, IpAddr, Option<u16>),
    AddServer {
        server: ServerRef,
        addr: SocketAddr,
        weight: Option<u16>,
    },
    DelServer(ServerRef),
}

/// Why a text is no command; the text of each is what the peer is told.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    #[error("Unknown command: '{0}'. Type 'help' for the list of commands.")]
    Unknown(String),
    #[error("'{0}' needs {1}.")]
    Missing(&'static str, &'static str),
    #[error("Require 'backend/server', got '{0}'.")]
    NoServer(String),
    #[error("Malformed weight '{0}': a whole number from 0 to 256, or 0 to 100 with '%'.")]
    Weight(String),
    #[error("'set server <srv> state' expects 'ready', 'drain' and 'maint', got '{0}'.")]
    State(String),
    #[error("Malformed address '{0}'.")]
    Address(String),
    #[error("Malformed version '{0}'.")]
    Version(String),
    #[error("'{0}' takes no word '{1}'.")]
    Surplus(&'static str, String),
}

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

/// The commands of one line, in order. A line whose commands are all empty gives none.
pub fn parse_line(line: &str) -> Vec<Result<Command, CommandError>> {
    commands(line)
        .iter()
        .map(|text| Command::parse(text))
        .collect()
}

impl Command {
    /// Reads one command.
    ///
    /// Errors: a `CommandError` that says what is missing, surplus or malformed.
    pub fn parse(text: &str) -> Result<Command, CommandError> {
        let words = words(text);
        let mut args = Args {
            words: words.iter().map(String::as_str).collect(),
            at: 0,
            name: "command",
        };
        let unknown = || CommandError::Unknown(shortened(text.trim()));
        let verb = args.maybe().ok_or_else(unknown)?;
        let lone = matches!(verb, "help" | "quit" | "prompt");
        let noun = if lone {
            ""
        } else {
            args.maybe().ok_or_else(unknown)?
        };
        let command = match (verb, noun) {
            ("help", _) => {
                args.at = args.words.len();
                Command::Help
            }
            ("quit", _) => Command::Quit,
            ("prompt", _) => Command::Prompt(match args.maybe() {
                None => PromptMode::Toggle,
                Some("n") => PromptMode::Closing,
                Some("i") => PromptMode::Interactive,
                Some("p") => PromptMode::Prompting,
                Some(other) => return Err(CommandError::Surplus("prompt", other.to_string())),
            }),
            ("show", "info") => Command::ShowInfo {
                json: args.flag("show info", "json"),
            },
            ("show", "stat") => Command::ShowStat {
                json: args.flag("show stat", "json"),
            },
            ("show", "backend") => args.only("show backend", Command::ShowBackend),
            ("show", "errors") => args.only("show errors", Command::ShowErrors),
            ("show", "memory") => args.only("show memory", Command::ShowMemory),
            ("show", "events") => args.only("show events", Command::ShowEvents),
            ("show", "servers") => {
                args.name = "show servers";
                match args.word("'state' or 'conn'")? {
                    "state" => Command::ShowServersState(args.maybe().map(str::to_string)),
                    "conn" => Command::ShowServersConn(args.maybe().map(str::to_string)),
                    _ => return Err(CommandError::Missing("show servers", "'state' or 'conn'")),
                }
            }
            ("show", "map") => {
                args.name = "show map";
                let version = args.version()?;
                match args.maybe() {
                    None if version.is_none() => Command::ShowMaps,
                    None => return Err(CommandError::Missing("show map", "a map")),
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
                    value: args.rest("a value")?,
                }
            }
            ("set", "map") => {
                args.name = "set map";
                let (map, key) = (args.text("a map")?, args.text("a key")?);
                Command::SetMap {
                    map,
                    key,
                    value: args.rest("a value")?,
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
                    .ok_or(CommandError::Missing("commit map", "a version"))?;
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
                Command::SetWeight(server, weight(args.word("a weight")?)?)
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
                    "weight" => Command::SetWeight(server, weight(args.word("a weight")?)?),
                    "state" => Command::SetState(server, state(args.word("a state")?)?),
                    "addr" => {
                        let text = args.word("an address")?;
                        let ip = text
                            .parse()
                            .map_err(|_| CommandError::Address(text.to_string()))?;
                        let port = match args.maybe() {
                            None => None,
                            Some("port") => {
                                let text = args.word("a port")?;
                                let bad = |_| CommandError::Address(text.to_string());
                                Some(text.parse().map_err(bad)?)
                            }
                            Some(other) => {
                                return Err(CommandError::Surplus("set server", other.into()));
                            }
                        };
                        Command::SetAddr(server, ip, port)
                    }
                    _ => {
                        return Err(CommandError::Missing(
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
                    .map_err(|_| CommandError::Address(text.to_string()))?;
                let weight = match args.maybe() {
                    None => None,
                    Some("weight") => match weight(args.word("a weight")?)? {
                        GivenWeight::Units(units) => Some(units),
                        GivenWeight::Percent(_) => return Err(CommandError::Weight("%".into())),
                    },
                    Some(other) => return Err(CommandError::Surplus("add server", other.into())),
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
        match args.maybe() {
            Some(surplus) => Err(CommandError::Surplus(args.name, surplus.to_string())),
            None => Ok(command),
        }
    }

    /// The least level a connection needs for this command.
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
        let at = |version: &Option<u64>| version.map(|v| format!("@{v} ")).unwrap_or_default();
        let g = |word: &str| guarded(word);
        match self {
            Command::Help => f.write_str("help"),
            Command::Quit => f.write_str("quit"),
            Command::Prompt(mode) => f.write_str(match mode {
                PromptMode::Toggle => "prompt",
                PromptMode::Closing => "prompt n",
                PromptMode::Interactive => "prompt i",
                PromptMode::Prompting => "prompt p",
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
                write!(f, "show servers state {}", g(backend))
            }
            Command::ShowServersConn(None) => f.write_str("show servers conn"),
            Command::ShowServersConn(Some(backend)) => {
                write!(f, "show servers conn {}", g(backend))
            }
            Command::ShowMaps => f.write_str("show map"),
            Command::ShowMap { map, version } => write!(f, "show map {}{}", at(version), g(map)),
            Command::GetMap { map, key } => write!(f, "get map {} {}", g(map), g(key)),
            Command::AddMap {
                map,
                version,
                key,
                value,
            } => {
                write!(
                    f,
                    "add map {}{} {} {}",
                    at(version),
                    g(map),
                    g(key),
                    g(value)
                )
            }
            Command::SetMap { map, key, value } => {
                write!(f, "set map {} {} {}", g(map), g(key), g(value))
            }
            Command::DelMap { map, key } => write!(f, "del map {} {}", g(map), g(key)),
            Command::ClearMap { map, version } => write!(f, "clear map {}{}", at(version), g(map)),
            Command::PrepareMap { map } => write!(f, "prepare map {}", g(map)),
            Command::CommitMap { map, version } => write!(f, "commit map @{version} {}", g(map)),
            Command::GetWeight(server) => write!(f, "get weight {server}"),
            Command::SetWeight(server, GivenWeight::Units(units)) => {
                write!(f, "set server {server} weight {units}")
            }
            Command::SetWeight(server, GivenWeight::Percent(part)) => {
                write!(f, "set server {server} weight {part}%")
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
    pub fn new(backend: &str, server: &str) -> ServerRef {
        ServerRef {
            backend: backend.to_string(),
            server: server.to_string(),
        }
    }
}

impl fmt::Display for ServerRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", guarded(&self.backend), guarded(&self.server))
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

struct Args<'a> {
    words: Vec<&'a str>,
    at: usize,
    name: &'static str,
}

impl<'a> Args<'a> {
    fn maybe(&mut self) -> Option<&'a str> {
        let word = self.words.get(self.at).copied();
        self.at += usize::from(word.is_some());
        word
    }

    fn word(&mut self, what: &'static str) -> Result<&'a str, CommandError> {
        self.maybe().ok_or(CommandError::Missing(self.name, what))
    }

    fn text(&mut self, what: &'static str) -> Result<String, CommandError> {
        self.word(what).map(str::to_string)
    }

    /// A map's value may hold blanks: all that is left.
    fn rest(&mut self, what: &'static str) -> Result<String, CommandError> {
        let mut value = self.text(what)?;
        while let Some(word) = self.maybe() {
            value.push(' ');
            value.push_str(word);
        }
        Ok(value)
    }

    fn flag(&mut self, name: &'static str, flag: &str) -> bool {
        self.name = name;
        let there = self.words.get(self.at) == Some(&flag);
        self.at += usize::from(there);
        there
    }

    fn only(&mut self, name: &'static str, command: Command) -> Command {
        self.name = name;
        command
    }

    fn server(&mut self) -> Result<ServerRef, CommandError> {
        let text = self.word("a server")?;
        match text.split_once('/') {
            Some((backend, server)) if !backend.is_empty() && !server.is_empty() => {
                Ok(ServerRef::new(backend, server))
            }
            _ => Err(CommandError::NoServer(text.to_string())),
        }
    }

    fn version(&mut self) -> Result<Option<u64>, CommandError> {
        let Some(text) = self
            .words
            .get(self.at)
            .and_then(|word| word.strip_prefix('@'))
        else {
            return Ok(None);
        };
        self.at += 1;
        text.parse()
            .map(Some)
            .map_err(|_| CommandError::Version(text.to_string()))
    }
}

fn weight(text: &str) -> Result<GivenWeight, CommandError> {
    let bad = || CommandError::Weight(text.to_string());
    if let Some(part) = text.strip_suffix('%') {
        let part: f64 = part.parse().map_err(|_| bad())?;
        return if (0.0..=100.0).contains(&part) {
            Ok(GivenWeight::Percent(part))
        } else {
            Err(bad())
        };
    }
    text.parse()
        .ok()
        .filter(|units| *units <= 256)
        .map(GivenWeight::Units)
        .ok_or_else(bad)
}

fn state(text: &str) -> Result<AdminState, CommandError> {
    match text {
        "ready" => Ok(AdminState::Ready),
        "drain" => Ok(AdminState::Drain),
        "maint" => Ok(AdminState::Maint),
        other => Err(CommandError::State(other.to_string())),
    }
}

/// An unknown command is told back, but not a megabyte of it.
fn shortened(text: &str) -> String {
    text.chars().take(64).collect()
}
