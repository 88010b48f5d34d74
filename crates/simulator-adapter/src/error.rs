//! The errors that stop the adapter. Their texts are written to standard error, which the simulator shows.

use pondarch_deployment::SettingsError;
use std::io;
use thiserror::Error;

/// An error that stops the adapter.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum AdapterError {
    /// Standard input cannot be read.
    #[error("input cannot be read: {0}")]
    Input(#[source] io::Error),
    /// Standard input ended before `YOUR_TURN`.
    #[error("line {line_number}: input ended in the middle of a batch")]
    InputEndedInBatch {
        /// The number of the last line.
        line_number: u64,
    },
    /// A line is invalid, or the reply to its batch cannot be written.
    #[error("line {line_number}: {source}")]
    Line {
        /// The number of the line, counted from 1.
        line_number: u64,
        /// The error of the line.
        source: LineError,
    },
}

/// An error of a line.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum LineError {
    /// The line is not valid UTF-8.
    #[error("invalid UTF-8")]
    NotUtf8,
    /// The input ends before the line feed of the line.
    #[error("input ended before the line feed")]
    MissingLineFeed,
    /// A batch begins before the previous one has ended.
    #[error("CLOCK before the YOUR_TURN of the previous batch")]
    NestedBatch,
    /// A message that is only valid inside a batch is outside one.
    #[error("{name} outside a batch")]
    OutsideBatch {
        /// The name of the message.
        name: String,
    },
    /// No controller is selected, or the message is unknown.
    #[error("'{name}' is unknown or precedes the first SELECT of its batch")]
    NothingSelected {
        /// The name of the message.
        name: String,
    },
    /// The selected controller is not attached.
    #[error("{name} for steward {id}, which is not attached")]
    NotAttached {
        /// The name of the message.
        name: String,
        /// The ID of the controller.
        id: u64,
    },
    /// The settings are not valid JSON.
    #[error("ATTACH: settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings are invalid.
    #[error("ATTACH: settings: {0}")]
    Settings(#[from] SettingsError),
    /// The message is unknown.
    #[error("unknown message '{name}'")]
    UnknownMessage {
        /// The name of the message.
        name: String,
    },
    /// A value is missing or invalid.
    #[error("{message}: {field}: {reason}")]
    Field {
        /// The name of the message.
        message: String,
        /// The name of the field.
        field: &'static str,
        /// The error of its value.
        reason: FieldError,
    },
    /// An endpoint list is incomplete: another message came in place of an entry.
    #[error("expected a list entry (M), found {name}")]
    ListEntryMissing {
        /// The name of the other message.
        name: String,
    },
    /// A list entry has an unknown state.
    #[error("M: health: unknown value '{value}'")]
    UnknownHealth {
        /// The value.
        value: String,
    },
    /// A message about changed endpoints has an unknown kind of change.
    #[error("BACKENDS_CHANGED: how: unknown value '{value}'")]
    UnknownChange {
        /// The value.
        value: String,
    },
    /// A message refers to an endpoint list that is not defined.
    #[error("list {list} is not defined")]
    UnknownList {
        /// The number of the list.
        list: u64,
    },
    /// Standard output cannot be written.
    #[error("output cannot be written: {0}")]
    Output(#[source] io::Error),
}

/// An error of a value.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum FieldError {
    /// The line ends before the value.
    #[error("missing")]
    Missing,
    /// The value is empty.
    #[error("empty")]
    Empty,
    /// The line has more values than the message.
    #[error("unexpected values '{rest}'")]
    UnexpectedValues {
        /// The rest of the line.
        rest: String,
    },
    /// The value does not have the expected form.
    #[error("'{value}' is not {expected}")]
    Invalid {
        /// The value.
        value: String,
        /// A description of the expected form.
        expected: &'static str,
    },
    /// The value of a flag is neither 0 nor 1.
    #[error("'{value}' is neither 0 nor 1")]
    InvalidFlag {
        /// The value.
        value: String,
    },
}
