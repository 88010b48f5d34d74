//! The controller: takes inputs, which only update what is known, and states the order in which decisions are taken.
//!
//! Each kind of decision has a module of its own, which owns its state: `outlier_detection`, `weight_reduction`,
//! `admission_control`, `placement`, `assignment`, `publishing`, and `update_queue` for what waits for the proxies.

use crate::admission_control::{AdmissionController, AdmissionView};
use crate::assignment::usage_by_table;
use crate::config::DeploymentConfig;
use crate::decision::{Decision, UpdateResult};
use crate::endpoint::EndpointList;
use crate::endpoint_poll::EndpointPoll;
use crate::host::HostRegistry;
use crate::host_policy::HostPolicy;
use crate::ids::{AckId, HostId, ProxyId, RequestClassId, TableId};
use crate::load_reports::LoadReports;
use crate::outlier_detection::{EJECTION_TIME, FleetView, HealthCheckResult, OutlierDetector};
use crate::placement::{Placement, PlacementView};
use crate::proxy::{JoiningProxy, ProxyRegistry};
use crate::publishing::{EXPEDITED_INTERVAL, Published, UpdatePolicy, UpdateRound};
use crate::report::AttemptOutcomes;
use crate::tables::{TableLayout, TableState, new_tables};
use crate::time::{DurationExt, Time};
use crate::update_queue::UpdateQueue;
use crate::weight_reduction::reduce_loaded_hosts;
use std::collections::VecDeque;
use std::time::Duration;

/// Time between two rounds of decisions (a part of a report interval).
const TIMER_INTERVAL: Duration = Duration::from_millis(250);
/// Least part of that interval that a timer is set to, and the range of the draw: controllers that start together do not
/// poll, check and retry in step.
const MIN_TIMER_PART: f64 = 0.9;
const TIMER_PART_RANGE: f64 = 0.2;
/// Stands in for a weight of zero as a divisor.
const EPSILON: f64 = 1e-9;

/// A controller of one deployment.
///
/// Inputs only note what is known. [`next_decision`](Controller::next_decision) gives the decisions one by one until there
/// is none; a [`Decision::SetTimer`] asks for a call of [`on_timer`](Controller::on_timer) after that time, without which
/// nothing that depends on time happens.
///
/// ```
/// use pondarch_controller::{
///     Controller, Decision, DeploymentConfig, Endpoint, EndpointList, EndpointState, HostId, JoiningProxy, ProxyId,
///     RequestClass, Time, ZoneId, CellId, MachineTypeId,
/// };
/// use std::time::Duration;
///
/// let config = DeploymentConfig {
///     request_classes: vec![RequestClass {
///         latency_objective: Duration::from_millis(800),
///         priority_weight: 1.0,
///         zone_local: false,
///     }],
///     proxy_count: 5,
///     zone_count: 1,
///     ..DeploymentConfig::default()
/// };
/// let now = Time::from_micros(1_000_000);
/// let mut controller = Controller::new(config, 7, now);
/// let endpoint = Endpoint {
///     host: HostId("host-1".into()),
///     zone: ZoneId(0),
///     machine_type: MachineTypeId(0),
///     cell: CellId(0),
///     weight: 1.0,
///     started: Time::default(),
///     state: EndpointState::Ready,
/// };
/// controller.apply_endpoint_list(now, EndpointList { generation: 1, complete: true, endpoints: vec![endpoint] });
/// controller.proxy_joined(now, JoiningProxy {
///     id: ProxyId(0),
///     zone: ZoneId(0),
///     newly_started: true,
///     usual_rate: 10.0,
/// });
/// let decisions: Vec<Decision> = std::iter::from_fn(|| controller.next_decision(now)).collect();
/// assert!(decisions.iter().any(|decision| matches!(decision, Decision::BindProxy { .. })));
/// ```
pub struct Controller {
    /// Whether tables are dealt in partitions, which this controller leaves alone.
    partitioned: bool,
    random: fastrand::Rng,
    now: Time,
    hosts: HostRegistry,
    host_policy: HostPolicy,
    proxies: ProxyRegistry,
    layout: TableLayout,
    tables: Vec<TableState>,
    reports: LoadReports,
    outlier_detector: OutlierDetector,
    admission: AdmissionController,
    placement: Placement,
    update_policy: UpdatePolicy,
    queue: UpdateQueue,
    endpoint_poll: EndpointPoll,
    /// Whether anything has come that decisions may depend on.
    inputs_pending: bool,
    /// Whether lost hosts wait for an answer: more hosts do not.
    expedite: bool,
    timer_fired: bool,
    timer_handled_at: Time,
    /// When updates were decided last.
    batch_at: Time,
    decisions: VecDeque<Decision>,
}

impl Controller {
    /// A controller that knows no host and no proxy yet. The seed decides all that is left to chance.
    #[must_use]
    pub fn new(config: DeploymentConfig, seed: u64, now: Time) -> Controller {
        let mut random = fastrand::Rng::with_seed(seed);
        // A controller that starts anew is not to take acknowledgements of its former updates for its own.
        let first_ack = AckId(random.u16(..));
        let report_interval = config.report_interval.max(TIMER_INTERVAL);
        let layout = TableLayout::new(&config);
        Controller {
            partitioned: config.partitioned,
            random,
            now: Time::default(),
            hosts: HostRegistry::default(),
            host_policy: HostPolicy::new(&config, report_interval),
            proxies: ProxyRegistry::new(config.request_classes.len(), now),
            tables: new_tables(&layout, &config),
            layout,
            reports: LoadReports::new(report_interval),
            outlier_detector: OutlierDetector::new(&config),
            admission: AdmissionController::new(&config),
            placement: Placement::new(&config),
            update_policy: UpdatePolicy::new(&config),
            queue: UpdateQueue::new(&config, now, first_ack),
            endpoint_poll: EndpointPoll::new(&config, now),
            inputs_pending: true,
            expedite: false,
            timer_fired: true,
            timer_handled_at: now,
            batch_at: Time::default(),
            decisions: VecDeque::new(),
        }
    }

    // ---- Inputs: they only update what is known ---------------------------------------------------------

    /// The endpoint list, or changes to it. On a complete list, whoever is missing is removed; changes older than the list
    /// are passed over.
    pub fn apply_endpoint_list(&mut self, now: Time, list: EndpointList) {
        if !list.complete && self.hosts.is_outdated(list.generation) {
            return;
        }
        self.note_input(now);
        self.hosts.apply(now, &list);
        self.expedite |= self.has_lost_hosts();
    }

    /// Whether a table that is in use holds a removed or cold host, or none does at all: that waits for no timer.
    fn has_lost_hosts(&self) -> bool {
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
                self.tables[table.0 as usize].uncount_messages(self.batch_at);
            }
        }
    }

    fn note_input(&mut self, now: Time) {
        self.now = now;
        self.inputs_pending = true;
    }

    // ---- Decisions --------------------------------------------------------------------------------------

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
            self.judge_hosts();
            self.place_hosts();
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

    fn judge_hosts(&mut self) {
        let view = FleetView {
            now: self.now,
            policy: &self.host_policy,
            reports: &self.reports,
            update_delay: self.queue.lateness(self.now),
            attempts_per_weight: self.attempts_per_weight(),
        };
        let to_check = self
            .outlier_detector
            .judge_hosts(&mut self.hosts, &view, &mut self.random);
        self.decisions
            .extend(to_check.into_iter().map(Decision::CheckHealth));
    }

    /// Attempts a second per unit of weight that should end in each table, by our own bindings and admission. Those of zone
    /// tables are not known: they count as none.
    fn attempts_per_weight(&self) -> Vec<f64> {
        let mut weights = vec![0.0; self.tables.len()];
        let hosts = self.hosts.iter();
        for membership in hosts.flat_map(|host| host.memberships.iter()) {
            weights[membership.table()] += membership.sent_weight();
        }
        let admitted_part = self.admission.admitted_part(&self.proxies);
        let mut attempts = vec![0.0; self.tables.len()];
        let usage = usage_by_table(self.proxies.iter(), &self.layout);
        for (table, usage) in usage.into_iter().enumerate() {
            attempts[table] = usage * admitted_part / weights[table].max(EPSILON);
        }
        attempts
    }

    fn place_hosts(&mut self) {
        let view = PlacementView {
            now: self.now,
            policy: &self.host_policy,
            layout: &self.layout,
            reports: &self.reports,
            usage: usage_by_table(self.proxies.iter(), &self.layout),
            admitted_part: self.admission.admitted_part(&self.proxies),
            peak_per_weight: self.admission.peak_per_weight(),
        };
        self.placement.place_hosts(&mut self.hosts, &view);
    }

    fn update_round(&mut self) -> UpdateRound<'_> {
        UpdateRound {
            now: self.now,
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
            self.batch_at = self.now;
        }
        let ack = self.queue.end_batch(self.now, updates);
        self.decisions.extend(ack.map(Decision::RequestAck));
    }

    /// What the controller believes now, for logs and operators.
    #[must_use]
    pub fn status(&self) -> crate::StatusSnapshot {
        crate::status::snapshot(&crate::status::Sources {
            now: self.now,
            hosts: &self.hosts,
            policy: &self.host_policy,
            reports: &self.reports,
            admission: &self.admission,
            proxies: &self.proxies,
            queue: &self.queue,
        })
    }
}
