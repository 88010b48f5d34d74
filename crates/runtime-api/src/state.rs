//! `show servers state` and `show servers conn` (management guide, 9.3; the state's layout is version 1).

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

/// Bits of `srv_admin_state`: set by an operator, from a tracked server, from the settings.
const FORCED_MAINT: u32 = 0x01;
const ANY_MAINT: u32 = 0x01 | 0x02 | 0x04 | 0x20;
const FORCED_DRAIN: u32 = 0x08;
const ANY_DRAIN: u32 = 0x08 | 0x10;

/// One server as `show servers state` tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerState {
    pub backend: String,
    pub server: String,
    pub addr: SocketAddr,
    pub state: AdminState,
    pub weight: u16,
    /// Connections in use now; only `show servers conn` prints it.
    pub used: u64,
    pub changed_s: u64,
}

#[derive(Debug, Error, PartialEq, Eq)]
pub enum StateError {
    #[error("'show servers state' answered in version '{0}', not 1")]
    Version(String),
    #[error("'show servers state' has no column '{0}'")]
    NoColumn(&'static str),
    #[error("'show servers state', line {line}: {wrong}")]
    Line { line: usize, wrong: String },
}

/// The answer to `show servers state`.
pub fn write_state(servers: &[ServerState]) -> String {
    let mut out = format!("1\n{STATE_HEADER}\n");
    for (n, s) in servers.iter().enumerate() {
        let (op, admin) = match s.state {
            AdminState::Ready => (2, 0),
            AdminState::Drain => (2, FORCED_DRAIN),
            AdminState::Maint => (0, FORCED_MAINT),
        };
        let (id, ip, port, weight) = (n + 1, s.addr.ip(), s.addr.port(), s.weight);
        let _ = writeln!(
            out,
            "1 {} {id} {} {ip} {op} {admin} {weight} {weight} {} 1 0 2 0 0 0 0 - {port} - 0 0 - - 0",
            s.backend, s.server, s.changed_s
        );
    }
    out
}

/// The answer to `show servers conn`.
pub fn write_conn(servers: &[ServerState]) -> String {
    let mut out = format!("{CONN_HEADER}\n");
    for (n, s) in servers.iter().enumerate() {
        let (ip, port) = (s.addr.ip(), s.addr.port());
        let (backend, server, used) = (&s.backend, &s.server, s.used);
        let _ = writeln!(
            out,
            "{backend}/{server} 1/{} {ip} {port} - 5000 {used} {used} {used} 0 0 -1 0 0",
            n + 1
        );
    }
    out
}

/// Reads an answer to `show servers state`. An empty backend gives no servers.
///
/// Errors: another version of the layout, a missing column, or a line that does not fit it.
pub fn read_state(text: &str) -> Result<Vec<ServerState>, StateError> {
    let mut lines = text.lines().enumerate();
    let version = lines.next().map_or("", |(_, line)| line.trim());
    if version != "1" {
        return Err(StateError::Version(version.chars().take(60).collect()));
    }
    let header = lines
        .next()
        .and_then(|(_, line)| line.strip_prefix("# "))
        .unwrap_or("");
    let columns: Vec<&str> = header.split_whitespace().collect();
    let at = |name: &'static str| {
        columns
            .iter()
            .position(|column| *column == name)
            .ok_or(StateError::NoColumn(name))
    };
    let (backend, server, addr, port) = (
        at("be_name")?,
        at("srv_name")?,
        at("srv_addr")?,
        at("srv_port")?,
    );
    let (admin, weight, changed) = (
        at("srv_admin_state")?,
        at("srv_uweight")?,
        at("srv_time_since_last_change")?,
    );
    let mut servers = Vec::new();
    for (n, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let wrong = |wrong: String| StateError::Line { line: n + 1, wrong };
        if words.len() < columns.len() {
            return Err(wrong(format!(
                "{} fields where {} were due",
                words.len(),
                columns.len()
            )));
        }
        let number = |at: usize| {
            words[at]
                .parse::<u32>()
                .map_err(|_| wrong(format!("'{}' is no number", words[at])))
        };
        // A server without an address of its own (a name not resolved yet) prints '-': nothing to send to.
        let ip: IpAddr = words[addr].parse().unwrap_or(IpAddr::from([0, 0, 0, 0]));
        let port = u16::try_from(number(port)?).map_err(|_| wrong("a port over 65535".into()))?;
        let bits = number(admin)?;
        servers.push(ServerState {
            backend: words[backend].to_string(),
            server: words[server].to_string(),
            addr: SocketAddr::new(ip, port),
            state: match bits {
                bits if bits & ANY_MAINT != 0 => AdminState::Maint,
                bits if bits & ANY_DRAIN != 0 => AdminState::Drain,
                _ => AdminState::Ready,
            },
            weight: u16::try_from(number(weight)?).unwrap_or(256),
            used: 0,
            changed_s: u64::from(number(changed)?),
        });
    }
    Ok(servers)
}
