//! The daemon of the stand-alone controller: sockets, files, clocks and signals around `daemon-core`, which decides.
//!
//! - `daemon`: start-up, and the loop that feeds the core.
//! - `output_handler`: carries out what the core gives.
//! - `memory`: reports the memory in use to the core.
//! - `dial`: the connections to proxies' runtime sockets.
//! - `command_handler`: operators' commands, and the replies they wait for.
//! - `hosts_file`: follows the endpoint list.
//! - `probe`: health checks over HTTP.
//! - `push`: proxies and hosts that push load reports.
//! - `dns`: the DNS server's sockets.
//! - `recorder`: the event log's way to the disk, and what was found there at the start.
//! - `log`: events as structured logs.

mod command_handler;
mod daemon;
mod dial;
mod dns;
mod error;
mod hosts_file;
mod log;
mod memory;
mod output_handler;
mod probe;
mod push;
mod recorder;

pub use daemon::{Options, run};
pub use error::{DaemonError, DnsError, SecretError};
pub use pondarch_io_util::Clock;
pub use recorder::Recorder;
