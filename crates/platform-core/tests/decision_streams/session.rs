//! A run of one controller with a simulated relay, registry, collectors and hosts. Every call line and health check is
//! hashed together with its time.

mod relay;

use crate::controller::Controller;
use crate::fleet::{Change, Fleet, Health, HostReport, decimal};
use crate::site::{CLASSES, REPORT_PERIOD, Site, ZONES};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// The time at which a run starts, in microseconds.
const START: u64 = 1_000_000_000;
/// Time between two steps of a run, in microseconds.
const STEP: u64 = 10_000;

/// Counts of the controller's decisions and of the outcomes of its calls.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub calls: usize,
    pub lines: usize,
    pub bindings: usize,
    /// Quotas below 1.
    pub quotas_lowered: usize,
    /// Quotas of at least 1 after the first one below 1.
    pub quotas_raised: usize,
    pub ack_requests: usize,
    pub health_checks: usize,
    pub calls_rejected: usize,
    pub calls_applied_in_part: usize,
    pub calls_unanswered: usize,
}

/// The result of a run: the digest of all outputs of the controller, and their counts.
pub(crate) struct Outcome {
    pub digest: String,
    pub counts: Counts,
}

/// An input of the controller.
enum Event {
    EndpointList(String),
    RelayLine(String),
    AnswerTimeout(u64),
    RelayReachable(bool),
    Report(String),
    HealthCheckAnswer {
        host: String,
        healthy: bool,
        body: String,
    },
}

/// A run in progress: the simulated surroundings of the controller, and the events scheduled for it.
struct Session {
    site: Site,
    now: u64,
    fleet: Fleet,
    generation: u64,
    /// Events by the time at which they are due and the order in which they were scheduled.
    scheduled: BTreeMap<(u64, u64), Event>,
    events_scheduled: u64,
    counts: Counts,
}

/// Runs a controller for one site.
pub(crate) fn run(site: &Site) -> Outcome {
    let mut session = Session {
        site: *site,
        now: START,
        fleet: Fleet::new(site),
        generation: 40,
        scheduled: BTreeMap::new(),
        events_scheduled: 0,
        counts: Counts::default(),
    };
    let config = json!({
        "name": "n0", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500", "seed": format!("{:016x}", site.seed),
        "limits": {"sockets": 256}, "hub": {"address": "127.0.0.1:6400"}, "settings": site.settings(),
    });
    let mut controller = Controller::open(&config.to_string(), START);
    session.start();
    let mut hash = Sha256::new();
    while session.now < START + site.seconds * 1_000_000 {
        if (session.now - START).is_multiple_of(REPORT_PERIOD) {
            session.run_second();
        }
        session.deliver_due_events(&mut controller);
        while let Some(action) = controller.next_action(session.now) {
            hash.update(session.execute(action));
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
    /// Schedules the events at the start of a run.
    fn start(&mut self) {
        self.schedule(0, Event::RelayReachable(true));
        self.schedule_list(0, None);
        self.start_membership_watch();
        let changes = self.fleet.proxies_join();
        self.announce_changes(changes);
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.events_scheduled += 1;
        self.scheduled
            .insert((self.now + delay, self.events_scheduled), event);
    }

    fn deliver_due_events(&mut self, controller: &mut Controller) {
        let now = self.now;
        controller.run_due_timer(now);
        while let Some(entry) = self
            .scheduled
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            match entry.remove() {
                Event::EndpointList(text) => controller.endpoint_list(now, &text),
                Event::RelayLine(text) => controller.relay_line(now, &text),
                Event::AnswerTimeout(call) => controller.answer_timeout(now, call),
                Event::RelayReachable(reachable) => controller.relay_reachable(now, reachable),
                Event::Report(text) => controller.report(now, &text),
                Event::HealthCheckAnswer {
                    host,
                    healthy,
                    body,
                } => controller.health_check_answer(now, &host, healthy, &body),
            }
        }
    }

    // ---- Registry and membership events -----------------------------------------------------------------------------

    /// Schedules changes for these hosts, or a complete list of all hosts that are not removed.
    fn schedule_list(&mut self, delay: u64, hosts: Option<&[usize]>) {
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
        // Some changes are older than the list that the controller holds.
        let outdated = hosts.is_some() && self.fleet.random.percent(4);
        let generation = if outdated {
            self.generation - 2
        } else {
            self.generation
        };
        let complete = hosts.is_none();
        let entries = entries.join(",");
        let text = format!(
            "{{\"generation\":{generation},\"reset\":{complete},\"instances\":[{entries}]}}"
        );
        self.schedule(delay, Event::EndpointList(text));
    }

    fn schedule_relay_event(&mut self, delay: u64, method: &str, params: &str) {
        let text = format!("{{\"jsonrpc\":\"2.0\",\"method\":\"{method}\",\"params\":{params}}}");
        self.schedule(delay, Event::RelayLine(text));
    }

    fn schedule_join(&mut self, delay: u64, proxy: usize, fresh: bool) {
        let joining = &self.fleet.proxies[proxy];
        let (zone, rate) = (ZONES[joining.zone], decimal(joining.rate));
        let params =
            format!("{{\"id\":{proxy},\"site\":\"{zone}\",\"rps\":{rate},\"new\":{fresh}}}");
        self.schedule_relay_event(delay, "joined", &params);
    }

    /// Starts a membership watch, which lists all connected proxies and then sends a ping.
    fn start_membership_watch(&mut self) {
        self.schedule(
            0,
            Event::RelayLine("{\"jsonrpc\":\"2.0\",\"id\":0,\"result\":true}".to_string()),
        );
        for proxy in 0..self.fleet.proxies.len() {
            if self.fleet.proxies[proxy].joined {
                self.schedule_join(0, proxy, false);
            }
        }
        self.schedule_relay_event(0, "ping", "{}");
    }

    /// Schedules the lists and membership events that tell the controller of these changes.
    fn announce_changes(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Hosts(hosts) => {
                    let delay = self.fleet.random.between(0, 400_000);
                    let complete = self.fleet.random.percent(20);
                    self.schedule_list(delay, if complete { None } else { Some(&hosts) });
                }
                Change::Joined { proxy, fresh } => {
                    self.schedule_join(proxy as u64 * 1_000, proxy, fresh)
                }
                Change::Left(proxy) => {
                    self.schedule_relay_event(
                        200_000 + proxy as u64 * 1_000,
                        "left",
                        &format!("{{\"id\":{proxy}}}"),
                    );
                }
            }
        }
    }

    // ---- One second of a run ----------------------------------------------------------------------------------------

    fn run_second(&mut self) {
        let second = (self.now - START) / REPORT_PERIOD;
        let (host_reports, usage_reports) =
            self.fleet.serve(self.now, self.site.demand_percent(second));
        for report in host_reports {
            self.schedule_host_report(&report);
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
            let delay = self.fleet.random.between(0, 500_000);
            self.schedule(delay, Event::Report(text));
        }
        if self.fleet.random.percent(10) {
            self.schedule_invalid_inputs();
        }
        if self.fleet.random.percent(5) {
            self.schedule(0, Event::RelayReachable(false));
            self.schedule(700_000, Event::RelayReachable(true));
        }
        if self.fleet.random.percent(self.site.trouble) {
            let changes = self.fleet.incident(self.now);
            // The membership watch may restart at this time. The new watch lists the connected proxies; endpoint lists
            // still arrive.
            if self.fleet.random.percent(25) {
                let is_of_hosts = |change: &Change| matches!(change, Change::Hosts(_));
                self.announce_changes(changes.into_iter().filter(is_of_hosts).collect());
                return self.start_membership_watch();
            }
            self.announce_changes(changes);
        }
        self.schedule_relay_event(0, "ping", "{}");
    }

    fn schedule_host_report(&mut self, report: &HostReport) {
        let delay = self.fleet.random.between(0, 600_000)
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
        self.schedule(delay, Event::Report(text));
    }

    /// Schedules inputs that are malformed, that name unknown things, or that no call or proxy belongs to.
    fn schedule_invalid_inputs(&mut self) {
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
            self.schedule(0, Event::Report(text));
        }
        self.schedule(0, Event::EndpointList("{\"generation\":".to_string()));
        self.schedule_relay_event(0, "left", "{\"id\":60001}");
        self.schedule_relay_event(0, "applied", "{\"id\":1,\"seq\":65535,\"ms\":1.0}");
        self.schedule(
            0,
            Event::RelayLine(
                "{\"jsonrpc\":\"2.0\",\"id\":999999,\"result\":{\"ok_count\":1}}".to_string(),
            ),
        );
    }
}
