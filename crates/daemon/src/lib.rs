//! A steward's edge: sockets, files and clocks around the core, which decides and remembers all.
//!
//! - `daemon`: the loop that feeds the core and carries out what it gives.
//! - `dial`: the connections to proxies' runtime sockets.
//! - `desk`: operators at the steward's sockets, and the answers they wait for.
//! - `hosts_file`: follows the list of hosts.
//! - `probe`: asks hosts over HTTP.
//! - `push`: proxies and hosts that push reports.
//! - `recorder`: records on the way to the disk, and what was found there.
//! - `log`: events as structured logs.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

mod daemon;
mod desk;
mod dial;
mod dns;
mod error;
mod hosts_file;
mod log;
mod probe;
mod push;
mod recorder;

pub use daemon::{Options, run};
pub use error::DaemonError;
pub use pondarch_io_util::Clock;
pub use recorder::Recorder;
