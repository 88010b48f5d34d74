//! The signals that the program handles.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The streams of signals.
pub(crate) struct Signals {
    /// SIGTERM: shut down.
    pub(crate) terminate: Signal,
    /// SIGINT: shut down.
    pub(crate) interrupt: Signal,
    /// SIGHUP: reload the upstreams' addresses.
    pub(crate) hangup: Signal,
}

impl Signals {
    pub(crate) fn register() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}
