//! Counts of inputs and outputs, for the log.

use pondarch_platform_protocol::report::MalformedMessage;
use std::collections::BTreeMap;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    /// Proxies that joined.
    pub joined: u64,
    /// Proxies that left.
    pub left: u64,
    /// Proxies that may have left and rejoined while no membership events arrived.
    pub unconfirmed: u64,
    /// Endpoint lists that were received, complete or as changes.
    pub endpoint_lists: u64,
    /// Update calls to the relay.
    pub calls: u64,
    /// Updates in these calls.
    pub updates: u64,
    /// Calls of which the relay applied only a part.
    pub calls_applied_in_part: u64,
    /// Calls of which the relay certainly applied nothing.
    pub calls_rejected: u64,
    /// Calls whose outcome is unknown.
    pub calls_in_doubt: u64,
    /// Acknowledgements received from proxies.
    pub acks_received: u64,
    /// Host reports and usage reports that were recorded.
    pub reports: u64,
    /// Attempts in the recorded host reports.
    pub attempts: u64,
    /// Requests in the recorded usage reports.
    pub requests: u64,
    /// Recorded host reports that contained the host's load.
    pub reports_with_load: u64,
    /// Health checks that were requested.
    pub health_checks: u64,
    /// Health checks that succeeded.
    pub health_checks_passed: u64,
    /// Invalid messages, by reason.
    pub malformed_messages: BTreeMap<MalformedMessage, u64>,
}

impl Counters {
    pub(crate) fn count_malformed(&mut self, reason: MalformedMessage) {
        *self.malformed_messages.entry(reason).or_default() += 1;
    }
}
