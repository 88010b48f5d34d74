//! What the proxy decides: which host gets a request, who is admitted, what is retried. No I/O and no clock.
//!
//! - [`version`]: which update is newer, and which controller may send one.
//! - [`routing_table`]: an immutable table of a request class, and how a host is picked from it.
//! - [`last_ready`]: a table without a ready host does not leave a request class without hosts.
//! - [`ejection`]: ejecting hosts after failed attempts of this proxy.
//! - [`retry`]: whether another attempt may follow, and the retry budget.
//! - [`admission`]: limits by fraction or rate, and why a request is rejected.
//! - [`wait_queue`]: requests that wait for a host with capacity.
//! - [`policy`]: request classes and the proxy's settings.
//! - [`proxy_state`]: all that the runtime API shows and sets.
//! - [`updates`]: who may send updates, and that older ones never replace newer ones.
//! - [`proxy_core`]: all of these together, as the data path calls them.

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
