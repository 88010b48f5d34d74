//! Limits how much is sent to proxies, and when. The controller plans well within these limits; they take effect when
//! proxies reject updates, stall, or connect all at once.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_proxy_session::Urgency;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of messages of the cap that are reserved for drains.
const DRAIN_RESERVE: usize = 2;
/// Fractions of the limit on lines in flight that ordinary updates and joins may use; the rest is reserved for drains.
const MAX_ORDINARY_FRACTION: f64 = 0.5;
const MAX_JOIN_FRACTION: f64 = 0.75;
/// Maximum burst after a pause: the lines of this duration at the configured rate.
const BURST: Duration = Duration::from_millis(100);

/// The update queue of one controller. Figures are in commands ("lines"), as the proxies count them.
#[derive(Debug)]
pub(crate) struct UpdateQueue {
    lines_per_second: f64,
    /// Cost of each message in addition to its lines.
    message_overhead: f64,
    /// Maximum of `in_flight`.
    max_in_flight: f64,
    /// Maximum number of messages to one proxy within the window.
    max_messages: usize,
    window: Duration,
    /// Lines that may be sent now; below 0 after a large message.
    credit: f64,
    credit_at: Time,
    /// Lines that were sent and not acknowledged, including the overhead of their messages.
    in_flight: f64,
}

/// Times of the messages that were sent to one proxy within the window.
#[derive(Debug, Default)]
pub(crate) struct SentMessages(VecDeque<Time>);

/// Whether a message may be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QueueCapacity {
    Available,
    /// Not before this time, for this reason: the message cap or the rate.
    AvailableAt(Time, &'static str),
    /// Too many lines are in flight: after further acknowledgements.
    AvailableAfterReplies,
}

impl UpdateQueue {
    pub(crate) fn new(
        lines_per_second: f64,
        message_overhead: f64,
        max_in_flight: f64,
        message_cap: u64,
        window: Duration,
        now: Time,
    ) -> UpdateQueue {
        let max_messages = if message_cap == 0 {
            usize::MAX
        } else {
            message_cap as usize
        };
        UpdateQueue {
            lines_per_second,
            message_overhead,
            max_in_flight,
            max_messages,
            window,
            credit: 0.0,
            credit_at: now,
            in_flight: 0.0,
        }
    }

    /// Lines in flight, including the overhead of their messages.
    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// How many joins of this many lines fit in addition to the `pending` updates.
    pub(crate) fn possible_joins(&self, lines: f64, pending: usize) -> usize {
        let free = self.max_in_flight * MAX_JOIN_FRACTION - self.in_flight;
        let fitting = (free / (lines + self.message_overhead)).max(0.0) as usize;
        // One join at a time is always allowed; otherwise a table that exceeds the limit would prevent all joins.
        fitting
            .saturating_sub(pending)
            .max(usize::from(pending == 0 && self.in_flight == 0.0))
    }

    /// Whether a message of this many lines may be sent to a proxy now. A message that exceeds the limit by itself is
    /// sent when nothing else is in flight.
    pub(crate) fn capacity(
        &mut self,
        now: Time,
        sent_messages: &mut SentMessages,
        lines: usize,
        urgency: Urgency,
    ) -> QueueCapacity {
        sent_messages.0.retain(|&at| now - at <= self.window);
        let cap = if urgency == Urgency::Drain {
            self.max_messages
        } else {
            self.max_messages.saturating_sub(DRAIN_RESERVE)
        };
        if sent_messages.0.len() >= cap {
            let blocking = sent_messages.0[sent_messages.0.len() - cap];
            return QueueCapacity::AvailableAt(
                blocking + self.window + Duration::from_millis(1),
                "message cap",
            );
        }
        let fraction = match urgency {
            Urgency::Ordinary => MAX_ORDINARY_FRACTION,
            Urgency::Join => MAX_JOIN_FRACTION,
            Urgency::Drain => 1.0,
        };
        let total = self.in_flight + lines as f64 + self.message_overhead;
        if total > self.max_in_flight * fraction && self.in_flight > 0.0 {
            return QueueCapacity::AvailableAfterReplies;
        }
        self.credit = (self.credit + (now - self.credit_at).seconds() * self.lines_per_second)
            .min(self.lines_per_second * BURST.seconds());
        self.credit_at = now;
        if self.credit < 0.0 {
            let wait =
                Duration::from_micros((-self.credit / self.lines_per_second * 1e6) as u64 + 1);
            return QueueCapacity::AvailableAt(now + wait, "pace");
        }
        QueueCapacity::Available
    }

    /// Records a message that is sent; returns its cost, for `record_acknowledged`.
    pub(crate) fn record_sent(
        &mut self,
        now: Time,
        sent_messages: &mut SentMessages,
        lines: usize,
    ) -> f64 {
        sent_messages.0.push_back(now);
        let cost = lines as f64 + self.message_overhead;
        self.credit -= cost;
        self.in_flight += cost;
        cost
    }

    /// Records that a message was acknowledged, or that the connection to its proxy was lost.
    pub(crate) fn record_acknowledged(&mut self, cost: f64) {
        self.in_flight = (self.in_flight - cost).max(0.0);
    }
}

#[cfg(test)]
mod tests;
