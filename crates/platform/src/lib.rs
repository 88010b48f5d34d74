//! The program of a controller on the platform: the I/O around the state machine of `pondarch-platform-core`, with the
//! event loop and all of its tasks on one thread.
//!
//! - `program`: start-up, the event loop and shutdown.
//! - `dispatch`: passes the tasks' events to the controller and the controller's outputs to the tasks.
//! - `configuration`: the environment, the configuration file and its reload.
//! - `listener`, `signals`: the listening socket and the signal handlers.
//! - `upstreams`: the connections to the registry and the relay, and their replacement when an address changes.
//! - `update_calls`, `membership_watch`, `endpoint_watch`: the tasks that each maintain one of these connections.
//! - `dial`: connecting to an upstream, and reading the relay's lines.
//! - `clients`, `client_session`: the connections to the controller's own address, and the session of one of them.
//! - `health_checks`: health checks of hosts.
//! - `events`: the events that the tasks send to the event loop.
//! - `error`: the errors of the program and of its connections.
//! - `status_log`, `log_limit`: the periodic log lines, and a rate limit on the other log lines.

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
