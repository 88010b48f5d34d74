//! The decisions of a DNS server: lifetimes of answers, SRV weights, membership by queries, rate limits, and the state
//! of secondaries. No I/O, no clock and no packets.
//!
//! - `lifetime`: how long an answer may be cached within the drain grace period.
//! - `cached_answers`: earlier answers that caches may still hold.
//! - `members`: proxies that join by sending queries and leave by sending none.
//! - `srv`: SRV weights of a table, and a weighted sample if not all targets fit in an answer.
//! - `rate_limiter`: response rate limiting for each source over UDP.
//! - `secondaries`: the serials that secondary servers have, and when to notify them.
//! - `serial`: serial number arithmetic (RFC 1982).

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
