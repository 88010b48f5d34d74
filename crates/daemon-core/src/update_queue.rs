//! How much may be sent, and when: the budgets of the update queue, kept whatever the decisions or the proxies do. The
//! decisions plan well within them; this is what holds when proxies refuse, stall or connect all at once.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_proxy_session::Urgency;
use std::collections::VecDeque;
use std::time::Duration;

/// Messages of the cap that are kept for drains.
const DRAIN_RESERVE: usize = 2;
/// Parts of the lines that may wait which ordinary orders and joins may fill: room is left for drains.
const MAX_ORDINARY_FRACTION: f64 = 0.5;
const MAX_JOIN_FRACTION: f64 = 0.75;
/// Duration whose lines may be sent at one time after a pause.
const BURST: Duration = Duration::from_millis(100);

/// The update queue of one controller; figures in commands ("lines"), as the proxies count them.
#[derive(Debug)]
pub(crate) struct UpdateQueue {
    lines_per_second: f64,
    message_overhead: f64,
    max_waiting: f64,
    max_messages: usize,
    window: Duration,
    /// Lines that may go now; under 0 after a large message.
    credit: f64,
    credit_at: Time,
    /// Written and not answered, heads included.
    in_flight: f64,
}

/// The messages written to one proxy within the window.
#[derive(Debug, Default)]
pub(crate) struct SentMessages(VecDeque<Time>);

/// Whether a message may be written now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QueueCapacity {
    Available,
    /// The cap or the pace: not before this time.
    AvailableAt(Time, &'static str),
    /// Too much is unanswered: as soon as answers arrive.
    AvailableAfterReplies,
}

impl UpdateQueue {
    pub(crate) fn new(
        rate: f64,
        head: f64,
        most_waiting: f64,
        cap: u64,
        window: Duration,
        now: Time,
    ) -> UpdateQueue {
        let cap = if cap == 0 { usize::MAX } else { cap as usize };
        UpdateQueue {
            lines_per_second: rate,
            message_overhead: head,
            max_waiting: most_waiting,
            max_messages: cap,
            window,
            credit: 0.0,
            credit_at: now,
            in_flight: 0.0,
        }
    }

    pub(crate) fn waiting(&self) -> f64 {
        self.in_flight
    }

    /// How many joins of this many lines may be answered beside those that wait already.
    pub(crate) fn possible_joins(&self, lines: f64, pending: usize) -> usize {
        let free = self.max_waiting * MAX_JOIN_FRACTION - self.in_flight;
        let fit = (free / (lines + self.message_overhead)).max(0.0) as usize;
        // One at a time always may, or a large table would keep all out.
        fit.saturating_sub(pending)
            .max(usize::from(pending == 0 && self.in_flight == 0.0))
    }

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
            let frees = sent_messages.0[sent_messages.0.len() - cap];
            return QueueCapacity::AvailableAt(
                frees + self.window + Duration::from_millis(1),
                "message cap",
            );
        }
        let part = match urgency {
            Urgency::Ordinary => MAX_ORDINARY_FRACTION,
            Urgency::Join => MAX_JOIN_FRACTION,
            Urgency::Drain => 1.0,
        };
        let all = self.in_flight + lines as f64 + self.message_overhead;
        if all > self.max_waiting * part && self.in_flight > 0.0 {
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

    /// A message is answered, or its proxy is lost.
    pub(crate) fn record_acknowledged(&mut self, cost: f64) {
        self.in_flight = (self.in_flight - cost).max(0.0);
    }
}

#[cfg(test)]
mod tests;
