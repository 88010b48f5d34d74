//! Memory use by purpose: limit, current use, and how often the limit was hit. Sizes are rough, in bytes, as stated by the
//! code that owns the memory. That code also acts on the limits; its actions are described here for operators to read.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Purpose {
    /// Counters and loads that are collected and not applied yet.
    Reports,
    /// Tables, as they are assigned and as the proxies hold them.
    Tables,
    /// Lines to proxies and operators that are not written yet.
    Waiting,
    /// Event log entries that are not on the disk yet.
    Records,
    /// Connections of proxies, operators, report senders and DNS clients.
    Connections,
}

/// All purposes, in the order in which operators read them.
pub const PURPOSES: [Purpose; 5] = [
    Purpose::Reports,
    Purpose::Tables,
    Purpose::Waiting,
    Purpose::Records,
    Purpose::Connections,
];

impl Purpose {
    /// Name in replies to operators.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Reports => "reports",
            Purpose::Tables => "tables",
            Purpose::Waiting => "waiting",
            Purpose::Records => "records",
            Purpose::Connections => "connections",
        }
    }

    /// Limit in bytes.
    pub fn limit(self) -> u64 {
        match self {
            Purpose::Reports => 64 << 20,
            Purpose::Tables => 128 << 20,
            Purpose::Waiting => 64 << 20,
            Purpose::Records => 64 << 20,
            Purpose::Connections => 128 << 20,
        }
    }

    /// What happens at the limit, for operators to read.
    pub fn action_at_limit(self) -> &'static str {
        match self {
            Purpose::Reports => {
                "what senders' figures are checked by is dropped, the largest first"
            }
            Purpose::Tables => "what is kept ready of tables that no proxy uses is dropped",
            Purpose::Waiting => {
                "who does not read is given no more, and hung up at the answer limit"
            }
            Purpose::Records => "a gap is recorded",
            Purpose::Connections => "no more are taken",
        }
    }
}

/// Memory use of one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PurposeUsage {
    /// Bytes in use.
    pub bytes: u64,
    /// The most bytes that were ever in use.
    #[serde(rename = "most")]
    pub max_bytes: u64,
    /// How often something was rejected at the limit.
    #[serde(rename = "capped")]
    pub rejections: u64,
}

/// Memory use of all purposes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemoryAccounting {
    #[serde(rename = "used")]
    usage: BTreeMap<Purpose, PurposeUsage>,
}

impl MemoryAccounting {
    /// Sets the bytes in use; returns whether they are within the limit.
    pub fn set_bytes(&mut self, purpose: Purpose, bytes: u64) -> bool {
        let usage = self.usage.entry(purpose).or_default();
        (usage.bytes, usage.max_bytes) = (bytes, usage.max_bytes.max(bytes));
        bytes <= purpose.limit()
    }

    /// Something was rejected at the limit, so many times.
    pub fn add_rejections(&mut self, purpose: Purpose, rejections: u64) {
        self.usage.entry(purpose).or_default().rejections += rejections;
    }

    /// Memory use of one purpose.
    pub fn usage(&self, purpose: Purpose) -> PurposeUsage {
        self.usage.get(&purpose).copied().unwrap_or_default()
    }

    /// Name and status of each purpose, as operators read them.
    pub fn status_lines(&self) -> impl Iterator<Item = (String, String)> {
        PURPOSES.into_iter().map(|purpose| {
            let PurposeUsage {
                bytes,
                max_bytes,
                rejections,
            } = self.usage(purpose);
            let text = format!(
                "{bytes} of {} bytes, {max_bytes} at most, at the cap {rejections} times: then {}",
                purpose.limit(),
                purpose.action_at_limit()
            );
            (purpose.name().to_string(), text)
        })
    }
}
