//! When differences between what tables should hold and what was sent go out to the proxies, and which of them.

use super::{Controller, EXPEDITED_INTERVAL, MIN_TABLE_HOSTS, ORDINARY_CAP_PART, UpdateReason};
use crate::state::*;
use crate::*;
use std::time::Duration;

/// Part of the message cap that expedited updates may use.
const EXPEDITED_CAP_PART: f64 = 0.8;
/// Messages of the cap that are for drains alone: no drain may wait.
pub(super) const DRAIN_MESSAGES: usize = 2;
/// Part by which a weight is off before it is sent: less is not noticed.
const MIN_WEIGHT_CHANGE: f64 = 0.1;
/// Multiple of its due weight from which a line is a hazard.
const HAZARD_RATIO: f64 = 1.5;

/// What one table asks for.
#[derive(Clone, Copy, Default)]
struct TableNeed {
    /// The most pressing of its differences; none: it is as it should be.
    reason: Option<UpdateReason>,
    /// Hosts that serve it by what was sent.
    serving: usize,
}

impl Controller {
    /// Sends differences: lost hosts first, then hazards, expedited and ordinary updates, within one budget.
    pub(super) fn publish_updates(&mut self) {
        self.channel.advance(self.now);
        let needs = self.table_needs();
        let mut tables: Vec<usize> = (0..needs.len())
            .filter(|&t| needs[t].reason.is_some())
            .collect();
        tables.sort_by_key(|&t| {
            (
                std::cmp::Reverse(needs[t].reason),
                self.boards[t].differs_since,
            )
        });
        for t in tables {
            // The rest goes out once this is carried out.
            if self.out.len() >= self.ready.round_most {
                self.urgent = true;
                break;
            }
            let Some(reason) = needs[t].reason.filter(|reason| self.is_due(t, *reason)) else {
                continue;
            };
            let scope = self.scope(needs[t].serving);
            let (lines, bound) = (self.lines_due(t, scope), self.boards[t].bound);
            // An update with nothing in scope is no message, and must not count as one.
            if lines > 0 && self.channel.admits_update(self.now, reason, lines, bound) {
                self.send_update(t, reason, scope);
            }
        }
    }

    /// What each table with proxies asks for, noting since when it does.
    fn table_needs(&mut self) -> Vec<TableNeed> {
        let mut needs = vec![TableNeed::default(); self.boards.len()];
        for host in &self.hosts {
            let usable = self.ready.usable(host, self.now);
            for place in &host.places {
                let need = &mut needs[place.table];
                need.reason = need.reason.max(self.update_reason(host, place));
                need.serving += usize::from(usable && place.sent > 0.0 && !place.unsure);
            }
        }
        for (need, board) in needs.iter_mut().zip(&mut self.boards) {
            if board.bound == 0 {
                need.reason = None;
                continue;
            }
            board
                .messages
                .retain(|&at| self.now - at <= self.ready.window);
            if board
                .levels_sent
                .iter()
                .zip(&self.levels)
                .any(|(sent, level)| *sent != Some(*level))
            {
                need.reason = need.reason.max(Some(UpdateReason::Ordinary));
            }
            // A table that has run empty is refilled as fast as a drain goes out.
            if need.reason.is_some() && need.serving == 0 {
                need.reason = Some(UpdateReason::Drain);
            }
            board.differs_since = board
                .differs_since
                .or(Some(self.now))
                .filter(|_| need.reason.is_some());
        }
        needs
    }

    /// Why a line should be sent.
    fn update_reason(&self, host: &Host, place: &Place) -> Option<UpdateReason> {
        let (open, usable) = (
            self.ready.open(host, self.now),
            self.ready.usable(host, self.now),
        );
        let cold = self.ready.ramp(host, self.now) < 1.0;
        let heavy = place.sent > place.want * HAZARD_RATIO;
        if place.held() && !open {
            Some(UpdateReason::Drain)
        } else if place.held() && !usable || cold && (heavy || place.unsure) {
            // Not to be put off: a failing host, or a cold one whose line is still the warm one's.
            Some(UpdateReason::Hazard)
        } else if place.want > 0.0 && heavy || place.unsure {
            Some(UpdateReason::Expedited)
        } else {
            differs(place).then_some(UpdateReason::Ordinary)
        }
    }

    /// Messages to a proxy of this table that count against the cap, its binding among them.
    pub(super) fn messages_used(&self, t: usize) -> usize {
        1 + self.boards[t]
            .messages
            .iter()
            .filter(|&&at| self.now - at <= self.ready.window)
            .count()
    }

    /// Whether differences have gathered for long enough, and the message cap has room.
    fn is_due(&self, t: usize, reason: UpdateReason) -> bool {
        let board = &self.boards[t];
        let gathered = |least: Duration| {
            board
                .differs_since
                .is_some_and(|since| self.now - since >= least)
        };
        let (used, cap) = (self.messages_used(t), self.ready.cap);
        let under = |part: f64| (used as f64) < cap as f64 * part;
        match reason {
            UpdateReason::Drain => used < cap,
            UpdateReason::Hazard => used + DRAIN_MESSAGES < cap,
            UpdateReason::Expedited => gathered(EXPEDITED_INTERVAL) && under(EXPEDITED_CAP_PART),
            UpdateReason::Ordinary => gathered(self.ready.gather) && under(ORDINARY_CAP_PART),
        }
    }

    /// Which differences go out to a table that so many hosts serve.
    fn scope(&self, serving: usize) -> UpdateScope {
        if serving == 0 || !self.channel.is_half_full() {
            UpdateScope::All
        } else if serving < MIN_TABLE_HOSTS {
            UpdateScope::RisksAndNewcomers
        } else {
            UpdateScope::Risks
        }
    }

    /// How many lines an update of a table has for each proxy that uses it.
    fn lines_due(&self, t: usize, scope: UpdateScope) -> usize {
        let places = self.hosts.iter().flat_map(|host| &host.places);
        let hosts = places
            .filter(|place| place.table == t && scope.takes(place))
            .count();
        let sent = &self.boards[t].levels_sent;
        let levels = sent
            .iter()
            .zip(&self.levels)
            .filter(|(sent, level)| **sent != Some(**level))
            .count();
        hosts + if scope == UpdateScope::All { levels } else { 0 }
    }

    /// The differences of one table that are in scope, to all who use it.
    pub(super) fn send_update(&mut self, t: usize, reason: UpdateReason, scope: UpdateScope) {
        let (now, table, orders_before) = (self.now, TableId(t as u16), self.out.len());
        for host in &mut self.hosts {
            for place in host
                .places
                .iter_mut()
                .filter(|place| place.table == t && scope.takes(place))
            {
                (place.sent, place.unsure) = (place.want, false);
                let weight = (place.want > 0.0).then_some(place.want);
                self.out.push_back(Decision::SetWeight {
                    table,
                    host: host.id.clone(),
                    weight,
                });
            }
        }
        let board = &mut self.boards[t];
        for (k, &share) in self
            .levels
            .iter()
            .enumerate()
            .filter(|_| scope == UpdateScope::All)
        {
            if board.levels_sent[k].replace(share) == Some(share) {
                continue;
            }
            // Where proxies count reqs a second, the busiest proxy sets the measure.
            let busiest = self
                .proxies
                .values()
                .map(|p| p.rates[k])
                .fold(0.0, f64::max);
            let measure = if share < 1.0 {
                busiest
            } else {
                f64::from(u32::MAX)
            };
            let (kind, quota) = (
                RequestClassId(k as u8),
                if self.ready.by_rate {
                    share * measure
                } else {
                    share
                },
            );
            self.out.push_back(Decision::SetAdmissionRate {
                table,
                class: kind,
                quota,
                retry_policy: RetryPolicy::IfUnprocessed,
            });
        }
        board.differs_since = None;
        self.channel
            .send_update(reason, self.out.len() - orders_before, board.bound);
        // Where proxies hold two tables, a message on either counts for both.
        let also = if self.ready.own_tables > 0 {
            0..self.boards.len()
        } else {
            t..t + 1
        };
        self.boards[also]
            .iter_mut()
            .for_each(|board| board.messages.push_back(now));
    }
}

/// Which differences of a table an update takes along.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum UpdateScope {
    All,
    /// Those alone that put a host at risk: the rest waits for room in the queue.
    Risks,
    /// And who comes into a short table: all that its proxies bring fell to the few left, and pushed cold ones over.
    RisksAndNewcomers,
}

impl UpdateScope {
    fn takes(self, place: &Place) -> bool {
        let risk = place.unsure || place.sent > place.want * HAZARD_RATIO;
        let newcomer = self == UpdateScope::RisksAndNewcomers && place.sent == 0.0;
        differs(place) && (self == UpdateScope::All || risk || newcomer)
    }
}

fn differs(place: &Place) -> bool {
    let step = (place.want - place.sent).abs() > MIN_WEIGHT_CHANGE * place.sent;
    place.unsure || step || (place.want > 0.0) != (place.sent > 0.0)
}
