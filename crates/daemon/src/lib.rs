//! A steward's edge: sockets, files and clocks around the core, which decides and remembers all.
//!
//! - `daemon`: the loop that feeds the core and carries out what it gives.
//! - `dial`: the connections to proxies' runtime sockets.
//! - `listen`: the sockets where operators reach the steward.
//! - `hosts_file`: follows the list of hosts.
//! - `probe`: asks hosts over HTTP.
//! - `clock`, `log`: time that never goes back; events as structured logs.
//! - `socket`: a stream that is a Unix or a TCP one.

mod clock;
mod daemon;
mod dial;
mod hosts_file;
mod listen;
mod log;
mod probe;
pub mod socket;

pub use daemon::{DaemonError, Options, run};
