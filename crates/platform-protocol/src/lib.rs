//! The platform's protocol: bytes to messages and back. No I/O, no clock; every buffer has a stated limit.
//!
//! - `resp`: framing of what clients send to the controller's address.
//! - `report`: the collectors' messages in these frames.
//! - `relay`: calls to the relay, its answers and its membership events.
//! - `registry`: the endpoint list and its changes.
//! - `load`: a host's own load report.
//! - `config`: the configuration file.

pub mod config;
pub mod load;
pub mod registry;
pub mod relay;
pub mod report;
pub mod resp;
