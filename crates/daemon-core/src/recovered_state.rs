//! What a controller that starts again must still know, and what it leaves behind.
//!
//! | kept | because |
//! | --- | --- |
//! | the list, its version, operators' changes to it | an older copy of the file must still be rejected, a change must still hold |
//! | when hosts started, as far as it was learnt | a host that is warming up would be taken for one that has long run |
//! | since when hosts are to be left alone | the grace runs from there, not from the restart |
//! | the DNS zone's serial | secondaries do not start again with us |
//!
//! Left behind: health, load, admitted rates, estimates, bindings. They are old when they are read, and old ones do harm: a host
//! ejected that is well, or a rate cut for an overload that is over. What proxies hold is read from them. What caches
//! hold cannot be read: every host that was known is taken to be held until answers of the last moment have run out.

use pondarch_config::HostEntry;
use pondarch_config::hosts::HostState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a controller knows again after a restart. Times are in microseconds since 1970, by the clock of the run that
/// wrote them.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveredState {
    /// When this was the state.
    pub at_us: u64,
    /// The endpoint list.
    pub list: RecoveredList,
    /// The zone map that operators set.
    pub zones: BTreeMap<String, String>,
    /// Serial of the DNS zone.
    #[serde(default, rename = "serial")]
    pub dns_serial: u32,
}

/// The endpoint list, with what operators changed in it.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveredList {
    pub(crate) file: Vec<HostEntry>,
    #[serde(rename = "file_version")]
    pub(crate) file_generation: Option<u64>,
    pub(crate) added: Vec<HostEntry>,
    pub(crate) edits: Vec<(String, Edit)>,
    pub(crate) hosts: Vec<RecoveredHost>,
}

/// A host, as the file and the operators together have it.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct RecoveredHost {
    /// Its entry in the list.
    pub entry: HostEntry,
    /// When it started, as far as it is known; 0: not known.
    pub started_us: u64,
    /// Whether it serves, drains or was removed.
    #[serde(rename = "standing")]
    pub state: HostState,
    /// Since when proxies are to send it no new requests; none: it serves.
    #[serde(rename = "told_away_us")]
    pub draining_since_us: Option<u64>,
}

impl RecoveredState {
    /// The same by another clock, by which it is `now_us` when `passed_us` have passed since then. Where the machine's
    /// clock jumped, that is not what it shows: a cold host would be warm, or a drain be owed from tomorrow.
    pub fn rebased_to_clock(mut self, now_us: u64, passed_us: u64) -> RecoveredState {
        let then = now_us.saturating_sub(passed_us);
        let old = self.at_us;
        let moved = |at: u64| (at + then).saturating_sub(old);
        for host in &mut self.list.hosts {
            // A start that the list itself names is by the list's clock.
            if host.started_us > 0 && host.entry.started.is_none() {
                host.started_us = moved(host.started_us).max(1);
            }
            host.draining_since_us = host.draining_since_us.map(moved);
        }
        self.at_us = then;
        self
    }

    /// The hosts of the endpoint list.
    pub fn hosts(&self) -> &[RecoveredHost] {
        &self.list.hosts
    }
}

/// What an operator changed of a host; it goes over the file until taken back or the file drops the host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Edit {
    pub(crate) state: Option<HostState>,
    pub(crate) weight: Option<f64>,
    pub(crate) address: Option<SocketAddr>,
}
