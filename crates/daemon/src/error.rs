//! Why a daemon cannot start.

use pondarch_config::Endpoint;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a daemon cannot start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum DaemonError {
    /// An address cannot be had.
    #[error("cannot listen at {endpoint}: {source}")]
    Listen {
        /// The address.
        endpoint: Endpoint,
        /// The error of the system.
        source: io::Error,
    },
    /// Another program writes the event log.
    #[error("records: {0}")]
    EventLog(#[from] pondarch_event_log::LockError),
    /// The DNS server's settings cannot be used.
    #[error("dns: {0}")]
    Dns(#[from] DnsError),
    /// The system gives no signals.
    #[error("cannot follow signals: {0}")]
    Signals(#[source] io::Error),
}

impl DaemonError {
    /// Gives the error of an address from that of the system.
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
    /// The times of the settings leave no lifetime for an answer.
    #[error(transparent)]
    Lifetime(#[from] pondarch_dns_core::LifetimeError),
    /// A name of the settings cannot be one in DNS.
    #[error(transparent)]
    Zone(#[from] pondarch_dns_server::ZoneError),
    /// A secondary's key cannot be used.
    #[error("{}: {source}", file.display())]
    Secret {
        /// The file that holds the secret.
        file: PathBuf,
        /// What is wrong with it.
        source: SecretError,
    },
}

/// What is wrong with a secondary's secret.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SecretError {
    /// Its file cannot be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It is not Base64.
    #[error(transparent)]
    Encoding(#[from] data_encoding::DecodeError),
    /// It makes no key.
    #[error(transparent)]
    Key(#[from] pondarch_dns_server::KeyError),
}
