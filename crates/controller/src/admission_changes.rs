//! Changes of what is admitted, with their causes, for logging only: they never influence a decision.

use crate::admission_control::AdmissionController;
use crate::event_buffer::EventBuffer;
use crate::time::Time;

/// Smallest difference of two admitted fractions that counts as a change.
const MIN_CHANGE: f64 = 1e-6;

/// Why other fractions of the requests are admitted than before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionCause {
    /// The fleet is overloaded, and the admitted rate was cut.
    Cut,
    /// The controller has just started and admits what the hosts' capacity allows.
    StartupLimit,
    /// The admitted rate rises after a cut.
    Raised,
    /// Neither a cut nor a limit is in force any more.
    Unlimited,
}

/// A change of the admitted fractions.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionChange {
    /// When the controller decided it.
    pub at: Time,
    /// Its cause.
    pub cause: AdmissionCause,
    /// Admitted fraction of each request class.
    pub fractions: Vec<f64>,
    /// Requests per second that reach the proxies.
    pub demand: f64,
    /// Overload of the fleet; load is shed above 1.
    pub overload: f64,
    /// Attempts at hosts per admitted request.
    pub attempts_per_request: f64,
}

/// Changes that have not been taken yet.
#[derive(Default)]
pub(crate) struct AdmissionChanges {
    observed: Vec<f64>,
    pending: EventBuffer<AdmissionChange>,
}

impl AdmissionChanges {
    /// Returns whether other fractions are admitted than at the last recorded change. The first fractions are a change if
    /// they shed anything.
    pub(crate) fn is_changed(&self, admission: &AdmissionController) -> bool {
        let fractions = admission.fractions();
        let unlimited = vec![1.0; fractions.len()];
        let observed = if self.observed.is_empty() {
            &unlimited
        } else {
            &self.observed
        };
        let mut pairs = observed.iter().zip(fractions);
        pairs.any(|(before, now)| (before - now).abs() >= MIN_CHANGE)
    }

    /// Records a change.
    pub(crate) fn record(&mut self, change: AdmissionChange) {
        self.observed.clone_from(&change.fractions);
        self.pending.push(change);
    }

    /// Takes all pending changes, oldest first.
    pub(crate) fn take(&mut self) -> Vec<AdmissionChange> {
        self.pending.take()
    }
}
