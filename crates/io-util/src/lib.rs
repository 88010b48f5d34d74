//! What every edge of a steward needs.
//!
//! - `clock`: time that never goes back.
//! - `get`: an HTTP question to a host, with a bound on the answer.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(missing_docs)]

mod clock;
mod get;

pub use clock::Clock;
pub use get::{Answer, AskError, ask, get};
