//! Errors of the program and of its connections.

use pondarch_io_util::GetError;
use pondarch_platform_protocol::config::ConfigError;
use pondarch_platform_protocol::registry::EndpointListError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio_util::codec::LinesCodecError;

/// Why the program cannot start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum PlatformError {
    /// The environment does not name the configuration file.
    #[error("RELAY_CONFIG is not set")]
    NoConfig,
    /// The configuration file is unreadable or invalid.
    #[error("{}: {source}", path.display())]
    Config {
        /// The configuration file.
        path: PathBuf,
        /// The reason.
        source: ConfigFileError,
    },
    /// The program cannot listen on its address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The program cannot register its signal handlers.
    #[error("cannot register signal handlers: {0}")]
    Signals(#[source] io::Error),
}

/// Why the configuration file is unreadable or invalid.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigFileError {
    /// The operating system cannot read the file.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file's content is invalid.
    #[error(transparent)]
    Content(#[from] ConfigError),
}

/// Why a connection to an upstream could not be established or is no longer used.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// The connection was not established in time.
    #[error("connection timed out")]
    DialTimeout,
    /// The operating system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The registry's answer is not valid HTTP or has an unexpected status.
    #[error(transparent)]
    Request(#[from] GetError),
    /// The body of the registry's answer ended with an error.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// A line of the relay is too long or is not valid UTF-8.
    #[error(transparent)]
    Line(#[from] LinesCodecError),
    /// The registry sent an invalid endpoint list.
    #[error(transparent)]
    EndpointList(#[from] EndpointListError),
    /// The relay closed the connection.
    #[error("closed by the relay")]
    ClosedByRelay,
    /// The registry closed the connection.
    #[error("closed by the registry")]
    ClosedByRegistry,
    /// The upstream did not answer in time.
    #[error("timed out waiting for an answer")]
    AnswerTimeout,
    /// The upstream did not send the expected data in time.
    #[error("timed out waiting for data")]
    Silent,
    /// The registry did not return a complete endpoint list in time.
    #[error("no complete list")]
    NoCompleteList,
    /// The registry sent changes that are older than the known endpoint list.
    #[error("changes are older than the known list")]
    OutdatedChanges,
    /// A line of the registry exceeds the size limit.
    #[error("line exceeds the size limit")]
    LineTooLong,
    /// The relay sent a line while no call was in flight.
    #[error("a line that answers no call")]
    UnsolicitedLine,
    /// The relay's answer to a call is malformed.
    #[error("malformed answer")]
    MalformedAnswer,
    /// The relay sent a malformed membership event.
    #[error("an event that cannot be read")]
    MalformedEvent,
    /// The relay rejected a request, with this error object.
    #[error("{0}")]
    Rejected(String),
    /// The program is shutting down.
    #[error("the controller ends")]
    ShuttingDown,
}
