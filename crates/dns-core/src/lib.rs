//! What a DNS server may answer, for how long and to whom. No I/O, no clock and no packets.
//!
//! - `lifetime`: how long an answer may be cached, from the drain grace period.
//! - `cached_answers`: which hosts caches may still send requests to, by earlier answers.
//! - `members`: proxies that have joined by querying, and those that have left by not querying.
//! - `srv`: tables as SRV weights, and as a weighted sample where not all targets fit.
//! - `rate_limiter`: how often a source is answered over UDP.
//! - `secondaries`: servers with copies of the zone, how far behind they are, and when to notify them.
//! - `serial`: the arithmetic of zone serials.

pub mod cached_answers;
pub mod lifetime;
pub mod members;
pub mod rate_limiter;
pub mod secondaries;
pub mod serial;
pub mod srv;

pub use cached_answers::{AnsweredHost, CachedAnswers, RecoveredVersion};
pub use lifetime::{Lifetime, LifetimeError};
pub use members::{Members, QueryOutcome};
pub use rate_limiter::{RateLimitAction, RateLimiter};
pub use secondaries::{Secondaries, SecondaryEvent, SecondaryState};
pub use serial::is_newer;
pub use srv::{SrvTarget, WeightedHost, sample, srv_share_weights, srv_weights};
