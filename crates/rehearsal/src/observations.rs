//! What the stand-ins saw, in one list, with the time since the day began.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Where a host stands on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Ready,
    Drain,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// The list that stewards follow says this of a host.
    Listed {
        host: String,
        as_: Listed,
    },
    HostStarted {
        host: String,
        cores: f64,
        start_share: f64,
        warm_within: Duration,
    },
    HostDied {
        host: String,
    },
    /// A steward's connection to a proxy came up or broke.
    Link {
        proxy: String,
        up: bool,
    },
    /// A line with orders came to a proxy.
    Message {
        proxy: String,
        commands: usize,
    },
    /// What a proxy may pick for a kind, from now on.
    Lines {
        proxy: String,
        kind: String,
        lines: Vec<(String, u16)>,
    },
    /// A try of a proxy came to a host.
    Try {
        proxy: String,
        kind: String,
        host: String,
        req: u64,
    },
    /// A req came to a host, as work of one core.
    Arrived {
        host: String,
        req: u64,
        work: Duration,
    },
    /// A host began to carry a req out: it takes effect.
    Ran {
        host: String,
        kind: String,
        req: u64,
    },
    Asked {
        kind: String,
        req: u64,
    },
    Ended {
        kind: String,
        req: u64,
        how: How,
        took: Duration,
    },
    /// What a steward's own socket says of its channel.
    Waiting {
        steward: String,
        lines: u64,
    },
    /// A trouble of the script begins or ends.
    Trouble {
        name: &'static str,
        begins: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    Done,
    Denied,
    Errored,
}

/// The list; clones share it.
#[derive(Clone, Debug)]
pub struct Facts {
    start: Instant,
    list: Arc<Mutex<Vec<(Duration, Fact)>>>,
}

impl Default for Facts {
    fn default() -> Facts {
        Facts {
            start: Instant::now(),
            list: Arc::default(),
        }
    }
}

impl Facts {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, fact: Fact) {
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        // Under the lock, so that the list is in order of time.
        let now = self.start.elapsed();
        list.push((now, fact));
    }

    pub fn take(&self) -> Vec<(Duration, Fact)> {
        std::mem::take(&mut self.list.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
