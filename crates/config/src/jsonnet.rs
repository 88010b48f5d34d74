//! Evaluates a Jsonnet file and reads the result into a type.

use jrsonnet_evaluator::{EvaluationState, FileImportResolver};
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file was rejected. Each message names the file, and the line or the key.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be opened.
    #[error("{file}: cannot be read: {error}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// The file is not valid Jsonnet; the message of the evaluator has file, line and column.
    #[error("{0}")]
    Jsonnet(String),
    /// A key is unknown or missing, or its value is invalid.
    #[error("{file}: {key}: {reason}")]
    InvalidKey {
        /// The file.
        file: PathBuf,
        /// Path of the key, such as `kinds[0].benefit`.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Evaluates the file and reads its result as a `T`.
///
/// # Errors
///
/// The file is missing or is not valid Jsonnet, or its result does not fit `T`.
pub(crate) fn read<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    parse(file, &evaluate(file)?)
}

/// The result of the file as JSON.
///
/// # Errors
///
/// The file is missing or is not valid Jsonnet.
pub(crate) fn evaluate(file: &Path) -> Result<String, SettingsError> {
    // The evaluator's error for a missing file does not have its name.
    std::fs::metadata(file).map_err(|error| SettingsError::Unreadable {
        file: file.to_path_buf(),
        error,
    })?;
    let evaluator = EvaluationState::default();
    evaluator.with_stdlib();
    evaluator.set_import_resolver(Box::<FileImportResolver>::default());
    let json = evaluator
        .evaluate_file_raw(file)
        .and_then(|value| evaluator.manifest(value))
        .map_err(|error| SettingsError::Jsonnet(one_line(&evaluator.stringify_err(&error))))?;
    Ok(json.to_string())
}

/// Reads evaluated JSON as a `T`; error messages name `file`.
///
/// # Errors
///
/// The JSON does not fit `T`.
pub(crate) fn parse<T: DeserializeOwned>(file: &Path, json: &str) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(json);
    serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let key = error.path().to_string();
        // Line numbers refer to the evaluated JSON, which nobody sees; the path of the key gives the place.
        let text = error.into_inner().to_string();
        let reason = text.split(" at line ").next().unwrap_or("").to_string();
        SettingsError::InvalidKey {
            file: file.to_path_buf(),
            key,
            reason,
        }
    })
}

/// The evaluator's message and the first place of its stack trace, on one line.
fn one_line(message: &str) -> String {
    let mut lines = message
        .lines()
        .map(str::trim)
        .filter(|line| !line.is_empty());
    let first = lines.next().unwrap_or("the evaluator failed");
    match lines.next() {
        Some(place) => {
            format!(
                "{}: {first}",
                place
                    .split_whitespace()
                    .next()
                    .unwrap_or("")
                    .trim_end_matches(':')
            )
        }
        None => first.to_string(),
    }
}
