//! Admission control: under overload the classes of least priority are admitted less, down to what the fleet can do.

use crate::attempt_stats::LOAD_WINDOW;
use crate::config::DeploymentConfig;
use crate::host::{Host, HostRegistry};
use crate::host_policy::HostPolicy;
use crate::load_reports::LoadReports;
use crate::proxy::{Proxy, ProxyRegistry};
use crate::statistics::{EPSILON, median, moving_average};
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// Report delays for which a host's reports count as evidence of overload.
const FRESH_DELAYS: f64 = 3.0;
/// The fleet is overloaded when its median host's answers take this part of the mean latency objective on average: the
/// slower ones then miss it.
const OVERLOADED_LATENCY: f64 = 0.36;
/// The fleet is overloaded when this part of its median host's attempts fails.
const OVERLOADED_FAILURES: f64 = 0.3;
/// Overload under which admission rises fast.
const RELAXED: f64 = 0.6;
/// Long answers count as overload only while this many requests wait at the mean host.
const MIN_QUEUE: f64 = 0.2;
/// Times that overload is raised at most for hosts that went since the reports: lists can be wrong.
const MAX_MISSING_CAPACITY: f64 = 2.0;
/// Under overload the admitted rate is cut to this part of itself, or of the peak.
const CUT_FACTOR: f64 = 0.8;
/// Time until a cut shows in the reports.
const CUT_INTERVAL: Duration = Duration::from_millis(3_000);
/// Rise of the admitted rate per second, in parts of the peak.
const FAST_RISE: f64 = 0.06;
const SLOW_RISE: f64 = 0.02;
/// Least part of the class of highest priority that is admitted.
const MIN_TOP_FRACTION: f64 = 0.5;
/// Step in which admitted fractions are sent.
const FRACTION_STEP: f64 = 0.05;

/// What is known of the fleet when admission is set.
pub(crate) struct AdmissionView<'a> {
    pub(crate) now: Time,
    /// Seconds since admission was set last.
    pub(crate) passed: f64,
    pub(crate) hosts: &'a HostRegistry,
    pub(crate) policy: &'a HostPolicy,
    pub(crate) proxies: &'a ProxyRegistry,
    pub(crate) reports: &'a LoadReports,
    /// Time until what was sent a moment ago shows.
    pub(crate) update_delay: Duration,
}

impl AdmissionView<'_> {
    fn usable_hosts(&self) -> impl Iterator<Item = &Host> {
        self.hosts
            .iter()
            .filter(|host| self.policy.is_usable(host, self.now))
    }

    /// Usable hosts whose reports are fresh: old ones are no evidence.
    fn fresh_hosts(&self) -> impl Iterator<Item = &Host> {
        let max_age_s = self.reports.delay_s() * FRESH_DELAYS;
        self.usable_hosts().filter(move |host| {
            let age = self.reports.newest_at() - host.stats.last_report_at();
            age.seconds() < max_age_s
        })
    }

    fn usable_weight(&self) -> f64 {
        let weight: f64 = self.usable_hosts().map(Host::weight).sum();
        weight.max(EPSILON)
    }

    /// What the usable hosts can do, as far as they have warmed up.
    fn capacity(&self) -> f64 {
        let capacity: f64 = self
            .usable_hosts()
            .map(|host| host.weight() * self.policy.warm_part(host, self.now))
            .sum();
        capacity.max(EPSILON)
    }

    /// The median host's response time in seconds; zero where nothing waits: answers that take long though nothing waits
    /// are no overload, and shedding would make none faster.
    fn queued_latency_s(&self) -> f64 {
        let latencies = self.fresh_hosts().filter_map(|host| host.stats.latency_s());
        let latency_s = median(latencies).unwrap_or(0.0);
        let queues = self
            .fresh_hosts()
            .filter_map(|host| host.stats.queue_length());
        let (reporting, queued) = queues.fold((0.0, 0.0), |(reporting, queued), queue| {
            (reporting + 1.0, queued + queue)
        });
        if queued >= reporting * MIN_QUEUE {
            latency_s
        } else {
            0.0
        }
    }

    fn failure_ratio(&self) -> f64 {
        let ratios = self
            .fresh_hosts()
            .filter_map(|host| host.stats.failure_ratio());
        median(ratios).unwrap_or(0.0)
    }
}

/// What is admitted, and the evidence that it rests on.
pub(crate) struct AdmissionController {
    /// Latency objective of each class, in seconds.
    objectives_s: Vec<f64>,
    /// Classes, those of least priority first.
    least_priority_first: Vec<usize>,
    /// Part of the requests of each class that is admitted.
    fractions: Vec<f64>,
    /// Requests a second that are admitted; none: all.
    admitted_rate: Option<f64>,
    /// The part of all requests that a plan says the fleet can do in time.
    planned_part: Option<f64>,
    overload: f64,
    /// What the usable hosts could do when it was last looked at.
    capacity: f64,
    /// How much more the fleet could do when the reports were made.
    missing_capacity: f64,
    /// The most successes a second ever seen, per weight, so that it grows and shrinks with the fleet.
    peak_per_weight: f64,
    cut_at: Time,
}

impl AdmissionController {
    pub(crate) fn new(config: &DeploymentConfig) -> AdmissionController {
        let classes = &config.request_classes;
        let mut least_priority_first: Vec<usize> = (0..classes.len()).collect();
        let weight = |class: usize| classes[class].priority_weight;
        least_priority_first.sort_by(|&a, &b| weight(a).total_cmp(&weight(b)));
        let objectives = classes
            .iter()
            .map(|class| class.latency_objective.seconds());
        AdmissionController {
            objectives_s: objectives.collect(),
            least_priority_first,
            fractions: vec![1.0; classes.len()],
            admitted_rate: None,
            planned_part: None,
            overload: 0.0,
            capacity: 0.0,
            missing_capacity: 0.0,
            peak_per_weight: 0.0,
            cut_at: Time::default(),
        }
    }

    /// Part of the requests of each class that is admitted.
    pub(crate) fn fractions(&self) -> &[f64] {
        &self.fractions
    }

    /// How overloaded the fleet is; from 1 on, load is shed.
    pub(crate) fn overload(&self) -> f64 {
        self.overload
    }

    /// The most successes a second ever seen, per weight; zero before the first.
    pub(crate) fn peak_per_weight(&self) -> f64 {
        self.peak_per_weight
    }

    /// Part of all requests that is admitted.
    pub(crate) fn admitted_part(&self, proxies: &ProxyRegistry) -> f64 {
        let demand = proxies.demand();
        if demand > 0.0 {
            let admitted = |proxy: &Proxy| -> f64 {
                let rates = proxy.rates().iter().zip(&self.fractions);
                rates.map(|(rate, fraction)| rate * fraction).sum()
            };
            proxies.iter().map(admitted).sum::<f64>() / demand
        } else {
            1.0
        }
    }

    /// A plan says what the fleet can do; values that are no part count as none.
    pub(crate) fn set_plan(&mut self, part: Option<f64>) {
        self.planned_part = part.filter(|part| (0.0..=1.0).contains(part));
    }

    /// The admitted rate and the peak grow and shrink with demand: left unchanged while the proxies of a controller that
    /// restarts join here, they would shed twice what is needed.
    pub(crate) fn on_demand_change(&mut self, before: f64, after: f64) {
        let ratio = after / before;
        if ratio.is_normal() {
            self.admitted_rate = self.admitted_rate.map(|rate| rate * ratio);
            self.peak_per_weight *= ratio;
        } else {
            self.admitted_rate = None;
            self.peak_per_weight = 0.0;
        }
    }

    /// Sets what is admitted by the evidence of overload.
    pub(crate) fn update(&mut self, view: &AdmissionView<'_>) {
        let latency_s = view.queued_latency_s();
        let failure_ratio = view.failure_ratio();
        let weight = view.usable_weight();
        let successes = view.reports.throughput(view.hosts.iter()).successes;
        self.peak_per_weight = self.peak_per_weight.max(successes / weight);
        let by_class = view.proxies.demand_by_class();
        let demand: f64 = by_class.iter().sum();
        self.update_missing_capacity(view);
        let objective_s = self.mean_objective_s(&by_class, demand);
        let by_latency = latency_s / (objective_s * OVERLOADED_LATENCY);
        let by_failures = failure_ratio / OVERLOADED_FAILURES;
        self.overload = by_latency.max(by_failures) * self.missing_capacity;
        self.update_admitted_rate(view, demand, self.peak_per_weight * weight);
        self.update_fractions(&by_class, demand);
    }

    /// Mean latency objective of the requests that come, in seconds.
    fn mean_objective_s(&self, demand_by_class: &[f64], demand: f64) -> f64 {
        let weighted = demand_by_class.iter().zip(&self.objectives_s);
        weighted
            .map(|(rate, objective)| rate * objective)
            .sum::<f64>()
            / demand
    }

    /// Reports tell of what the fleet could do then: what went since shows in them seconds later.
    fn update_missing_capacity(&mut self, view: &AdmissionView<'_>) {
        let capacity = view.capacity();
        let shown = 1.0 - (-view.passed / LOAD_WINDOW.seconds()).exp();
        let missing = moving_average(self.missing_capacity, 1.0, shown) * self.capacity / capacity;
        self.missing_capacity = missing.clamp(1.0, MAX_MISSING_CAPACITY);
        self.capacity = capacity;
    }

    /// Cuts the admitted rate under overload, and raises it else.
    fn update_admitted_rate(&mut self, view: &AdmissionView<'_>, demand: f64, peak: f64) {
        if self.overload > 1.0 && self.may_cut(view) && demand > 0.0 {
            let rate = self.admitted_rate.unwrap_or(demand);
            self.admitted_rate = Some(rate.min(demand).min(peak) * CUT_FACTOR);
            self.cut_at = view.now;
        } else if self.overload <= 1.0 {
            self.admitted_rate = self
                .admitted_rate
                .map(|rate| rate + peak * self.rise(rate, demand) * view.passed)
                .filter(|&rate| rate < demand);
        }
    }

    /// Whether the last cut has had time to show. The first reports after a start tell of a few attempts: a cut to those
    /// would shed nearly all.
    fn may_cut(&self, view: &AdmissionView<'_>) -> bool {
        let first_report_at = view.reports.first_at().unwrap_or(view.now);
        let since = self.cut_at.max(first_report_at);
        view.now - since >= CUT_INTERVAL + view.update_delay
    }

    /// Rise of the admitted rate per second, in parts of the peak.
    fn rise(&self, admitted_rate: f64, demand: f64) -> f64 {
        let is_under_plan = self
            .planned_part
            .is_some_and(|part| admitted_rate < part * demand);
        if self.overload < RELAXED || is_under_plan {
            FAST_RISE
        } else {
            SLOW_RISE
        }
    }

    /// Sheds what is beyond the admitted rate, from the classes of least priority first.
    fn update_fractions(&mut self, demand_by_class: &[f64], demand: f64) {
        let mut excess = self.admitted_rate.map_or(0.0, |rate| demand - rate);
        for &class in &self.least_priority_first {
            let is_top = self.least_priority_first.ends_with(&[class]);
            let min_fraction = if is_top { MIN_TOP_FRACTION } else { 0.0 };
            let class_demand = demand_by_class[class];
            let fraction = 1.0 - excess / class_demand.max(EPSILON);
            let fraction = fraction.clamp(min_fraction, 1.0);
            excess = (excess - class_demand).max(0.0);
            self.fractions[class] = (fraction / FRACTION_STEP).round() * FRACTION_STEP;
        }
    }
}
