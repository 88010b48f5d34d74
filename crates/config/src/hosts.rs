//! The file that lists the hosts: `{ version: 7, hosts: [{ name, address, zone, ... }] }`.

use crate::jsonnet::{self, SettingsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// One host of the list.
///
/// `pondarch replay` prints its `Debug` text with the inputs, so the names of its fields stay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    /// Unique name of the host.
    pub name: String,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Zone of the host, one of the site's zones.
    pub zone: String,
    /// Group of hosts that together drop repeated requests with the same idempotency key.
    #[serde(default)]
    pub rack: String,
    /// Machine on which the host runs.
    #[serde(default)]
    pub machine: String,
    /// Listed weight.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Number of cores; if absent, the weight is taken as a number of cores of average speed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
    /// Last start of its process, in seconds since 1970; absent if it is not known.
    #[serde(default)]
    pub started: Option<f64>,
    /// State in which the host is listed.
    #[serde(default)]
    pub state: HostState,
}

/// State in which a host is listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Takes requests.
    #[default]
    Ready,
    /// Is draining.
    Drain,
    /// No longer serves.
    Gone,
}

/// The list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsFile {
    /// Increases with each change: a list with a lower version than the last one is rejected. If absent, each change
    /// is applied.
    #[serde(default)]
    pub version: Option<u64>,
    /// All hosts.
    pub hosts: Vec<HostEntry>,
}

fn default_weight() -> f64 {
    1.0
}

/// Reads and checks a list of hosts for a site with these zones.
///
/// # Errors
///
/// As for [`read_site`](crate::read_site); also a zone that is not in `zones`, a repeated name, or a figure out of
/// range.
pub fn read_hosts(file: &Path, zones: &[String]) -> Result<HostsFile, SettingsError> {
    let list: HostsFile = jsonnet::read(file)?;
    let mut names = BTreeSet::new();
    for (n, host) in list.hosts.iter().enumerate() {
        let fault = if !names.insert(&host.name) {
            Some(("name", format!("'{}' is listed twice", host.name)))
        } else if let Some(reason) = invalid_name(&host.name) {
            Some(("name", reason))
        } else if !zones.contains(&host.zone) {
            Some((
                "zone",
                format!(
                    "'{}' is not one of the site's zones: {}",
                    host.zone,
                    zones.join(", ")
                ),
            ))
        } else if !(host.weight > 0.0 && host.weight <= 1e6) {
            Some((
                "weight",
                format!("{} is not between 0 (excluded) and 1000000", host.weight),
            ))
        } else if host
            .cores
            .is_some_and(|cores| !(1e-3..=4_096.0).contains(&cores))
        {
            Some(("cores", "is not between 0.001 and 4096".to_string()))
        } else if host.started.is_some_and(|at| !(at > 0.0 && at < 4e9)) {
            Some(("started", "is not a time in seconds since 1970".to_string()))
        } else {
            None
        };
        if let Some((key, reason)) = fault {
            return Err(SettingsError::InvalidKey {
                file: file.into(),
                key: format!("hosts[{n}].{key}"),
                reason,
            });
        }
    }
    Ok(list)
}

/// The reason why a name is invalid, if it is.
///
/// Runtime API commands have names as `<backend>/<server>`, and replies have them between spaces, so both characters
/// are excluded.
pub fn invalid_name(name: &str) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        return Some(format!(
            "'{name}' is not a valid name: 1 to 64 letters, digits, '-', '_', '.' or ':'"
        ));
    }
    None
}
