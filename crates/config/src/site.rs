//! Settings of a controller.

pub use crate::dns_and_event_log::{DnsSettings, EventLogSettings, Secondary};
use crate::hosts::invalid_name;
use crate::jsonnet::{self, SettingsError};
use crate::units::{DurationSetting, Endpoint};
use ipnet::IpNet;
use pondarch_controller::{AdmissionMode, DeploymentConfig, RequestClass, RetryPolicy};
use pondarch_runtime_api::Level;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// All settings of a controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// Name of the controller, which marks the proxies that it has joined.
    pub name: String,
    /// All zones of the site.
    pub zones: Vec<String>,
    /// All request classes.
    #[serde(rename = "kinds")]
    pub request_classes: Vec<RequestClassSettings>,
    /// The proxies of this controller.
    pub proxies: Vec<ProxyEntry>,
    /// Number of proxies of all controllers of the site; if absent, that of `proxies`.
    #[serde(rename = "proxies_of_site", default)]
    pub site_proxy_count: Option<u64>,
    /// The file that lists the hosts.
    pub hosts_file: PathBuf,
    /// Limits of the updates that are sent to proxies.
    #[serde(rename = "channel")]
    pub update_channel: UpdateChannelSettings,
    /// How load reports arrive.
    #[serde(rename = "reports", default)]
    pub load_reports: LoadReportSettings,
    /// Slow start of hosts that are warming up.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartSettings,
    /// Health checks; if absent, there are none.
    #[serde(rename = "probes", default)]
    pub health_checks: Option<HealthCheckSettings>,
    /// Time limits of the connections to proxies.
    #[serde(rename = "links", default)]
    pub proxy_connections: ProxyConnectionSettings,
    /// How proxies are told what to admit.
    #[serde(default)]
    pub admission: AdmissionSetting,
    /// Cost of cross-zone requests: the fraction of the service that counts as lost when each request crosses zones
    /// once.
    #[serde(rename = "crossing_price", default)]
    pub cross_zone_cost: f64,
    /// A host that leaves the list without draining may be used while it still answers.
    #[serde(rename = "dropped_is_no_drain", default)]
    pub removal_is_advisory: bool,
    /// Where the weights of hosts come from.
    #[serde(rename = "weights", default)]
    pub weight_source: WeightSource,
    /// The event log; if absent, nothing is logged.
    #[serde(rename = "records", default)]
    pub event_log: Option<EventLogSettings>,
    /// The DNS server; if absent, there is none.
    #[serde(default)]
    pub dns: Option<DnsSettings>,
    /// Sockets on which operators use the runtime API.
    #[serde(default)]
    pub runtime_api: Vec<Listener>,
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClassSettings {
    /// Unique name of the class.
    pub name: String,
    /// Name of its backend at the proxies; if absent, that of the class.
    #[serde(default)]
    pub backend: Option<String>,
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
    /// Only hosts in the zone of the proxy may serve it.
    #[serde(rename = "own_zone", default)]
    pub zone_local: bool,
}

/// Effect of processing the same request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Idempotency {
    /// None: any host may process it again.
    #[serde(rename = "replayable")]
    Idempotent,
    /// None within a rack: its hosts drop a repeat with the same idempotency key.
    #[serde(rename = "uniqued")]
    ByKey,
    /// It must not be processed twice.
    #[serde(rename = "non-replayable")]
    NotIdempotent,
}

/// A proxy of the controller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyEntry {
    /// Unique name of the proxy.
    pub name: String,
    /// Zone of the proxy, one of the site's zones.
    pub zone: String,
    /// Its runtime API; if absent, it gets its tables by DNS.
    #[serde(rename = "runtime", default)]
    pub runtime_api: Option<Endpoint>,
    /// Networks from which it sends DNS queries, for queries whose name does not identify the proxy.
    #[serde(rename = "sources", default)]
    pub dns_source_networks: Vec<IpNet>,
    /// Rough number of requests per second that it usually gets.
    #[serde(rename = "usual_rate", default)]
    pub typical_request_rate: f64,
}

/// Limits of the updates that a controller sends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpdateChannelSettings {
    /// Maximum rate of commands.
    #[serde(rename = "lines_per_second")]
    pub commands_per_second: f64,
    /// Maximum number of waiting commands: sent and not acknowledged, or due and not sent.
    #[serde(rename = "most_waiting")]
    pub max_waiting_commands: f64,
    /// Cost of a message in lines, besides its commands.
    #[serde(
        rename = "lines_per_message",
        default = "default_message_overhead_lines"
    )]
    pub message_overhead_lines: f64,
    /// Maximum number of messages with updates to one proxy within the window; 0 is no limit.
    #[serde(rename = "message_cap")]
    pub max_messages_per_window: u64,
    /// Length of the window.
    pub message_window: DurationSetting,
}

/// How load reports arrive.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadReportSettings {
    /// Interval of `show stat` at each proxy that does not push reports.
    #[serde(rename = "every")]
    pub interval: DurationSetting,
    /// Where proxies and hosts may push reports; if absent, nowhere.
    #[serde(rename = "push")]
    pub push_endpoint: Option<Endpoint>,
    /// Maximum rate of lines about hosts that decisions take; if absent, all are taken.
    #[serde(rename = "lines_per_second")]
    pub max_lines_per_second: Option<f64>,
}

/// Slow start of hosts that are warming up.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowStartSettings {
    /// Fraction of its capacity that a host has at least when it starts.
    #[serde(rename = "start_share")]
    pub initial_capacity: f64,
    /// Time until it has its full capacity.
    #[serde(rename = "warm_within")]
    pub window: DurationSetting,
}

/// Health checks of hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthCheckSettings {
    /// Path that is requested.
    #[serde(default = "default_health_check_path")]
    pub path: String,
    /// Time after which a health check has failed.
    #[serde(rename = "time_limit", default = "default_health_check_timeout")]
    pub timeout: DurationSetting,
    /// Interval at which each host is asked for its load; if absent, loads come only with health checks.
    #[serde(rename = "load_every", default)]
    pub load_interval: Option<DurationSetting>,
}

/// Time limits of the connections to proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyConnectionSettings {
    /// Time after which a proxy that has not replied to a command counts as gone.
    #[serde(rename = "answer_limit")]
    pub reply_timeout: DurationSetting,
    /// Time limit for establishing a connection.
    #[serde(rename = "dial_limit")]
    pub connect_timeout: DurationSetting,
    /// Minimum backoff between two attempts to connect.
    #[serde(rename = "redial_least")]
    pub min_reconnect_backoff: DurationSetting,
    /// Maximum backoff between two attempts to connect.
    #[serde(rename = "redial_most")]
    pub max_reconnect_backoff: DurationSetting,
}

/// How proxies are told what to admit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdmissionSetting {
    /// As a fraction of the requests.
    #[default]
    Share,
    /// As a rate.
    Rate,
    /// Not at all: everything is admitted.
    Off,
}

/// Where the weights of hosts come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WeightSource {
    /// From the list of hosts.
    #[default]
    Listed,
    /// From a solver, within the capacities of the hosts.
    Solved,
}

/// A socket of the runtime API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// Where it listens.
    pub listen: Endpoint,
    /// Level of its connections.
    #[serde(default)]
    pub level: ListenerLevel,
}

/// Level of the connections of a listener; each one includes those before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListenerLevel {
    /// [`Level::User`].
    User,
    /// [`Level::Operator`].
    #[default]
    Operator,
    /// [`Level::Admin`].
    Admin,
}

impl From<ListenerLevel> for Level {
    fn from(level: ListenerLevel) -> Level {
        match level {
            ListenerLevel::User => Level::User,
            ListenerLevel::Operator => Level::Operator,
            ListenerLevel::Admin => Level::Admin,
        }
    }
}

impl Default for LoadReportSettings {
    fn default() -> LoadReportSettings {
        LoadReportSettings {
            interval: DurationSetting::from_millis(1_000),
            push_endpoint: None,
            max_lines_per_second: None,
        }
    }
}

impl Default for ProxyConnectionSettings {
    fn default() -> ProxyConnectionSettings {
        ProxyConnectionSettings {
            reply_timeout: DurationSetting::from_millis(2_000),
            connect_timeout: DurationSetting::from_millis(1_000),
            min_reconnect_backoff: DurationSetting::from_millis(100),
            max_reconnect_backoff: DurationSetting::from_millis(5_000),
        }
    }
}

fn default_message_overhead_lines() -> f64 {
    3.0
}

fn default_health_check_path() -> String {
    "/".into()
}

fn default_health_check_timeout() -> DurationSetting {
    DurationSetting::from_millis(400)
}

impl RequestClassSettings {
    /// Name of its backend at the proxies.
    pub fn backend(&self) -> &str {
        self.backend.as_deref().unwrap_or(&self.name)
    }
}

impl SiteSettings {
    /// The configuration of the decisions.
    ///
    /// Decisions count update lines, one for each host of a table. Each line is written as up to two commands per
    /// request class, so limits in commands are divided by that number.
    pub fn deployment_config(&self) -> DeploymentConfig {
        let commands_per_line = 2.0 * self.request_classes.len() as f64;
        let request_class = |class: &RequestClassSettings| RequestClass {
            latency_objective: class.latency_objective.0,
            priority_weight: class.priority_weight,
            zone_local: class.zone_local,
        };
        DeploymentConfig {
            request_classes: self.request_classes.iter().map(request_class).collect(),
            proxy_count: self.site_proxy_count.unwrap_or(self.proxies.len() as u64),
            zone_count: self.zones.len() as u16,
            base_retry_policy: Some(RetryPolicy::Never),
            admission: match self.admission {
                AdmissionSetting::Share => AdmissionMode::Fraction,
                AdmissionSetting::Rate => AdmissionMode::Rate,
                AdmissionSetting::Off => AdmissionMode::Off,
            },
            update_rate: self.update_channel.commands_per_second / commands_per_line,
            max_queued_lines: self.update_channel.max_waiting_commands / commands_per_line,
            message_overhead_lines: self.update_channel.message_overhead_lines,
            max_messages_per_window: self.update_channel.max_messages_per_window,
            message_window: self.update_channel.message_window.0,
            health_checks: self.health_checks.is_some(),
            report_interval: self.load_reports.interval.0,
            initial_capacity: self.slow_start.initial_capacity,
            slow_start_window: self.slow_start.window.0,
            removal_is_advisory: self.removal_is_advisory,
            cross_zone_cost: self.cross_zone_cost,
            ..DeploymentConfig::default()
        }
    }

    fn check(&self) -> Result<(), (String, String)> {
        let reject = |key: &str, reason: String| Err((key.to_string(), reason));
        let check_range = |key: &str, value: f64, min: f64, max: f64| match value {
            value if (min..=max).contains(&value) => Ok(()),
            value => reject(key, format!("{value} is not between {min} and {max}")),
        };
        if let Some(reason) = invalid_name(&self.name) {
            return reject("name", reason);
        }
        check_names("zones", self.zones.iter().map(String::as_str))?;
        check_names(
            "kinds",
            self.request_classes.iter().map(|class| class.name.as_str()),
        )?;
        check_names(
            "proxies",
            self.proxies.iter().map(|proxy| proxy.name.as_str()),
        )?;
        if self.request_classes.len() > 16 {
            return reject(
                "kinds",
                format!("has {} entries; 16 at most", self.request_classes.len()),
            );
        }
        if self.proxies.len() > 60_000 {
            return reject(
                "proxies",
                format!("has {} entries; 60000 at most", self.proxies.len()),
            );
        }
        let mut backends = BTreeSet::new();
        for (n, class) in self.request_classes.iter().enumerate() {
            let key = |key: &str| format!("kinds[{n}].{key}");
            if !backends.insert(class.backend()) {
                return reject(
                    &key("backend"),
                    format!("'{}' is the backend of another kind too", class.backend()),
                );
            }
            if class.latency_objective.0.as_micros() == 0 {
                return reject(&key("response_target"), "must not be zero".into());
            }
            if class.client_timeout < class.latency_objective {
                let (objective, timeout) = (class.latency_objective, class.client_timeout);
                return reject(
                    &key("client_timeout"),
                    format!("{timeout} is less than response_target, {objective}"),
                );
            }
            check_range(&key("benefit"), class.priority_weight, 0.0, 1e9)?;
        }
        let mut endpoints = BTreeSet::new();
        for (n, proxy) in self.proxies.iter().enumerate() {
            if !self.zones.contains(&proxy.zone) {
                let zones = self.zones.join(", ");
                let text = format!("'{}' is not one of the site's zones: {zones}", proxy.zone);
                return reject(&format!("proxies[{n}].zone"), text);
            }
            match &proxy.runtime_api {
                Some(endpoint) if !endpoints.insert(endpoint) => {
                    let text = format!("'{endpoint}' is the endpoint of another proxy too");
                    return reject(&format!("proxies[{n}].runtime"), text);
                }
                None if self.dns.is_none() => {
                    return reject(
                        &format!("proxies[{n}].runtime"),
                        "is absent, and there is no dns".into(),
                    );
                }
                _ => {}
            }
            check_range(
                &format!("proxies[{n}].usual_rate"),
                proxy.typical_request_rate,
                0.0,
                1e9,
            )?;
        }
        if self
            .site_proxy_count
            .is_some_and(|count| count < self.proxies.len() as u64)
        {
            return reject(
                "proxies_of_site",
                "is less than the number of proxies listed here".into(),
            );
        }
        let channel = &self.update_channel;
        check_range(
            "channel.lines_per_second",
            channel.commands_per_second,
            1.0,
            1e9,
        )?;
        check_range(
            "channel.lines_per_message",
            channel.message_overhead_lines,
            0.0,
            1e3,
        )?;
        // The updates for one joining proxy must fit: the smallest table for each request class, and the maps.
        let join_commands =
            channel.message_overhead_lines + 10.0 * self.request_classes.len() as f64;
        check_range(
            "channel.most_waiting",
            channel.max_waiting_commands,
            join_commands,
            1e9,
        )?;
        if (1..6).contains(&channel.max_messages_per_window) {
            return reject(
                "channel.message_cap",
                "must be 0 (no limit) or at least 6: enough for a join, drains and a change".into(),
            );
        }
        if channel.max_messages_per_window > 0 && channel.message_window.0.as_micros() == 0 {
            return reject("channel.message_window", "must not be zero".into());
        }
        check_duration("reports.every", self.load_reports.interval, 50, 60_000)?;
        if let Some(lines) = self.load_reports.max_lines_per_second {
            check_range("reports.lines_per_second", lines, 1.0, 1e6)?;
        }
        check_range(
            "cold.start_share",
            self.slow_start.initial_capacity,
            0.01,
            1.0,
        )?;
        check_range("crossing_price", self.cross_zone_cost, 0.0, 1.0)?;
        if let Some(dns) = &self.dns {
            check_range("dns.answers_per_second", dns.answers_per_second, 0.1, 1e6)?;
            if let Err(text) = dns.answer_lifetime() {
                return reject("dns.grace", text.to_string());
            }
            check_duration("dns.behind", dns.max_secondary_lag, 100, 60_000)?;
            check_duration("dns.expires", dns.secondary_expiry, 2_000, 86_400_000)?;
            let mut keys = BTreeSet::new();
            if let Some(n) = dns
                .secondaries
                .iter()
                .position(|secondary| !keys.insert(&secondary.key_name))
            {
                let text = format!(
                    "'{}' is the key of another secondary too",
                    dns.secondaries[n].key_name
                );
                return reject(&format!("dns.secondaries[{n}].key"), text);
            }
        }
        if let Some(event_log) = &self.event_log {
            let check_bytes = |key: &str, bytes: u64, min: u64| {
                let text = format!("{bytes} is less than {min}");
                if bytes < min {
                    Err((format!("records.{key}"), text))
                } else {
                    Ok(())
                }
            };
            check_bytes("segment_bytes", event_log.segment_bytes, 1 << 16)?;
            check_bytes(
                "all_bytes",
                event_log.max_total_bytes,
                2 * event_log.segment_bytes,
            )?;
            check_range("records.kept_days", event_log.retention_days, 0.01, 3_650.0)?;
            check_duration("records.sure_within", event_log.sync_within, 10, 60_000)?;
            check_duration(
                "records.snapshot_every",
                event_log.snapshot_interval,
                100,
                3_600_000,
            )?;
        }
        let connections = &self.proxy_connections;
        check_duration("links.answer_limit", connections.reply_timeout, 50, 60_000)?;
        check_duration("links.dial_limit", connections.connect_timeout, 10, 60_000)?;
        check_duration(
            "links.redial_least",
            connections.min_reconnect_backoff,
            10,
            60_000,
        )?;
        if connections.max_reconnect_backoff < connections.min_reconnect_backoff {
            return reject(
                "links.redial_most",
                format!(
                    "is less than redial_least, {}",
                    connections.min_reconnect_backoff
                ),
            );
        }
        if let Some(health_checks) = &self.health_checks {
            check_duration("probes.time_limit", health_checks.timeout, 1, 60_000)?;
            if let Some(interval) = health_checks.load_interval {
                check_duration("probes.load_every", interval, 50, 60_000)?;
            }
            if !health_checks.path.starts_with('/')
                || health_checks.path.contains(char::is_whitespace)
            {
                return reject(
                    "probes.path",
                    format!(
                        "'{}' is not a path: it must start with '/' and have no spaces",
                        health_checks.path
                    ),
                );
            }
        }
        Ok(())
    }
}

/// Rejects a duration that is out of range.
pub(crate) fn check_duration(
    key: &str,
    value: DurationSetting,
    min_ms: u64,
    max_ms: u64,
) -> Result<(), (String, String)> {
    let (min, max) = (
        DurationSetting::from_millis(min_ms),
        DurationSetting::from_millis(max_ms),
    );
    match value {
        value if (min..=max).contains(&value) => Ok(()),
        value => Err((
            key.to_string(),
            format!("{value} is not between {min} and {max}"),
        )),
    }
}

/// Rejects an invalid or repeated name, and an empty list of names.
pub(crate) fn check_names<'a>(
    key: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), (String, String)> {
    let mut seen = BTreeSet::new();
    for (n, name) in names.enumerate() {
        let reason = match invalid_name(name) {
            None if seen.insert(name) => continue,
            None => format!("'{name}' is listed twice"),
            Some(reason) => reason,
        };
        return Err((format!("{key}[{n}]"), reason));
    }
    if seen.is_empty() {
        Err((key.to_string(), "must not be empty".into()))
    } else {
        Ok(())
    }
}

/// Reads and checks the settings of a controller. Relative paths in them start at the directory of the file.
///
/// # Errors
///
/// The file cannot be read or evaluated (the message has file and line); or a key is unknown, missing or of the wrong
/// type, or a figure is out of range (the message has file and path of the key).
pub fn read_site(file: &Path) -> Result<SiteSettings, SettingsError> {
    read_site_with_json(file).map(|(site, _)| site)
}

/// As [`read_site`], with the evaluated settings as JSON for [`site_from_json`].
///
/// # Errors
///
/// As for [`read_site`].
pub fn read_site_with_json(file: &Path) -> Result<(SiteSettings, String), SettingsError> {
    let json = jsonnet::evaluate(file)?;
    let mut site: SiteSettings = parse_and_check(file, &json)?;
    let directory = file.parent().unwrap_or(Path::new("")).to_path_buf();
    site.hosts_file = directory.join(&site.hosts_file);
    for proxy in &mut site.proxies {
        proxy.runtime_api = proxy
            .runtime_api
            .take()
            .map(|endpoint| endpoint.resolve_from(&directory));
    }
    site.load_reports.push_endpoint = site
        .load_reports
        .push_endpoint
        .take()
        .map(|endpoint| endpoint.resolve_from(&directory));
    for secondary in site.dns.iter_mut().flat_map(|dns| &mut dns.secondaries) {
        secondary.secret_file = directory.join(&secondary.secret_file);
    }
    for listener in &mut site.runtime_api {
        listener.listen = listener.listen.clone().resolve_from(&directory);
    }
    if let Some(event_log) = &mut site.event_log {
        event_log.directory = directory.join(&event_log.directory);
    }
    Ok((site, json))
}

/// Checks settings that were evaluated before. Relative paths stay as they are.
///
/// # Errors
///
/// A key is unknown, missing or of the wrong type, or a figure is out of range.
pub fn site_from_json(json: &str) -> Result<SiteSettings, SettingsError> {
    parse_and_check(Path::new("settings"), json)
}

fn parse_and_check(file: &Path, json: &str) -> Result<SiteSettings, SettingsError> {
    let site: SiteSettings = jsonnet::parse(file, json)?;
    site.check()
        .map_err(|(key, reason)| SettingsError::InvalidKey {
            file: file.to_path_buf(),
            key,
            reason,
        })?;
    Ok(site)
}
