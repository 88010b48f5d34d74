//! The controller against a simulated fleet: its rules under random runs, and plain cases, each for a fault that was seen
//! once.

mod admission;
mod bindings;
mod channel;
mod common;
mod endpoint_list;
mod full_size;
mod message_cap;
mod outliers;
mod placement;
mod rule_checks;
mod rules;
mod slow_start;
mod update_queue;
mod update_results;
