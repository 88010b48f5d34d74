//! Unix and TCP streams, and the server end of the runtime API on them: whoever answers is a `Desk`.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(missing_docs)]

pub mod listen;
pub mod socket;

pub use listen::{Desk, serve};
pub use socket::{Listener, Stream};
