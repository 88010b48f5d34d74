//! The runtime API of the controller itself. The backend `hosts` is the endpoint list; each table is a read-only
//! backend `table-<n>`. Operators' changes to `hosts` are applied like those of the hosts file.
//!
//! - `show`: commands that show figures, hosts and events.
//! - `maps`: the maps, of which only the zone map can be set.
//! - `servers`: commands that change hosts.
//! - `error`: why a command is rejected.

mod error;
mod maps;
mod servers;
mod show;

use crate::state::DaemonState;
use error::OperatorError;
use pondarch_runtime_api::codec::framed_reply;
use pondarch_runtime_api::line_answers::answer_line;
use pondarch_runtime_api::{Command, CommandError, Level, command};

/// The backend that stands for the endpoint list.
const HOSTS: &str = "hosts";

/// The replies to one command line, each framed as the protocol requires.
pub(crate) fn answer(state: &mut DaemonState, level: u8, line: &str) -> String {
    let level = match level {
        0 => Level::User,
        1 => Level::Operator,
        _ => Level::Admin,
    };
    let answers = answer_line(line, |command| answer_command(state, level, command));
    answers.iter().map(|answer| framed_reply(answer)).collect()
}

fn answer_command(
    state: &mut DaemonState,
    level: Level,
    command: Result<Command, CommandError>,
) -> String {
    let command = match command {
        Ok(command) => command,
        Err(error) => return format!("{error}\n"),
    };
    if command.level() > level {
        return OperatorError::PermissionDenied.to_string();
    }
    run_command(state, command).unwrap_or_else(|error| error.to_string())
}

fn run_command(state: &mut DaemonState, command: Command) -> Result<String, OperatorError> {
    match command {
        Command::Help => Ok(command::HELP.into()),
        // The connection itself handles these.
        Command::Quit | Command::Prompt(_) => Ok(String::new()),
        Command::ShowInfo { json } => Ok(show::info(state, json)),
        Command::ShowStat { json } => Ok(show::stat(state, json)),
        Command::ShowBackend => Ok(show::backends(state)),
        Command::ShowServersState(backend) => show::servers_state(state, backend.as_deref()),
        Command::ShowServersConn(backend) => show::servers_connections(state, backend.as_deref()),
        Command::ShowMemory => Ok(show::memory(state)),
        Command::ShowErrors => Ok(show::errors(state)),
        Command::ShowEvents => Ok(show::events(state)),
        Command::ShowMaps => Ok(maps::list()),
        Command::ShowMap { map, version } => maps::show(state, &map, version),
        Command::GetMap { map, key } => maps::get(state, &map, &key),
        Command::AddMap {
            map,
            version,
            key,
            value,
        } => maps::add(state, &map, version, &key, &value),
        Command::SetMap { map, key, value } => maps::set(state, &map, &key, &value),
        Command::DelMap { map, key } => maps::delete(state, &map, &key),
        Command::ClearMap { map, version } => maps::clear(state, &map, version),
        Command::PrepareMap { map } => maps::prepare(state, &map),
        Command::CommitMap { map, version } => maps::commit(state, &map, version),
        Command::GetWeight(server) => servers::get_weight(state, &server),
        Command::SetWeight(server, weight) => servers::set_weight(state, &server, weight),
        Command::SetState(server, wanted) => servers::set_state(state, &server, wanted),
        Command::SetAddr(server, ip, port) => servers::set_address(state, &server, ip, port),
        Command::AddServer {
            server,
            addr,
            weight,
        } => servers::add(state, &server, addr, weight),
        Command::DelServer(server) => servers::delete(state, &server),
    }
}
