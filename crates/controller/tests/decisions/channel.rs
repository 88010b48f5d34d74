//! The channel from a controller to its proxies, which sends lines at a rate.

use pondarch_controller::AckId;
use std::collections::VecDeque;

/// Lines on their way to proxies, by the deployment's figures.
#[derive(Default)]
pub(crate) struct SimulatedChannel {
    pub(crate) configured_rate: f64,
    pub(crate) rate: f64,
    pub(crate) loses_acks: bool,
    pub(crate) head: f64,
    pub(crate) most: f64,
    pub(crate) waiting: f64,
    pub(crate) max_waiting: f64,
    pub(crate) sent: f64,
    /// Marked messages, each with the lines that are sent once it is.
    pub(crate) ack_requests: VecDeque<(f64, AckId)>,
}

impl SimulatedChannel {
    pub(crate) fn send(&mut self, lines: f64, ack: Option<AckId>) {
        self.waiting += lines;
        self.ack_requests
            .extend(ack.map(|ack| (self.sent + self.waiting, ack)));
        self.max_waiting = self.max_waiting.max(self.waiting);
    }

    /// Goes on for so long; gives the acks of the messages that went out.
    pub(crate) fn run(&mut self, seconds: f64) -> Vec<AckId> {
        let sent = (self.rate * seconds).min(self.waiting);
        self.waiting -= sent;
        self.sent += sent;
        let out = self
            .ack_requests
            .iter()
            .take_while(|(lines, _)| *lines <= self.sent + 1e-6)
            .count();
        let acks = self.ack_requests.drain(..out).map(|(_, ack)| ack);
        if self.loses_acks {
            Vec::new()
        } else {
            acks.collect()
        }
    }
}
