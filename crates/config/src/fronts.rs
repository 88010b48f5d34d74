//! Of a steward's settings: its DNS front, and what it records.

use crate::units::Length;
use pondarch_dns_core::{Lifetime, LifetimeError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What a steward records of its course, for its next start, for replays, and for who asks what happened.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Records {
    /// Of this steward alone.
    pub folder: PathBuf,
    /// In bytes, as the two below.
    #[serde(default = "segment_bytes")]
    pub segment_bytes: u64,
    #[serde(default = "all_bytes")]
    pub all_bytes: u64,
    #[serde(default = "kept_days")]
    pub kept_days: f64,
    /// What a machine that stops may lose.
    #[serde(default = "sure_within")]
    pub sure_within: Length,
    #[serde(default = "snapshot_every")]
    pub snapshot_every: Length,
}

fn segment_bytes() -> u64 {
    16 << 20
}

fn all_bytes() -> u64 {
    1 << 30
}

fn kept_days() -> f64 {
    14.0
}

fn sure_within() -> Length {
    Length::millis(200)
}

fn snapshot_every() -> Length {
    Length::millis(10_000)
}

/// The DNS front: tables as answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dns {
    pub zone: String,
    pub listen: SocketAddr,
    /// Within which nothing new may reach a host that drains.
    pub grace: Length,
    /// The longest from the list's word to the first answer that heeds it.
    #[serde(default = "learns_within")]
    pub learns_within: Length,
    /// In seconds; absent: the longest that the grace allows.
    #[serde(default)]
    pub lifetime: Option<u32>,
    /// For each small net, over UDP.
    #[serde(default = "fifty")]
    pub answers_per_second: f64,
    /// Who may have copies of the zone; their places are their numbers.
    #[serde(default)]
    pub secondaries: Vec<Secondary>,
    /// How long a secondary may be behind after a change: with any, it comes off the lifetime of answers.
    #[serde(default = "behind")]
    pub behind: Length,
    /// When a secondary that is cut off stops answering.
    #[serde(default = "expires")]
    pub expires: Length,
}

/// Another server that answers from a copy of the zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secondary {
    /// Where it is told of changes.
    pub address: SocketAddr,
    /// Name of its key, as both sides know it.
    pub key: String,
    /// File with the key's secret in base64.
    pub secret_file: PathBuf,
}

impl Dns {
    /// Errors: the grace leaves no lifetime, or not the one wanted.
    pub fn lifetime(&self) -> Result<Lifetime, LifetimeError> {
        let behind = if self.secondaries.is_empty() {
            Duration::ZERO
        } else {
            self.behind.0
        };
        Lifetime::for_drain_grace(self.grace.0, self.learns_within.0 + behind, self.lifetime)
    }
}

fn behind() -> Length {
    Length::millis(1_000)
}

fn expires() -> Length {
    Length::millis(60_000)
}

fn learns_within() -> Length {
    Length::millis(500)
}

fn fifty() -> f64 {
    50.0
}
