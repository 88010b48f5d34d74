//! Tracks which versions of each table caches may still hold, and until when. From this follows how long a host may
//! receive requests after it was removed from a table, and whether a restarted host may receive requests because of
//! answers that were given for its previous incarnation.

use crate::serial::is_newer;
use pondarch_controller::{HostId, TableId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Versions kept for each table. Answers are cached for seconds and a table changes at most once a second, so a few are
/// enough; beyond this number the two oldest are merged, with the greater share of each host.
const MAX_VERSIONS: usize = 16;
/// How long a replaced version is kept even if no answer from it was reported: the report may arrive late.
const ANSWER_REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A host as it was sent in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnsweredHost {
    /// The host's share of the table's requests.
    pub share: f64,
    /// The address that was sent.
    pub address: SocketAddr,
    /// When the incarnation that the answer was given for had started.
    pub started: Time,
}

/// One version of a table, with the hosts of its answers.
#[derive(Clone, Debug)]
struct Version {
    serial: u32,
    hosts: BTreeMap<HostId, AnsweredHost>,
    /// When the last answer from this version expires.
    cached_until: Time,
    replaced_at: Option<Time>,
}

/// A version of a table from which a previous run sent answers that may still be cached.
#[derive(Clone, Debug)]
pub struct RecoveredVersion {
    /// The table.
    pub table: TableId,
    /// The zone serial of the version.
    pub serial: u32,
    /// When the last answer from this version expires.
    pub cached_until: Time,
    /// The hosts that were sent.
    pub hosts: BTreeMap<HostId, AnsweredHost>,
}

/// The table versions that caches may still hold.
#[derive(Clone, Debug, Default)]
pub struct CachedAnswers {
    /// The versions of each table, oldest first; the last one is current.
    tables: BTreeMap<TableId, VecDeque<Version>>,
}

impl CachedAnswers {
    /// Records that a table has these hosts as of `serial`. Replaced versions that no cache can hold are removed.
    pub fn record_table(
        &mut self,
        now: Time,
        serial: u32,
        table: TableId,
        hosts: BTreeMap<HostId, AnsweredHost>,
    ) {
        let versions = self.tables.entry(table).or_default();
        if let Some(last) = versions.back_mut() {
            last.replaced_at = Some(now);
        }
        versions.retain(|version| {
            version.cached_until > now
                || version
                    .replaced_at
                    .is_some_and(|replaced_at| now - replaced_at < ANSWER_REPORT_TIMEOUT)
        });
        versions.push_back(Version {
            serial,
            hosts,
            cached_until: Time::default(),
            replaced_at: None,
        });
        if versions.len() > MAX_VERSIONS {
            merge_oldest_two(versions);
        }
    }

    /// Records that the table as of `serial` was sent to a cache that may hold it for `max_cache_time`.
    pub fn record_answer(
        &mut self,
        now: Time,
        serial: u32,
        table: TableId,
        max_cache_time: Duration,
    ) {
        let Some(versions) = self.tables.get_mut(&table) else {
            return;
        };
        let index = index_at_serial(versions, serial);
        if let Some(version) = versions.get_mut(index) {
            version.cached_until = version.cached_until.max(now + max_cache_time);
        }
    }

    /// Records that a secondary serves the zone as of `serial` or a later one: that version of every table and all
    /// later versions may be sent to caches now and held for `max_cache_time`.
    pub fn record_zone_copy(&mut self, now: Time, serial: u32, max_cache_time: Duration) {
        for versions in self.tables.values_mut() {
            let first = index_at_serial(versions, serial);
            for version in versions.iter_mut().skip(first) {
                version.cached_until = version.cached_until.max(now + max_cache_time);
            }
        }
    }

    /// Adds the versions of a previous run that caches may still hold. None of them becomes the current version.
    pub fn recover(&mut self, now: Time, recovered: Vec<RecoveredVersion>) {
        for version in recovered {
            self.tables
                .entry(version.table)
                .or_default()
                .push_back(Version {
                    serial: version.serial,
                    hosts: version.hosts,
                    cached_until: version.cached_until,
                    replaced_at: Some(now),
                });
        }
        for versions in self.tables.values_mut() {
            let serial = versions.back().map_or(0, |version| version.serial);
            versions.push_back(Version {
                serial,
                hosts: BTreeMap::new(),
                cached_until: Time::default(),
                replaced_at: None,
            });
        }
    }

    /// Until when a host may receive requests because of cached answers, or `None` if no cache can hold one.
    #[must_use]
    pub fn cached_until(&self, now: Time, host: &HostId) -> Option<Time> {
        self.unexpired_versions(now)
            .filter(|version| version.hosts.contains_key(host))
            .map(|version| version.cached_until)
            .max()
    }

    /// Until when cached answers for an earlier incarnation at the same address may send requests to this one, or
    /// `None` if no cache can hold one. Until then a host that is warming up receives requests by its predecessor's
    /// weight.
    #[must_use]
    pub fn earlier_incarnation_cached_until(
        &self,
        now: Time,
        host: &HostId,
        address: SocketAddr,
        started: Time,
    ) -> Option<Time> {
        let is_earlier =
            |answered: &&AnsweredHost| answered.address == address && answered.started < started;
        self.unexpired_versions(now)
            .filter(|version| version.hosts.get(host).filter(is_earlier).is_some())
            .map(|version| version.cached_until)
            .max()
    }

    /// The greatest share of a table's requests that a host has in the current table or in any cached answer.
    #[must_use]
    pub fn max_share(&self, now: Time, table: TableId, host: &HostId) -> f64 {
        let Some(versions) = self.tables.get(&table) else {
            return 0.0;
        };
        let current = versions.len().saturating_sub(1);
        versions
            .iter()
            .enumerate()
            .filter(|(index, version)| *index == current || version.cached_until > now)
            .filter_map(|(_, version)| version.hosts.get(host).map(|answered| answered.share))
            .fold(0.0, f64::max)
    }

    /// Hosts that are in no current table but may receive requests because of cached answers, and until when.
    #[must_use]
    pub fn lingering(&self, now: Time) -> BTreeMap<HostId, Time> {
        let mut lingering = BTreeMap::new();
        for version in self.unexpired_versions(now) {
            for host in version.hosts.keys() {
                let until = lingering
                    .entry(host.clone())
                    .or_insert(version.cached_until);
                *until = version.cached_until.max(*until);
            }
        }
        lingering.retain(|host, _| !self.is_in_a_table(host));
        lingering
    }

    fn is_in_a_table(&self, host: &HostId) -> bool {
        self.tables
            .values()
            .filter_map(VecDeque::back)
            .any(|current| current.hosts.contains_key(host))
    }

    fn unexpired_versions(&self, now: Time) -> impl Iterator<Item = &Version> {
        self.tables
            .values()
            .flatten()
            .filter(move |version| version.cached_until > now)
    }
}

fn merge_oldest_two(versions: &mut VecDeque<Version>) {
    let Some(oldest) = versions.pop_front() else {
        return;
    };
    let Some(next) = versions.front_mut() else {
        return;
    };
    next.cached_until = next.cached_until.max(oldest.cached_until);
    for (host, answered) in oldest.hosts {
        let merged = next.hosts.entry(host).or_insert(answered);
        // Keeps the earlier incarnation, which may have been sent with a great weight.
        *merged = AnsweredHost {
            share: merged.share.max(answered.share),
            ..answered
        };
    }
}

/// The index of the version that was current at `serial`: the last one that is not newer, or the oldest known.
fn index_at_serial(versions: &VecDeque<Version>, serial: u32) -> usize {
    versions
        .iter()
        .rposition(|version| !is_newer(version.serial, serial))
        .unwrap_or(0)
}
