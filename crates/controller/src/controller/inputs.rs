//! Inputs: they only update what is known.

use super::Controller;
use crate::decision::{Decision, UpdateResult};
use crate::endpoint::EndpointList;
use crate::ids::{AckId, HostId, ProxyId, RequestClassId};
use crate::outlier_detection::{EJECTION_TIME, HealthCheckResult};
use crate::proxy::JoiningProxy;
use crate::publishing::EXPEDITED_INTERVAL;
use crate::report::AttemptOutcomes;
use crate::time::Time;
use std::time::Duration;

impl Controller {
    /// The endpoint list, or changes to it. On a complete list, whoever is missing is removed; changes older than the list
    /// are passed over.
    pub fn apply_endpoint_list(&mut self, now: Time, list: EndpointList) {
        if !list.complete && self.hosts.is_outdated(list.generation) {
            return;
        }
        self.note_input(now);
        self.hosts.apply(now, &list);
        self.expedite |= self.needs_immediate_round();
    }

    /// Whether a table in use holds a host that is not ready (draining or removed) or not warm, or no table is in use at all:
    /// that waits for no timer.
    fn needs_immediate_round(&self) -> bool {
        let mut any_in_use = false;
        for host in self.hosts.iter() {
            let is_in_use = host.memberships.iter().any(|membership| {
                membership.sent_weight() > 0.0 && self.tables[membership.table()].is_used()
            });
            let is_ready = self.host_policy.is_ready(host, self.now);
            if is_in_use && !(is_ready && self.host_policy.is_warm(host, self.now)) {
                return true;
            }
            any_in_use |= is_in_use;
        }
        !any_in_use
    }

    /// The endpoint list could not be fetched: the old one holds, and it is polled again.
    pub fn endpoint_list_failed(&mut self, now: Time) {
        self.note_input(now);
        self.endpoint_poll.retry(now);
    }

    /// A proxy has joined; one that had joined before is taken to have left.
    pub fn proxy_joined(&mut self, now: Time, joining: JoiningProxy) {
        self.proxy_left(now, joining.id);
        let before = self.proxies.demand();
        self.proxies.join(now, &joining);
        let after = self.proxies.demand();
        self.admission.on_demand_change(before, after);
    }

    /// A proxy is joined, but may have been away unseen: what it was bound to may not hold.
    pub fn proxy_unconfirmed(&mut self, now: Time, id: ProxyId) {
        self.note_input(now);
        if let Some(proxy) = self.proxies.get_mut(id) {
            proxy.mark_unconfirmed();
        }
    }

    /// A proxy has left.
    pub fn proxy_left(&mut self, now: Time, id: ProxyId) {
        self.note_input(now);
        let before = self.proxies.demand();
        let Some(proxy) = self.proxies.leave(id) else {
            return;
        };
        let after = self.proxies.demand();
        self.admission.on_demand_change(before, after);
        if let Some(table) = proxy.table() {
            for table in self.layout.tables_of(table, proxy.zone()) {
                self.tables[table].remove_proxy();
            }
        }
    }

    /// Proxies report how attempts at a host ended. That says nothing of hosts that are not named.
    pub fn record_outcomes(&mut self, now: Time, host: &HostId, outcomes: AttemptOutcomes) {
        self.now = now;
        let Some(host) = self.hosts.get_mut(host) else {
            return;
        };
        host.stats.record(now, &outcomes, self.reports.interval());
        self.reports.record(now, outcomes.period);
    }

    /// A proxy reports requests of a class that reached it in a period.
    pub fn record_arrivals(
        &mut self,
        now: Time,
        proxy: ProxyId,
        class: RequestClassId,
        requests: f64,
        period: Duration,
    ) {
        self.now = now;
        self.proxies
            .record_arrivals(now, proxy, class, requests, period);
    }

    /// The answer to a [`Decision::CheckHealth`].
    pub fn on_health_check(&mut self, now: Time, host: &HostId, result: HealthCheckResult) {
        self.now = now;
        self.outlier_detector
            .on_health_check(&mut self.hosts, now, host, &result);
    }

    /// A proxy has applied a message that carried this number.
    pub fn on_ack(&mut self, now: Time, ack: AckId) {
        self.queue.on_ack(now, ack);
    }

    /// The part of all requests (0 to 1) that a plan says the fleet can do in time; none: no plan is in force. While
    /// nothing is overloaded, admission rises fast up to there. A plan sheds nothing; overload goes before it.
    pub fn apply_capacity_plan(&mut self, now: Time, part: Option<f64>) {
        self.now = now;
        self.admission.set_plan(part);
    }

    /// The time of a [`Decision::SetTimer`] has passed.
    pub fn on_timer(&mut self, now: Time) {
        self.note_input(now);
        self.timer_fired = true;
    }

    /// What became of updates that were carried out together. What may not hold is decided anew: at once if some went
    /// through, else with the next timer, lest updates that nobody takes run in circles.
    pub fn on_update_result(&mut self, now: Time, updates: &[Decision], result: UpdateResult) {
        self.now = now;
        self.queue.on_update_result(updates.len(), result);
        if result == UpdateResult::Rejected {
            self.uncount_messages(updates);
        }
        let (applied, refused) = match result {
            UpdateResult::Applied => (updates.len(), None),
            UpdateResult::StoppedAt(applied) => (applied.min(updates.len()), updates.get(applied)),
            UpdateResult::Rejected | UpdateResult::Unknown => (0, None),
        };
        let in_doubt = &updates[applied + usize::from(refused.is_some())..];
        let went_on = applied > 0 || refused.is_some();
        self.inputs_pending |= went_on;
        self.expedite |= went_on && !in_doubt.is_empty();
        // A proxy that cannot be bound has most likely left, and we shall hear of it.
        if let Some(Decision::BindProxy { proxy, .. }) = refused {
            self.bind_again(*proxy, now + EJECTION_TIME);
        }
        let bind_not_before = if went_on {
            now
        } else {
            now + EXPEDITED_INTERVAL
        };
        for update in in_doubt {
            self.mark_unconfirmed(update, bind_not_before);
        }
    }

    /// Notes that an update may not have been applied.
    fn mark_unconfirmed(&mut self, update: &Decision, bind_not_before: Time) {
        match update {
            Decision::SetWeight { table, host, .. } => {
                if let Some(host) = self.hosts.get_mut(host) {
                    host.memberships.entry(table.0 as usize).mark_unconfirmed();
                }
            }
            Decision::BindProxy { proxy, .. } => self.bind_again(*proxy, bind_not_before),
            Decision::SetAdmissionRate { table, class, .. } => {
                self.tables[table.0 as usize].mark_fraction_unconfirmed(class.0 as usize);
            }
            Decision::RequestAck(_)
            | Decision::CheckHealth(_)
            | Decision::WatchEndpoints
            | Decision::SetTimer(_) => {}
        }
    }

    fn bind_again(&mut self, id: ProxyId, not_before: Time) {
        if let Some(proxy) = self.proxies.get_mut(id) {
            proxy.bind_again(not_before);
        }
    }

    /// Updates that were surely not applied made no messages. They were all of the last batch.
    fn uncount_messages(&mut self, updates: &[Decision]) {
        for update in updates {
            if let Decision::SetWeight { table, .. }
            | Decision::BindProxy { table, .. }
            | Decision::SetAdmissionRate { table, .. } = update
            {
                self.tables[table.0 as usize].uncount_message(self.last_batch);
            }
        }
    }

    fn note_input(&mut self, now: Time) {
        self.now = now;
        self.inputs_pending = true;
    }
}
