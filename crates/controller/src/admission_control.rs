//! Admission control: under overload, sheds load from the classes of lowest priority first, down to what the fleet can
//! serve.

use crate::admission_changes::AdmissionCause;
use crate::admission_view::AdmissionView;
use crate::attempt_stats::LOAD_WINDOW;
use crate::config::DeploymentConfig;
use crate::fleet_throughput::FleetThroughput;
use crate::load_evidence::{LoadEvidence, LoadEvidenceTracker};
use crate::proxy::{Proxy, ProxyRegistry};
use crate::startup_limit::StartupLimit;
use crate::statistics::{EPSILON, moving_average};
use crate::time::{DurationExt, Time};
use std::time::Duration;

/// The fleet is overloaded when the median host's mean latency exceeds this fraction of the mean latency objective: the
/// slower responses then miss the objective.
const OVERLOAD_LATENCY_FRACTION: f64 = 0.36;
/// The fleet is overloaded when the median host's failure ratio exceeds this value.
const OVERLOAD_FAILURE_RATIO: f64 = 0.3;
/// Overload below which the admitted rate rises fast.
const LOW_OVERLOAD: f64 = 0.6;
/// Maximum factor on overload for capacity lost since the reports; limited because endpoint lists can be wrong.
const MAX_LOST_CAPACITY_RATIO: f64 = 2.0;
/// Factor of a cut, applied to the least of the admitted rate, the demand and the peak.
const CUT_FACTOR: f64 = 0.8;
/// Minimum time between two cuts: a cut takes this long to show in the reports.
const CUT_INTERVAL: Duration = Duration::from_millis(3_000);
/// Rise of the admitted rate per second under low overload, as a fraction of the peak.
const FAST_RISE: f64 = 0.06;
/// Rise of the admitted rate per second otherwise, as a fraction of the peak.
const SLOW_RISE: f64 = 0.02;
/// Minimum admitted fraction of the class of highest priority.
const MIN_TOP_FRACTION: f64 = 0.5;
/// Minimum capacity of the usable hosts, per unit of weight, for learning their highest throughput.
const MIN_PEAK_CAPACITY: f64 = 0.5;
/// Granularity of admitted fractions.
pub(crate) const FRACTION_STEP: f64 = 0.05;

/// The admitted rate and fractions, and the evidence of overload behind them.
pub(crate) struct AdmissionController {
    /// Latency objective of each class, in seconds.
    objectives_s: Vec<f64>,
    /// Indexes of the classes in ascending order of priority.
    lowest_priority_first: Vec<usize>,
    /// Admitted fraction of each class.
    fractions: Vec<f64>,
    /// Total admitted requests per second; `None` means all.
    admitted_rate: Option<f64>,
    /// Fraction of all requests that the fleet can serve in time according to the capacity plan.
    planned_fraction: Option<f64>,
    /// Overload of the fleet; load is shed above 1.
    overload: f64,
    /// Capacity of the usable hosts at the last update.
    capacity: f64,
    /// Ratio of the capacity at the time of the reports to the current capacity.
    lost_capacity_ratio: f64,
    /// What the hosts have served so far.
    throughput: FleetThroughput,
    /// When the admitted rate was last cut.
    cut_at: Time,
    evidence_tracker: LoadEvidenceTracker,
    /// How well the load was known at the last update.
    evidence: LoadEvidence,
    startup_limit: StartupLimit,
}

impl AdmissionController {
    pub(crate) fn new(config: &DeploymentConfig, now: Time) -> AdmissionController {
        let classes = &config.request_classes;
        let mut lowest_priority_first: Vec<usize> = (0..classes.len()).collect();
        let weight = |class: usize| classes[class].priority_weight;
        lowest_priority_first.sort_by(|&a, &b| weight(a).total_cmp(&weight(b)));
        let objectives = classes
            .iter()
            .map(|class| class.latency_objective.seconds());
        AdmissionController {
            objectives_s: objectives.collect(),
            lowest_priority_first,
            fractions: vec![1.0; classes.len()],
            admitted_rate: None,
            planned_fraction: None,
            overload: 0.0,
            capacity: 0.0,
            lost_capacity_ratio: 0.0,
            throughput: FleetThroughput::new(config),
            cut_at: Time::default(),
            evidence_tracker: LoadEvidenceTracker::new(now),
            evidence: LoadEvidence::Missing,
            startup_limit: StartupLimit::none(),
        }
    }

    /// Returns the admitted fraction of each class.
    pub(crate) fn fractions(&self) -> &[f64] {
        &self.fractions
    }

    /// Returns the indexes of the classes in ascending order of priority.
    pub(crate) fn lowest_priority_first(&self) -> &[usize] {
        &self.lowest_priority_first
    }

    /// Returns the overload of the fleet; load is shed above 1.
    pub(crate) fn overload(&self) -> f64 {
        self.overload
    }

    /// Returns whether reports show the throughput of the fleet.
    pub(crate) fn is_load_known(&self) -> bool {
        self.evidence == LoadEvidence::Full
    }

    /// Returns the fraction of all requests that the startup limit admits.
    pub(crate) fn startup_limit(&self) -> f64 {
        self.startup_limit.fraction()
    }

    /// Returns why the admitted fractions are as they are.
    pub(crate) fn cause(&self, now: Time) -> AdmissionCause {
        if self.admitted_rate.is_some() {
            let is_cut_now = self.cut_at == now;
            return if is_cut_now {
                AdmissionCause::Cut
            } else {
                AdmissionCause::Raised
            };
        }
        if self.startup_limit.is_shedding() {
            AdmissionCause::StartupLimit
        } else {
            AdmissionCause::Unlimited
        }
    }

    /// Returns what the hosts have served so far.
    pub(crate) fn throughput(&self) -> &FleetThroughput {
        &self.throughput
    }

    /// Records that a load report has arrived.
    pub(crate) fn on_report(&mut self, now: Time) {
        self.evidence_tracker.on_report(now);
    }

    /// Returns the admitted fraction of all requests.
    pub(crate) fn admitted_fraction(&self, proxies: &ProxyRegistry) -> f64 {
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

    /// Admits by the capacity of the hosts as they are listed now, as long as the load is not known.
    pub(crate) fn refresh_without_evidence(&mut self, view: &AdmissionView<'_>) {
        if self.evidence < LoadEvidence::Full {
            self.startup_limit.set_to_capacity(view.capacity_fraction());
            self.update_fractions(&view.proxies.demand_by_class());
        }
    }

    /// Sets the fraction of all requests that the fleet can serve by the capacity plan. Values outside 0 to 1 count as
    /// `None`.
    pub(crate) fn set_planned_fraction(&mut self, fraction: Option<f64>) {
        self.planned_fraction = fraction.filter(|fraction| (0.0..=1.0).contains(fraction));
    }

    /// Scales the admitted rate with a change of demand. Otherwise, this controller would shed twice as much load as
    /// needed while the proxies of a restarting controller join it. Without any demand before, nothing is known of the
    /// load.
    pub(crate) fn on_demand_change(&mut self, now: Time, before: f64, after: f64) {
        let ratio = after / before;
        if ratio.is_normal() {
            self.admitted_rate = self.admitted_rate.map(|rate| rate * ratio);
        } else {
            self.admitted_rate = None;
            self.throughput.forget_highest();
            self.restart_evidence(now);
        }
    }

    fn restart_evidence(&mut self, now: Time) {
        self.evidence_tracker = LoadEvidenceTracker::new(now);
        self.evidence = LoadEvidence::Missing;
    }

    /// Updates the overload, the admitted rate and the admitted fractions.
    pub(crate) fn update(&mut self, view: &AdmissionView<'_>) {
        let joined_proxies = view.proxies.len();
        let is_throughput_known = self.throughput.highest(joined_proxies) > 0.0;
        if !is_throughput_known && view.usable_hosts().next().is_none() {
            // All hosts were lost before the load was known: it is as unknown as at the start.
            self.restart_evidence(view.now);
        }
        let latency_s = view.queued_latency_s();
        let failure_ratio = view.failure_ratio();
        let by_class = view.proxies.demand_by_class();
        let demand: f64 = by_class.iter().sum();
        let attempts = view.reports.throughput(view.hosts.iter()).attempts;
        let admitted = demand * self.admitted_fraction(view.proxies);
        let reported_fraction = attempts / admitted.max(EPSILON);
        let evidence = self.evidence_tracker.evidence(
            view.now,
            view.update_delay,
            view.reports.interval(),
            reported_fraction,
        );
        // What is admitted by more evidence lowers the reported fraction, but not what is known.
        self.evidence = self.evidence.max(evidence);
        self.learn_throughput(view);
        self.update_lost_capacity(view);
        let objective_s = self.mean_objective_s(&by_class, demand);
        let by_latency = latency_s / (objective_s * OVERLOAD_LATENCY_FRACTION);
        let by_failures = failure_ratio / OVERLOAD_FAILURE_RATIO;
        self.overload = by_latency.max(by_failures) * self.lost_capacity_ratio;
        let peak = self.peak_rate(view, demand);
        self.update_admitted_rate(view, demand, peak);
        self.update_startup_limit(view, demand);
        self.update_fractions(&by_class);
    }

    /// Updates the throughput of the hosts once reports show it. It would be too low while the startup limit sheds load,
    /// or while most of the capacity is still warming up.
    fn learn_throughput(&mut self, view: &AdmissionView<'_>) {
        self.throughput
            .observe_proxies(view.now, view.proxies.len());
        let weight = view.usable_weight();
        let is_mostly_cold = view.capacity() < weight * MIN_PEAK_CAPACITY;
        let is_shown = self.evidence == LoadEvidence::Full
            && !self.startup_limit.is_shedding()
            && !is_mostly_cold;
        // Without the hosts that are gone: their successes are still counted for a while, but not their weight.
        let successes = view.reports.throughput(view.usable_hosts()).successes;
        let per_weight = is_shown.then_some(successes / weight);
        self.throughput.observe_throughput(view.now, per_weight);
    }

    /// Returns the most requests per second that the usable hosts have served so far, by their weight; the demand as long
    /// as this is not known.
    fn peak_rate(&self, view: &AdmissionView<'_>, demand: f64) -> f64 {
        let highest = self.throughput.highest(view.proxies.len());
        if highest > 0.0 {
            highest * view.usable_weight()
        } else {
            demand
        }
    }

    /// Returns the requests per second to admit.
    fn rate_to_admit(&self, demand: f64) -> f64 {
        let rate = self.admitted_rate.unwrap_or(demand).min(demand);
        rate.min(demand * self.startup_limit.fraction())
    }

    /// Limits what is admitted by the capacity until the load is known: a fleet in which hosts are being replaced may be
    /// overloaded, and its reports come too late for hosts that have just started. Then raises the limit, or ends it at
    /// the first cut, which starts from it.
    fn update_startup_limit(&mut self, view: &AdmissionView<'_>, demand: f64) {
        if self.evidence < LoadEvidence::Full {
            self.startup_limit.set_to_capacity(view.capacity_fraction());
        } else if self.admitted_rate.is_some() {
            self.startup_limit.end();
        } else if self.overload <= 1.0 {
            let rate = self.rate_to_admit(demand);
            let rise = self.rise_per_second(rate, demand) * view.elapsed_s;
            self.startup_limit.raise(rise, view.capacity_fraction());
        }
    }

    /// Returns the mean latency objective in seconds, weighted by the demand of each class.
    fn mean_objective_s(&self, demand_by_class: &[f64], demand: f64) -> f64 {
        let weighted = demand_by_class.iter().zip(&self.objectives_s);
        weighted
            .map(|(rate, objective)| rate * objective)
            .sum::<f64>()
            / demand
    }

    /// Updates the ratio for capacity lost since the reports: reports reflect the fleet of some seconds ago.
    fn update_lost_capacity(&mut self, view: &AdmissionView<'_>) {
        let capacity = view.capacity();
        let reported_fraction = 1.0 - (-view.elapsed_s / LOAD_WINDOW.seconds()).exp();
        let ratio = moving_average(self.lost_capacity_ratio, 1.0, reported_fraction)
            * self.capacity
            / capacity;
        self.lost_capacity_ratio = ratio.clamp(1.0, MAX_LOST_CAPACITY_RATIO);
        self.capacity = capacity;
    }

    /// Cuts the admitted rate under overload and raises it otherwise.
    fn update_admitted_rate(&mut self, view: &AdmissionView<'_>, demand: f64, peak: f64) {
        if self.overload > 1.0 && demand > 0.0 {
            if let Some(rate) = self.rate_after_cut(view, demand, peak) {
                self.admitted_rate = Some(rate);
                self.cut_at = view.now;
            }
        } else if self.overload <= 1.0 {
            self.admitted_rate = self
                .admitted_rate
                .map(|rate| rate + peak * self.rise_per_second(rate, demand) * view.elapsed_s)
                .filter(|&rate| rate < demand);
        }
    }

    /// Returns the admitted rate after a cut, or `None` if none may be made yet: what the last cut did does not show
    /// yet, or reports do not show the load yet. Reports of few attempts say nothing about the throughput, and a cut to
    /// that rate would shed nearly all load. Once they stand for most requests, what is admitted is cut without waiting
    /// until they show the throughput: the queues of an overloaded fleet would be full by then. Where the startup limit
    /// sheds load already, the cut waits: a host that has just started is slow without any overload.
    fn rate_after_cut(&self, view: &AdmissionView<'_>, demand: f64, peak: f64) -> Option<f64> {
        let is_cut_visible = view.now - self.cut_at >= CUT_INTERVAL + view.update_delay;
        let is_load_known = match self.evidence {
            LoadEvidence::Missing => false,
            LoadEvidence::Partial => !self.startup_limit.is_shedding(),
            LoadEvidence::Full => true,
        };
        let may_cut = is_cut_visible && is_load_known;
        may_cut.then(|| self.rate_to_admit(demand).min(peak) * CUT_FACTOR)
    }

    /// Returns the rise of the admitted rate per second, as a fraction of the peak.
    fn rise_per_second(&self, admitted_rate: f64, demand: f64) -> f64 {
        let is_below_plan = self
            .planned_fraction
            .is_some_and(|fraction| admitted_rate < fraction * demand);
        if self.overload < LOW_OVERLOAD || is_below_plan {
            FAST_RISE
        } else {
            SLOW_RISE
        }
    }

    /// Sheds the demand above the admitted rate, from the classes of lowest priority first.
    fn update_fractions(&mut self, demand_by_class: &[f64]) {
        // Where no rates are known, all classes count alike.
        let is_known = demand_by_class.iter().any(|&rate| rate > 0.0);
        let unknown = vec![1.0; demand_by_class.len()];
        let demand_by_class = if is_known { demand_by_class } else { &unknown };
        let demand: f64 = demand_by_class.iter().sum();
        let fractions = shed_lowest_priority_first(
            demand_by_class,
            demand - self.rate_to_admit(demand),
            &self.lowest_priority_first,
            MIN_TOP_FRACTION,
        );
        let rounded = |fraction: f64| (fraction / FRACTION_STEP).round() * FRACTION_STEP;
        self.fractions = fractions.into_iter().map(rounded).collect();
    }
}

/// Returns the fraction of each class that is left when `excess` requests per second are shed from the classes of lowest
/// priority first. Of the class of highest priority, at least `min_top_fraction` is left.
pub(crate) fn shed_lowest_priority_first(
    rate_by_class: &[f64],
    mut excess: f64,
    lowest_priority_first: &[usize],
    min_top_fraction: f64,
) -> Vec<f64> {
    let mut fractions = vec![1.0; rate_by_class.len()];
    for &class in lowest_priority_first {
        let is_top = lowest_priority_first.ends_with(&[class]);
        let min_fraction = if is_top { min_top_fraction } else { 0.0 };
        let class_rate = rate_by_class[class];
        let fraction = 1.0 - excess / class_rate.max(EPSILON);
        fractions[class] = fraction.clamp(min_fraction, 1.0);
        excess = (excess - class_rate).max(0.0);
    }
    fractions
}
