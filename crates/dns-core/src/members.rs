//! Membership without a stream. A proxy that asks is joined; one that has not asked for some lifetimes has left. Nothing
//! else is known: a restart is not seen, and a proxy that holds answers longer than it may looks like one that is away.

use pondarch_controller::DurationExt;
use pondarch_controller::{ProxyId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Lifetimes without an ask after which a proxy has left: caches refresh late, and some only when a req comes.
const LEAVES_AFTER: f64 = 4.0;
/// Asks in a row that came later than an answer may be held, but before the proxy had left, after which it is taken to
/// hold answers longer than it may.
const LATE_ASKS: u32 = 3;

/// What an ask changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// It was not known, or had left.
    Joined,
    Known,
    /// There are as many members as may be: it is answered, but not tracked.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Member {
    asked: Time,
    late: u32,
}

#[derive(Clone, Debug)]
pub struct Members {
    /// How long an answer may be held.
    held: Duration,
    most: usize,
    members: BTreeMap<ProxyId, Member>,
    untracked: u64,
}

impl Members {
    /// `held`: how long an answer may be held at most; `most`: members at one time.
    pub fn new(held: Duration, most: usize) -> Members {
        Members {
            held,
            most,
            members: BTreeMap::new(),
            untracked: 0,
        }
    }

    pub fn asked(&mut self, now: Time, proxy: ProxyId) -> Asked {
        let full = self.members.len() >= self.most;
        match self.members.get_mut(&proxy) {
            Some(member) => {
                // A cache may ask before its answer ran out, and does when it restarts: that says nothing.
                let late = now - member.asked > self.held + self.held;
                member.late = if late {
                    member.late.saturating_add(1)
                } else {
                    0
                };
                member.asked = member.asked.max(now);
                Asked::Known
            }
            None if full => {
                self.untracked += 1;
                Asked::Full
            }
            None => {
                self.members.insert(
                    proxy,
                    Member {
                        asked: now,
                        late: 0,
                    },
                );
                Asked::Joined
            }
        }
    }

    /// Those who have left by now; each is named once.
    pub fn left(&mut self, now: Time) -> Vec<ProxyId> {
        let limit = self.held.scaled(LEAVES_AFTER);
        let gone = |member: &Member| now - member.asked >= limit;
        let left: Vec<ProxyId> = self
            .members
            .iter()
            .filter(|(_, m)| gone(m))
            .map(|(id, _)| *id)
            .collect();
        self.members.retain(|_, member| !gone(member));
        left
    }

    /// When the next one may have left.
    pub fn wake_at(&self) -> Option<Time> {
        self.members
            .values()
            .map(|member| member.asked + self.held.scaled(LEAVES_AFTER))
            .min()
    }

    /// Proxies that ask again and again later than their answers may be held: they hold drained hosts longer than the
    /// grace, and nothing here can help it but saying so.
    pub fn holds_too_long(&self) -> impl Iterator<Item = ProxyId> {
        self.members
            .iter()
            .filter(|(_, member)| member.late >= LATE_ASKS)
            .map(|(id, _)| *id)
    }

    pub fn holds(&self, proxy: ProxyId) -> bool {
        self.members.contains_key(&proxy)
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Asks that were answered without being tracked.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(s: u64) -> Time {
        Time::from_micros(1_000_000_000 + s * 1_000_000)
    }

    #[test]
    fn asking_joins_and_not_asking_leaves_once() {
        let mut members = Members::new(Duration::from_millis(5_000), 10);
        assert_eq!(members.asked(at(0), ProxyId(1)), Asked::Joined);
        assert_eq!(members.asked(at(4), ProxyId(1)), Asked::Known);
        assert_eq!(members.wake_at(), Some(at(24)));
        assert!(members.left(at(23)).is_empty());
        assert_eq!(members.left(at(24)), [ProxyId(1)]);
        assert!(members.left(at(25)).is_empty());
        assert_eq!(members.asked(at(26), ProxyId(1)), Asked::Joined);
    }

    #[test]
    fn beyond_the_cap_nobody_is_pushed_out() {
        let mut members = Members::new(Duration::from_millis(5_000), 2);
        assert_eq!(members.asked(at(0), ProxyId(1)), Asked::Joined);
        assert_eq!(members.asked(at(0), ProxyId(2)), Asked::Joined);
        (3..1_000).for_each(|n| assert_eq!(members.asked(at(1), ProxyId(n)), Asked::Full));
        assert_eq!((members.len(), members.untracked()), (2, 997));
        assert_eq!(members.asked(at(1), ProxyId(1)), Asked::Known);
    }

    #[test]
    fn who_asks_late_again_and_again_holds_too_long() {
        let mut members = Members::new(Duration::from_millis(5_000), 10);
        for n in 0..4 {
            members.asked(at(n * 15), ProxyId(1));
            members.asked(at(n * 5), ProxyId(2));
        }
        assert_eq!(members.holds_too_long().collect::<Vec<_>>(), [ProxyId(1)]);
        members.asked(at(48), ProxyId(1));
        assert_eq!(members.holds_too_long().count(), 0);
    }
}
