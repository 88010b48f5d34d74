//! The daemon of the stand-alone controller: sockets, files, clocks and signals around `daemon-core`, which makes all
//! decisions.
//!
//! - `daemon`: start-up, and the main loop that passes inputs to the core.
//! - `output_handler`: carries out the core's outputs.
//! - `memory`: reports the memory in use to the core.
//! - `dial`: connections to the proxies' runtime API sockets.
//! - `command_handler`: operators' commands and their pending replies.
//! - `hosts_file`: watches the endpoint list file.
//! - `health_checks`: health checks over HTTP.
//! - `push`: connections of proxies and hosts that push load reports.
//! - `sender_codec`: limits on the memory of their messages.
//! - `dns`: the DNS server's sockets.
//! - `recorder`: writes the event log, and recovers state from it at start-up.
//! - `log`: logs the core's events.

mod command_handler;
mod daemon;
mod dial;
mod dns;
mod error;
mod health_checks;
mod hosts_file;
mod log;
mod memory;
mod output_handler;
mod push;
mod recorder;
mod sender_codec;

pub use daemon::{Options, run};
pub use error::{DaemonError, DnsError, SecretError};
pub use pondarch_io_util::Clock;
pub use recorder::Recorder;
