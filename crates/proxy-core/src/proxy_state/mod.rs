//! The state of a proxy that the runtime API reads and changes. It executes commands and returns their replies. Whether
//! a connection may send updates is checked beforehand in [`crate::updates`].

mod error;
mod map_commands;
mod server_commands;
mod show_commands;

pub use error::StateError;
pub(crate) use map_commands::version_created;

use pondarch_runtime_api::line_answers::answer_line;
use pondarch_runtime_api::stat::AttemptTotals;
use pondarch_runtime_api::{AdminState, Command, Level, command};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The maps that controllers use, for admission limits, retry modes and the applied version. They always exist.
const MAPS: [&str; 3] = ["pond_levels", "pond_tries", "pond_state"];
/// Default start time in Unix seconds, to which [`ProxyState::new`] adds the process id.
const DEFAULT_START_UNIX_S: u64 = 1_700_000_000;

/// The entries of a map.
pub type MapEntries = BTreeMap<String, String>;

/// One server of a backend.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The weight of the server in the backend.
    pub weight: u16,
    /// Its administrative state: whether it gets requests.
    pub state: AdminState,
    /// Number of the proxy's requests in flight at the server.
    pub in_flight: u64,
    /// Number of attempts since the start.
    pub attempts: u64,
    /// Totals of the finished attempts by result.
    pub results: AttemptTotals,
    /// CPU utilization from the host's latest load report, as a fraction of its cores.
    pub utilization: Option<f64>,
    /// Number of requests queued at the host, from its latest load report.
    pub queue_length: Option<f64>,
}

/// The servers and counters of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backend {
    /// Servers by name.
    pub servers: BTreeMap<String, Server>,
    /// Number of requests since the start.
    pub requests: u64,
    /// Number of requests that were rejected before any attempt.
    pub rejected: u64,
}

/// The state of a proxy that the runtime API reads and changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyState {
    /// The name of the proxy.
    pub name: String,
    /// The process id.
    pub process_id: u64,
    /// The start time of the proxy, in seconds since 1970.
    pub started_unix_s: u64,
    /// Backends by name, one for each request class.
    pub backends: BTreeMap<String, Backend>,
    /// Maps by name.
    pub maps: BTreeMap<String, MapEntries>,
    /// Further fields of `show info`, maintained by the owner of this state.
    pub extra_info: Vec<(&'static str, String)>,
    /// Prepared versions of maps, by map name and version number.
    prepared: BTreeMap<(String, u64), MapEntries>,
    last_map_version: u64,
    /// Backends with a server command since the last [`ProxyState::take_changed_backends`].
    changed_backends: BTreeSet<String>,
}

impl Server {
    /// Creates a server without attempts.
    #[must_use]
    pub fn new(address: SocketAddr, weight: u16, state: AdminState) -> Server {
        Server {
            address,
            weight,
            state,
            in_flight: 0,
            attempts: 0,
            results: AttemptTotals::default(),
            utilization: None,
            queue_length: None,
        }
    }

    /// Whether requests may be sent to the server.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.state == AdminState::Ready && self.weight > 0
    }
}

impl ProxyState {
    /// Creates the state of a proxy with one empty backend for each request class and empty maps.
    #[must_use]
    pub fn new(name: &str, process_id: u64, classes: &[&str]) -> ProxyState {
        ProxyState {
            name: name.to_string(),
            process_id,
            started_unix_s: DEFAULT_START_UNIX_S + process_id,
            backends: classes
                .iter()
                .map(|class| (class.to_string(), Backend::default()))
                .collect(),
            maps: MAPS.map(|map| (map.to_string(), MapEntries::new())).into(),
            ..ProxyState::default()
        }
    }

    /// The value of a key in a map.
    #[must_use]
    pub fn map_entry(&self, map: &str, key: &str) -> Option<&str> {
        self.maps.get(map)?.get(key).map(String::as_str)
    }

    /// Whether a command is an update; other commands change nothing.
    #[must_use]
    pub fn is_update(command: &Command) -> bool {
        command.level() == Level::Admin
    }

    /// Executes one line of commands and returns one reply for each command.
    pub fn execute_line(&mut self, line: &str) -> Vec<String> {
        answer_line(line, |command| match command {
            Ok(command) => self.execute(command),
            Err(error) => format!("{error}\n"),
        })
    }

    /// Returns the backends whose servers may have changed since the last call.
    pub fn take_changed_backends(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.changed_backends)
    }

    /// Executes one command and returns its reply.
    pub fn execute(&mut self, command: Command) -> String {
        self.mark_changed(&command);
        self.dispatch(command)
            .unwrap_or_else(|error| format!("{error}\n"))
    }

    fn mark_changed(&mut self, command: &Command) {
        if let Command::SetWeight(server, _)
        | Command::SetState(server, _)
        | Command::SetAddr(server, ..)
        | Command::AddServer { server, .. }
        | Command::DelServer(server) = command
        {
            self.changed_backends.insert(server.backend.clone());
        }
    }

    fn dispatch(&mut self, command: Command) -> Result<String, StateError> {
        use Command as C;
        match command {
            C::Prompt(_) | C::Quit => Ok(String::new()),
            C::ShowErrors | C::ShowEvents | C::ShowMemory => Ok(String::new()),
            C::Help => Ok(command::HELP.into()),
            C::ShowInfo { .. } => Ok(self.show_info()),
            C::ShowStat { json } => Ok(self.show_stat(json)),
            C::ShowBackend => Ok(self.show_backends()),
            C::ShowServersState(backend) => Ok(self.show_servers_state(backend.as_deref())),
            C::ShowServersConn(backend) => Ok(self.show_servers_connections(backend.as_deref())),
            C::ShowMaps => Ok(self.show_maps()),
            C::ShowMap { map, version } => self.show_map(map, version),
            C::GetMap { map, key } => self.get_map_entry(&map, &key),
            C::AddMap {
                map,
                version: Some(version),
                key,
                value,
            } => self.add_prepared_entry(map, version, key, value),
            C::AddMap {
                map,
                version: None,
                key,
                value,
            } => self.add_map_entry(&map, key, value),
            C::SetMap { map, key, value } => self.set_map_entry(&map, &key, value),
            C::DelMap { map, key } => self.delete_map_entry(&map, &key),
            C::ClearMap { map, version } => self.clear_map(map, version),
            C::PrepareMap { map } => self.prepare_map(&map).map(version_created),
            C::CommitMap { map, version } => self.commit_map(map, version),
            C::GetWeight(server) => self.get_weight(&server),
            C::SetWeight(server, weight) => self.set_weight(&server, weight),
            C::SetState(server, state) => self.set_admin_state(&server, state),
            C::SetAddr(server, ip, port) => self.set_address(&server, ip, port),
            C::AddServer {
                server,
                addr,
                weight,
            } => self.add_server(server, addr, weight),
            C::DelServer(server) => self.delete_server(&server),
        }
    }
}
