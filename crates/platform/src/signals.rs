//! The signals that the program follows.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The streams of signals.
pub(crate) struct Signals {
    /// SIGTERM: end.
    pub(crate) terminate: Signal,
    /// SIGINT: end.
    pub(crate) interrupt: Signal,
    /// SIGHUP: read the upstreams' addresses again.
    pub(crate) hangup: Signal,
}

impl Signals {
    pub(crate) fn follow() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}
