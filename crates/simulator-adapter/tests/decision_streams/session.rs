//! A run of one adapter process with the simulated fleets of its controllers. Batches of event lines are written to the
//! adapter, and every byte of its replies is hashed.

use crate::fleet::{Change, Fault, Fleet, HostReport, HostState, decimal, thousandths};
use crate::site::{CLASSES, REPORT_PERIOD, Site, ZONES};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

/// The time at which a run starts, in microseconds.
const START: u64 = 1_000_000_000;
/// Time between two batches, in microseconds.
const STEP: u64 = 25_000;

/// Counts of the decisions in the replies.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub lines: usize,
    pub bindings: usize,
    pub quotas: usize,
    /// Quotas below 1.
    pub quotas_lowered: usize,
    /// Quotas of at least 1 after the first one below 1.
    pub quotas_raised: usize,
    pub ack_requests: usize,
    pub health_checks: usize,
    pub list_requests: usize,
}

/// The result of a run: the digest of the output of the adapter, and the counts of its decisions.
pub(crate) struct Outcome {
    pub digest: String,
    pub counts: Counts,
}

/// The simulated surroundings of one controller.
struct Controller {
    site: Site,
    fleet: Fleet,
    /// Generation of the endpoint list.
    generation: u64,
    watching_endpoints: bool,
}

/// A run in progress: the controllers, and the event lines scheduled for them.
struct Session {
    now: u64,
    controllers: Vec<Controller>,
    /// Event lines and their controllers, by the time at which they are due and the order in which they were scheduled.
    scheduled: BTreeMap<(u64, u64), (usize, String)>,
    lines_scheduled: u64,
    counts: Counts,
}

/// Runs the adapter with one controller for each site, for the longest duration among the sites.
pub(crate) fn run(sites: &[Site]) -> Outcome {
    let mut process = Command::new(env!("CARGO_BIN_EXE_pondarch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("starting the adapter");
    let mut input = process
        .stdin
        .take()
        .expect("the standard input of the adapter");
    let mut output = BufReader::new(
        process
            .stdout
            .take()
            .expect("the standard output of the adapter"),
    );
    let mut session = Session::new(sites);
    let mut hash = Sha256::new();
    let end = START + sites.iter().map(|site| site.seconds).max().unwrap_or(0) * 1_000_000;
    let mut batch = 0;
    while session.now < end {
        batch += 1;
        let text = session.next_batch(batch);
        let reply = exchange_batch(&mut input, &mut output, &text, batch);
        hash.update(&reply);
        session.apply_reply(&reply);
        session.now += STEP;
    }
    end_process(process, input);
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

/// Writes a batch to the adapter and returns its reply.
fn exchange_batch(
    input: &mut ChildStdin,
    output: &mut BufReader<ChildStdout>,
    text: &str,
    batch: u64,
) -> String {
    input
        .write_all(text.as_bytes())
        .and_then(|()| input.flush())
        .expect("writing to the adapter");
    let (mut reply, last_line) = (String::new(), format!("YIELD\t{batch}\n"));
    while !reply.ends_with(&last_line) {
        let read = output
            .read_line(&mut reply)
            .expect("reading from the adapter");
        assert!(read > 0, "the adapter ended in batch {batch}");
    }
    reply
}

/// Closes the input of the adapter and asserts that it exits successfully.
fn end_process(mut process: Child, input: ChildStdin) {
    drop(input);
    assert!(process.wait().expect("waiting for the adapter").success());
}

impl Session {
    fn new(sites: &[Site]) -> Session {
        let new_controller = |site: &Site| Controller {
            site: *site,
            fleet: Fleet::new(site),
            generation: 40,
            watching_endpoints: false,
        };
        let controllers = sites.iter().map(new_controller).collect();
        let (scheduled, counts) = (BTreeMap::new(), Counts::default());
        let mut session = Session {
            now: START,
            controllers,
            scheduled,
            lines_scheduled: 0,
            counts,
        };
        for n in 0..sites.len() {
            session.attach(n, 0);
        }
        session
    }

    /// Attaches a controller, and announces its endpoint list and proxies.
    fn attach(&mut self, n: usize, seed_offset: u64) {
        let Site { seed, .. } = self.controllers[n].site;
        let settings = self.controllers[n].site.settings();
        self.schedule(
            n,
            0,
            format!(
                "ATTACH\t{}\t{settings}",
                seed.wrapping_mul(7_919) + seed_offset
            ),
        );
        self.schedule_list(n, 0, "stale_copy", None);
        let changes = self.controllers[n].fleet.connect_some_proxies();
        self.announce_changes(n, changes);
    }

    /// Schedules event lines for one controller.
    fn schedule(&mut self, controller: usize, delay: u64, text: String) {
        self.lines_scheduled += 1;
        self.scheduled
            .insert((self.now + delay, self.lines_scheduled), (controller, text));
    }

    /// Schedules an endpoint list of these hosts, or of all hosts that are not removed.
    fn schedule_list(&mut self, n: usize, delay: u64, how: &str, hosts: Option<&[usize]>) {
        let Controller {
            fleet, generation, ..
        } = &mut self.controllers[n];
        *generation += 1;
        let all: Vec<usize> = (0..fleet.hosts.len())
            .filter(|&host| fleet.hosts[host].state != HostState::Removed)
            .collect();
        let hosts = hosts.unwrap_or(&all);
        let mut text = format!("DEFINE_LIST\t{}\t{}\n", n % 16, hosts.len());
        for host in hosts.iter().map(|&host| &fleet.hosts[host]) {
            let health = match host.state {
                HostState::Listed => "IN",
                HostState::Draining => "LAME",
                HostState::Removed => "OUT",
            };
            let started = if host.started == 0 {
                "-".to_string()
            } else {
                host.started.to_string()
            };
            let (weight, zone) = (decimal(host.size), ZONES[host.zone]);
            writeln!(
                text,
                "M\t{started}\t{}\t{}\t{}\t{weight}\t{zone}\t{health}",
                host.name, host.machine, host.cell
            )
            .expect("writing to a string");
        }
        // Some patches are older than the list that the controller holds.
        let outdated = how == "patch" && fleet.random.chance(4);
        let generation = if outdated {
            *generation - 2
        } else {
            *generation
        };
        write!(text, "BACKENDS_CHANGED\t{how}\t{generation}\t{}", n % 16)
            .expect("writing to a string");
        self.schedule(n, delay, text);
    }

    /// Schedules the lists and membership events that tell the controller of these changes.
    fn announce_changes(&mut self, n: usize, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Hosts(hosts) => {
                    let Controller {
                        site,
                        fleet,
                        watching_endpoints,
                        ..
                    } = &mut self.controllers[n];
                    let (delay, complete) =
                        (fleet.random.between(0, 400_000), fleet.random.chance(20));
                    match (site.list_on_request && !*watching_endpoints, complete) {
                        (true, _) => {}
                        (false, true) => self.schedule_list(n, delay, "whole", None),
                        (false, false) => self.schedule_list(n, delay, "patch", Some(&hosts)),
                    }
                }
                Change::Joined {
                    proxy,
                    newly_started,
                } => {
                    let joining = &self.controllers[n].fleet.proxies[proxy];
                    let (weight, zone) = (decimal(joining.rate), ZONES[joining.zone]);
                    let weight = if proxy % 17 == 5 {
                        "-".to_string()
                    } else {
                        weight
                    };
                    let text = format!(
                        "JOINED\t{proxy}\t{}\t{weight}\t{zone}",
                        u8::from(newly_started)
                    );
                    self.schedule(n, proxy as u64 * 3_000, text);
                }
                Change::Left(proxy) => {
                    self.schedule(
                        n,
                        300_000 + proxy as u64 * 3_000,
                        format!("LOST_STREAM\t{proxy}"),
                    );
                }
            }
        }
    }

    /// Returns the lines of the next batch.
    fn next_batch(&mut self, number: u64) -> String {
        if (self.now - START).is_multiple_of(REPORT_PERIOD) {
            (0..self.controllers.len()).for_each(|n| self.run_second(n));
        }
        let mut text = format!("CLOCK\t{}\t{number}\n", self.now);
        while let Some(entry) = self
            .scheduled
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (n, line) = entry.remove();
            writeln!(text, "SELECT\t{}\n{line}", n * 3 + 1).expect("writing to a string");
        }
        text.push_str("YOUR_TURN\n");
        text
    }

    /// Runs one second of a site: schedules its reports and, in some seconds, an incident.
    fn run_second(&mut self, n: usize) {
        let second = (self.now - START) / REPORT_PERIOD;
        let Controller { site, fleet, .. } = &mut self.controllers[n];
        let (site, now) = (*site, self.now);
        let (host_reports, usage_reports) = fleet.serve(now, site.demand_percent(second));
        for report in host_reports {
            self.schedule_host_report(n, &report);
        }
        for report in usage_reports {
            let (delay, class) = (
                self.controllers[n].fleet.random.between(0, 500_000),
                CLASSES[report.class],
            );
            let (count, errors, proxy) = (report.count, report.errors, report.proxy);
            self.schedule(
                n,
                delay,
                format!("USAGE\t{count}\t{class}\t{errors}\t{REPORT_PERIOD}\t{proxy}"),
            );
        }
        if self.controllers[n].fleet.random.chance(10) {
            self.schedule_unusual_lines(n);
        }
        if self.controllers[n]
            .fleet
            .random
            .chance(site.incident_percent)
        {
            let changes = self.controllers[n].fleet.incident(now);
            self.announce_changes(n, changes);
        }
        if site.incident_percent > 50 && second == site.seconds * 2 / 3 {
            self.restart(n, second);
        }
    }

    /// Kills the controller, drops all messages on their way to it, and starts it again; the joined proxies join again.
    fn restart(&mut self, n: usize, seed_offset: u64) {
        let fleet = &self.controllers[n].fleet;
        let joined = (0..fleet.proxies.len()).filter(|&proxy| fleet.proxies[proxy].joined);
        let rejoining = joined
            .map(|proxy| Change::Joined {
                proxy,
                newly_started: false,
            })
            .collect();
        self.scheduled.retain(|_, (controller, _)| *controller != n);
        self.schedule(n, 0, "RETIRE".to_string());
        self.attach(n, seed_offset);
        self.announce_changes(n, rejoining);
    }

    /// Schedules a load report with a delay, which is 3 s longer for 3 % of the reports.
    fn schedule_host_report(&mut self, n: usize, report: &HostReport) {
        let Controller { site, fleet, .. } = &mut self.controllers[n];
        let delay =
            fleet.random.between(0, 600_000) + if fleet.random.chance(3) { 3_000_000 } else { 0 };
        let load = if site.report_source == "inline" {
            load_report(fleet, report.busy, report.queue)
        } else {
            "-".into()
        };
        let HostReport {
            attempts,
            errors,
            mean_latency,
            ..
        } = report;
        let (zone, host) = (ZONES[report.zone], &fleet.hosts[report.host].name);
        let text = format!(
            "ROUNDUP\t{zone}\t{host}\t{attempts}\t{errors}\t{mean_latency}\t{REPORT_PERIOD}\t{load}"
        );
        self.schedule(n, delay, text);
    }

    /// Schedules lines with missing values and unknown names, all of which the protocol allows.
    fn schedule_unusual_lines(&mut self, n: usize) {
        let host = self.controllers[n].fleet.hosts[0].name.clone();
        for text in [
            "ROUNDUP\tede\tnobody\t14\t1\t48250\t1000000\t0.620,3".to_string(),
            format!("ROUNDUP\tede\t{host}\t-\t-\t-\t-\t-"),
            format!("ROUNDUP\tnowhere\t{host}\t3\t5\t0\t-\t-,-,-"),
            "USAGE\t9\tunknown\t0\t1000000\t1".to_string(),
            "USAGE\t-\tproof\t-\t-\t60000".to_string(),
            "PROBE_DONE\tGOOD\tnobody\t1400\t-".to_string(),
            "LOST_STREAM\t60001".to_string(),
            "APPLIED\t1\t65535\t-".to_string(),
        ] {
            self.schedule(n, 0, text);
        }
    }

    // ---- Decisions of the controllers --------------------------------------------------------------------

    /// Applies the decisions in a reply to the fleets.
    fn apply_reply(&mut self, reply: &str) {
        let (mut n, mut reached) = (0, Vec::new());
        for line in reply.lines() {
            let parts: Vec<&str> = line.split('\t').collect();
            if parts[0] == "ON_BEHALF" {
                n = (integer(parts[1]) as usize - 1) / 3;
                reached.clear();
            } else if parts[0] != "YIELD" {
                self.apply_decision(n, &parts, &mut reached);
            }
        }
    }

    /// Applies a decision. `reached` collects the proxies to which the decisions since the last `ON_BEHALF` apply.
    fn apply_decision(&mut self, n: usize, parts: &[&str], reached: &mut Vec<usize>) {
        let fleet = &mut self.controllers[n].fleet;
        let counts = &mut self.counts;
        match parts {
            ["SET_LINE", table, host, weight] => {
                counts.lines += 1;
                fleet.set_line(integer(table) as u16, host, thousandths(number(weight)));
                reached.extend(fleet.joined_proxies_with(integer(table) as u16));
            }
            ["HAND_TABLE", proxy, table, classes] => {
                counts.bindings += 1;
                fleet.bind_table(
                    integer(proxy) as usize,
                    integer(table) as u16,
                    integer(classes),
                );
                reached.push(integer(proxy) as usize);
            }
            ["VALVE", classes, _, quota, table] => {
                let quota = thousandths(number(quota));
                counts.quotas += 1;
                counts.quotas_lowered += usize::from(quota < 1_000);
                counts.quotas_raised += usize::from(quota >= 1_000 && counts.quotas_lowered > 0);
                fleet.set_quota(integer(table) as u16, integer(classes), quota);
                reached.extend(fleet.joined_proxies_with(integer(table) as u16));
            }
            ["SEAL", ack, "0"] => self.request_acks(n, ack, reached),
            ["INSPECT", host] => self.check_health(n, host),
            ["TRACK", "1"] => self.watch_endpoints(n),
            ["WAKE_AT", delay, name] => {
                let extra_delay = if fleet.random.chance(4) {
                    fleet.random.between(0, 2_000_000)
                } else {
                    0
                };
                self.schedule(
                    n,
                    integer(delay) + extra_delay,
                    format!("DEADLINE_HIT\t{name}"),
                );
            }
            other => panic!("unknown decision: {other:?}"),
        }
    }

    /// Each proxy that the updates reached acknowledges them promptly, late or never.
    fn request_acks(&mut self, n: usize, ack: &str, reached: &mut Vec<usize>) {
        self.counts.ack_requests += 1;
        reached.sort_unstable();
        reached.dedup();
        let relay_delay = self.controllers[n]
            .site
            .extra_delay((self.now - START) / REPORT_PERIOD);
        for &proxy in reached.iter() {
            let random = &mut self.controllers[n].fleet.random;
            if random.chance(8) {
                continue;
            }
            let took = random.between(150_000, 900_000)
                + if random.chance(5) {
                    5_000_000
                } else {
                    relay_delay
                };
            self.schedule(n, took, format!("APPLIED\t{proxy}\t{ack}\t{took}"));
        }
    }

    /// Schedules the result of a health check; 10 % of the checks have none.
    fn check_health(&mut self, n: usize, name: &str) {
        self.counts.health_checks += 1;
        let fleet = &mut self.controllers[n].fleet;
        let host = fleet
            .hosts
            .iter()
            .find(|host| host.name == name)
            .expect("the host is listed");
        let (result, queue) = match (host.state, host.fault) {
            (HostState::Removed, _) => ("NOCONN", 0),
            (HostState::Draining, _) => ("FULL", 0),
            (_, Fault::Hangs) => ("LATE", 0),
            (_, Fault::Fails) => (
                if fleet.random.chance(50) {
                    "BAD"
                } else {
                    "GOOD"
                },
                1,
            ),
            _ => ("GOOD", host.queue / 1_000),
        };
        if fleet.random.chance(10) {
            return;
        }
        let took = fleet.random.between(1_000, 60_000);
        let load = if fleet.random.chance(50) {
            load_report(fleet, 620, queue)
        } else {
            "-".to_string()
        };
        self.schedule(
            n,
            took,
            format!("PROBE_DONE\t{result}\t{name}\t{took}\t{load}"),
        );
    }

    /// Starts a watch of the endpoints, which sends the complete list or fails. A started watch may fail later.
    fn watch_endpoints(&mut self, n: usize) {
        self.counts.list_requests += 1;
        let random = &mut self.controllers[n].fleet.random;
        let (delay, fails, fails_later) = (
            random.between(5_000, 300_000),
            random.chance(30),
            random.chance(60),
        );
        self.controllers[n].watching_endpoints = !fails;
        if fails {
            return self.schedule(n, delay, "BACKENDS_CHANGED\tbroken".to_string());
        }
        self.schedule_list(n, delay, "whole", None);
        if fails_later {
            self.schedule(n, 9_000_000, "BACKENDS_CHANGED\tbroken".to_string());
        }
    }
}

/// Returns a load report, of which 10 % lack values.
fn load_report(fleet: &mut Fleet, busy: u64, queue: u64) -> String {
    let incomplete = fleet.random.chance(10);
    if incomplete {
        format!("-,{queue}")
    } else {
        format!("{},{queue},{}", decimal(busy), decimal(busy * 7))
    }
}

fn integer(text: &str) -> u64 {
    text.parse().expect("a whole number")
}

fn number(text: &str) -> f64 {
    text.parse().expect("a number")
}
