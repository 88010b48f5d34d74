//! One proxy and the state of its connection.

use crate::update_queue::SentMessages;
use pondarch_config::site::ProxyConnectionSettings;
use pondarch_controller::DurationExt;
use pondarch_controller::{ProxyId, RequestClassId, TableId, Time, ZoneId};
use pondarch_proxy_session::{ProxyMapping, Session};
use std::collections::BTreeMap;
use std::sync::Arc;

/// State of the connection to a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkState {
    /// Not connected; to be dialled at this time.
    Disconnected(Time),
    Dialling,
    /// Connected; the state that the proxy holds is being read.
    ReadingState,
    /// The proxy's state is known; its join waits for room in the update queue.
    AwaitingJoin {
        /// Whether the proxy held nothing set by a controller, as after a restart of the proxy.
        fresh: bool,
    },
    Joined,
    /// The proxy has no runtime API and gets its tables from the DNS server; it is joined while it queries.
    Dns {
        joined: bool,
    },
}

/// An update that a proxy may need.
#[derive(Debug)]
pub(crate) struct PendingUpdate {
    /// Since when it is pending.
    pub(crate) since: Time,
    /// The input that caused it.
    pub(crate) cause: String,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) id: ProxyId,
    pub(crate) name: String,
    pub(crate) zone: ZoneId,
    pub(crate) usual_rate: f64,
    pub(crate) link: LinkState,
    /// Id of the current or latest connection.
    pub(crate) connection: u64,
    pub(crate) session: Session,
    pub(crate) bindings: BTreeMap<RequestClassId, TableId>,
    pub(crate) sent_messages: SentMessages,
    /// Cost in the update queue of the message that is in flight.
    pub(crate) in_flight: f64,
    /// Set while the proxy may hold something else than it should.
    pub(crate) pending_update: Option<PendingUpdate>,
    /// Until when the update queue delays the pending update.
    pub(crate) blocked_until: Option<Time>,
    /// Since when replies are awaited; none: no reply is due.
    pub(crate) silent_since: Option<Time>,
    pub(crate) failed_dials: u32,
    pub(crate) commands_sent: u64,
    pub(crate) commands_rejected: u64,
}

impl Peer {
    pub(crate) fn new(
        index: usize,
        settings: &pondarch_config::site::ProxyEntry,
        zone: u16,
        mapping: Arc<ProxyMapping>,
        now: Time,
    ) -> Peer {
        let link = if settings.runtime_api.is_some() {
            LinkState::Disconnected(now)
        } else {
            LinkState::Dns { joined: false }
        };
        Peer {
            id: ProxyId(index as u16),
            name: settings.name.clone(),
            zone: ZoneId(zone),
            usual_rate: settings.typical_request_rate,
            link,
            connection: 0,
            session: Session::new(mapping),
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
        !matches!(
            self.link,
            LinkState::Disconnected(_) | LinkState::Dialling | LinkState::Dns { .. }
        )
    }

    pub(crate) fn has_runtime(&self) -> bool {
        !matches!(self.link, LinkState::Dns { .. })
    }

    pub(crate) fn is_joined(&self) -> bool {
        self.link == LinkState::Joined
    }

    pub(crate) fn require_update(&mut self, now: Time, cause: &str) {
        self.pending_update.get_or_insert_with(|| PendingUpdate {
            since: now,
            cause: cause.to_string(),
        });
    }

    /// Schedules the next dial after a lost connection: exponential backoff with jitter, so that proxies that were lost
    /// together are not dialled together.
    pub(crate) fn on_disconnected(
        &mut self,
        now: Time,
        links: &ProxyConnectionSettings,
        random: &mut fastrand::Rng,
    ) {
        let min_delay = links.min_reconnect_backoff.0;
        let max_delay = links.max_reconnect_backoff.0;
        let delay = min_delay
            .scaled(f64::from(1u32 << self.failed_dials.min(16)))
            .min(max_delay);
        self.failed_dials = self.failed_dials.saturating_add(1);
        self.link = LinkState::Disconnected(now + delay.scaled(0.5 + random.f64()));
        self.bindings.clear();
        self.pending_update = None;
        self.blocked_until = None;
        self.silent_since = None;
    }
}
