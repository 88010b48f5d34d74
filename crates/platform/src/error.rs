//! Errors of the program and of its connections.

use pondarch_io_util::GetError;
use pondarch_platform_protocol::config::ConfigError;
use pondarch_platform_protocol::registry::EndpointListError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio_util::codec::LinesCodecError;

/// Why the program can't start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum PlatformError {
    /// The environment doesn't name the configuration file.
    #[error("RELAY_CONFIG is not set")]
    NoConfig,
    /// The configuration can't be read.
    #[error("{}: {source}", path.display())]
    Config {
        /// The configuration file.
        path: PathBuf,
        /// Why it can't be read.
        source: ConfigFileError,
    },
    /// The program can't listen at its address.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The program can't receive signals.
    #[error("cannot follow signals: {0}")]
    Signals(#[source] io::Error),
}

/// Why the configuration file can't be read.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigFileError {
    /// The system can't read the file.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file's content is invalid.
    #[error(transparent)]
    Content(#[from] ConfigError),
}

/// Why there is no connection to an upstream, or why it is of no further use.
#[derive(Debug, Error)]
pub(crate) enum ConnectionError {
    /// It was not established in time.
    #[error("never came up")]
    DialTimeout,
    /// The system's error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The registry's answer is no HTTP, or has another status.
    #[error(transparent)]
    Request(#[from] GetError),
    /// The registry's answer ended with an error.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// A line of the relay is too long or no text.
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
    /// There was no answer in time.
    #[error("no answer")]
    AnswerTimeout,
    /// There was no sign of life in time.
    #[error("silent")]
    Silent,
    /// The registry gave no complete endpoint list in time.
    #[error("no complete list")]
    NoCompleteList,
    /// The registry sent changes that are older than the list.
    #[error("changes older than the list")]
    OutdatedChanges,
    /// A line of the registry has more bytes than are allowed.
    #[error("a line without end")]
    LineTooLong,
    /// The relay sent a line while no call was in flight.
    #[error("a line that answers no call")]
    UnsolicitedLine,
    /// The relay's answer to a call is malformed.
    #[error("an answer that cannot be read")]
    MalformedAnswer,
    /// The relay sent a malformed membership event.
    #[error("an event that cannot be read")]
    MalformedEvent,
    /// The relay rejected a request, with this error object.
    #[error("{0}")]
    Rejected(String),
    /// The program is ending.
    #[error("the controller ends")]
    ProgramEnds,
}
