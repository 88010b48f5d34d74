//! One proxy: dialled, read, joined, lost, and dialled again.

use crate::update_queue::SentMessages;
use pondarch_config::site::ProxyConnectionSettings;
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
    ReadingState,
    /// What it holds is known; it waits for room in the update queue to be joined.
    Waiting {
        fresh: bool,
    },
    Joined,
    /// It has no runtime API and takes tables from the DNS server: joined while it queries.
    Dns {
        joined: bool,
    },
}

/// A difference that may be due to a proxy.
#[derive(Debug)]
pub(crate) struct PendingUpdate {
    /// Since when.
    pub(crate) since: Time,
    /// The input that led to it.
    pub(crate) cause: String,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) id: ProxyId,
    pub(crate) name: String,
    pub(crate) zone: ZoneId,
    pub(crate) usual_rate: f64,
    pub(crate) link: Link,
    pub(crate) connection: u64,
    pub(crate) session: Session,
    pub(crate) bindings: BTreeMap<RequestClassId, TableId>,
    pub(crate) sent_messages: SentMessages,
    /// What its message under way cost in the update queue.
    pub(crate) in_flight: f64,
    /// Whether it may differ from what it should hold.
    pub(crate) pending_update: Option<PendingUpdate>,
    pub(crate) blocked_until: Option<Time>,
    /// Since when answers are awaited; none: no answer is due.
    pub(crate) silent_since: Option<Time>,
    pub(crate) failed_dials: u32,
    pub(crate) commands_sent: u64,
    pub(crate) commands_rejected: u64,
}

impl Peer {
    pub(crate) fn new(
        n: usize,
        settings: &pondarch_config::site::ProxyEntry,
        zone: u16,
        front: Arc<Front>,
        now: Time,
    ) -> Peer {
        let link = if settings.runtime_api.is_some() {
            Link::Down(now)
        } else {
            Link::Dns { joined: false }
        };
        Peer {
            id: ProxyId(n as u16),
            name: settings.name.clone(),
            zone: ZoneId(zone),
            usual_rate: settings.typical_request_rate,
            link,
            connection: 0,
            session: Session::new(front),
            bindings: BTreeMap::new(),
            sent_messages: SentMessages::default(),
            in_flight: 0.0,
            pending_update: None,
            blocked_until: None,
            silent_since: None,
            failed_dials: 0,
            commands_sent: 0,
            commands_rejected: 0,
        }
    }

    pub(crate) fn is_connected(&self) -> bool {
        !matches!(self.link, Link::Down(_) | Link::Dialling | Link::Dns { .. })
    }

    pub(crate) fn has_runtime(&self) -> bool {
        !matches!(self.link, Link::Dns { .. })
    }

    pub(crate) fn is_joined(&self) -> bool {
        self.link == Link::Joined
    }

    pub(crate) fn require_update(&mut self, now: Time, cause: &str) {
        self.pending_update.get_or_insert_with(|| PendingUpdate {
            since: now,
            cause: cause.to_string(),
        });
    }

    /// The connection is gone: when to dial again. Doubling waits with jitter, so that proxies that were lost
    /// together do not come back together.
    pub(crate) fn on_disconnected(
        &mut self,
        now: Time,
        links: &ProxyConnectionSettings,
        random: &mut fastrand::Rng,
    ) {
        let min_delay = links.min_reconnect_backoff.0;
        let max_delay = links.max_reconnect_backoff.0;
        let doubled = min_delay
            .scaled(f64::from(1u32 << self.failed_dials.min(16)))
            .min(max_delay);
        self.failed_dials = self.failed_dials.saturating_add(1);
        self.link = Link::Down(now + doubled.scaled(0.5 + random.f64()));
        self.bindings.clear();
        self.pending_update = None;
        self.blocked_until = None;
        self.silent_since = None;
    }
}
