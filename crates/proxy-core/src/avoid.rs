//! Keeping away from hosts after failed tries of one's own in a row.

use fastrand::Rng;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How a proxy keeps away.
#[derive(Clone, Copy, Debug)]
pub struct Habit {
    /// Failed tries in a row; 0: never.
    pub after: u32,
    /// For how long, drawn between these, so that proxies do not come back in step.
    pub least: Duration,
    pub most: Duration,
    /// Part of a table's lines that may be out at once.
    pub part: f64,
    /// How long a host that left is remembered: one that comes back at once is the same host, as bad as it was.
    pub remembered: Duration,
}

#[derive(Clone, Debug)]
struct Record {
    addr: SocketAddr,
    in_a_row: u32,
    until: Option<Time>,
    seen: Time,
}

/// What is known of hosts by one's own tries.
#[derive(Clone, Debug, Default)]
pub struct Avoided {
    records: BTreeMap<String, Record>,
}

impl Avoided {
    /// A try ended. `others` are the hosts of the same table: so many may be out, and never the last.
    pub fn ended<'a>(
        &mut self,
        now: Time,
        habit: &Habit,
        host: (&str, SocketAddr),
        good: bool,
        others: impl Iterator<Item = &'a str>,
        chance: &mut Rng,
    ) {
        let (name, addr) = host;
        let record = self
            .records
            .get(name)
            .filter(|record| record.addr == addr && now - record.seen <= habit.remembered);
        // At another address it is another process: what the old one did says nothing of it.
        let mut record = record.cloned().unwrap_or(Record {
            addr,
            in_a_row: 0,
            until: None,
            seen: now,
        });
        record.seen = now;
        record.in_a_row = if good { 0 } else { record.in_a_row + 1 };
        if good {
            record.until = None;
        }
        if habit.after > 0
            && record.in_a_row >= habit.after
            && record.until.is_none_or(|until| until <= now)
        {
            let (mut all, mut out) = (0usize, 1usize);
            for other in others {
                all += 1;
                out += usize::from(other != name && self.is_out(now, other));
            }
            let most = ((all as f64 * habit.part) as usize).min(all.saturating_sub(1));
            if out <= most {
                let range = habit.most.micros().saturating_sub(habit.least.micros()) as f64;
                let drawn = habit.least + Duration::from_micros((range * chance.f64()) as u64);
                record.until = Some(now + drawn);
                // One good try after it comes back and it is as good as any; the first bad one and it is out again.
                record.in_a_row = habit.after - 1;
            }
        }
        self.records.insert(name.to_string(), record);
    }

    pub fn is_out(&self, now: Time, host: &str) -> bool {
        self.records
            .get(host)
            .is_some_and(|record| record.until.is_some_and(|until| until > now))
    }

    pub fn out(&self, now: Time) -> impl Iterator<Item = &str> {
        self.records
            .keys()
            .map(String::as_str)
            .filter(move |host| self.is_out(now, host))
    }

    /// Forgets hosts nobody has tried for long.
    pub fn forget(&mut self, now: Time, habit: &Habit) {
        self.records
            .retain(|_, record| now - record.seen <= habit.remembered);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fastrand::Rng;
    use proptest::prelude::*;

    const HABIT: Habit = Habit {
        after: 3,
        least: Duration::from_millis(2_000),
        most: Duration::from_millis(4_000),
        part: 0.5,
        remembered: Duration::from_millis(60_000),
    };

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000 + ms * 1_000)
    }

    fn addr(n: u16) -> SocketAddr {
        ([127, 0, 0, 1], n).into()
    }

    proptest! {
        /// Never more than the part, never the last, whatever fails in whatever order.
        #[test]
        fn some_are_left(all in 1..9usize, tries in prop::collection::vec((0..9usize, any::<bool>(), 0..900u64), 1..300)) {
            let names: Vec<String> = (0..all).map(|n| format!("host-{n}")).collect();
            let (mut avoided, mut chance, mut now) = (Avoided::default(), Rng::with_seed(3), 0);
            for (n, good, wait) in tries {
                now += wait;
                let host = &names[n % all];
                let others = names.iter().map(String::as_str);
                avoided.ended(at(now), &HABIT, (host, addr(1)), good, others, &mut chance);
                let out = avoided.out(at(now)).count();
                prop_assert!(out < all && out as f64 <= all as f64 * 0.5, "{out} of {all} out");
            }
        }
    }

    #[test]
    fn who_leaves_and_comes_back() {
        let (mut avoided, mut chance) = (Avoided::default(), Rng::with_seed(3));
        let others = ["a", "b", "c", "d"];
        let mut fail = |avoided: &mut Avoided, ms: u64, port: u16| {
            avoided.ended(
                at(ms),
                &HABIT,
                ("a", addr(port)),
                false,
                others.into_iter(),
                &mut chance,
            );
        };
        (0..3).for_each(|n| fail(&mut avoided, n, 1));
        assert!(
            avoided.is_out(at(10), "a")
                && avoided.is_out(at(1_999), "a")
                && !avoided.is_out(at(4_100), "a")
        );
        // Back and bad at once: one failure is enough.
        fail(&mut avoided, 4_200, 1);
        assert!(avoided.is_out(at(4_300), "a"));
        // At another address nothing is held against it.
        fail(&mut avoided, 9_000, 2);
        assert!(!avoided.is_out(at(9_001), "a"));
        (0..3).for_each(|n| fail(&mut avoided, 10_000 + n, 2));
        assert!(avoided.is_out(at(10_010), "a"));
        avoided.forget(at(80_000), &HABIT);
        assert_eq!(avoided.records.len(), 0);
    }
}
