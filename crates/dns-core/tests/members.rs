//! Membership by queries: joining, leaving, the maximum, and late queries.

use pondarch_controller::{ProxyId, Time};
use pondarch_dns_core::{Members, QueryOutcome};
use std::time::Duration;

fn at(s: u64) -> Time {
    Time::from_micros(1_000_000_000 + s * 1_000_000)
}

#[test]
fn a_proxy_joins_with_a_query_and_is_removed_once() {
    let mut members = Members::new(Duration::from_millis(5_000), 10);
    assert_eq!(
        members.record_query(at(0), ProxyId(1)),
        QueryOutcome::Joined
    );
    assert_eq!(members.record_query(at(4), ProxyId(1)), QueryOutcome::Known);
    assert_eq!(members.next_expiry(), Some(at(24)));
    assert!(members.remove_expired(at(23)).is_empty());
    assert_eq!(members.remove_expired(at(24)), [ProxyId(1)]);
    assert!(members.remove_expired(at(25)).is_empty());
    assert_eq!(
        members.record_query(at(26), ProxyId(1)),
        QueryOutcome::Joined
    );
}

#[test]
fn queries_beyond_the_maximum_are_not_tracked() {
    let mut members = Members::new(Duration::from_millis(5_000), 2);
    assert_eq!(
        members.record_query(at(0), ProxyId(1)),
        QueryOutcome::Joined
    );
    assert_eq!(
        members.record_query(at(0), ProxyId(2)),
        QueryOutcome::Joined
    );
    for n in 3..1_000 {
        assert_eq!(
            members.record_query(at(1), ProxyId(n)),
            QueryOutcome::AtCapacity
        );
    }
    assert_eq!((members.len(), members.untracked_queries()), (2, 997));
    assert_eq!(members.record_query(at(1), ProxyId(1)), QueryOutcome::Known);
}

#[test]
fn a_proxy_with_repeated_late_queries_caches_too_long() {
    let mut members = Members::new(Duration::from_millis(5_000), 10);
    for n in 0..4 {
        members.record_query(at(n * 15), ProxyId(1));
        members.record_query(at(n * 5), ProxyId(2));
    }
    assert_eq!(members.caching_too_long().collect::<Vec<_>>(), [ProxyId(1)]);
    members.record_query(at(48), ProxyId(1));
    assert_eq!(members.caching_too_long().count(), 0);
}
