//! A steward's core: inputs in, outputs out. No I/O and no clock, so that a recorded run, played again, gives the
//! same outputs byte for byte.
//!
//! - `wire`: the inputs and outputs, and the events that tell what led to what.
//! - `core`: the core as its surroundings see it.
//! - `course`, `follow`: the decision module is told what happened, and what it decides is carried out.
//! - `list`: the hosts as the file and the operators have them.
//! - `names`, `asking`: proxies that take their tables from the DNS front; the same in the course of things.
//! - `books`: the tables as the module deals them, and as proxies are to hold them.
//! - `channel`: how much may be sent, and when.
//! - `peer`: one proxy: dialled, looked at, joined, lost.
//! - `weigher`, `weighing`: weights as a solver sets them, between the list and the module.
//! - `pushes`, `reporting`: reports that proxies and hosts push; these and rounds in the course of things.
//! - `remembered`, `recovering`: what a steward that starts again must still know; taken up and given out.
//! - `round`: sums of all proxies gathered into one look.
//! - `operator`, `info`, `zones`: the runtime API of the steward itself, and the map that operators set.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

mod asking;
mod books;
mod channel;
mod core;
mod course;
mod follow;
mod info;
mod list;
pub mod names;
mod operator;
mod peer;
mod pushes;
mod recovering;
pub mod remembered;
mod reporting;
mod round;
mod weigher;
mod weighing;
pub mod wire;
mod zones;

pub use crate::core::Core;
pub use remembered::Remembered;
pub use wire::{Event, Input, LoadTold, Output, RecordsState};
