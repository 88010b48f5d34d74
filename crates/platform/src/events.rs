//! The events that tasks send to the event loop.

use crate::error::ConnectionError;
use pondarch_controller::{HostId, HostLoad};
use pondarch_platform_core::CallOutcome;
use pondarch_platform_protocol::registry::RegistryList;
use pondarch_platform_protocol::relay::MembershipEvent;
use pondarch_platform_protocol::report::{MalformedMessage, Message};
use std::sync::Arc;
use tokio::sync::mpsc;

/// An event from a task.
#[derive(Debug)]
pub(crate) enum TaskEvent {
    /// An event from a connection to the registry or the relay.
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
    /// An event from a connection to the controller's own address.
    Client { client: u64, event: ClientEvent },
}

/// An event from a connection to the registry or the relay.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    EndpointList(RegistryList),
    EndpointWatchFailed(ConnectionError),
    MembershipWatchStarted,
    Membership(MembershipEvent),
    MembershipWatchFailed(ConnectionError),
    /// The connection for update calls is established.
    CallsConnected,
    /// The connection for update calls ended or could not be established.
    CallsDisconnected(DisconnectReason),
    CallEnded {
        call: u64,
        outcome: CallOutcome,
        /// Why the call was rejected or is in doubt. `None` if the relay applied it in whole or in part, or if it was
        /// rejected because an idle connection was being replaced.
        error: Option<Arc<ConnectionError>>,
    },
}

/// Why a connection for update calls ended.
#[derive(Clone, Debug)]
pub(crate) enum DisconnectReason {
    /// The connection was idle, and is replaced by a new one.
    Idle,
    Failed(Arc<ConnectionError>),
}

/// An event from a connection to the controller's own address.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// The client identified itself as a collector of this zone.
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
    /// The client closed the connection.
    Closed,
    /// The connection failed.
    Broken,
    /// The client sent an invalid frame, or too many malformed messages in a row.
    Unreadable,
    /// The client is not a collector of a known zone.
    NotACollector,
    /// The client did not identify itself in time.
    NeverIdentified,
    /// The connection was closed in favor of another client's.
    Evicted,
}

/// The sender for the tasks' events.
pub(crate) type EventSender = mpsc::Sender<TaskEvent>;

/// Sends an event. While the program is shutting down, the event is no longer needed and is dropped.
pub(crate) async fn send_unless_shutting_down(sender: &EventSender, event: TaskEvent) {
    sender.send(event).await.ok();
}

/// The sender for the events of one connection to an upstream.
#[derive(Clone)]
pub(crate) struct UpstreamEventSender {
    pub(crate) sender: EventSender,
    /// The revision of the upstreams' addresses that the connection belongs to.
    pub(crate) revision: u64,
}

impl UpstreamEventSender {
    /// Sends an event. Fails while the program is shutting down.
    pub(crate) async fn send(&self, event: UpstreamEvent) -> Result<(), ConnectionError> {
        self.sender
            .send(self.with_revision(event))
            .await
            .map_err(|_| ConnectionError::ShuttingDown)
    }

    /// Sends an event. While the program is shutting down, the event is dropped.
    pub(crate) async fn send_unless_shutting_down(&self, event: UpstreamEvent) {
        send_unless_shutting_down(&self.sender, self.with_revision(event)).await;
    }

    fn with_revision(&self, event: UpstreamEvent) -> TaskEvent {
        TaskEvent::Upstream {
            revision: self.revision,
            event,
        }
    }
}
