//! The course of things: each input is noted, and the decision module told. What follows from its decisions stands
//! in `follow`. The order within an input is always the same: note it, ask the module, bring proxies up to date.

use crate::dns_state::{self, DnsState};
use crate::endpoint_list::EndpointList;
use crate::event::Event;
use crate::input::{EventLogState, Input};
use crate::outcome_aggregator::OutcomeAggregator;
use crate::output::Output;
use crate::peer::{Link, Peer};
use crate::pushed_reports::PushedReports;
use crate::reported_load::ReportedLoad;
use crate::table_assignments::TableAssignments;
use crate::update_queue::UpdateQueue;
use crate::weight_planner::WeightPlanner;
use crate::zone_map::ZoneMap;
use pondarch_config::Site;
use pondarch_config::site::{Links, Weights};
use pondarch_controller::Controller;
use pondarch_controller::DurationExt;
use pondarch_controller::{AdmissionMode, AttemptOutcomes, Endpoint, HostId, Time};
use pondarch_load_ingestion::{Account, Choice, Purpose};
use pondarch_proxy_session::{Front, FrontKind, Told};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Events that are kept for `show events`, the newest; and errors for `show errors`.
const MAX_EVENTS: usize = 256;
/// Load reports older than this many of their periods are not passed on: the module weighs them as new.
pub(crate) const MAX_LOAD_REPORT_PERIODS: f64 = 3.0;
/// Dials under way at one time: a fleet that comes back at once must not flood this machine's sockets.
const MAX_CONCURRENT_DIALS: usize = 64;

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

    /// When the next `Input::TimerExpired` is due. What is overdue already waits for some other input, and is looked at
    /// with each: it must not make the clock run in circles.
    pub(crate) fn wake_at(&self) -> Time {
        let mut at = self.outcomes.wake_at();
        let mut sooner = |other: Option<Time>| {
            at = other
                .filter(|other| *other > self.now)
                .map_or(at, |other| at.min(other));
        };
        sooner(self.timer_at);
        sooner(self.next_load_read_at);
        sooner(self.dns.as_ref().and_then(DnsState::wake_at));
        sooner(self.weight_planner.as_ref().map(WeightPlanner::wake_at));
        for peer in &self.peers {
            sooner(
                peer.silent_since
                    .map(|since| since + self.links.answer_limit.0),
            );
            match peer.link {
                Link::Down(dial_at) => sooner(Some(dial_at)),
                Link::Joined if peer.pending_update.is_some() => {
                    sooner(peer.blocked_until);
                    sooner(peer.session.next_due());
                }
                _ => {}
            }
        }
        at
    }

    // ---- Inputs ---------------------------------------------------------------------------------------

    /// Takes one input; a line of an operator is answered by `answer`, which is given the level and the line.
    pub(crate) fn apply_input(
        &mut self,
        now: Time,
        input: Input,
        answer: impl FnOnce(&mut DaemonState, u8, &str) -> String,
    ) {
        self.now = now.max(self.now);
        self.input_count += 1;
        self.cause = format!("#{} {}", self.input_count, self.describe_input(&input));
        match input {
            Input::TimerExpired => {}
            Input::Recovered(known) => self.recover(*known),
            Input::EventLog(state) => {
                let EventLogState {
                    stopped_reason: stopped,
                    lost_inputs: lost,
                } = state.clone();
                self.event_log = Some(state);
                self.log_event(Event::EventLogChanged {
                    stopped_reason: stopped,
                    lost_inputs: lost,
                });
            }
            Input::EndpointList {
                generation: version,
                hosts,
            } => match self.endpoints.apply_file(self.now, version, hosts) {
                Ok(endpoints) => self.apply_endpoints(endpoints),
                Err(error) => self.reject_endpoint_list(error.to_string()),
            },
            Input::EndpointListRejected { error } => {
                self.endpoints.rejected_reason = Some(error.clone());
                self.reject_endpoint_list(error);
            }
            Input::Connected { proxy, connection } => self.on_connected(proxy, connection),
            Input::Answer {
                proxy,
                connection,
                text,
            } => self.on_answer(proxy, connection, &text),
            Input::Disconnected {
                proxy,
                connection,
                reason,
            } => {
                if self.peer(proxy, connection).is_some() {
                    self.on_disconnected(proxy, &reason);
                }
            }
            Input::HealthCheckCompleted {
                host,
                for_load,
                healthy,
                load,
            } => self.on_health_check(&host, for_load, healthy, load),
            Input::DnsQueried {
                proxy,
                table,
                serial,
            } => self.on_dns_query(proxy, table, serial),
            Input::SecondaryObserved {
                index: n,
                observation: heard,
            } => self.on_secondary(n, heard),
            Input::SenderConnected {
                connection,
                name,
                role,
                incarnation,
            } => self.on_sender_connected(connection, name, role, incarnation),
            Input::ReportReceived { connection, report } => self.on_report(connection, *report),
            Input::SenderDisconnected { connection } => self.on_sender_disconnected(connection),
            Input::MemoryUsage {
                queued_bytes: waiting,
                event_log_bytes: records,
                connection_bytes: connections,
                rejected_connections: capped,
            } => {
                self.memory.takes(Purpose::Waiting, waiting);
                self.memory.takes(Purpose::Records, records);
                self.memory.takes(Purpose::Connections, connections);
                self.memory.capped(Purpose::Connections, capped);
            }
            Input::Solved { number, plan } => self.on_plan(number, plan),
            Input::Command {
                caller,
                level,
                line,
            } => {
                let text = answer(self, level, &line);
                self.outputs.push_back(Output::Reply { caller, text });
            }
        }
        self.run_timers();
        self.follow_up();
    }

    fn describe_input(&self, input: &Input) -> String {
        let proxy = |n: u16| {
            self.peers
                .get(n as usize)
                .map_or("?", |peer| peer.name.as_str())
        };
        match input {
            Input::TimerExpired => "beat".into(),
            Input::Recovered(_) => "recovered".into(),
            Input::EventLog(_) => "records".into(),
            Input::EndpointList {
                generation: version,
                ..
            } => {
                format!("list {}", version.map_or("-".into(), |v| v.to_string()))
            }
            Input::EndpointListRejected { .. } => "list refused".into(),
            Input::Connected { proxy: n, .. } => format!("{} connected", proxy(*n)),
            Input::Answer { proxy: n, .. } => format!("answer of {}", proxy(*n)),
            Input::Disconnected { proxy: n, .. } => format!("{} lost", proxy(*n)),
            Input::HealthCheckCompleted { host, .. } => format!("probe of {host}"),
            Input::DnsQueried { proxy: n, .. } => format!("{} asked", n.map_or("somebody", proxy)),
            Input::SecondaryObserved { index: n, .. } => format!("secondary {n}"),
            Input::SenderConnected { name, .. } => format!("{name} pushes"),
            Input::ReportReceived { .. } | Input::SenderDisconnected { .. } => "a report".into(),
            Input::MemoryUsage { .. } => "memory".into(),
            Input::Solved { number, .. } => format!("plan {number}"),
            Input::Command { line, .. } => {
                format!("operator: {}", line.chars().take(80).collect::<String>())
            }
        }
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
        let (open, draining, gone) = (count(Ready), count(Draining), count(Removed));
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

    fn reject_endpoint_list(&mut self, error: String) {
        self.log_error(format!("hosts: {error}"));
        self.log_event(Event::EndpointListRejected { error });
    }

    /// The peer, if this is still its connection: what comes late for an older one says nothing any more.
    fn peer(&mut self, proxy: u16, connection: u64) -> Option<&mut Peer> {
        let current =
            |peer: &&mut Peer| peer.connection == connection && !matches!(peer.link, Link::Down(_));
        self.peers.get_mut(proxy as usize).filter(current)
    }

    fn on_connected(&mut self, proxy: u16, connection: u64) {
        let now = self.now;
        if let Some(peer) = self.peer(proxy, connection) {
            peer.link = Link::ReadingState;
            peer.silent_since = Some(now);
            let lines = peer.session.begin();
            self.outputs.push_back(Output::Write {
                proxy,
                connection,
                lines,
            });
        }
    }

    fn on_answer(&mut self, proxy: u16, connection: u64, text: &str) {
        let now = self.now;
        let Some(peer) = self
            .peer(proxy, connection)
            .filter(|peer| peer.is_connected())
        else {
            return;
        };
        let (told, lines) = match peer.session.answered(now, text) {
            Ok(result) => result,
            Err(error) => return self.hang_up(proxy, &error.to_string()),
        };
        peer.silent_since = (!peer.session.is_quiet() || !lines.is_empty()).then_some(now);
        if !lines.is_empty() {
            self.outputs.push_back(Output::Write {
                proxy,
                connection,
                lines,
            });
        }
        match told {
            None => {}
            Some(Told::Learned { fresh }) => {
                let peer = &mut self.peers[proxy as usize];
                if peer.link == Link::ReadingState {
                    peer.link = Link::Waiting { fresh };
                } else {
                    // It looked again after a refusal: what is still different is due.
                    peer.require_update(now, &self.cause);
                }
            }
            Some(Told::Applied { took, refused }) => self.on_acknowledged(proxy, took, refused),
            Some(Told::Sums(look)) => {
                let id = self.peers[proxy as usize].id;
                self.record_counters(id, look, now);
            }
        }
    }

    fn on_acknowledged(&mut self, proxy: u16, took: Duration, refused: Vec<String>) {
        let (now, cause) = (self.now, self.cause.clone());
        let peer = &mut self.peers[proxy as usize];
        self.update_queue
            .record_acknowledged(std::mem::take(&mut peer.in_flight));
        peer.failed_dials = 0;
        peer.commands_rejected += refused.len() as u64;
        // There may be a second part that waited for this one.
        peer.require_update(now, &cause);
        peer.blocked_until = None;
        let name = peer.name.clone();
        for error in refused {
            self.log_error(format!("{name}: refused: {error}"));
            self.log_event(Event::UpdateRejected {
                proxy: name.clone(),
                error,
            });
        }
        self.log_event(Event::UpdateAcknowledged {
            proxy: name,
            took_us: took.micros(),
        });
    }

    fn hang_up(&mut self, proxy: u16, reason: &str) {
        let connection = self.peers[proxy as usize].connection;
        self.outputs.push_back(Output::HangUp { proxy, connection });
        self.on_disconnected(proxy, reason);
    }

    fn on_disconnected(&mut self, proxy: u16, reason: &str) {
        let peer = &mut self.peers[proxy as usize];
        let (joined, dialled) = (peer.is_joined(), peer.is_connected());
        self.update_queue
            .record_acknowledged(std::mem::take(&mut peer.in_flight));
        peer.on_disconnected(self.now, &self.links, &mut self.random);
        let (id, name, again) = (peer.id, peer.name.clone(), peer.failed_dials > 1);
        self.outcomes.proxy_lost(proxy);
        self.pushed_reports.silence.left(id);
        if joined {
            if let Some(weigher) = &mut self.weight_planner {
                weigher.estimates().left(id);
            }
            self.controller.proxy_left(self.now, id);
        }
        // A proxy that is simply not there is told of once, not at every dial.
        if dialled || !again {
            self.log_error(format!("{name}: {reason}"));
            self.log_event(Event::ProxyLeft {
                proxy: name,
                reason: reason.to_string(),
            });
        }
    }

    fn on_health_check(
        &mut self,
        host: &str,
        for_load: bool,
        healthy: bool,
        load: Option<ReportedLoad>,
    ) {
        let host = HostId(host.into());
        if let Some(load) = load {
            self.loads.insert(host.clone(), (self.now, load));
        }
        if !for_load {
            self.controller.on_health_check_result(
                self.now,
                &host,
                healthy,
                load.map(|told| told.host_load()),
            );
        }
    }

    // ---- Time -----------------------------------------------------------------------------------------

    fn run_timers(&mut self) {
        let now = self.now;
        if self.timer_at.take_if(|at| *at <= now).is_some() {
            self.controller.on_timer(now);
        }
        if self.outcomes.begin_if_due(now) {
            let speak: Vec<bool> = self
                .peers
                .iter()
                .map(|peer| self.pushes_reports(peer.id))
                .collect();
            let asked = |(peer, speaks): &(&mut Peer, bool)| peer.is_joined() && !speaks;
            for (peer, _) in self.peers.iter_mut().zip(speak).filter(asked) {
                let Some(line) = peer.session.read_stat() else {
                    continue;
                };
                peer.silent_since = Some(now);
                self.outcomes.request_sent(peer.id.0);
                let (proxy, connection) = (peer.id.0, peer.connection);
                self.outputs.push_back(Output::Write {
                    proxy,
                    connection,
                    lines: vec![line],
                });
            }
        }
        if let Some(gathered) = self.outcomes.take_closed(now) {
            self.apply_outcomes(gathered);
        }
        if let Some(every) = self.load_interval
            && self.next_load_read_at.is_some_and(|at| at <= now)
        {
            self.next_load_read_at = Some(now + every);
            for (host, known) in &self.endpoints.hosts {
                if known.state == pondarch_controller::EndpointState::Ready {
                    let (host, addr) = (host.0.to_string(), known.entry.address);
                    self.outputs.push_back(Output::CheckHealth {
                        host,
                        address: addr,
                        for_load: true,
                    });
                }
            }
        }
        self.request_plan();
        self.run_dns_timers();
        let limit = self.links.answer_limit.0;
        let silent = |peer: &Peer| peer.silent_since.is_some_and(|since| now - since >= limit);
        let silent: Vec<u16> = self
            .peers
            .iter()
            .filter(|p| silent(p))
            .map(|p| p.id.0)
            .collect();
        for proxy in silent {
            self.hang_up(proxy, "left a command unanswered for too long");
        }
        let mut dialling = self
            .peers
            .iter()
            .filter(|peer| peer.link == Link::Dialling)
            .count();
        for peer in &mut self.peers {
            if matches!(peer.link, Link::Down(at) if at <= now) && dialling < MAX_CONCURRENT_DIALS {
                dialling += 1;
                peer.connection += 1;
                peer.link = Link::Dialling;
                self.outputs.push_back(Output::Dial {
                    proxy: peer.id.0,
                    connection: peer.connection,
                });
            }
        }
    }

    pub(crate) fn log_event(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((self.now, event.clone()));
        self.outputs.push_back(Output::Event(event));
    }

    fn log_error(&mut self, text: String) {
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
