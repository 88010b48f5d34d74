//! Why a daemon cannot start.

use pondarch_config::Endpoint;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum DaemonError {
    #[error("cannot listen at {at}: {wrong}")]
    Listen { at: Endpoint, wrong: std::io::Error },
    #[error("records: {0}")]
    Records(#[from] pondarch_event_log::LockError),
    #[error("dns: {0}")]
    Dns(String),
    #[error("cannot follow signals: {0}")]
    Signals(std::io::Error),
}
