//! A steward on the platform, without I/O and without a clock: `handle` takes what came in, `next_output` gives what
//! is to be done until there is nothing more, `wake_at` says when to call again at the latest.
//!
//! It owns the decision module, who is joined, where hosts answer probes, and the call under way. It decides nothing.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::wildcard_imports, missing_docs)]

mod core;
mod members;
mod tally;

pub use crate::core::{CallEnd, Core, Input, Output};
pub use tally::Tally;
