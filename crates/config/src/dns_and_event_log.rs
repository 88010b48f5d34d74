//! Settings of a controller's DNS server and of its event log.

use crate::units::DurationSetting;
use pondarch_dns_core::{Lifetime, LifetimeError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The event log, which the controller reads after a restart and which serves replays and inspection.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventLogSettings {
    /// Directory of the log; no other controller may use it.
    #[serde(rename = "folder")]
    pub directory: PathBuf,
    /// Maximum size of a segment, in bytes.
    #[serde(default = "default_segment_bytes")]
    pub segment_bytes: u64,
    /// Maximum size of all segments together, in bytes.
    #[serde(rename = "all_bytes", default = "default_max_total_bytes")]
    pub max_total_bytes: u64,
    /// Age in days after which segments are removed.
    #[serde(rename = "kept_days", default = "default_retention_days")]
    pub retention_days: f64,
    /// Maximum time until an entry is synced to disk: what a crash of the machine may lose.
    #[serde(rename = "sure_within", default = "default_sync_within")]
    pub sync_within: DurationSetting,
    /// Interval between snapshots.
    #[serde(rename = "snapshot_every", default = "default_snapshot_interval")]
    pub snapshot_interval: DurationSetting,
}

fn default_segment_bytes() -> u64 {
    16 << 20
}

fn default_max_total_bytes() -> u64 {
    1 << 30
}

fn default_retention_days() -> f64 {
    14.0
}

fn default_sync_within() -> DurationSetting {
    DurationSetting::from_millis(200)
}

fn default_snapshot_interval() -> DurationSetting {
    DurationSetting::from_millis(10_000)
}

/// The DNS server, which answers queries with the hosts of a table.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DnsSettings {
    /// Name of the DNS zone.
    pub zone: String,
    /// Address on which queries are served.
    pub listen: SocketAddr,
    /// Time after which no new request may reach a draining host.
    #[serde(rename = "grace")]
    pub drain_grace_period: DurationSetting,
    /// Maximum time between a change of the endpoint list and the first answer that follows it.
    #[serde(rename = "learns_within", default = "default_max_list_delay")]
    pub max_list_delay: DurationSetting,
    /// Lifetime of answers in seconds; if absent, the longest that the drain grace period allows.
    #[serde(rename = "lifetime", default)]
    pub lifetime_s: Option<u32>,
    /// Rate limit of UDP answers for each client network prefix.
    #[serde(default = "default_answers_per_second")]
    pub answers_per_second: f64,
    /// Servers that may transfer the zone; events refer to them by their index in this list.
    #[serde(default)]
    pub secondaries: Vec<Secondary>,
    /// Maximum time that a secondary may lag after a change. If there are secondaries, it is subtracted from the
    /// lifetime of answers.
    #[serde(rename = "behind", default = "default_max_secondary_lag")]
    pub max_secondary_lag: DurationSetting,
    /// Time after which a secondary that cannot reach this server stops answering.
    #[serde(rename = "expires", default = "default_secondary_expiry")]
    pub secondary_expiry: DurationSetting,
}

/// Another server that answers from a copy of the zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secondary {
    /// Address to which change notifications are sent.
    pub address: SocketAddr,
    /// Name of the shared key.
    #[serde(rename = "key")]
    pub key_name: String,
    /// File with the secret of the key in base64.
    pub secret_file: PathBuf,
}

impl DnsSettings {
    /// The lifetime of answers.
    ///
    /// # Errors
    ///
    /// The drain grace period allows no lifetime, or a shorter one than the settings ask for.
    pub fn answer_lifetime(&self) -> Result<Lifetime, LifetimeError> {
        let secondary_lag = if self.secondaries.is_empty() {
            Duration::ZERO
        } else {
            self.max_secondary_lag.0
        };
        Lifetime::for_drain_grace(
            self.drain_grace_period.0,
            self.max_list_delay.0 + secondary_lag,
            self.lifetime_s,
        )
    }
}

fn default_max_secondary_lag() -> DurationSetting {
    DurationSetting::from_millis(1_000)
}

fn default_secondary_expiry() -> DurationSetting {
    DurationSetting::from_millis(60_000)
}

fn default_max_list_delay() -> DurationSetting {
    DurationSetting::from_millis(500)
}

fn default_answers_per_second() -> f64 {
    50.0
}
