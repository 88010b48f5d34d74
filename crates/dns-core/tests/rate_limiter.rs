//! Response rate limiting for each source.

use pondarch_controller::Time;
use pondarch_dns_core::rate_limiter::source_prefix;
use pondarch_dns_core::{RateLimitAction, RateLimiter};
use std::net::IpAddr;

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000_000 + ms * 1_000)
}

fn address(n: u32) -> IpAddr {
    IpAddr::V4((0x0a00_0000 + (n << 8) + 1).into())
}

#[test]
fn beyond_the_rate_half_is_dropped_and_half_truncated() {
    let mut limiter = RateLimiter::new(10.0, 100, at(0));
    // Answered, truncated and dropped queries.
    let mut counts = [0; 3];
    for n in 0..1_000 {
        match limiter.on_query(at(n), address(1)) {
            RateLimitAction::Answer => counts[0] += 1,
            RateLimitAction::Truncate => counts[1] += 1,
            RateLimitAction::Drop => counts[2] += 1,
        }
    }
    assert!((28..=31).contains(&counts[0]), "{counts:?}");
    assert!(counts[1] > 400 && counts[2] > 400, "{counts:?}");
    assert_eq!(
        limiter.on_query(at(1_000), address(2)),
        RateLimitAction::Answer,
        "another source is not limited"
    );
}

#[test]
fn the_number_of_tracked_sources_is_bounded() {
    let mut limiter = RateLimiter::new(5.0, 1_000, at(0));
    let mut answered = 0;
    for n in 0..10_000 {
        answered += u32::from(
            limiter.on_query(at(u64::from(n) / 10), address(n)) == RateLimitAction::Answer,
        );
        assert!(limiter.source_count() <= 1_000);
    }
    assert!(answered > 0 && limiter.dropped_count() > 0);
    // Later the buckets are full again and evicted, so that a new source gets a bucket of its own.
    for n in 0..2_000 {
        limiter.on_query(at(10_000 + u64::from(n)), address(20_000 + n));
    }
    assert_eq!(
        limiter.on_query(at(13_000), address(50_000)),
        RateLimitAction::Answer
    );
}

#[test]
fn addresses_of_one_prefix_are_one_source() {
    let v4: IpAddr = "192.0.2.7".parse().expect("an address");
    let mapped: IpAddr = "::ffff:192.0.2.200".parse().expect("an address");
    assert_eq!(source_prefix(v4), source_prefix(mapped));
    let first: IpAddr = "2001:db8:0:1::1".parse().expect("an address");
    let second: IpAddr = "2001:db8:0:ff::1".parse().expect("an address");
    assert_eq!(source_prefix(first), source_prefix(second));
    assert_ne!(
        source_prefix(v4),
        source_prefix("192.0.3.7".parse().expect("an address"))
    );
}
