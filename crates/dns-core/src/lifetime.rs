//! How long an answer may be cached (TTL). An answer cannot be withdrawn from a cache, so a draining host may receive
//! requests until the last answer that contains it has expired. That answer may be sent just before the server learns
//! of the drain.
//!
//! Therefore the time to learn of a drain, the lifetime, and the second that a cache may add by rounding must together
//! fit in the drain grace period. Lifetimes are whole seconds (RFC 1035, section 3.2.1; the top bit is never set,
//! RFC 2181, section 8).

use pondarch_controller::DurationExt;
use std::time::Duration;
use thiserror::Error;

/// A cache may round down the time that has passed: an answer with a lifetime of 1 s may be cached for up to 2 s.
const CACHE_ROUNDING: Duration = Duration::from_millis(1_000);
/// The shortest lifetime of a cacheable answer.
const MIN_LIFETIME: Duration = Duration::from_millis(1_000);
/// The longest lifetime, in seconds, so that an error in a table is not cached for long.
pub const MAX_LIFETIME_S: u32 = 300;

/// Lifetimes (TTL) of answers, in whole seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifetime {
    /// The lifetime of answers with hosts.
    pub hosts_s: u32,
    /// The lifetime of negative answers: the name does not exist or has no record of the queried type (RFC 2308). It is
    /// no longer than that of hosts, as a host may be added to an empty request class at any time.
    pub negative_s: u32,
}

/// Why no lifetime fits in the drain grace period.
#[derive(Clone, Debug, PartialEq, Error)]
#[non_exhaustive]
pub enum LifetimeError {
    /// The grace period leaves less than a whole second for the lifetime.
    #[error(
        "a drain grace period of {grace_ms} ms leaves no whole second for the lifetime of answers: {detection_ms} ms \
         to learn of a drain and 1000 ms for rounding by caches are subtracted; with {min_grace_ms} ms it would leave 1 s"
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
    #[error(
        "a lifetime of {requested_s} s does not fit in the drain grace period; the longest is {max_s} s"
    )]
    LifetimeTooLong {
        /// The requested lifetime.
        requested_s: u32,
        /// The longest lifetime that fits.
        max_s: u32,
    },
}

impl Lifetime {
    /// Returns the requested lifetime, or the longest that the drain grace period allows if none is requested.
    /// `detection` is the longest time from the drain in the endpoint list to the first answer without the host.
    ///
    /// # Errors
    ///
    /// Fails if the grace period leaves no whole second, or fewer seconds than requested.
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

    /// If all hosts of a table drain, how long after the start of the drain the table may still be answered with its
    /// last hosts and a lifetime of 1 s, so that the answer expires before the grace period ends. `None` if it may not
    /// be.
    #[must_use]
    pub fn last_answer_window(grace: Duration) -> Option<Duration> {
        let window_us = grace
            .micros()
            .checked_sub((MIN_LIFETIME + CACHE_ROUNDING).micros())?;
        Some(Duration::from_micros(window_us)).filter(|window| *window > Duration::ZERO)
    }

    /// The longest time that a cache may hold an answer.
    #[must_use]
    pub fn max_cache_time(&self) -> Duration {
        Duration::from_millis(u64::from(self.hosts_s) * 1_000) + CACHE_ROUNDING
    }
}
