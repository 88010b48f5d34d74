//! Errors that prevent the daemon from starting.

use pondarch_config::Endpoint;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// An error that prevents the daemon from starting.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum DaemonError {
    /// An address cannot be bound.
    #[error("cannot listen at {endpoint}: {source}")]
    Listen {
        /// The address.
        endpoint: Endpoint,
        /// The system's error.
        source: io::Error,
    },
    /// Another program holds the lock of the event log.
    #[error("records: {0}")]
    EventLog(#[from] pondarch_event_log::LockError),
    /// The DNS server's settings cannot be used.
    #[error("dns: {0}")]
    Dns(#[from] DnsError),
    /// The signal handlers cannot be installed.
    #[error("cannot follow signals: {0}")]
    Signals(#[source] io::Error),
}

impl DaemonError {
    /// Returns a function that wraps the system's error with the address.
    pub(crate) fn listen(endpoint: &Endpoint) -> impl Fn(io::Error) -> DaemonError {
        move |source| DaemonError::Listen {
            endpoint: endpoint.clone(),
            source,
        }
    }
}

/// Why the DNS server's settings cannot be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum DnsError {
    /// The times in the settings leave no lifetime for a DNS answer.
    #[error(transparent)]
    Lifetime(#[from] pondarch_dns_core::LifetimeError),
    /// A name in the settings is not a valid DNS name.
    #[error(transparent)]
    Zone(#[from] pondarch_dns_server::ZoneError),
    /// A secondary's secret cannot be used.
    #[error("{}: {source}", file.display())]
    Secret {
        /// The file that holds the secret.
        file: PathBuf,
        /// Why it cannot be used.
        source: SecretError,
    },
}

/// Why a secondary's secret cannot be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SecretError {
    /// The file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The secret is not valid Base64.
    #[error(transparent)]
    Encoding(#[from] data_encoding::DecodeError),
    /// The secret is not a valid TSIG key.
    #[error(transparent)]
    Key(#[from] pondarch_dns_server::KeyError),
}
