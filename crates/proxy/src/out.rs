//! A try that is out at a host.

use crate::shared::Together;
use pondarch_controller::Time;
use pondarch_proxy_core::proxy_core::AdmittedRequest;
use pondarch_proxy_core::retry::{AttemptOutcome, RetryDecision};
use pondarch_proxy_core::routing_table::TableMembership;

/// A try that is out. However it ends, the host's place is given back and the rules are told.
pub(crate) struct Out {
    shared: Together,
    arrival: AdmittedRequest,
    line: TableMembership,
    sent: Time,
    told: bool,
}

impl Out {
    pub(crate) fn new(
        shared: Together,
        arrival: AdmittedRequest,
        line: TableMembership,
        sent: Time,
    ) -> Out {
        Out {
            shared,
            arrival,
            line,
            sent,
            told: false,
        }
    }

    /// The try ended, and nothing is to follow.
    pub(crate) fn over(mut self, outcome: AttemptOutcome) {
        self.told = true;
        let now = self.shared.now();
        self.shared.obey().final_attempt_ended(
            now,
            &self.arrival,
            &self.line,
            outcome,
            now - self.sent,
        );
        self.shared.room();
    }

    /// The try ended without an answer; gives what may follow.
    pub(crate) fn failed(
        mut self,
        arrival: &mut AdmittedRequest,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        self.told = true;
        let now = self.shared.now();
        let next =
            self.shared
                .obey()
                .attempt_ended(now, arrival, &self.line, outcome, now - self.sent);
        self.shared.room();
        next
    }
}

impl Drop for Out {
    fn drop(&mut self) {
        if !self.told {
            // The client went away: that says nothing of the host.
            self.shared
                .obey()
                .attempt_abandoned(&self.arrival, &self.line);
            self.shared.room();
        }
    }
}
