//! A steward's edge on the platform: sockets, signals and files around the core, on one thread.
//!
//! - `program`: reads what it is told, feeds the core, carries out what it gives, ends what it started.
//! - `parties`: the connections to discovery and relay, and their move to new addresses.
//! - `calls`, `news`, `discovery`: one such connection each, as a task that dials again.
//! - `dial`: one way to dial, and the relay's lines.
//! - `word`: what all of these tasks say to the program.
//! - `clients`: who connects to the steward's own address.
//! - `probes`: asks hosts for their load.
//! - `log`: bounded lines a second.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

mod calls;
mod clients;
mod dial;
mod discovery;
mod log;
mod news;
mod parties;
mod probes;
mod program;
mod word;

pub use program::{PlatformError, run};
