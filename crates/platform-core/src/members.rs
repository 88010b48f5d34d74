//! Who is joined, by the relay's news. Each connection that brings news lists first who is joined now.

use pondarch_controller::{ProxyId, ZoneId};
use std::collections::BTreeMap;

/// Proxies by number, each with its zone and whether the present list has named it.
#[derive(Default)]
pub(crate) struct Members {
    joined: BTreeMap<ProxyId, Member>,
    listing: bool,
}

struct Member {
    zone: ZoneId,
    named: bool,
}

/// What a `joined` means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Came {
    Anew,
    /// It was joined when the last connection broke, and may have been away since.
    PerhapsAnew,
}

impl Members {
    /// A connection begins: what stands comes first.
    pub(crate) fn listing_begins(&mut self) {
        self.listing = true;
        self.joined
            .values_mut()
            .for_each(|member| member.named = false);
    }

    /// The list of who stands is over: those whom it did not name have left unseen.
    pub(crate) fn listing_ends(&mut self) -> Vec<ProxyId> {
        if !std::mem::take(&mut self.listing) {
            return Vec::new();
        }
        let missing: Vec<ProxyId> = self
            .joined
            .iter()
            .filter(|(_, member)| !member.named)
            .map(|(id, _)| *id)
            .collect();
        self.joined.retain(|_, member| member.named);
        missing
    }

    pub(crate) fn came(&mut self, proxy: ProxyId, zone: ZoneId) -> Came {
        let before = self.joined.insert(proxy, Member { zone, named: true });
        let same = |before: Member| self.listing && !before.named && before.zone == zone;
        if before.is_some_and(same) {
            Came::PerhapsAnew
        } else {
            Came::Anew
        }
    }

    /// Whether it was joined.
    pub(crate) fn left(&mut self, proxy: ProxyId) -> bool {
        self.joined.remove(&proxy).is_some()
    }

    pub(crate) fn has(&self, proxy: ProxyId) -> bool {
        self.joined.contains_key(&proxy)
    }

    pub(crate) fn len(&self) -> usize {
        self.joined.len()
    }
}
