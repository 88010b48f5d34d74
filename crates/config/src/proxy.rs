//! What an obeying proxy is told.

use crate::hosts::bad_name;
use crate::jsonnet::{self, SettingsError};
use crate::site::{Listener, Repeats, names, span_within};
use crate::units::{Endpoint, Length};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// All of a proxy's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySite {
    pub name: String,
    pub zone: String,
    pub zones: Vec<String>,
    /// Where clients come.
    pub listen: SocketAddr,
    /// Where stewards and operators come.
    pub runtime_api: Vec<Listener>,
    /// The first kind that a req fits is its kind; a req that fits none is answered with 404.
    pub kinds: Vec<ProxyKind>,
    /// Read once, at start, for the standing table.
    pub hosts_file: PathBuf,
    #[serde(default = "eight")]
    pub standing_most: usize,
    #[serde(default)]
    pub pick: Pick,
    #[serde(default)]
    pub avoid: Avoid,
    /// Further tries, as a part of first ones.
    #[serde(default = "fifth")]
    pub further_tries: f64,
    #[serde(default)]
    pub limits: Limits,
    /// Stewards that take pushed reports, and how often they get one.
    #[serde(default)]
    pub report_to: Vec<Endpoint>,
    #[serde(default = "second")]
    pub report_every: Length,
    /// For the standing table and all draws; absent: from the clock.
    #[serde(default)]
    pub seed: Option<u64>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ProxyKind {
    pub name: String,
    #[serde(default)]
    pub path_prefix: Option<String>,
    #[serde(default)]
    pub host: Option<String>,
    #[serde(default)]
    pub header: Option<Header>,
    pub response_target: Length,
    pub client_timeout: Length,
    pub benefit: f64,
    pub repeats: Repeats,
    /// How long the hosts of a group drop a repeat; needed for uniqued kinds.
    #[serde(default)]
    pub memory: Option<Length>,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Header {
    pub name: String,
    pub value: String,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Pick {
    #[default]
    Weighted,
    Round,
    Two,
}

/// Keeping away from hosts after failed tries in a row.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Avoid {
    pub after: u32,
    pub least: Length,
    pub most: Length,
    pub part: f64,
    pub remembered: Length,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub connect: Length,
    /// How long one try may wait for an answer's head; absent: as long as the req has left.
    pub response: Option<Length>,
    /// The proxy's own reqs at one host at a time.
    pub at_host: usize,
    pub waiting: usize,
    /// How long the last ready hosts stay in use when a table lists none.
    pub last_ready_for: Length,
    /// Bytes of a body that are held for a further try.
    pub held_body: usize,
    pub head: usize,
    pub head_within: Length,
    pub connections: usize,
    pub idle_close: Length,
    /// How long a drain waits for the last reqs.
    pub drain_within: Length,
}

impl Default for Avoid {
    fn default() -> Avoid {
        let (least, most) = (Length::millis(2_000), Length::millis(5_000));
        Avoid {
            after: 3,
            least,
            most,
            part: 0.5,
            remembered: Length::millis(60_000),
        }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect: Length::millis(250),
            response: None,
            at_host: 128,
            waiting: 512,
            last_ready_for: Length::millis(3_000),
            held_body: 64 * 1024,
            head: 16 * 1024,
            head_within: Length::millis(5_000),
            connections: 10_000,
            idle_close: Length::millis(15_000),
            drain_within: Length::millis(10_000),
        }
    }
}

fn second() -> Length {
    Length::millis(1_000)
}

fn eight() -> usize {
    8
}

fn fifth() -> f64 {
    0.2
}

impl ProxySite {
    fn check(&self) -> Result<(), (String, String)> {
        let wrong = |key: &str, text: String| Err((key.to_string(), text));
        if let Some(text) = bad_name(&self.name) {
            return wrong("name", text);
        }
        names("zones", self.zones.iter().map(String::as_str))?;
        span_within("report_every", self.report_every, 50, 60_000)?;
        names("kinds", self.kinds.iter().map(|kind| kind.name.as_str()))?;
        if !self.zones.contains(&self.zone) {
            return wrong(
                "zone",
                format!("'{}' is none of the site's zones", self.zone),
            );
        }
        for (n, kind) in self.kinds.iter().enumerate() {
            let key = |key: &str| format!("kinds[{n}].{key}");
            if kind.path_prefix.is_none() && kind.host.is_none() && kind.header.is_none() {
                return wrong(
                    &key("name"),
                    "needs path_prefix, host or header to be known by".into(),
                );
            }
            span_within(&key("client_timeout"), kind.client_timeout, 10, 600_000)?;
            if kind.client_timeout < kind.response_target {
                return wrong(
                    &key("client_timeout"),
                    "is under the response target".into(),
                );
            }
            if kind.repeats == Repeats::Uniqued && kind.memory.is_none() {
                return wrong(&key("memory"), "is needed for a uniqued kind".into());
            }
        }
        let part = |key: &str, value: f64| match value {
            value if (0.0..=1.0).contains(&value) => Ok(()),
            value => Err((key.to_string(), format!("{value} is not within 0 and 1"))),
        };
        part("further_tries", self.further_tries)?;
        part("avoid.part", self.avoid.part)?;
        if self.avoid.most < self.avoid.least {
            return wrong("avoid.most", "is under avoid.least".into());
        }
        let limits = &self.limits;
        span_within("limits.connect", limits.connect, 1, 60_000)?;
        span_within("limits.head_within", limits.head_within, 10, 600_000)?;
        let counts = [
            ("limits.at_host", limits.at_host, 1),
            ("limits.connections", limits.connections, 1),
            ("limits.head", limits.head, 8 * 1024),
            ("standing_most", self.standing_most, 1),
        ];
        match counts.into_iter().find(|(_, value, least)| value < least) {
            Some((key, value, least)) => wrong(key, format!("{value} is under {least}")),
            None => Ok(()),
        }
    }
}

/// Reads and checks a proxy's settings. Paths in it are meant from the file's own folder.
///
/// Errors: as `read_site`.
pub fn read_proxy(file: &Path) -> Result<ProxySite, SettingsError> {
    let mut site: ProxySite = jsonnet::read(file)?;
    site.check().map_err(|(key, wrong)| SettingsError::Key {
        file: file.to_path_buf(),
        key,
        wrong,
    })?;
    let folder = file.parent().unwrap_or(Path::new("")).to_path_buf();
    site.hosts_file = folder.join(&site.hosts_file);
    for listener in &mut site.runtime_api {
        listener.listen = Endpoint::seen_from(listener.listen.clone(), &folder);
    }
    site.report_to = site
        .report_to
        .into_iter()
        .map(|to| to.seen_from(&folder))
        .collect();
    Ok(site)
}
