//! A time-ordered log of what the simulated components observe during a rehearsal.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// State of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// One observed event.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The endpoint list that controllers read changed the state of a host.
    ListedStateChanged {
        host: String,
        state: ListedState,
    },
    HostStarted {
        host: String,
        cores: f64,
        initial_capacity: f64,
        slow_start_window: Duration,
    },
    HostStopped {
        host: String,
    },
    /// A controller's connection to a proxy was established or lost.
    ControllerConnection {
        proxy: String,
        connected: bool,
    },
    /// A proxy received a message that contains updates.
    UpdateMessage {
        proxy: String,
        commands: usize,
    },
    /// From now on a proxy sends requests of a class to these hosts, by weight.
    TableChanged {
        proxy: String,
        class: String,
        lines: Vec<(String, u16)>,
    },
    /// An attempt by a proxy reached a host.
    Attempt {
        proxy: String,
        class: String,
        host: String,
        request_id: u64,
    },
    /// A request reached a host; `work` is its service time on one core.
    RequestArrived {
        host: String,
        request_id: u64,
        work: Duration,
    },
    /// A host started to execute a request, so that the request takes effect.
    ExecutionStarted {
        host: String,
        class: String,
        request_id: u64,
    },
    /// A client sent a request.
    RequestSent {
        class: String,
        request_id: u64,
    },
    /// A request of a client ended.
    RequestCompleted {
        class: String,
        request_id: u64,
        outcome: RequestOutcome,
        latency: Duration,
    },
    /// Number of lines waiting in a controller's update queue, as read from its own socket.
    QueuedLines {
        controller: String,
        lines: u64,
    },
    /// The script injected or removed a fault.
    Fault {
        name: &'static str,
        active: bool,
    },
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Succeeded,
    /// The proxy shed it and asked the client to retry later.
    Rejected,
    Failed,
}

/// The log; clones share their entries.
#[derive(Clone, Debug)]
pub struct ObservationLog {
    start: Instant,
    entries: Arc<Mutex<Vec<(Duration, Observation)>>>,
}

impl Default for ObservationLog {
    fn default() -> ObservationLog {
        ObservationLog {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }
}

impl ObservationLog {
    /// Time since the log was created.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Appends an observation with the current time.
    pub fn record(&self, observation: Observation) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        // Read the clock while holding the lock, so that entries are ordered by time.
        let elapsed = self.start.elapsed();
        entries.push((elapsed, observation));
    }

    /// Removes and returns all entries, with their time since the log was created.
    pub fn take(&self) -> Vec<(Duration, Observation)> {
        std::mem::take(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
