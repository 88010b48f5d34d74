//! What a DNS front may answer, for how long and to whom. No I/O, no clock and no packets.
//!
//! - `lifetime`: how long an answer may be held, from the grace of drains.
//! - `held`: what caches may still hold of what was answered.
//! - `members`: who is joined by asking, and who has left by not asking.
//! - `srv`: tables as SRV weights, and as a sample where not all fits.
//! - `limits`: how often a source is answered.
//! - `secondaries`: who serves copies of the zone, how far behind they are, and when to tell them.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(elided_lifetimes_in_paths, missing_docs)]

pub mod held;
pub mod lifetime;
pub mod limits;
pub mod members;
pub mod secondaries;
pub mod srv;

pub use held::{Held, Named};
pub use lifetime::{Lifetime, LifetimeError};
pub use limits::{Limits, Verdict};
pub use members::{Asked, Members};
pub use secondaries::{Heard, Secondaries};
pub use srv::{SrvLine, sample, srv_parts, srv_weights};
