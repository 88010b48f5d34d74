//! A small HTTP/1.1 reverse proxy that sends requests to hosts by the tables that a controller sets. All its decisions
//! are made in `pondarch-proxy-core`.
//!
//! - `run`: start, reload, drain and stop.
//! - `shared_state`: what all parts of a running proxy share: the proxy core under a lock, the clock, waiting requests.
//! - `forward`: forwarding a request to a host and returning the response.
//! - `attempt`: an attempt in flight; however it ends, the proxy core is told.
//! - `body`: request bodies that are buffered for retries, and response bodies that are counted when they end.
//! - `request_framing`: detects requests whose body length is ambiguous.
//! - `runtime_api`: the runtime API.
//! - `load_reports`: load reports to the controllers.

mod attempt;
mod body;
mod forward;
mod load_reports;
mod request_framing;
mod run;
mod runtime_api;
mod shared_state;

pub use run::{ProxyError, RunningProxy, run, start};
