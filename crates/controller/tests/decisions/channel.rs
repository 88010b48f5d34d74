//! A simulated channel from a controller to its proxies, which sends lines at a limited rate.

use pondarch_controller::AckId;
use std::collections::VecDeque;

/// The queue of the channel, in lines.
#[derive(Default)]
pub(crate) struct SimulatedChannel {
    pub(crate) configured_rate: f64,
    pub(crate) rate: f64,
    pub(crate) acks_lost: bool,
    pub(crate) message_overhead: f64,
    pub(crate) line_limit: f64,
    pub(crate) queued: f64,
    pub(crate) max_queued: f64,
    pub(crate) sent: f64,
    /// Messages that request an acknowledgement, each with the total of lines sent once it has been sent.
    pub(crate) ack_requests: VecDeque<(f64, AckId)>,
}

impl SimulatedChannel {
    pub(crate) fn send(&mut self, lines: f64, ack: Option<AckId>) {
        self.queued += lines;
        self.ack_requests
            .extend(ack.map(|ack| (self.sent + self.queued, ack)));
        self.max_queued = self.max_queued.max(self.queued);
    }

    /// Sends for `seconds` and returns the acknowledgements of the messages that were sent.
    pub(crate) fn advance(&mut self, seconds: f64) -> Vec<AckId> {
        let sent = (self.rate * seconds).min(self.queued);
        self.queued -= sent;
        self.sent += sent;
        let acked = self
            .ack_requests
            .iter()
            .take_while(|(lines, _)| *lines <= self.sent + 1e-6)
            .count();
        let acks = self.ack_requests.drain(..acked).map(|(_, ack)| ack);
        if self.acks_lost {
            Vec::new()
        } else {
            acks.collect()
        }
    }
}
