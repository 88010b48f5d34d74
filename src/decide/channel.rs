//! The channel from a steward to its proxies: a first-in, first-out queue of lines. Each proxy that an update concerns is
//! sent one message, which counts its lines and some overhead.
//!
//! This module counts the lines that may still wait, by two models of the rate at which the channel sends, and
//! measures the channel itself: some messages carry a mark, and a proxy that has applied a marked message says so, which
//! confirms all lines sent before it.

use super::SLOW_CHANNEL;
use crate::types::{ChannelReport, JobTicket, LineCounts, MarkId, Span, Time};
use std::collections::VecDeque;

/// Least time between two marked rounds: a mark costs one line for each message of its round.
const MARK_INTERVAL: Span = Span::from_millis(500);
/// Marks that are remembered; older ones without an answer are given up.
const MAX_OPEN_MARKS: usize = 64;

/// Why an update of a table is sent, the least pressing first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateReason {
    /// Weights or admission levels differ from what was sent.
    Ordinary,
    /// A line is far too heavy, or may not have been applied.
    Expedited,
    /// A failing or cold host has too much.
    Hazard,
    /// A host drains or is gone, or the table has nothing left to pick.
    Drain,
}

/// A round of updates whose messages asked for an answer.
struct OpenMark {
    id: MarkId,
    sent_at: Time,
    /// Lines sent before this round, in all.
    lines_before: f64,
    lines: f64,
    messages: f64,
    answers: f64,
}

/// Lines and messages of the round that is being put together.
#[derive(Default)]
struct Round {
    lines: f64,
    messages: f64,
}

/// See the module's documentation. All counts are in lines, all rates in lines a second.
#[derive(Default)]
pub(crate) struct Channel {
    stated_rate: f64,
    line_limit: f64,
    message_overhead: f64,
    /// Whether proxies answer marks.
    can_mark: bool,
    /// Lines that wait if the channel sends as stated, and if it is in a slow spell.
    waiting_at_stated_rate: f64,
    waiting_at_slow_rate: f64,
    counted_at: Time,
    round: Round,
    sent: f64,
    confirmed: f64,
    sent_for: LineCounts,
    held_back_for: LineCounts,
    open_marks: VecDeque<OpenMark>,
    next_mark: MarkId,
    marked_at: Option<Time>,
    answered: u64,
    last_delay: Span,
}

impl Channel {
    /// A limit of zero means that none is stated.
    pub(crate) fn new(ticket: &JobTicket) -> Channel {
        Channel {
            stated_rate: ticket.channel_rate.max(1.0),
            line_limit: if ticket.most_waiting > 0.0 { ticket.most_waiting } else { f64::INFINITY },
            message_overhead: ticket.lines_per_message,
            can_mark: ticket.marks,
            ..Channel::default()
        }
    }

    /// Lets the models send what they can until `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        let passed = (now - self.counted_at).secs();
        self.counted_at = now;
        let send = |waiting: f64, rate: f64| (waiting - passed * rate).max(0.0);
        self.waiting_at_stated_rate = send(self.waiting_at_stated_rate, self.stated_rate);
        self.waiting_at_slow_rate = send(self.waiting_at_slow_rate, self.stated_rate / SLOW_CHANNEL);
    }

    /// The part of the limit that waits if the channel sends as stated.
    pub(crate) fn fill_at_stated_rate(&self) -> f64 {
        self.waiting_at_stated_rate / self.line_limit
    }

    /// The part of the limit that waits if the channel is in a slow spell.
    pub(crate) fn fill_at_slow_rate(&self) -> f64 {
        self.waiting_at_slow_rate / self.line_limit
    }

    /// An update of `lines` lines goes to each of `messages` proxies.
    pub(crate) fn send_update(&mut self, reason: UpdateReason, lines: f64, messages: usize) {
        let lines = self.send(lines, messages as f64);
        *count_of(&mut self.sent_for, reason) += lines;
    }

    /// A proxy is sent its whole table.
    pub(crate) fn send_binding(&mut self, lines: f64) {
        self.sent_for.bindings += self.send(lines, 1.0);
    }

    /// An update was due but for the room that the queue leaves.
    pub(crate) fn hold_back(&mut self, reason: UpdateReason) {
        *count_of(&mut self.held_back_for, reason) += 1.0;
    }

    /// Counts messages; gives their lines with all overhead.
    fn send(&mut self, lines: f64, messages: f64) -> f64 {
        let lines = (lines + self.message_overhead) * messages;
        self.round.lines += lines;
        self.round.messages += messages;
        self.count(lines);
        lines
    }

    fn count(&mut self, lines: f64) {
        self.sent += lines;
        self.waiting_at_stated_rate += lines;
        self.waiting_at_slow_rate += lines;
    }

    /// Ends a round: all that was sent since the last one. Gives the mark that its messages carry, if one is due.
    pub(crate) fn end_round(&mut self, now: Time) -> Option<MarkId> {
        let Round { lines, messages } = std::mem::take(&mut self.round);
        let due = self.marked_at.is_none_or(|at| now - at >= MARK_INTERVAL);
        if messages == 0.0 || !due || !self.can_mark {
            return None;
        }
        let id = self.next_mark;
        self.next_mark = MarkId(id.0.wrapping_add(1));
        self.marked_at = Some(now);
        // One line for each marked message.
        self.count(messages);
        self.sent_for.marks += messages;
        let (lines_before, lines) = (self.sent - lines - messages, lines + messages);
        if self.open_marks.len() == MAX_OPEN_MARKS {
            self.open_marks.pop_front();
        }
        self.open_marks.push_back(OpenMark { id, sent_at: now, lines_before, lines, messages, answers: 0.0 });
        Some(id)
    }

    /// A proxy has applied a message with this mark, and so the channel has sent all lines before that message. Which
    /// of the round's messages it was is not known: as many as have been answered, less this one, went before it.
    pub(crate) fn mark_applied(&mut self, now: Time, id: MarkId) {
        let Some(place) = self.open_marks.iter().position(|mark| mark.id == id) else { return };
        let mark = &mut self.open_marks[place];
        let part = (mark.answers / mark.messages).min(1.0);
        mark.answers += 1.0;
        let complete = mark.answers >= mark.messages;
        let position = mark.lines_before + mark.lines * if complete { 1.0 } else { part };
        self.confirmed = self.confirmed.max(position);
        self.last_delay = now - mark.sent_at;
        self.answered += 1;
        // The channel keeps the order: older marks say nothing more.
        self.open_marks.drain(..if complete { place + 1 } else { place });
    }

    pub(crate) fn report(&self) -> ChannelReport {
        ChannelReport {
            line_limit: self.line_limit,
            waiting_at_stated_rate: self.waiting_at_stated_rate,
            waiting_at_slow_rate: self.waiting_at_slow_rate,
            unconfirmed: self.can_mark.then_some(self.sent - self.confirmed),
            sent_for: self.sent_for,
            held_back_for: self.held_back_for,
            marks_answered: self.answered,
            last_delay: self.last_delay,
        }
    }
}

fn count_of(counts: &mut LineCounts, reason: UpdateReason) -> &mut f64 {
    match reason {
        UpdateReason::Ordinary => &mut counts.ordinary,
        UpdateReason::Expedited => &mut counts.expedited,
        UpdateReason::Hazard => &mut counts.hazards,
        UpdateReason::Drain => &mut counts.drains,
    }
}
