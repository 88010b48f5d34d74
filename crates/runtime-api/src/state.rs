//! `show servers state`, in version 1 of its layout, and `show servers conn` (management guide, 9.3).

use crate::command::AdminState;
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

const STATE_HEADER: &str = "# be_id be_name srv_id srv_name srv_addr srv_op_state srv_admin_state srv_uweight \
srv_iweight srv_time_since_last_change srv_check_status srv_check_result srv_check_health srv_check_state \
srv_agent_state bk_f_forced_id srv_f_forced_id srv_fqdn srv_port srvrecord srv_use_ssl srv_check_port srv_check_addr \
srv_agent_addr srv_agent_port";
const CONN_HEADER: &str = "# bkname/svname bkid/svid addr port - purge_delay used_cur used_max need_est unsafe_nb \
safe_nb idle_lim idle_cur idle_per_thr[1]";

/// Bit of `srv_admin_state`: an operator put the server into maintenance.
const FORCED_MAINT: u32 = 0x01;
/// Maintenance set by an operator, inherited from a tracked server, or from the settings.
const ANY_MAINT: u32 = 0x01 | 0x02 | 0x04 | 0x20;
/// Bit of `srv_admin_state`: an operator put the server into drain.
const FORCED_DRAIN: u32 = 0x08;
/// Drain set by an operator or inherited from a tracked server.
const ANY_DRAIN: u32 = 0x08 | 0x10;

/// A server in the reply to `show servers state`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerState {
    pub backend: String,
    pub server: String,
    pub addr: SocketAddr,
    pub state: AdminState,
    pub weight: u16,
    /// Number of connections in use; only `show servers conn` prints it.
    pub connections_in_use: u64,
    /// Seconds since the last change of the server.
    pub seconds_since_change: u64,
}

/// Why a text is not a reply to `show servers state`.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum StateError {
    #[error("'show servers state' answered in version '{0}', not 1")]
    UnsupportedVersion(String),
    #[error("'show servers state' has no column '{0}'")]
    MissingColumn(&'static str),
    #[error("'show servers state', line {line}: {reason}")]
    InvalidLine { line: usize, reason: String },
}

/// The reply to `show servers state`.
pub fn write_state(servers: &[ServerState]) -> String {
    let mut out = format!("1\n{STATE_HEADER}\n");
    for (n, server) in servers.iter().enumerate() {
        let (op_state, admin_state) = match server.state {
            AdminState::Ready => (2, 0),
            AdminState::Drain => (2, FORCED_DRAIN),
            AdminState::Maint => (0, FORCED_MAINT),
        };
        let (id, ip, port, weight) = (n + 1, server.addr.ip(), server.addr.port(), server.weight);
        let _ = writeln!(
            out,
            "1 {} {id} {} {ip} {op_state} {admin_state} {weight} {weight} {} 1 0 2 0 0 0 0 - {port} - 0 0 - - 0",
            server.backend, server.server, server.seconds_since_change
        );
    }
    out
}

/// The reply to `show servers conn`.
pub fn write_conn(servers: &[ServerState]) -> String {
    let mut out = format!("{CONN_HEADER}\n");
    for (n, server) in servers.iter().enumerate() {
        let (ip, port) = (server.addr.ip(), server.addr.port());
        let (backend, name, used) = (&server.backend, &server.server, server.connections_in_use);
        let _ = writeln!(
            out,
            "{backend}/{name} 1/{} {ip} {port} - 5000 {used} {used} {used} 0 0 -1 0 0",
            n + 1
        );
    }
    out
}

/// Reads a reply to `show servers state`. A backend without servers gives an empty list.
///
/// # Errors
///
/// The version is not 1, a column is missing, or a line is invalid.
pub fn read_state(text: &str) -> Result<Vec<ServerState>, StateError> {
    let mut lines = text.lines().enumerate();
    let version = lines.next().map_or("", |(_, line)| line.trim());
    if version != "1" {
        return Err(StateError::UnsupportedVersion(
            version.chars().take(60).collect(),
        ));
    }
    let header = lines
        .next()
        .and_then(|(_, line)| line.strip_prefix("# "))
        .unwrap_or("");
    let columns: Vec<&str> = header.split_whitespace().collect();
    let index = |name: &'static str| {
        columns
            .iter()
            .position(|column| *column == name)
            .ok_or(StateError::MissingColumn(name))
    };
    let (backend, server, addr, port) = (
        index("be_name")?,
        index("srv_name")?,
        index("srv_addr")?,
        index("srv_port")?,
    );
    let (admin, weight, changed) = (
        index("srv_admin_state")?,
        index("srv_uweight")?,
        index("srv_time_since_last_change")?,
    );
    let mut servers = Vec::new();
    for (n, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let invalid = |reason: String| StateError::InvalidLine {
            line: n + 1,
            reason,
        };
        if words.len() < columns.len() {
            return Err(invalid(format!(
                "{} fields where {} were due",
                words.len(),
                columns.len()
            )));
        }
        let number = |index: usize| {
            words[index]
                .parse::<u32>()
                .map_err(|_| invalid(format!("'{}' is no number", words[index])))
        };
        // A server whose name is not resolved yet has '-' here. It is read as 0.0.0.0, to which nothing can be sent.
        let ip: IpAddr = words[addr].parse().unwrap_or(IpAddr::from([0, 0, 0, 0]));
        let port = u16::try_from(number(port)?).map_err(|_| invalid("a port over 65535".into()))?;
        let admin_bits = number(admin)?;
        servers.push(ServerState {
            backend: words[backend].to_string(),
            server: words[server].to_string(),
            addr: SocketAddr::new(ip, port),
            state: match admin_bits {
                bits if bits & ANY_MAINT != 0 => AdminState::Maint,
                bits if bits & ANY_DRAIN != 0 => AdminState::Drain,
                _ => AdminState::Ready,
            },
            weight: u16::try_from(number(weight)?).unwrap_or(256),
            connections_in_use: 0,
            seconds_since_change: u64::from(number(changed)?),
        });
    }
    Ok(servers)
}
