//! The controller: records inputs and makes decisions in a fixed order.
//!
//! Each kind of decision has its own module, which owns its state: `outlier_detection`, `weight_reduction`,
//! `admission_control`, `placement`, `assignment`, `publishing`, and `update_queue` for the updates queued to the
//! proxies.

mod decide;
mod inputs;

use crate::admission_changes::{AdmissionChange, AdmissionChanges};
use crate::admission_control::AdmissionController;
use crate::config::DeploymentConfig;
use crate::decision::Decision;
use crate::endpoint_poll::EndpointPoll;
use crate::host::HostRegistry;
use crate::host_policy::HostPolicy;
use crate::ids::AckId;
use crate::load_reports::LoadReports;
use crate::outlier_detection::OutlierDetector;
use crate::placement::Placement;
use crate::proxy::ProxyRegistry;
use crate::publishing::UpdatePolicy;
use crate::retries::{RetryChange, RetryControl};
use crate::start_propagation::{StartPropagation, StartPropagationLog};
use crate::status::StatusSnapshot;
use crate::table_admission::TableAdmission;
use crate::tables::{TableLayout, TableState, new_tables};
use crate::time::Time;
use crate::transitions::{HostTransition, TransitionLog};
use crate::update_queue::UpdateQueue;
use crate::usual_load::UsualLoad;
use crate::warming_limit::OverloadRule;
use std::collections::VecDeque;

/// A controller of one deployment.
///
/// Inputs only record information. [`next_decision`](Controller::next_decision) returns the decisions one by one until
/// there are none. A [`Decision::SetTimer`] requests a call to [`on_timer`](Controller::on_timer) after that time;
/// everything that depends on time happens there.
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
    /// Whether the deployment is partitioned, which is not supported: no decisions are made.
    partitioned: bool,
    random: fastrand::Rng,
    now: Time,
    hosts: HostRegistry,
    host_policy: HostPolicy,
    proxies: ProxyRegistry,
    layout: TableLayout,
    tables: Vec<TableState>,
    /// What is admitted to each table, as of the current decision round.
    table_admissions: Vec<TableAdmission>,
    usual_load: UsualLoad,
    overload_rule: OverloadRule,
    reports: LoadReports,
    outlier_detector: OutlierDetector,
    admission: AdmissionController,
    placement: Placement,
    update_policy: UpdatePolicy,
    queue: UpdateQueue,
    endpoint_poll: EndpointPoll,
    /// Whether there are inputs that decisions may depend on.
    inputs_pending: bool,
    /// Whether a decision round is due before the next timer: a host in use was lost, the last batch was full, or
    /// updates were only partly applied.
    expedite: bool,
    timer_fired: bool,
    timer_handled_at: Time,
    /// Number of the last batch with updates.
    last_batch: u64,
    decisions: VecDeque<Decision>,
    transitions: TransitionLog,
    admission_changes: AdmissionChanges,
    retries: RetryControl,
    start_propagation: StartPropagationLog,
}

impl Controller {
    /// Creates a controller without hosts and proxies. `seed` initializes its random number generator.
    #[must_use]
    pub fn new(config: DeploymentConfig, seed: u64, now: Time) -> Controller {
        let mut random = fastrand::Rng::with_seed(seed);
        // A random start keeps a restarted controller from accepting acknowledgements of updates from before the
        // restart.
        let first_ack = AckId(random.u16(..));
        let report_interval = config.report_interval.max(decide::TIMER_INTERVAL);
        let layout = TableLayout::new(&config);
        let table_count = layout.len();
        Controller {
            partitioned: config.partitioned,
            random,
            now: Time::default(),
            hosts: HostRegistry::default(),
            host_policy: HostPolicy::new(&config, report_interval),
            proxies: ProxyRegistry::new(config.request_classes.len(), now),
            tables: new_tables(&layout, &config),
            layout,
            table_admissions: vec![TableAdmission::default(); table_count],
            usual_load: UsualLoad::default(),
            overload_rule: OverloadRule::new(&config),
            reports: LoadReports::new(report_interval),
            outlier_detector: OutlierDetector::new(&config),
            admission: AdmissionController::new(&config, now),
            placement: Placement::new(&config),
            update_policy: UpdatePolicy::new(&config),
            queue: UpdateQueue::new(&config, now, first_ack),
            endpoint_poll: EndpointPoll::new(&config, now),
            inputs_pending: true,
            expedite: false,
            timer_fired: true,
            timer_handled_at: now,
            last_batch: 0,
            decisions: VecDeque::new(),
            transitions: TransitionLog::default(),
            admission_changes: AdmissionChanges::default(),
            retries: RetryControl::default(),
            start_propagation: StartPropagationLog::default(),
        }
    }

    /// Returns a snapshot of the controller's state, for logs and operators.
    #[must_use]
    pub fn status(&self) -> StatusSnapshot {
        crate::status::snapshot(&crate::status::SnapshotSources {
            now: self.now,
            hosts: &self.hosts,
            policy: &self.host_policy,
            reports: &self.reports,
            admission: &self.admission,
            proxies: &self.proxies,
            queue: &self.queue,
            tables: &self.tables,
            update_policy: &self.update_policy,
            attempts_per_weight: self.attempts_per_weight(),
            usual_load: self.usual_load(),
            attempts_per_request: self.attempts_per_request(),
            warming_limit: self.warming_limit(),
        })
    }

    /// Takes the transitions of hosts since the last call, for logs. Only the latest 1,024 are kept.
    pub fn take_host_transitions(&mut self) -> Vec<HostTransition> {
        self.transitions.take()
    }

    /// Takes the changes of what is admitted since the last call, for logs. Only the latest 1,024 are kept.
    pub fn take_admission_changes(&mut self) -> Vec<AdmissionChange> {
        self.admission_changes.take()
    }

    /// Takes the changes of what proxies are told about retries since the last call, for logs. Only the latest 1,024 are
    /// kept.
    pub fn take_retry_changes(&mut self) -> Vec<RetryChange> {
        self.retries.take()
    }

    /// Takes the hosts that had started and whose weight was lowered in all tables since the last call, for logs. Only the
    /// latest 1,024 are kept.
    pub fn take_start_propagations(&mut self) -> Vec<StartPropagation> {
        self.start_propagation.take()
    }
}
