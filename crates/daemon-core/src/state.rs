//! The course of things: each input is noted, and the decision module told. What follows from its decisions stands
//! in `follow`. The order within an input is always the same: note it, ask the module, bring proxies up to date.

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
use pondarch_config::Site;
use pondarch_config::site::{Links, Weights};
use pondarch_controller::Controller;
use pondarch_controller::{AdmissionMode, AttemptOutcomes, Endpoint, HostId, Time};
use pondarch_load_ingestion::{Account, Choice};
use pondarch_proxy_session::{Front, FrontKind};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Events that are kept for `show events`, the newest; and errors for `show errors`.
const MAX_EVENTS: usize = 256;
/// Load reports older than this many of their periods are not passed on: the module weighs them as new.
pub(crate) const MAX_LOAD_REPORT_PERIODS: f64 = 3.0;

pub(crate) struct DaemonState {
    pub(crate) name: String,
    pub(crate) request_classes: Vec<String>,
    pub(crate) links: Links,
    pub(crate) load_interval: Option<Duration>,
    pub(crate) report_interval: Duration,
    pub(crate) admits_by_rate: bool,
    pub(crate) process: u32,
    pub(crate) started: Time,
    pub(crate) now: Time,
    pub(crate) controller: Controller,
    pub(crate) endpoints: EndpointList,
    pub(crate) zones: ZoneMap,
    /// None: listed weights are used as they are.
    pub(crate) weight_planner: Option<WeightPlanner>,
    /// None: no DNS front.
    pub(crate) dns: Option<DnsState>,
    pub(crate) tables: TableAssignments,
    pub(crate) peers: Vec<Peer>,
    pub(crate) update_queue: UpdateQueue,
    pub(crate) outcomes: OutcomeAggregator,
    pub(crate) random: fastrand::Rng,
    pub(crate) timer_at: Option<Time>,
    pub(crate) loads: BTreeMap<HostId, (Time, ReportedLoad)>,
    pub(crate) last_outcomes: BTreeMap<HostId, AttemptOutcomes>,
    pub(crate) next_load_read_at: Option<Time>,
    /// When a host's line went to the module last.
    pub(crate) outcomes_applied_at: BTreeMap<HostId, Time>,
    /// Lines of hosts that the module is told in a second; none: all.
    pub(crate) max_outcomes_per_second: Option<f64>,
    pub(crate) selection: Choice,
    pub(crate) pushed_reports: PushedReports,
    pub(crate) memory: Account,
    /// None: nothing is recorded.
    pub(crate) event_log: Option<EventLogState>,
    pub(crate) input_count: u64,
    pub(crate) cause: String,
    pub(crate) events: VecDeque<(Time, Event)>,
    pub(crate) errors: VecDeque<(Time, String)>,
    pub(crate) outputs: VecDeque<Output>,
}

impl DaemonState {
    /// `seed` for all chance of this run; `process` is the number that `show info` gives as the controller's own. The
    /// mark that joined proxies get tells this start of this controller from any other: `epoch` must be higher than that of
    /// any start before, or proxies refuse its orders as older ones.
    pub(crate) fn new(site: &Site, seed: u64, process: u32, epoch: u64, now: Time) -> DaemonState {
        let deployment = site.ticket();
        let mark = format!("{}:{epoch}", site.name);
        let front = Arc::new(front(site, &mark));
        let zone = |name: &str| site.zones.iter().position(|z| z == name).unwrap_or(0) as u16;
        let peer = |(n, p): (usize, &pondarch_config::site::Proxy)| {
            Peer::new(n, p, zone(&p.zone), front.clone(), now)
        };
        let of = &site.channel;
        let channel = UpdateQueue::new(
            of.lines_per_second,
            of.lines_per_message,
            of.most_waiting,
            of.message_cap,
            of.message_window.0,
            now,
        );
        let load_every = site
            .probes
            .as_ref()
            .and_then(|probes| probes.load_every)
            .map(|every| every.0);
        DaemonState {
            name: site.name.clone(),
            request_classes: site.kinds.iter().map(|kind| kind.name.clone()).collect(),
            links: site.links.clone(),
            load_interval: load_every,
            report_interval: site.reports.every.0,
            admits_by_rate: deployment.admission == AdmissionMode::Rate,
            process,
            started: now,
            now,
            endpoints: EndpointList::new(site.zones.clone(), deployment.slow_start_window),
            zones: ZoneMap::default(),
            weight_planner: (site.weights == Weights::Solved)
                .then(|| WeightPlanner::new(site, now)),
            dns: DnsState::new(site),
            tables: TableAssignments::default(),
            peers: site
                .proxies
                .iter()
                .chain(&dns_state::unknown_proxies(site))
                .enumerate()
                .map(peer)
                .collect(),
            update_queue: channel,
            outcomes: OutcomeAggregator::new(site.reports.every.0, now),
            random: fastrand::Rng::with_seed(seed),
            controller: Controller::new(deployment, seed, now),
            timer_at: None,
            loads: BTreeMap::new(),
            last_outcomes: BTreeMap::new(),
            next_load_read_at: load_every.map(|every| now + every),
            outcomes_applied_at: BTreeMap::new(),
            max_outcomes_per_second: site.reports.lines_per_second,
            selection: Choice::new(seed),
            pushed_reports: PushedReports::new(site.reports.push.is_some()),
            memory: Account::default(),
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
        for listing in &mut endpoints {
            listing.weight = self
                .endpoints
                .planned_weights
                .get(&listing.host)
                .copied()
                .unwrap_or(listing.weight);
        }
        let count = |wanted| {
            self.endpoints
                .hosts
                .values()
                .filter(|k| k.state == wanted)
                .count()
        };
        use pondarch_controller::EndpointState::{Draining, Ready, Removed};
        let open = count(Ready);
        let draining = count(Draining);
        let gone = count(Removed);
        let version = self.endpoints.generation;
        self.log_event(Event::EndpointListApplied {
            generation: version,
            ready: open,
            draining,
            removed: gone,
        });
        self.controller
            .apply_endpoint_list(self.now, version, true, endpoints);
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
        self.events.push_back((self.now, event.clone()));
        self.outputs.push_back(Output::Event(event));
    }

    pub(crate) fn log_error(&mut self, text: String) {
        if self.errors.len() == MAX_EVENTS {
            self.errors.pop_front();
        }
        self.errors.push_back((self.now, text));
    }
}

fn front(site: &Site, mark: &str) -> Front {
    let kind = |kind: &pondarch_config::site::Kind| FrontKind {
        name: kind.name.clone(),
        backend: kind.backend().to_string(),
    };
    Front {
        mark: mark.to_string(),
        kinds: site.kinds.iter().map(kind).collect(),
    }
}
