//! The routing tables: their number and kinds, and the state of each table's proxies.

use crate::config::{DeploymentConfig, RetryPolicy};
use crate::ids::{RequestClassId, ZoneId};
use crate::message_budget::MessageCap;
use crate::proxy::Proxy;
use crate::status::LineCounts;
use crate::table_admission::TableAdmission;
use crate::time::Time;
use crate::update_queue::UpdateReason;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum number of proxies per table (see docs/design.md).
const PROXIES_PER_TABLE: u64 = 5;

/// The tables of a deployment: the shared tables first, then one per zone if there are zone-local classes.
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

    pub(crate) fn len(&self) -> usize {
        self.shared_tables + self.zone_tables
    }

    /// Returns the table of a zone for zone-local classes, or `None` if there are no such classes or the deployment
    /// does not name the zone (endpoint lists and proxies can name others).
    pub(crate) fn zone_table(&self, zone: ZoneId) -> Option<usize> {
        let table = self.shared_tables + zone.0 as usize;
        (table < self.len()).then_some(table)
    }

    /// Returns the table that a proxy's requests of a class use, or `None` if it is not bound to it yet. Proxies get the
    /// table of their zone with their shared table, so those that are not bound yet count there already.
    pub(crate) fn table_of_class(&self, class: usize, proxy: &Proxy) -> Option<usize> {
        let class = RequestClassId(class as u8);
        if self.has_zone_tables() && self.zone_local_classes.contains(&class) {
            self.zone_table(proxy.zone()).or(proxy.table())
        } else {
            proxy.table()
        }
    }

    /// Returns all tables of a proxy of this zone that is bound to this shared table.
    pub(crate) fn tables_of(
        &self,
        shared_table: usize,
        zone: ZoneId,
    ) -> impl Iterator<Item = usize> + use<> {
        std::iter::once(shared_table).chain(self.zone_table(zone))
    }

    /// Returns the bindings of a proxy: tables, each with the classes that it serves.
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
            // An empty list of classes means all classes.
            for (_, classes) in &mut bindings {
                classes.clear();
            }
        }
        bindings
    }
}

/// A message sent to the proxies of a table.
#[derive(Clone, Copy)]
pub(crate) struct SentMessage {
    pub(crate) sent_at: Time,
    /// Its batch. All updates of a batch for one proxy are sent as one message.
    pub(crate) batch: u64,
}

/// Updates of one table that the message cap has held back.
#[derive(Clone, Copy, Default)]
pub(crate) struct CapHolds {
    /// Updates held back by the cap, by reason; an update counts once per round.
    pub(crate) held_back_for: LineCounts,
    /// Longest time for which the cap has held back a safety-critical update.
    pub(crate) longest_safety_hold: Duration,
    /// When the cap began to hold back a safety-critical update; `None` if it holds back none.
    safety_held_since: Option<Time>,
}

/// State of one table: its bound proxies, the messages sent to them, and pending updates.
#[derive(Clone, Default)]
pub(crate) struct TableState {
    cap_holds: CapHolds,
    bound_proxies: usize,
    messages: VecDeque<SentMessage>,
    pending_since: Option<Time>,
    /// Last sent admitted fraction of each class; `None` if not sent or unconfirmed.
    sent_fractions: Vec<Option<f64>>,
    /// Last sent retry policy of each class; `None` if not sent or unconfirmed.
    sent_retry_policies: Vec<Option<RetryPolicy>>,
}

impl TableState {
    /// Counts a proxy that was bound to the table.
    pub(crate) fn add_proxy(&mut self) {
        self.bound_proxies += 1;
    }

    /// Removes a bound proxy that has left.
    pub(crate) fn remove_proxy(&mut self) {
        self.bound_proxies -= 1;
    }

    /// Returns the number of proxies that are bound to the table.
    pub(crate) fn bound_proxies(&self) -> usize {
        self.bound_proxies
    }

    /// Returns whether any proxy is bound to the table.
    pub(crate) fn is_used(&self) -> bool {
        self.bound_proxies > 0
    }

    /// Records a message to the table's proxies. Further updates in the same batch belong to the same message.
    pub(crate) fn record_message(&mut self, message: SentMessage) {
        if !self.has_message_in(message.batch) {
            self.messages.push_back(message);
        }
    }

    /// Returns whether this batch already has a message for the table's proxies.
    fn has_message_in(&self, batch: u64) -> bool {
        let last = self.messages.back();
        last.is_some_and(|message| message.batch == batch)
    }

    /// Removes the message of a batch that is known not to have been applied.
    pub(crate) fn remove_message(&mut self, batch: u64) {
        self.messages.retain(|message| message.batch != batch);
    }

    /// Clears the messages of a table whose proxies are all new.
    pub(crate) fn clear_messages(&mut self) {
        self.messages.clear();
    }

    /// Drops messages that are older than the window of the message cap.
    pub(crate) fn drop_old_messages(&mut self, now: Time, cap: &MessageCap) {
        self.messages
            .retain(|message| now - message.sent_at <= cap.window());
    }

    fn recent_messages(&self, now: Time, cap: &MessageCap) -> impl Iterator<Item = Time> {
        let window = cap.window();
        let sent = self.messages.iter().map(|message| message.sent_at);
        sent.filter(move |&at| now - at <= window)
    }

    /// Returns the number of messages to one of the table's proxies that count against the cap, including its binding.
    pub(crate) fn messages_used(&self, now: Time, cap: &MessageCap) -> usize {
        1 + self.recent_messages(now, cap).count()
    }

    /// Returns whether a message may be sent to the table's proxies in this batch, where the message cap must have
    /// `messages` tokens.
    pub(crate) fn has_tokens(&self, next: SentMessage, cap: &MessageCap, messages: f64) -> bool {
        let now = next.sent_at;
        self.has_message_in(next.batch)
            || cap.has_tokens(now, self.recent_messages(now, cap), messages)
    }

    /// Returns since when the message cap has held back a safety-critical update, or `None` if it holds back none.
    pub(crate) fn safety_held_since(&self) -> Option<Time> {
        self.cap_holds.safety_held_since
    }

    /// Returns which of the table's updates the message cap has held back.
    pub(crate) fn cap_holds(&self) -> &CapHolds {
        &self.cap_holds
    }

    /// Records that the message cap holds back an update.
    pub(crate) fn record_cap_hold(&mut self, now: Time, reason: UpdateReason) {
        let holds = &mut self.cap_holds;
        *holds.held_back_for.of_mut(reason) += 1.0;
        if reason >= UpdateReason::Hazard {
            let since = *holds.safety_held_since.get_or_insert(now);
            holds.longest_safety_hold = holds.longest_safety_hold.max(now - since);
        }
    }

    /// Records whether a safety-critical update is due.
    pub(crate) fn set_safety_due(&mut self, is_due: bool) {
        self.cap_holds.safety_held_since.take_if(|_| !is_due);
    }

    /// Returns since when the table has had unsent differences, or `None` if it has none.
    pub(crate) fn pending_since(&self) -> Option<Time> {
        self.pending_since
    }

    /// Records whether the table has unsent differences.
    pub(crate) fn set_pending(&mut self, now: Time, is_pending: bool) {
        self.pending_since = self.pending_since.or(Some(now)).filter(|_| is_pending);
    }

    /// Records that the table's differences are sent.
    pub(crate) fn clear_pending(&mut self) {
        self.pending_since = None;
        self.cap_holds.safety_held_since = None;
    }

    /// Returns the number of classes whose admitted fraction or retry policy differs from what was sent.
    pub(crate) fn changed_admissions(&self, fractions: &[f64], retry_policy: RetryPolicy) -> usize {
        let fraction_changed = |class: usize| self.sent_fractions[class] != Some(fractions[class]);
        let policy_changed = |class: usize| self.sent_retry_policies[class] != Some(retry_policy);
        let classes = 0..self.sent_fractions.len().min(fractions.len());
        classes
            .filter(|&class| fraction_changed(class) || policy_changed(class))
            .count()
    }

    /// Returns whether the table's proxies admit or retry so much, by what they were sent, that its warming hosts are at
    /// risk.
    pub(crate) fn exceeds(&self, admission: &TableAdmission) -> bool {
        let is_stopped = admission.retry_policy() == RetryPolicy::Never;
        let retries_to_warming_hosts =
            is_stopped && admission.has_warming_hosts() && self.may_retry();
        retries_to_warming_hosts || admission.is_exceeded_by(&self.sent_fractions)
    }

    /// Returns whether the table's proxies may have been told to retry attempts of a class.
    pub(crate) fn may_retry(&self) -> bool {
        let is_stopped = |sent: &Option<RetryPolicy>| *sent == Some(RetryPolicy::Never);
        !self.sent_retry_policies.iter().all(is_stopped)
    }

    /// Records that an admitted fraction and the retry policy of a class are sent. Returns whether they differ from the
    /// last ones.
    pub(crate) fn mark_admission_sent(
        &mut self,
        class: usize,
        fraction: f64,
        retry_policy: RetryPolicy,
    ) -> bool {
        let before = self.sent_fractions[class].replace(fraction);
        let policy_before = self.sent_retry_policies[class].replace(retry_policy);
        before != Some(fraction) || policy_before != Some(retry_policy)
    }

    /// Records that the admitted fraction and the retry policy of a class may not have been applied.
    pub(crate) fn mark_admission_unconfirmed(&mut self, class: usize) {
        self.sent_fractions[class] = None;
        self.sent_retry_policies[class] = None;
    }
}

/// Returns the initial state of all tables.
pub(crate) fn new_tables(layout: &TableLayout, config: &DeploymentConfig) -> Vec<TableState> {
    // Updates set `RetryPolicy::IfUnprocessed` unless retries are stopped. After other failures, retries do not help even
    // idempotent classes: waiting for them cuts slow responses short, and they increase overload. If this is the default
    // policy too, the proxies need no initial update.
    let is_default = config.base_retry_policy == Some(RetryPolicy::IfUnprocessed);
    let table = TableState {
        sent_fractions: vec![is_default.then_some(1.0); config.request_classes.len()],
        sent_retry_policies: vec![config.base_retry_policy; config.request_classes.len()],
        ..TableState::default()
    };
    vec![table; layout.len()]
}
