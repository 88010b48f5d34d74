//! The order in which decisions are taken.

use super::Controller;
use crate::admission_control::AdmissionView;
use crate::assignment::usage_by_table;
use crate::decision::Decision;
use crate::ids::TableId;
use crate::outlier_detection::FleetView;
use crate::placement::PlacementView;
use crate::publishing::{Published, UpdateRound};
use crate::statistics::EPSILON;
use crate::time::{DurationExt, Time};
use crate::weight_reduction::reduce_loaded_hosts;
use std::time::Duration;

/// Time between two rounds of decisions (a part of a report interval).
pub(super) const TIMER_INTERVAL: Duration = Duration::from_millis(250);
/// Least part of that interval that a timer is set to, and the range of the draw: controllers that start together do not
/// poll, check and retry in step.
const MIN_TIMER_PART: f64 = 0.9;
const TIMER_PART_RANGE: f64 = 0.2;

/// What the proxies send, for one round of decisions.
pub(super) struct Traffic {
    /// Requests a second of the proxies of each shared table.
    usage: Vec<f64>,
    /// Part of all requests that is admitted.
    admitted_part: f64,
}

impl Controller {
    /// The next decision, or none until something new is known.
    pub fn next_decision(&mut self, now: Time) -> Option<Decision> {
        self.now = now;
        if std::mem::take(&mut self.inputs_pending) && !self.partitioned {
            self.decide();
        }
        self.decisions.pop_front()
    }

    /// Joins and lost hosts are answered at once, all else at the next timer: a large fleet brings many inputs.
    fn decide(&mut self) {
        let decisions_before = self.decisions.len();
        if self.endpoint_poll.take_due(self.now) {
            self.decisions.push_back(Decision::WatchEndpoints);
        }
        let timer_fired = std::mem::take(&mut self.timer_fired);
        let expedite = std::mem::take(&mut self.expedite);
        if timer_fired {
            self.handle_timer();
        }
        // Before the first list there is no table at all: proxies keep what they hold.
        if !self.hosts.has_list() {
            return;
        }
        if timer_fired || expedite {
            let traffic = self.traffic();
            self.judge_hosts(&traffic);
            self.transitions
                .observe(&mut self.hosts, &self.host_policy, self.now);
            self.place_hosts(&traffic);
            if self.update_round().publish_updates() == Published::BatchFull {
                self.expedite = true;
            }
        }
        self.update_round().bind_proxies();
        self.end_batch(decisions_before);
    }

    /// What happens with each timer, whatever else has come.
    fn handle_timer(&mut self) {
        let part = MIN_TIMER_PART + TIMER_PART_RANGE * self.random.f64();
        self.decisions
            .push_back(Decision::SetTimer(TIMER_INTERVAL.scaled(part)));
        let passed = (self.now - self.timer_handled_at).seconds();
        self.timer_handled_at = self.now;
        self.forget_hosts();
        self.proxies.fade_rates();
        reduce_loaded_hosts(&mut self.hosts, &self.host_policy, self.now, passed);
        self.admission.update(&AdmissionView {
            now: self.now,
            passed,
            hosts: &self.hosts,
            policy: &self.host_policy,
            proxies: &self.proxies,
            reports: &self.reports,
            update_delay: self.queue.lateness(self.now),
        });
    }

    /// Forgets hosts that were removed long ago and that no used table holds.
    fn forget_hosts(&mut self) {
        for host in self.hosts.forgettable_mut(self.now) {
            let id = host.id().clone();
            for membership in host.memberships.iter_mut() {
                // Nobody uses the table: this costs no line.
                if membership.may_be_held() && !self.tables[membership.table()].is_used() {
                    membership.mark_withdrawn();
                    self.decisions.push_back(Decision::SetWeight {
                        table: TableId(membership.table() as u16),
                        host: id.clone(),
                        weight: None,
                    });
                }
            }
            host.memberships.keep_held();
        }
        self.hosts.forget_unused(self.now);
    }

    pub(super) fn traffic(&self) -> Traffic {
        Traffic {
            usage: usage_by_table(self.proxies.iter(), &self.layout),
            admitted_part: self.admission.admitted_part(&self.proxies),
        }
    }

    fn judge_hosts(&mut self, traffic: &Traffic) {
        let view = FleetView {
            now: self.now,
            policy: &self.host_policy,
            reports: &self.reports,
            update_delay: self.queue.lateness(self.now),
            attempts_per_weight: self.attempts_per_weight(traffic),
        };
        let to_check = self
            .outlier_detector
            .judge_hosts(&mut self.hosts, &view, &mut self.random);
        self.decisions
            .extend(to_check.into_iter().map(Decision::CheckHealth));
    }

    /// Attempts a second per unit of weight that should end in each table, by our own bindings and admission. Those of zone
    /// tables are not known: they count as none.
    pub(super) fn attempts_per_weight(&self, traffic: &Traffic) -> Vec<f64> {
        let mut weights = vec![0.0; self.tables.len()];
        let hosts = self.hosts.iter();
        for membership in hosts.flat_map(|host| host.memberships.iter()) {
            weights[membership.table()] += membership.sent_weight();
        }
        let mut attempts = vec![0.0; self.tables.len()];
        for (table, usage) in traffic.usage.iter().enumerate() {
            attempts[table] = usage * traffic.admitted_part / weights[table].max(EPSILON);
        }
        attempts
    }

    fn place_hosts(&mut self, traffic: &Traffic) {
        let view = PlacementView {
            now: self.now,
            policy: &self.host_policy,
            layout: &self.layout,
            reports: &self.reports,
            usage: &traffic.usage,
            admitted_part: traffic.admitted_part,
            peak_per_weight: self.admission.peak_per_weight(),
        };
        self.placement.place_hosts(&mut self.hosts, &view);
    }

    fn update_round(&mut self) -> UpdateRound<'_> {
        UpdateRound {
            now: self.now,
            batch: self.last_batch + 1,
            policy: &self.update_policy,
            host_policy: &self.host_policy,
            layout: &self.layout,
            fractions: self.admission.fractions(),
            hosts: &mut self.hosts,
            proxies: &mut self.proxies,
            tables: &mut self.tables,
            queue: &mut self.queue,
            decisions: &mut self.decisions,
        }
    }

    /// What was decided since then goes out together.
    fn end_batch(&mut self, decisions_before: usize) {
        let is_update = |decision: &&Decision| decision.is_update();
        let decided = self.decisions.iter().skip(decisions_before);
        let updates = decided.filter(is_update).count();
        if updates > 0 {
            self.last_batch += 1;
        }
        let ack = self.queue.end_batch(self.now, updates);
        self.decisions.extend(ack.map(Decision::RequestAck));
    }
}
