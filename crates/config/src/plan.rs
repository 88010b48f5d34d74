//! A described fleet and what is asked of it, for planning.

use crate::jsonnet::{self, SettingsError};
use crate::site::names;
use crate::units::Length;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSite {
    pub zones: Vec<String>,
    pub kinds: Vec<PlanKind>,
    pub hosts: Vec<PlanHosts>,
    /// Reqs a second by zone and kind, that any host may serve; what is not named is not asked for.
    #[serde(default)]
    pub demand: BTreeMap<String, BTreeMap<String, f64>>,
    /// Tables, if proxies are bound to some of the hosts only.
    #[serde(default)]
    pub tables: BTreeMap<String, PlanTable>,
    #[serde(default)]
    pub crossing_price: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanKind {
    pub name: String,
    /// Time of one core of speed 1.
    pub work: Length,
    pub response_target: Length,
    pub benefit: f64,
}

/// Some hosts alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanHosts {
    pub name: String,
    pub zone: String,
    #[serde(default = "one_host")]
    pub count: usize,
    #[serde(default = "one")]
    pub cores: f64,
    #[serde(default = "one")]
    pub speed: f64,
    /// Reqs that it works on at one time at most; absent: as many as it has cores.
    #[serde(default)]
    pub connections: Option<f64>,
    /// The part of its work that it can do now: under 1 while it is cold.
    #[serde(default = "one")]
    pub warm: f64,
    /// Work a second that others bring it, in seconds of a core of speed 1, and how old that figure is.
    #[serde(default)]
    pub taken: f64,
    #[serde(default)]
    pub taken_age: Length,
}

/// Some hosts, by their names above, and what their proxies are asked for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanTable {
    pub hosts: Vec<String>,
    pub demand: BTreeMap<String, BTreeMap<String, f64>>,
}

fn one() -> f64 {
    1.0
}

fn one_host() -> usize {
    1
}

/// Reads a described fleet. Figures are checked where they are used.
///
/// Errors: as `read_site`; a zone or kind that is not named, a name used twice.
pub fn read_plan(file: &Path) -> Result<PlanSite, SettingsError> {
    let site: PlanSite = jsonnet::read(file)?;
    site.check().map_err(|(key, wrong)| SettingsError::Key {
        file: file.to_path_buf(),
        key,
        wrong,
    })?;
    Ok(site)
}

impl PlanSite {
    fn check(&self) -> Result<(), (String, String)> {
        names("zones", self.zones.iter().map(String::as_str))?;
        names("kinds", self.kinds.iter().map(|kind| kind.name.as_str()))?;
        names("hosts", self.hosts.iter().map(|hosts| hosts.name.as_str()))?;
        let known = |zone: &String| self.zones.contains(zone);
        let unknown = |key: String, name: &String, of: &str| {
            Err((key, format!("'{name}' is none of the {of}")))
        };
        if let Some((n, hosts)) = self
            .hosts
            .iter()
            .enumerate()
            .find(|(_, hosts)| !known(&hosts.zone))
        {
            return unknown(format!("hosts[{n}].zone"), &hosts.zone, "zones");
        }
        if let Some(n) = self
            .hosts
            .iter()
            .position(|hosts| !(1..=20_000).contains(&hosts.count))
        {
            return Err((
                format!("hosts[{n}].count"),
                "is not within 1 and 20000".into(),
            ));
        }
        self.check_demand("demand", &self.demand)?;
        for (name, table) in &self.tables {
            let listed = |host: &&String| !self.hosts.iter().any(|of| of.name == **host);
            if let Some(host) = table.hosts.iter().find(listed) {
                return unknown(format!("tables.{name}.hosts"), host, "hosts");
            }
            self.check_demand(&format!("tables.{name}.demand"), &table.demand)?;
        }
        Ok(())
    }

    fn check_demand(
        &self,
        key: &str,
        demand: &BTreeMap<String, BTreeMap<String, f64>>,
    ) -> Result<(), (String, String)> {
        for (zone, rates) in demand {
            if !self.zones.contains(zone) {
                return Err((
                    format!("{key}.{zone}"),
                    format!("'{zone}' is none of the zones"),
                ));
            }
            let named = |kind: &&String| !self.kinds.iter().any(|of| of.name == **kind);
            if let Some(kind) = rates.keys().find(named) {
                return Err((
                    format!("{key}.{zone}.{kind}"),
                    format!("'{kind}' is none of the kinds"),
                ));
            }
        }
        Ok(())
    }
}
