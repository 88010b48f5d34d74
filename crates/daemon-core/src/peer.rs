//! One proxy: dialled, looked at, joined, lost, and dialled again.

use crate::channel::Mail;
use pondarch_config::site::Links;
use pondarch_controller::DurationExt;
use pondarch_controller::{ProxyId, RequestClassId, TableId, Time, ZoneId};
use pondarch_proxy_session::{Front, Session};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Where a proxy's connection stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Link {
    /// Not connected; to be dialled at this time.
    Down(Time),
    Dialling,
    /// Connected; it is being asked what it holds.
    Looking,
    /// What it holds is known; it waits for room in the channel to be joined.
    Known {
        fresh: bool,
    },
    Joined,
    /// It has no runtime API and takes tables from the DNS front: joined while it asks.
    ByName {
        joined: bool,
    },
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) id: ProxyId,
    pub(crate) name: String,
    pub(crate) zone: ZoneId,
    pub(crate) usual: f64,
    pub(crate) link: Link,
    pub(crate) conn: u64,
    pub(crate) session: Session,
    pub(crate) bound: BTreeMap<RequestClassId, TableId>,
    pub(crate) mail: Mail,
    /// What its message under way cost in the channel.
    pub(crate) in_flight: f64,
    /// It may differ from what it should hold, since then and by this input.
    pub(crate) dirty: Option<(Time, String)>,
    pub(crate) blocked_until: Option<Time>,
    /// Answers are awaited and none has come since.
    pub(crate) silent_since: Option<Time>,
    pub(crate) failures: u32,
    pub(crate) ordered: u64,
    pub(crate) refused: u64,
}

impl Peer {
    pub(crate) fn new(
        n: usize,
        of: &pondarch_config::site::Proxy,
        zone: u16,
        front: Arc<Front>,
        now: Time,
    ) -> Peer {
        let link = if of.runtime.is_some() {
            Link::Down(now)
        } else {
            Link::ByName { joined: false }
        };
        Peer {
            id: ProxyId(n as u16),
            name: of.name.clone(),
            zone: ZoneId(zone),
            usual: of.usual_rate,
            link,
            conn: 0,
            session: Session::new(front),
            bound: BTreeMap::new(),
            mail: Mail::default(),
            in_flight: 0.0,
            dirty: None,
            blocked_until: None,
            silent_since: None,
            failures: 0,
            ordered: 0,
            refused: 0,
        }
    }

    pub(crate) fn is_connected(&self) -> bool {
        !matches!(
            self.link,
            Link::Down(_) | Link::Dialling | Link::ByName { .. }
        )
    }

    pub(crate) fn has_runtime(&self) -> bool {
        !matches!(self.link, Link::ByName { .. })
    }

    pub(crate) fn is_joined(&self) -> bool {
        self.link == Link::Joined
    }

    pub(crate) fn mark_dirty(&mut self, now: Time, cause: &str) {
        self.dirty.get_or_insert_with(|| (now, cause.to_string()));
    }

    /// The connection is gone: when to dial again. Doubling waits with jitter, so that proxies that were lost
    /// together do not come back together.
    pub(crate) fn lost(&mut self, now: Time, links: &Links, chance: &mut fastrand::Rng) {
        let (least, most) = (links.redial_least.0, links.redial_most.0);
        let doubled = least
            .scaled(f64::from(1u32 << self.failures.min(16)))
            .min(most);
        self.failures = self.failures.saturating_add(1);
        self.link = Link::Down(now + doubled.scaled(0.5 + chance.f64()));
        self.bound.clear();
        (self.dirty, self.blocked_until, self.silent_since) = (None, None, None);
    }
}
