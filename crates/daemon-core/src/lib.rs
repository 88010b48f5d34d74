//! The state machine of the stand-alone controller: it takes inputs and produces outputs. It does no I/O and reads no
//! clock, so that replaying a recorded run gives the same outputs byte for byte.
//!
//! - `input`, `output`, `event`: the inputs, the outputs, and the events that are logged with their causes;
//!   `reported_load`, `time`: types that these use. `recorded_debug`: their `Debug` texts, which are on the wire.
//! - `core`: the public interface of the state machine.
//! - `state`, `apply`, `timers`, `decisions`: the state; applies inputs and timers to the controller, and carries out the
//!   controller's decisions.
//! - `endpoint_list`: the hosts of the hosts file, with the operators' changes.
//! - `dns_state`, `dns_events`: proxies that get their tables from the DNS server; their inputs and timers.
//! - `table_assignments`: the tables as decided, and in the form in which proxies hold them.
//! - `update_queue`: limits how much is sent to proxies, and when.
//! - `peer`, `peer_events`: one proxy and its connection; the events of that connection.
//! - `weight_planner`, `weight_events`: weights set by a solver, which replace those of the endpoint list.
//! - `pushed_reports`, `report_events`: reports that proxies and hosts push; how they are received and recorded.
//! - `outcome_aggregator`, `outcome_events`: outcomes of all proxies, summed by host over a report interval; how they
//!   are applied.
//! - `recovered_state`, `recovery`: the state that survives a restart; how it is exported and restored.
//! - `operator`, `info`, `zone_map`: the runtime API of the controller itself, and the zone map that operators set.

mod apply;
mod core;
mod decisions;
mod dns_events;
mod dns_state;
mod endpoint_list;
mod event;
mod info;
mod input;
mod operator;
mod outcome_aggregator;
mod outcome_events;
mod output;
mod peer;
mod peer_events;
mod pushed_reports;
mod recorded_debug;
mod recovered_state;
mod recovery;
mod report_events;
mod reported_load;
mod state;
mod table_assignments;
mod time;
mod timers;
mod update_queue;
mod weight_events;
mod weight_planner;
mod zone_map;

pub use crate::core::Core;
pub use dns_state::DNS_QUERY_REPORT_INTERVAL;
pub use event::Event;
pub use input::{EventLogState, Input};
pub use output::Output;
pub use recovered_state::{RecoveredHost, RecoveredList, RecoveredState};
pub use reported_load::ReportedLoad;
pub use time::unix_micros;
