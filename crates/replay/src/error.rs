//! What can be wrong with a folder of records: as a whole, and in one of its files.

use pondarch_config::SettingsError;
use pondarch_event_log::{FrameError, SegmentError};
use thiserror::Error;

/// Why a folder of records cannot be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ReplayError {
    /// The folder or a file in it cannot be read.
    #[error("the records cannot be read: {0}")]
    Io(#[from] std::io::Error),
    /// A segment that could be read before cannot be read now.
    #[error("{file}: {source}")]
    Segment {
        /// The segment.
        file: String,
        /// What is wrong with it.
        source: SegmentError,
    },
    /// The folder has no records.
    #[error("there are no records")]
    NoRecords,
    /// The settings of a run are not valid.
    #[error("the settings in the records: {0}")]
    Settings(#[source] SettingsError),
    /// The columnar file cannot be written.
    #[error("the columnar file: {0}")]
    Export(#[from] arrow_schema::ArrowError),
    /// The run was recorded without its start, or that has been removed.
    #[error("the scene: the start of run {0} is not on record")]
    NoStart(u64),
    /// The settings of a what-if replay lack a proxy of the scenario.
    #[error("the scene: the settings have no proxy '{0}'")]
    NoProxy(String),
}

/// Something that is wrong in a file of records. Reading goes on behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayFault {
    /// The file.
    pub file: String,
    /// What is wrong.
    pub cause: ReplayFaultCause,
}

/// What is wrong in a file of records.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReplayFaultCause {
    /// The segment cannot be read at all.
    #[error("{0}")]
    Segment(#[source] SegmentError),
    /// The segment is damaged from a record on.
    #[error("{error}, at byte {offset}: the {dropped_bytes} bytes from there on are not read")]
    Damaged {
        /// What is wrong with the record.
        #[source]
        error: FrameError,
        /// Where it begins.
        offset: u64,
        /// Bytes from there to the end of the file.
        dropped_bytes: u64,
    },
    /// So many records have no meaning to this program.
    #[error("{0} records are of no kind that this program knows")]
    UnknownRecords(u64),
    /// Inputs between two that were recorded are missing.
    #[error("inputs {first} to {last} of the run before it are missing")]
    MissingInputs {
        /// The first that is missing.
        first: u64,
        /// The last that is missing.
        last: u64,
    },
    /// The records say that inputs were not recorded.
    #[error("inputs {first} to {last} were not recorded: {reason}")]
    NotRecorded {
        /// The first that was not recorded.
        first: u64,
        /// The last that was not recorded.
        last: u64,
        /// Why, as the records say.
        reason: String,
    },
    /// The start of a run has been removed, so that it cannot be replayed.
    #[error("the start of run {0} is not on record any more: it cannot be played")]
    NoStart(u64),
    /// A snapshot has no meaning to this program.
    #[error("it is of no kind that this program knows")]
    UnknownSnapshot,
    /// A snapshot has no content.
    #[error("it is empty")]
    EmptySnapshot,
    /// A snapshot is damaged.
    #[error("{0}")]
    DamagedSnapshot(#[source] FrameError),
}
