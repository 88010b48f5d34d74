//! Unix and TCP streams, and the server end of the runtime API on them, where a [`CommandHandler`] answers.
//!
//! - [`socket`]: a stream or a listener that is a Unix or a TCP one.
//! - [`server`]: accepts connections, reads lines, keeps to the prompt mode of each connection.

pub mod server;
pub mod socket;

pub use server::{CommandHandler, serve};
pub use socket::{Listener, Stream};
