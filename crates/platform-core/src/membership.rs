//! Tracks the connected proxies by the relay's membership events. Each watch begins with a list of the connected
//! proxies, as join events.

use pondarch_controller::{ProxyId, ZoneId};
use std::collections::BTreeMap;

/// The connected proxies.
#[derive(Default)]
pub(crate) struct Membership {
    joined: BTreeMap<ProxyId, Member>,
    /// Whether the current watch is still sending its list of connected proxies.
    listing: bool,
}

struct Member {
    zone: ZoneId,
    /// Whether the current watch has listed the proxy or reported its join.
    listed: bool,
}

/// The meaning of a join event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinKind {
    /// The proxy has connected.
    New,
    /// The proxy was connected when the previous watch ended, and may have reconnected since.
    Unconfirmed,
}

impl Membership {
    /// Starts the list of connected proxies at the beginning of a watch.
    pub(crate) fn begin_list(&mut self) {
        self.listing = true;
        for member in self.joined.values_mut() {
            member.listed = false;
        }
    }

    /// Ends the list, if one was started, and returns the proxies that it did not contain: they left while no events
    /// arrived.
    pub(crate) fn end_list(&mut self) -> Vec<ProxyId> {
        if !std::mem::take(&mut self.listing) {
            return Vec::new();
        }
        let missing: Vec<ProxyId> = self
            .joined
            .iter()
            .filter(|(_, member)| !member.listed)
            .map(|(proxy, _)| *proxy)
            .collect();
        self.joined.retain(|_, member| member.listed);
        missing
    }

    /// Records a join event.
    pub(crate) fn join(&mut self, proxy: ProxyId, zone: ZoneId) -> JoinKind {
        let member = Member { zone, listed: true };
        let previous = self.joined.insert(proxy, member);
        let may_be_unchanged =
            |previous: Member| self.listing && !previous.listed && previous.zone == zone;
        if previous.is_some_and(may_be_unchanged) {
            JoinKind::Unconfirmed
        } else {
            JoinKind::New
        }
    }

    /// Records that a proxy left. Returns whether it was connected.
    pub(crate) fn leave(&mut self, proxy: ProxyId) -> bool {
        self.joined.remove(&proxy).is_some()
    }

    pub(crate) fn contains(&self, proxy: ProxyId) -> bool {
        self.joined.contains_key(&proxy)
    }

    pub(crate) fn len(&self) -> usize {
        self.joined.len()
    }
}
