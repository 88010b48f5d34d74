//! Inputs of the controller. They only record information; decisions follow in `next_decision`.

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
    /// Applies an endpoint list or changes to it. Hosts missing from a complete list are removed; changes older than
    /// the current list are ignored.
    pub fn apply_endpoint_list(&mut self, now: Time, list: EndpointList) {
        if !list.complete && self.hosts.is_outdated(list.generation) {
            return;
        }
        self.mark_input_pending(now);
        self.hosts.apply(now, &list);
        self.expedite |= self.needs_immediate_round();
    }

    /// Returns whether a change cannot wait for the next timer: a table in use has a host that is not ready (draining
    /// or removed) or not warm, or no host is in use at all.
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

    /// Records that the endpoint list could not be fetched. The current list stays in force, and a new poll is
    /// scheduled.
    pub fn endpoint_list_failed(&mut self, now: Time) {
        self.mark_input_pending(now);
        self.endpoint_poll.retry(now);
    }

    /// Adds a proxy that has joined. If it had joined before, it is treated as having left first.
    pub fn proxy_joined(&mut self, now: Time, joining: JoiningProxy) {
        self.proxy_left(now, joining.id);
        let before = self.proxies.demand();
        self.proxies.join(now, &joining);
        let after = self.proxies.demand();
        self.admission.on_demand_change(now, before, after);
    }

    /// Marks the binding of a joined proxy as unconfirmed, because the proxy may have disconnected unnoticed.
    pub fn proxy_unconfirmed(&mut self, now: Time, id: ProxyId) {
        self.mark_input_pending(now);
        if let Some(proxy) = self.proxies.get_mut(id) {
            proxy.mark_unconfirmed();
        }
    }

    /// Removes a proxy that has left.
    pub fn proxy_left(&mut self, now: Time, id: ProxyId) {
        self.mark_input_pending(now);
        let before = self.proxies.demand();
        let Some(proxy) = self.proxies.leave(id) else {
            return;
        };
        let after = self.proxies.demand();
        self.admission.on_demand_change(now, before, after);
        if let Some(table) = proxy.table() {
            for table in self.layout.tables_of(table, proxy.zone()) {
                self.tables[table].remove_proxy();
            }
        }
    }

    /// Records the results of attempts at a host as reported by proxies. Reports of unknown hosts are ignored, and the
    /// reports say nothing about hosts that they do not name.
    pub fn record_outcomes(&mut self, now: Time, host: &HostId, outcomes: AttemptOutcomes) {
        self.now = now;
        let Some(host) = self.hosts.get_mut(host) else {
            return;
        };
        host.stats.record(now, &outcomes, self.reports.interval());
        self.reports.record(now, outcomes.period);
        self.admission.on_report(now);
    }

    /// Records the requests of a class that reached a proxy in a period.
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

    /// Handles the result of a [`Decision::CheckHealth`].
    pub fn on_health_check(&mut self, now: Time, host: &HostId, result: HealthCheckResult) {
        self.now = now;
        self.outlier_detector
            .on_health_check(&mut self.hosts, now, host, &result);
    }

    /// Handles an acknowledgement: a proxy has applied a message with this ID (see [`Decision::RequestAck`]).
    pub fn on_ack(&mut self, now: Time, ack: AckId) {
        self.queue.on_ack(now, ack);
    }

    /// Sets the fraction of all requests (0 to 1) that the fleet can serve in time according to a plan, or `None` if no
    /// plan is in force. Without overload, admission rises fast up to this fraction. A plan never causes load to be
    /// shed, and overload takes precedence over it.
    pub fn apply_capacity_plan(&mut self, now: Time, fraction: Option<f64>) {
        self.now = now;
        self.admission.set_planned_fraction(fraction);
    }

    /// Handles the timer of a [`Decision::SetTimer`].
    pub fn on_timer(&mut self, now: Time) {
        self.mark_input_pending(now);
        self.timer_fired = true;
    }

    /// Handles the result of a batch of updates. Updates that may not have been applied are decided again: at once if
    /// some were processed, and at the next timer otherwise, so that rejected updates are not repeated in a tight loop.
    pub fn on_update_result(&mut self, now: Time, updates: &[Decision], result: UpdateResult) {
        self.now = now;
        self.queue.on_update_result(updates.len(), result);
        if result == UpdateResult::Rejected {
            self.remove_messages(updates);
        }
        match result {
            UpdateResult::Applied => self.inputs_pending |= !updates.is_empty(),
            UpdateResult::StoppedAt(applied) => self.on_updates_stopped(now, updates, applied),
            UpdateResult::Rejected | UpdateResult::Unknown => {
                self.mark_all_unconfirmed(updates, now + EXPEDITED_INTERVAL);
            }
        }
    }

    /// Handles a batch of which the first `applied` updates were applied and the next one was rejected.
    fn on_updates_stopped(&mut self, now: Time, updates: &[Decision], applied: usize) {
        self.inputs_pending |= !updates.is_empty();
        let not_applied = updates.get(applied..).unwrap_or_default();
        let Some((rejected, unprocessed)) = not_applied.split_first() else {
            return;
        };
        // A proxy that cannot be bound has most likely left, which a membership event will report.
        if let Decision::BindProxy { proxy, .. } = rejected {
            self.schedule_rebind(*proxy, now + EJECTION_TIME);
        }
        self.expedite |= !unprocessed.is_empty();
        self.mark_all_unconfirmed(unprocessed, now);
    }

    /// Records that updates may not have been applied. Proxies are bound again at `bind_not_before` or later.
    fn mark_all_unconfirmed(&mut self, updates: &[Decision], bind_not_before: Time) {
        for update in updates {
            self.mark_unconfirmed(update, bind_not_before);
        }
    }

    /// Records that an update may not have been applied.
    fn mark_unconfirmed(&mut self, update: &Decision, bind_not_before: Time) {
        match update {
            Decision::SetWeight { table, host, .. } => {
                // The host may have been dropped since then, while its table still has it.
                let host = self.hosts.get_or_restore(host);
                host.memberships.entry(table.0 as usize).mark_unconfirmed();
            }
            Decision::BindProxy { proxy, .. } => self.schedule_rebind(*proxy, bind_not_before),
            Decision::SetAdmissionRate { table, class, .. } => {
                self.tables[table.0 as usize].mark_admission_unconfirmed(class.0 as usize);
            }
            Decision::RequestAck(_)
            | Decision::CheckHealth(_)
            | Decision::WatchEndpoints
            | Decision::SetTimer(_) => {}
        }
    }

    /// Schedules the binding of a proxy to be sent again.
    fn schedule_rebind(&mut self, id: ProxyId, not_before: Time) {
        if let Some(proxy) = self.proxies.get_mut(id) {
            proxy.schedule_rebind(not_before);
        }
    }

    /// Removes the messages of rejected updates, which were never sent. The updates all belong to the last batch.
    fn remove_messages(&mut self, updates: &[Decision]) {
        for update in updates {
            if let Decision::SetWeight { table, .. }
            | Decision::BindProxy { table, .. }
            | Decision::SetAdmissionRate { table, .. } = update
            {
                self.tables[table.0 as usize].remove_message(self.last_batch);
            }
        }
    }

    /// Records that there is new input for decisions.
    fn mark_input_pending(&mut self, now: Time) {
        self.now = now;
        self.inputs_pending = true;
    }
}
