//! Response rate limiting over UDP, where source addresses can be forged. Each address prefix gets a limited number of
//! answers per second. Every `SLIP`th query beyond the limit gets a truncated answer, so that a client whose address is
//! forged in a flood can retry over TCP.

use pondarch_controller::{DurationExt, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;

/// The burst that a source may send, in seconds of its rate. A resolver queries for all request classes at once.
const BURST_S: f64 = 2.0;
/// One in this many queries beyond the limit gets a truncated answer.
const SLIP: u32 = 2;
/// Prefix length of a source with an IPv4 address.
const PREFIX_BITS_V4: u8 = 24;
/// Prefix length of a source with an IPv6 address.
const PREFIX_BITS_V6: u8 = 56;

/// How a query is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateLimitAction {
    /// It is answered.
    Answer,
    /// It gets an empty answer with the truncation bit, so that the client retries over TCP.
    Truncate,
    /// It gets no answer.
    Drop,
}

/// The token bucket of one source.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
    /// Queries beyond the limit since the last full answer.
    limited: u32,
}

/// The token buckets of all sources, bounded in number.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    answers_per_s: f64,
    max_sources: usize,
    sources: BTreeMap<IpAddr, TokenBucket>,
    /// Sources in the order in which they are considered for eviction, the oldest first.
    eviction_order: VecDeque<IpAddr>,
    /// The bucket of all sources that have none of their own because `max_sources` is reached.
    shared: TokenBucket,
    dropped: u64,
}

impl RateLimiter {
    /// `answers_per_s` is the rate for one source; `max_sources` limits the number of sources with their own bucket.
    #[must_use]
    pub fn new(answers_per_s: f64, max_sources: usize, now: Time) -> RateLimiter {
        let answers_per_s = if answers_per_s.is_finite() {
            answers_per_s.clamp(0.1, 1e6)
        } else {
            1.0
        };
        RateLimiter {
            answers_per_s,
            max_sources: max_sources.max(1),
            sources: BTreeMap::new(),
            eviction_order: VecDeque::new(),
            shared: TokenBucket::full(answers_per_s, now),
            dropped: 0,
        }
    }

    /// Counts a query from an address and decides how it is handled.
    pub fn on_query(&mut self, now: Time, address: IpAddr) -> RateLimitAction {
        let source = source_prefix(address);
        if !self.sources.contains_key(&source) && self.sources.len() >= self.max_sources {
            self.evict_oldest_if_idle(now);
        }
        let answers_per_s = self.answers_per_s;
        let bucket = if self.sources.contains_key(&source) || self.sources.len() < self.max_sources
        {
            let eviction_order = &mut self.eviction_order;
            self.sources.entry(source).or_insert_with(|| {
                eviction_order.push_back(source);
                TokenBucket::full(answers_per_s, now)
            })
        } else {
            &mut self.shared
        };
        let action = bucket.on_query(now, answers_per_s);
        self.dropped += u64::from(action == RateLimitAction::Drop);
        action
    }

    /// Removes the oldest source if its bucket is full again, as a new bucket would be the same.
    fn evict_oldest_if_idle(&mut self, now: Time) {
        let Some(oldest) = self.eviction_order.pop_front() else {
            return;
        };
        let is_idle = self.sources.get(&oldest).is_none_or(|bucket| {
            bucket.tokens + (now - bucket.refilled_at).seconds() * self.answers_per_s
                >= self.answers_per_s * BURST_S
        });
        if is_idle {
            self.sources.remove(&oldest);
        } else {
            self.eviction_order.push_back(oldest);
        }
    }

    /// The number of sources with a bucket of their own.
    #[must_use]
    pub fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// The number of queries that were dropped.
    #[must_use]
    pub fn dropped_count(&self) -> u64 {
        self.dropped
    }
}

impl TokenBucket {
    fn full(answers_per_s: f64, now: Time) -> TokenBucket {
        TokenBucket {
            tokens: answers_per_s * BURST_S,
            refilled_at: now,
            limited: 0,
        }
    }

    fn on_query(&mut self, now: Time, answers_per_s: f64) -> RateLimitAction {
        let elapsed = now - self.refilled_at;
        self.tokens =
            (self.tokens + elapsed.seconds() * answers_per_s).min(answers_per_s * BURST_S);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.limited = 0;
            return RateLimitAction::Answer;
        }
        self.limited = self.limited.wrapping_add(1);
        if self.limited.is_multiple_of(SLIP) {
            RateLimitAction::Truncate
        } else {
            RateLimitAction::Drop
        }
    }
}

/// The address prefix that counts as one source; an IPv4-mapped address counts as IPv4.
#[must_use]
pub fn source_prefix(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V4(v4) => IpAddr::V4((u32::from(v4) & (u32::MAX << (32 - PREFIX_BITS_V4))).into()),
        IpAddr::V6(v6) => match v6.to_ipv4_mapped() {
            Some(v4) => source_prefix(IpAddr::V4(v4)),
            None => IpAddr::V6((u128::from(v6) & (u128::MAX << (128 - PREFIX_BITS_V6))).into()),
        },
    }
}
