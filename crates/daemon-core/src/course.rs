//! The course of things: each input is noted, and the decision module told. What follows from its decisions stands
//! in `follow`. The order within an input is always the same: note it, ask the module, bring proxies up to date.

use crate::books::Books;
use crate::channel::Channel;
use crate::event::Event;
use crate::input::{EventLogState, Input};
use crate::list::HostList;
use crate::names::{self, Names};
use crate::output::Output;
use crate::peer::{Link, Peer};
use crate::pushes::Pushes;
use crate::reported_load::ReportedLoad;
use crate::round::Rounds;
use crate::weigher::Weigher;
use crate::zones::Zones;
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
const KEPT_MOST: usize = 256;
/// Load reports older than this many of their periods are not passed on: the module weighs them as new.
pub(crate) const LOAD_PERIODS: f64 = 3.0;
/// Dials under way at one time: a fleet that comes back at once must not flood this machine's sockets.
const DIALS_MOST: usize = 64;

pub(crate) struct Course {
    pub(crate) name: String,
    pub(crate) kinds: Vec<String>,
    pub(crate) links: Links,
    pub(crate) load_every: Option<Duration>,
    pub(crate) report_every: Duration,
    pub(crate) by_rate: bool,
    pub(crate) process: u32,
    pub(crate) started: Time,
    pub(crate) now: Time,
    pub(crate) steward: Controller,
    pub(crate) list: HostList,
    pub(crate) zones: Zones,
    /// None: listed weights are used as they are.
    pub(crate) weigher: Option<Weigher>,
    /// None: no DNS front.
    pub(crate) names: Option<Names>,
    pub(crate) books: Books,
    pub(crate) peers: Vec<Peer>,
    pub(crate) channel: Channel,
    pub(crate) rounds: Rounds,
    pub(crate) chance: fastrand::Rng,
    pub(crate) woken_at: Option<Time>,
    pub(crate) loads: BTreeMap<HostId, (Time, ReportedLoad)>,
    pub(crate) met: BTreeMap<HostId, AttemptOutcomes>,
    pub(crate) load_at: Option<Time>,
    /// When a host's line went to the module last.
    pub(crate) told_at: BTreeMap<HostId, Time>,
    /// Lines of hosts that the module is told in a second; none: all.
    pub(crate) lines_per_second: Option<f64>,
    pub(crate) choice: Choice,
    pub(crate) pushes: Pushes,
    pub(crate) account: Account,
    /// None: nothing is recorded.
    pub(crate) records: Option<EventLogState>,
    pub(crate) inputs: u64,
    pub(crate) cause: String,
    pub(crate) events: VecDeque<(Time, Event)>,
    pub(crate) errors: VecDeque<(Time, String)>,
    pub(crate) out: VecDeque<Output>,
}

impl Course {
    /// `seed` for all chance of this run; `process` is the number that `show info` gives as the steward's own. The
    /// mark that joined proxies get tells this start of this steward from any other: `epoch` must be higher than that of
    /// any start before, or proxies refuse its orders as older ones.
    pub(crate) fn new(site: &Site, seed: u64, process: u32, epoch: u64, now: Time) -> Course {
        let ticket = site.ticket();
        let mark = format!("{}:{epoch}", site.name);
        let front = Arc::new(front(site, &mark));
        let zone = |name: &str| site.zones.iter().position(|z| z == name).unwrap_or(0) as u16;
        let peer = |(n, p): (usize, &pondarch_config::site::Proxy)| {
            Peer::new(n, p, zone(&p.zone), front.clone(), now)
        };
        let of = &site.channel;
        let channel = Channel::new(
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
        Course {
            name: site.name.clone(),
            kinds: site.kinds.iter().map(|kind| kind.name.clone()).collect(),
            links: site.links.clone(),
            load_every,
            report_every: site.reports.every.0,
            by_rate: ticket.admission == AdmissionMode::Rate,
            process,
            started: now,
            now,
            list: HostList::new(site.zones.clone(), ticket.slow_start_window),
            zones: Zones::default(),
            weigher: (site.weights == Weights::Solved).then(|| Weigher::new(site, now)),
            names: Names::new(site),
            books: Books::default(),
            peers: site
                .proxies
                .iter()
                .chain(&names::strangers(site))
                .enumerate()
                .map(peer)
                .collect(),
            channel,
            rounds: Rounds::new(site.reports.every.0, now),
            chance: fastrand::Rng::with_seed(seed),
            steward: Controller::new(ticket, seed, now),
            woken_at: None,
            loads: BTreeMap::new(),
            met: BTreeMap::new(),
            load_at: load_every.map(|every| now + every),
            told_at: BTreeMap::new(),
            lines_per_second: site.reports.lines_per_second,
            choice: Choice::new(seed),
            pushes: Pushes::new(site.reports.push.is_some()),
            account: Account::default(),
            records: None,
            inputs: 0,
            cause: String::new(),
            events: VecDeque::new(),
            errors: VecDeque::new(),
            out: VecDeque::new(),
        }
    }

    pub(crate) fn next_output(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When the next `Input::TimerExpired` is due. What is overdue already waits for some other input, and is looked at
    /// with each: it must not make the clock run in circles.
    pub(crate) fn wake_at(&self) -> Time {
        let mut at = self.rounds.wake_at();
        let mut sooner = |other: Option<Time>| {
            at = other
                .filter(|other| *other > self.now)
                .map_or(at, |other| at.min(other));
        };
        sooner(self.woken_at);
        sooner(self.load_at);
        sooner(self.names.as_ref().and_then(Names::wake_at));
        sooner(self.weigher.as_ref().map(Weigher::wake_at));
        for peer in &self.peers {
            sooner(
                peer.silent_since
                    .map(|since| since + self.links.answer_limit.0),
            );
            match peer.link {
                Link::Down(dial_at) => sooner(Some(dial_at)),
                Link::Joined if peer.dirty.is_some() => {
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
    pub(crate) fn handle(
        &mut self,
        now: Time,
        input: Input,
        answer: impl FnOnce(&mut Course, u8, &str) -> String,
    ) {
        self.now = now.max(self.now);
        self.inputs += 1;
        self.cause = format!("#{} {}", self.inputs, self.named(&input));
        match input {
            Input::TimerExpired => {}
            Input::Recovered(known) => self.recovered(*known),
            Input::EventLog(state) => {
                let EventLogState {
                    stopped_reason: stopped,
                    lost_inputs: lost,
                } = state.clone();
                self.records = Some(state);
                self.tell(Event::EventLogChanged {
                    stopped_reason: stopped,
                    lost_inputs: lost,
                });
            }
            Input::EndpointList {
                generation: version,
                hosts,
            } => match self.list.file_came(self.now, version, hosts) {
                Ok(listings) => self.list_changed(listings),
                Err(wrong) => self.list_refused(wrong),
            },
            Input::EndpointListRejected { error: wrong } => {
                self.list.refused = Some(wrong.clone());
                self.list_refused(wrong);
            }
            Input::Connected {
                proxy,
                connection: conn,
            } => self.connected(proxy, conn),
            Input::Answer {
                proxy,
                connection: conn,
                text,
            } => self.answered(proxy, conn, &text),
            Input::Disconnected {
                proxy,
                connection: conn,
                reason: why,
            } => {
                if self.peer(proxy, conn).is_some() {
                    self.lost(proxy, &why);
                }
            }
            Input::HealthCheckCompleted {
                host,
                for_load,
                healthy: good,
                load,
            } => self.probed(&host, for_load, good, load),
            Input::DnsQueried {
                proxy,
                table,
                serial,
            } => self.asked_by_name(proxy, table, serial),
            Input::SecondaryObserved {
                index: n,
                observation: heard,
            } => self.secondary_heard(n, heard),
            Input::SenderConnected {
                connection: conn,
                name,
                role: is,
                incarnation: run,
            } => self.sender_came(conn, name, is, run),
            Input::ReportReceived {
                connection: conn,
                report,
            } => self.pushed(conn, *report),
            Input::SenderDisconnected { connection: conn } => self.sender_left(conn),
            Input::MemoryUsage {
                queued_bytes: waiting,
                event_log_bytes: records,
                connection_bytes: connections,
                rejected_connections: capped,
            } => {
                self.account.takes(Purpose::Waiting, waiting);
                self.account.takes(Purpose::Records, records);
                self.account.takes(Purpose::Connections, connections);
                self.account.capped(Purpose::Connections, capped);
            }
            Input::Solved { number, plan } => self.solved(number, plan),
            Input::Command {
                caller,
                level,
                line,
            } => {
                let text = answer(self, level, &line);
                self.out.push_back(Output::Reply { caller, text });
            }
        }
        self.timers();
        self.settle();
    }

    fn named(&self, input: &Input) -> String {
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

    pub(crate) fn list_changed(&mut self, mut listings: Vec<Endpoint>) {
        self.weigh_list();
        for listing in &mut listings {
            listing.weight = self
                .list
                .handed
                .get(&listing.host)
                .copied()
                .unwrap_or(listing.weight);
        }
        let count = |wanted| {
            self.list
                .known
                .values()
                .filter(|k| k.standing == wanted)
                .count()
        };
        use pondarch_controller::EndpointState::{Draining, Ready, Removed};
        let (open, draining, gone) = (count(Ready), count(Draining), count(Removed));
        let version = self.list.version;
        self.tell(Event::EndpointListApplied {
            generation: version,
            ready: open,
            draining,
            removed: gone,
        });
        self.steward
            .apply_endpoint_list(self.now, version, true, listings);
        self.touch_names();
        self.find_echoes();
        for table in self.books.readdress(&self.list) {
            self.mark_table(table);
        }
        self.loads
            .retain(|host, _| self.list.known.contains_key(host));
        self.met
            .retain(|host, _| self.list.known.contains_key(host));
        self.told_at
            .retain(|host, _| self.list.known.contains_key(host));
    }

    fn list_refused(&mut self, wrong: String) {
        self.error(format!("hosts: {wrong}"));
        self.tell(Event::EndpointListRejected { error: wrong });
    }

    /// The peer, if this is still its connection: what comes late for an older one says nothing any more.
    fn peer(&mut self, proxy: u16, conn: u64) -> Option<&mut Peer> {
        let current = |peer: &&mut Peer| peer.conn == conn && !matches!(peer.link, Link::Down(_));
        self.peers.get_mut(proxy as usize).filter(current)
    }

    fn connected(&mut self, proxy: u16, conn: u64) {
        let now = self.now;
        if let Some(peer) = self.peer(proxy, conn) {
            peer.link = Link::Looking;
            peer.silent_since = Some(now);
            let lines = peer.session.begin();
            self.out.push_back(Output::Write {
                proxy,
                connection: conn,
                lines,
            });
        }
    }

    fn answered(&mut self, proxy: u16, conn: u64, text: &str) {
        let now = self.now;
        let Some(peer) = self.peer(proxy, conn).filter(|peer| peer.is_connected()) else {
            return;
        };
        let (told, lines) = match peer.session.answered(now, text) {
            Ok(result) => result,
            Err(wrong) => return self.hang_up(proxy, &wrong.to_string()),
        };
        peer.silent_since = (!peer.session.is_quiet() || !lines.is_empty()).then_some(now);
        if !lines.is_empty() {
            self.out.push_back(Output::Write {
                proxy,
                connection: conn,
                lines,
            });
        }
        match told {
            None => {}
            Some(Told::Learned { fresh }) => {
                let peer = &mut self.peers[proxy as usize];
                if peer.link == Link::Looking {
                    peer.link = Link::Known { fresh };
                } else {
                    // It looked again after a refusal: what is still different is due.
                    peer.mark_dirty(now, &self.cause);
                }
            }
            Some(Told::Applied { took, refused }) => self.applied(proxy, took, refused),
            Some(Told::Sums(look)) => {
                let id = self.peers[proxy as usize].id;
                self.looked(id, look, now);
            }
        }
    }

    fn applied(&mut self, proxy: u16, took: Duration, refused: Vec<String>) {
        let (now, cause) = (self.now, self.cause.clone());
        let peer = &mut self.peers[proxy as usize];
        self.channel.cleared(std::mem::take(&mut peer.in_flight));
        peer.failures = 0;
        peer.refused += refused.len() as u64;
        // There may be a second part that waited for this one.
        peer.mark_dirty(now, &cause);
        peer.blocked_until = None;
        let name = peer.name.clone();
        for wrong in refused {
            self.error(format!("{name}: refused: {wrong}"));
            self.tell(Event::UpdateRejected {
                proxy: name.clone(),
                error: wrong,
            });
        }
        self.tell(Event::UpdateAcknowledged {
            proxy: name,
            took_us: took.micros(),
        });
    }

    fn hang_up(&mut self, proxy: u16, why: &str) {
        let conn = self.peers[proxy as usize].conn;
        self.out.push_back(Output::HangUp {
            proxy,
            connection: conn,
        });
        self.lost(proxy, why);
    }

    fn lost(&mut self, proxy: u16, why: &str) {
        let peer = &mut self.peers[proxy as usize];
        let (joined, dialled) = (peer.is_joined(), peer.is_connected());
        self.channel.cleared(std::mem::take(&mut peer.in_flight));
        peer.lost(self.now, &self.links, &mut self.chance);
        let (id, name, again) = (peer.id, peer.name.clone(), peer.failures > 1);
        self.rounds.lost(proxy);
        self.pushes.silence.left(id);
        if joined {
            if let Some(weigher) = &mut self.weigher {
                weigher.estimates().left(id);
            }
            self.steward.proxy_left(self.now, id);
        }
        // A proxy that is simply not there is told of once, not at every dial.
        if dialled || !again {
            self.error(format!("{name}: {why}"));
            self.tell(Event::ProxyLeft {
                proxy: name,
                reason: why.to_string(),
            });
        }
    }

    fn probed(&mut self, host: &str, for_load: bool, good: bool, load: Option<ReportedLoad>) {
        let host = HostId(host.into());
        if let Some(load) = load {
            self.loads.insert(host.clone(), (self.now, load));
        }
        if !for_load {
            self.steward.on_health_check_result(
                self.now,
                &host,
                good,
                load.map(|told| told.host_load()),
            );
        }
    }

    // ---- Time -----------------------------------------------------------------------------------------

    fn timers(&mut self) {
        let now = self.now;
        if self.woken_at.take_if(|at| *at <= now).is_some() {
            self.steward.on_timer(now);
        }
        if self.rounds.due(now) {
            let speak: Vec<bool> = self.peers.iter().map(|peer| self.speaks(peer.id)).collect();
            let asked = |(peer, speaks): &(&mut Peer, bool)| peer.is_joined() && !speaks;
            for (peer, _) in self.peers.iter_mut().zip(speak).filter(asked) {
                let Some(line) = peer.session.read_stat() else {
                    continue;
                };
                peer.silent_since = Some(now);
                self.rounds.asked(peer.id.0);
                let (proxy, conn) = (peer.id.0, peer.conn);
                self.out.push_back(Output::Write {
                    proxy,
                    connection: conn,
                    lines: vec![line],
                });
            }
        }
        if let Some(gathered) = self.rounds.closed(now) {
            self.tell_round(gathered);
        }
        if let Some(every) = self.load_every
            && self.load_at.is_some_and(|at| at <= now)
        {
            self.load_at = Some(now + every);
            for (host, known) in &self.list.known {
                if known.standing == pondarch_controller::EndpointState::Ready {
                    let (host, addr) = (host.0.to_string(), known.entry.address);
                    self.out.push_back(Output::CheckHealth {
                        host,
                        address: addr,
                        for_load: true,
                    });
                }
            }
        }
        self.weigh();
        self.names_timers();
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
            if matches!(peer.link, Link::Down(at) if at <= now) && dialling < DIALS_MOST {
                dialling += 1;
                peer.conn += 1;
                peer.link = Link::Dialling;
                self.out.push_back(Output::Dial {
                    proxy: peer.id.0,
                    connection: peer.conn,
                });
            }
        }
    }

    pub(crate) fn tell(&mut self, event: Event) {
        if self.events.len() == KEPT_MOST {
            self.events.pop_front();
        }
        self.events.push_back((self.now, event.clone()));
        self.out.push_back(Output::Event(event));
    }

    fn error(&mut self, text: String) {
        if self.errors.len() == KEPT_MOST {
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
