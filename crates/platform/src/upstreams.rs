//! The connections to registry and relay. When these move, the new connections are dialled while the old ones still
//! serve, and each old one is dropped when its new one serves: a registry once it has sent its endpoint list, a relay
//! once it has started its membership events.

use crate::endpoint_watch::EndpointWatch;
use crate::events::{EventSender, UpstreamEvent, UpstreamEvents};
use crate::membership_watch;
use crate::update_calls::{Call, CallTask};
use pondarch_platform_protocol::config::UpstreamAddresses;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

/// The revision of the addresses that the program starts with.
const FIRST_REVISION: u64 = 1;

/// The connections to registry and relay.
pub(crate) struct Upstreams {
    events: EventSender,
    addresses: UpstreamAddresses,
    /// Counts the moves of the addresses.
    revision: u64,
    endpoint_watch: Handover<AbortOnDropHandle<()>>,
    membership_watch: Handover<AbortOnDropHandle<()>>,
    calls: Handover<CallConnection>,
    /// The tasks of the connections for calls: each ends by itself, once its sender is dropped and its call has ended.
    call_tasks: JoinSet<()>,
}

/// A connection of one revision.
struct Revisioned<T> {
    revision: u64,
    connection: T,
}

/// The newest connection, and the one before, which serves until the newest does.
struct Handover<T> {
    current: Revisioned<T>,
    previous: Option<Revisioned<T>>,
}

/// Whether an event shows that its connection serves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Proof {
    Serves,
    Nothing,
}

struct CallConnection {
    calls: mpsc::Sender<Call>,
    connected: bool,
    /// Whether that relay has started its membership events. One that only accepts connections may answer nothing at
    /// all.
    membership_started: bool,
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

    /// Of two moves in a row the connection in the middle is dropped, which never served; what still serves stays. It
    /// was dropped with the second move, and nothing served until the third connection did.
    fn replace(&mut self, revision: u64, connection: T) {
        let next = Revisioned {
            revision,
            connection,
        };
        let last = std::mem::replace(&mut self.current, next);
        self.previous.get_or_insert(last);
    }

    /// Whether an event of this revision still counts. The proof that the current connection serves drops the previous
    /// one.
    fn accepts(&mut self, revision: u64, proof: Proof) -> bool {
        if revision == self.current.revision {
            self.previous.take_if(|_| proof == Proof::Serves);
            return true;
        }
        self.previous
            .as_ref()
            .is_some_and(|previous| previous.revision == revision)
    }

    /// The connections, the one before first.
    fn connections(&self) -> impl Iterator<Item = &T> {
        self.previous
            .iter()
            .chain(std::iter::once(&self.current))
            .map(|revisioned| &revisioned.connection)
    }

    /// The connection of a revision, if it still exists.
    fn get_mut(&mut self, revision: u64) -> Option<&mut T> {
        std::iter::once(&mut self.current)
            .chain(self.previous.as_mut())
            .find(|revisioned| revisioned.revision == revision)
            .map(|revisioned| &mut revisioned.connection)
    }
}

impl Upstreams {
    /// Dials the registry and the relay. `generation`: of the endpoint list that is known already.
    pub(crate) fn start(
        addresses: UpstreamAddresses,
        generation: Option<u64>,
        events: EventSender,
    ) -> Upstreams {
        let tagged = UpstreamEvents {
            sender: events.clone(),
            revision: FIRST_REVISION,
        };
        let mut call_tasks = JoinSet::new();
        Upstreams {
            endpoint_watch: Handover::new(watch_endpoints(addresses, generation, &tagged)),
            membership_watch: Handover::new(watch_membership(addresses, &tagged)),
            calls: Handover::new(connect_calls(addresses, &tagged, &mut call_tasks)),
            call_tasks,
            revision: FIRST_REVISION,
            addresses,
            events,
        }
    }

    /// Dials the upstreams whose address has changed.
    pub(crate) fn move_to(&mut self, addresses: UpstreamAddresses) {
        self.revision += 1;
        let tagged = UpstreamEvents {
            sender: self.events.clone(),
            revision: self.revision,
        };
        if addresses.registry != self.addresses.registry {
            self.endpoint_watch
                .replace(self.revision, watch_endpoints(addresses, None, &tagged));
        }
        if addresses.relay != self.addresses.relay {
            self.membership_watch
                .replace(self.revision, watch_membership(addresses, &tagged));
            let calls = connect_calls(addresses, &tagged, &mut self.call_tasks);
            self.calls.replace(self.revision, calls);
        }
        self.addresses = addresses;
    }

    /// Applies an event of this revision to the connections; gives whether it still counts.
    pub(crate) fn apply(&mut self, revision: u64, event: &UpstreamEvent) -> bool {
        while self.call_tasks.try_join_next().is_some() {}
        match event {
            UpstreamEvent::EndpointList(_) => self.endpoint_watch.accepts(revision, Proof::Serves),
            UpstreamEvent::EndpointWatchFailed(_) => {
                self.endpoint_watch.accepts(revision, Proof::Nothing)
            }
            UpstreamEvent::MembershipWatchStarted => {
                self.update_calls(revision, |calls| calls.membership_started = true);
                self.membership_watch.accepts(revision, Proof::Serves)
            }
            UpstreamEvent::Membership(_) | UpstreamEvent::MembershipWatchFailed(_) => {
                self.membership_watch.accepts(revision, Proof::Nothing)
            }
            UpstreamEvent::CallsConnected => {
                self.update_calls(revision, |calls| calls.connected = true)
            }
            UpstreamEvent::CallsDisconnected(_) => {
                self.update_calls(revision, |calls| calls.connected = false)
            }
            UpstreamEvent::CallEnded { .. } => true,
        }
    }

    /// Changes what is known of the connection for calls of this revision; gives whether its events still count.
    fn update_calls(&mut self, revision: u64, update: impl FnOnce(&mut CallConnection)) -> bool {
        if let Some(calls) = self.calls.get_mut(revision) {
            update(calls);
        }
        let current = &self.calls.current.connection;
        let proof = if current.connected && current.membership_started {
            Proof::Serves
        } else {
            Proof::Nothing
        };
        self.calls.accepts(revision, proof)
    }

    /// The connection that takes calls: the previous one, until the current one is known to serve.
    fn serving(&self) -> Option<&CallConnection> {
        self.calls.connections().find(|calls| calls.connected)
    }

    /// Whether a call can be sent now.
    pub(crate) fn can_call(&self) -> bool {
        self.serving().is_some()
    }

    /// Hands a call over; gives it back if no connection can take it.
    pub(crate) fn call(&self, call: Call) -> Result<(), Call> {
        let Some(connection) = self.serving() else {
            return Err(call);
        };
        connection
            .calls
            .try_send(call)
            .map_err(mpsc::error::TrySendError::into_inner)
    }
}

/// Spawns a task that ends with its owner.
fn spawn_owned(task: impl Future<Output = ()> + Send + 'static) -> AbortOnDropHandle<()> {
    AbortOnDropHandle::new(tokio::spawn(task))
}

fn watch_endpoints(
    addresses: UpstreamAddresses,
    generation: Option<u64>,
    events: &UpstreamEvents,
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
    events: &UpstreamEvents,
) -> AbortOnDropHandle<()> {
    spawn_owned(membership_watch::run(addresses.relay, events.clone()))
}

fn connect_calls(
    addresses: UpstreamAddresses,
    events: &UpstreamEvents,
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
        membership_started: false,
    }
}
