//! Ejects a host for a limited time after consecutive failed attempts of this proxy.

use fastrand::Rng;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// When and for how long a proxy ejects a host.
#[derive(Clone, Copy, Debug)]
pub struct EjectionPolicy {
    /// Number of consecutive failures after which a host is ejected; 0 disables ejection.
    pub consecutive_failures: u32,
    /// Minimum duration of an ejection. The duration is random between minimum and maximum, so that the proxies do not
    /// all resume sending to the host at the same time.
    pub min_duration: Duration,
    /// Maximum duration of an ejection.
    pub max_duration: Duration,
    /// Maximum fraction of a table's hosts that may be ejected at the same time.
    pub max_ejected_fraction: f64,
    /// How long the record of a host without attempts is kept. A host that returns within this time is assumed to be no
    /// healthier than before, so it keeps its failure count.
    pub record_lifetime: Duration,
}

/// The recent results of one host.
#[derive(Clone, Debug)]
struct HostRecord {
    address: SocketAddr,
    consecutive_failures: u32,
    ejected_until: Option<Time>,
    last_attempt: Time,
}

impl HostRecord {
    fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|until| until > now)
    }
}

/// The results of this proxy's attempts by host, and the hosts that are ejected.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    records: BTreeMap<String, HostRecord>,
}

impl Ejections {
    /// Records a successful attempt, which ends the host's ejection.
    pub fn record_success(
        &mut self,
        now: Time,
        policy: &EjectionPolicy,
        host: &str,
        address: SocketAddr,
    ) {
        let mut record = self.current_record(now, policy, host, address);
        record.consecutive_failures = 0;
        record.ejected_until = None;
        self.records.insert(host.to_string(), record);
    }

    /// Records a failed attempt, and ejects the host if the policy requires it. `table_hosts` are all hosts of the
    /// table: only the policy's fraction of them may be ejected, and never all of them.
    pub fn record_failure<'a>(
        &mut self,
        now: Time,
        policy: &EjectionPolicy,
        host: &str,
        address: SocketAddr,
        table_hosts: impl Iterator<Item = &'a str>,
        random: &mut Rng,
    ) {
        let mut record = self.current_record(now, policy, host, address);
        record.consecutive_failures += 1;
        let reached_threshold = policy.consecutive_failures > 0
            && record.consecutive_failures >= policy.consecutive_failures;
        if reached_threshold
            && !record.is_ejected(now)
            && self.may_eject_another(now, policy, host, table_hosts)
        {
            record.ejected_until = Some(now + draw_duration(policy, random));
            // After the ejection a single failure ejects the host again; a success resets the count.
            record.consecutive_failures = policy.consecutive_failures - 1;
        }
        self.records.insert(host.to_string(), record);
    }

    /// The record of a host with its last attempt set to now; a new one if the old one expired or is for another
    /// address.
    fn current_record(
        &self,
        now: Time,
        policy: &EjectionPolicy,
        host: &str,
        address: SocketAddr,
    ) -> HostRecord {
        // A different address means a different process, to which the earlier results do not apply.
        let existing = self.records.get(host).filter(|record| {
            record.address == address && now - record.last_attempt <= policy.record_lifetime
        });
        let mut record = existing.cloned().unwrap_or(HostRecord {
            address,
            consecutive_failures: 0,
            ejected_until: None,
            last_attempt: now,
        });
        record.last_attempt = now;
        record
    }

    fn may_eject_another<'a>(
        &self,
        now: Time,
        policy: &EjectionPolicy,
        host: &str,
        table_hosts: impl Iterator<Item = &'a str>,
    ) -> bool {
        let mut total = 0_usize;
        let mut ejected = 1_usize;
        for other in table_hosts {
            total += 1;
            if other != host && self.is_ejected(now, other) {
                ejected += 1;
            }
        }
        let max_by_fraction = (total as f64 * policy.max_ejected_fraction) as usize;
        ejected <= max_by_fraction.min(total.saturating_sub(1))
    }

    /// Whether a host is ejected at this time.
    #[must_use]
    pub fn is_ejected(&self, now: Time, host: &str) -> bool {
        self.records
            .get(host)
            .is_some_and(|record| record.is_ejected(now))
    }

    /// The hosts that are ejected at this time.
    pub fn ejected(&self, now: Time) -> impl Iterator<Item = &str> {
        self.records
            .iter()
            .filter(move |(_, record)| record.is_ejected(now))
            .map(|(host, _)| host.as_str())
    }

    /// Removes the records of hosts whose last attempt is older than the policy's record lifetime.
    pub fn remove_expired_records(&mut self, now: Time, policy: &EjectionPolicy) {
        self.records
            .retain(|_, record| now - record.last_attempt <= policy.record_lifetime);
    }

    /// Number of hosts with a record.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}

/// A random ejection duration between the minimum and the maximum of the policy.
fn draw_duration(policy: &EjectionPolicy, random: &mut Rng) -> Duration {
    let min_us = policy.min_duration.micros();
    let range_us = policy.max_duration.micros().saturating_sub(min_us) as f64;
    policy.min_duration + Duration::from_micros((range_us * random.f64()) as u64)
}
