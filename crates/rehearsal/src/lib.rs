//! Rehearsals on loopback: simulated hosts, proxies and clients under scripted faults, and checks of the rules against
//! the traffic that was observed. Controllers run as separate processes.
//!
//! - `intercepted_proxy`: the project's proxy, behind an interceptor that observes its runtime socket.
//! - `host`, `client`: simulated hosts and clients.
//! - `dns_proxy`: a simulated plain proxy that resolves its hosts through DNS and caches the answers.
//! - `secondary`: a simulated DNS secondary that serves a copy of the zone.
//! - `observations`: the log of everything that the parts above observe.
//! - `rules`: the five rules, checked against that log.
//! - `service_level`: priority weight served in time, relative to the weight requested, per time span.
//! - `endpoint_list`: the settings files and the endpoint list that controllers read.
//! - `request_trace`: a recorded sequence of requests in a columnar file.
//! - `bad_day`, `controller_kills`, `connection_storm`, `proxy_benchmark`, `report_load`, `weight_comparison`: the
//!   scripts.

// The scripts are long sequences of steps, and the fields of plans and reports are not all documented.
#![allow(clippy::too_many_lines, missing_docs)]

pub mod bad_day;
pub mod client;
pub mod connection_storm;
pub mod controller_kills;
pub mod dns_proxy;
pub mod endpoint_list;
pub mod host;
pub mod intercepted_proxy;
pub mod observations;
pub mod proxy_benchmark;
pub mod report_load;
pub mod request_trace;
pub mod rules;
pub mod secondary;
pub mod service_level;
pub mod weight_comparison;
