//! Spans of time with their unit, and endpoints.

use pondarch_controller::DurationExt;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

/// A span as it is written: a number and a unit, `800 ms`, `1.5 s`, `2 min`, `250 us`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Length(pub Duration);

/// Longest span that makes sense in settings: a day.
const LONGEST_US: f64 = 86_400e6;

impl Length {
    pub const fn millis(ms: u64) -> Length {
        Length(Duration::from_millis(ms))
    }

    pub fn std(self) -> std::time::Duration {
        self.0
    }
}

impl FromStr for Length {
    type Err = String;

    fn from_str(text: &str) -> Result<Length, String> {
        let text = text.trim();
        let split = text
            .find(|c: char| c != '.' && !c.is_ascii_digit())
            .unwrap_or(text.len());
        let (number, unit) = (&text[..split], text[split..].trim());
        let number: f64 = number
            .parse()
            .map_err(|_| format!("'{text}' is no span: give a number and a unit"))?;
        let factor = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "min" => 60e6,
            "h" => 3_600e6,
            "" => return Err(format!("'{text}' has no unit: us, ms, s, min or h")),
            other => return Err(format!("'{other}' is no unit of time: us, ms, s, min or h")),
        };
        let us = number * factor;
        if us > LONGEST_US {
            return Err(format!("'{text}' is longer than a day"));
        }
        Ok(Length(Duration::from_micros(us.round() as u64)))
    }
}

impl fmt::Display for Length {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = self.0.micros();
        match us {
            us if us.is_multiple_of(1_000_000) => write!(f, "{} s", us / 1_000_000),
            us if us.is_multiple_of(1_000) => write!(f, "{} ms", us / 1_000),
            us => write!(f, "{us} us"),
        }
    }
}

impl<'de> Deserialize<'de> for Length {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Length, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

impl Serialize for Length {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

/// Where a socket is: `unix:/run/front-1.sock` or `127.0.0.1:9101`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Endpoint {
    Unix(PathBuf),
    Tcp(SocketAddr),
}

impl Endpoint {
    /// A path that is not absolute is meant from the folder of the file that names it.
    pub fn seen_from(self, folder: &Path) -> Endpoint {
        match self {
            Endpoint::Unix(path) => Endpoint::Unix(folder.join(path)),
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
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Endpoint, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

impl Serialize for Endpoint {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}
