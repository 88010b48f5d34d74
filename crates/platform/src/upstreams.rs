//! The connections to the registry and the relay. When an address changes, the new connection is established while the
//! old one stays in use. The old one is dropped when the new one is ready: a registry is ready once it has sent its
//! endpoint list, a relay once it has started its membership events.

use crate::endpoint_watch::EndpointWatch;
use crate::events::{EventSender, UpstreamEvent, UpstreamEventSender};
use crate::membership_watch;
use crate::update_calls::{Call, CallTask};
use pondarch_platform_protocol::config::UpstreamAddresses;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

/// The revision of the addresses at the program's start.
const FIRST_REVISION: u64 = 1;

/// The connections to the registry and the relay.
pub(crate) struct Upstreams {
    events: EventSender,
    addresses: UpstreamAddresses,
    /// Incremented with each change of the addresses.
    revision: u64,
    endpoint_watch: Handover<AbortOnDropHandle<()>>,
    membership_watch: Handover<AbortOnDropHandle<()>>,
    calls: Handover<CallConnection>,
    /// The tasks of the connections for update calls. Each ends by itself once its sender is dropped and its call has
    /// ended.
    call_tasks: JoinSet<()>,
}

/// A connection to an address of one revision.
struct Revisioned<T> {
    revision: u64,
    connection: T,
}

/// The current connection, and the previous one, which stays in use until the current one is ready.
struct Handover<T> {
    current: Revisioned<T>,
    previous: Option<Revisioned<T>>,
}

/// Whether an event shows that its connection is ready for use.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Readiness {
    Ready,
    Unknown,
}

struct CallConnection {
    calls: mpsc::Sender<Call>,
    connected: bool,
    /// Whether the relay has started its membership events. A relay that only accepts connections may never answer a
    /// call.
    membership_watch_started: bool,
}

impl<T> Handover<T> {
    fn new(connection: T) -> Handover<T> {
        Handover {
            current: Revisioned {
                revision: FIRST_REVISION,
                connection,
            },
            previous: None,
        }
    }

    /// Replaces the current connection. If that one is not ready yet, it is dropped and the previous one is kept: when
    /// the previous one was dropped at a second change of address, there was no connection until the third one was
    /// ready.
    fn replace(&mut self, revision: u64, connection: T) {
        let next = Revisioned {
            revision,
            connection,
        };
        let last = std::mem::replace(&mut self.current, next);
        self.previous.get_or_insert(last);
    }

    /// Returns whether an event of this revision is still relevant. If the event shows that the current connection is
    /// ready, the previous one is dropped.
    fn accept_event(&mut self, revision: u64, readiness: Readiness) -> bool {
        if revision == self.current.revision {
            self.previous.take_if(|_| readiness == Readiness::Ready);
            return true;
        }
        self.previous
            .as_ref()
            .is_some_and(|previous| previous.revision == revision)
    }

    /// Returns the connections, the previous one first.
    fn connections(&self) -> impl Iterator<Item = &T> {
        self.previous
            .iter()
            .chain(std::iter::once(&self.current))
            .map(|revisioned| &revisioned.connection)
    }

    /// Returns the connection of a revision, if it still exists.
    fn get_mut(&mut self, revision: u64) -> Option<&mut T> {
        std::iter::once(&mut self.current)
            .chain(self.previous.as_mut())
            .find(|revisioned| revisioned.revision == revision)
            .map(|revisioned| &mut revisioned.connection)
    }
}

impl Upstreams {
    /// Connects to the registry and the relay. `generation` is that of the endpoint list in the configuration, if any.
    pub(crate) fn start(
        addresses: UpstreamAddresses,
        generation: Option<u64>,
        events: EventSender,
    ) -> Upstreams {
        let event_sender = UpstreamEventSender {
            sender: events.clone(),
            revision: FIRST_REVISION,
        };
        let mut call_tasks = JoinSet::new();
        Upstreams {
            endpoint_watch: Handover::new(watch_endpoints(addresses, generation, &event_sender)),
            membership_watch: Handover::new(watch_membership(addresses, &event_sender)),
            calls: Handover::new(connect_calls(addresses, &event_sender, &mut call_tasks)),
            call_tasks,
            revision: FIRST_REVISION,
            addresses,
            events,
        }
    }

    /// Connects to the upstreams whose address has changed.
    pub(crate) fn change_addresses(&mut self, addresses: UpstreamAddresses) {
        self.revision += 1;
        let event_sender = UpstreamEventSender {
            sender: self.events.clone(),
            revision: self.revision,
        };
        if addresses.registry != self.addresses.registry {
            self.endpoint_watch.replace(
                self.revision,
                watch_endpoints(addresses, None, &event_sender),
            );
        }
        if addresses.relay != self.addresses.relay {
            self.membership_watch
                .replace(self.revision, watch_membership(addresses, &event_sender));
            let calls = connect_calls(addresses, &event_sender, &mut self.call_tasks);
            self.calls.replace(self.revision, calls);
        }
        self.addresses = addresses;
    }

    /// Updates the connections by an event of this revision. Returns whether the event is still relevant.
    pub(crate) fn apply(&mut self, revision: u64, event: &UpstreamEvent) -> bool {
        while self.call_tasks.try_join_next().is_some() {}
        match event {
            UpstreamEvent::EndpointList(_) => {
                self.endpoint_watch.accept_event(revision, Readiness::Ready)
            }
            UpstreamEvent::EndpointWatchFailed(_) => self
                .endpoint_watch
                .accept_event(revision, Readiness::Unknown),
            UpstreamEvent::MembershipWatchStarted => {
                self.update_call_connection(revision, |calls| {
                    calls.membership_watch_started = true
                });
                self.membership_watch
                    .accept_event(revision, Readiness::Ready)
            }
            UpstreamEvent::Membership(_) | UpstreamEvent::MembershipWatchFailed(_) => self
                .membership_watch
                .accept_event(revision, Readiness::Unknown),
            UpstreamEvent::CallsConnected => {
                self.update_call_connection(revision, |calls| calls.connected = true)
            }
            UpstreamEvent::CallsDisconnected(_) => {
                self.update_call_connection(revision, |calls| calls.connected = false)
            }
            UpstreamEvent::CallEnded { .. } => true,
        }
    }

    /// Updates the state of the connection for update calls of this revision. Returns whether its events are still
    /// relevant.
    fn update_call_connection(
        &mut self,
        revision: u64,
        update: impl FnOnce(&mut CallConnection),
    ) -> bool {
        if let Some(calls) = self.calls.get_mut(revision) {
            update(calls);
        }
        let current = &self.calls.current.connection;
        let readiness = if current.connected && current.membership_watch_started {
            Readiness::Ready
        } else {
            Readiness::Unknown
        };
        self.calls.accept_event(revision, readiness)
    }

    /// Returns the connection to use for calls: the previous one until the current one is ready.
    fn call_connection(&self) -> Option<&CallConnection> {
        self.calls.connections().find(|calls| calls.connected)
    }

    /// Returns whether a call can be sent now.
    pub(crate) fn can_call(&self) -> bool {
        self.call_connection().is_some()
    }

    /// Passes a call to the connection for update calls. Returns the call as an error if no connection can take it.
    pub(crate) fn call(&self, call: Call) -> Result<(), Call> {
        let Some(connection) = self.call_connection() else {
            return Err(call);
        };
        connection
            .calls
            .try_send(call)
            .map_err(mpsc::error::TrySendError::into_inner)
    }
}

/// Spawns a task that is aborted when its handle is dropped.
fn spawn_owned(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

fn watch_endpoints(
    addresses: UpstreamAddresses,
    generation: Option<u64>,
    events: &UpstreamEventSender,
) -> AbortOnDropHandle<()> {
    let watch = EndpointWatch {
        registry: addresses.registry,
        generation,
        events: events.clone(),
    };
    spawn_owned(watch.run())
}

fn watch_membership(
    addresses: UpstreamAddresses,
    events: &UpstreamEventSender,
) -> AbortOnDropHandle<()> {
    spawn_owned(membership_watch::run(addresses.relay, events.clone()))
}

fn connect_calls(
    addresses: UpstreamAddresses,
    events: &UpstreamEventSender,
    tasks: &mut JoinSet<()>,
) -> CallConnection {
    // At most one call is in flight.
    let (calls, queue) = mpsc::channel(1);
    let task = CallTask {
        relay: addresses.relay,
        calls: queue,
        events: events.clone(),
    };
    tasks.spawn(task.run());
    CallConnection {
        calls,
        connected: false,
        membership_watch_started: false,
    }
}
