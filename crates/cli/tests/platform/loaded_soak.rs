//! Seeded days of a release under faults, before several controllers: hosts queue, fail and differ in speed, proxies
//! avoid hosts that fail them, streams break and move between controllers.
//!
//! Some tests judge by what hosts were sent, others by what the proxies' tables make likely: the work of single requests
//! varies so much that a cold host falls over by chance once in many days.
//!
//! The environment variable `LOADED_SEEDS` is the number of seeds, `LOADED_FIRST_SEED` the first one (1 by default),
//! `LOADED_PARALLEL` the number of runs at the same time, `LOADED_UTILIZATION` the share of the capacity that the requests
//! use, if it is not drawn, and `LOADED_LOGS` a folder for the logs of broken runs.

use crate::fake_registry::ListedHost;
use crate::loaded_fleet::{LINE_LIMIT, LoadedFleet, MESSAGE_CAP, Settings};
use crate::loaded_host::{HostProfile, LoadedHost, OVERLOAD_MULTIPLE};
use crate::loaded_judge::Overloaded;
use crate::loaded_outages::{Outages, RATE_VARIATION};
use crate::loaded_reported_day::{self, ReportedDay};
use crate::loaded_world::{DayParameters, ProxyRates, ZONES};
use fastrand::Rng;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of seeds without `LOADED_SEEDS`.
const CI_SEEDS: u64 = 4;
/// Runs at the same time.
const PARALLEL_RUNS: usize = 4;
const HOSTS: usize = 30;
pub(crate) const PROXIES: usize = 240;
pub(crate) const CONTROLLERS: usize = 3;
/// The first fault.
const FAULTS_FROM_S: f64 = 3.5;
pub(crate) const TICK: Duration = Duration::from_millis(50);
/// Seconds between two waves of the release.
const WAVE_INTERVAL_S: (f64, f64) = (2.5, 6.5);
/// Connections that a relay takes from one controller.
const MAX_RELAY_CONNECTIONS: usize = 32;
/// Connections that a controller needs to its registry: a request, and a watch at its address and at the three that it was
/// moved away from a moment ago, which the registry does not notice at once.
const MAX_REGISTRY_CONNECTIONS: usize = 5;
/// Health checks within a second that the smallest host bears.
const MAX_CHECKS: usize = 4;

/// What a day draws beside a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DayKind {
    /// Streams break all the time, and single controllers end.
    Churn,
    /// Controllers end together and one after the other, with few other breaks; a few proxies have most requests, channels
    /// slow down, and registries fall silent.
    Outages,
    /// Controllers end together and one after the other, with one to three other faults in all, as the pages have it.
    FewFaults,
    /// The day that was reported three times, with one to three other faults.
    Reported,
}

impl DayKind {
    /// The last fault of a day.
    fn faults_until_s(self) -> f64 {
        match self {
            DayKind::Churn => 48.0,
            DayKind::Outages | DayKind::FewFaults | DayKind::Reported => 54.0,
        }
    }

    /// The end of a day.
    fn end_s(self) -> f64 {
        match self {
            DayKind::Churn => 56.0,
            DayKind::Reported => 58.0,
            DayKind::Outages | DayKind::FewFaults => 62.0,
        }
    }
}

/// What happens to a host next.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HostStep {
    /// It takes requests and answers none.
    Hang,
    Stop,
    Start,
}

/// A change of the list that a controller is told later.
pub(crate) struct Telling {
    pub at: f64,
    pub controller: usize,
    pub changes: Vec<(String, ListedHost)>,
}

/// The measurements of a day.
struct Outcome {
    seed: u64,
    parameters: DayParameters,
    worst: Overloaded,
    most_likely: Overloaded,
    expected_overloads: f64,
    overloaded: Vec<Overloaded>,
    fell_uninformed: Vec<Overloaded>,
    ordered_retries: u64,
    served_share: f64,
    most_messages: usize,
    most_waiting: f64,
    most_connections: usize,
    most_registry_connections: usize,
    most_checks: usize,
    longest_step_s: f64,
    faults: Vec<String>,
    logs: Vec<String>,
}

impl Outcome {
    fn is_no_host_overloaded(&self) -> bool {
        self.overloaded.is_empty() && self.are_limits_kept()
    }

    fn is_no_overload_likely(&self) -> bool {
        self.most_likely.load.sent <= OVERLOAD_MULTIPLE && self.are_limits_kept()
    }

    fn is_no_retry_ordered(&self) -> bool {
        self.ordered_retries == 0 && self.are_limits_kept()
    }

    fn are_limits_kept(&self) -> bool {
        self.most_messages <= MESSAGE_CAP
            && self.most_waiting <= LINE_LIMIT
            && self.most_connections <= MAX_RELAY_CONNECTIONS
            && self.most_registry_connections <= MAX_REGISTRY_CONNECTIONS
            && self.most_checks <= MAX_CHECKS
    }

    fn print(&self) {
        let load = self.worst.load;
        println!(
            "seed {}: {} was sent {:.2} of {:.2} times what it can do ({} requests, {:.2} retried or repeated, {:.2} of it ordered, {:.2} of one proxy; {:.2} expected by weights, {:.2} with avoidance), {:.1} s after its start; at most {:.2} likely, {:.4} overloads expected; {} fell over by the rule, {} otherwise; {} ordered retries at warming hosts; {:.2} served at {:.2}; {} messages, {:.0} lines, {} relay and {} registry connections, {} checks; longest step {:.2} s",
            self.seed,
            self.worst.host,
            load.sent,
            OVERLOAD_MULTIPLE,
            load.requests,
            load.retried,
            load.by_order,
            load.by_one_proxy,
            load.by_weights,
            load.expected,
            load.age_s,
            self.most_likely.load.sent,
            self.expected_overloads,
            self.overloaded.len(),
            self.fell_uninformed.len(),
            self.ordered_retries,
            self.served_share,
            self.parameters.utilization,
            self.most_messages,
            self.most_waiting,
            self.most_connections,
            self.most_registry_connections,
            self.most_checks,
            self.longest_step_s,
        );
        for fallen in &self.fell_uninformed {
            println!(
                "  {} fell over at {:.1} s, {:.1} s after its start, by work of which {:.2} came from proxies that could know",
                fallen.host, fallen.at, fallen.load.age_s, fallen.load.informed_share
            );
        }
    }

    /// Prints what is needed to trace a broken rule, and keeps the logs if `LOADED_LOGS` names a folder.
    fn print_trace(&self) {
        println!("  {:?}", self.parameters);
        for overloaded in &self.overloaded {
            println!("  fell over: {overloaded:?}");
            println!(
                "    {:.2} times the usual requests, {:.2} attempts for each, {} proxies without a controller; it does {:.2} per weight",
                overloaded.rate_factor,
                overloaded.attempts_per_request,
                overloaded.orphans,
                overloaded.full_rate_per_weight,
            );
        }
        self.faults.iter().for_each(|fault| println!("  {fault}"));
        if let Ok(folder) = std::env::var("LOADED_LOGS") {
            for (index, log) in self.logs.iter().enumerate() {
                let path = format!("{folder}/seed-{}-n{index}.log", self.seed);
                std::fs::write(path, log).expect("cannot write the log");
            }
        }
    }
}

/// A day with random faults.
pub(crate) struct Day {
    pub fleet: LoadedFleet,
    pub random: Rng,
    pub parameters: DayParameters,
    pub steps: Vec<(f64, HostStep, String)>,
    pub tellings: Vec<Telling>,
    /// When the last burst and the last delay of reports end.
    pub burst_until: f64,
    pub reports_late_until: f64,
    pub faults: Vec<String>,
    pub crowd: Vec<TcpStream>,
    /// Controllers that are down, and when they start again.
    pub restarts: Vec<(f64, usize)>,
    /// When each controller was last reloaded.
    pub reloaded_at: [f64; CONTROLLERS],
    /// Whether proxies wait for their own controller while it is down, instead of joining another.
    pub proxies_wait: bool,
    pub kind: DayKind,
    /// What else happens on a day of outages.
    pub outages: Outages,
    /// What is still to come of the reported day.
    pub reported_day: ReportedDay,
}

pub(crate) fn host_name(n: usize) -> String {
    format!("host-{n}")
}

pub(crate) fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is before 1970").as_millis() as u64
}

pub(crate) fn between(random: &mut Rng, (from, to): (f64, f64)) -> f64 {
    from + (to - from) * random.f64()
}

pub(crate) fn draw_profiles(random: &mut Rng) -> Vec<(String, HostProfile)> {
    /// Weight of the kinds, and work per second and unit of weight.
    const KIND_WEIGHTS: [f64; 2] = [1.5, 2.0];
    const RATE_PER_WEIGHT: f64 = 4.5;
    let kinds: Vec<(f64, f64)> = KIND_WEIGHTS
        .iter()
        .map(|_| (between(random, (0.17, 0.43)), between(random, (5.3, 18.0))))
        .collect();
    (0..HOSTS)
        .map(|n| {
            let kind = random.usize(0..KIND_WEIGHTS.len());
            let (initial_capacity, warm_after_s) = kinds[kind];
            // Hosts differ from their listed weight by some 20%.
            let speed = 0.65 + 0.7 * (random.f64() + random.f64()) / 2.0;
            let cores = kind + 1;
            let profile = HostProfile {
                zone: ZONES[n % ZONES.len()],
                weight: KIND_WEIGHTS[kind],
                full_rate: KIND_WEIGHTS[kind] * RATE_PER_WEIGHT * speed,
                max_held: cores * random.usize(8..=24),
                initial_capacity,
                warm_after_s,
            };
            (host_name(n), profile)
        })
        .collect()
}

impl Day {
    fn new(seed: u64, kind: DayKind) -> Day {
        let mut random = Rng::with_seed(seed);
        let is_overloaded = random.u32(0..4) == 0;
        let utilization = between(
            &mut random,
            match kind {
                DayKind::Reported => loaded_reported_day::UTILIZATION,
                _ if is_overloaded => (0.95, 1.2),
                _ => (0.39, 0.72),
            },
        );
        let stated = std::env::var("LOADED_UTILIZATION").ok();
        let parameters = DayParameters {
            utilization: stated.map_or(utilization, |value| value.parse().expect("a number")),
            grace_s: between(&mut random, (2.0, 3.4)),
            patience: between(&mut random, (0.4, 1.0)),
            repeated_share: [0.0, 0.5, 1.0][random.usize(0..3)],
            avoided_for_s: between(&mut random, (2.2, 7.7)),
            report_delay_s: between(&mut random, (0.35, 1.4)),
            transit_s: between(&mut random, (0.09, 0.43)),
            rates: match kind {
                DayKind::Churn => ProxyRates::Even,
                DayKind::Outages | DayKind::FewFaults | DayKind::Reported => {
                    ProxyRates::Varied(between(&mut random, RATE_VARIATION))
                }
            },
        };
        let proxies_wait = random.bool();
        let settings = Settings {
            proxies: PROXIES,
            controllers: CONTROLLERS,
            initial_capacity: 0.17,
            warm_after_s: 18.0,
        };
        let profiles = match kind {
            DayKind::Reported => loaded_reported_day::profiles(&mut random),
            DayKind::Churn | DayKind::Outages | DayKind::FewFaults => draw_profiles(&mut random),
        };
        let outages = Outages::draw(&mut Rng::with_seed(!seed));
        let reported_day = ReportedDay::draw(&mut Rng::with_seed(seed.swap_bytes()));
        Day {
            fleet: LoadedFleet::start(seed, parameters.clone(), settings, &profiles),
            random,
            parameters,
            steps: Vec::new(),
            tellings: Vec::new(),
            burst_until: 0.0,
            reports_late_until: 0.0,
            faults: Vec::new(),
            crowd: Vec::new(),
            restarts: Vec::new(),
            reloaded_at: [f64::NEG_INFINITY; CONTROLLERS],
            proxies_wait,
            kind,
            outages,
            reported_day,
        }
    }

    pub(crate) fn note(&mut self, fault: &str) {
        let now = self.fleet.world().now();
        self.faults.push(format!("{now:6.2} s: {fault}"));
    }

    fn run(mut self, seed: u64) -> Outcome {
        let mut wave_at = FAULTS_FROM_S;
        let mut crash_at = between(&mut self.random, (8.0, 14.0));
        let mut fault_at = FAULTS_FROM_S + 4.0;
        let mut signal_at = 24.5;
        loop {
            let now = self.fleet.world().now();
            if now >= self.kind.end_s() {
                break;
            }
            self.advance(now);
            self.start_controllers(now);
            let is_open = now < self.kind.faults_until_s();
            let has_many_faults = matches!(self.kind, DayKind::Churn | DayKind::Outages);
            if is_open && self.kind != DayKind::Reported && now >= wave_at {
                wave_at = now + between(&mut self.random, WAVE_INTERVAL_S);
                self.replace_hosts(now);
            }
            if is_open && has_many_faults && now >= crash_at {
                crash_at = now + between(&mut self.random, (8.0, 25.0));
                self.crash_hosts(now);
            }
            if is_open && has_many_faults && now >= signal_at {
                signal_at = now + between(&mut self.random, (6.0, 20.0));
                self.reload();
            }
            if is_open && has_many_faults && now >= fault_at {
                fault_at = now + between(&mut self.random, (1.0, 5.0));
                self.inject(now);
            }
            if self.has_churn() {
                self.break_streams(now);
            }
            match self.kind {
                DayKind::Churn => {}
                DayKind::Outages | DayKind::FewFaults => self.advance_outages(now),
                DayKind::Reported => {
                    self.advance_reported_day(now);
                    self.end_faults(now);
                    self.inject_few(now);
                }
            }
            thread::sleep(TICK);
        }
        self.outcome(seed)
    }

    fn has_churn(&self) -> bool {
        match self.kind {
            DayKind::Churn | DayKind::Reported => true,
            DayKind::Outages | DayKind::FewFaults => self.outages.has_churn,
        }
    }

    fn outcome(self, seed: u64) -> Outcome {
        let relays = || (0..CONTROLLERS).map(|index| self.fleet.relay(index));
        let world = self.fleet.world();
        Outcome {
            seed,
            parameters: self.parameters.clone(),
            worst: world.worst.clone(),
            most_likely: world.most_likely.clone(),
            expected_overloads: world.expected_overloads,
            overloaded: world.overloaded.clone(),
            fell_uninformed: world.fell_uninformed.clone(),
            ordered_retries: world.ordered_retries_to_warming,
            served_share: world.answered as f64 / world.asked as f64,
            most_messages: relays()
                .map(|relay| relay.most_messages())
                .max()
                .unwrap_or(0),
            most_waiting: relays()
                .map(|relay| relay.most_waiting())
                .fold(0.0, f64::max),
            most_connections: relays()
                .map(|relay| relay.connections().1)
                .max()
                .unwrap_or(0),
            most_registry_connections: self
                .fleet
                .controllers
                .iter()
                .map(|controller| controller.registry.most_connections())
                .max()
                .unwrap_or(0),
            most_checks: world
                .hosts
                .values()
                .map(|host| host.most_checks)
                .max()
                .unwrap_or(0),
            longest_step_s: world.longest_step_s,
            faults: self.faults.clone(),
            logs: self
                .fleet
                .controllers
                .iter()
                .map(|controller| controller.process.log())
                .collect(),
        }
    }

    /// Does what is due for hosts and lists.
    fn advance(&mut self, now: f64) {
        let (due, later) = self.steps.drain(..).partition(|(at, ..)| *at <= now);
        self.steps = later;
        let due: Vec<(f64, HostStep, String)> = due;
        for (_, step, host) in due {
            match step {
                HostStep::Hang => self.change_host(&host, |host| host.speed = 0.0),
                HostStep::Stop => self.change_host(&host, |host| host.is_up = false),
                HostStep::Start => self.start_host(&host),
            }
        }
        let (due, later) = self
            .tellings
            .drain(..)
            .partition(|telling| telling.at <= now);
        self.tellings = later;
        let due: Vec<Telling> = due;
        for telling in due {
            self.fleet.tell(telling.controller, &telling.changes);
        }
        let mut world = self.fleet.world();
        if now >= self.burst_until {
            world.burst = 1.0;
        }
        if now >= self.reports_late_until {
            world.late_reports_s = 0.0;
        }
    }

    /// Starts the controllers that are due again.
    fn start_controllers(&mut self, now: f64) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.restarts.drain(..).partition(|(at, _)| *at <= now);
        self.restarts = later;
        for (_, controller) in due {
            self.note(&format!("n{controller} starts again"));
            self.fleet.start_controller(controller);
        }
    }

    /// Changes the state of a host.
    pub(crate) fn change_host(&self, id: &str, change: impl FnOnce(&mut LoadedHost)) {
        let mut world = self.fleet.world();
        change(world.hosts.get_mut(id).expect("a known host"));
    }

    /// Starts a host; the lists show it a moment later.
    fn start_host(&mut self, host: &str) {
        let now = self.fleet.world().now();
        self.change_host(host, |host| host.start(now));
        let listed = ListedHost {
            lifecycle: "Ready",
            started_ms: unix_ms(),
        };
        let late = match self.kind {
            DayKind::Reported => self.draw_list_delay(),
            _ => between(&mut self.random, (0.27, 2.5)),
        };
        self.tell_all(now + late, &[(host.to_string(), listed)]);
    }

    /// Tells all controllers of a change, each a little earlier or later.
    pub(crate) fn tell_all(&mut self, at: f64, changes: &[(String, ListedHost)]) {
        for controller in 0..CONTROLLERS {
            let told_at = at + 0.3 * self.random.f64();
            self.tellings.push(Telling {
                at: told_at.max(self.outages.silent_until[controller]),
                controller,
                changes: changes.to_vec(),
            });
        }
    }
}

fn from_environment(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("not a number"))
}

/// Plays the days of all seeds; none may break a rule by this verdict.
fn assert_rules_kept(kind: DayKind, is_kept: fn(&Outcome) -> bool) {
    let first = from_environment("LOADED_FIRST_SEED", 1);
    let seeds = from_environment("LOADED_SEEDS", CI_SEEDS);
    let parallel = from_environment("LOADED_PARALLEL", PARALLEL_RUNS as u64);
    let mut broken_seeds = Vec::new();
    let seeds: Vec<u64> = (first..first + seeds).collect();
    for batch in seeds.chunks(parallel as usize) {
        let runs: Vec<_> = batch
            .iter()
            .map(|&seed| thread::spawn(move || Day::new(seed, kind).run(seed)))
            .collect();
        for run in runs {
            let outcome = run.join().expect("a thread panicked");
            outcome.print();
            if !is_kept(&outcome) {
                outcome.print_trace();
                broken_seeds.push(outcome.seed);
            }
        }
    }
    assert!(
        broken_seeds.is_empty(),
        "rules were broken with seeds {broken_seeds:?}"
    );
}

#[test]
fn no_warming_host_is_overloaded_in_a_release_before_three_controllers() {
    assert_rules_kept(DayKind::Churn, Outcome::is_no_host_overloaded);
}

#[test]
fn no_overload_is_likely_in_a_release_before_three_controllers() {
    assert_rules_kept(DayKind::Churn, Outcome::is_no_overload_likely);
}

#[test]
fn no_warming_host_is_overloaded_when_controllers_end_together() {
    assert_rules_kept(DayKind::Outages, Outcome::is_no_host_overloaded);
}

#[test]
fn no_warming_host_is_overloaded_when_controllers_end_and_little_else_fails() {
    assert_rules_kept(DayKind::FewFaults, Outcome::is_no_host_overloaded);
}

#[test]
fn no_retries_reach_warming_hosts_when_controllers_end_together() {
    assert_rules_kept(DayKind::Outages, Outcome::is_no_retry_ordered);
}

#[test]
fn no_overload_is_likely_when_controllers_end_together() {
    assert_rules_kept(DayKind::Outages, Outcome::is_no_overload_likely);
}

#[test]
fn no_warming_host_is_overloaded_on_the_day_that_was_reported_three_times() {
    assert_rules_kept(DayKind::Reported, Outcome::is_no_host_overloaded);
}

#[test]
fn no_overload_is_likely_on_the_day_that_was_reported_three_times() {
    assert_rules_kept(DayKind::Reported, Outcome::is_no_overload_likely);
}
