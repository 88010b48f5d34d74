//! The routing tables: how many there are and of which kind, and what is known of each one's proxies.

use crate::config::{DeploymentConfig, RetryPolicy};
use crate::ids::{RequestClassId, ZoneId};
use crate::message_budget::MessageCap;
use crate::status::LineCounts;
use crate::time::Time;
use crate::update_queue::UpdateReason;
use std::collections::VecDeque;
use std::time::Duration;

/// Proxies that a table needs (docs/design.md, What was kept).
const PROXIES_PER_TABLE: u64 = 5;

/// Which tables there are: the shared ones first, then one for each zone if classes are confined to zones.
pub(crate) struct TableLayout {
    shared_tables: usize,
    zone_tables: usize,
    shared_classes: Vec<RequestClassId>,
    zone_local_classes: Vec<RequestClassId>,
}

impl TableLayout {
    pub(crate) fn new(config: &DeploymentConfig) -> TableLayout {
        let classes = || config.request_classes.iter().enumerate();
        let of_kind = |zone_local: bool| -> Vec<RequestClassId> {
            classes()
                .filter(|(_, class)| class.zone_local == zone_local)
                .map(|(index, _)| RequestClassId(index as u8))
                .collect()
        };
        let zone_local_classes = of_kind(true);
        let zone_tables = if zone_local_classes.is_empty() {
            0
        } else {
            config.zone_count as usize
        };
        let shared_tables = config.proxy_count.saturating_sub(1) / PROXIES_PER_TABLE;
        TableLayout {
            shared_tables: shared_tables.max(1) as usize,
            zone_tables,
            shared_classes: of_kind(false),
            zone_local_classes,
        }
    }

    pub(crate) fn shared_tables(&self) -> usize {
        self.shared_tables
    }

    pub(crate) fn has_zone_tables(&self) -> bool {
        self.zone_tables > 0
    }

    fn len(&self) -> usize {
        self.shared_tables + self.zone_tables
    }

    /// The table of a zone for the classes confined to it; none for a zone that only a list or a proxy names: the
    /// deployment has no table for it.
    pub(crate) fn zone_table(&self, zone: ZoneId) -> Option<usize> {
        let table = self.shared_tables + zone.0 as usize;
        (table < self.len()).then_some(table)
    }

    /// All tables of a proxy of this zone that is bound to this shared one.
    pub(crate) fn tables_of(
        &self,
        shared_table: usize,
        zone: ZoneId,
    ) -> impl Iterator<Item = usize> + use<> {
        std::iter::once(shared_table).chain(self.zone_table(zone))
    }

    /// What a proxy of this zone is bound to: tables, each with the classes that it is used for.
    pub(crate) fn bindings(
        &self,
        shared_table: usize,
        zone: ZoneId,
    ) -> Vec<(usize, Vec<RequestClassId>)> {
        let zone_table = self.zone_table(zone).unwrap_or(shared_table);
        let bindings = [
            (shared_table, self.shared_classes.clone()),
            (zone_table, self.zone_local_classes.clone()),
        ];
        let mut bindings = Vec::from(bindings);
        bindings.retain(|(_, classes)| !classes.is_empty());
        if !self.has_zone_tables() {
            // No classes stand for all of them.
            for (_, classes) in &mut bindings {
                classes.clear();
            }
        }
        bindings
    }
}

/// A message to the proxies of a table.
#[derive(Clone, Copy)]
pub(crate) struct SentMessage {
    pub(crate) sent_at: Time,
    /// The batch that it belongs to: all that a batch has for a proxy is one message.
    pub(crate) batch: u64,
}

/// What the message cap has held back of one table's updates.
#[derive(Clone, Copy, Default)]
pub(crate) struct CapHolds {
    /// Updates that were due but for the cap, each time that they were looked at.
    pub(crate) held_back_for: LineCounts,
    /// The longest time for which one waited that a rule asks for.
    pub(crate) longest_safety_hold: Duration,
    /// Since when such a one waits; none: none does.
    safety_held_since: Option<Time>,
}

/// What is known of the proxies of one table.
#[derive(Clone, Default)]
pub(crate) struct TableState {
    cap_holds: CapHolds,
    bound_proxies: usize,
    messages: VecDeque<SentMessage>,
    pending_since: Option<Time>,
    sent_fractions: Vec<Option<f64>>,
}

impl TableState {
    /// A proxy is bound to it.
    pub(crate) fn add_proxy(&mut self) {
        self.bound_proxies += 1;
    }

    /// A proxy that was bound to it has left.
    pub(crate) fn remove_proxy(&mut self) {
        self.bound_proxies -= 1;
    }

    /// Proxies that are bound to it.
    pub(crate) fn bound_proxies(&self) -> usize {
        self.bound_proxies
    }

    /// Whether any proxy uses it.
    pub(crate) fn is_used(&self) -> bool {
        self.bound_proxies > 0
    }

    /// A message is sent to its proxies; all that is sent in one batch is one message.
    pub(crate) fn count_message(&mut self, message: SentMessage) {
        if !self.is_sent_message_in(message.batch) {
            self.messages.push_back(message);
        }
    }

    /// Whether its proxies are sent a message in this batch already.
    fn is_sent_message_in(&self, batch: u64) -> bool {
        let last = self.messages.back();
        last.is_some_and(|message| message.batch == batch)
    }

    /// The message of this batch was surely not applied.
    pub(crate) fn uncount_message(&mut self, batch: u64) {
        self.messages.retain(|message| message.batch != batch);
    }

    /// Its proxies are all new: they have been sent nothing.
    pub(crate) fn clear_messages(&mut self) {
        self.messages.clear();
    }

    pub(crate) fn drop_old_messages(&mut self, now: Time, cap: &MessageCap) {
        self.messages
            .retain(|message| now - message.sent_at <= cap.window());
    }

    fn recent_messages(&self, now: Time, cap: &MessageCap) -> impl Iterator<Item = Time> {
        let window = cap.window();
        let sent = self.messages.iter().map(|message| message.sent_at);
        sent.filter(move |&at| now - at <= window)
    }

    /// Messages to one of its proxies that count against the cap, its binding among them.
    pub(crate) fn messages_used(&self, now: Time, cap: &MessageCap) -> usize {
        1 + self.recent_messages(now, cap).count()
    }

    /// Whether a message may be sent to its proxies in this batch, if the cap has room for so many.
    pub(crate) fn has_tokens(&self, next: SentMessage, cap: &MessageCap, messages: f64) -> bool {
        let now = next.sent_at;
        self.is_sent_message_in(next.batch)
            || cap.has_tokens(now, self.recent_messages(now, cap), messages)
    }

    /// What the message cap has held back of its updates.
    pub(crate) fn cap_holds(&self) -> &CapHolds {
        &self.cap_holds
    }

    /// The message cap holds back an update.
    pub(crate) fn note_held_by_cap(&mut self, now: Time, reason: UpdateReason) {
        let holds = &mut self.cap_holds;
        *holds.held_back_for.of_mut(reason) += 1.0;
        if reason >= UpdateReason::Hazard {
            let since = *holds.safety_held_since.get_or_insert(now);
            holds.longest_safety_hold = holds.longest_safety_hold.max(now - since);
        }
    }

    /// Notes whether an update that a rule asks for is still due.
    pub(crate) fn note_safety_due(&mut self, is_due: bool) {
        self.cap_holds.safety_held_since.take_if(|_| !is_due);
    }

    /// Since when it differs from what was sent; none: it does not.
    pub(crate) fn pending_since(&self) -> Option<Time> {
        self.pending_since
    }

    /// Notes whether it differs from what was sent.
    pub(crate) fn note_pending(&mut self, now: Time, is_pending: bool) {
        self.pending_since = self.pending_since.or(Some(now)).filter(|_| is_pending);
    }

    /// Notes that its differences are sent.
    pub(crate) fn clear_pending(&mut self) {
        self.pending_since = None;
        self.cap_holds.safety_held_since = None;
    }

    /// Classes whose admitted fraction is not the one that was sent.
    pub(crate) fn changed_fractions(&self, fractions: &[f64]) -> usize {
        let sent = self.sent_fractions.iter().zip(fractions);
        sent.filter(|(sent, fraction)| **sent != Some(**fraction))
            .count()
    }

    /// Notes that a class's admitted fraction is sent; gives whether it differs from the last one.
    pub(crate) fn mark_fraction_sent(&mut self, class: usize, fraction: f64) -> bool {
        self.sent_fractions[class].replace(fraction) != Some(fraction)
    }

    /// What was sent for a class may not have been applied.
    pub(crate) fn mark_fraction_unconfirmed(&mut self, class: usize) {
        self.sent_fractions[class] = None;
    }
}

/// All tables of a layout.
pub(crate) fn new_tables(layout: &TableLayout, config: &DeploymentConfig) -> Vec<TableState> {
    // Proof that the first attempt was not processed makes a retry safe for every class. After other failures even
    // idempotent classes gain nothing: the wait for it cuts slow answers short, and it feeds jams.
    let is_default = config.base_retry_policy == Some(RetryPolicy::IfUnprocessed);
    let table = TableState {
        sent_fractions: vec![is_default.then_some(1.0); config.request_classes.len()],
        ..TableState::default()
    };
    vec![table; layout.len()]
}
