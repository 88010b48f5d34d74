//! What a steward is told of its site.

pub use crate::fronts::{Dns, Records, Secondary};
use crate::hosts::bad_name;
use crate::jsonnet::{self, SettingsError};
use crate::units::{Endpoint, Length};
use ipnet::IpNet;
use pondarch_controller::{AdmissionMode, DeploymentConfig, RequestClass, RetryPolicy};
use pondarch_runtime_api::Level;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// All of a steward's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The steward's own name; it marks the proxies that it joined.
    pub name: String,
    pub zones: Vec<String>,
    pub kinds: Vec<Kind>,
    pub proxies: Vec<Proxy>,
    /// Proxies of the whole site, over all stewards; absent: those listed here.
    #[serde(default)]
    pub proxies_of_site: Option<u64>,
    pub hosts_file: PathBuf,
    pub channel: Channel,
    #[serde(default)]
    pub reports: Reports,
    pub cold: Cold,
    #[serde(default)]
    pub probes: Option<Probes>,
    #[serde(default)]
    pub links: Links,
    #[serde(default)]
    pub admission: AdmissionBy,
    /// Points of service in 100 that a crossing of zones costs when each req crosses once.
    #[serde(default)]
    pub crossing_price: f64,
    /// A host that the list merely drops, without a drain, binds nobody while it answers.
    #[serde(default)]
    pub dropped_is_no_drain: bool,
    /// Whether the list's weights are used as they are, or as a solver sets them under what hosts can do.
    #[serde(default)]
    pub weights: Weights,
    /// What is recorded, and where; absent: nothing.
    #[serde(default)]
    pub records: Option<Records>,
    /// The DNS front; absent: none.
    #[serde(default)]
    pub dns: Option<Dns>,
    /// Where operators reach the steward.
    #[serde(default)]
    pub runtime_api: Vec<Listener>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    /// The proxies' backend for this kind; absent: of the same name.
    #[serde(default)]
    pub backend: Option<String>,
    pub response_target: Length,
    pub client_timeout: Length,
    pub benefit: f64,
    pub repeats: Repeats,
    /// Only hosts of the proxy's zone may serve it.
    #[serde(default)]
    pub own_zone: bool,
}

/// What a second run of the same req does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeats {
    Replayable,
    Uniqued,
    NonReplayable,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proxy {
    pub name: String,
    pub zone: String,
    /// Its runtime API; absent: it takes its tables from the DNS front.
    #[serde(default)]
    pub runtime: Option<Endpoint>,
    /// Nets from which its DNS queries come, if their names do not say which proxy asks.
    #[serde(default)]
    pub sources: Vec<IpNet>,
    /// Reqs a second that it usually gets; rough.
    #[serde(default)]
    pub usual_rate: f64,
}

/// What a steward may send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Channel {
    /// Commands a second.
    pub lines_per_second: f64,
    /// Most commands that may wait: written, and not answered yet, or due and not written.
    pub most_waiting: f64,
    /// What a message counts beside its commands.
    #[serde(default = "three")]
    pub lines_per_message: f64,
    /// Messages with orders to one proxy within the window; 0: no limit.
    pub message_cap: u64,
    pub message_window: Length,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Reports {
    /// How often `show stat` is read from each proxy that does not push.
    pub every: Length,
    /// Where proxies and hosts may push reports; absent: nowhere.
    pub push: Option<Endpoint>,
    /// Lines of hosts that decisions take in a second; absent: all.
    pub lines_per_second: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cold {
    /// Part of its work that a host can do when it starts, at least.
    pub start_share: f64,
    pub warm_within: Length,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Probes {
    #[serde(default = "root_path")]
    pub path: String,
    #[serde(default = "probe_limit")]
    pub time_limit: Length,
    /// How often each host is asked for its load; absent: never, loads then come with probes alone.
    #[serde(default)]
    pub load_every: Option<Length>,
}

/// Time limits of the connections to proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Links {
    /// A proxy that leaves a command unanswered for this long has left.
    pub answer_limit: Length,
    pub dial_limit: Length,
    pub redial_least: Length,
    pub redial_most: Length,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdmissionBy {
    #[default]
    Share,
    Rate,
    Off,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Weights {
    #[default]
    Listed,
    Solved,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    pub listen: Endpoint,
    #[serde(default)]
    pub level: ListenerLevel,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListenerLevel {
    User,
    #[default]
    Operator,
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

impl Default for Reports {
    fn default() -> Reports {
        Reports {
            every: Length::millis(1_000),
            push: None,
            lines_per_second: None,
        }
    }
}

impl Default for Links {
    fn default() -> Links {
        Links {
            answer_limit: Length::millis(2_000),
            dial_limit: Length::millis(1_000),
            redial_least: Length::millis(100),
            redial_most: Length::millis(5_000),
        }
    }
}

fn three() -> f64 {
    3.0
}

fn root_path() -> String {
    "/".into()
}

fn probe_limit() -> Length {
    Length::millis(400)
}

impl Kind {
    pub fn backend(&self) -> &str {
        self.backend.as_deref().unwrap_or(&self.name)
    }
}

impl Site {
    /// What the decision module is handed. Its lines are counted in hosts of a table; each is written as up to
    /// two commands for each kind, so it plans with that part of the channel.
    pub fn ticket(&self) -> DeploymentConfig {
        let commands_per_line = 2.0 * self.kinds.len() as f64;
        let kind = |kind: &Kind| RequestClass {
            latency_objective: kind.response_target.0,
            priority_weight: kind.benefit,
            zone_local: kind.own_zone,
        };
        DeploymentConfig {
            request_classes: self.kinds.iter().map(kind).collect(),
            proxy_count: self.proxies_of_site.unwrap_or(self.proxies.len() as u64),
            zone_count: self.zones.len() as u16,
            base_retry_policy: Some(RetryPolicy::Never),
            admission: match self.admission {
                AdmissionBy::Share => AdmissionMode::Fraction,
                AdmissionBy::Rate => AdmissionMode::Rate,
                AdmissionBy::Off => AdmissionMode::Off,
            },
            update_rate: self.channel.lines_per_second / commands_per_line,
            max_queued_lines: self.channel.most_waiting / commands_per_line,
            message_overhead_lines: self.channel.lines_per_message,
            max_messages_per_window: self.channel.message_cap,
            message_window: self.channel.message_window.0,
            health_checks: self.probes.is_some(),
            report_interval: self.reports.every.0,
            initial_capacity: self.cold.start_share,
            slow_start_window: self.cold.warm_within.0,
            removal_is_advisory: self.dropped_is_no_drain,
            cross_zone_cost: self.crossing_price,
            ..DeploymentConfig::default()
        }
    }

    fn check(&self) -> Result<(), (String, String)> {
        let wrong = |key: &str, text: String| Err((key.to_string(), text));
        let within = |key: &str, value: f64, least: f64, most: f64| match value {
            value if (least..=most).contains(&value) => Ok(()),
            value => wrong(key, format!("{value} is not within {least} and {most}")),
        };
        if let Some(text) = bad_name(&self.name) {
            return wrong("name", text);
        }
        names("zones", self.zones.iter().map(String::as_str))?;
        names("kinds", self.kinds.iter().map(|kind| kind.name.as_str()))?;
        names(
            "proxies",
            self.proxies.iter().map(|proxy| proxy.name.as_str()),
        )?;
        if self.kinds.len() > 16 {
            return wrong("kinds", format!("{} kinds; 16 at most", self.kinds.len()));
        }
        if self.proxies.len() > 60_000 {
            return wrong(
                "proxies",
                format!("{} proxies; 60000 at most", self.proxies.len()),
            );
        }
        let mut backends = BTreeSet::new();
        for (n, kind) in self.kinds.iter().enumerate() {
            let key = |key: &str| format!("kinds[{n}].{key}");
            if !backends.insert(kind.backend()) {
                return wrong(
                    &key("backend"),
                    format!("'{}' serves two kinds", kind.backend()),
                );
            }
            if kind.response_target.0.as_micros() == 0 {
                return wrong(&key("response_target"), "is zero".into());
            }
            if kind.client_timeout < kind.response_target {
                let (target, timeout) = (kind.response_target, kind.client_timeout);
                return wrong(
                    &key("client_timeout"),
                    format!("{timeout} is under the response target of {target}"),
                );
            }
            within(&key("benefit"), kind.benefit, 0.0, 1e9)?;
        }
        let mut sockets = BTreeSet::new();
        for (n, proxy) in self.proxies.iter().enumerate() {
            if !self.zones.contains(&proxy.zone) {
                let known = self.zones.join(", ");
                let text = format!("'{}' is none of the site's zones: {known}", proxy.zone);
                return wrong(&format!("proxies[{n}].zone"), text);
            }
            match &proxy.runtime {
                Some(runtime) if !sockets.insert(runtime) => {
                    let text = format!("'{runtime}' is another proxy's socket too");
                    return wrong(&format!("proxies[{n}].runtime"), text);
                }
                None if self.dns.is_none() => {
                    return wrong(
                        &format!("proxies[{n}].runtime"),
                        "is absent, and there is no dns".into(),
                    );
                }
                _ => {}
            }
            within(
                &format!("proxies[{n}].usual_rate"),
                proxy.usual_rate,
                0.0,
                1e9,
            )?;
        }
        if self
            .proxies_of_site
            .is_some_and(|all| all < self.proxies.len() as u64)
        {
            return wrong(
                "proxies_of_site",
                "is less than the proxies listed here".into(),
            );
        }
        let channel = &self.channel;
        within(
            "channel.lines_per_second",
            channel.lines_per_second,
            1.0,
            1e9,
        )?;
        within(
            "channel.lines_per_message",
            channel.lines_per_message,
            0.0,
            1e3,
        )?;
        // One join must fit: a table of the least size, for every kind, and the maps.
        let one_join = channel.lines_per_message + 10.0 * self.kinds.len() as f64;
        within("channel.most_waiting", channel.most_waiting, one_join, 1e9)?;
        if (1..6).contains(&channel.message_cap) {
            return wrong(
                "channel.message_cap",
                "0 for none, or 6 at least: a join, drains and a change".into(),
            );
        }
        if channel.message_cap > 0 && channel.message_window.0.as_micros() == 0 {
            return wrong("channel.message_window", "is zero".into());
        }
        span_within("reports.every", self.reports.every, 50, 60_000)?;
        if let Some(lines) = self.reports.lines_per_second {
            within("reports.lines_per_second", lines, 1.0, 1e6)?;
        }
        within("cold.start_share", self.cold.start_share, 0.01, 1.0)?;
        within("crossing_price", self.crossing_price, 0.0, 1.0)?;
        if let Some(dns) = &self.dns {
            within("dns.answers_per_second", dns.answers_per_second, 0.1, 1e6)?;
            if let Err(text) = dns.lifetime() {
                return wrong("dns.grace", text.to_string());
            }
            span_within("dns.behind", dns.behind, 100, 60_000)?;
            span_within("dns.expires", dns.expires, 2_000, 86_400_000)?;
            let mut keys = BTreeSet::new();
            if let Some(n) = dns
                .secondaries
                .iter()
                .position(|other| !keys.insert(&other.key))
            {
                let text = format!(
                    "'{}' is another secondary's key too",
                    dns.secondaries[n].key
                );
                return wrong(&format!("dns.secondaries[{n}].key"), text);
            }
        }
        if let Some(records) = &self.records {
            let bytes = |key: &str, bytes: u64, least: u64| {
                let text = format!("{bytes} is under {least}");
                if bytes < least {
                    Err((format!("records.{key}"), text))
                } else {
                    Ok(())
                }
            };
            bytes("segment_bytes", records.segment_bytes, 1 << 16)?;
            bytes("all_bytes", records.all_bytes, 2 * records.segment_bytes)?;
            within("records.kept_days", records.kept_days, 0.01, 3_650.0)?;
            span_within("records.sure_within", records.sure_within, 10, 60_000)?;
            span_within(
                "records.snapshot_every",
                records.snapshot_every,
                100,
                3_600_000,
            )?;
        }
        let links = &self.links;
        span_within("links.answer_limit", links.answer_limit, 50, 60_000)?;
        span_within("links.dial_limit", links.dial_limit, 10, 60_000)?;
        span_within("links.redial_least", links.redial_least, 10, 60_000)?;
        if links.redial_most < links.redial_least {
            return wrong(
                "links.redial_most",
                format!("is under redial_least, {}", links.redial_least),
            );
        }
        if let Some(probes) = &self.probes {
            span_within("probes.time_limit", probes.time_limit, 1, 60_000)?;
            if let Some(every) = probes.load_every {
                span_within("probes.load_every", every, 50, 60_000)?;
            }
            if !probes.path.starts_with('/') || probes.path.contains(char::is_whitespace) {
                return wrong("probes.path", format!("'{}' is no path", probes.path));
            }
        }
        Ok(())
    }
}

pub(crate) fn span_within(
    key: &str,
    value: Length,
    least_ms: u64,
    most_ms: u64,
) -> Result<(), (String, String)> {
    let (least, most) = (Length::millis(least_ms), Length::millis(most_ms));
    match value {
        value if (least..=most).contains(&value) => Ok(()),
        value => Err((
            key.to_string(),
            format!("{value} is not within {least} and {most}"),
        )),
    }
}

pub(crate) fn names<'a>(
    key: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), (String, String)> {
    let mut seen = BTreeSet::new();
    for (n, name) in names.enumerate() {
        let wrong = match bad_name(name) {
            None if seen.insert(name) => continue,
            None => format!("'{name}' is named twice"),
            Some(wrong) => wrong,
        };
        return Err((format!("{key}[{n}]"), wrong));
    }
    if seen.is_empty() {
        Err((key.to_string(), "is empty".into()))
    } else {
        Ok(())
    }
}

/// Reads and checks a steward's settings. Paths in it are meant from the file's own folder.
///
/// Errors: the file cannot be read or evaluated (with file and line), a key is unknown, missing or of the wrong
/// kind, or a figure is out of its range (with file and the key's path).
pub fn read_site(file: &Path) -> Result<Site, SettingsError> {
    read_site_text(file).map(|(site, _)| site)
}

/// As `read_site`, and the evaluated settings as JSON, which `site_from_text` takes.
///
/// Errors: as `read_site`.
pub fn read_site_text(file: &Path) -> Result<(Site, String), SettingsError> {
    let text = jsonnet::evaluate(file)?;
    let mut site: Site = checked(file, &text)?;
    let folder = file.parent().unwrap_or(Path::new("")).to_path_buf();
    site.hosts_file = folder.join(&site.hosts_file);
    for proxy in &mut site.proxies {
        proxy.runtime = proxy
            .runtime
            .take()
            .map(|runtime| runtime.seen_from(&folder));
    }
    site.reports.push = site.reports.push.take().map(|push| push.seen_from(&folder));
    for secondary in site.dns.iter_mut().flat_map(|dns| &mut dns.secondaries) {
        secondary.secret_file = folder.join(&secondary.secret_file);
    }
    for listener in &mut site.runtime_api {
        listener.listen = listener.listen.clone().seen_from(&folder);
    }
    if let Some(records) = &mut site.records {
        records.folder = folder.join(&records.folder);
    }
    Ok((site, text))
}

/// Settings that were evaluated before. Paths stay as they are written.
///
/// Errors: a key is unknown, missing or of the wrong kind, or a figure is out of its range.
pub fn site_from_text(text: &str) -> Result<Site, SettingsError> {
    checked(Path::new("settings"), text)
}

fn checked(file: &Path, text: &str) -> Result<Site, SettingsError> {
    let site: Site = jsonnet::parse(file, text)?;
    site.check().map_err(|(key, wrong)| SettingsError::Key {
        file: file.to_path_buf(),
        key,
        wrong,
    })?;
    Ok(site)
}
