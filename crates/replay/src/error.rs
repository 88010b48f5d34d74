//! Errors that make an event log unusable, and faults in single files of it.

use pondarch_config::SettingsError;
use pondarch_event_log::{FrameError, SegmentError};
use thiserror::Error;

/// The reason why an event log cannot be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ReplayError {
    /// The folder or a file in it cannot be read.
    #[error("cannot read the event log: {0}")]
    Io(#[from] std::io::Error),
    /// The header of a segment was readable when the segments were listed, and no longer is.
    #[error("{file}: {source}")]
    Segment {
        /// File name of the segment.
        file: String,
        /// The problem with the segment.
        source: SegmentError,
    },
    /// The folder has no segments.
    #[error("no event log segments found")]
    NoRecords,
    /// The settings of a run are not valid.
    #[error("invalid settings in the event log: {0}")]
    Settings(#[source] SettingsError),
    /// The columnar file cannot be written.
    #[error("cannot write the columnar file: {0}")]
    Export(#[from] arrow_schema::ArrowError),
    /// The event log does not have the start of the run: it was not recorded, or its segment has been removed.
    #[error("cannot extract the scene: the start of run {0} is not in the event log")]
    NoStart(u64),
    /// The settings of a what-if replay lack a proxy of the scenario.
    #[error("cannot replay the scene: the settings have no proxy '{0}'")]
    NoProxy(String),
}

/// A fault in one file of the event log. Reading continues after it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayFault {
    /// File name.
    pub file: String,
    /// Kind of fault.
    pub cause: ReplayFaultCause,
}

/// The kind of a fault in a file of the event log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ReplayFaultCause {
    /// The segment cannot be read at all.
    #[error("{0}")]
    Segment(#[source] SegmentError),
    /// A record of the segment is damaged, and the rest of the segment is skipped.
    #[error("{error}, at byte {offset}; the remaining {dropped_bytes} bytes are skipped")]
    Damaged {
        /// The damage to the record.
        #[source]
        error: FrameError,
        /// Offset of the record in the file.
        offset: u64,
        /// Number of bytes from `offset` to the end of the file.
        dropped_bytes: u64,
    },
    /// The segment has this many records that this program does not know.
    #[error("{0} records are of a type that this program does not know")]
    UnknownRecords(u64),
    /// Inputs are missing without a gap record.
    #[error("inputs {first} to {last} of the run are missing")]
    MissingInputs {
        /// Number of the first missing input.
        first: u64,
        /// Number of the last missing input.
        last: u64,
    },
    /// A gap record says that inputs were not recorded.
    #[error("inputs {first} to {last} were not recorded: {reason}")]
    NotRecorded {
        /// Number of the first input that was not recorded.
        first: u64,
        /// Number of the last input that was not recorded.
        last: u64,
        /// The reason, from the gap record.
        reason: String,
    },
    /// A run cannot be replayed because its start has been removed.
    #[error("run {0} cannot be replayed: its start is no longer in the event log")]
    NoStart(u64),
    /// The snapshot is of a type that this program does not know.
    #[error("the snapshot is of a type that this program does not know")]
    UnknownSnapshot,
    /// The snapshot file is empty.
    #[error("the snapshot is empty")]
    EmptySnapshot,
    /// The snapshot is damaged.
    #[error("{0}")]
    DamagedSnapshot(#[source] FrameError),
}
