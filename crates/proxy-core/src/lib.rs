//! Decision logic of the proxy: which requests are admitted, which host serves them, and what is retried. It does no
//! I/O and reads no clock: callers pass the time in.
//!
//! - [`version`]: the order of update versions, and which controller may send updates.
//! - [`routing_table`]: the table of a request class, and the load balancing policies that pick a host from it.
//! - [`last_ready`]: falls back to the last ready hosts of a request class when its table has none.
//! - [`ejection`]: ejects hosts after consecutive failed attempts of this proxy.
//! - [`retry`]: whether a failed attempt may be retried, and the retry budget.
//! - [`admission`]: admission limits by fraction or rate, and the reasons for a rejection.
//! - [`wait_queue`]: the bounded queue of requests that wait for a host with capacity.
//! - [`policy`]: request classes and the settings of the proxy.
//! - [`proxy_state`]: the state that the runtime API reads and changes.
//! - [`updates`]: applies update batches in version order and commits prepared changes atomically.
//! - [`proxy_core`]: combines these modules into the state machine that the data path calls.

pub mod admission;
pub mod ejection;
pub mod last_ready;
pub mod policy;
pub mod proxy_core;
pub mod proxy_state;
pub mod retry;
pub mod routing_table;
pub mod updates;
pub mod version;
pub mod wait_queue;
