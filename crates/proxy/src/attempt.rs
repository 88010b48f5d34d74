//! An attempt in flight at a host.

use crate::shared_state::SharedHandle;
use pondarch_controller::Time;
use pondarch_proxy_core::proxy_core::AdmittedRequest;
use pondarch_proxy_core::retry::{AttemptOutcome, RetryDecision};
use pondarch_proxy_core::routing_table::TableMembership;

/// An attempt in flight. However it ends, it is recorded in the proxy core, which frees the host's capacity.
pub(crate) struct Attempt {
    shared: SharedHandle,
    request: AdmittedRequest,
    line: TableMembership,
    sent_at: Time,
    reported: bool,
}

impl Attempt {
    pub(crate) fn new(
        shared: SharedHandle,
        request: AdmittedRequest,
        line: TableMembership,
        sent_at: Time,
    ) -> Attempt {
        Attempt {
            shared,
            request,
            line,
            sent_at,
            reported: false,
        }
    }

    /// Records the end of an attempt that is not retried.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.reported = true;
        let now = self.shared.now();
        self.shared.core().final_attempt_ended(
            now,
            &self.request,
            &self.line,
            outcome,
            now - self.sent_at,
        );
        self.shared.release_capacity();
    }

    /// Records the end of a failed attempt, and returns whether and where to retry.
    pub(crate) fn finish_or_retry(
        mut self,
        request: &mut AdmittedRequest,
        outcome: AttemptOutcome,
    ) -> RetryDecision {
        self.reported = true;
        let now = self.shared.now();
        let decision =
            self.shared
                .core()
                .attempt_ended(now, request, &self.line, outcome, now - self.sent_at);
        self.shared.release_capacity();
        decision
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.reported {
            // The client disconnected, which says nothing about the host.
            self.shared
                .core()
                .attempt_abandoned(&self.request, &self.line);
            self.shared.release_capacity();
        }
    }
}
