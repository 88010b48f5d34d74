//! How often a source is answered over UDP, where sources can be forged: so many answers a second for each small net,
//! and of what is over that each few a truncated one, so that a real asker behind a forged flood comes by TCP.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::time::Duration;

/// Seconds of answers that a source may save up: a resolver asks for all kinds at once.
const SAVED_S: f64 = 2.0;
/// Of the asks over the limit, each so-manieth is answered truncated.
const SLIP: u32 = 2;
/// Bits of an address that make a source.
const NET_V4: u8 = 24;
const NET_V6: u8 = 56;

/// What becomes of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Answer,
    /// An empty answer that says: come by TCP.
    Truncated,
    Drop,
}

#[derive(Clone, Copy, Debug)]
struct Source {
    saved: f64,
    at: Time,
    over: u32,
}

#[derive(Clone, Debug)]
pub struct Limits {
    per_s: f64,
    most: usize,
    sources: BTreeMap<IpAddr, Source>,
    /// Sources in the order they were first seen, for when there are too many.
    order: VecDeque<IpAddr>,
    /// Sources that are not known share one account while the table is full of busy ones.
    others: Source,
    dropped: u64,
}

impl Limits {
    /// `per_s`: answers a second for one source; `most`: sources that are told apart.
    pub fn new(per_s: f64, most: usize, now: Time) -> Limits {
        let per_s = if per_s.is_finite() {
            per_s.clamp(0.1, 1e6)
        } else {
            1.0
        };
        let others = Source {
            saved: per_s * SAVED_S,
            at: now,
            over: 0,
        };
        let most = most.max(1);
        Limits {
            per_s,
            most,
            sources: BTreeMap::new(),
            order: VecDeque::new(),
            others,
            dropped: 0,
        }
    }

    pub fn asks(&mut self, now: Time, from: IpAddr) -> Verdict {
        let net = net(from);
        if !self.sources.contains_key(&net) && self.sources.len() >= self.most {
            self.make_room(now);
        }
        let fresh = Source {
            saved: self.per_s * SAVED_S,
            at: now,
            over: 0,
        };
        let source = if self.sources.contains_key(&net) || self.sources.len() < self.most {
            let order = &mut self.order;
            self.sources.entry(net).or_insert_with(|| {
                order.push_back(net);
                fresh
            })
        } else {
            &mut self.others
        };
        let verdict = source.spend(now, self.per_s);
        self.dropped += u64::from(verdict == Verdict::Drop);
        verdict
    }

    /// Forgets the oldest source if it has saved up all it may: it is as good as new.
    fn make_room(&mut self, now: Time) {
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        let idle = self.sources.get(&oldest).is_none_or(|source| {
            source.saved + (now - source.at).seconds() * self.per_s >= self.per_s * SAVED_S
        });
        if idle {
            self.sources.remove(&oldest);
        } else {
            self.order.push_back(oldest);
        }
    }

    pub fn sources(&self) -> usize {
        self.sources.len()
    }

    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

impl Source {
    fn spend(&mut self, now: Time, per_s: f64) -> Verdict {
        let passed: Duration = now - self.at;
        self.saved = (self.saved + passed.seconds() * per_s).min(per_s * SAVED_S);
        self.at = self.at.max(now);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            self.over = 0;
            return Verdict::Answer;
        }
        self.over = self.over.wrapping_add(1);
        if self.over.is_multiple_of(SLIP) {
            Verdict::Truncated
        } else {
            Verdict::Drop
        }
    }
}

/// The small net that counts as one source.
fn net(of: IpAddr) -> IpAddr {
    match of {
        IpAddr::V4(v4) => IpAddr::V4((u32::from(v4) & (u32::MAX << (32 - NET_V4))).into()),
        IpAddr::V6(v6) => match v6.to_ipv4_mapped() {
            Some(v4) => net(IpAddr::V4(v4)),
            None => IpAddr::V6((u128::from(v6) & (u128::MAX << (128 - NET_V6))).into()),
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000 + ms * 1_000)
    }

    fn ip(n: u32) -> IpAddr {
        IpAddr::V4((0x0a00_0000 + (n << 8) + 1).into())
    }

    #[test]
    fn over_the_rate_half_is_dropped_and_half_is_sent_to_tcp() {
        let mut limits = Limits::new(10.0, 100, at(0));
        let mut seen = [0; 3];
        for n in 0..1_000 {
            match limits.asks(at(n), ip(1)) {
                Verdict::Answer => seen[0] += 1,
                Verdict::Truncated => seen[1] += 1,
                Verdict::Drop => seen[2] += 1,
            }
        }
        assert!((28..=31).contains(&seen[0]), "{seen:?}");
        assert!(seen[1] > 400 && seen[2] > 400, "{seen:?}");
        assert_eq!(
            limits.asks(at(1_000), ip(2)),
            Verdict::Answer,
            "another source is not held to it"
        );
    }

    #[test]
    fn ten_thousand_sources_in_a_second_stay_within_the_table() {
        let mut limits = Limits::new(5.0, 1_000, at(0));
        let mut answered = 0;
        for n in 0..10_000 {
            answered += u32::from(limits.asks(at(u64::from(n) / 10), ip(n)) == Verdict::Answer);
            assert!(limits.sources() <= 1_000);
        }
        assert!(answered > 0 && limits.dropped() > 0);
        // Afterwards a new one is told apart again.
        for n in 0..2_000 {
            limits.asks(at(10_000 + u64::from(n)), ip(20_000 + n));
        }
        assert_eq!(limits.asks(at(13_000), ip(50_000)), Verdict::Answer);
    }

    #[test]
    fn neighbours_are_one_source_whatever_way_they_are_written() {
        let v4: IpAddr = "192.0.2.7".parse().expect("an address");
        let mapped: IpAddr = "::ffff:192.0.2.200".parse().expect("an address");
        assert_eq!(net(v4), net(mapped));
        let (a, b): (IpAddr, IpAddr) = (
            "2001:db8:0:1::1".parse().expect("an address"),
            "2001:db8:0:ff::1".parse().expect("an address"),
        );
        assert_eq!(net(a), net(b));
        assert_ne!(net(v4), net("192.0.3.7".parse().expect("an address")));
    }
}
