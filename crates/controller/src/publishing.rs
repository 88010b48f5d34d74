//! Publishing: when differences between what tables should hold and what was sent go out to the proxies, and which of them.

use crate::config::{AdmissionMode, DeploymentConfig, RetryPolicy};
use crate::decision::Decision;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::ids::{RequestClassId, TableId};
use crate::memberships::TableMembership;
use crate::message_budget::MessageCap;
use crate::proxy::ProxyRegistry;
use crate::shards::MIN_TABLE_HOSTS;
use crate::tables::{SentMessage, TableLayout, TableState};
use crate::time::Time;
use crate::update_queue::{UpdateQueue, UpdateReason};
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which differences gather before they are sent (docs/design.md).
pub(crate) const UPDATE_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same for expedited updates.
pub(crate) const EXPEDITED_INTERVAL: Duration = Duration::from_millis(200);
/// Messages that the cap must have room for before an update goes out: one that can wait leaves one for the next that a rule
/// asks for.
const DEFERRABLE_TOKENS: f64 = 2.0;
pub(crate) const URGENT_TOKENS: f64 = 1.0;

/// What the deployment states of updates.
pub(crate) struct UpdatePolicy {
    pub(crate) message_cap: MessageCap,
    /// Whether crossing zones has a price.
    pub(crate) prefers_own_zone: bool,
    /// Time for which ordinary differences gather.
    gather_interval: Duration,
    /// Updates that can be carried out together.
    max_batch_size: usize,
    /// Whether proxies count admitted requests a second, rather than a part.
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
            gather_interval: UPDATE_INTERVAL.max(message_cap.refill_interval()),
            message_cap,
            prefers_own_zone: config.cross_zone_cost > 0.0,
            max_batch_size,
            admits_by_rate: config.admission == AdmissionMode::Rate,
        }
    }
}

/// Which differences of a table an update takes along.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateScope {
    /// All of them.
    All,
    /// Lines that are far too heavy or unconfirmed, whatever the update's reason: the rest waits for room in the queue.
    UnsafeLines,
    /// And hosts that are added to a short table: all that its proxies send fell to the few left, and pushed cold ones over.
    UnsafeAndAddedLines,
}

impl UpdateScope {
    fn includes(self, membership: &TableMembership) -> bool {
        let is_unsafe = membership.is_unconfirmed() || membership.is_far_too_heavy();
        let is_added = membership.sent_weight() == 0.0;
        let is_in_scope = match self {
            UpdateScope::All => true,
            UpdateScope::UnsafeLines => is_unsafe,
            UpdateScope::UnsafeAndAddedLines => is_unsafe || is_added,
        };
        membership.differs() && is_in_scope
    }
}

/// What one table asks for.
#[derive(Clone, Copy, Default)]
struct TableNeed {
    /// The most pressing of its differences; none: it is as it should be.
    reason: Option<UpdateReason>,
    /// Hosts that serve it by what was sent.
    serving: usize,
}

/// Whether an update may go out now, as far as its table goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Due {
    Now,
    /// Its differences gather for longer.
    Gathering,
    /// Its proxies have been sent as many messages as such an update may use.
    HeldByCap,
}

/// Whether all that was due has been looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum Published {
    All,
    /// The batch is full: the rest goes out once this is carried out.
    BatchFull,
}

/// One round of updates: what it reads, and what it changes.
pub(crate) struct UpdateRound<'a> {
    pub(crate) now: Time,
    /// The number of the batch that the updates go out in.
    pub(crate) batch: u64,
    pub(crate) policy: &'a UpdatePolicy,
    pub(crate) host_policy: &'a HostPolicy,
    pub(crate) layout: &'a TableLayout,
    /// Part of the requests of each class that is admitted.
    pub(crate) fractions: &'a [f64],
    pub(crate) hosts: &'a mut HostRegistry,
    pub(crate) proxies: &'a mut ProxyRegistry,
    pub(crate) tables: &'a mut [TableState],
    pub(crate) queue: &'a mut UpdateQueue,
    pub(crate) decisions: &'a mut VecDeque<Decision>,
}

impl UpdateRound<'_> {
    /// The message that a table's proxies are sent now.
    pub(crate) fn message(&self) -> SentMessage {
        SentMessage {
            sent_at: self.now,
            batch: self.batch,
        }
    }

    /// Whether the batch can take no more.
    pub(crate) fn is_full(&self) -> bool {
        self.decisions.len() >= self.policy.max_batch_size
    }

    /// Sends differences: lost hosts first, then hazards, expedited and ordinary updates, within one budget.
    pub(crate) fn publish_updates(&mut self) -> Published {
        self.queue.advance(self.now);
        let needs = self.table_needs();
        let mut due: Vec<(usize, UpdateReason)> = needs
            .iter()
            .enumerate()
            .filter_map(|(table, need)| Some((table, need.reason?)))
            .collect();
        due.sort_by_key(|&(table, reason)| (Reverse(reason), self.tables[table].pending_since()));
        for (table, reason) in due {
            if self.is_full() {
                return Published::BatchFull;
            }
            match self.due(table, reason) {
                Due::Now => {}
                Due::Gathering => continue,
                Due::HeldByCap => {
                    self.tables[table].note_held_by_cap(self.now, reason);
                    continue;
                }
            }
            let scope = self.scope(needs[table].serving);
            let lines = self.lines_due(table, scope);
            let messages = self.tables[table].bound_proxies();
            // An update with nothing in scope is no message, and must not count as one.
            if lines > 0 && self.queue.admits_update(self.now, reason, lines, messages) {
                self.send_update(table, reason, scope);
            }
        }
        Published::All
    }

    /// What each table with proxies asks for, noting since when it does.
    fn table_needs(&mut self) -> Vec<TableNeed> {
        let mut needs = vec![TableNeed::default(); self.tables.len()];
        for host in self.hosts.iter() {
            let is_usable = self.host_policy.is_usable(host, self.now);
            for membership in host.memberships.iter() {
                let need = &mut needs[membership.table()];
                need.reason = need.reason.max(self.update_reason(host, membership));
                let is_sent = membership.sent_weight() > 0.0 && !membership.is_unconfirmed();
                need.serving += usize::from(is_usable && is_sent);
            }
        }
        for (need, table) in needs.iter_mut().zip(self.tables.iter_mut()) {
            if !table.is_used() {
                need.reason = None;
                continue;
            }
            table.drop_old_messages(self.now, &self.policy.message_cap);
            if table.changed_fractions(self.fractions) > 0 {
                need.reason = need.reason.max(Some(UpdateReason::Ordinary));
            }
            // A table that has run empty is refilled as fast as a drain goes out.
            if need.reason.is_some() && need.serving == 0 {
                need.reason = Some(UpdateReason::Drain);
            }
            table.note_pending(self.now, need.reason.is_some());
            table.note_safety_due(need.reason >= Some(UpdateReason::Hazard));
        }
        needs
    }

    /// Why a line that proxies may hold breaks a rule if it stays: its host drains or was removed, or is a cold one whose
    /// line is still the warm one's.
    pub(crate) fn rule_breaking_reason(
        &self,
        host: &Host,
        membership: &TableMembership,
    ) -> Option<UpdateReason> {
        let is_heavy = membership.is_far_too_heavy() || membership.is_unconfirmed();
        if membership.may_be_held() && !self.host_policy.is_ready(host, self.now) {
            Some(UpdateReason::Drain)
        } else if !self.host_policy.is_warm(host, self.now) && is_heavy {
            Some(UpdateReason::Hazard)
        } else {
            None
        }
    }

    /// Why a line should be sent.
    fn update_reason(&self, host: &Host, membership: &TableMembership) -> Option<UpdateReason> {
        let is_held = membership.may_be_held();
        let is_heavy = membership.is_far_too_heavy();
        let is_unconfirmed = membership.is_unconfirmed();
        let is_usable = self.host_policy.is_usable(host, self.now);
        let rule_breaking = self.rule_breaking_reason(host, membership);
        if rule_breaking.is_some() {
            rule_breaking
        } else if is_held && !is_usable {
            // Not to be put off: a failing host.
            Some(UpdateReason::Hazard)
        } else if membership.target_weight() > 0.0 && is_heavy || is_unconfirmed {
            Some(UpdateReason::Expedited)
        } else {
            membership.differs().then_some(UpdateReason::Ordinary)
        }
    }

    /// Whether differences have gathered for long enough, and the message cap has room.
    fn due(&self, table: usize, reason: UpdateReason) -> Due {
        let table = &self.tables[table];
        let has_gathered = |interval: Duration| {
            let pending_since = table.pending_since();
            pending_since.is_some_and(|since| self.now - since >= interval)
        };
        let (has_gathered, tokens) = match reason {
            UpdateReason::Drain | UpdateReason::Hazard => (true, URGENT_TOKENS),
            UpdateReason::Expedited => (has_gathered(EXPEDITED_INTERVAL), DEFERRABLE_TOKENS),
            UpdateReason::Ordinary => {
                (has_gathered(self.policy.gather_interval), DEFERRABLE_TOKENS)
            }
        };
        let has_room = table.has_tokens(self.message(), &self.policy.message_cap, tokens);
        match (has_gathered, has_room) {
            (false, _) => Due::Gathering,
            (true, false) => Due::HeldByCap,
            (true, true) => Due::Now,
        }
    }

    /// Which differences go out to a table that so many hosts serve.
    fn scope(&self, serving: usize) -> UpdateScope {
        if serving == 0 || !self.queue.is_half_full() {
            UpdateScope::All
        } else if serving < MIN_TABLE_HOSTS {
            UpdateScope::UnsafeAndAddedLines
        } else {
            UpdateScope::UnsafeLines
        }
    }

    /// How many lines an update of a table has for each proxy that uses it.
    pub(crate) fn lines_due(&self, table: usize, scope: UpdateScope) -> usize {
        let memberships = self.hosts.iter().flat_map(|host| host.memberships.iter());
        let hosts = memberships
            .filter(|membership| membership.table() == table && scope.includes(membership))
            .count();
        match scope {
            UpdateScope::All => hosts + self.tables[table].changed_fractions(self.fractions),
            UpdateScope::UnsafeLines | UpdateScope::UnsafeAndAddedLines => hosts,
        }
    }

    /// The differences of one table that are in scope, to all who use it.
    pub(crate) fn send_update(&mut self, table: usize, reason: UpdateReason, scope: UpdateScope) {
        let decisions_before = self.decisions.len();
        self.send_weights(table, scope);
        if scope == UpdateScope::All {
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
        // Where proxies hold two tables, a message on either counts for both.
        let counted = if self.layout.has_zone_tables() {
            &mut self.tables[..]
        } else {
            &mut self.tables[table..=table]
        };
        for table in counted {
            table.count_message(message);
        }
    }

    fn send_weights(&mut self, table: usize, scope: UpdateScope) {
        for host in self.hosts.iter_mut() {
            let (id, memberships) = host.id_and_memberships_mut();
            for membership in memberships.iter_mut() {
                if membership.table() != table || !scope.includes(membership) {
                    continue;
                }
                self.decisions.push_back(Decision::SetWeight {
                    table: TableId(table as u16),
                    host: id.clone(),
                    weight: membership.mark_sent(),
                });
            }
        }
    }

    fn send_admission_rates(&mut self, table: usize) {
        for (class, &fraction) in self.fractions.iter().enumerate() {
            if !self.tables[table].mark_fraction_sent(class, fraction) {
                continue;
            }
            self.decisions.push_back(Decision::SetAdmissionRate {
                table: TableId(table as u16),
                class: RequestClassId(class as u8),
                quota: self.quota(class, fraction),
                retry_policy: RetryPolicy::IfUnprocessed,
            });
        }
    }

    /// What each proxy admits of a class. Where proxies count requests a second, the busiest proxy sets the measure.
    fn quota(&self, class: usize, fraction: f64) -> f64 {
        if !self.policy.admits_by_rate {
            return fraction;
        }
        let measure = if fraction < 1.0 {
            self.proxies.busiest_rate(class)
        } else {
            f64::from(u32::MAX)
        };
        fraction * measure
    }
}
