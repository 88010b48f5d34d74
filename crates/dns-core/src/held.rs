//! What caches may still hold of what was answered: for each table, which of its versions, until when. It says how long
//! a host may still be met after it left, and whether one that starts anew is still sent reqs by answers from before.

use pondarch_controller::{HostId, TableId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Versions of a table that are remembered. Answers last seconds and tables change by the second at most, so there are
/// a few; beyond that the two oldest count as one, by the greater part of each host.
const VERSIONS_MOST: usize = 16;
/// How long a version that was replaced is kept though nobody is known to hold it: word of its last answer may be late.
const WORD_WITHIN: Duration = Duration::from_millis(1_000);

/// A host as it was answered: its part of the table's reqs, and which process was meant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Named {
    pub part: f64,
    pub addr: SocketAddr,
    pub started: Time,
}

/// One version of a table as it was answered, and when the last answer has run out.
#[derive(Clone, Debug)]
struct Version {
    serial: u32,
    hosts: BTreeMap<HostId, Named>,
    until: Time,
    replaced: Option<Time>,
}

/// A version of another run that somebody may still hold: table, serial, until when, and its hosts.
pub type Kept = (TableId, u32, Time, BTreeMap<HostId, Named>);

#[derive(Clone, Debug, Default)]
pub struct Held {
    tables: BTreeMap<TableId, VecDeque<Version>>,
}

impl Held {
    /// A table has these hosts from this serial on. What nobody was answered leaves no trace.
    pub fn changed(
        &mut self,
        now: Time,
        serial: u32,
        table: TableId,
        hosts: BTreeMap<HostId, Named>,
    ) {
        let versions = self.tables.entry(table).or_default();
        if let Some(last) = versions.back_mut() {
            last.replaced = Some(now);
        }
        versions.retain(|v| v.until > now || v.replaced.is_some_and(|at| now - at < WORD_WITHIN));
        versions.push_back(Version {
            serial,
            hosts,
            until: Time::default(),
            replaced: None,
        });
        if versions.len() > VERSIONS_MOST
            && let Some(oldest) = versions.pop_front()
            && let Some(next) = versions.front_mut()
        {
            next.until = next.until.max(oldest.until);
            for (host, named) in oldest.hosts {
                let held = next.hosts.entry(host).or_insert(named);
                // The older process counts: it is the one that may have been answered with a heavy line.
                *held = Named {
                    part: held.part.max(named.part),
                    ..named
                };
            }
        }
    }

    /// The table as it was at this serial was given to somebody who may hold it for so long.
    pub fn answered(&mut self, now: Time, serial: u32, table: TableId, held: Duration) {
        let Some(versions) = self.tables.get_mut(&table) else {
            return;
        };
        let at = in_force(versions, serial);
        if let Some(version) = versions.get_mut(at) {
            version.until = version.until.max(now + held);
        }
    }

    /// Somebody serves the whole zone to others, as it is at this serial or later ones: every table's version of then,
    /// and all later ones, may be answered now and held for so long.
    pub fn served(&mut self, now: Time, serial: u32, held: Duration) {
        for versions in self.tables.values_mut() {
            let from = in_force(versions, serial);
            for version in versions.iter_mut().skip(from) {
                version.until = version.until.max(now + held);
            }
        }
    }

    /// Takes up what somebody may still hold of another run: by versions that are no table's any more.
    pub fn recover(&mut self, now: Time, kept: Vec<Kept>) {
        for (table, serial, until, hosts) in kept {
            let version = Version {
                serial,
                hosts,
                until,
                replaced: Some(now),
            };
            self.tables.entry(table).or_default().push_back(version);
        }
        for versions in self.tables.values_mut() {
            let serial = versions.back().map_or(0, |version| version.serial);
            let nothing = Version {
                serial,
                hosts: BTreeMap::new(),
                until: Time::default(),
                replaced: None,
            };
            versions.push_back(nothing);
        }
    }

    /// Until when somebody may still meet a host by what was answered before it left all tables; none: nobody.
    pub fn until(&self, now: Time, host: &HostId) -> Option<Time> {
        let versions = self.tables.values().flatten();
        let naming =
            versions.filter(|version| version.until > now && version.hosts.contains_key(host));
        naming.map(|version| version.until).max()
    }

    /// Until when answers that meant an earlier process may still bring reqs to this one, at the same address: it
    /// starts cold under the old one's heavy line. None: nobody holds any.
    pub fn echo(&self, now: Time, host: &HostId, addr: SocketAddr, started: Time) -> Option<Time> {
        let live = self
            .tables
            .values()
            .flatten()
            .filter(|version| version.until > now);
        let older = |named: &&Named| named.addr == addr && named.started < started;
        live.filter(|version| version.hosts.get(host).filter(older).is_some())
            .map(|version| version.until)
            .max()
    }

    /// The greatest part of a table's reqs that a host may still be sent by any answer that somebody may hold, and by
    /// the table as it is.
    pub fn most(&self, now: Time, table: TableId, host: &HostId) -> f64 {
        let Some(versions) = self.tables.get(&table) else {
            return 0.0;
        };
        let last = versions.len().saturating_sub(1);
        let live = versions
            .iter()
            .enumerate()
            .filter(|(n, version)| *n == last || version.until > now);
        live.filter_map(|(_, version)| version.hosts.get(host).map(|named| named.part))
            .fold(0.0, f64::max)
    }

    /// Hosts that may still be met though the tables as they are name them no more, with until when.
    pub fn lingering(&self, now: Time) -> BTreeMap<HostId, Time> {
        let mut lingering = BTreeMap::new();
        for versions in self.tables.values() {
            for version in versions.iter().filter(|version| version.until > now) {
                for host in version.hosts.keys() {
                    let until = lingering.entry(host.clone()).or_insert(version.until);
                    *until = version.until.max(*until);
                }
            }
        }
        let named = |host: &HostId| {
            self.tables
                .values()
                .filter_map(VecDeque::back)
                .any(|now| now.hosts.contains_key(host))
        };
        lingering.retain(|host, _| !named(host));
        lingering
    }
}

/// The place of the version that was in force at a serial: the last one that came by then, or the oldest known.
fn in_force(versions: &VecDeque<Version>, serial: u32) -> usize {
    versions
        .iter()
        .rposition(|version| !newer(version.serial, serial))
        .unwrap_or(0)
}

/// Whether a serial is newer than another, by the arithmetic of serials (RFC 1982).
pub fn newer(one: u32, other: u32) -> bool {
    (one.wrapping_sub(other) as i32) > 0
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000 + ms * 1_000)
    }

    fn named(part: f64) -> Named {
        Named {
            part,
            addr: ([127, 0, 0, 1], 80).into(),
            started: Time::default(),
        }
    }

    fn parts(of: &[(&str, f64)]) -> BTreeMap<HostId, Named> {
        of.iter()
            .map(|(host, part)| (HostId((*host).into()), named(*part)))
            .collect()
    }

    const TABLE: TableId = TableId(0);
    const HELD: Duration = Duration::from_millis(3_000);

    #[test]
    fn a_drain_just_after_an_answer_lingers_for_its_whole_life_and_no_longer() {
        let (mut held, a) = (Held::default(), HostId("a".into()));
        held.changed(at(0), 1, TABLE, parts(&[("a", 0.5), ("b", 0.5)]));
        held.answered(at(999), 1, TABLE, HELD);
        held.changed(at(1_000), 2, TABLE, parts(&[("b", 1.0)]));
        held.answered(at(2_000), 2, TABLE, HELD);
        assert_eq!(held.until(at(2_000), &a), Some(at(3_999)));
        assert_eq!(held.lingering(at(2_000)).keys().collect::<Vec<_>>(), [&a]);
        assert_eq!(held.until(at(3_999), &a), None);
        assert!(held.lingering(at(3_999)).is_empty());
    }

    #[test]
    fn what_nobody_was_answered_leaves_no_trace() {
        let mut held = Held::default();
        held.changed(at(0), 1, TABLE, parts(&[("a", 1.0)]));
        held.changed(at(1), 2, TABLE, parts(&[("b", 1.0)]));
        assert_eq!(held.until(at(1), &HostId("a".into())), None);
        held.answered(at(2), 2, TableId(7), HELD);
        assert_eq!(held.most(at(2), TableId(7), &HostId("b".into())), 0.0);
    }

    /// Under one name and address: the old process was answered with a heavy line, the new one starts cold.
    #[test]
    fn a_process_that_starts_anew_is_met_by_old_answers_until_they_run_out() {
        let (mut held, a, addr) = (Held::default(), HostId("a".into()), named(0.0).addr);
        held.changed(at(0), 1, TABLE, parts(&[("a", 0.5), ("b", 0.5)]));
        held.answered(at(900), 1, TABLE, HELD);
        assert_eq!(
            held.echo(at(1_000), &a, addr, Time::default()),
            None,
            "the same process"
        );
        assert_eq!(held.echo(at(1_000), &a, addr, at(950)), Some(at(3_900)));
        assert_eq!(
            held.echo(at(1_000), &a, ([127, 0, 0, 2], 80).into(), at(950)),
            None,
            "nobody is sent there"
        );
        held.changed(
            at(1_000),
            2,
            TABLE,
            [(
                a.clone(),
                Named {
                    started: at(950),
                    ..named(0.02)
                },
            )]
            .into(),
        );
        held.answered(at(2_000), 2, TABLE, HELD);
        assert_eq!(held.echo(at(2_000), &a, addr, at(950)), Some(at(3_900)));
        assert_eq!(held.echo(at(3_900), &a, addr, at(950)), None);
    }

    /// The first answer of a table goes out, and before word of it is here the table changes.
    #[test]
    fn word_of_an_answer_that_comes_after_a_change_counts_for_what_was_answered() {
        let (mut held, a) = (Held::default(), HostId("a".into()));
        held.changed(at(0), 1, TABLE, parts(&[("a", 1.0)]));
        held.changed(at(5_000), 2, TABLE, parts(&[("b", 1.0)]));
        held.changed(at(5_010), 3, TABLE, parts(&[("c", 1.0)]));
        held.answered(at(5_020), 1, TABLE, HELD);
        assert_eq!(held.until(at(5_020), &a), Some(at(8_020)));
        assert_eq!(held.until(at(5_020), &HostId("b".into())), None);
    }

    #[test]
    fn who_serves_an_old_zone_keeps_its_versions_alive_and_no_older_ones() {
        let (mut held, a) = (Held::default(), HostId("a".into()));
        for (serial, host) in [(1, "a"), (2, "b"), (3, "c")] {
            held.changed(at(0), serial, TABLE, parts(&[(host, 1.0)]));
            held.served(at(0), serial, HELD);
        }
        held.served(at(2_000), 2, HELD);
        assert_eq!(held.until(at(2_000), &a), Some(at(3_000)));
        assert_eq!(held.until(at(2_000), &HostId("b".into())), Some(at(5_000)));
        // A table that has not changed since is served by an older serial as well.
        held.served(at(4_000), 9, HELD);
        assert_eq!(held.until(at(4_000), &HostId("c".into())), Some(at(7_000)));
        assert!(newer(3, u32::MAX) && !newer(u32::MAX, 3) && !newer(3, 3));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

        /// Against an account of each single answer: nothing that somebody may hold is ever missed, however many
        /// versions there were.
        #[test]
        fn nothing_held_is_missed(steps in prop::collection::vec((0u64..400, 0usize..4, 0.0..1.0f64, any::<bool>()), 1..120)) {
            let mut held = Held::default();
            let (mut now, mut answers, mut table) = (0, Vec::new(), parts(&[("h0", 1.0)]));
            held.changed(at(0), 1, TABLE, table.clone());
            for (pass, host, part, answer) in steps {
                now += pass;
                if answer {
                    held.answered(at(now), now as u32, TABLE, HELD);
                    answers.push((now + 3_000, table.clone()));
                } else {
                    table.retain(|_, _| part > 0.3);
                    table.insert(HostId(format!("h{host}").into()), named(part));
                    held.changed(at(now), now as u32, TABLE, table.clone());
                }
                for host in (0..4).map(|n| HostId(format!("h{n}").into())) {
                    let live = answers.iter().filter(|(until, _)| *until > now);
                    let most = live.filter_map(|(_, parts)| parts.get(&host)).map(|named| named.part).fold(0.0, f64::max);
                    prop_assert!(held.most(at(now), TABLE, &host) >= most);
                    prop_assert_eq!(held.until(at(now), &host).is_some() || most == 0.0, true);
                }
            }
        }
    }
}
