//! Settings of a proxy.

use crate::hosts::invalid_name;
use crate::jsonnet::{self, SettingsError};
use crate::site::{Idempotency, Listener, check_duration, check_names};
use crate::units::{DurationSetting, Endpoint};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// All settings of a proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Name of the proxy.
    pub name: String,
    /// Zone of the proxy, one of `zones`.
    pub zone: String,
    /// All zones of the site.
    pub zones: Vec<String>,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Sockets on which controllers and operators use the runtime API.
    pub runtime_api: Vec<Listener>,
    /// Request classes: a request has the first one that it matches, and gets 404 if it matches none.
    #[serde(rename = "kinds")]
    pub request_classes: Vec<ProxyRequestClass>,
    /// The file that lists the hosts. It is read once, at the start, for the static table, which is used until a
    /// controller sends one.
    pub hosts_file: PathBuf,
    /// Maximum number of hosts of the static table.
    #[serde(rename = "standing_most", default = "default_max_static_hosts")]
    pub max_static_hosts: usize,
    /// How a host is picked from a table.
    #[serde(default)]
    pub pick: PickStrategy,
    /// When a host is ejected.
    #[serde(rename = "avoid", default)]
    pub ejection: EjectionSettings,
    /// Maximum number of retries as a fraction of first attempts.
    #[serde(rename = "further_tries", default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Limits of connections and requests.
    #[serde(default)]
    pub limits: Limits,
    /// Controllers that accept pushed reports.
    #[serde(rename = "report_to", default)]
    pub report_endpoints: Vec<Endpoint>,
    /// Interval between pushed reports.
    #[serde(rename = "report_every", default = "default_report_interval")]
    pub report_interval: DurationSetting,
    /// Seed for the static table and all random draws; if absent, it is taken from the clock.
    #[serde(default)]
    pub seed: Option<u64>,
}

/// A request class. A request matches it if it fits each condition that is given.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ProxyRequestClass {
    /// Unique name of the class.
    pub name: String,
    /// Prefix of the path.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Host of the request.
    #[serde(default)]
    pub host: Option<String>,
    /// Header of the request.
    #[serde(default)]
    pub header: Option<Header>,
    /// Latency objective.
    #[serde(rename = "response_target")]
    pub latency_objective: DurationSetting,
    /// Time after which its clients give up.
    pub client_timeout: DurationSetting,
    /// Priority weight.
    #[serde(rename = "benefit")]
    pub priority_weight: f64,
    /// Effect of processing one of its requests twice.
    #[serde(rename = "repeats")]
    pub idempotency: Idempotency,
    /// How long the hosts of a rack drop a repeat with the same idempotency key; required for
    /// [`Idempotency::ByKey`].
    #[serde(rename = "memory", default)]
    pub deduplication_window: Option<DurationSetting>,
}

/// A header with this value.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Name of the header.
    pub name: String,
    /// Value of the header.
    pub value: String,
}

/// How a host is picked from a table.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PickStrategy {
    /// At random, by weight.
    #[default]
    #[serde(rename = "weighted")]
    WeightedRandom,
    /// Round robin.
    #[serde(rename = "round")]
    RoundRobin,
    /// The better of two random choices.
    #[serde(rename = "two")]
    TwoChoices,
}

/// Ejection of hosts after consecutive failed attempts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EjectionSettings {
    /// Number of consecutive failures that ejects a host; 0 ejects none.
    #[serde(rename = "after")]
    pub consecutive_failures: u32,
    /// Minimum duration of an ejection.
    #[serde(rename = "least")]
    pub min_duration: DurationSetting,
    /// Maximum duration of an ejection.
    #[serde(rename = "most")]
    pub max_duration: DurationSetting,
    /// Maximum fraction of a table's hosts that may be ejected at the same time.
    #[serde(rename = "part")]
    pub max_ejected_fraction: f64,
    /// Time after which the record of a host without attempts is dropped.
    #[serde(rename = "remembered")]
    pub forget_after: DurationSetting,
}

/// Limits of connections and requests.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Time limit for connecting to a host.
    #[serde(rename = "connect")]
    pub connect_timeout: DurationSetting,
    /// Time limit of one attempt until the head of the response; if absent, the remaining time of the request.
    #[serde(rename = "response")]
    pub response_timeout: Option<DurationSetting>,
    /// Maximum number of the proxy's requests in flight at one host.
    #[serde(rename = "at_host")]
    pub max_in_flight_per_host: usize,
    /// Maximum number of waiting requests.
    #[serde(rename = "waiting")]
    pub max_waiting: usize,
    /// How long the last ready hosts stay in use when a table lists none.
    pub last_ready_for: DurationSetting,
    /// Maximum number of bytes of a request body that are kept for retries.
    #[serde(rename = "held_body")]
    pub max_retained_body_bytes: usize,
    /// Maximum size of a request head in bytes.
    #[serde(rename = "head")]
    pub max_head_bytes: usize,
    /// Time limit for receiving a request head.
    #[serde(rename = "head_within")]
    pub head_timeout: DurationSetting,
    /// Maximum number of client connections.
    #[serde(rename = "connections")]
    pub max_connections: usize,
    /// Time after which an idle connection to a host is closed.
    #[serde(rename = "idle_close")]
    pub idle_timeout: DurationSetting,
    /// How long draining waits for requests in flight.
    #[serde(rename = "drain_within")]
    pub drain_timeout: DurationSetting,
}

impl Default for EjectionSettings {
    fn default() -> EjectionSettings {
        EjectionSettings {
            consecutive_failures: 3,
            min_duration: DurationSetting::from_millis(2_000),
            max_duration: DurationSetting::from_millis(5_000),
            max_ejected_fraction: 0.5,
            forget_after: DurationSetting::from_millis(60_000),
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect_timeout: DurationSetting::from_millis(250),
            response_timeout: None,
            max_in_flight_per_host: 128,
            max_waiting: 512,
            last_ready_for: DurationSetting::from_millis(3_000),
            max_retained_body_bytes: 64 * 1024,
            max_head_bytes: 16 * 1024,
            head_timeout: DurationSetting::from_millis(5_000),
            max_connections: 10_000,
            idle_timeout: DurationSetting::from_millis(15_000),
            drain_timeout: DurationSetting::from_millis(10_000),
        }
    }
}

fn default_report_interval() -> DurationSetting {
    DurationSetting::from_millis(1_000)
}

fn default_max_static_hosts() -> usize {
    8
}

fn default_retry_ratio() -> f64 {
    0.2
}

impl ProxySettings {
    fn check(&self) -> Result<(), (String, String)> {
        let reject = |key: &str, reason: String| Err((key.to_string(), reason));
        if let Some(reason) = invalid_name(&self.name) {
            return reject("name", reason);
        }
        check_names("zones", self.zones.iter().map(String::as_str))?;
        check_duration("report_every", self.report_interval, 50, 60_000)?;
        check_names(
            "kinds",
            self.request_classes.iter().map(|class| class.name.as_str()),
        )?;
        if !self.zones.contains(&self.zone) {
            return reject(
                "zone",
                format!("'{}' is not one of the site's zones", self.zone),
            );
        }
        for (n, class) in self.request_classes.iter().enumerate() {
            let key = |key: &str| format!("kinds[{n}].{key}");
            if class.path_prefix.is_none() && class.host.is_none() && class.header.is_none() {
                return reject(
                    &key("name"),
                    "needs at least one of path_prefix, host and header".into(),
                );
            }
            check_duration(&key("client_timeout"), class.client_timeout, 10, 600_000)?;
            if class.client_timeout < class.latency_objective {
                return reject(
                    &key("client_timeout"),
                    "is less than response_target".into(),
                );
            }
            if class.idempotency == Idempotency::ByKey && class.deduplication_window.is_none() {
                return reject(&key("memory"), "is required for a uniqued kind".into());
            }
        }
        let check_fraction = |key: &str, value: f64| match value {
            value if (0.0..=1.0).contains(&value) => Ok(()),
            value => Err((key.to_string(), format!("{value} is not between 0 and 1"))),
        };
        check_fraction("further_tries", self.retry_ratio)?;
        check_fraction("avoid.part", self.ejection.max_ejected_fraction)?;
        if self.ejection.max_duration < self.ejection.min_duration {
            return reject("avoid.most", "is less than avoid.least".into());
        }
        let limits = &self.limits;
        check_duration("limits.connect", limits.connect_timeout, 1, 60_000)?;
        check_duration("limits.head_within", limits.head_timeout, 10, 600_000)?;
        let minimums = [
            ("limits.at_host", limits.max_in_flight_per_host, 1),
            ("limits.connections", limits.max_connections, 1),
            ("limits.head", limits.max_head_bytes, 8 * 1024),
            ("standing_most", self.max_static_hosts, 1),
        ];
        match minimums.into_iter().find(|(_, value, min)| value < min) {
            Some((key, value, min)) => reject(key, format!("{value} is less than {min}")),
            None => Ok(()),
        }
    }
}

/// Reads and checks the settings of a proxy. Relative paths in them start at the directory of the file.
///
/// # Errors
///
/// As for [`read_site`](crate::read_site).
pub fn read_proxy(file: &Path) -> Result<ProxySettings, SettingsError> {
    let mut settings: ProxySettings = jsonnet::read(file)?;
    settings
        .check()
        .map_err(|(key, reason)| SettingsError::InvalidKey {
            file: file.to_path_buf(),
            key,
            reason,
        })?;
    let directory = file.parent().unwrap_or(Path::new("")).to_path_buf();
    settings.hosts_file = directory.join(&settings.hosts_file);
    for listener in &mut settings.runtime_api {
        listener.listen = Endpoint::resolve_from(listener.listen.clone(), &directory);
    }
    settings.report_endpoints = settings
        .report_endpoints
        .into_iter()
        .map(|endpoint| endpoint.resolve_from(&directory))
        .collect();
    Ok(settings)
}
