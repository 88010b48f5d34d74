//! Unix and TCP streams, and the server end of the runtime API on them: whoever answers is a `Desk`.

pub mod listen;
pub mod socket;

pub use listen::{Desk, serve};
pub use socket::{Listener, Stream};
