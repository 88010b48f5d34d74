//! Retries: decides whether proxies may retry attempts that hosts have turned away.
//!
//! A retry goes to a host with room. In an overload that is a host that warms up, which has room until it falls over; and
//! retries keep the other hosts full, whose requests clients then repeat. Reports show either too late to act by them.

use crate::config::RetryPolicy;
use crate::event_buffer::EventBuffer;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::memberships::TableMembership;
use crate::time::Time;

/// Overload above which retries stop, and below which they resume: they would bring it back.
const MAX_OVERLOAD: f64 = 1.0;
const LOW_OVERLOAD: f64 = 0.6;

/// Why proxies may retry attempts that hosts have turned away, or may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// They may.
    Allowed,
    /// A host is warming up.
    WarmingHosts,
    /// The fleet is overloaded, or was and has not recovered.
    Overload,
}

impl RetryCause {
    /// Returns how proxies retry attempts. Proof that an attempt was not processed makes a retry safe for every class.
    pub(crate) fn policy(self) -> RetryPolicy {
        match self {
            RetryCause::Allowed => RetryPolicy::IfUnprocessed,
            RetryCause::WarmingHosts | RetryCause::Overload => RetryPolicy::Never,
        }
    }
}

/// Proxies are told otherwise about retries, for logging.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryChange {
    /// Its cause.
    pub cause: RetryCause,
    /// Overload of the fleet; load is shed above 1.
    pub overload: f64,
}

/// Decides about retries, and keeps the changes that have not been logged yet.
#[derive(Default)]
pub(crate) struct RetryControl {
    is_overloaded: bool,
    observed: Option<RetryCause>,
    pending: EventBuffer<RetryChange>,
}

impl RetryControl {
    /// Records the overload of the fleet.
    pub(crate) fn on_overload(&mut self, overload: f64) {
        if overload > MAX_OVERLOAD {
            self.is_overloaded = true;
        } else if overload < LOW_OVERLOAD {
            self.is_overloaded = false;
        }
    }

    /// Returns why proxies may retry attempts, or may not.
    pub(crate) fn cause(&self, hosts: &HostRegistry, policy: &HostPolicy, now: Time) -> RetryCause {
        if self.is_overloaded {
            RetryCause::Overload
        } else if hosts.iter().any(|host| is_at_risk(host, policy, now)) {
            RetryCause::WarmingHosts
        } else {
            RetryCause::Allowed
        }
    }

    /// Records for the log the cause that is in force now.
    pub(crate) fn observe(&mut self, cause: RetryCause, overload: f64) {
        if self.observed.replace(cause) != Some(cause) {
            self.pending.push(RetryChange { cause, overload });
        }
    }

    /// Takes all pending changes, oldest first.
    pub(crate) fn take(&mut self) -> Vec<RetryChange> {
        self.pending.take()
    }
}

/// Returns whether a host is warming up and may be sent requests, now or by lines that proxies may still have. One that
/// waits for a table counts too: retries must be stopped before the next one restarts in use.
fn is_at_risk(host: &Host, policy: &HostPolicy, now: Time) -> bool {
    let is_held = || host.memberships.iter().any(TableMembership::may_be_held);
    !policy.is_warm(host, now) && (policy.is_ready(host, now) || is_held())
}
