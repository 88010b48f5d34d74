//! Publishing: decides when and which differences between the target tables and the sent tables are sent to the
//! proxies.

use crate::config::{AdmissionMode, DeploymentConfig};
use crate::decision::Decision;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::{RequestClassId, TableId};
use crate::memberships::TableMembership;
use crate::message_budget::MessageCap;
use crate::proxy::ProxyRegistry;
use crate::shards::MIN_TABLE_HOSTS;
use crate::table_admission::TableAdmission;
use crate::tables::{SentMessage, TableLayout, TableState};
use crate::time::Time;
use crate::update_queue::{UpdateQueue, UpdateReason};
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum time for which ordinary differences accumulate before they are sent (see docs/design.md).
pub(crate) const UPDATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which expedited differences accumulate before they are sent.
pub(crate) const EXPEDITED_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a hazard waits for others if it would use the last message cap token: several changes of the endpoint
/// list may arrive one right after the other, and the message for the first counts as one that knows of the others.
const LAST_TOKEN_INTERVAL: Duration = Duration::from_millis(100);
/// Message cap tokens required for a hazard that has not waited, or that no change of a host has caused: the last token is
/// for such changes.
const NEW_HAZARD_TOKENS: f64 = 2.0;
/// Message cap tokens required for a safety-critical update or a binding.
pub(crate) const URGENT_TOKENS: f64 = 1.0;

/// The rules of a deployment for sending updates.
pub(crate) struct UpdatePolicy {
    pub(crate) message_cap: MessageCap,
    /// Whether proxies prefer tables of their own zone, because crossing zones has a cost.
    pub(crate) prefers_own_zone: bool,
    /// Time for which ordinary differences accumulate before they are sent.
    ordinary_interval: Duration,
    /// Maximum number of updates in one batch.
    max_batch_size: usize,
    /// Whether quotas are in requests per second rather than fractions.
    admits_by_rate: bool,
}

impl UpdatePolicy {
    pub(crate) fn new(config: &DeploymentConfig) -> UpdatePolicy {
        let message_cap = MessageCap::new(config);
        let max_batch_size = match config.max_batch_size {
            0 => usize::MAX,
            max_batch_size => max_batch_size as usize,
        };
        UpdatePolicy {
            ordinary_interval: UPDATE_INTERVAL.max(message_cap.refill_interval()),
            message_cap,
            prefers_own_zone: config.cross_zone_cost > 0.0,
            max_batch_size,
            admits_by_rate: config.admission == AdmissionMode::Rate,
        }
    }
}

/// Which differences of a table an update includes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateScope {
    /// All differences.
    All,
    /// Only unsafe lines, which are unconfirmed or have excess weight; the rest waits until the queue has capacity.
    UnsafeLines,
    /// Unsafe lines and hosts to be added. For small tables: without the added hosts, the few remaining ones got all
    /// requests of the proxies, which overloaded hosts that had just started.
    UnsafeAndAddedLines,
}

impl UpdateScope {
    fn includes(self, membership: &TableMembership) -> bool {
        let is_unsafe = membership.is_unconfirmed() || membership.has_excess_weight();
        let is_added = membership.sent_weight() == 0.0;
        let is_in_scope = match self {
            UpdateScope::All => true,
            UpdateScope::UnsafeLines => is_unsafe,
            UpdateScope::UnsafeAndAddedLines => is_unsafe || is_added,
        };
        membership.needs_update() && is_in_scope
    }
}

/// The pending update of one table.
#[derive(Clone, Copy, Default)]
struct PendingUpdate {
    /// The most urgent reason among its differences; `None` if there are none.
    reason: Option<UpdateReason>,
    /// Whether a line alone makes it safety-critical, by a change of its host.
    has_unsafe_line: bool,
    /// Number of usable hosts that the proxies have in the table.
    usable_hosts: usize,
    /// Number of those that stay in the table.
    kept_hosts: usize,
}

/// Whether the update of a table may be sent now, apart from the queue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Due {
    Now,
    /// Its differences accumulate for longer.
    Accumulating,
    /// The message cap has no token for it.
    HeldByCap,
}

/// Whether all due updates have been processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Published {
    All,
    /// The batch is full; the remaining updates follow in the next batch.
    BatchFull,
}

/// One round of updates, with the state that it reads and changes.
pub(crate) struct UpdateRound<'a> {
    pub(crate) now: Time,
    /// Number of the batch that the updates belong to.
    pub(crate) batch: u64,
    pub(crate) policy: &'a UpdatePolicy,
    pub(crate) host_policy: &'a HostPolicy,
    pub(crate) layout: &'a TableLayout,
    /// What is admitted to each table.
    pub(crate) admissions: &'a [TableAdmission],
    pub(crate) hosts: &'a mut HostRegistry,
    pub(crate) proxies: &'a mut ProxyRegistry,
    pub(crate) tables: &'a mut [TableState],
    pub(crate) queue: &'a mut UpdateQueue,
    pub(crate) decisions: &'a mut VecDeque<Decision>,
}

impl UpdateRound<'_> {
    /// Returns the message of this batch, to be recorded for the tables it is sent to.
    pub(crate) fn message(&self) -> SentMessage {
        SentMessage {
            sent_at: self.now,
            batch: self.batch,
        }
    }

    /// Returns whether the batch is full.
    pub(crate) fn is_full(&self) -> bool {
        self.decisions.len() >= self.policy.max_batch_size
    }

    /// Sends the due updates by urgency: drains first, then hazards, expedited and ordinary updates. They all share the
    /// capacity of the queue. `exposed_tables` says whether each table has a warming host that is at risk by the lines
    /// sent.
    pub(crate) fn publish_updates(&mut self, exposed_tables: &[bool]) -> Published {
        self.queue.advance(self.now);
        let pending = self.pending_updates(exposed_tables);
        let mut due: Vec<(usize, UpdateReason)> = pending
            .iter()
            .enumerate()
            .filter_map(|(table, update)| Some((table, update.reason?)))
            .collect();
        due.sort_by_key(|&(table, reason)| (Reverse(reason), self.tables[table].pending_since()));
        for (table, reason) in due {
            if self.is_full() {
                return Published::BatchFull;
            }
            match self.due(table, reason, pending[table].has_unsafe_line) {
                Due::Now => {}
                Due::Accumulating => continue,
                Due::HeldByCap => {
                    self.tables[table].record_cap_hold(self.now, reason);
                    continue;
                }
            }
            let scope = self.scope(pending[table].kept_hosts);
            let lines = self.lines_due(table, scope);
            let messages = self.tables[table].bound_proxies();
            // An update without lines in scope sends no message and must not count as one.
            if lines > 0 && self.queue.admits_update(self.now, reason, lines, messages) {
                self.send_update(table, reason, scope);
            }
        }
        Published::All
    }

    /// Returns the pending update of each table, and records for each table in use whether one is pending.
    fn pending_updates(&mut self, exposed_tables: &[bool]) -> Vec<PendingUpdate> {
        let mut pending = vec![PendingUpdate::default(); self.tables.len()];
        for host in self.hosts.iter() {
            let is_usable = self.host_policy.is_usable(host, self.now);
            for membership in host.memberships.iter() {
                let update = &mut pending[membership.table()];
                update.reason = update.reason.max(self.update_reason(host, membership));
                let is_sent = membership.sent_weight() > 0.0 && !membership.is_unconfirmed();
                update.usable_hosts += usize::from(is_usable && is_sent);
                let is_kept = is_usable && is_sent && membership.target_weight() > 0.0;
                update.kept_hosts += usize::from(is_kept);
            }
        }
        let is_half_full = self.queue.is_half_full();
        let tables = self.tables.iter_mut().zip(self.admissions);
        let tables = tables.zip(exposed_tables);
        for (update, ((table, admission), is_exposed)) in pending.iter_mut().zip(tables) {
            update.has_unsafe_line = update.reason >= Some(UpdateReason::Hazard);
            if !table.is_used() {
                update.reason = None;
                continue;
            }
            table.drop_old_messages(self.now, &self.policy.message_cap);
            let admission_reason = if table.exceeds(admission) {
                Some(UpdateReason::Hazard)
            } else {
                let changed =
                    table.changed_admissions(admission.fractions(), admission.retry_policy());
                let is_changed = changed > 0;
                is_changed.then_some(UpdateReason::Ordinary)
            };
            update.reason = update.reason.max(admission_reason);
            // In a queue that fills up, drains come first.
            if *is_exposed && !is_half_full {
                update.reason = update.reason.map(|reason| reason.max(UpdateReason::Hazard));
            }
            // A table without a usable host is refilled with the urgency of a drain.
            if update.reason.is_some() && update.usable_hosts == 0 {
                update.reason = Some(UpdateReason::Drain);
            }
            table.set_pending(self.now, update.reason.is_some());
            table.set_safety_due(update.reason >= Some(UpdateReason::Hazard));
        }
        pending
    }

    /// Returns the reason for a safety-critical update of a line, or `None`: its host is draining or was removed, or is
    /// warming up while the line still has the weight of the warm host.
    pub(crate) fn safety_reason(
        &self,
        host: &Host,
        membership: &TableMembership,
    ) -> Option<UpdateReason> {
        let may_have_excess_weight = membership.has_risky_weight() || membership.is_unconfirmed();
        if membership.may_be_held() && !self.host_policy.is_ready(host, self.now) {
            Some(UpdateReason::Drain)
        } else if !self.host_policy.is_warm(host, self.now) && may_have_excess_weight {
            Some(UpdateReason::Hazard)
        } else {
            None
        }
    }

    /// Returns the reason for sending a line, or `None` if it is up to date.
    fn update_reason(&self, host: &Host, membership: &TableMembership) -> Option<UpdateReason> {
        let is_held = membership.may_be_held();
        let has_excess_weight = membership.has_excess_weight();
        let is_unconfirmed = membership.is_unconfirmed();
        let is_usable = self.host_policy.is_usable(host, self.now);
        let safety_reason = self.safety_reason(host, membership);
        if safety_reason.is_some() {
            safety_reason
        } else if is_held && !is_usable {
            // An ejected host must not wait for the deferrable updates.
            Some(UpdateReason::Hazard)
        } else if membership.target_weight() > 0.0 && has_excess_weight || is_unconfirmed {
            Some(UpdateReason::Expedited)
        } else {
            membership.needs_update().then_some(UpdateReason::Ordinary)
        }
    }

    /// Returns whether the differences of a table have accumulated for long enough and the message cap has tokens.
    fn due(&self, table: usize, reason: UpdateReason, has_unsafe_line: bool) -> Due {
        let table = &self.tables[table];
        let is_old_enough = |interval: Duration| {
            let pending_since = table.pending_since();
            pending_since.is_some_and(|since| self.now - since >= interval)
        };
        let deferrable_tokens = self.policy.message_cap.deferrable_tokens();
        let (is_ready, tokens) = match reason {
            UpdateReason::Drain => (true, URGENT_TOKENS),
            UpdateReason::Hazard if has_unsafe_line => (true, self.hazard_tokens(table)),
            UpdateReason::Hazard => (true, NEW_HAZARD_TOKENS),
            UpdateReason::Expedited => (is_old_enough(EXPEDITED_INTERVAL), deferrable_tokens),
            UpdateReason::Ordinary => (
                is_old_enough(self.policy.ordinary_interval),
                deferrable_tokens,
            ),
        };
        let has_tokens = table.has_tokens(self.message(), &self.policy.message_cap, tokens);
        match (is_ready, has_tokens) {
            (false, _) => Due::Accumulating,
            (true, false) => Due::HeldByCap,
            (true, true) => Due::Now,
        }
    }

    /// Returns the message cap tokens that a hazard update of a table needs.
    fn hazard_tokens(&self, table: &TableState) -> f64 {
        let has_waited = table
            .safety_held_since()
            .is_some_and(|since| self.now - since >= LAST_TOKEN_INTERVAL);
        if has_waited {
            URGENT_TOKENS
        } else {
            NEW_HAZARD_TOKENS
        }
    }

    /// Returns which differences to send for a table of which this many usable hosts stay.
    fn scope(&self, kept_hosts: usize) -> UpdateScope {
        if kept_hosts == 0 || !self.queue.is_half_full() {
            UpdateScope::All
        } else if kept_hosts < MIN_TABLE_HOSTS {
            UpdateScope::UnsafeAndAddedLines
        } else {
            UpdateScope::UnsafeLines
        }
    }

    /// Returns the number of lines that an update of a table has for each of its proxies.
    pub(crate) fn lines_due(&self, table: usize, scope: UpdateScope) -> usize {
        let memberships = self.hosts.iter().flat_map(|host| host.memberships.iter());
        let hosts = memberships
            .filter(|membership| membership.table() == table && scope.includes(membership))
            .count();
        if self.sends_admission_rates(table, scope) {
            let admission = &self.admissions[table];
            let table = &self.tables[table];
            hosts + table.changed_admissions(admission.fractions(), admission.retry_policy())
        } else {
            hosts
        }
    }

    /// Returns whether an update of a table includes its admission rates.
    fn sends_admission_rates(&self, table: usize, scope: UpdateScope) -> bool {
        scope == UpdateScope::All || self.has_excess_admission(table)
    }

    /// Returns whether the table's proxies admit or retry so much that its warming hosts are at risk.
    pub(crate) fn has_excess_admission(&self, table: usize) -> bool {
        self.tables[table].exceeds(&self.admissions[table])
    }

    /// Sends the differences of one table that are in scope to all its proxies.
    pub(crate) fn send_update(&mut self, table: usize, reason: UpdateReason, scope: UpdateScope) {
        let decisions_before = self.decisions.len();
        let sends_admission_rates = self.sends_admission_rates(table, scope);
        self.send_weights(table, scope);
        if sends_admission_rates {
            self.send_admission_rates(table);
        }
        self.tables[table].clear_pending();
        let lines = self.decisions.len() - decisions_before;
        let messages = self.tables[table].bound_proxies();
        self.queue.send_update(reason, lines, messages);
        if messages == 0 {
            return;
        }
        let message = self.message();
        // If proxies have a zone table too, a message for one table counts for both.
        let counted = if self.layout.has_zone_tables() {
            &mut self.tables[..]
        } else {
            &mut self.tables[table..=table]
        };
        for table in counted {
            table.record_message(message);
        }
    }

    fn send_weights(&mut self, table: usize, scope: UpdateScope) {
        for host in self.hosts.iter_mut() {
            let started = host.started();
            let (id, memberships) = host.id_and_memberships_mut();
            for membership in memberships.iter_mut() {
                if membership.table() != table || !scope.includes(membership) {
                    continue;
                }
                self.decisions.push_back(Decision::SetWeight {
                    table: TableId(table as u16),
                    host: id.clone(),
                    weight: membership.mark_sent(started),
                });
            }
        }
    }

    fn send_admission_rates(&mut self, table: usize) {
        for (class, &fraction) in self.admissions[table].fractions().iter().enumerate() {
            let retry_policy = self.admissions[table].retry_policy();
            let state = &mut self.tables[table];
            if !state.mark_admission_sent(class, fraction, retry_policy) {
                continue;
            }
            self.decisions.push_back(Decision::SetAdmissionRate {
                table: TableId(table as u16),
                class: RequestClassId(class as u8),
                quota: self.quota(class, fraction),
                retry_policy,
            });
        }
    }

    /// Returns the quota of each proxy for a class. Quotas in requests per second are relative to the busiest proxy.
    fn quota(&self, class: usize, fraction: f64) -> f64 {
        if !self.policy.admits_by_rate {
            return fraction;
        }
        let full_rate = if fraction < 1.0 {
            self.proxies.busiest_rate(class)
        } else {
            f64::from(u32::MAX)
        };
        fraction * full_rate
    }
}
