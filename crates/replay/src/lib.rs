//! What a steward recorded: recovery after its end, replay through the present build, export, and scenes made of it.
//!
//! - `record`: what is recorded, as bytes.
//! - `runs`: the records of a folder, run by run, with what is missing named.
//! - `recover`: what a steward that starts again must know.
//! - `replay`: the same inputs through this build: the first decision that differs, or none.
//! - `scene`, `play`: the troubles of a run without its decisions, played to a steward with other settings or another seed.
//! - `export`: records as a columnar file.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

pub mod export;
pub mod play;
pub mod record;
pub mod recover;
pub mod replay;
pub mod runs;
pub mod scene;

pub use record::{Boot, Decision, Record, Snapshot, Start};
pub use recover::{Recovery, recover};
pub use runs::HistoryError;
