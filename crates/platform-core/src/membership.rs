//! Which proxies are connected, by the relay's membership events. Each stream of events begins with a list of the proxies
//! that are connected.

use pondarch_controller::{ProxyId, ZoneId};
use std::collections::BTreeMap;

/// The connected proxies.
#[derive(Default)]
pub(crate) struct Membership {
    joined: BTreeMap<ProxyId, Member>,
    /// Whether the stream is still at its list of connected proxies.
    listing: bool,
}

struct Member {
    zone: ZoneId,
    /// Whether the list of the present stream has named it.
    listed: bool,
}

/// What a join event means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JoinKind {
    /// The proxy has connected.
    New,
    /// It was connected when the last stream ended, and may have reconnected since.
    Unconfirmed,
}

impl Membership {
    /// A stream of events begins, with the list of connected proxies.
    pub(crate) fn begin_list(&mut self) {
        self.listing = true;
        for member in self.joined.values_mut() {
            member.listed = false;
        }
    }

    /// The list is over: proxies that it did not name have left unseen. Gives these; none if no list was open.
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

    /// A proxy is connected.
    pub(crate) fn join(&mut self, proxy: ProxyId, zone: ZoneId) -> JoinKind {
        let member = Member { zone, listed: true };
        let before = self.joined.insert(proxy, member);
        let unchanged = |before: Member| self.listing && !before.listed && before.zone == zone;
        if before.is_some_and(unchanged) {
            JoinKind::Unconfirmed
        } else {
            JoinKind::New
        }
    }

    /// A proxy is no longer connected; gives whether it was.
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
