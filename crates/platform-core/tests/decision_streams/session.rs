//! One controller and its surroundings: the relay that carries out calls, or does not, registry, collectors and hosts.
//! Every call line and health check is hashed, with its time.

mod relay;

use crate::controller::Controller;
use crate::fleet::{Change, Fleet, Health, HostReport, decimal};
use crate::site::{CLASSES, REPORT_PERIOD, Site, ZONES};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

const START: u64 = 1_000_000_000;
/// Time between two looks at the controller, in microseconds.
const STEP: u64 = 10_000;

/// What the calls held, and how they ended.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub calls: usize,
    pub lines: usize,
    pub tables: usize,
    pub lowered: usize,
    /// Levels of 1 that came after one below.
    pub raised: usize,
    pub ack_requests: usize,
    pub health_checks: usize,
    pub refused: usize,
    pub stopped: usize,
    pub unanswered: usize,
}

/// A finished run: the digest of all that the controller did, and what that was.
pub(crate) struct Outcome {
    pub digest: String,
    pub counts: Counts,
}

/// What reaches the controller.
enum Event {
    List(String),
    RelayLine(String),
    NoAnswer(u64),
    RelayReachable(bool),
    Report(String),
    HealthCheckAnswer {
        host: String,
        good: bool,
        body: String,
    },
}

struct Session {
    site: Site,
    now: u64,
    fleet: Fleet,
    generation: u64,
    queue: BTreeMap<(u64, u64), Event>,
    made: u64,
    counts: Counts,
}

/// Runs one site to its end.
pub(crate) fn run(site: &Site) -> Outcome {
    let mut session = Session {
        site: *site,
        now: START,
        fleet: Fleet::new(site),
        generation: 40,
        queue: BTreeMap::new(),
        made: 0,
        counts: Counts::default(),
    };
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500", "seed": format!("{:016x}", site.seed),
        "limits": {"sockets": 256}, "hub": {"address": "127.0.0.1:6400"}, "settings": site.settings(),
    });
    let mut controller = Controller::open(&config.to_string(), START);
    session.open();
    let mut hash = Sha256::new();
    while session.now < START + site.seconds * 1_000_000 {
        if (session.now - START).is_multiple_of(REPORT_PERIOD) {
            session.second();
        }
        session.deliver(&mut controller);
        while let Some(action) = controller.next_action(session.now) {
            hash.update(session.take(action));
        }
        session.now += STEP;
    }
    let digest = hash
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    Outcome {
        digest,
        counts: session.counts,
    }
}

impl Session {
    fn open(&mut self) {
        self.later(0, Event::RelayReachable(true));
        self.list(0, None);
        self.watch();
        let changes = self.fleet.proxies_join();
        self.announce(changes);
    }

    fn later(&mut self, delay: u64, event: Event) {
        self.made += 1;
        self.queue.insert((self.now + delay, self.made), event);
    }

    fn deliver(&mut self, controller: &mut Controller) {
        let now = self.now;
        controller.time_passed(now);
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            match entry.remove() {
                Event::List(text) => controller.list(now, &text),
                Event::RelayLine(text) => controller.relay_line(now, &text),
                Event::NoAnswer(call) => controller.no_answer(now, call),
                Event::RelayReachable(up) => controller.relay_reachable(now, up),
                Event::Report(text) => controller.report(now, &text),
                Event::HealthCheckAnswer { host, good, body } => {
                    controller.health_check_answer(now, &host, good, &body)
                }
            }
        }
    }

    // ---- Registry and membership events -----------------------------------------------------------------------------

    /// A list: of these hosts, or of all that are not removed.
    fn list(&mut self, delay: u64, hosts: Option<&[usize]>) {
        self.generation += 1;
        let all: Vec<usize> = (0..self.fleet.hosts.len())
            .filter(|&host| self.fleet.hosts[host].health != Health::Removed)
            .collect();
        let entry = |&n: &usize| {
            let host = &self.fleet.hosts[n];
            let state = match host.health {
                Health::Listed => "Ready",
                Health::Draining => "Terminating",
                Health::Removed => "Gone",
            };
            let address = if n % 13 == 7 {
                String::new()
            } else {
                format!("10.1.{}.{}:7070", n / 200, n % 200)
            };
            format!(
                "{{\"instanceId\":\"{}\",\"hostPort\":\"{address}\",\"zone\":\"{}\",\"machineType\":\"{}\",\
                 \"cell\":{},\"lifecycle\":\"{state}\",\"weight\":{},\"startedAtMs\":{}}}",
                host.name,
                ZONES[host.zone],
                host.machine,
                host.cell,
                decimal(host.size),
                host.started / 1_000
            )
        };
        let entries: Vec<String> = hosts.unwrap_or(&all).iter().map(entry).collect();
        // Now and then changes are older than the list that the controller holds.
        let old = hosts.is_some() && self.fleet.random.percent(4);
        let generation = if old {
            self.generation - 2
        } else {
            self.generation
        };
        let complete = hosts.is_none();
        let entries = entries.join(",");
        let text = format!(
            "{{\"generation\":{generation},\"reset\":{complete},\"instances\":[{entries}]}}"
        );
        self.later(delay, Event::List(text));
    }

    fn send_event(&mut self, delay: u64, method: &str, params: &str) {
        let text = format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{method}\",\"params\":{params}}}");
        self.later(delay, Event::RelayLine(text));
    }

    fn joined(&mut self, delay: u64, proxy: usize, fresh: bool) {
        let found = &self.fleet.proxies[proxy];
        let (zone, rate) = (ZONES[found.zone], decimal(found.rate));
        let params =
            format!("{{\"id\":{proxy},\"site\":\"{zone}\",\"rps\":{rate},\"new\":{fresh}}}");
        self.send_event(delay, "joined", &params);
    }

    /// A stream of membership events begins: it names all connected proxies, then pings.
    fn watch(&mut self) {
        self.later(
            0,
            Event::RelayLine("{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}".to_string()),
        );
        for proxy in 0..self.fleet.proxies.len() {
            if self.fleet.proxies[proxy].joined {
                self.joined(0, proxy, false);
            }
        }
        self.send_event(0, "ping", "{}");
    }

    fn announce(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Hosts(hosts) => {
                    let delay = self.fleet.random.between(0, 400_000);
                    let complete = self.fleet.random.percent(20);
                    self.list(delay, if complete { None } else { Some(&hosts) });
                }
                Change::Joined { proxy, fresh } => self.joined(proxy as u64 * 1_000, proxy, fresh),
                Change::Left(proxy) => {
                    self.send_event(
                        200_000 + proxy as u64 * 1_000,
                        "left",
                        &format!("{{\"id\":{proxy}}}"),
                    );
                }
            }
        }
    }

    // ---- One second -------------------------------------------------------------------------------------

    fn second(&mut self) {
        let second = (self.now - START) / REPORT_PERIOD;
        let (host_reports, usage_reports) =
            self.fleet.serve(self.now, self.site.demand_percent(second));
        for report in host_reports {
            self.report(&report);
        }
        for report in usage_reports {
            let (proxy, class, count, errors) = (
                report.proxy,
                CLASSES[report.class],
                report.count,
                report.errors,
            );
            let text =
                format!("usage id {proxy} lane {class} count {count} fail {errors} over 1000.0");
            let late = self.fleet.random.between(0, 500_000);
            self.later(late, Event::Report(text));
        }
        if self.fleet.random.percent(10) {
            self.odd_inputs();
        }
        if self.fleet.random.percent(5) {
            self.later(0, Event::RelayReachable(false));
            self.later(700_000, Event::RelayReachable(true));
        }
        if self.fleet.random.percent(self.site.trouble) {
            let changes = self.fleet.incident(self.now);
            // The stream of events may end just then: the next one names the connected proxies, and the lists arrive all the same.
            if self.fleet.random.percent(25) {
                let by_list = |change: &Change| matches!(change, Change::Hosts(_));
                self.announce(changes.into_iter().filter(by_list).collect());
                return self.watch();
            }
            self.announce(changes);
        }
        self.send_event(0, "ping", "{}");
    }

    fn report(&mut self, report: &HostReport) {
        let late = self.fleet.random.between(0, 600_000)
            + if self.fleet.random.percent(3) {
                3_000_000
            } else {
                0
            };
        let HostReport {
            attempts,
            errors,
            mean_time,
            queue,
            ..
        } = report;
        let (zone, host) = (ZONES[report.zone], &self.fleet.hosts[report.host].name);
        let mut text = format!("heard site {zone} target {host} count {attempts} fail {errors}");
        text += &format!(" mean {} over 1000.0", decimal(*mean_time));
        if self.site.report_source == "inline" {
            text += &format!(
                " util inflight:{queue},queue:{queue},util:{}",
                decimal(report.busy)
            );
        }
        self.later(late, Event::Report(text));
    }

    /// Inputs that say nothing, or cannot be read.
    fn odd_inputs(&mut self) {
        let host = self.fleet.hosts[0].name.clone();
        for text in [
            "heard site ede target nobody count 5 fail 0 mean 4 over 1000".to_string(),
            format!("heard site nowhere target {host} count 5 fail 0 mean 4 over 1000"),
            format!("heard site ede target {host} count 5 fail 9 mean 4 over 1000"),
            format!("heard site ede target {host} count 5 fail 5 over 1000 util -"),
            format!("heard site ede target {host} count 5 fail 0 mean NaN over 1000"),
            "usage id 60000 lane proof count 5 fail 0 over 1000".to_string(),
            "usage id 1 lane unknown count 5 fail 0 over 1000".to_string(),
            "usage id 1 lane proof count 5".to_string(),
        ] {
            self.later(0, Event::Report(text));
        }
        self.later(0, Event::List("{\"generation\":".to_string()));
        self.send_event(0, "left", "{\"id\":60001}");
        self.send_event(0, "applied", "{\"id\":1,\"seq\":65535,\"ms\":1.0}");
        self.later(
            0,
            Event::RelayLine(
                "{\"jsonrpc\":\"2.0\",\"id\":999999,\"result\":{\"ok_count\":1}}".to_string(),
            ),
        );
    }
}
