//! Durations with a unit, and endpoints.

use pondarch_controller::DurationExt;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// A duration that is written as a number and a unit: `800 ms`, `1.5 s`, `2 min`, `250 us`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationSetting(pub Duration);

/// Maximum duration in settings: one day.
const MAX_DURATION_US: f64 = 86_400e6;

impl DurationSetting {
    /// A duration of this many milliseconds.
    pub const fn from_millis(ms: u64) -> DurationSetting {
        DurationSetting(Duration::from_millis(ms))
    }

    /// The duration as the standard library's type.
    pub fn as_std(self) -> std::time::Duration {
        self.0
    }
}

impl FromStr for DurationSetting {
    type Err = String;

    fn from_str(text: &str) -> Result<DurationSetting, String> {
        let text = text.trim();
        let unit_start = text
            .find(|c: char| c != '.' && !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (number, unit) = (&text[..unit_start], text[unit_start..].trim());
        let number: f64 = number
            .parse()
            .map_err(|_| format!("'{text}' is not a duration: expected a number and a unit"))?;
        let us_per_unit = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            "h" => 3_600e6,
            "" => return Err(format!("'{text}' has no unit: us, ms, s, min or h")),
            other => {
                return Err(format!(
                    "'{other}' is not a unit of time: us, ms, s, min or h"
                ));
            }
        };
        let us = number * us_per_unit;
        if us > MAX_DURATION_US {
            return Err(format!("'{text}' is longer than a day"));
        }
        Ok(DurationSetting(Duration::from_micros(us.round() as u64)))
    }
}

impl fmt::Display for DurationSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = self.0.micros();
        match us {
            us if us.is_multiple_of(1_000_000) => write!(f, "{} s", us / 1_000_000),
            us if us.is_multiple_of(1_000) => write!(f, "{} ms", us / 1_000),
            us => write!(f, "{us} us"),
        }
    }
}

impl<'de> Deserialize<'de> for DurationSetting {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<DurationSetting, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(D::Error::custom)
    }
}

impl Serialize for DurationSetting {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Address of a socket: `unix:/run/front-1.sock` or `127.0.0.1:9101`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    /// Path of a Unix socket.
    Unix(PathBuf),
    /// IP address and TCP port.
    Tcp(SocketAddr),
}

impl Endpoint {
    /// Resolves a relative path against the directory of the file that has it.
    pub fn resolve_from(self, directory: &Path) -> Endpoint {
        match self {
            Endpoint::Unix(path) => Endpoint::Unix(directory.join(path)),
            tcp => tcp,
        }
    }
}

impl FromStr for Endpoint {
    type Err = String;

    fn from_str(text: &str) -> Result<Endpoint, String> {
        if let Some(path) = text.strip_prefix("unix:") {
            if path.is_empty() {
                return Err("'unix:' needs a path".into());
            }
            return Ok(Endpoint::Unix(path.into()));
        }
        let tcp = text.strip_prefix("tcp:").unwrap_or(text);
        tcp.parse()
            .map(Endpoint::Tcp)
            .map_err(|_| format!("'{text}' is neither 'unix:PATH' nor 'IP:PORT'"))
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Endpoint::Unix(path) => write!(f, "unix:{}", path.display()),
            Endpoint::Tcp(addr) => write!(f, "{addr}"),
        }
    }
}

impl<'de> Deserialize<'de> for Endpoint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Endpoint, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(D::Error::custom)
    }
}

impl Serialize for Endpoint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
