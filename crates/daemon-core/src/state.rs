//! The state of the controller. `apply` applies inputs to it, `timers` runs what is due by time, and `decisions`
//! carries out the controller's decisions. Each input is processed in the same order: update the state, take decisions,
//! send updates to proxies.

use crate::dns_state::{self, DnsState};
use crate::endpoint_list::EndpointList;
use crate::event::Event;
use crate::input::EventLogState;
use crate::outcome_aggregator::OutcomeAggregator;
use crate::output::Output;
use crate::peer::Peer;
use crate::pushed_reports::PushedReports;
use crate::reported_load::ReportedLoad;
use crate::table_assignments::TableAssignments;
use crate::update_queue::UpdateQueue;
use crate::weight_planner::WeightPlanner;
use crate::zone_map::ZoneMap;
use pondarch_config::SiteSettings;
use pondarch_config::site::{ProxyConnectionSettings, WeightSource};
use pondarch_controller::Controller;
use pondarch_controller::{AdmissionMode, AttemptOutcomes, Endpoint, HostId, Time};
use pondarch_load_ingestion::{HostSelector, MemoryAccounting};
use pondarch_proxy_session::{ClassMapping, ProxyMapping};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Number of latest events kept for `show events`, and of latest errors kept for `show errors`.
const MAX_EVENTS: usize = 256;
/// Load reports older than this many of their periods are not passed to the controller, which takes each as current.
pub(crate) const MAX_LOAD_REPORT_PERIODS: f64 = 3.0;

/// An event and its time, for `show events`.
pub(crate) struct LoggedEvent {
    pub(crate) at: Time,
    pub(crate) event: Event,
}

/// An error and its time, for `show errors`.
pub(crate) struct LoggedError {
    pub(crate) at: Time,
    pub(crate) text: String,
}

/// The whole state of the controller.
pub(crate) struct DaemonState {
    /// Name of the controller, from the settings.
    pub(crate) name: String,
    /// Names of the request classes, by their ids.
    pub(crate) request_classes: Vec<String>,
    /// Limits of the connections to proxies.
    pub(crate) links: ProxyConnectionSettings,
    /// How often the loads of hosts are read; none: never.
    pub(crate) load_interval: Option<Duration>,
    /// How often counters of proxies are read and outcomes are applied.
    pub(crate) report_interval: Duration,
    /// Whether proxies admit requests by rate rather than by fraction.
    pub(crate) admits_by_rate: bool,
    /// The `Pid` of `show info`.
    pub(crate) process_id: u32,
    /// Start of this run.
    pub(crate) started: Time,
    /// Time of the latest input.
    pub(crate) now: Time,
    /// Decides tables, weights, bindings and admission.
    pub(crate) controller: Controller,
    /// The hosts of the hosts file, with the operators' changes.
    pub(crate) endpoints: EndpointList,
    /// The zone map that operators set.
    pub(crate) zones: ZoneMap,
    /// Sets the weights; none: listed weights are used as they are.
    pub(crate) weight_planner: Option<WeightPlanner>,
    /// State of the proxies that use the DNS server; none: there is no DNS server.
    pub(crate) dns: Option<DnsState>,
    /// The tables as decided.
    pub(crate) tables: TableAssignments,
    /// The proxies by their ids: those of the settings, then those that stand for unknown proxies.
    pub(crate) peers: Vec<Peer>,
    /// Limits what is sent to proxies.
    pub(crate) update_queue: UpdateQueue,
    /// Outcomes of the current report interval.
    pub(crate) outcomes: OutcomeAggregator,
    /// Source of all jitter of this run.
    pub(crate) random: fastrand::Rng,
    /// When the controller is to be called next.
    pub(crate) timer_at: Option<Time>,
    /// The latest reported load of each host, with its time.
    pub(crate) loads: BTreeMap<HostId, (Time, ReportedLoad)>,
    /// The latest applied outcomes of each host.
    pub(crate) last_outcomes: BTreeMap<HostId, AttemptOutcomes>,
    /// When the loads of hosts are read next.
    pub(crate) next_load_read_at: Option<Time>,
    /// When outcomes of each host were last applied.
    pub(crate) outcomes_applied_at: BTreeMap<HostId, Time>,
    /// Maximum number of hosts whose outcomes are applied per second; none: no limit.
    pub(crate) max_outcomes_per_second: Option<f64>,
    /// Chooses the hosts whose outcomes are applied when the limit does not allow all.
    pub(crate) selection: HostSelector,
    /// State of the senders that push reports.
    pub(crate) pushed_reports: PushedReports,
    /// Memory use by purpose.
    pub(crate) memory: MemoryAccounting,
    /// State of the event log; none: nothing is recorded.
    pub(crate) event_log: Option<EventLogState>,
    /// Number of inputs so far.
    pub(crate) input_count: u64,
    /// The input that is being applied, as events name it.
    pub(crate) cause: String,
    /// The latest events, for `show events`.
    pub(crate) events: VecDeque<LoggedEvent>,
    /// The latest errors, for `show errors`.
    pub(crate) errors: VecDeque<LoggedError>,
    /// Outputs that were not returned yet.
    pub(crate) outputs: VecDeque<Output>,
}

impl DaemonState {
    /// See `Core::new`.
    pub(crate) fn new(
        site: &SiteSettings,
        seed: u64,
        process_id: u32,
        incarnation: u64,
        now: Time,
    ) -> DaemonState {
        let deployment = site.deployment_config();
        let mark = format!("{}:{incarnation}", site.name);
        let load_interval = site
            .health_checks
            .as_ref()
            .and_then(|probes| probes.load_interval)
            .map(|interval| interval.0);
        DaemonState {
            name: site.name.clone(),
            request_classes: site
                .request_classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            links: site.proxy_connections.clone(),
            load_interval,
            report_interval: site.load_reports.interval.0,
            admits_by_rate: deployment.admission == AdmissionMode::Rate,
            process_id,
            started: now,
            now,
            endpoints: EndpointList::new(site.zones.clone(), deployment.slow_start_window),
            zones: ZoneMap::default(),
            weight_planner: (site.weight_source == WeightSource::Solved)
                .then(|| WeightPlanner::new(site, now)),
            dns: DnsState::new(site),
            tables: TableAssignments::default(),
            peers: peers(site, &mark, now),
            update_queue: update_queue(site, now),
            outcomes: OutcomeAggregator::new(site.load_reports.interval.0, now),
            random: fastrand::Rng::with_seed(seed),
            controller: Controller::new(deployment, seed, now),
            timer_at: None,
            loads: BTreeMap::new(),
            last_outcomes: BTreeMap::new(),
            next_load_read_at: load_interval.map(|interval| now + interval),
            outcomes_applied_at: BTreeMap::new(),
            max_outcomes_per_second: site.load_reports.max_lines_per_second,
            selection: HostSelector::new(seed),
            pushed_reports: PushedReports::new(site.load_reports.push_endpoint.is_some()),
            memory: MemoryAccounting::default(),
            event_log: None,
            input_count: 0,
            cause: String::new(),
            events: VecDeque::new(),
            errors: VecDeque::new(),
            outputs: VecDeque::new(),
        }
    }

    pub(crate) fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    pub(crate) fn apply_endpoints(&mut self, mut endpoints: Vec<Endpoint>) {
        self.plan_listed_weights();
        for endpoint in &mut endpoints {
            endpoint.weight = self
                .endpoints
                .planned_weights
                .get(&endpoint.host)
                .copied()
                .unwrap_or(endpoint.weight);
        }
        let count = |state| {
            self.endpoints
                .hosts
                .values()
                .filter(|host| host.state == state)
                .count()
        };
        use pondarch_controller::EndpointState::{Draining, Ready, Removed};
        let ready = count(Ready);
        let draining = count(Draining);
        let removed = count(Removed);
        let generation = self.endpoints.generation;
        self.log_event(Event::EndpointListApplied {
            generation,
            ready,
            draining,
            removed,
        });
        self.controller.apply_endpoint_list(
            self.now,
            pondarch_controller::EndpointList {
                generation,
                complete: true,
                endpoints,
            },
        );
        self.mark_dns_view_outdated();
        self.update_exclusions();
        for table in self.tables.refresh_addresses(&self.endpoints) {
            self.require_table_update(table);
        }
        self.loads
            .retain(|host, _| self.endpoints.hosts.contains_key(host));
        self.last_outcomes
            .retain(|host, _| self.endpoints.hosts.contains_key(host));
        self.outcomes_applied_at
            .retain(|host, _| self.endpoints.hosts.contains_key(host));
    }

    pub(crate) fn log_event(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(LoggedEvent {
            at: self.now,
            event: event.clone(),
        });
        self.outputs.push_back(Output::Event(event));
    }

    pub(crate) fn log_error(&mut self, text: String) {
        if self.errors.len() == MAX_EVENTS {
            self.errors.pop_front();
        }
        self.errors.push_back(LoggedError { at: self.now, text });
    }
}

/// The proxies by their ids: those of the settings, then those that stand for unknown proxies.
fn peers(site: &SiteSettings, mark: &str, now: Time) -> Vec<Peer> {
    let mapping = Arc::new(proxy_mapping(site, mark));
    let zone = |name: &str| site.zones.iter().position(|zone| zone == name).unwrap_or(0) as u16;
    site.proxies
        .iter()
        .chain(&dns_state::unknown_proxies(site))
        .enumerate()
        .map(|(index, proxy)| Peer::new(index, proxy, zone(&proxy.zone), mapping.clone(), now))
        .collect()
}

fn update_queue(site: &SiteSettings, now: Time) -> UpdateQueue {
    let limits = &site.update_channel;
    UpdateQueue::new(
        limits.commands_per_second,
        limits.message_overhead_lines,
        limits.max_waiting_commands,
        limits.max_messages_per_window,
        limits.message_window.0,
        now,
    )
}

fn proxy_mapping(site: &SiteSettings, mark: &str) -> ProxyMapping {
    let class = |class: &pondarch_config::site::RequestClassSettings| ClassMapping {
        name: class.name.clone(),
        backend: class.backend().to_string(),
    };
    ProxyMapping {
        controller_incarnation: mark.to_string(),
        classes: site.request_classes.iter().map(class).collect(),
    }
}
