//! Uses of a controller's event log: recovery after a restart, replay through the current build, what-if replay, and
//! export.
//!
//! - [`record`]: the record types and their encoding.
//! - [`segments`]: reads the records of a folder in order, and reports missing or damaged ones.
//! - [`recover`](mod@recover): rebuilds the state that a restarted controller needs.
//! - [`run_replay`]: replays the recorded inputs through this build, and finds the first decision that differs.
//! - [`what_if`]: replays the external inputs of a run, without its decisions, with other settings or another seed.
//! - [`export`]: converts records to rows, and writes them to a columnar file.
//! - [`error`]: errors, and faults in the files of an event log.

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
