//! How long an answer may be cached. Nothing can be taken back from a cache: a draining host is out of it when the last
//! answer with that host has expired. The last one may be sent just before the drain is known here.
//!
//! So the time to learn of a drain, the lifetime, and what a cache adds by counting whole seconds are together within
//! the drain grace period. Lifetimes are whole seconds (RFC 1035, section 3.2.1; the top bit is never set, RFC 2181,
//! section 8).

use pondarch_controller::DurationExt;
use std::time::Duration;
use thiserror::Error;

/// A cache may count a part of a second as none: an answer of 1 s is cached for up to 2.
const CACHE_ROUNDING: Duration = Duration::from_millis(1_000);
/// Shortest lifetime of an answer that may be cached.
const MIN_LIFETIME: Duration = Duration::from_millis(1_000);
/// Longest lifetime that is ever given, in seconds: a mistake in a table must not last.
pub const MAX_LIFETIME_S: u32 = 300;

/// Lifetimes (TTL) in whole seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// Of answers with hosts.
    pub hosts_s: u32,
    /// Of names that do not exist or have no record of the queried type (RFC 2308): a host may be added at any time, and
    /// a request class that has no host now must not be cached as empty for longer.
    pub negative_s: u32,
}

/// Why no lifetime fits in the drain grace period.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum LifetimeError {
    /// The grace period leaves no whole second.
    #[error(
        "a grace of {grace_ms} ms leaves no whole second for answers: {detection_ms} ms to learn of a drain and \
         1000 ms for how caches count go off it; with {min_grace_ms} ms it would"
    )]
    GraceTooShort {
        /// The drain grace period.
        grace_ms: u64,
        /// The longest time to learn of a drain.
        detection_ms: u64,
        /// The shortest grace period that leaves a whole second.
        min_grace_ms: u64,
    },
    /// The requested lifetime is longer than the grace period allows.
    #[error("a lifetime of {requested_s} s does not fit in the grace: {max_s} s at most")]
    LifetimeTooLong {
        /// The requested lifetime.
        requested_s: u32,
        /// The longest lifetime that fits.
        max_s: u32,
    },
}

impl Lifetime {
    /// The requested lifetime, or the longest that the drain grace period allows. `detection`: the longest time from the
    /// endpoint list's notice of a drain to the first answer without the host.
    ///
    /// # Errors
    ///
    /// No whole second is left, or fewer than requested.
    pub fn for_drain_grace(
        grace: Duration,
        detection: Duration,
        requested_s: Option<u32>,
    ) -> Result<Lifetime, LifetimeError> {
        let overhead = detection + CACHE_ROUNDING;
        let available_us = grace.micros().saturating_sub(overhead.micros());
        let max_s = u32::try_from(available_us / 1_000_000)
            .unwrap_or(MAX_LIFETIME_S)
            .min(MAX_LIFETIME_S);
        if max_s == 0 {
            let millis = |duration: Duration| duration.micros() / 1_000;
            return Err(LifetimeError::GraceTooShort {
                grace_ms: millis(grace),
                detection_ms: millis(detection),
                min_grace_ms: millis(overhead + MIN_LIFETIME),
            });
        }
        if let Some(requested_s) = requested_s.filter(|requested_s| *requested_s > max_s) {
            return Err(LifetimeError::LifetimeTooLong { requested_s, max_s });
        }
        let hosts_s = requested_s.unwrap_or(max_s).max(1);
        Ok(Lifetime {
            hosts_s,
            negative_s: hosts_s,
        })
    }

    /// How long after its hosts started to drain a table's last answer may still be given with a lifetime of 1 s, when
    /// the table has no other host: it has expired before the grace period ends. None: no time at all.
    #[must_use]
    pub fn last_answer_window(grace: Duration) -> Option<Duration> {
        let window_us = grace
            .micros()
            .checked_sub((MIN_LIFETIME + CACHE_ROUNDING).micros())?;
        Some(Duration::from_micros(window_us)).filter(|window| *window > Duration::ZERO)
    }

    /// How long a cache may hold an answer at most.
    #[must_use]
    pub fn max_cache_time(&self) -> Duration {
        Duration::from_millis(u64::from(self.hosts_s) * 1_000) + CACHE_ROUNDING
    }
}
