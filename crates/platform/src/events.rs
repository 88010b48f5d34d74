//! What the program's tasks send to its event loop.

use crate::error::ConnectionError;
use pondarch_controller::{HostId, HostLoad};
use pondarch_platform_core::CallOutcome;
use pondarch_platform_protocol::registry::RegistryList;
use pondarch_platform_protocol::relay::MembershipEvent;
use pondarch_platform_protocol::report::{MalformedMessage, Message};
use std::sync::Arc;
use tokio::sync::mpsc;

/// An event of a task.
#[derive(Debug)]
pub(crate) enum TaskEvent {
    /// From a connection to the registry or the relay.
    Upstream {
        /// The revision of the upstreams' addresses that the connection belongs to.
        revision: u64,
        event: UpstreamEvent,
    },
    /// A health check ended.
    HealthChecked {
        host: HostId,
        healthy: bool,
        load: Option<HostLoad>,
    },
    /// From a connection to the controller's own address.
    Client { client: u64, event: ClientEvent },
}

/// An event of a connection to the registry or the relay.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    EndpointList(RegistryList),
    EndpointWatchFailed(ConnectionError),
    MembershipWatchStarted,
    Membership(MembershipEvent),
    MembershipWatchFailed(ConnectionError),
    /// The connection for calls is established.
    CallsConnected,
    /// The connection for calls ended.
    CallsDisconnected(DisconnectReason),
    CallEnded {
        call: u64,
        outcome: CallOutcome,
        /// Why not all of it was surely applied; none if the relay answered so.
        error: Option<Arc<ConnectionError>>,
    },
}

/// Why a connection for calls ended.
#[derive(Clone, Debug)]
pub(crate) enum DisconnectReason {
    /// It was idle and is renewed.
    Idle,
    Failed(Arc<ConnectionError>),
}

/// An event of a connection to the controller's own address.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// The client is a collector of this zone.
    Identified {
        zone: String,
    },
    Report(Message),
    Malformed(MalformedMessage),
    Closed(CloseReason),
}

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseReason {
    /// The client closed it.
    Closed,
    /// The connection failed.
    Broken,
    /// The client sent what can't be read, or too many malformed messages.
    Unreadable,
    /// The client is no collector of a known zone.
    NotACollector,
    /// The client did not identify itself in time.
    NeverIdentified,
    /// Another client needed its place.
    Evicted,
}

/// Where the tasks' events go.
pub(crate) type EventSender = mpsc::Sender<TaskEvent>;

/// Sends an event. If the program is ending, nothing needs the event any more, and it is dropped.
pub(crate) async fn send_unless_ending(sender: &EventSender, event: TaskEvent) {
    sender.send(event).await.ok();
}

/// Where a connection to an upstream sends its events.
#[derive(Clone)]
pub(crate) struct UpstreamEvents {
    pub(crate) sender: EventSender,
    /// The revision of the upstreams' addresses that the connection belongs to.
    pub(crate) revision: u64,
}

impl UpstreamEvents {
    /// Sends an event; fails if the program is ending.
    pub(crate) async fn send(&self, event: UpstreamEvent) -> Result<(), ConnectionError> {
        self.sender
            .send(self.tag(event))
            .await
            .map_err(|_| ConnectionError::ProgramEnds)
    }

    /// Sends an event, or drops it if the program is ending.
    pub(crate) async fn send_unless_ending(&self, event: UpstreamEvent) {
        send_unless_ending(&self.sender, self.tag(event)).await;
    }

    fn tag(&self, event: UpstreamEvent) -> TaskEvent {
        TaskEvent::Upstream {
            revision: self.revision,
            event,
        }
    }
}
