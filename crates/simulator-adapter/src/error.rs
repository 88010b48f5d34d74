//! Why the adapter stops. The texts go to standard error, which the simulator shows.

use pondarch_deployment::SettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum AdapterError {
    /// Standard input failed.
    #[error("input cannot be read: {0}")]
    Input(#[source] io::Error),
    /// Standard input ended before `YOUR_TURN`.
    #[error("line {line_number}: input ended in the middle of a batch")]
    InputEndedInBatch {
        /// The number of the last line.
        line_number: u64,
    },
    /// A line is invalid, or its answer can't be written.
    #[error("line {line_number}: {source}")]
    Line {
        /// The number of the line, from 1 on.
        line_number: u64,
        /// What is wrong with it.
        source: LineError,
    },
}

/// What is wrong with a line.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum LineError {
    /// The line is no text.
    #[error("not UTF-8 text")]
    NotUtf8,
    /// The line has no line end.
    #[error("cut off before its end")]
    Incomplete,
    /// A batch begins inside another.
    #[error("CLOCK before YOUR_TURN")]
    NestedBatch,
    /// A message that is only valid in a batch.
    #[error("{name} outside a batch")]
    OutsideBatch {
        /// The message.
        name: String,
    },
    /// No controller is selected, or the message is unknown.
    #[error("'{name}' is unknown or comes before any SELECT")]
    NothingSelected {
        /// The message.
        name: String,
    },
    /// The selected controller was never attached.
    #[error("{name} for steward {id}, never attached")]
    NotAttached {
        /// The message.
        name: String,
        /// The controller.
        id: u64,
    },
    /// The settings are no JSON.
    #[error("ATTACH: settings: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings can't be used.
    #[error("ATTACH: settings: {0}")]
    Settings(#[from] SettingsError),
    /// The message is unknown.
    #[error("unknown message '{name}'")]
    UnknownMessage {
        /// The message.
        name: String,
    },
    /// A value is missing or invalid.
    #[error("{message}: {field}: {reason}")]
    Field {
        /// The message.
        message: String,
        /// The field.
        field: &'static str,
        /// What is wrong with its value.
        reason: FieldError,
    },
    /// A list of endpoints is not complete.
    #[error("{name} where a list entry was due")]
    ListEntryMissing {
        /// The message that came in its place.
        name: String,
    },
    /// A list entry has an unknown state.
    #[error("M: health: unknown value '{value}'")]
    UnknownHealth {
        /// The value.
        value: String,
    },
    /// The kind of a change of endpoints is unknown.
    #[error("how: unknown value '{value}'")]
    UnknownChange {
        /// The value.
        value: String,
    },
    /// A list of endpoints is used that was never defined.
    #[error("list {list} was never defined")]
    UnknownList {
        /// The list.
        list: u64,
    },
    /// Standard output failed.
    #[error("output cannot be written: {0}")]
    Output(#[source] io::Error),
}

/// What is wrong with a value.
#[derive(Debug, Error)]
#[non_exhaustive]
pub(crate) enum FieldError {
    /// The line ends before it.
    #[error("missing")]
    Missing,
    /// It has no text.
    #[error("empty")]
    Empty,
    /// The line goes on after the last value.
    #[error("more than expected: '{rest}'")]
    Excess {
        /// The rest of the line.
        rest: String,
    },
    /// It is not of the expected form.
    #[error("'{value}' is not {expected}")]
    Invalid {
        /// The value.
        value: String,
        /// The form.
        expected: &'static str,
    },
    /// It is no flag.
    #[error("'{value}' is neither 0 nor 1")]
    NotAFlag {
        /// The value.
        value: String,
    },
}
