//! What caches may still hold of earlier answers: for each table, which of its versions, until when. It says how long a
//! host may still receive requests after it left a table, and whether a host that has restarted still receives requests
//! by answers that meant its previous incarnation.

use crate::serial::is_newer;
use pondarch_controller::{HostId, TableId, Time};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Versions of a table that are remembered. Answers last seconds and tables change by the second at most, so there are
/// a few; beyond that the two oldest count as one, by the greater share of each host.
const MAX_VERSIONS: usize = 16;
/// How long a replaced version is kept though it is not known to be cached: the report of its last answer may be late.
const ANSWER_REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A host as it was answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnsweredHost {
    /// Its share of the table's requests.
    pub share: f64,
    /// The address that was answered.
    pub address: SocketAddr,
    /// When the incarnation that was answered had started.
    pub started: Time,
}

/// One version of a table as it was answered.
#[derive(Clone, Debug)]
struct Version {
    serial: u32,
    hosts: BTreeMap<HostId, AnsweredHost>,
    /// When the last answer from this version expires.
    cached_until: Time,
    replaced_at: Option<Time>,
}

/// A version of a table that a previous run answered and that may still be cached.
#[derive(Clone, Debug)]
pub struct RecoveredVersion {
    /// The table.
    pub table: TableId,
    /// The zone serial of the version.
    pub serial: u32,
    /// When the last answer from this version expires.
    pub cached_until: Time,
    /// The hosts that were answered.
    pub hosts: BTreeMap<HostId, AnsweredHost>,
}

/// The versions of all tables that caches may still hold.
#[derive(Clone, Debug, Default)]
pub struct CachedAnswers {
    /// The versions of each table, the current one last.
    tables: BTreeMap<TableId, VecDeque<Version>>,
}

impl CachedAnswers {
    /// Records that a table has these hosts from this serial on. A version that was never answered is forgotten.
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

    /// Records that the table as of this serial was answered to a cache that may hold it for this long.
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
        let index = index_in_force(versions, serial);
        if let Some(version) = versions.get_mut(index) {
            version.cached_until = version.cached_until.max(now + max_cache_time);
        }
    }

    /// Records that a secondary serves the whole zone as of this serial or a later one: that version of every table, and
    /// all later ones, may be answered now and cached for this long.
    pub fn record_zone_copy(&mut self, now: Time, serial: u32, max_cache_time: Duration) {
        for versions in self.tables.values_mut() {
            let first = index_in_force(versions, serial);
            for version in versions.iter_mut().skip(first) {
                version.cached_until = version.cached_until.max(now + max_cache_time);
            }
        }
    }

    /// Takes over what caches may still hold of a previous run: as versions that are no table's current one.
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

    /// Until when a host may receive requests by earlier answers; none: no cache holds such an answer.
    #[must_use]
    pub fn cached_until(&self, now: Time, host: &HostId) -> Option<Time> {
        self.unexpired_versions(now)
            .filter(|version| version.hosts.contains_key(host))
            .map(|version| version.cached_until)
            .max()
    }

    /// Until when answers that meant an earlier incarnation may still bring requests to this one, at the same address:
    /// it is warming up and gets the weight of its predecessor. None: no cache holds such an answer.
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

    /// The greatest share of a table's requests that a host may receive by any cached answer or by the current table.
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

    /// Hosts that may still receive requests though no current table has them, with the time until which.
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
        // The earlier incarnation counts: it is the one that may have been answered with a great weight.
        *merged = AnsweredHost {
            share: merged.share.max(answered.share),
            ..answered
        };
    }
}

/// The index of the version that was in force at a serial: the last one that is not newer, or the oldest known.
fn index_in_force(versions: &VecDeque<Version>, serial: u32) -> usize {
    versions
        .iter()
        .rposition(|version| !is_newer(version.serial, serial))
        .unwrap_or(0)
}
