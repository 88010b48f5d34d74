//! Encodes and parses the platform's messages. The crate does no I/O and reads no clock; every buffer has a
//! stated size limit.
//!
//! - `resp`: RESP2 framing of the messages that clients send to the controller.
//! - `report`: the collectors' messages inside these frames.
//! - `relay`: update calls to the relay, its answers and its membership events.
//! - `registry`: the endpoint list, complete or as changes.
//! - `load`: the load report that a host sends about itself.
//! - `config`: the configuration file.

pub mod config;
pub mod load;
pub mod registry;
pub mod relay;
pub mod report;
pub mod resp;
