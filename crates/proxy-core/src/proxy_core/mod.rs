//! All of the proxy's decisions together, as the data path calls them: is a request admitted, which host is next, may it
//! be retried. The data path forwards requests and records how attempts ended.

mod requests;
mod status;
mod tables;
mod waiting;

pub use requests::{AdmittedRequest, Pick};
pub use status::{TableStatus, TableStatusChange};

use crate::admission::AdmissionGate;
use crate::ejection::Ejections;
use crate::last_ready::ClassTables;
use crate::policy::{ProxyCoreOptions, RequestClass, RoutingPolicy};
use crate::proxy_state::{ProxyState, Server};
use crate::retry::RetryBudget;
use crate::updates::UpdateConnections;
use crate::wait_queue::WaitQueue;
use fastrand::Rng;
use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use pondarch_runtime_api::AdminState;
use std::collections::BTreeMap;

/// Weight of the static hosts that are used until a controller sends a table.
const STATIC_HOST_WEIGHT: u16 = 100;

/// The state machine of a proxy.
#[derive(Debug)]
pub struct ProxyCore {
    classes: Vec<RequestClass>,
    policy: RoutingPolicy,
    state: ProxyState,
    updates: UpdateConnections,
    /// By class: its tables.
    tables: Vec<ClassTables>,
    /// By class: its admission gate.
    gates: Vec<AdmissionGate>,
    ejections: Ejections,
    retry_budget: RetryBudget,
    wait_queue: WaitQueue,
    last_queue_number: u64,
    /// The proxy's own requests in flight at each host.
    in_flight: BTreeMap<String, usize>,
    random: Rng,
    started_at: Time,
    table_changed_at: Time,
    table_changes: u64,
    requests_by_last_ready: u64,
    /// By class: the status that was reported last.
    reported_status: Vec<TableStatus>,
}

impl ProxyCore {
    /// A proxy that uses its static hosts until a controller sends a table.
    #[must_use]
    pub fn new(options: ProxyCoreOptions, now: Time) -> ProxyCore {
        let state = initial_state(&options, now);
        let ProxyCoreOptions {
            classes,
            policy,
            seed,
            ..
        } = options;
        let mut core = ProxyCore {
            tables: vec![ClassTables::default(); classes.len()],
            gates: vec![AdmissionGate::default(); classes.len()],
            retry_budget: RetryBudget::new(policy.retry_ratio),
            wait_queue: WaitQueue::new(policy.max_waiting),
            classes,
            policy,
            state,
            updates: UpdateConnections::default(),
            ejections: Ejections::default(),
            last_queue_number: 0,
            in_flight: BTreeMap::new(),
            random: Rng::with_seed(seed),
            started_at: now,
            table_changed_at: now,
            table_changes: 0,
            requests_by_last_ready: 0,
            reported_status: Vec::new(),
        };
        for class in 0..core.classes.len() {
            core.rebuild_table(now, class);
        }
        core
    }

    /// The index of a request class.
    #[must_use]
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// All request classes; their order gives their index.
    #[must_use]
    pub fn classes(&self) -> &[RequestClass] {
        &self.classes
    }

    /// What the runtime API shows.
    #[must_use]
    pub fn state(&self) -> &ProxyState {
        &self.state
    }

    /// Sets another policy; requests that wait or are in flight stay as they are.
    pub fn set_policy(&mut self, policy: RoutingPolicy) {
        self.retry_budget = RetryBudget::new(policy.retry_ratio);
        self.policy = policy;
    }
}

fn initial_state(options: &ProxyCoreOptions, now: Time) -> ProxyState {
    let class_names: Vec<&str> = options
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    let mut state = ProxyState::new(&options.name, options.process_id, &class_names);
    for backend in state.backends.values_mut() {
        for host in &options.static_hosts {
            let server = Server::new(host.address, STATIC_HOST_WEIGHT, AdminState::Ready);
            backend.servers.insert(host.name.clone(), server);
        }
    }
    state.started = (now - Time::default()).micros() / 1_000_000;
    state
}
