//! `pondarch platform` as a process, between a scripted relay and a scripted discovery on loopback.
//!
//! - `stage`: the process, and parties that follow a script by themselves.
//! - `party`: a party that does what the test says, so that events cross as it wants.
//! - `channel_relay`: a relay whose channel to the proxies sends at a limited rate.
//! - the rest: one file a way in and out.

mod channel;
mod channel_relay;
mod clients;
mod ends;
mod lists;
mod moves;
mod party;
mod relay;
mod serving;
mod stage;
mod starts;
