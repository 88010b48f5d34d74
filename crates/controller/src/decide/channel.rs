//! The channel from a steward to its proxies: a first-in, first-out queue of lines. Each proxy that an update concerns is
//! sent one message, which counts its lines and some overhead.
//!
//! The channel may send far more slowly than stated, or not at all, so its queue is not counted by the stated rate: some
//! messages carry a mark, a proxy that has applied a marked message says so, and that confirms all lines sent before it.
//! What is not confirmed counts as waiting, and no update goes out that would take that over the limit. Where proxies
//! answer no marks, two models of the rate stand in: the stated one, and a slow one for what can wait.

use crate::{
    AckId, DeploymentConfig, DurationExt, LineCounts, Time, UpdateQueueStatus, UpdateResult,
};
use std::collections::VecDeque;
use std::time::Duration;

/// Times that a channel in a slow spell is slower than stated, where nothing can be measured.
const SLOW_CHANNEL: f64 = 8.0;
/// Time after which a round is marked, and part of the limit that may be sent without a mark: a mark costs one line for
/// each message of its round, and what is sent after the last mark stays unconfirmed.
const MARK_INTERVAL: Duration = Duration::from_millis(500);
const UNMARKED_PART: f64 = 0.05;
/// Marks that are remembered; older ones without an answer are given up.
const MAX_OPEN_MARKS: usize = 64;
/// Parts of the limit up to which each update may fill the queue. Ordinary and expedited ones can wait. The rest is left to
/// drains and bindings: the limit holds what cannot wait twice over, with all proxies at one steward.
const ORDINARY_PART: f64 = 0.25;
const EXPEDITED_PART: f64 = 0.5;
const HAZARD_PART: f64 = 0.75;
const URGENT_PART: f64 = 0.95;
/// Part of the grace for drains that a message may take to its proxy while updates that can wait still go out, as a drain
/// waits behind all that went before it; hazards go out for this many times that.
const DELAY_PART: f64 = 0.4;
const HAZARD_DELAYS: f64 = 1.75;
/// Growth of the window for each mark that was answered in time while at least half of the window was in use.
const WINDOW_GROWTH: f64 = 1.25;
/// Without any answer for this long, one update goes out however full the queue seems, as answers may have been lost with
/// their proxies or with the news; the wait doubles up to its maximum until an answer comes.
const PROBE_WAIT: Duration = Duration::from_millis(1_000);
const MAX_PROBE_WAIT: Duration = Duration::from_millis(30_000);

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
    id: AckId,
    sent_at: Time,
    /// Lines sent before this round, in all, and once it is sent.
    lines_before: f64,
    lines_after: f64,
    /// Lines that waited before it.
    waiting_before: f64,
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
    drain_grace: Duration,
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
    /// Lines that may wait while updates that can wait still go out: as many as reach their proxies in time, by what was
    /// measured.
    window: f64,
    next_mark: AckId,
    marked_at: Option<Time>,
    /// Lines sent when a round was marked last.
    marked_up_to: f64,
    /// Lines and orders of which it is not yet known whether they were taken.
    undecided_lines: f64,
    undecided_orders: usize,
    /// The last answer, or the last update that went out for want of one.
    quiet_since: Time,
    probe_wait: Duration,
    answered: u64,
    last_delay: Duration,
}

impl Channel {
    /// A limit of zero means that none is stated.
    pub(crate) fn new(ticket: &DeploymentConfig, now: Time, first_mark: AckId) -> Channel {
        let mut channel = Channel {
            stated_rate: ticket.update_rate.max(1.0),
            line_limit: if ticket.max_queued_lines > 0.0 {
                ticket.max_queued_lines
            } else {
                f64::INFINITY
            },
            message_overhead: ticket.message_overhead_lines,
            drain_grace: ticket.drain_grace_period,
            can_mark: ticket.acks_supported,
            next_mark: first_mark,
            quiet_since: now,
            probe_wait: PROBE_WAIT,
            ..Channel::default()
        };
        channel.window = channel.max_window();
        channel
    }

    /// Lets the models send what they can until `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        let passed = (now - self.counted_at).seconds();
        self.counted_at = now;
        let send = |waiting: f64, rate: f64| (waiting - passed * rate).max(0.0);
        self.waiting_at_stated_rate = send(self.waiting_at_stated_rate, self.stated_rate);
        self.waiting_at_slow_rate =
            send(self.waiting_at_slow_rate, self.stated_rate / SLOW_CHANNEL);
    }

    /// Lines that may still wait.
    fn waiting(&self) -> f64 {
        if self.can_mark {
            self.sent - self.confirmed
        } else {
            self.waiting_at_stated_rate
        }
    }

    /// Where messages take longer than they should, the time until what is ordered shows: the delay of the last answer, or
    /// for as long as a mark has waited for its first one. Zero where all is in time, nothing waits, or nothing can be
    /// measured.
    pub(crate) fn lateness(&self, now: Time) -> Duration {
        if !self.can_mark || self.waiting() < 1.0 {
            return Duration::ZERO;
        }
        let delay = self.last_delay.max(self.unanswered_for(now));
        if delay > self.max_delay() {
            delay
        } else {
            Duration::ZERO
        }
    }

    /// How long a mark has waited for its first answer by now.
    fn unanswered_for(&self, now: Time) -> Duration {
        let unanswered = self.open_marks.iter().find(|mark| mark.answers == 0.0);
        unanswered.map_or(Duration::ZERO, |mark| now - mark.sent_at)
    }

    /// The longest delay at which updates that can wait still go out.
    fn max_delay(&self) -> Duration {
        self.drain_grace.scaled(DELAY_PART)
    }

    /// As many lines as a channel at its stated rate sends in that time: it is never faster.
    fn max_window(&self) -> f64 {
        self.stated_rate * self.max_delay().seconds()
    }

    /// Whether so many lines more would leave a drain that follows them in time.
    fn is_quick(&self, now: Time, lines: f64, times: f64) -> bool {
        let in_time = self.unanswered_for(now) <= self.max_delay().scaled(times);
        self.drain_grace == Duration::ZERO
            || self.waiting() < 1.0
            || in_time && self.waiting() + lines <= self.window * times
    }

    /// Whether nothing but risks may go out. By lines alone: where a mere delay kept newcomers out of the tables that lose
    /// hosts, these shrank from wave to wave of a release, and cold hosts were pushed over.
    pub(crate) fn is_half_full(&self) -> bool {
        self.waiting() >= self.line_limit * EXPEDITED_PART
    }

    /// Whether the queue has room for an update.
    pub(crate) fn admits_update(
        &mut self,
        now: Time,
        reason: UpdateReason,
        lines: usize,
        messages: usize,
    ) -> bool {
        let lines = self.with_overhead(lines as f64, messages as f64);
        let fits = match reason {
            UpdateReason::Ordinary if !self.can_mark => {
                self.waiting_at_slow_rate < self.line_limit * ORDINARY_PART
            }
            UpdateReason::Ordinary => {
                self.has_room(lines, ORDINARY_PART) && self.is_quick(now, lines, 1.0)
            }
            UpdateReason::Expedited => {
                self.has_room(lines, EXPEDITED_PART) && self.is_quick(now, lines, 1.0)
            }
            UpdateReason::Hazard => {
                self.has_room(lines, HAZARD_PART) && self.is_quick(now, lines, HAZARD_DELAYS)
            }
            UpdateReason::Drain => self.has_room(lines, URGENT_PART),
        };
        let admitted = fits || self.takes_probe(now);
        if !admitted {
            *count_of(&mut self.held_back_for, reason) += 1.0;
        }
        admitted
    }

    /// Whether the queue has room to send one proxy its whole table.
    pub(crate) fn admits_binding(&mut self, now: Time, lines: usize) -> bool {
        let lines = self.with_overhead(lines as f64, 1.0);
        let admitted = self.has_room(lines, URGENT_PART) || self.takes_probe(now);
        if !admitted {
            self.held_back_for.bindings += 1.0;
        }
        admitted
    }

    /// An update larger than that part of the limit goes out once nothing waits.
    fn has_room(&self, lines: f64, part: f64) -> bool {
        let waiting = self.waiting();
        waiting + lines <= self.line_limit * part || waiting < 1.0
    }

    fn takes_probe(&mut self, now: Time) -> bool {
        if !self.can_mark || now - self.quiet_since < self.probe_wait {
            return false;
        }
        self.quiet_since = now;
        self.probe_wait = (self.probe_wait + self.probe_wait).min(MAX_PROBE_WAIT);
        self.marked_at = None;
        true
    }

    /// An update of `lines` lines goes to each of `messages` proxies.
    pub(crate) fn send_update(&mut self, reason: UpdateReason, lines: usize, messages: usize) {
        let lines = self.send(lines as f64, messages as f64);
        *count_of(&mut self.sent_for, reason) += lines;
    }

    /// A proxy is sent its whole table.
    pub(crate) fn send_binding(&mut self, lines: usize) {
        self.sent_for.bindings += self.send(lines as f64, 1.0);
    }

    fn with_overhead(&self, lines: f64, messages: f64) -> f64 {
        (lines + self.message_overhead) * messages
    }

    /// Counts messages; gives their lines with all overhead.
    fn send(&mut self, lines: f64, messages: f64) -> f64 {
        let lines = self.with_overhead(lines, messages);
        self.round.lines += lines;
        self.round.messages += messages;
        self.count(lines);
        lines
    }

    fn count(&mut self, lines: f64) {
        self.sent += lines;
        self.undecided_lines += lines;
        self.waiting_at_stated_rate += lines;
        self.waiting_at_slow_rate += lines;
    }

    /// Ends a round of so many orders: all that was sent since the last one. Gives the mark that its messages carry, if
    /// one is due.
    pub(crate) fn end_round(&mut self, now: Time, orders: usize) -> Option<AckId> {
        let Round { messages, lines } = std::mem::take(&mut self.round);
        self.undecided_orders += orders;
        let late = self.marked_at.is_none_or(|at| now - at >= MARK_INTERVAL);
        let much = self.sent - self.marked_up_to > self.line_limit * UNMARKED_PART;
        if messages == 0.0 || !self.can_mark || !(late || much) {
            return None;
        }
        let lines_before = self.sent - lines;
        // One line for each marked message.
        self.count(messages);
        self.sent_for.acks += messages;
        self.undecided_orders += 1;
        Some(self.open_mark(now, lines_before, messages))
    }

    fn open_mark(&mut self, sent_at: Time, lines_before: f64, messages: f64) -> AckId {
        let id = self.next_mark;
        self.next_mark = AckId(id.0.wrapping_add(1));
        self.marked_at = Some(sent_at);
        self.marked_up_to = self.sent;
        if self.open_marks.len() == MAX_OPEN_MARKS {
            self.open_marks.pop_front();
        }
        let mark = OpenMark {
            id,
            sent_at,
            lines_before,
            lines_after: self.sent,
            waiting_before: lines_before - self.confirmed,
            messages,
            answers: 0.0,
        };
        self.open_marks.push_back(mark);
        id
    }

    /// A proxy has applied a message with this mark, and so the channel has sent all lines before its round, and as many
    /// of the round's messages as were answered. Which ones these were is not known: each has the lines of the
    /// smallest there can be.
    pub(crate) fn mark_applied(&mut self, now: Time, id: AckId) {
        let Some(place) = self.open_marks.iter().position(|mark| mark.id == id) else {
            return;
        };
        let smallest_message = self.message_overhead + 2.0;
        let mark = &mut self.open_marks[place];
        mark.answers += 1.0;
        let complete = mark.answers >= mark.messages;
        let answered_lines = mark.answers * smallest_message;
        let position = if complete {
            mark.lines_after
        } else {
            mark.lines_before + answered_lines
        };
        self.confirmed = self.confirmed.max(position.min(mark.lines_after));
        let first = (mark.answers == 1.0).then_some((now - mark.sent_at, mark.waiting_before));
        self.answered += 1;
        (self.quiet_since, self.probe_wait) = (now, PROBE_WAIT);
        // The channel keeps the order: older marks say nothing more.
        self.open_marks
            .drain(..if complete { place + 1 } else { place });
        if let Some((delay, waiting)) = first {
            self.last_delay = delay;
            self.adapt_window(delay, waiting);
        }
    }

    /// So many lines took so long: by Little's law as many more or fewer go through in the longest time that is allowed.
    fn adapt_window(&mut self, delay: Duration, waiting: f64) {
        if self.drain_grace == Duration::ZERO {
            return;
        }
        if delay > self.max_delay() {
            let fitting = waiting * self.max_delay().ratio(delay);
            self.window = self
                .window
                .min(fitting)
                .max(self.max_window() / SLOW_CHANNEL);
        } else if waiting * 2.0 >= self.window {
            self.window = (self.window * WINDOW_GROWTH).min(self.max_window());
        }
    }

    /// It is known what became of so many orders, in the order in which they were given. What was surely not taken
    /// waits nowhere; what may have been counts until a later mark is answered.
    pub(crate) fn orders_ended(&mut self, orders: usize, outcome: UpdateResult) {
        let part = orders as f64 / self.undecided_orders.max(orders).max(1) as f64;
        let lines = self.undecided_lines * part;
        self.undecided_lines -= lines;
        self.undecided_orders = self.undecided_orders.saturating_sub(orders);
        if outcome == UpdateResult::Unknown {
            // Perhaps none of it waits: that is to be found out as soon as calls are answered again.
            self.probe_wait = PROBE_WAIT;
        }
        if outcome != UpdateResult::Rejected {
            return;
        }
        self.sent = (self.sent - lines).max(self.confirmed);
        self.marked_up_to = self.marked_up_to.min(self.sent);
        self.waiting_at_stated_rate = (self.waiting_at_stated_rate - lines).max(0.0);
        self.waiting_at_slow_rate = (self.waiting_at_slow_rate - lines).max(0.0);
        let sent = self.sent;
        self.open_marks.retain(|mark| mark.lines_after <= sent);
    }

    pub(crate) fn report(&self) -> UpdateQueueStatus {
        UpdateQueueStatus {
            line_limit: self.line_limit,
            queued_at_stated_rate: self.waiting_at_stated_rate,
            queued_at_slow_rate: self.waiting_at_slow_rate,
            unconfirmed: self.can_mark.then_some(self.waiting()),
            sent_for: self.sent_for,
            held_back_for: self.held_back_for,
            acks_received: self.answered,
            last_ack_delay: self.last_delay,
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
