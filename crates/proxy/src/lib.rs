//! The obeying proxy: a small HTTP/1.1 reverse proxy that does what its tables say. It decides nothing that is not in
//! `pondarch-proxy-core`.
//!
//! - `run`: start, reload, drain, end.
//! - `shared`: what all parts of a running proxy share: the rules under a lock, the clock, reqs that wait.
//! - `carry`: one req on its way to a host and back.
//! - `out`: a try that is out at a host; however it ends, the rules are told.
//! - `body`: bodies that are kept for another try, and answers that are counted when they end.
//! - `guard`: refuses heads whose length can be read in two ways.
//! - `desk`: the runtime API.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

mod body;
mod carry;
mod desk;
mod guard;
mod out;
mod push;
mod run;
mod shared;

pub use run::{ProxyError, RunningProxy, run, start};
