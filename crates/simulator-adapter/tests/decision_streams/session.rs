//! One adapter process and the fleets of its controllers: batches of event lines go in, replies come back, and every
//! byte of the replies is hashed.

use crate::fleet::{Change, Fault, Fleet, Health, HostReport, decimal, thousandths};
use crate::site::{CLASSES, REPORT_PERIOD, Site, ZONES};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};

const START: u64 = 1_000_000_000;
/// Time between two batches, in microseconds.
const STEP: u64 = 25_000;

/// What the replies held.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub lines: usize,
    pub tables: usize,
    pub levels: usize,
    pub lowered: usize,
    /// Levels of 1 that came after one below.
    pub raised: usize,
    pub ack_requests: usize,
    pub health_checks: usize,
    pub list_requests: usize,
}

/// A finished run: the digest of all that the adapter wrote, and what that was.
pub(crate) struct Outcome {
    pub digest: String,
    pub counts: Counts,
}

struct Controller {
    site: Site,
    fleet: Fleet,
    /// Version of the list of hosts.
    version: u64,
    subscribed: bool,
}

struct Session {
    now: u64,
    controllers: Vec<Controller>,
    /// Event lines by their time, with the controller they are for, in the order they were made.
    queue: BTreeMap<(u64, u64), (usize, String)>,
    made: u64,
    counts: Counts,
}

/// Runs the adapter with one controller for each site, until the longest of their runs is over.
pub(crate) fn run(sites: &[Site]) -> Outcome {
    let mut process = Command::new(env!("CARGO_BIN_EXE_pondarch-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = process.stdin.take().expect("its input");
    let mut output = BufReader::new(process.stdout.take().expect("its output"));
    let mut session = Session::new(sites);
    let mut hash = Sha256::new();
    let end = START + sites.iter().map(|site| site.seconds).max().unwrap_or(0) * 1_000_000;
    let mut batch = 0;
    while session.now < end {
        batch += 1;
        let text = session.batch(batch);
        let reply = exchange(&mut input, &mut output, &text, batch);
        hash.update(&reply);
        session.take_reply(&reply);
        session.now += STEP;
    }
    finish(process, input);
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

fn exchange(
    input: &mut ChildStdin,
    output: &mut BufReader<ChildStdout>,
    text: &str,
    batch: u64,
) -> String {
    input
        .write_all(text.as_bytes())
        .and_then(|()| input.flush())
        .expect("the adapter reads");
    let (mut reply, last) = (String::new(), format!("YIELD\t{batch}\n"));
    while !reply.ends_with(&last) {
        let read = output.read_line(&mut reply).expect("the adapter writes");
        assert!(read > 0, "the adapter ended in batch {batch}");
    }
    reply
}

fn finish(mut process: Child, input: ChildStdin) {
    drop(input);
    assert!(process.wait().expect("the adapter ends").success());
}

impl Session {
    fn new(sites: &[Site]) -> Session {
        let open = |site: &Site| Controller {
            site: *site,
            fleet: Fleet::new(site),
            version: 40,
            subscribed: false,
        };
        let controllers = sites.iter().map(open).collect();
        let (queue, counts) = (BTreeMap::new(), Counts::default());
        let mut session = Session {
            now: START,
            controllers,
            queue,
            made: 0,
            counts,
        };
        for n in 0..sites.len() {
            session.attach(n, 0);
        }
        session
    }

    fn attach(&mut self, n: usize, generation: u64) {
        let Site { seed, .. } = self.controllers[n].site;
        let settings = self.controllers[n].site.settings();
        self.later(
            n,
            0,
            format!(
                "ATTACH\t{}\t{settings}",
                seed.wrapping_mul(7_919) + generation
            ),
        );
        self.list(n, 0, "stale_copy", None);
        let changes = self.controllers[n].fleet.proxies_join();
        self.tell(n, changes);
    }

    /// Queues event lines of one controller.
    fn later(&mut self, controller: usize, delay: u64, text: String) {
        self.made += 1;
        self.queue
            .insert((self.now + delay, self.made), (controller, text));
    }

    /// Queues a list: of these hosts, or of all that are not removed.
    fn list(&mut self, n: usize, delay: u64, how: &str, hosts: Option<&[usize]>) {
        let Controller { fleet, version, .. } = &mut self.controllers[n];
        *version += 1;
        let all: Vec<usize> = (0..fleet.hosts.len())
            .filter(|&host| fleet.hosts[host].health != Health::Removed)
            .collect();
        let hosts = hosts.unwrap_or(&all);
        let mut text = format!("DEFINE_LIST\t{}\t{}\n", n % 16, hosts.len());
        for host in hosts.iter().map(|&host| &fleet.hosts[host]) {
            let health = match host.health {
                Health::Listed => "IN",
                Health::Draining => "LAME",
                Health::Removed => "OUT",
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
            .expect("text");
        }
        // Now and then a patch is older than the list that the controller holds.
        let old = how == "patch" && fleet.random.percent(4);
        let version = if old { *version - 2 } else { *version };
        write!(text, "BACKENDS_CHANGED\t{how}\t{version}\t{}", n % 16).expect("text");
        self.later(n, delay, text);
    }

    fn tell(&mut self, n: usize, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Hosts(hosts) => {
                    let Controller {
                        site,
                        fleet,
                        subscribed,
                        ..
                    } = &mut self.controllers[n];
                    let (delay, whole) =
                        (fleet.random.between(0, 400_000), fleet.random.percent(20));
                    match (site.list_on_request && !*subscribed, whole) {
                        (true, _) => {}
                        (false, true) => self.list(n, delay, "whole", None),
                        (false, false) => self.list(n, delay, "patch", Some(&hosts)),
                    }
                }
                Change::Joined { proxy, fresh } => {
                    let found = &self.controllers[n].fleet.proxies[proxy];
                    let (weight, zone) = (decimal(found.rate), ZONES[found.zone]);
                    let weight = if proxy % 17 == 5 {
                        "-".to_string()
                    } else {
                        weight
                    };
                    let text = format!("JOINED\t{proxy}\t{}\t{weight}\t{zone}", u8::from(fresh));
                    self.later(n, proxy as u64 * 3_000, text);
                }
                Change::Left(proxy) => {
                    self.later(
                        n,
                        300_000 + proxy as u64 * 3_000,
                        format!("LOST_STREAM\t{proxy}"),
                    );
                }
            }
        }
    }

    /// The lines of one batch.
    fn batch(&mut self, number: u64) -> String {
        if (self.now - START).is_multiple_of(REPORT_PERIOD) {
            (0..self.controllers.len()).for_each(|n| self.second(n));
        }
        let mut text = format!("CLOCK\t{}\t{number}\n", self.now);
        while let Some(entry) = self
            .queue
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let (n, line) = entry.remove();
            writeln!(text, "SELECT\t{}\n{line}", n * 3 + 1).expect("text");
        }
        text.push_str("YOUR_TURN\n");
        text
    }

    /// One second of one site: reports, and perhaps an incident.
    fn second(&mut self, n: usize) {
        let second = (self.now - START) / REPORT_PERIOD;
        let Controller { site, fleet, .. } = &mut self.controllers[n];
        let (site, now) = (*site, self.now);
        let (host_reports, usage_reports) = fleet.serve(now, site.demand_percent(second));
        for report in host_reports {
            self.report(n, &report);
        }
        for report in usage_reports {
            let (late, class) = (
                self.controllers[n].fleet.random.between(0, 500_000),
                CLASSES[report.class],
            );
            let (count, errors, proxy) = (report.count, report.errors, report.proxy);
            self.later(
                n,
                late,
                format!("USAGE\t{count}\t{class}\t{errors}\t{REPORT_PERIOD}\t{proxy}"),
            );
        }
        if self.controllers[n].fleet.random.percent(10) {
            self.odd_lines(n);
        }
        if self.controllers[n].fleet.random.percent(site.trouble) {
            let changes = self.controllers[n].fleet.incident(now);
            self.tell(n, changes);
        }
        if site.trouble > 50 && second == site.seconds * 2 / 3 {
            self.restart(n, second);
        }
    }

    /// The controller is killed, with all that was on its way to it, and starts anew: the joined proxies come again.
    fn restart(&mut self, n: usize, generation: u64) {
        let fleet = &self.controllers[n].fleet;
        let joined = (0..fleet.proxies.len()).filter(|&proxy| fleet.proxies[proxy].joined);
        let again = joined
            .map(|proxy| Change::Joined {
                proxy,
                fresh: false,
            })
            .collect();
        self.queue.retain(|_, (controller, _)| *controller != n);
        self.later(n, 0, "RETIRE".to_string());
        self.attach(n, generation);
        self.tell(n, again);
    }

    fn report(&mut self, n: usize, report: &HostReport) {
        let Controller { site, fleet, .. } = &mut self.controllers[n];
        let late = fleet.random.between(0, 600_000)
            + if fleet.random.percent(3) {
                3_000_000
            } else {
                0
            };
        let load = if site.report_source == "inline" {
            load_report(fleet, report.busy, report.queue)
        } else {
            "-".into()
        };
        let HostReport {
            attempts,
            errors,
            mean_time,
            ..
        } = report;
        let (zone, host) = (ZONES[report.zone], &fleet.hosts[report.host].name);
        let text = format!(
            "ROUNDUP\t{zone}\t{host}\t{attempts}\t{errors}\t{mean_time}\t{REPORT_PERIOD}\t{load}"
        );
        self.later(n, late, text);
    }

    /// Lines with absent values and unknown names, all of which the wire allows.
    fn odd_lines(&mut self, n: usize) {
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
            self.later(n, 0, text);
        }
    }

    // ---- What the controllers decide ---------------------------------------------------------------------

    fn take_reply(&mut self, reply: &str) {
        let (mut n, mut reached) = (0, Vec::new());
        for line in reply.lines() {
            let parts: Vec<&str> = line.split('\t').collect();
            if parts[0] == "ON_BEHALF" {
                n = (whole(parts[1]) as usize - 1) / 3;
                reached.clear();
            } else if parts[0] != "YIELD" {
                self.take_order(n, &parts, &mut reached);
            }
        }
    }

    fn take_order(&mut self, n: usize, parts: &[&str], reached: &mut Vec<usize>) {
        let fleet = &mut self.controllers[n].fleet;
        let counts = &mut self.counts;
        match parts {
            ["SET_LINE", table, host, weight] => {
                counts.lines += 1;
                fleet.set_line(whole(table) as u16, host, thousandths(figure(weight)));
                reached.extend(fleet.users(whole(table) as u16));
            }
            ["HAND_TABLE", proxy, table, classes] => {
                counts.tables += 1;
                fleet.hand_table(whole(proxy) as usize, whole(table) as u16, whole(classes));
                reached.push(whole(proxy) as usize);
            }
            ["VALVE", classes, _, quota, table] => {
                let share = thousandths(figure(quota));
                counts.levels += 1;
                counts.lowered += usize::from(share < 1_000);
                counts.raised += usize::from(share >= 1_000 && counts.lowered > 0);
                fleet.set_level(whole(table) as u16, whole(classes), share);
                reached.extend(fleet.users(whole(table) as u16));
            }
            ["SEAL", ack, "0"] => self.request_acks(n, ack, reached),
            ["INSPECT", host] => self.check_health(n, host),
            ["TRACK", "1"] => self.subscribe(n),
            ["WAKE_AT", delay, name] => {
                let late = if fleet.random.percent(4) {
                    fleet.random.between(0, 2_000_000)
                } else {
                    0
                };
                self.later(n, whole(delay) + late, format!("DEADLINE_HIT\t{name}"));
            }
            other => panic!("a decision that is unknown: {other:?}"),
        }
    }

    /// Each proxy reached acknowledges: soon, late or never.
    fn request_acks(&mut self, n: usize, ack: &str, reached: &mut Vec<usize>) {
        self.counts.ack_requests += 1;
        reached.sort_unstable();
        reached.dedup();
        let slow = self.controllers[n]
            .site
            .extra_delay((self.now - START) / REPORT_PERIOD);
        for &proxy in reached.iter() {
            let random = &mut self.controllers[n].fleet.random;
            if random.percent(8) {
                continue;
            }
            let took =
                random.between(150_000, 900_000) + if random.percent(5) { 5_000_000 } else { slow };
            self.later(n, took, format!("APPLIED\t{proxy}\t{ack}\t{took}"));
        }
    }

    fn check_health(&mut self, n: usize, name: &str) {
        self.counts.health_checks += 1;
        let fleet = &mut self.controllers[n].fleet;
        let host = fleet
            .hosts
            .iter()
            .find(|host| host.name == name)
            .expect("a host that was listed");
        let (result, queue) = match (host.health, host.fault) {
            (Health::Removed, _) => ("NOCONN", 0),
            (Health::Draining, _) => ("FULL", 0),
            (_, Fault::Hangs) => ("LATE", 0),
            (_, Fault::Fails) => (
                if fleet.random.percent(50) {
                    "BAD"
                } else {
                    "GOOD"
                },
                1,
            ),
            _ => ("GOOD", host.queue / 1_000),
        };
        if fleet.random.percent(10) {
            return;
        }
        let took = fleet.random.between(1_000, 60_000);
        let load = if fleet.random.percent(50) {
            load_report(fleet, 620, queue)
        } else {
            "-".to_string()
        };
        self.later(
            n,
            took,
            format!("PROBE_DONE\t{result}\t{name}\t{took}\t{load}"),
        );
    }

    /// A subscription brings the whole list, or fails; one that stands may break later.
    fn subscribe(&mut self, n: usize) {
        self.counts.list_requests += 1;
        let random = &mut self.controllers[n].fleet.random;
        let (delay, fails, breaks) = (
            random.between(5_000, 300_000),
            random.percent(30),
            random.percent(60),
        );
        self.controllers[n].subscribed = !fails;
        if fails {
            return self.later(n, delay, "BACKENDS_CHANGED\tbroken".to_string());
        }
        self.list(n, delay, "whole", None);
        if breaks {
            self.later(n, 9_000_000, "BACKENDS_CHANGED\tbroken".to_string());
        }
    }
}

/// A load report with parts missing now and then.
fn load_report(fleet: &mut Fleet, busy: u64, queue: u64) -> String {
    let missing = fleet.random.percent(10);
    if missing {
        format!("-,{queue}")
    } else {
        format!("{},{queue},{}", decimal(busy), decimal(busy * 7))
    }
}

fn whole(text: &str) -> u64 {
    text.parse().expect("a whole number")
}

fn figure(text: &str) -> f64 {
    text.parse().expect("a number")
}
