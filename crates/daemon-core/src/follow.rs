//! What follows from an input: proxies there is room for are joined, decisions pulled, and differences written.

use crate::channel::Room;
use crate::course::Course;
use crate::event::Event;
use crate::output::Output;
use crate::peer::{Link, Peer};
use pondarch_controller::{Decision, RequestClassId, TableId};
use pondarch_proxy_session::{Urgency, Wanted, table};
use std::collections::{BTreeMap, BTreeSet};

impl Course {
    /// Joins those there is room for, pulls decisions, and brings proxies up to date.
    pub(crate) fn settle(&mut self) {
        // Before the first list the module decides nothing: proxies are looked at, keep what they hold, and are
        // joined when it comes.
        if self.list.version == 0 {
            return;
        }
        self.join_known();
        self.pull();
        self.renew_view();
        self.dispatch();
    }

    fn join_known(&mut self) {
        if !self
            .peers
            .iter()
            .any(|peer| matches!(peer.link, Link::Known { .. }))
        {
            return;
        }
        // Two commands a line and kind for the largest table so far, and the maps.
        let largest = self
            .books
            .books
            .values()
            .map(|book| book.dealt.len())
            .max()
            .unwrap_or(0)
            .max(8);
        let lines = (2 * largest * self.kinds.len() + 2 * self.kinds.len() + 1) as f64;
        let pending = self
            .peers
            .iter()
            .filter(|p| p.is_joined() && p.dirty.is_some())
            .count();
        let mut room = self.channel.joins(lines, pending);
        for n in 0..self.peers.len() {
            let Link::Known { fresh } = self.peers[n].link else {
                continue;
            };
            if room == 0 {
                break;
            }
            room -= 1;
            let (now, cause) = (self.now, self.cause.clone());
            let peer = &mut self.peers[n];
            peer.link = Link::Joined;
            peer.mark_dirty(now, &cause);
            self.steward
                .proxy_joined(now, peer.id, fresh, peer.usual, peer.zone);
            let proxy = peer.name.clone();
            self.tell(Event::ProxyJoined {
                proxy,
                fresh,
                cause,
            });
        }
    }

    fn pull(&mut self) {
        let mut lines: BTreeMap<TableId, Vec<(String, f64)>> = BTreeMap::new();
        let mut touched: BTreeSet<TableId> = BTreeSet::new();
        while let Some(ruling) = self.steward.next_decision(self.now) {
            self.touch_names();
            match ruling {
                Decision::SetWeight {
                    table,
                    host,
                    weight,
                } => {
                    lines
                        .entry(table)
                        .or_default()
                        .push((host.0.to_string(), weight.unwrap_or(0.0)));
                    self.books.deal(table, host, weight);
                    touched.insert(table);
                }
                Decision::BindProxy {
                    proxy,
                    table,
                    classes: kinds,
                } => self.bind(proxy.0, table, &kinds),
                Decision::SetAdmissionRate {
                    table,
                    class: kind,
                    quota,
                    retry_policy: tries,
                } => {
                    self.books.level(table, kind, quota, tries);
                    touched.insert(table);
                    let (kind, tries) = (
                        self.kinds[kind.0 as usize].clone(),
                        table::tries_word(tries).into(),
                    );
                    let cause = self.cause.clone();
                    self.tell(Event::AdmissionChanged {
                        table: table.0,
                        class: kind,
                        quota,
                        retry_policy: tries,
                        cause,
                    });
                }
                Decision::CheckHealth(host) => {
                    if let Some(addr) = self.list.address(&host) {
                        let host = host.0.to_string();
                        self.out.push_back(Output::CheckHealth {
                            host,
                            address: addr,
                            for_load: false,
                        });
                    }
                }
                // The list is followed by the edge at all times; a session knows by itself what its proxy has applied.
                Decision::WatchEndpoints | Decision::RequestAck(_) => {}
                Decision::SetTimer(span) => self.woken_at = Some(self.now + span),
            }
        }
        for (table, lines) in lines {
            let cause = self.cause.clone();
            self.tell(Event::TableChanged {
                table: table.0,
                weights: lines,
                cause,
            });
        }
        for table in touched {
            self.mark_table(table);
            for host in self.books.newly_held_back(table, &self.list, self.now) {
                let host = host.0.to_string();
                self.tell(Event::WeightTooSmall {
                    table: table.0,
                    host,
                });
            }
        }
    }

    fn bind(&mut self, proxy: u16, table: TableId, kinds: &[RequestClassId]) {
        let (now, cause) = (self.now, self.cause.clone());
        let all: Vec<RequestClassId> = (0..self.kinds.len())
            .map(|k| RequestClassId(k as u8))
            .collect();
        let Some(peer) = self.peers.get_mut(proxy as usize) else {
            return;
        };
        let kinds = if kinds.is_empty() { &all } else { kinds };
        peer.bound.extend(kinds.iter().map(|kind| (*kind, table)));
        peer.mark_dirty(now, &cause);
        let proxy = peer.name.clone();
        self.tell(Event::ProxyBound {
            proxy,
            table: table.0,
            cause,
        });
    }

    pub(crate) fn mark_table(&mut self, table: TableId) {
        let (now, cause) = (self.now, self.cause.clone());
        for peer in self
            .peers
            .iter_mut()
            .filter(|peer| peer.bound.values().any(|t| *t == table))
        {
            peer.mark_dirty(now, &cause);
        }
    }

    /// All that a proxy should hold.
    fn wanted(&mut self, n: usize) -> Wanted {
        let mut wanted = Wanted::default();
        for (&kind, &table) in &self.peers[n].bound {
            wanted
                .lines
                .insert(kind, self.books.lines(table, &self.list, self.now));
            if let Some((level, tries)) = self.books.levels(table, kind, self.by_rate) {
                wanted.levels.insert(kind, level);
                wanted.tries.insert(kind, tries);
            }
        }
        wanted
    }

    /// Writes the differences that are due: drains first, then joins, then the longest waiting.
    fn dispatch(&mut self) {
        let now = self.now;
        let may = |peer: &Peer| {
            let waits = peer.blocked_until.is_some_and(|until| until > now);
            peer.is_joined() && peer.dirty.is_some() && !waits && peer.session.is_quiet()
        };
        let ready: Vec<usize> = (0..self.peers.len())
            .filter(|&n| may(&self.peers[n]))
            .collect();
        let mut due = Vec::new();
        for n in ready {
            let wanted = self.wanted(n);
            let (list, peer) = (&self.list, &mut self.peers[n]);
            match peer.session.due(now, &wanted, |host| list.must_go(host)) {
                Some(batch) => {
                    due.push((batch.urgency, peer.dirty.as_ref().map(|d| d.0), n, batch))
                }
                // Nothing to do, unless a refused line is left for later.
                None if peer.session.next_due().is_none() => peer.dirty = None,
                None => {}
            }
        }
        due.sort_by_key(|(urgency, since, n, _)| (std::cmp::Reverse(*urgency), *since, *n));
        let mut full = false;
        for (urgency, _, n, batch) in due {
            let peer = &mut self.peers[n];
            match self
                .channel
                .room(now, &mut peer.mail, batch.steps.len() + 1, urgency)
            {
                Room::Now if !full || urgency == Urgency::Drain => {
                    // The version is one more.
                    let commands = batch.steps.len() + 1;
                    peer.in_flight = self.channel.wrote(now, &mut peer.mail, commands);
                    peer.silent_since = Some(now);
                    peer.blocked_until = None;
                    peer.ordered += commands as u64;
                    let cause = peer.dirty.take().map(|dirty| dirty.1).unwrap_or_default();
                    let (proxy, conn) = (peer.id.0, peer.conn);
                    let lines = peer.session.order(now, batch);
                    self.out.push_back(Output::Write {
                        proxy,
                        connection: conn,
                        lines,
                    });
                    let (proxy, urgency) = (peer.name.clone(), urgency_word(urgency).into());
                    self.tell(Event::UpdateSent {
                        proxy,
                        commands,
                        urgency,
                        cause,
                    });
                }
                Room::At(at, why) => {
                    peer.blocked_until = Some(at);
                    let proxy = peer.name.clone();
                    if why != "pace" {
                        self.tell(Event::UpdateDelayed {
                            proxy,
                            reason: why.into(),
                        });
                    }
                }
                // Whoever is behind this one waits as well, or small messages would keep a large one out for ever.
                Room::Now | Room::AfterAnswers => full = true,
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
