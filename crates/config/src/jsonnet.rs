//! Evaluates a Jsonnet file and reads the result into a type.

use jrsonnet_evaluator::{EvaluationState, FileImportResolver};
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a file gives no settings; each names the file, and the line or the key.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: cannot be read: {wrong}")]
    Unreadable {
        file: PathBuf,
        wrong: std::io::Error,
    },
    /// The evaluator's own words, which hold file, line and column.
    #[error("{0}")]
    Jsonnet(String),
    #[error("{file}: {key}: {wrong}")]
    Key {
        file: PathBuf,
        key: String,
        wrong: String,
    },
}

/// Evaluates the file and reads its result as a `T`.
///
/// Errors: the file is missing, is no Jsonnet, or its result does not fit `T`.
pub(crate) fn read<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    parse(file, &evaluate(file)?)
}

/// The file's result as JSON.
///
/// Errors: the file is missing or is no Jsonnet.
pub(crate) fn evaluate(file: &Path) -> Result<String, SettingsError> {
    // The evaluator tells of a missing file without its name.
    std::fs::metadata(file).map_err(|wrong| SettingsError::Unreadable {
        file: file.to_path_buf(),
        wrong,
    })?;
    let evaluator = EvaluationState::default();
    evaluator.with_stdlib();
    evaluator.set_import_resolver(Box::<FileImportResolver>::default());
    let json = evaluator
        .evaluate_file_raw(file)
        .and_then(|value| evaluator.manifest(value))
        .map_err(|wrong| SettingsError::Jsonnet(one_line(&evaluator.stringify_err(&wrong))))?;
    Ok(json.to_string())
}

/// Reads a result as a `T`; `file` is what messages name.
///
/// Errors: it does not fit `T`.
pub(crate) fn parse<T: DeserializeOwned>(file: &Path, json: &str) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(json);
    serde_path_to_error::deserialize(&mut json).map_err(|wrong| {
        let key = wrong.path().to_string();
        // The line numbers of the evaluated text are nobody's: the key's path says where.
        let text = wrong.into_inner().to_string();
        let text = text.split(" at line ").next().unwrap_or("").to_string();
        SettingsError::Key {
            file: file.to_path_buf(),
            key,
            wrong: text,
        }
    })
}

/// The evaluator's message and the first place it names, on one line.
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
