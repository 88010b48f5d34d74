//! What programs before the renaming stored is read as it was then: entries of every kind as bytes, a folder of records
//! that is recovered, replayed and exported, and a scene. The fixtures are never written anew.

mod entries;
mod folder;
mod scene;

use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn text(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).expect(name)
}

/// A value as it is stored, so that no test needs the names of its parts in the program.
fn stored(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("JSON")
}
