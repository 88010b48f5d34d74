//! The order in which decisions are made.

use super::Controller;
use crate::admission_changes::AdmissionChange;
use crate::admission_control::AdmissionController;
use crate::admission_view::AdmissionView;
use crate::assignment::usage_by_table;
use crate::decision::Decision;
use crate::exposure::{ExposureView, exposed_tables};
use crate::ids::TableId;
use crate::outlier_detection::FleetView;
use crate::placement::PlacementView;
use crate::publishing::{Published, UpdateRound};
use crate::retries::RetryCause;
use crate::statistics::EPSILON;
use crate::table_admission::{TableAdmission, TableAdmissionView, table_admissions};
use crate::time::{DurationExt, Time};
use crate::warming_limit::WarmingLimit;
use crate::weight_reduction::update_weight_reductions;
use crate::zone_eligibility::update_zone_eligibility;
use std::time::Duration;

/// Time between two decision rounds; shorter than a report interval.
pub(super) const TIMER_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum of the random factor for the timer interval, and the factor's range. The jitter keeps controllers that start
/// together from polling, checking health and retrying in step.
const MIN_TIMER_FACTOR: f64 = 0.9;
const TIMER_FACTOR_RANGE: f64 = 0.2;
/// Maximum of the measured attempts per admitted request: each request is retried at most once.
const MAX_ATTEMPTS_PER_REQUEST: f64 = 2.0;

/// Requests of the proxies in one decision round.
pub(super) struct Traffic {
    /// Requests per second of the proxies of each shared table.
    usage: Vec<f64>,
    /// Fraction of all requests that is admitted.
    admitted_fraction: f64,
}

impl Controller {
    /// Returns the next decision, or `None` until the next input or timer.
    pub fn next_decision(&mut self, now: Time) -> Option<Decision> {
        self.now = now;
        if std::mem::take(&mut self.inputs_pending) && !self.partitioned {
            self.decide();
        }
        self.decisions.pop_front()
    }

    /// Acts on joining proxies and lost hosts at once, and on everything else at the next timer, since a large fleet
    /// produces many inputs.
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
        // Before the first endpoint list there is nothing to put into tables: proxies keep the tables they have.
        if !self.hosts.has_list() {
            return;
        }
        self.usual_load.observe(&self.hosts);
        update_zone_eligibility(&mut self.hosts, &self.host_policy, self.now);
        self.update_admission(AdmissionController::refresh_without_evidence, 0.0);
        let is_round_due = timer_fired || expedite;
        self.record_admission_change();
        self.retries
            .observe(self.retry_cause(), self.admission.overload());
        self.limit_admission();
        if is_round_due {
            self.update_placement();
            self.limit_admission();
            self.observe_start_propagation();
        }
        if is_round_due {
            let exposed_tables = self.exposed_tables();
            let published = self.update_round().publish_updates(&exposed_tables);
            self.expedite |= published == Published::BatchFull;
        }
        self.update_round().bind_proxies();
        self.observe_start_propagation();
        self.end_batch(decisions_before);
    }

    /// Does the periodic work of each timer: expiry of hosts, decay of rates, weight reduction and admission control.
    fn handle_timer(&mut self) {
        let factor = MIN_TIMER_FACTOR + TIMER_FACTOR_RANGE * self.random.f64();
        self.decisions
            .push_back(Decision::SetTimer(TIMER_INTERVAL.scaled(factor)));
        let elapsed_s = (self.now - self.timer_handled_at).seconds();
        self.timer_handled_at = self.now;
        self.drop_expired_hosts();
        self.proxies.decay_rates();
        update_weight_reductions(&mut self.hosts, &self.host_policy, self.now, elapsed_s);
        self.update_admission(AdmissionController::update, elapsed_s);
        self.retries.on_overload(self.admission.overload());
    }

    /// Calls an update of admission control. `elapsed_s` is the number of seconds since the last one.
    fn update_admission(
        &mut self,
        update: impl FnOnce(&mut AdmissionController, &AdmissionView<'_>),
        elapsed_s: f64,
    ) {
        let view = AdmissionView {
            now: self.now,
            elapsed_s,
            hosts: &self.hosts,
            policy: &self.host_policy,
            proxies: &self.proxies,
            reports: &self.reports,
            update_delay: self.queue.update_delay(self.now),
        };
        update(&mut self.admission, &view);
    }

    /// Detects outliers and places the hosts.
    fn update_placement(&mut self) {
        let traffic = self.traffic();
        self.detect_outliers();
        self.place_hosts(&traffic);
        self.transitions
            .observe(&mut self.hosts, &self.host_policy, self.now);
    }

    /// Returns why proxies may retry attempts, or may not.
    fn retry_cause(&self) -> RetryCause {
        self.retries.cause(&self.hosts, &self.host_policy, self.now)
    }

    /// Records for the log which hosts that have started still have their old weight.
    fn observe_start_propagation(&mut self) {
        self.start_propagation
            .observe(self.now, &self.hosts, &self.host_policy, &self.tables);
    }

    /// Records for the log that other fractions of the requests are admitted, if they are.
    fn record_admission_change(&mut self) {
        if !self.admission_changes.is_changed(&self.admission) {
            return;
        }
        let change = AdmissionChange {
            at: self.now,
            cause: self.admission.cause(self.now),
            fractions: self.admission.fractions().to_vec(),
            demand: self.proxies.demand(),
            overload: self.admission.overload(),
            attempts_per_request: self.attempts_per_request(),
        };
        self.admission_changes.record(change);
    }

    /// Updates what is admitted to each table.
    fn limit_admission(&mut self) {
        self.table_admissions = table_admissions(&TableAdmissionView {
            now: self.now,
            layout: &self.layout,
            policy: &self.host_policy,
            hosts: &self.hosts,
            proxies: &self.proxies,
            fractions: self.admission.fractions(),
            lowest_priority_first: self.admission.lowest_priority_first(),
            warming_limit: self.warming_limit(),
            attempts_per_request: self.attempts_per_request(),
            retry_policy: self.retry_cause().policy(),
        });
    }

    /// Returns what warming hosts may be sent.
    pub(super) fn warming_limit(&self) -> WarmingLimit {
        let own_share = self.admission.throughput().share(self.proxies.len());
        self.overload_rule.limit(self.usual_load(), own_share)
    }

    /// Returns the attempts per admitted request that reports show: more than one where hosts turn requests away, or
    /// where requests rise faster than the measured demand. The most that may be while reports do not show it.
    pub(super) fn attempts_per_request(&self) -> f64 {
        if !self.admission.is_load_known() {
            return MAX_ATTEMPTS_PER_REQUEST;
        }
        let attempts = self.reports.throughput(self.hosts.iter()).attempts;
        let admitted: f64 = self
            .table_admissions
            .iter()
            .map(TableAdmission::admitted_rate)
            .sum();
        (attempts / admitted.max(EPSILON)).clamp(1.0, MAX_ATTEMPTS_PER_REQUEST)
    }

    /// Returns the requests per second and unit of weight that the fleet's hosts usually serve.
    pub(super) fn usual_load(&self) -> f64 {
        let throughput = self.admission.throughput();
        self.usual_load.per_weight(throughput, &self.proxies)
    }

    /// Drops hosts that were removed long ago and are in no table in use.
    fn drop_expired_hosts(&mut self) {
        for host in self.hosts.expired_mut(self.now) {
            let id = host.id().clone();
            for membership in host.memberships.iter_mut() {
                // No proxy uses the table, so this sends nothing.
                if membership.may_be_held() && !self.tables[membership.table()].is_used() {
                    membership.mark_removed();
                    self.decisions.push_back(Decision::SetWeight {
                        table: TableId(membership.table() as u16),
                        host: id.clone(),
                        weight: None,
                    });
                }
            }
            host.memberships.retain_held();
        }
        self.hosts.drop_expired(self.now);
    }

    pub(super) fn traffic(&self) -> Traffic {
        Traffic {
            usage: usage_by_table(self.proxies.iter(), &self.layout),
            admitted_fraction: self.admission.admitted_fraction(&self.proxies),
        }
    }

    fn detect_outliers(&mut self) {
        let view = FleetView {
            now: self.now,
            policy: &self.host_policy,
            reports: &self.reports,
            update_delay: self.queue.update_delay(self.now),
            attempts_per_weight: self.attempts_per_weight(),
        };
        let to_check =
            self.outlier_detector
                .detect_outliers(&mut self.hosts, &view, &mut self.random);
        self.decisions
            .extend(to_check.into_iter().map(Decision::CheckHealth));
    }

    /// Returns the attempts per second and unit of weight expected in each table, by this controller's bindings and
    /// admission.
    pub(super) fn attempts_per_weight(&self) -> Vec<f64> {
        let mut weights = vec![0.0; self.tables.len()];
        let hosts = self.hosts.iter();
        for membership in hosts.flat_map(|host| host.memberships.iter()) {
            weights[membership.table()] += membership.sent_weight();
        }
        let rates = self.table_admissions.iter();
        rates
            .zip(weights)
            .map(|(table, weight)| table.admitted_rate() / weight.max(EPSILON))
            .collect()
    }

    fn place_hosts(&mut self, traffic: &Traffic) {
        let attempts_per_request = self.attempts_per_request();
        let admitted = self.table_admissions.iter();
        let attempts_by_table: Vec<f64> = admitted
            .map(|table| table.admitted_rate() * attempts_per_request)
            .collect();
        let view = PlacementView {
            now: self.now,
            policy: &self.host_policy,
            layout: &self.layout,
            usage: &traffic.usage,
            attempts_per_arrival: traffic.admitted_fraction * attempts_per_request,
            attempts_by_table: &attempts_by_table,
            warming_limit: self.warming_limit(),
        };
        self.placement.place_hosts(&mut self.hosts, &view);
    }

    /// Returns whether each table has a warming host that is at risk by the lines sent.
    fn exposed_tables(&self) -> Vec<bool> {
        let attempts_per_request = self.attempts_per_request();
        let requests_per_weight = self.attempts_per_weight();
        let attempts_per_weight: Vec<f64> = requests_per_weight
            .iter()
            .map(|requests| requests * attempts_per_request)
            .collect();
        exposed_tables(&ExposureView {
            now: self.now,
            policy: &self.host_policy,
            hosts: &self.hosts,
            attempts_per_weight: &attempts_per_weight,
            warming_limit: self.warming_limit(),
        })
    }

    fn update_round(&mut self) -> UpdateRound<'_> {
        UpdateRound {
            now: self.now,
            batch: self.last_batch + 1,
            policy: &self.update_policy,
            host_policy: &self.host_policy,
            layout: &self.layout,
            admissions: &self.table_admissions,
            hosts: &mut self.hosts,
            proxies: &mut self.proxies,
            tables: &mut self.tables,
            queue: &mut self.queue,
            decisions: &mut self.decisions,
        }
    }

    /// Ends the batch of all updates decided since `decisions_before`, and requests an acknowledgement for it if due.
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
