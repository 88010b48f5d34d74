//! The file that lists the hosts: `{ version: 7, hosts: [{ name, address, zone, ... }] }`.

use crate::jsonnet::{self, SettingsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// What the file says of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// The small group that drops repeats of a uniqued req.
    #[serde(default)]
    pub rack: String,
    #[serde(default)]
    pub machine: String,
    #[serde(default = "one")]
    pub weight: f64,
    /// Absent: the weight counts as cores of the usual speed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cores: Option<f64>,
    /// When its process last started, in seconds since 1970; absent: not known.
    #[serde(default)]
    pub started: Option<f64>,
    #[serde(default)]
    pub state: HostState,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    #[default]
    Ready,
    Drain,
    Gone,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsFile {
    /// Rises with every change; a file with a lower one than the last is refused. Absent: every change counts.
    #[serde(default)]
    pub version: Option<u64>,
    pub hosts: Vec<HostEntry>,
}

fn one() -> f64 {
    1.0
}

/// Reads and checks a list of hosts for a site with these zones.
///
/// Errors: as `read_site`; a zone the settings do not name, a name used twice, a weight or time out of range.
pub fn read_hosts(file: &Path, zones: &[String]) -> Result<HostsFile, SettingsError> {
    let list: HostsFile = jsonnet::read(file)?;
    let mut names = BTreeSet::new();
    for (n, host) in list.hosts.iter().enumerate() {
        let wrong = if !names.insert(&host.name) {
            Some(("name", format!("'{}' is listed twice", host.name)))
        } else if let Some(wrong) = bad_name(&host.name) {
            Some(("name", wrong))
        } else if !zones.contains(&host.zone) {
            Some((
                "zone",
                format!(
                    "'{}' is none of the site's zones: {}",
                    host.zone,
                    zones.join(", ")
                ),
            ))
        } else if !(host.weight > 0.0 && host.weight <= 1e6) {
            Some((
                "weight",
                format!("{} is not within 0 (excluded) and 1000000", host.weight),
            ))
        } else if host
            .cores
            .is_some_and(|cores| !(1e-3..=4_096.0).contains(&cores))
        {
            Some(("cores", "is not within 0.001 and 4096".to_string()))
        } else if host.started.is_some_and(|at| !(at > 0.0 && at < 4e9)) {
            Some(("started", "is no time in seconds since 1970".to_string()))
        } else {
            None
        };
        if let Some((key, wrong)) = wrong {
            return Err(SettingsError::Key {
                file: file.into(),
                key: format!("hosts[{n}].{key}"),
                wrong,
            });
        }
    }
    Ok(list)
}

/// What is wrong with a name, if anything: names stand in runtime commands as `<backend>/<server>` and in answers
/// between blanks.
pub fn bad_name(name: &str) -> Option<String> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(fits) {
        return Some(format!(
            "'{name}' is no name: 1 to 64 letters, digits, '-', '_', '.' or ':'"
        ));
    }
    None
}
