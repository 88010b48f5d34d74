//! Tests of the controller with a simulated fleet: invariants under random events, and regression tests for individual
//! faults.

mod admission;
mod bindings;
mod channel;
mod common;
mod endpoint_list;
mod full_size;
mod invariants;
mod loaded_fleet;
mod loaded_host;
mod message_cap;
mod outliers;
mod placement;
mod random_events;
mod retries;
mod slow_start;
mod startup;
mod update_queue;
mod update_results;
mod usual_load;
mod warming_overload;
mod warming_tables;
