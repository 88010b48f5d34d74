//! The connections to the controller's own address: collectors, clients that send pings, and connections that have not
//! identified themselves yet.

use crate::client_session;
use crate::events::{ClientEvent, CloseReason, EventSender, TaskEvent, send_unless_shutting_down};
use pondarch_controller::ZoneId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// Minimum age of an unidentified connection before it may be evicted: its first message may be in transit, and may
/// identify a collector.
const MIN_UNIDENTIFIED_TIME: Duration = Duration::from_millis(100);
/// Maximum number of collectors per zone. More than one is allowed so that a collector can reconnect while its old
/// connection is still open, and so that another client that uses a zone's name does not evict the real collector.
const MAX_COLLECTORS_PER_ZONE: usize = 3;

/// The open connections and their tasks.
pub(crate) struct Clients {
    events: EventSender,
    max_open: usize,
    last_id: u64,
    open: BTreeMap<u64, Client>,
    /// The number of closed connections by reason, for the log.
    closed: BTreeMap<CloseReason, u64>,
}

struct Client {
    accepted_at: Instant,
    /// The zone of a collector; `None` while the connection is unidentified.
    zone: Option<ZoneId>,
    /// Tells the task that the client has been accepted as a collector.
    joined: watch::Sender<bool>,
    _task: AbortOnDropHandle<()>,
}

impl Clients {
    pub(crate) fn new(max_open: usize, events: EventSender) -> Clients {
        Clients {
            events,
            max_open,
            last_id: 0,
            open: BTreeMap::new(),
            closed: BTreeMap::new(),
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of closed connections by reason.
    pub(crate) fn closed(&self) -> &BTreeMap<CloseReason, u64> {
        &self.closed
    }

    /// Returns when one more connection may be accepted, or `None` if it may be accepted now. Without this delay,
    /// hundreds of connections that arrived at once evicted a collector whose first message was not read yet.
    pub(crate) fn capacity_available_at(&self) -> Option<Instant> {
        if self.open.len() < self.max_open {
            return None;
        }
        self.oldest_unidentified()
            .map(|(_, client)| client.accepted_at + MIN_UNIDENTIFIED_TIME)
    }

    /// Accepts a connection. At the limit, the oldest unidentified connection is evicted.
    pub(crate) fn accept(&mut self, stream: TcpStream) {
        if self.open.len() >= self.max_open {
            let Some(oldest) = self.oldest_unidentified().map(|(id, _)| id) else {
                return;
            };
            self.close(oldest, CloseReason::Evicted);
        }
        self.last_id += 1;
        let client = self.last_id;
        let events = self.events.clone();
        let (joined, joined_receiver) = watch::channel(false);
        let task = tokio::spawn(async move {
            let reason = client_session::run(stream, client, joined_receiver, &events).await;
            let event = ClientEvent::Closed(reason);
            send_unless_shutting_down(&events, TaskEvent::Client { client, event }).await;
        });
        self.open.insert(
            client,
            Client {
                accepted_at: Instant::now(),
                zone: None,
                joined,
                _task: AbortOnDropHandle::new(task),
            },
        );
    }

    fn oldest_unidentified(&self) -> Option<(u64, &Client)> {
        self.open
            .iter()
            .find(|(_, client)| client.zone.is_none())
            .map(|(id, client)| (*id, client))
    }

    /// Accepts a client as the collector of its zone, or closes it if the zone is unknown (`None`). If the zone has too
    /// many collectors, the oldest ones are evicted.
    pub(crate) fn join(&mut self, id: u64, zone: Option<ZoneId>) {
        let Some(zone) = zone else {
            return self.close(id, CloseReason::NotACollector);
        };
        let Some(client) = self.open.get_mut(&id) else {
            return;
        };
        client.zone = Some(zone);
        // This fails only if the task has just ended; the event for that is already queued.
        client.joined.send(true).ok();
        let in_zone: Vec<u64> = self
            .open
            .iter()
            .filter(|(_, client)| client.zone == Some(zone))
            .map(|(id, _)| *id)
            .collect();
        let excess = in_zone.len().saturating_sub(MAX_COLLECTORS_PER_ZONE);
        for &id in &in_zone[..excess] {
            self.close(id, CloseReason::Evicted);
        }
    }

    /// Returns whether an open connection is that of a collector.
    pub(crate) fn is_collector(&self, id: u64) -> bool {
        self.open
            .get(&id)
            .is_some_and(|client| client.zone.is_some())
    }

    /// Closes a connection, if it is still open.
    pub(crate) fn close(&mut self, id: u64, reason: CloseReason) {
        if self.open.remove(&id).is_some() {
            *self.closed.entry(reason).or_default() += 1;
        }
    }
}
