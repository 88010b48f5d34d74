//! The state machine of a controller on the platform, without I/O and without a clock. The caller passes inputs to
//! [`PlatformController::handle`], executes the outputs of [`PlatformController::next_output`] until there are none
//! left, and calls `handle` again at [`PlatformController::timer_at`] at the latest.
//!
//! The state machine owns the decision module, the list of connected proxies, the hosts' health check addresses and the
//! update call that is in flight. All decisions are made by the decision module.
//!
//! - `controller`: the state and its interface.
//! - `inputs`: passes endpoint lists, membership events and reports to the decision module.
//! - `updates`: encodes decisions as update calls and reports the calls' outcomes to the decision module.
//! - `membership`: which proxies are connected.
//! - `wall_clock`: converts the start times of hosts, which are listed by a wall clock that may be stepped.
//! - `counters`: counts for the log.

mod controller;
mod counters;
mod inputs;
mod membership;
mod updates;
mod wall_clock;

pub use controller::{CallOutcome, Input, Output, PlatformController};
pub use counters::Counters;
