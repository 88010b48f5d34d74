//! Membership of proxies that use DNS and have no connection. A proxy joins with its first query and leaves when it has
//! not queried for several lifetimes. A restart cannot be detected, and a proxy that caches answers for too long cannot
//! be told from one that has stopped.

use pondarch_controller::{DurationExt, ProxyId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A proxy has left after this many lifetimes without a query. Caches refresh late, and some only when a request
/// arrives.
const LEAVE_AFTER_LIFETIMES: f64 = 4.0;
/// A member is considered to cache answers for too long after this many consecutive late queries.
const MAX_LATE_QUERIES: u32 = 3;

/// How a query changed the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The proxy was not a member and has joined.
    Joined,
    /// The proxy was a member already.
    Known,
    /// The maximum number of members is reached: the proxy is answered but not tracked.
    AtCapacity,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    last_query: Time,
    /// Consecutive queries that each arrived more than two cache times after the previous one.
    late_queries: u32,
}

/// The proxies that have joined by querying.
#[derive(Clone, Debug)]
pub struct Members {
    max_cache_time: Duration,
    max_members: usize,
    members: BTreeMap<ProxyId, Member>,
    untracked_queries: u64,
}

impl Members {
    /// `max_cache_time` is how long an answer may be cached; `max_members` limits the number of tracked proxies.
    #[must_use]
    pub fn new(max_cache_time: Duration, max_members: usize) -> Members {
        Members {
            max_cache_time,
            max_members,
            members: BTreeMap::new(),
            untracked_queries: 0,
        }
    }

    /// Records a query of a proxy.
    pub fn record_query(&mut self, now: Time, proxy: ProxyId) -> QueryOutcome {
        if let Some(member) = self.members.get_mut(&proxy) {
            // Only late queries count: a cache may query before its answer has expired, for example after a restart.
            let is_late = now - member.last_query > self.max_cache_time + self.max_cache_time;
            member.late_queries = if is_late {
                member.late_queries.saturating_add(1)
            } else {
                0
            };
            member.last_query = member.last_query.max(now);
            return QueryOutcome::Known;
        }
        if self.members.len() >= self.max_members {
            self.untracked_queries += 1;
            return QueryOutcome::AtCapacity;
        }
        self.members.insert(
            proxy,
            Member {
                last_query: now,
                late_queries: 0,
            },
        );
        QueryOutcome::Joined
    }

    /// Removes and returns the proxies that have not queried within the timeout.
    pub fn remove_expired(&mut self, now: Time) -> Vec<ProxyId> {
        let timeout = self.leave_timeout();
        self.members
            .extract_if(.., |_, member| now - member.last_query >= timeout)
            .map(|(proxy, _)| proxy)
            .collect()
    }

    /// The earliest time at which a member times out.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.members
            .values()
            .map(|member| member.last_query + self.leave_timeout())
            .min()
    }

    /// Proxies that repeatedly query later than their answers may be cached. They may send requests to draining hosts
    /// after the grace period; only operators can correct that.
    pub fn caching_too_long(&self) -> impl Iterator<Item = ProxyId> {
        self.members
            .iter()
            .filter(|(_, member)| member.late_queries >= MAX_LATE_QUERIES)
            .map(|(proxy, _)| *proxy)
    }

    /// Whether a proxy is a member.
    #[must_use]
    pub fn contains(&self, proxy: ProxyId) -> bool {
        self.members.contains_key(&proxy)
    }

    /// The number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there is no member.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The number of queries by proxies that were answered but not tracked.
    #[must_use]
    pub fn untracked_queries(&self) -> u64 {
        self.untracked_queries
    }

    fn leave_timeout(&self) -> Duration {
        self.max_cache_time.scaled(LEAVE_AFTER_LIFETIMES)
    }
}
