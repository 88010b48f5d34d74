//! What a steward that starts again must still know, and what it leaves behind.
//!
//! | kept | because |
//! | --- | --- |
//! | the list, its version, operators' words over it | an older copy of the file must still be refused, a word must still hold |
//! | when hosts started, as far as it was learnt | a cold host would be taken for one that has long run |
//! | since when hosts are to be left alone | the grace runs from there, not from the restart |
//! | the DNS zone's serial | secondaries do not start again with us |
//!
//! Left behind: health, load, levels, estimates, bindings. They are old when they are read, and old ones do harm: a host
//! kept away from that is well, or a level cut for a strain that is over. What proxies hold they say themselves. What caches
//! hold nobody says: every host that was known is taken to be held until answers of the last moment have run out.

use pondarch_config::HostEntry;
use pondarch_config::hosts::HostState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Times in microseconds since 1970, by the clock of the run that wrote them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Remembered {
    pub at_us: u64,
    pub list: RememberedList,
    pub zones: BTreeMap<String, String>,
    #[serde(default)]
    pub serial: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RememberedList {
    pub(crate) file: Vec<HostEntry>,
    pub(crate) file_version: Option<u64>,
    pub(crate) added: Vec<HostEntry>,
    pub(crate) edits: Vec<(String, Edit)>,
    pub(crate) hosts: Vec<RememberedHost>,
}

/// A host, file and operators taken together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RememberedHost {
    pub entry: HostEntry,
    pub started_us: u64,
    pub standing: HostState,
    pub told_away_us: Option<u64>,
}

impl Remembered {
    /// The same by another clock, by which it is `now_us` when `passed_us` have passed since then. Where the machine's
    /// clock jumped, that is not what it says: a cold host would be warm, or a drain be owed from tomorrow.
    pub fn by_clock(mut self, now_us: u64, passed_us: u64) -> Remembered {
        let then = now_us.saturating_sub(passed_us);
        let old = self.at_us;
        let moved = |at: u64| (at + then).saturating_sub(old);
        for host in &mut self.list.hosts {
            // A start that the list itself names is by the list's clock.
            if host.started_us > 0 && host.entry.started.is_none() {
                host.started_us = moved(host.started_us).max(1);
            }
            host.told_away_us = host.told_away_us.map(moved);
        }
        self.at_us = then;
        self
    }

    pub fn hosts(&self) -> &[RememberedHost] {
        &self.list.hosts
    }
}

/// What an operator said of a host; it goes over the file until taken back or the file drops the host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Edit {
    pub(crate) state: Option<HostState>,
    pub(crate) weight: Option<f64>,
    pub(crate) address: Option<SocketAddr>,
}
