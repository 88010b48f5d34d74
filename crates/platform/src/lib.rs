//! A controller on the platform: sockets, signals and files around `pondarch-platform-core`, on one thread.
//!
//! - `program`: start-up, the event loop, and the end.
//! - `dispatch`: events of the tasks to the controller's inputs, the controller's outputs to the tasks.
//! - `configuration`: the environment, the configuration file and its reload.
//! - `listener`, `signals`: the listening socket and the signals.
//! - `upstreams`: the connections to registry and relay, and their move to new addresses.
//! - `update_calls`, `membership_watch`, `endpoint_watch`: one such connection each, as a task that dials again.
//! - `dial`: dialling, and the relay's lines.
//! - `clients`, `client_session`: the connections to the controller's own address, and one of them.
//! - `health_checks`: health checks of hosts.
//! - `events`: what all of these tasks send to the program.
//! - `error`: why a connection ended, and why the program did.
//! - `status_log`, `log_limit`: the periodic log lines, and a limit on all others.

mod client_session;
mod clients;
mod configuration;
mod dial;
mod dispatch;
mod endpoint_watch;
mod error;
mod events;
mod health_checks;
mod listener;
mod log_limit;
mod membership_watch;
mod program;
mod signals;
mod status_log;
mod update_calls;
mod upstreams;

pub use error::{ConfigFileError, PlatformError};
pub use program::run;
