//! What is done with the event log of a controller: recovery after its end, replay through the present build, what-if
//! replay, and export.
//!
//! - [`record`]: what is recorded, as bytes.
//! - [`segments`]: the records of a folder in order, with what is missing or damaged named.
//! - [`recover`](mod@recover): what a controller that starts again must know.
//! - [`run_replay`]: the same inputs through this build: the first decision that differs, or none.
//! - [`what_if`]: the external inputs of a run without its decisions, replayed with other settings or another seed.
//! - [`export`]: records as rows, and as a columnar file.

pub mod error;
pub mod export;
pub mod record;
pub mod recover;
pub mod run_replay;
pub mod segments;
pub mod what_if;

pub use error::{ReplayError, ReplayFault, ReplayFaultCause};
pub use record::{Boot, Decision, Record, RunStart, Snapshot};
pub use recover::{Recovery, recover};
