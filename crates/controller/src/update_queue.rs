//! The queue of updates to the proxies: first in, first out, measured in lines. An update is sent as one message to
//! each proxy concerned, which costs its lines plus an overhead.
//!
//! The channel may send far more slowly than configured, or not at all, so the configured rate cannot tell how many
//! lines are queued. Instead, some messages request an acknowledgement. A proxy that has applied such a message returns
//! it, which confirms all lines sent before. Unconfirmed lines count as queued, and updates that would exceed the limit
//! are held back. If proxies do not support acknowledgements, two models estimate the queue: one at the configured
//! rate, and one at a slow rate for ordinary updates.

use crate::config::DeploymentConfig;
use crate::decision::UpdateResult;
use crate::ids::AckId;
use crate::pending_acks::{BatchSent, PendingAcks};
use crate::rate_model::{RateModel, SLOW_CHANNEL_FACTOR};
use crate::status::{LineCounts, UpdateQueueStatus};
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Time after which the next batch requests an acknowledgement. Requests are limited because each costs one line per
/// message of its batch, but lines sent after the last request stay unconfirmed.
const ACK_INTERVAL: Duration = Duration::from_millis(500);
/// Fraction of the line limit that may be sent without requesting an acknowledgement.
const MAX_UNREQUESTED_FRACTION: f64 = 0.05;
/// Fraction of the line limit up to which ordinary updates may fill the queue. Ordinary and expedited updates are
/// deferrable; the rest is reserved for hazards, drains and bindings. The limit has room for twice the drains and
/// bindings that can be due at once if all proxies are at one controller.
const ORDINARY_FRACTION: f64 = 0.25;
/// The same for expedited updates.
const EXPEDITED_FRACTION: f64 = 0.5;
/// The same for hazards.
const HAZARD_FRACTION: f64 = 0.75;
/// The same for drains and bindings.
const DRAIN_FRACTION: f64 = 0.95;
/// Message delay up to which deferrable updates are sent, as a fraction of the drain grace period: a drain waits behind
/// all lines sent before it.
const MAX_DELAY_FRACTION: f64 = 0.4;
/// Factor on that delay, and on the window, for hazards.
const HAZARD_DELAY_FACTOR: f64 = 1.75;
/// Growth of the window with each acknowledgement that arrives in time while at least half of the window is in use.
const WINDOW_GROWTH: f64 = 1.25;
/// Factor by which the window may exceed the queued lines and still count as in use.
const USED_WINDOW_FACTOR: f64 = 2.0;
/// Time without an acknowledgement after which one update is sent however full the queue seems to be, because
/// acknowledgements may have been lost with their proxies or with the membership events. It doubles with each such
/// probe until an acknowledgement arrives.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Maximum of the probe interval.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(30_000);
/// Number of lines below which the queue counts as empty.
const MIN_QUEUED_LINES: f64 = 1.0;
/// Lines of the smallest possible message, without its overhead.
const MIN_MESSAGE_LINES: f64 = 2.0;

/// Why an update of a table is sent, in ascending order of urgency. Ordinary and expedited updates are deferrable;
/// hazards and drains are safety-critical.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum UpdateReason {
    /// Weights or admission rates differ from what was sent.
    Ordinary,
    /// A line has excess weight or may not have been applied.
    Expedited,
    /// A failing or warming host has too much weight.
    Hazard,
    /// A host drains or was removed, or the table has no usable host left.
    Drain,
}

/// Lines and messages sent since the last batch ended.
#[derive(Default)]
struct OpenBatch {
    lines: f64,
    messages: f64,
}

/// Lines and updates sent whose result is not known yet.
#[derive(Default)]
struct AwaitingResult {
    lines: f64,
    updates: usize,
}

/// The update queue; see the module documentation. Counts are in lines, rates in lines per second.
pub(crate) struct UpdateQueue {
    configured_rate: f64,
    line_limit: f64,
    message_overhead: f64,
    drain_grace_period: Duration,
    acks_supported: bool,
    rate_model: RateModel,
    open_batch: OpenBatch,
    awaiting_result: AwaitingResult,
    sent_lines: f64,
    confirmed_lines: f64,
    sent_for: LineCounts,
    held_back_for: LineCounts,
    pending_acks: PendingAcks,
    /// Number of queued lines up to which deferrable updates are sent: as many as reach their proxies within the
    /// maximum delay, by the measured delay of acknowledgements.
    window: f64,
    /// When an acknowledgement was last requested.
    ack_requested_at: Option<Time>,
    /// Total lines sent when an acknowledgement was last requested.
    ack_requested_up_to: f64,
    /// When the last acknowledgement arrived or the last probe was sent.
    last_ack_or_probe_at: Time,
    probe_interval: Duration,
    acks_received: u64,
    last_ack_delay: Duration,
}

impl UpdateQueue {
    /// Creates an empty queue. A limit of zero in the configuration means no limit.
    pub(crate) fn new(config: &DeploymentConfig, now: Time, first_ack: AckId) -> UpdateQueue {
        let has_limit = config.max_queued_lines > 0.0;
        let configured_rate = config.update_rate.max(1.0);
        let mut queue = UpdateQueue {
            configured_rate,
            line_limit: if has_limit {
                config.max_queued_lines
            } else {
                f64::INFINITY
            },
            message_overhead: config.message_overhead_lines,
            drain_grace_period: config.drain_grace_period,
            acks_supported: config.acks_supported,
            rate_model: RateModel::new(configured_rate),
            open_batch: OpenBatch::default(),
            awaiting_result: AwaitingResult::default(),
            sent_lines: 0.0,
            confirmed_lines: 0.0,
            sent_for: LineCounts::default(),
            held_back_for: LineCounts::default(),
            pending_acks: PendingAcks::new(first_ack),
            window: 0.0,
            ack_requested_at: None,
            ack_requested_up_to: 0.0,
            last_ack_or_probe_at: now,
            probe_interval: PROBE_INTERVAL,
            acks_received: 0,
            last_ack_delay: Duration::ZERO,
        };
        queue.window = queue.max_window();
        queue
    }

    /// Advances the rate models to `now`.
    pub(crate) fn advance(&mut self, now: Time) {
        self.rate_model.advance(now);
    }

    /// Returns the number of lines that may still be queued.
    fn queued(&self) -> f64 {
        if self.acks_supported {
            self.sent_lines - self.confirmed_lines
        } else {
            self.rate_model.queued_at_configured_rate()
        }
    }

    fn is_empty(&self) -> bool {
        self.queued() < MIN_QUEUED_LINES
    }

    /// Returns the time until an update sent now takes effect, if this exceeds the maximum delay: the delay of the last
    /// acknowledgement, or the time waited for the next one if that is longer. Zero if messages are in time, nothing is
    /// queued, or acknowledgements are not supported.
    pub(crate) fn update_delay(&self, now: Time) -> Duration {
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

    /// Returns the message delay up to which deferrable updates are sent.
    fn max_delay(&self) -> Duration {
        self.drain_grace_period.scaled(MAX_DELAY_FRACTION)
    }

    /// Returns the lines that the channel sends within the maximum delay at its configured rate, which it never
    /// exceeds.
    fn max_window(&self) -> f64 {
        self.configured_rate * self.max_delay().seconds()
    }

    /// Returns whether a drain sent after `lines` more lines would be in time; `factor` scales the delay and the
    /// window.
    fn keeps_drains_in_time(&self, now: Time, lines: f64, factor: f64) -> bool {
        let max_delay = self.max_delay().scaled(factor);
        let is_answered = self.pending_acks.unanswered_for(now) <= max_delay;
        self.drain_grace_period == Duration::ZERO
            || self.is_empty()
            || is_answered && self.queued() + lines <= self.window * factor
    }

    /// Returns whether the queue is too full for deferrable updates, so that only unsafe lines are sent. Considers only
    /// the number of lines, not the delay: when a delay alone kept new hosts out of tables that lost hosts, these
    /// tables shrank with each wave of a release, and hosts that had just started were overloaded.
    pub(crate) fn is_half_full(&self) -> bool {
        self.queued() >= self.line_limit * EXPEDITED_FRACTION
    }

    /// Returns whether the queue has capacity for an update.
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
                queued < self.line_limit * ORDINARY_FRACTION
            }
            UpdateReason::Ordinary => {
                self.has_capacity(lines, ORDINARY_FRACTION)
                    && self.keeps_drains_in_time(now, lines, 1.0)
            }
            UpdateReason::Expedited => {
                self.has_capacity(lines, EXPEDITED_FRACTION)
                    && self.keeps_drains_in_time(now, lines, 1.0)
            }
            UpdateReason::Hazard => {
                self.has_capacity(lines, HAZARD_FRACTION)
                    && self.keeps_drains_in_time(now, lines, HAZARD_DELAY_FACTOR)
            }
            UpdateReason::Drain => self.has_capacity(lines, DRAIN_FRACTION),
        };
        let is_admitted = fits || self.take_due_probe(now);
        if !is_admitted {
            *self.held_back_for.of_mut(reason) += 1.0;
        }
        is_admitted
    }

    /// Returns whether the queue has capacity to send one proxy its whole table.
    pub(crate) fn admits_binding(&mut self, now: Time, lines: usize) -> bool {
        let lines = self.with_overhead(lines as f64, 1.0);
        let is_admitted = self.has_capacity(lines, DRAIN_FRACTION) || self.take_due_probe(now);
        if !is_admitted {
            self.held_back_for.bindings += 1.0;
        }
        is_admitted
    }

    /// Returns whether `lines` more lines fit into this fraction of the line limit. A larger update is sent once
    /// nothing is queued.
    fn has_capacity(&self, lines: f64, fraction: f64) -> bool {
        self.queued() + lines <= self.line_limit * fraction || self.is_empty()
    }

    /// Returns whether a probe is due: one update or binding that is sent although the queue seems full. Starts the
    /// next probe interval.
    fn take_due_probe(&mut self, now: Time) -> bool {
        if !self.acks_supported || now - self.last_ack_or_probe_at < self.probe_interval {
            return false;
        }
        self.last_ack_or_probe_at = now;
        self.probe_interval = (self.probe_interval + self.probe_interval).min(MAX_PROBE_INTERVAL);
        self.ack_requested_at = None;
        true
    }

    /// Counts an update of `lines` lines to each of `messages` proxies.
    pub(crate) fn send_update(&mut self, reason: UpdateReason, lines: usize, messages: usize) {
        let lines = self.send(lines as f64, messages as f64);
        *self.sent_for.of_mut(reason) += lines;
    }

    /// Counts a binding, which sends a whole table of `lines` lines to one proxy.
    pub(crate) fn send_binding(&mut self, lines: usize) {
        self.sent_for.bindings += self.send(lines as f64, 1.0);
    }

    fn with_overhead(&self, lines: f64, messages: f64) -> f64 {
        (lines + self.message_overhead) * messages
    }

    /// Counts messages and returns their lines including overhead.
    fn send(&mut self, lines: f64, messages: f64) -> f64 {
        let lines = self.with_overhead(lines, messages);
        self.open_batch.lines += lines;
        self.open_batch.messages += messages;
        self.count(lines);
        lines
    }

    fn count(&mut self, lines: f64) {
        self.sent_lines += lines;
        self.awaiting_result.lines += lines;
        self.rate_model.add(lines);
    }

    /// Ends a batch of `updates` updates, which consists of everything sent since the last batch. Returns the
    /// acknowledgement to request with its messages, if one is due.
    pub(crate) fn end_batch(&mut self, now: Time, updates: usize) -> Option<AckId> {
        let batch = std::mem::take(&mut self.open_batch);
        self.awaiting_result.updates += updates;
        if batch.messages == 0.0 || !self.acks_supported || !self.is_ack_due(now) {
            return None;
        }
        let lines_before = self.sent_lines - batch.lines;
        // The request costs one line per message.
        self.count(batch.messages);
        self.sent_for.acks += batch.messages;
        self.awaiting_result.updates += 1;
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
        let is_interval_over = self
            .ack_requested_at
            .is_none_or(|requested_at| now - requested_at >= ACK_INTERVAL);
        let unrequested = self.sent_lines - self.ack_requested_up_to;
        is_interval_over || unrequested > self.line_limit * MAX_UNREQUESTED_FRACTION
    }

    /// Handles an acknowledgement. The channel has then sent all lines before the batch of the acknowledged message,
    /// and as many of the batch's messages as were acknowledged. It is unknown which messages these were, so each
    /// counts as one of the smallest size.
    pub(crate) fn on_ack(&mut self, now: Time, id: AckId) {
        let smallest_message = self.message_overhead + MIN_MESSAGE_LINES;
        let Some(progress) = self.pending_acks.acknowledge(now, id, smallest_message) else {
            return;
        };
        self.confirmed_lines = self.confirmed_lines.max(progress.confirmed_lines);
        self.acks_received += 1;
        self.last_ack_or_probe_at = now;
        self.probe_interval = PROBE_INTERVAL;
        if let Some(first) = progress.first {
            self.last_ack_delay = first.delay;
            self.adapt_window(first.delay, first.queued_before);
        }
    }

    /// Adapts the window to the measured delay of `queued` lines. By Little's law, the number of lines that get through
    /// within the maximum delay is `queued` times the ratio of that delay to the measured one.
    fn adapt_window(&mut self, delay: Duration, queued: f64) {
        if self.drain_grace_period == Duration::ZERO {
            return;
        }
        if delay > self.max_delay() {
            let lines_in_time = queued * self.max_delay().ratio(delay);
            let min_window = self.max_window() / SLOW_CHANNEL_FACTOR;
            self.window = self.window.min(lines_in_time).max(min_window);
        } else if queued * USED_WINDOW_FACTOR >= self.window {
            self.window = (self.window * WINDOW_GROWTH).min(self.max_window());
        }
    }

    /// Handles the result of the next `updates` updates, in the order sent. Updates that are known not to have been
    /// applied no longer count as queued; those that may have been applied count until a later acknowledgement arrives.
    pub(crate) fn on_update_result(&mut self, updates: usize, result: UpdateResult) {
        let awaiting = self.awaiting_result.updates.max(updates).max(1);
        let lines = self.awaiting_result.lines * (updates as f64 / awaiting as f64);
        self.awaiting_result.lines -= lines;
        self.awaiting_result.updates = self.awaiting_result.updates.saturating_sub(updates);
        match result {
            // Possibly none of these lines are queued. A short probe interval finds out soon after calls are
            // answered again.
            UpdateResult::Unknown => self.probe_interval = PROBE_INTERVAL,
            UpdateResult::Rejected => self.remove_unsent(lines),
            UpdateResult::Applied | UpdateResult::StoppedAt(_) => {}
        }
    }

    /// Removes lines that are known not to have been queued.
    fn remove_unsent(&mut self, lines: f64) {
        self.sent_lines = (self.sent_lines - lines).max(self.confirmed_lines);
        self.ack_requested_up_to = self.ack_requested_up_to.min(self.sent_lines);
        self.rate_model.remove(lines);
        self.pending_acks.drop_unsent(self.sent_lines);
    }

    pub(crate) fn status(&self) -> UpdateQueueStatus {
        UpdateQueueStatus {
            line_limit: self.line_limit,
            queued_at_configured_rate: self.rate_model.queued_at_configured_rate(),
            queued_at_slow_rate: self.rate_model.queued_at_slow_rate(),
            unconfirmed: self.acks_supported.then_some(self.queued()),
            sent_for: self.sent_for,
            held_back_for: self.held_back_for,
            acks_received: self.acks_received,
            last_ack_delay: self.last_ack_delay,
        }
    }
}
