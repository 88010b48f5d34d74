//! The queue of updates to the proxies: first in, first out, counted in lines. Each proxy that an update concerns is sent
//! one message, which counts its lines and some overhead.
//!
//! The channel may send far more slowly than stated, or not at all, so its queue is not counted by the stated rate: some
//! messages ask for an acknowledgement, a proxy that has applied such a message returns it, and that confirms all lines sent
//! before it. What is not confirmed counts as queued, and no update goes out that would take that over the limit. Where
//! proxies acknowledge nothing, two models of the rate stand in: the stated one, and a slow one for what can wait.

use crate::config::DeploymentConfig;
use crate::decision::UpdateResult;
use crate::ids::AckId;
use crate::pending_acks::{BatchSent, PendingAcks};
use crate::rate_model::{RateModel, SLOW_CHANNEL_FACTOR};
use crate::status::{LineCounts, UpdateQueueStatus};
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Time after which a batch asks for an acknowledgement, and part of the limit that may be sent without asking: it costs
/// one line for each message of its batch, and what is sent after the last one stays unconfirmed.
const ACK_INTERVAL: Duration = Duration::from_millis(500);
const UNACKNOWLEDGED_PART: f64 = 0.05;
/// Parts of the limit up to which each update may fill the queue. Ordinary and expedited ones can wait. The rest is left to
/// drains and bindings: the limit has room for twice the drains and bindings that can be due at once, with all proxies at one
/// controller.
const ORDINARY_PART: f64 = 0.25;
const EXPEDITED_PART: f64 = 0.5;
const HAZARD_PART: f64 = 0.75;
const DRAIN_PART: f64 = 0.95;
/// Part of the grace period for drains that a message may take to its proxy while updates that can wait still go out, as a
/// drain waits behind all that went before it; hazards go out for this many times that.
const DELAY_PART: f64 = 0.4;
const HAZARD_DELAYS: f64 = 1.75;
/// Growth of the window for each acknowledgement that came in time while at least half of the window was in use.
const WINDOW_GROWTH: f64 = 1.25;
/// Part of the window from which it counts as in use.
const USED_WINDOW_FACTOR: f64 = 2.0;
/// Without any acknowledgement for this long, one update goes out however full the queue seems, as acknowledgements may
/// have been lost with their proxies or with the events; the wait doubles up to its maximum until one comes.
const BLIND_UPDATE_INTERVAL: Duration = Duration::from_millis(1_000);
const MAX_BLIND_UPDATE_INTERVAL: Duration = Duration::from_millis(30_000);
/// Lines under which the queue counts as empty.
const MIN_QUEUED_LINES: f64 = 1.0;
/// Lines of the smallest message, besides its overhead.
const MIN_MESSAGE_LINES: f64 = 2.0;

/// Why an update of a table is sent, the least pressing first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateReason {
    /// Weights or admission rates differ from what was sent.
    Ordinary,
    /// A line is far too heavy, or may not have been applied.
    Expedited,
    /// A failing or cold host has too much.
    Hazard,
    /// A host drains or was removed, or the table has nothing left to pick.
    Drain,
}

/// What is sent since the last batch ended.
#[derive(Default)]
struct OpenBatch {
    lines: f64,
    messages: f64,
}

/// What is sent and not yet known to be applied, or not.
#[derive(Default)]
struct Undecided {
    lines: f64,
    updates: usize,
}

/// See the module's documentation. All counts are in lines, all rates in lines a second.
pub(crate) struct UpdateQueue {
    stated_rate: f64,
    line_limit: f64,
    message_overhead: f64,
    drain_grace_period: Duration,
    acks_supported: bool,
    rate_model: RateModel,
    open_batch: OpenBatch,
    undecided: Undecided,
    sent_lines: f64,
    confirmed_lines: f64,
    sent_for: LineCounts,
    held_back_for: LineCounts,
    pending_acks: PendingAcks,
    /// Lines that may be queued while updates that can wait still go out: as many as reach their proxies in time, by what
    /// was measured.
    window: f64,
    ack_requested_at: Option<Time>,
    /// Lines sent when an acknowledgement was asked for last.
    ack_requested_up_to: f64,
    /// The last acknowledgement, or the last update that went out for want of one.
    quiet_since: Time,
    blind_update_interval: Duration,
    acks_received: u64,
    last_ack_delay: Duration,
}

impl UpdateQueue {
    /// A limit of zero means that none is stated.
    pub(crate) fn new(config: &DeploymentConfig, now: Time, first_ack: AckId) -> UpdateQueue {
        let has_limit = config.max_queued_lines > 0.0;
        let stated_rate = config.update_rate.max(1.0);
        let mut queue = UpdateQueue {
            stated_rate,
            line_limit: if has_limit {
                config.max_queued_lines
            } else {
                f64::INFINITY
            },
            message_overhead: config.message_overhead_lines,
            drain_grace_period: config.drain_grace_period,
            acks_supported: config.acks_supported,
            rate_model: RateModel::new(stated_rate),
            open_batch: OpenBatch::default(),
            undecided: Undecided::default(),
            sent_lines: 0.0,
            confirmed_lines: 0.0,
            sent_for: LineCounts::default(),
            held_back_for: LineCounts::default(),
            pending_acks: PendingAcks::new(first_ack),
            window: 0.0,
            ack_requested_at: None,
            ack_requested_up_to: 0.0,
            quiet_since: now,
            blind_update_interval: BLIND_UPDATE_INTERVAL,
            acks_received: 0,
            last_ack_delay: Duration::ZERO,
        };
        queue.window = queue.max_window();
        queue
    }

    /// Lets the models send what they can until `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        self.rate_model.advance(now);
    }

    /// Lines that may still be queued.
    fn queued(&self) -> f64 {
        if self.acks_supported {
            self.sent_lines - self.confirmed_lines
        } else {
            self.rate_model.queued_at_stated_rate()
        }
    }

    fn is_empty(&self) -> bool {
        self.queued() < MIN_QUEUED_LINES
    }

    /// Where messages take longer than they should, the time until what is sent shows: the delay of the last
    /// acknowledgement, or for as long as one has been waited for. Zero where all is in time, nothing is queued, or nothing
    /// can be measured.
    pub(crate) fn lateness(&self, now: Time) -> Duration {
        if !self.acks_supported || self.is_empty() {
            return Duration::ZERO;
        }
        let delay = self
            .last_ack_delay
            .max(self.pending_acks.unanswered_for(now));
        if delay > self.max_delay() {
            delay
        } else {
            Duration::ZERO
        }
    }

    /// The longest delay at which updates that can wait still go out.
    fn max_delay(&self) -> Duration {
        self.drain_grace_period.scaled(DELAY_PART)
    }

    /// As many lines as a channel at its stated rate sends in that time: it is never faster.
    fn max_window(&self) -> f64 {
        self.stated_rate * self.max_delay().seconds()
    }

    /// Whether so many lines more would leave a drain that follows them in time; `factor` stretches what counts as in time.
    fn keeps_drains_in_time(&self, now: Time, lines: f64, factor: f64) -> bool {
        let max_delay = self.max_delay().scaled(factor);
        let is_answered = self.pending_acks.unanswered_for(now) <= max_delay;
        self.drain_grace_period == Duration::ZERO
            || self.is_empty()
            || is_answered && self.queued() + lines <= self.window * factor
    }

    /// Whether nothing but risks may go out. By lines alone: where a mere delay kept newcomers out of the tables that lose
    /// hosts, these shrank from wave to wave of a release, and cold hosts were pushed over.
    pub(crate) fn is_half_full(&self) -> bool {
        self.queued() >= self.line_limit * EXPEDITED_PART
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
            UpdateReason::Ordinary if !self.acks_supported => {
                let queued = self.rate_model.queued_at_slow_rate();
                queued < self.line_limit * ORDINARY_PART
            }
            UpdateReason::Ordinary => {
                self.has_room(lines, ORDINARY_PART) && self.keeps_drains_in_time(now, lines, 1.0)
            }
            UpdateReason::Expedited => {
                self.has_room(lines, EXPEDITED_PART) && self.keeps_drains_in_time(now, lines, 1.0)
            }
            UpdateReason::Hazard => {
                self.has_room(lines, HAZARD_PART)
                    && self.keeps_drains_in_time(now, lines, HAZARD_DELAYS)
            }
            UpdateReason::Drain => self.has_room(lines, DRAIN_PART),
        };
        let is_admitted = fits || self.takes_blind_update(now);
        if !is_admitted {
            *self.held_back_for.of_mut(reason) += 1.0;
        }
        is_admitted
    }

    /// Whether the queue has room to send one proxy its whole table.
    pub(crate) fn admits_binding(&mut self, now: Time, lines: usize) -> bool {
        let lines = self.with_overhead(lines as f64, 1.0);
        let is_admitted = self.has_room(lines, DRAIN_PART) || self.takes_blind_update(now);
        if !is_admitted {
            self.held_back_for.bindings += 1.0;
        }
        is_admitted
    }

    /// An update larger than that part of the limit goes out once nothing is queued.
    fn has_room(&self, lines: f64, part: f64) -> bool {
        self.queued() + lines <= self.line_limit * part || self.is_empty()
    }

    /// Whether one update goes out for want of an acknowledgement.
    fn takes_blind_update(&mut self, now: Time) -> bool {
        if !self.acks_supported || now - self.quiet_since < self.blind_update_interval {
            return false;
        }
        self.quiet_since = now;
        self.blind_update_interval = (self.blind_update_interval + self.blind_update_interval)
            .min(MAX_BLIND_UPDATE_INTERVAL);
        self.ack_requested_at = None;
        true
    }

    /// An update of `lines` lines goes to each of `messages` proxies.
    pub(crate) fn send_update(&mut self, reason: UpdateReason, lines: usize, messages: usize) {
        let lines = self.send(lines as f64, messages as f64);
        *self.sent_for.of_mut(reason) += lines;
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
        self.open_batch.lines += lines;
        self.open_batch.messages += messages;
        self.count(lines);
        lines
    }

    fn count(&mut self, lines: f64) {
        self.sent_lines += lines;
        self.undecided.lines += lines;
        self.rate_model.add(lines);
    }

    /// Ends a batch of so many updates: all that was sent since the last one. Gives the acknowledgement that its messages
    /// ask for, if one is due.
    pub(crate) fn end_batch(&mut self, now: Time, updates: usize) -> Option<AckId> {
        let batch = std::mem::take(&mut self.open_batch);
        self.undecided.updates += updates;
        if batch.messages == 0.0 || !self.acks_supported || !self.is_ack_due(now) {
            return None;
        }
        let lines_before = self.sent_lines - batch.lines;
        // One line for each message that asks for it.
        self.count(batch.messages);
        self.sent_for.acks += batch.messages;
        self.undecided.updates += 1;
        self.ack_requested_at = Some(now);
        self.ack_requested_up_to = self.sent_lines;
        Some(self.pending_acks.request(BatchSent {
            sent_at: now,
            lines_before,
            lines_after: self.sent_lines,
            queued_before: lines_before - self.confirmed_lines,
            messages: batch.messages,
        }))
    }

    fn is_ack_due(&self, now: Time) -> bool {
        let is_late = self
            .ack_requested_at
            .is_none_or(|requested_at| now - requested_at >= ACK_INTERVAL);
        let unasked = self.sent_lines - self.ack_requested_up_to;
        is_late || unasked > self.line_limit * UNACKNOWLEDGED_PART
    }

    /// A proxy has applied a message that asked for this acknowledgement, and so the channel has sent all lines before its
    /// batch, and as many of the batch's messages as were acknowledged. Which ones these were is not known: each has the
    /// lines of the smallest there can be.
    pub(crate) fn on_ack(&mut self, now: Time, id: AckId) {
        let smallest_message = self.message_overhead + MIN_MESSAGE_LINES;
        let Some(progress) = self.pending_acks.acknowledge(now, id, smallest_message) else {
            return;
        };
        self.confirmed_lines = self.confirmed_lines.max(progress.confirmed_lines);
        self.acks_received += 1;
        self.quiet_since = now;
        self.blind_update_interval = BLIND_UPDATE_INTERVAL;
        if let Some(first) = progress.first {
            self.last_ack_delay = first.delay;
            self.adapt_window(first.delay, first.queued_before);
        }
    }

    /// So many lines took so long: by Little's law as many more or fewer go through in the longest time that is allowed.
    fn adapt_window(&mut self, delay: Duration, queued: f64) {
        if self.drain_grace_period == Duration::ZERO {
            return;
        }
        if delay > self.max_delay() {
            let fitting = queued * self.max_delay().ratio(delay);
            let min_window = self.max_window() / SLOW_CHANNEL_FACTOR;
            self.window = self.window.min(fitting).max(min_window);
        } else if queued * USED_WINDOW_FACTOR >= self.window {
            self.window = (self.window * WINDOW_GROWTH).min(self.max_window());
        }
    }

    /// It is known what became of so many updates, in the order in which they were given. What was surely not applied is
    /// queued nowhere; what may have been counts until a later acknowledgement comes.
    pub(crate) fn on_update_result(&mut self, updates: usize, result: UpdateResult) {
        let all = self.undecided.updates.max(updates).max(1);
        let lines = self.undecided.lines * (updates as f64 / all as f64);
        self.undecided.lines -= lines;
        self.undecided.updates = self.undecided.updates.saturating_sub(updates);
        match result {
            // Perhaps none of it is queued: that is to be found out as soon as calls are answered again.
            UpdateResult::Unknown => self.blind_update_interval = BLIND_UPDATE_INTERVAL,
            UpdateResult::Rejected => self.take_back(lines),
            UpdateResult::Applied | UpdateResult::StoppedAt(_) => {}
        }
    }

    fn take_back(&mut self, lines: f64) {
        self.sent_lines = (self.sent_lines - lines).max(self.confirmed_lines);
        self.ack_requested_up_to = self.ack_requested_up_to.min(self.sent_lines);
        self.rate_model.take_back(lines);
        self.pending_acks.drop_unsent(self.sent_lines);
    }

    pub(crate) fn status(&self) -> UpdateQueueStatus {
        UpdateQueueStatus {
            line_limit: self.line_limit,
            queued_at_stated_rate: self.rate_model.queued_at_stated_rate(),
            queued_at_slow_rate: self.rate_model.queued_at_slow_rate(),
            unconfirmed: self.acks_supported.then_some(self.queued()),
            sent_for: self.sent_for,
            held_back_for: self.held_back_for,
            acks_received: self.acks_received,
            last_ack_delay: self.last_ack_delay,
        }
    }
}
