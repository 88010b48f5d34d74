//! Carries out what follows from an input: joins waiting proxies, takes the controller's decisions, and sends updates.

use crate::event::Event;
use crate::output::Output;
use crate::peer::{LinkState, Peer};
use crate::state::DaemonState;
use crate::table_assignments::ClassAdmission;
use crate::update_queue::QueueCapacity;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{Decision, HostId, RequestClassId, TableId, Time};
use pondarch_proxy_session::{DesiredState, UpdateBatch, Urgency, proxy_state};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// An update that is due to one proxy.
struct DueUpdate {
    /// Since when it is due.
    since: Option<Time>,
    /// Index of the proxy.
    proxy: usize,
    batch: UpdateBatch,
}

impl DaemonState {
    /// Joins the waiting proxies that the update queue has room for, takes decisions, and sends updates.
    pub(crate) fn follow_up(&mut self) {
        // Nothing is decided before the first endpoint list. Until then proxies keep the tables they hold and only
        // their state is read; they are joined when the list arrives.
        if self.endpoints.generation == 0 {
            return;
        }
        self.join_waiting_proxies();
        self.take_decisions();
        self.update_dns_view();
        self.send_updates();
    }

    fn join_waiting_proxies(&mut self) {
        if !self
            .peers
            .iter()
            .any(|peer| matches!(peer.link, LinkState::AwaitingJoin { .. }))
        {
            return;
        }
        // A join takes two commands for each line and request class of the largest table so far, plus the map entries.
        let max_lines = self
            .tables
            .by_id
            .values()
            .map(|assignment| assignment.weights.len())
            .max()
            .unwrap_or(0)
            .max(8);
        let commands = (2 * max_lines * self.request_classes.len()
            + 2 * self.request_classes.len()
            + 1) as f64;
        let pending = self
            .peers
            .iter()
            .filter(|peer| peer.is_joined() && peer.pending_update.is_some())
            .count();
        let mut remaining_joins = self.update_queue.possible_joins(commands, pending);
        for index in 0..self.peers.len() {
            let LinkState::AwaitingJoin { fresh } = self.peers[index].link else {
                continue;
            };
            if remaining_joins == 0 {
                break;
            }
            remaining_joins -= 1;
            let now = self.now;
            let cause = self.cause.clone();
            let peer = &mut self.peers[index];
            peer.link = LinkState::Joined;
            peer.require_update(now, &cause);
            self.controller.proxy_joined(
                now,
                JoiningProxy {
                    id: peer.id,
                    zone: peer.zone,
                    newly_started: fresh,
                    usual_rate: peer.usual_rate,
                },
            );
            let proxy = peer.name.clone();
            self.log_event(Event::ProxyJoined {
                proxy,
                fresh,
                cause,
            });
        }
    }

    fn take_decisions(&mut self) {
        let mut changed_weights: BTreeMap<TableId, Vec<(String, f64)>> = BTreeMap::new();
        let mut changed_tables: BTreeSet<TableId> = BTreeSet::new();
        while let Some(decision) = self.controller.next_decision(self.now) {
            self.mark_dns_view_outdated();
            match decision {
                Decision::SetWeight {
                    table,
                    host,
                    weight,
                } => {
                    changed_weights
                        .entry(table)
                        .or_default()
                        .push((host.0.to_string(), weight.unwrap_or(0.0)));
                    self.tables.set_weight(table, host, weight);
                    changed_tables.insert(table);
                }
                Decision::BindProxy {
                    proxy,
                    table,
                    classes,
                } => self.bind_proxy(proxy.0, table, &classes),
                Decision::SetAdmissionRate {
                    table,
                    class,
                    quota,
                    retry_policy,
                } => {
                    let admission = ClassAdmission {
                        quota,
                        retry_policy,
                    };
                    self.tables.set_admission(table, class, admission);
                    changed_tables.insert(table);
                    self.log_admission_change(table, class, admission);
                }
                Decision::CheckHealth(host) => self.request_health_check(&host),
                // The daemon watches the endpoint list at all times, and sessions track acknowledgements by themselves.
                Decision::WatchEndpoints | Decision::RequestAck(_) => {}
                Decision::SetTimer(delay) => self.timer_at = Some(self.now + delay),
            }
        }
        self.log_weight_changes(changed_weights);
        self.require_updates_of_tables(changed_tables);
    }

    fn log_admission_change(
        &mut self,
        table: TableId,
        class: RequestClassId,
        admission: ClassAdmission,
    ) {
        let event = Event::AdmissionChanged {
            table: table.0,
            class: self.request_classes[class.0 as usize].clone(),
            quota: admission.quota,
            retry_policy: proxy_state::retry_policy_value(admission.retry_policy).into(),
            cause: self.cause.clone(),
        };
        self.log_event(event);
    }

    fn request_health_check(&mut self, host: &HostId) {
        if let Some(address) = self.endpoints.address(host) {
            self.outputs.push_back(Output::CheckHealth {
                host: host.0.to_string(),
                address,
                for_load: false,
            });
        }
    }

    fn log_weight_changes(&mut self, weights: BTreeMap<TableId, Vec<(String, f64)>>) {
        for (table, weights) in weights {
            let cause = self.cause.clone();
            self.log_event(Event::TableChanged {
                table: table.0,
                weights,
                cause,
            });
        }
    }

    /// Marks the proxies of these tables for an update, and logs hosts whose weight has become too small to be sent.
    fn require_updates_of_tables(&mut self, tables: BTreeSet<TableId>) {
        for table in tables {
            self.require_table_update(table);
            for host in self
                .tables
                .newly_too_small(table, &self.endpoints, self.now)
            {
                let host = host.0.to_string();
                self.log_event(Event::WeightTooSmall {
                    table: table.0,
                    host,
                });
            }
        }
    }

    /// Binds a proxy to a table, for these request classes; an empty slice stands for all.
    fn bind_proxy(&mut self, proxy: u16, table: TableId, classes: &[RequestClassId]) {
        let now = self.now;
        let cause = self.cause.clone();
        let all: Vec<RequestClassId> = (0..self.request_classes.len())
            .map(|index| RequestClassId(index as u8))
            .collect();
        let Some(peer) = self.peers.get_mut(proxy as usize) else {
            return;
        };
        let classes = if classes.is_empty() { &all } else { classes };
        peer.bindings
            .extend(classes.iter().map(|class| (*class, table)));
        peer.require_update(now, &cause);
        let proxy = peer.name.clone();
        self.log_event(Event::ProxyBound {
            proxy,
            table: table.0,
            cause,
        });
    }

    /// Marks the proxies that are bound to a table for an update.
    pub(crate) fn require_table_update(&mut self, table: TableId) {
        let now = self.now;
        let cause = self.cause.clone();
        for peer in self
            .peers
            .iter_mut()
            .filter(|peer| peer.bindings.values().any(|bound| *bound == table))
        {
            peer.require_update(now, &cause);
        }
    }

    /// The lines and admission that a proxy should hold.
    fn wanted_state(&mut self, index: usize) -> DesiredState {
        let mut wanted = DesiredState::default();
        for (&class, &table) in &self.peers[index].bindings {
            wanted
                .lines
                .insert(class, self.tables.lines(table, &self.endpoints, self.now));
            if let Some((level, retry_policy)) =
                self.tables.admission(table, class, self.admits_by_rate)
            {
                wanted.quotas.insert(class, level);
                wanted.retry_policies.insert(class, retry_policy);
            }
        }
        wanted
    }

    /// Sends the updates that are due: drains first, then joins, then in the order in which they became due.
    fn send_updates(&mut self) {
        let now = self.now;
        let mut queue_full = false;
        for DueUpdate { proxy, batch, .. } in self.due_updates() {
            let peer = &mut self.peers[proxy];
            let urgency = batch.urgency;
            let commands = batch.updates.len() + 1;
            match self
                .update_queue
                .capacity(now, &mut peer.sent_messages, commands, urgency)
            {
                QueueCapacity::Available if !queue_full || urgency == Urgency::Drain => {
                    self.send_update(proxy, batch);
                }
                QueueCapacity::AvailableAt(at, reason) => {
                    peer.blocked_until = Some(at);
                    let proxy = peer.name.clone();
                    if reason != "pace" {
                        self.log_event(Event::UpdateDelayed {
                            proxy,
                            reason: reason.into(),
                        });
                    }
                }
                // Updates after this one wait as well; otherwise small messages could keep a large one waiting for
                // ever.
                QueueCapacity::Available | QueueCapacity::AvailableAfterReplies => {
                    queue_full = true;
                }
            }
        }
    }

    /// The updates that may be sent now, in the order of sending.
    fn due_updates(&mut self) -> Vec<DueUpdate> {
        let now = self.now;
        let is_sendable = |peer: &Peer| {
            let blocked = peer.blocked_until.is_some_and(|until| until > now);
            peer.is_joined() && peer.pending_update.is_some() && !blocked && peer.session.is_idle()
        };
        let sendable: Vec<usize> = (0..self.peers.len())
            .filter(|&index| is_sendable(&self.peers[index]))
            .collect();
        let mut due = Vec::new();
        for proxy in sendable {
            let wanted = self.wanted_state(proxy);
            let list = &self.endpoints;
            let peer = &mut self.peers[proxy];
            match peer
                .session
                .next_batch(now, &wanted, |host| list.must_drain(host))
            {
                Some(batch) => due.push(DueUpdate {
                    since: peer.pending_update.as_ref().map(|pending| pending.since),
                    proxy,
                    batch,
                }),
                // The proxy is up to date, unless a rejected line is to be retried later.
                None if peer.session.next_retry_at().is_none() => peer.pending_update = None,
                None => {}
            }
        }
        due.sort_by_key(|update| (Reverse(update.batch.urgency), update.since, update.proxy));
        due
    }

    fn send_update(&mut self, proxy: usize, batch: UpdateBatch) {
        let now = self.now;
        let peer = &mut self.peers[proxy];
        let urgency = urgency_word(batch.urgency).into();
        // One more command sets the version of the update.
        let commands = batch.updates.len() + 1;
        peer.in_flight = self
            .update_queue
            .record_sent(now, &mut peer.sent_messages, commands);
        peer.silent_since = Some(now);
        peer.blocked_until = None;
        peer.commands_sent += commands as u64;
        let cause = peer
            .pending_update
            .take()
            .map(|pending| pending.cause)
            .unwrap_or_default();
        let lines = peer.session.send_batch(now, batch);
        self.outputs.push_back(Output::Write {
            proxy: peer.id.0,
            connection: peer.connection,
            lines,
        });
        let proxy = peer.name.clone();
        self.log_event(Event::UpdateSent {
            proxy,
            commands,
            urgency,
            cause,
        });
    }
}

fn urgency_word(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Ordinary => "ordinary",
        Urgency::Join => "join",
        Urgency::Drain => "drain",
    }
}
