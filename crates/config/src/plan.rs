//! Settings of a fleet and its demand, for planning.

use crate::jsonnet::{self, SettingsError};
use crate::site::check_names;
use crate::units::DurationSetting;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// A fleet and its demand.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanSettings {
    /// All zones.
    pub zones: Vec<String>,
    /// All request classes.
    #[serde(rename = "kinds")]
    pub request_classes: Vec<PlanRequestClass>,
    /// Groups of identical hosts.
    pub hosts: Vec<PlanHosts>,
    /// Requests per second by zone and request class that any host may serve; 0 where absent.
    #[serde(default)]
    pub demand: BTreeMap<String, BTreeMap<String, f64>>,
    /// Tables, for proxies that are bound to only some of the hosts.
    #[serde(default)]
    pub tables: BTreeMap<String, PlanTable>,
    /// Cost of a cross-zone request, as a fraction of the mean priority weight of a request.
    #[serde(rename = "crossing_price", default)]
    pub cross_zone_cost: f64,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequestClass {
    /// Unique name of the class.
    pub name: String,
    /// Time that a core of speed 1 works on one request.
    #[serde(rename = "work")]
    pub work_per_request: DurationSetting,
    /// Latency objective.
    #[serde(rename = "response_target")]
    pub latency_objective: DurationSetting,
    /// Priority weight.
    #[serde(rename = "benefit")]
    pub priority_weight: f64,
}

/// A group of identical hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanHosts {
    /// Unique name of the group.
    pub name: String,
    /// Zone of the hosts.
    pub zone: String,
    /// Number of hosts.
    #[serde(default = "default_count")]
    pub count: usize,
    /// Cores of each host.
    #[serde(default = "default_unit")]
    pub cores: f64,
    /// Relative speed of its cores.
    #[serde(default = "default_unit")]
    pub speed: f64,
    /// Maximum number of requests that it processes at the same time; if absent, its number of cores.
    #[serde(rename = "connections", default)]
    pub max_concurrent_requests: Option<f64>,
    /// Current fraction of its capacity; less than 1 while it is warming up.
    #[serde(rename = "warm", default = "default_unit")]
    pub capacity_fraction: f64,
    /// Work per second that other clients of the host cause, in seconds of a core of speed 1.
    #[serde(rename = "taken", default)]
    pub other_load: f64,
    /// Age of the figure `other_load`.
    #[serde(rename = "taken_age", default)]
    pub other_load_age: DurationSetting,
}

/// Some of the hosts, and the demand of the proxies that are bound to them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanTable {
    /// Names of groups of hosts.
    pub hosts: Vec<String>,
    /// Requests per second by zone and request class.
    pub demand: BTreeMap<String, BTreeMap<String, f64>>,
}

fn default_unit() -> f64 {
    1.0
}

fn default_count() -> usize {
    1
}

/// Reads a fleet and its demand. Most figures are checked where they are used.
///
/// # Errors
///
/// As for [`read_site`](crate::read_site); also a zone, request class or group of hosts that is not listed, or a
/// repeated name.
pub fn read_plan(file: &Path) -> Result<PlanSettings, SettingsError> {
    let settings: PlanSettings = jsonnet::read(file)?;
    settings
        .check()
        .map_err(|(key, reason)| SettingsError::InvalidKey {
            file: file.to_path_buf(),
            key,
            reason,
        })?;
    Ok(settings)
}

impl PlanSettings {
    fn check(&self) -> Result<(), (String, String)> {
        check_names("zones", self.zones.iter().map(String::as_str))?;
        check_names(
            "kinds",
            self.request_classes.iter().map(|class| class.name.as_str()),
        )?;
        check_names("hosts", self.hosts.iter().map(|hosts| hosts.name.as_str()))?;
        let is_listed = |zone: &String| self.zones.contains(zone);
        let reject_unknown = |key: String, name: &String, list: &str| {
            Err((key, format!("'{name}' is not one of the {list}")))
        };
        if let Some((n, hosts)) = self
            .hosts
            .iter()
            .enumerate()
            .find(|(_, hosts)| !is_listed(&hosts.zone))
        {
            return reject_unknown(format!("hosts[{n}].zone"), &hosts.zone, "zones");
        }
        if let Some(n) = self
            .hosts
            .iter()
            .position(|hosts| !(1..=20_000).contains(&hosts.count))
        {
            return Err((
                format!("hosts[{n}].count"),
                "is not between 1 and 20000".into(),
            ));
        }
        self.check_demand("demand", &self.demand)?;
        for (name, table) in &self.tables {
            let is_unknown = |name: &&String| !self.hosts.iter().any(|hosts| hosts.name == **name);
            if let Some(host) = table.hosts.iter().find(is_unknown) {
                return reject_unknown(format!("tables.{name}.hosts"), host, "hosts");
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
                    format!("'{zone}' is not one of the zones"),
                ));
            }
            let is_unknown = |name: &&String| {
                !self
                    .request_classes
                    .iter()
                    .any(|class| class.name == **name)
            };
            if let Some(class) = rates.keys().find(is_unknown) {
                return Err((
                    format!("{key}.{zone}.{class}"),
                    format!("'{class}' is not one of the kinds"),
                ));
            }
        }
        Ok(())
    }
}
