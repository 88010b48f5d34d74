//! The connections to the controller's own address: collectors, clients that ping, and connections that are not
//! identified.

use crate::client_session;
use crate::events::{ClientEvent, CloseReason, EventSender, TaskEvent, send_unless_ending};
use pondarch_controller::ZoneId;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// An unidentified connection is not evicted sooner: its first message may be on its way, and be a collector's.
const MIN_UNIDENTIFIED_TIME: Duration = Duration::from_millis(100);
/// Collectors of one zone: one that reconnects replaces its silent former connection, and another client that uses a
/// zone's name does not evict the true collector.
const MAX_COLLECTORS_PER_ZONE: usize = 3;

/// The open connections, each with its task.
pub(crate) struct Clients {
    events: EventSender,
    max_open: usize,
    last_id: u64,
    open: BTreeMap<u64, Client>,
    /// Closed connections by reason, for the log.
    closed: BTreeMap<CloseReason, u64>,
}

struct Client {
    accepted_at: Instant,
    /// The zone of a collector; none: the connection is not identified.
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

    /// How many connections are open.
    pub(crate) fn open(&self) -> usize {
        self.open.len()
    }

    /// Closed connections by reason.
    pub(crate) fn closed(&self) -> &BTreeMap<CloseReason, u64> {
        &self.closed
    }

    /// From when on one more connection is accepted; none: now. Hundreds that arrived at once evicted a collector whose
    /// name was not read yet.
    pub(crate) fn capacity_from(&self) -> Option<Instant> {
        if self.open.len() < self.max_open {
            return None;
        }
        self.oldest_unidentified()
            .map(|(_, client)| client.accepted_at + MIN_UNIDENTIFIED_TIME)
    }

    /// Accepts a connection; without capacity, the oldest unidentified connection is evicted.
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
            send_unless_ending(&events, TaskEvent::Client { client, event }).await;
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

    /// A client named its zone; none: there is no such zone.
    pub(crate) fn join(&mut self, id: u64, zone: Option<ZoneId>) {
        let Some(zone) = zone else {
            return self.close(id, CloseReason::NotACollector);
        };
        let Some(client) = self.open.get_mut(&id) else {
            return;
        };
        client.zone = Some(zone);
        // The task may just have ended; then its last event is on its way, and nothing waits for this.
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

    /// Closes a connection, if it is still open.
    pub(crate) fn close(&mut self, id: u64, reason: CloseReason) {
        if self.open.remove(&id).is_some() {
            *self.closed.entry(reason).or_default() += 1;
        }
    }
}
