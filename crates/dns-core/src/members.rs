//! Membership without a connection. A proxy that queries is joined; one that has not queried for some lifetimes has
//! left. Nothing else is known: a restart is not seen, and a proxy that caches answers for too long looks like one that
//! is away.

use pondarch_controller::{DurationExt, ProxyId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lifetimes without a query after which a proxy has left: caches refresh late, and some only when a request comes.
const LEAVE_AFTER_LIFETIMES: f64 = 4.0;
/// Late queries in a row, from a proxy that had not left, after which it is taken to cache answers for too long.
const MAX_LATE_QUERIES: u32 = 3;

/// What a query changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryOutcome {
    /// The proxy was not known, or had left.
    Joined,
    /// The proxy is a member.
    Known,
    /// There are as many members as may be: the proxy is answered, but not tracked.
    AtCapacity,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    last_query: Time,
    /// Queries in a row that came later than two lifetimes after the previous one.
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
    /// `max_cache_time`: how long an answer may be cached; `max_members`: members at one time.
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
            // A cache may query before its answer has expired, and does when it restarts: that says nothing.
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

    /// Removes the proxies that have left by now and returns them.
    pub fn remove_expired(&mut self, now: Time) -> Vec<ProxyId> {
        let timeout = self.leave_timeout();
        self.members
            .extract_if(.., |_, member| now - member.last_query >= timeout)
            .map(|(proxy, _)| proxy)
            .collect()
    }

    /// When the next proxy may have left.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.members
            .values()
            .map(|member| member.last_query + self.leave_timeout())
            .min()
    }

    /// Proxies that query again and again later than their answers may be cached: they keep draining hosts beyond the
    /// grace period, and only the operators can change that.
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

    /// The number of queries that were answered without being tracked.
    #[must_use]
    pub fn untracked_queries(&self) -> u64 {
        self.untracked_queries
    }

    fn leave_timeout(&self) -> Duration {
        self.max_cache_time.scaled(LEAVE_AFTER_LIFETIMES)
    }
}
