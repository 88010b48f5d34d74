//! Tests of the core against simulated proxies in memory.

mod dns;
mod faults;
mod operators;
mod pushed_reports;
mod recorded_names;
mod replay;
mod simulated_fleet;
mod weights;
mod wire_texts;
