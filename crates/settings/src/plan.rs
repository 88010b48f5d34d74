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
    /// Reqs a second by zone and kind; what is not named is not asked for.
    pub demand: BTreeMap<String, BTreeMap<String, f64>>,
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
    /// The part of its work that it can do now: under 1 while it is cold.
    #[serde(default = "one")]
    pub warm: f64,
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
    site.check().map_err(|(key, wrong)| SettingsError::Key { file: file.to_path_buf(), key, wrong })?;
    Ok(site)
}

impl PlanSite {
    fn check(&self) -> Result<(), (String, String)> {
        names("zones", self.zones.iter().map(String::as_str))?;
        names("kinds", self.kinds.iter().map(|kind| kind.name.as_str()))?;
        names("hosts", self.hosts.iter().map(|hosts| hosts.name.as_str()))?;
        let known = |zone: &String| self.zones.contains(zone);
        let unknown =
            |key: String, name: &String, of: &str| Err((key, format!("'{name}' is none of the {of}")));
        if let Some((n, hosts)) = self.hosts.iter().enumerate().find(|(_, hosts)| !known(&hosts.zone)) {
            return unknown(format!("hosts[{n}].zone"), &hosts.zone, "zones");
        }
        if let Some(n) = self.hosts.iter().position(|hosts| !(1..=20_000).contains(&hosts.count)) {
            return Err((format!("hosts[{n}].count"), "is not within 1 and 20000".into()));
        }
        for (zone, rates) in &self.demand {
            if !known(zone) {
                return unknown(format!("demand.{zone}"), zone, "zones");
            }
            let named = |kind: &&String| !self.kinds.iter().any(|of| of.name == **kind);
            if let Some(kind) = rates.keys().find(named) {
                return unknown(format!("demand.{zone}.{kind}"), kind, "kinds");
            }
        }
        Ok(())
    }
}
