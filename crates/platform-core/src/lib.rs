//! A controller on the platform, without I/O and without a clock: [`PlatformController::handle`] takes an input,
//! [`PlatformController::next_output`] gives what is to be done until nothing is left, and
//! [`PlatformController::timer_at`] says when to call again at the latest.
//!
//! It owns the decision module, the list of connected proxies, the hosts' health check addresses and the update call
//! that is in flight. It decides nothing.
//!
//! - `controller`: the state and its interface.
//! - `inputs`: endpoint lists, membership events and reports to the decision module's calls.
//! - `updates`: decisions to update calls, and the calls' outcomes.
//! - `membership`: which proxies are connected.
//! - `wall_clock`: start times of hosts, listed by a clock that may be stepped.
//! - `counters`: counts for the log.

mod controller;
mod counters;
mod inputs;
mod membership;
mod updates;
mod wall_clock;

pub use controller::{CallOutcome, Input, Output, PlatformController};
pub use counters::Counters;
