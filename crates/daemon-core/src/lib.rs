//! A steward's core: inputs in, outputs out. No I/O and no clock, so that a recorded run, played again, gives the
//! same outputs byte for byte.
//!
//! - `input`, `output`, `event`: what goes in and comes out, and the events that say what led to what; `reported_load`,
//!   `time`: parts of them. `recorded_debug`: their `Debug` texts, which are on the wire.
//! - `core`: the core as its surroundings see it.
//! - `course`, `follow`: the decision module is told what happened, and what it decides is carried out.
//! - `list`: the hosts as the file and the operators have them.
//! - `names`, `asking`: proxies that take their tables from the DNS front; the same in the course of things.
//! - `books`: the tables as the module deals them, and as proxies are to hold them.
//! - `channel`: how much may be sent, and when.
//! - `peer`: one proxy: dialled, looked at, joined, lost.
//! - `weigher`, `weighing`: weights as a solver sets them, between the list and the module.
//! - `pushes`, `reporting`: reports that proxies and hosts push; these and rounds in the course of things.
//! - `recovered_state`, `recovering`: what a steward that starts again must still know; taken up and given out.
//! - `round`: sums of all proxies gathered into one look.
//! - `operator`, `info`, `zones`: the runtime API of the steward itself, and the map that operators set.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

mod asking;
mod books;
mod channel;
mod core;
mod course;
mod event;
mod follow;
mod info;
mod input;
mod list;
mod names;
mod operator;
mod output;
mod peer;
mod pushes;
mod recorded_debug;
mod recovered_state;
mod recovering;
mod reported_load;
mod reporting;
mod round;
mod time;
mod weigher;
mod weighing;
mod zones;

pub use crate::core::Core;
pub use event::Event;
pub use input::{EventLogState, Input};
pub use names::DNS_QUERY_REPORT_INTERVAL;
pub use output::Output;
pub use recovered_state::{RecoveredHost, RecoveredList, RecoveredState};
pub use reported_load::ReportedLoad;
pub use time::micros;
