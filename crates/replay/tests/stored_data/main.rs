//! Compatibility with stored data of programs from before types were renamed: encoded records of every type, an event
//! log that is recovered, replayed and exported, and a scenario file. The fixtures must not be regenerated.

mod entries;
mod folder;
mod scenario;

use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};

fn fixtures_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn read_fixture(name: &str) -> String {
    std::fs::read_to_string(fixtures_dir().join(name)).expect(name)
}

/// Converts a value to JSON with its stored names, so that tests do not depend on names in the code.
fn to_stored_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("encode as JSON")
}
