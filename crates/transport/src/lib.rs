//! Unix and TCP streams, and a runtime API server over them that passes command lines to a [`CommandHandler`].
//!
//! - [`socket`]: streams and listeners over Unix sockets or TCP.
//! - [`server`]: accepts connections, reads command lines and tracks each connection's prompt mode.

pub mod server;
pub mod socket;

pub use server::{CommandHandler, serve};
pub use socket::{Listener, Stream};
