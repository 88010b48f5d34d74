//! The state machine of the stand-alone controller: inputs in, outputs out. No I/O and no clock, so that a recorded run,
//! replayed, gives the same outputs byte for byte.
//!
//! - `input`, `output`, `event`: what goes in and comes out, and the events that say what led to what; `reported_load`,
//!   `time`: parts of them. `recorded_debug`: their `Debug` texts, which are on the wire.
//! - `core`: the state machine as its surroundings see it.
//! - `state`, `apply`, `timers`, `decisions`: the state; inputs and timers are applied to the decisions, and what these
//!   decide is carried out.
//! - `endpoint_list`: the hosts as the file and the operators have them.
//! - `dns_state`, `dns_events`: proxies that take their tables from the DNS server; the inputs and timers of these.
//! - `table_assignments`: the tables as they were decided, and as proxies are to hold them.
//! - `update_queue`: how much may be sent to proxies, and when.
//! - `peer`, `peer_events`: one proxy and its connection; what happens on it.
//! - `weight_planner`, `weight_events`: weights that a solver sets, between the endpoint list and the decisions.
//! - `pushed_reports`, `report_events`: reports that proxies and hosts push; the inputs and intervals of these.
//! - `outcome_aggregator`, `outcome_events`: outcomes of all proxies, summed up by host over a report interval; how they
//!   are applied.
//! - `recovered_state`, `recovery`: what a controller that starts again must still know; taken over and given out.
//! - `operator`, `info`, `zone_map`: the runtime API of the controller itself, and the map that operators set.

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
