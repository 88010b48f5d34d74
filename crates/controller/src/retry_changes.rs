//! Changes of what proxies are told about retries, with their causes, for logging only: they never influence a decision.

use crate::event_buffer::EventBuffer;

/// Why proxies may retry attempts that hosts have turned away, or may not, in tables without a warming host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// They may.
    Allowed,
    /// The fleet is overloaded, or was and has not recovered.
    Overload,
    /// Hosts warm up, and reports do not show the load yet: the fleet may be overloaded.
    LoadUnknown,
}

/// Proxies are told otherwise about retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryChange {
    /// Its cause.
    pub cause: RetryCause,
    /// Overload of the fleet; load is shed above 1.
    pub overload: f64,
}

/// Changes that have not been taken yet.
#[derive(Default)]
pub(crate) struct RetryChanges {
    observed: Option<RetryCause>,
    pending: EventBuffer<RetryChange>,
}

impl RetryChanges {
    /// Records the cause that is in force now.
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
