//! Ejecting hosts after consecutive failed attempts of this proxy.

use fastrand::Rng;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// When and for how long a proxy ejects a host.
#[derive(Clone, Copy, Debug)]
pub struct EjectionPolicy {
    /// Consecutive failures after which a host is ejected; 0: never.
    pub consecutive_failures: u32,
    /// Shortest ejection. The time is drawn between the two, so that proxies do not return in step.
    pub min_duration: Duration,
    /// Longest ejection.
    pub max_duration: Duration,
    /// Part of a table's hosts that may be ejected at once.
    pub max_ejected_fraction: f64,
    /// How long a host without attempts is remembered: one that returns within this time is the same host, no better
    /// than it was.
    pub record_lifetime: Duration,
}

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

/// The results of this proxy's attempts by host, and which hosts are ejected.
#[derive(Clone, Debug, Default)]
pub struct Ejections {
    records: BTreeMap<String, HostRecord>,
}

impl Ejections {
    /// Records an attempt that succeeded; it ends the host's ejection.
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

    /// Records an attempt that failed, and ejects the host if the policy says so. `table_hosts` are all hosts of the
    /// table: of these only a part may be ejected, and never the last.
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
        let is_due = policy.consecutive_failures > 0
            && record.consecutive_failures >= policy.consecutive_failures;
        if is_due
            && !record.is_ejected(now)
            && self.may_eject_another(now, policy, host, table_hosts)
        {
            record.ejected_until = Some(now + draw_duration(policy, random));
            // After its return one success makes it as good as any, and the first failure ejects it again.
            record.consecutive_failures = policy.consecutive_failures - 1;
        }
        self.records.insert(host.to_string(), record);
    }

    fn current_record(
        &self,
        now: Time,
        policy: &EjectionPolicy,
        host: &str,
        address: SocketAddr,
    ) -> HostRecord {
        // At another address it is another process: the results of the old one say nothing about it.
        let known = self.records.get(host).filter(|record| {
            record.address == address && now - record.last_attempt <= policy.record_lifetime
        });
        let mut record = known.cloned().unwrap_or(HostRecord {
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
        let by_fraction = (total as f64 * policy.max_ejected_fraction) as usize;
        ejected <= by_fraction.min(total.saturating_sub(1))
    }

    /// Whether a host is ejected now.
    #[must_use]
    pub fn is_ejected(&self, now: Time, host: &str) -> bool {
        self.records
            .get(host)
            .is_some_and(|record| record.is_ejected(now))
    }

    /// The hosts that are ejected now.
    pub fn ejected(&self, now: Time) -> impl Iterator<Item = &str> {
        self.records
            .iter()
            .filter(move |(_, record)| record.is_ejected(now))
            .map(|(host, _)| host.as_str())
    }

    /// Forgets hosts without attempts for the time of the policy.
    pub fn forget_unused(&mut self, now: Time, policy: &EjectionPolicy) {
        self.records
            .retain(|_, record| now - record.last_attempt <= policy.record_lifetime);
    }

    /// How many hosts are remembered.
    #[must_use]
    pub fn remembered_hosts(&self) -> usize {
        self.records.len()
    }
}

fn draw_duration(policy: &EjectionPolicy, random: &mut Rng) -> Duration {
    let min_us = policy.min_duration.micros();
    let range_us = policy.max_duration.micros().saturating_sub(min_us) as f64;
    policy.min_duration + Duration::from_micros((range_us * random.f64()) as u64)
}
