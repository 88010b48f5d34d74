//! The state that survives a restart of the controller.
//!
//! | kept | reason |
//! | --- | --- |
//! | the endpoint list, its generation, operators' changes to it | an older copy of the file must still be rejected, and changes must still apply |
//! | start times of hosts, as far as known | otherwise a host that is warming up would count as running for long |
//! | since when hosts drain | the drain grace period runs from then, not from the restart |
//! | the serial of the DNS zone | secondaries do not restart with the controller |
//!
//! Not kept: health, load, admitted rates, estimates and bindings. They would be outdated after a restart and do harm:
//! a healthy host could stay ejected, or a rate stay cut after the overload has ended. What proxies hold is read from
//! them. What DNS caches hold cannot be read: every host that was known counts as cached until the last answers of
//! the previous run have expired.

use pondarch_config::HostEntry;
use pondarch_config::hosts::HostState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The state that a controller recovers after a restart. Times are in microseconds since 1970, by the clock of the run
/// that wrote them.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveredState {
    /// Time of this state.
    pub at_us: u64,
    /// The endpoint list.
    pub list: RecoveredList,
    /// The zone map that operators set.
    pub zones: BTreeMap<String, String>,
    /// Serial of the DNS zone.
    #[serde(default, rename = "serial")]
    pub dns_serial: u32,
}

/// The endpoint list, with the operators' changes to it.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RecoveredList {
    pub(crate) file: Vec<HostEntry>,
    #[serde(rename = "file_version")]
    pub(crate) file_generation: Option<u64>,
    pub(crate) added: Vec<HostEntry>,
    pub(crate) edits: Vec<(String, Edit)>,
    pub(crate) hosts: Vec<RecoveredHost>,
}

/// A host, as merged from the hosts file and the operators' changes.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct RecoveredHost {
    /// Its entry in the list.
    pub entry: HostEntry,
    /// When it started; 0: not known.
    pub started_us: u64,
    /// Whether it serves, drains or was removed.
    #[serde(rename = "standing")]
    pub state: HostState,
    /// Since when proxies are to send it no new requests; none: it serves.
    #[serde(rename = "told_away_us")]
    pub draining_since_us: Option<u64>,
}

impl RecoveredState {
    /// Converts its times to the clock of the current run, which shows `now_us` when `elapsed_us` have passed since
    /// this state. If the machine's clock jumped, unconverted times would make a host count as warm that is not, or a
    /// drain start in the future.
    pub fn rebased_to_clock(mut self, now_us: u64, elapsed_us: u64) -> RecoveredState {
        let rebased_at = now_us.saturating_sub(elapsed_us);
        let recorded_at = self.at_us;
        let rebase = |at: u64| (at + rebased_at).saturating_sub(recorded_at);
        for host in &mut self.list.hosts {
            // A start time that the endpoint list gives is by the clock of the list's source.
            if host.started_us > 0 && host.entry.started.is_none() {
                host.started_us = rebase(host.started_us).max(1);
            }
            host.draining_since_us = host.draining_since_us.map(rebase);
        }
        self.at_us = rebased_at;
        self
    }

    /// The hosts of the endpoint list.
    pub fn hosts(&self) -> &[RecoveredHost] {
        &self.list.hosts
    }
}

/// An operator's changes to a host. They override the file until they are changed again or the file drops the host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Edit {
    pub(crate) state: Option<HostState>,
    pub(crate) weight: Option<f64>,
    pub(crate) address: Option<SocketAddr>,
}
