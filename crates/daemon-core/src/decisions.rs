//! What follows from an input: proxies there is room for are joined, decisions pulled, and differences written.

use crate::event::Event;
use crate::output::Output;
use crate::peer::{Link, Peer};
use crate::state::DaemonState;
use crate::update_queue::QueueCapacity;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{Decision, RequestClassId, TableId};
use pondarch_proxy_session::{Urgency, Wanted, table};
use std::collections::{BTreeMap, BTreeSet};

impl DaemonState {
    /// Joins those there is room for, pulls decisions, and brings proxies up to date.
    pub(crate) fn follow_up(&mut self) {
        // Before the first list the module decides nothing: proxies are looked at, keep what they hold, and are
        // joined when it comes.
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
            .any(|peer| matches!(peer.link, Link::Waiting { .. }))
        {
            return;
        }
        // Two commands a line and kind for the largest table so far, and the maps.
        let largest = self
            .tables
            .by_id
            .values()
            .map(|assignment| assignment.weights.len())
            .max()
            .unwrap_or(0)
            .max(8);
        let lines =
            (2 * largest * self.request_classes.len() + 2 * self.request_classes.len() + 1) as f64;
        let pending = self
            .peers
            .iter()
            .filter(|p| p.is_joined() && p.pending_update.is_some())
            .count();
        let mut room = self.update_queue.possible_joins(lines, pending);
        for n in 0..self.peers.len() {
            let Link::Waiting { fresh } = self.peers[n].link else {
                continue;
            };
            if room == 0 {
                break;
            }
            room -= 1;
            let now = self.now;
            let cause = self.cause.clone();
            let peer = &mut self.peers[n];
            peer.link = Link::Joined;
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
        let mut lines: BTreeMap<TableId, Vec<(String, f64)>> = BTreeMap::new();
        let mut touched: BTreeSet<TableId> = BTreeSet::new();
        while let Some(decision) = self.controller.next_decision(self.now) {
            self.mark_dns_view_outdated();
            match decision {
                Decision::SetWeight {
                    table,
                    host,
                    weight,
                } => {
                    lines
                        .entry(table)
                        .or_default()
                        .push((host.0.to_string(), weight.unwrap_or(0.0)));
                    self.tables.set_weight(table, host, weight);
                    touched.insert(table);
                }
                Decision::BindProxy {
                    proxy,
                    table,
                    classes: kinds,
                } => self.bind_proxy(proxy.0, table, &kinds),
                Decision::SetAdmissionRate {
                    table,
                    class: kind,
                    quota,
                    retry_policy: tries,
                } => {
                    self.tables.set_admission(table, kind, quota, tries);
                    touched.insert(table);
                    let kind = self.request_classes[kind.0 as usize].clone();
                    let tries = table::tries_word(tries).into();
                    let cause = self.cause.clone();
                    self.log_event(Event::AdmissionChanged {
                        table: table.0,
                        class: kind,
                        quota,
                        retry_policy: tries,
                        cause,
                    });
                }
                Decision::CheckHealth(host) => {
                    if let Some(addr) = self.endpoints.address(&host) {
                        let host = host.0.to_string();
                        self.outputs.push_back(Output::CheckHealth {
                            host,
                            address: addr,
                            for_load: false,
                        });
                    }
                }
                // The list is followed by the edge at all times; a session knows by itself what its proxy has applied.
                Decision::WatchEndpoints | Decision::RequestAck(_) => {}
                Decision::SetTimer(span) => self.timer_at = Some(self.now + span),
            }
        }
        for (table, lines) in lines {
            let cause = self.cause.clone();
            self.log_event(Event::TableChanged {
                table: table.0,
                weights: lines,
                cause,
            });
        }
        for table in touched {
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

    fn bind_proxy(&mut self, proxy: u16, table: TableId, kinds: &[RequestClassId]) {
        let now = self.now;
        let cause = self.cause.clone();
        let all: Vec<RequestClassId> = (0..self.request_classes.len())
            .map(|k| RequestClassId(k as u8))
            .collect();
        let Some(peer) = self.peers.get_mut(proxy as usize) else {
            return;
        };
        let kinds = if kinds.is_empty() { &all } else { kinds };
        peer.bindings
            .extend(kinds.iter().map(|kind| (*kind, table)));
        peer.require_update(now, &cause);
        let proxy = peer.name.clone();
        self.log_event(Event::ProxyBound {
            proxy,
            table: table.0,
            cause,
        });
    }

    pub(crate) fn require_table_update(&mut self, table: TableId) {
        let now = self.now;
        let cause = self.cause.clone();
        for peer in self
            .peers
            .iter_mut()
            .filter(|peer| peer.bindings.values().any(|t| *t == table))
        {
            peer.require_update(now, &cause);
        }
    }

    /// All that a proxy should hold.
    fn wanted_state(&mut self, n: usize) -> Wanted {
        let mut wanted = Wanted::default();
        for (&kind, &table) in &self.peers[n].bindings {
            wanted
                .lines
                .insert(kind, self.tables.lines(table, &self.endpoints, self.now));
            if let Some((level, tries)) = self.tables.admission(table, kind, self.admits_by_rate) {
                wanted.levels.insert(kind, level);
                wanted.tries.insert(kind, tries);
            }
        }
        wanted
    }

    /// Writes the differences that are due: drains first, then joins, then the longest waiting.
    fn send_updates(&mut self) {
        let now = self.now;
        let may = |peer: &Peer| {
            let waits = peer.blocked_until.is_some_and(|until| until > now);
            peer.is_joined() && peer.pending_update.is_some() && !waits && peer.session.is_quiet()
        };
        let ready: Vec<usize> = (0..self.peers.len())
            .filter(|&n| may(&self.peers[n]))
            .collect();
        let mut due = Vec::new();
        for n in ready {
            let wanted = self.wanted_state(n);
            let list = &self.endpoints;
            let peer = &mut self.peers[n];
            match peer.session.due(now, &wanted, |host| list.must_drain(host)) {
                Some(batch) => due.push((
                    batch.urgency,
                    peer.pending_update.as_ref().map(|d| d.0),
                    n,
                    batch,
                )),
                // Nothing to do, unless a refused line is left for later.
                None if peer.session.next_due().is_none() => peer.pending_update = None,
                None => {}
            }
        }
        due.sort_by_key(|(urgency, since, n, _)| (std::cmp::Reverse(*urgency), *since, *n));
        let mut full = false;
        for (urgency, _, n, batch) in due {
            let peer = &mut self.peers[n];
            match self.update_queue.capacity(
                now,
                &mut peer.sent_messages,
                batch.steps.len() + 1,
                urgency,
            ) {
                QueueCapacity::Available if !full || urgency == Urgency::Drain => {
                    // The version is one more.
                    let commands = batch.steps.len() + 1;
                    peer.in_flight =
                        self.update_queue
                            .record_sent(now, &mut peer.sent_messages, commands);
                    peer.silent_since = Some(now);
                    peer.blocked_until = None;
                    peer.commands_sent += commands as u64;
                    let cause = peer
                        .pending_update
                        .take()
                        .map(|dirty| dirty.1)
                        .unwrap_or_default();
                    let proxy = peer.id.0;
                    let connection = peer.connection;
                    let lines = peer.session.order(now, batch);
                    self.outputs.push_back(Output::Write {
                        proxy,
                        connection,
                        lines,
                    });
                    let proxy = peer.name.clone();
                    let urgency = urgency_word(urgency).into();
                    self.log_event(Event::UpdateSent {
                        proxy,
                        commands,
                        urgency,
                        cause,
                    });
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
                // Whoever is behind this one waits as well, or small messages would keep a large one out for ever.
                QueueCapacity::Available | QueueCapacity::AvailableAfterReplies => full = true,
            }
        }
    }
}

fn urgency_word(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Ordinary => "ordinary",
        Urgency::Join => "join",
        Urgency::Drain => "drain",
    }
}
