//! Admission control of a request class: limits by fraction or by rate, and the reasons for a rejection.

use fastrand::Rng;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::time::Duration;

/// Burst that a rate limit allows, in seconds of that rate; it is at least one request.
const RATE_BURST_S: f64 = 1.0;
/// Maximum Retry-After of a rate limit, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// How many requests of a class are admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionLimit {
    /// A fraction of all requests, 0 to 1.
    Fraction(f64),
    /// A number of requests per second.
    Rate(f64),
}

/// Why a request is rejected. A request that will not be served is rejected at once instead of being held until it
/// times out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The admitted fraction of the class: the fleet lacks the capacity for all requests.
    Fraction,
    /// The admitted rate of the class is exceeded.
    Rate {
        /// The time after which another request would be admitted.
        retry_after: Duration,
    },
    /// The proxy's wait queue is full, or the request can no longer be answered before its deadline.
    QueueFull,
    /// The class has no ready host.
    NoHost,
}

impl AdmissionLimit {
    /// Parses a value of the map `pond_levels`: a percentage such as `75`, or a rate such as `12.5/s`. Anything else
    /// admits all requests, because an unreadable limit must not block a class.
    #[must_use]
    pub fn parse(text: &str) -> AdmissionLimit {
        let number = |text: &str| {
            text.trim()
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite() && *n >= 0.0)
        };
        match text.strip_suffix("/s") {
            Some(rate) => number(rate).map_or(AdmissionLimit::Fraction(1.0), AdmissionLimit::Rate),
            None => AdmissionLimit::Fraction(
                number(text).map_or(1.0, |percent| (percent / 100.0).min(1.0)),
            ),
        }
    }
}

/// Token bucket of a rate limit: its tokens and when they were last refilled.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
}

/// Admits or rejects the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLimiter {
    bucket: Option<TokenBucket>,
}

impl AdmissionLimiter {
    /// Admits or rejects a request under the given limit.
    pub fn admit(
        &mut self,
        now: Time,
        limit: AdmissionLimit,
        random: &mut Rng,
    ) -> Result<(), Rejected> {
        match limit {
            AdmissionLimit::Fraction(fraction) if fraction >= 1.0 || random.f64() < fraction => {
                Ok(())
            }
            AdmissionLimit::Fraction(_) => Err(Rejected::Fraction),
            AdmissionLimit::Rate(rate) => self.admit_by_rate(now, rate),
        }
    }

    fn admit_by_rate(&mut self, now: Time, rate: f64) -> Result<(), Rejected> {
        let max_tokens = (rate * RATE_BURST_S).max(1.0);
        let bucket = self.bucket.unwrap_or(TokenBucket {
            tokens: max_tokens,
            refilled_at: now,
        });
        let elapsed = now - bucket.refilled_at;
        let tokens = (bucket.tokens + elapsed.seconds() * rate).min(max_tokens);
        let admitted = tokens >= 1.0;
        self.bucket = Some(TokenBucket {
            tokens: if admitted { tokens - 1.0 } else { tokens },
            refilled_at: now,
        });
        if admitted {
            return Ok(());
        }
        let wait_s = if rate > 0.0 {
            (1.0 - tokens) / rate
        } else {
            MAX_RETRY_AFTER_S
        };
        Err(Rejected::Rate {
            retry_after: Duration::from_millis((wait_s.min(MAX_RETRY_AFTER_S) * 1e3) as u64),
        })
    }
}
