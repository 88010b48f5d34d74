//! Estimates the speed of hosts, the work of request classes and the demand from load reports.
//!
//! A controller only observes the requests of its own proxies, late and in report periods. The load that a host reports (busy
//! cores, requests that wait) comes from all senders. Two laws connect these, and their results are averaged by precision:
//!
//! - Little's law: of the time that a request spends at a host, the part waiting / (waiting + busy cores) is waiting, whoever
//!   sent the other requests. Its error comes from queue lengths, which are only sampled.
//! - The utilization law: busy cores over requests a second is the time at work of one request. Its error comes from the
//!   requests of other controllers' proxies, which are not observed.
//!
//! The time at work is the work of the class over the speed of the host; one value for each class and host is found by
//! iteration. Evidence decays with its age and is combined with the listed weight as a prior, so that the estimate of a host
//! without reports returns to its listed weight.

use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, ProxyId, RequestClassId, Time, ZoneId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Half-life of evidence of speed and work: hosts change with deployments and with other load on their machine, not by the
/// second. With 10 s, weights fluctuated by a tenth, and at 0.85 of the capacity some host was always overloaded.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_millis(20_000);
/// Time over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(5_000);
/// Relative deviation of the time of one request from the mean of its class. This and the following errors are rough figures.
const REQUEST_TIME_ERROR: f64 = 0.5;
/// Relative error that all measurements of one host share.
const HOST_TIME_ERROR: f64 = 0.05;
/// Relative error of a queue length, which is only sampled.
const QUEUE_ERROR: f64 = 0.3;
/// Relative error of the utilization that a host reports.
const UTILIZATION_ERROR: f64 = 0.04;
/// Relative deviation, from host to host, of the share of its requests that are the controller's own. It is scaled by the
/// share of proxies that are not the controller's own.
const OWN_SHARE_ERROR: f64 = 0.6;
/// Relative error of listed weights.
const LISTED_WEIGHT_ERROR: f64 = 0.4;
/// Largest factor between an estimated speed and the listed one: a larger deviation has another cause.
const MAX_SPEED_RATIO: f64 = 8.0;
/// Smallest part of the time of a request that counts as work.
const MIN_WORK_SHARE: f64 = 0.05;
/// Iterations after which speeds and work have converged.
const ITERATIONS: usize = 6;
/// Work of a request while none has been observed, in seconds.
const DEFAULT_WORK_S: f64 = 0.1;
/// Utilization of the fleet from which load no longer reflects demand.
const SATURATED_UTILIZATION: f64 = 0.85;
/// Largest plausible number of requests in one observation, time of a request and queue length; larger values are ignored.
const MAX_REQUESTS: f64 = 1e7;
const MAX_REQUEST_TIME_S: f64 = 3_600.0;
const MAX_QUEUE_LENGTH: f64 = 1e6;

/// A host of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost {
    /// Name of the host.
    pub id: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Number of cores; none: the listed weight is taken as a number of cores of the usual speed.
    pub cores: Option<f64>,
    /// Listed weight.
    pub weight: f64,
    /// Part of its capacity that it has now: under 1 while it is warming up.
    pub warm_fraction: f64,
    /// Whether new requests may be sent to it.
    pub ready: bool,
}

impl ListedHost {
    /// Number of cores, or the listed weight in its place.
    pub fn cores(&self) -> f64 {
        self.cores.unwrap_or(self.weight).max(1e-3)
    }
}

/// The speed of one core of each host by its listed weight; the mean is 1.
pub(crate) fn listed_speeds(listed: &[ListedHost]) -> Vec<f64> {
    let speed = |host: &ListedHost| host.weight / host.cores();
    let mean = listed.iter().map(speed).sum::<f64>() / listed.len().max(1) as f64;
    listed
        .iter()
        .map(|host| speed(host) / mean.max(1e-9))
        .collect()
}

/// An estimated value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Its standard error as a part of the value.
    pub relative_error: f64,
    /// Mean age of the evidence.
    pub age: Duration,
}

/// What proxies observed of one host in one report interval, and what the host reported of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostObservation {
    /// Number of completed requests and their total time, by request class.
    pub completed: Vec<(RequestClassId, f64, Duration)>,
    /// Utilization of its cores, and requests that wait.
    pub load: Option<(f64, f64)>,
    /// Time over which the requests were counted.
    pub period: Duration,
}

/// The estimates for all hosts, classes and zones.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetEstimate {
    /// Speed of one core, by host; the mean is about 1.
    pub speeds: BTreeMap<HostId, Estimate>,
    /// Work of one request in seconds of a core of speed 1, by class.
    pub work: Vec<Estimate>,
    /// Demand of the whole fleet in requests a second, by zone and class: that of the own proxies times `demand_scale`.
    pub rates: Vec<Vec<f64>>,
    /// All load relative to the load from the own proxies.
    pub demand_scale: f64,
}

/// Totals of the observations of one host, each weighted by its age.
#[derive(Clone, Debug, Default)]
struct HostTotals {
    updated_at: Time,
    /// Completed requests and their total time in seconds, by class. All totals decay together.
    classes: Vec<(f64, f64)>,
    utilization_sum: f64,
    queue_length_sum: f64,
    load_report_count: f64,
    period_s: f64,
    /// Mean age of the evidence at `updated_at`, in seconds.
    age_s: f64,
}

/// Requests a second that arrive at one proxy, by class.
#[derive(Clone, Debug)]
struct ProxyDemand {
    zone: ZoneId,
    rates: Vec<f64>,
}

/// Collects observations and computes estimates from them.
#[derive(Clone, Debug)]
pub struct Estimator {
    class_count: usize,
    zone_count: usize,
    /// Share of all proxies of the site that are the controller's own.
    own_share: f64,
    hosts: BTreeMap<HostId, HostTotals>,
    demand: BTreeMap<ProxyId, ProxyDemand>,
    last_observed: Option<Time>,
}

impl Estimator {
    /// An estimator without observations. `own_share` is the share of all proxies of the site that are the controller's own.
    pub fn new(class_count: usize, zone_count: usize, own_share: f64) -> Estimator {
        let own_share = if own_share.is_finite() {
            own_share.clamp(1e-3, 1.0)
        } else {
            1.0
        };
        Estimator {
            class_count,
            zone_count,
            own_share,
            hosts: BTreeMap::new(),
            demand: BTreeMap::new(),
            last_observed: None,
        }
    }

    /// Records an observation of a warm host. The times of a host that is warming up say nothing about its later speed.
    pub fn observe_host(&mut self, now: Time, host: &HostId, observation: &HostObservation) {
        let totals = self.hosts.entry(host.clone()).or_default();
        if totals.classes.is_empty() {
            (totals.classes, totals.updated_at) = (vec![(0.0, 0.0); self.class_count], now);
        }
        totals.decay_to(now);
        let before = totals.requests();
        for (class, completed, time) in &observation.completed {
            let Some((requests, time_s)) = totals.classes.get_mut(class.0 as usize) else {
                continue;
            };
            let plausible = (0.0..=MAX_REQUESTS).contains(completed)
                && time.seconds() <= completed * MAX_REQUEST_TIME_S;
            if plausible {
                *requests += completed;
                *time_s += time.seconds();
            }
        }
        let after = totals.requests();
        // The mean age of new evidence is half of its period.
        if after > 0.0 {
            totals.age_s = (totals.age_s * before
                + (after - before) * observation.period.seconds() / 2.0)
                / after;
        }
        totals.period_s += observation.period.seconds();
        if let Some((utilization, queue_length)) = observation.load
            && (0.0..=1.0).contains(&utilization)
            && (0.0..=MAX_QUEUE_LENGTH).contains(&queue_length)
        {
            totals.utilization_sum += utilization;
            totals.queue_length_sum += queue_length;
            totals.load_report_count += 1.0;
        }
        self.last_observed = self.last_observed.max(Some(now));
    }

    /// Records requests that arrived at one of the own proxies.
    pub fn observe_demand(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        class: RequestClassId,
        requests: f64,
        period: Duration,
    ) {
        let demand = self.demand.entry(proxy).or_insert_with(|| ProxyDemand {
            zone,
            rates: vec![0.0; self.class_count],
        });
        demand.zone = zone;
        if let Some(rate) = demand.rates.get_mut(class.0 as usize)
            && period > Duration::ZERO
            && (0.0..=MAX_REQUESTS).contains(&requests)
        {
            let new = requests / period.seconds();
            *rate = if *rate > 0.0 {
                *rate + (new - *rate) * period.sample_weight(DEMAND_WINDOW)
            } else {
                new
            };
        }
    }

    /// A proxy has left: its demand now arrives at others.
    pub fn remove_proxy(&mut self, proxy: ProxyId) {
        self.demand.remove(&proxy);
    }

    /// Forgets a host that has restarted or is gone: earlier observations do not apply to its next process.
    pub fn forget_host(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }

    /// Forgets all other hosts.
    pub fn retain_hosts(&mut self, wanted: impl Fn(&HostId) -> bool) {
        self.hosts.retain(|host, _| wanted(host));
    }

    /// When the latest observation of a host was recorded.
    pub fn last_observed(&self) -> Option<Time> {
        self.last_observed
    }

    /// The estimates for these hosts; none while nothing has been observed.
    #[expect(
        clippy::too_many_lines,
        reason = "one closure for each estimate, over the same evidence"
    )]
    pub fn estimate(&self, now: Time, listed: &[ListedHost]) -> Option<FleetEstimate> {
        self.last_observed?;
        let prior = listed_speeds(listed);
        let evidence: Vec<Option<HostEvidence>> = listed
            .iter()
            .map(|host| {
                self.hosts
                    .get(&host.id)
                    .and_then(|totals| totals.evidence(now, host.cores(), self.own_share))
            })
            .collect();
        let (speed, work) = self.solve_speeds_and_work(&prior, &evidence);
        let speed_estimate = |n: usize| {
            let (precision, age) = match &evidence[n] {
                Some(evidence) => (evidence.precision(), evidence.age),
                None => (0.0, Duration::ZERO),
            };
            let relative_error = (1.0 / (precision + 1.0 / LISTED_WEIGHT_ERROR.powi(2))).sqrt();
            Estimate {
                value: speed[n],
                relative_error,
                age,
            }
        };
        let demand_scale = self.estimate_demand_scale(listed, &evidence, &speed, &work);
        let mut rates = vec![vec![0.0; self.class_count]; self.zone_count];
        for demand in self.demand.values() {
            if let Some(zone_rates) = rates.get_mut(demand.zone.0 as usize) {
                zone_rates
                    .iter_mut()
                    .zip(&demand.rates)
                    .for_each(|(sum, rate)| *sum += rate * demand_scale);
            }
        }
        let work_estimate = |class: usize| {
            let requests: f64 = evidence
                .iter()
                .flatten()
                .map(|evidence| evidence.classes[class].0)
                .sum();
            let ages = evidence
                .iter()
                .flatten()
                .map(|evidence| evidence.age.seconds() * evidence.classes[class].0)
                .sum::<f64>();
            let age = Duration::from_micros((ages / requests.max(1e-9) * 1e6) as u64);
            Estimate {
                value: work[class],
                relative_error: (REQUEST_TIME_ERROR / requests.max(0.25).sqrt())
                    .max(HOST_TIME_ERROR),
                age,
            }
        };
        let speeds = listed
            .iter()
            .enumerate()
            .map(|(n, host)| (host.id.clone(), speed_estimate(n)))
            .collect();
        Some(FleetEstimate {
            speeds,
            work: (0..self.class_count).map(work_estimate).collect(),
            rates,
            demand_scale,
        })
    }

    /// Solves time at work = work of the class / speed of the host for all classes and hosts, by iteration. Returns speeds and
    /// work.
    #[expect(
        clippy::too_many_lines,
        reason = "one iteration, with its steps in order"
    )]
    fn solve_speeds_and_work(
        &self,
        prior: &[f64],
        evidence: &[Option<HostEvidence>],
    ) -> (Vec<f64>, Vec<f64>) {
        let (mut speed, mut work) = (prior.to_vec(), vec![DEFAULT_WORK_S; self.class_count]);
        for _ in 0..ITERATIONS {
            let mut by_class = vec![(0.0, 0.0); self.class_count];
            for (evidence, speed) in evidence.iter().zip(&speed) {
                // Where requests mostly wait, the remaining time at work has a large relative error.
                let Some((evidence, weight)) = evidence
                    .as_ref()
                    .map(|evidence| (evidence, (1.0 - evidence.waiting_share).powi(2)))
                else {
                    continue;
                };
                for (sum, (requests, at_work)) in by_class.iter_mut().zip(&evidence.classes) {
                    *sum = (sum.0 + requests * weight, sum.1 + at_work * weight * speed);
                }
            }
            let known = by_class.iter().filter(|(requests, _)| *requests > 0.0);
            let (requests, all) =
                known.fold((0.0, 0.0), |sum, class| (sum.0 + class.0, sum.1 + class.1));
            let mean_work = if requests > 0.0 {
                all / requests
            } else {
                DEFAULT_WORK_S
            };
            for (work, (requests, all)) in work.iter_mut().zip(&by_class) {
                *work = if *requests > 0.0 {
                    all / requests
                } else {
                    mean_work
                }
                .clamp(1e-6, MAX_REQUEST_TIME_S);
            }
            // Logarithm of each host's measured speed over its listed speed, and its precision.
            let deviation = |(evidence, prior): (&Option<HostEvidence>, &f64)| {
                let evidence = evidence.as_ref()?;
                let expected_s: f64 = evidence
                    .classes
                    .iter()
                    .zip(&work)
                    .map(|((requests, _), work)| requests * work)
                    .sum();
                let measured_s: f64 = evidence.classes.iter().map(|(_, at_work)| at_work).sum();
                Some((
                    (expected_s / measured_s / prior)
                        .clamp(1.0 / MAX_SPEED_RATIO, MAX_SPEED_RATIO)
                        .ln(),
                    evidence.precision(),
                ))
            };
            let deviation: Vec<Option<(f64, f64)>> =
                evidence.iter().zip(prior).map(deviation).collect();
            // The mean deviation is removed, so that hosts with and without evidence have the same scale.
            let (sum, weight) = deviation
                .iter()
                .flatten()
                .fold((0.0, 0.0), |(sum, weight), (ln, precision)| {
                    (sum + ln * precision, weight + precision)
                });
            let mean_ln = if weight > 0.0 { sum / weight } else { 0.0 };
            for ((speed, prior), deviation) in speed.iter_mut().zip(prior).zip(deviation) {
                let (ln, precision) = deviation.unwrap_or((mean_ln, 0.0));
                let evidence_weight = precision / (precision + 1.0 / LISTED_WEIGHT_ERROR.powi(2));
                *speed = prior * ((ln - mean_ln) * evidence_weight).exp();
            }
        }
        (speed, work)
    }

    /// All load relative to the load from the own proxies, as the proxies of other controllers send to the same hosts.
    /// Controllers that all plan for the whole demand arrive at the same weights; if each planned for its own part, all
    /// would send their work to the same idle hosts.
    fn estimate_demand_scale(
        &self,
        listed: &[ListedHost],
        evidence: &[Option<HostEvidence>],
        speed: &[f64],
        work: &[f64],
    ) -> f64 {
        let (mut all, mut own, mut capacity) = (0.0, 0.0, 0.0);
        for ((listed, evidence), speed) in listed.iter().zip(evidence).zip(speed) {
            let Some((evidence, utilization)) = evidence
                .as_ref()
                .and_then(|evidence| Some((evidence, evidence.utilization?)))
            else {
                continue;
            };
            capacity += listed.cores() * speed;
            all += listed.cores() * speed * utilization;
            own += evidence
                .rates
                .iter()
                .zip(work)
                .map(|(rate, work)| rate * work)
                .sum::<f64>();
        }
        let by_proxy_count = 1.0 / self.own_share;
        let scale = if own > 0.0 { all / own } else { by_proxy_count };
        // Load does not reflect demand while all cores are busy.
        let scale = if all > capacity * SATURATED_UTILIZATION {
            scale.max(by_proxy_count)
        } else {
            scale
        };
        scale.clamp(1.0, by_proxy_count * 2.0)
    }
}

/// Evidence from one host's totals, as of now.
#[derive(Clone, Debug)]
struct HostEvidence {
    /// Requests and their total time at work in seconds, by class.
    classes: Vec<(f64, f64)>,
    /// Requests a second from the own proxies, by class.
    rates: Vec<f64>,
    utilization: Option<f64>,
    /// Part of the time of a request that is waiting.
    waiting_share: f64,
    /// Relative variance of the time at work.
    variance: f64,
    age: Duration,
}

impl HostEvidence {
    /// One over the relative variance of the host's speed.
    fn precision(&self) -> f64 {
        let requests: f64 = self.classes.iter().map(|(requests, _)| requests).sum();
        let variance =
            REQUEST_TIME_ERROR.powi(2) / requests + HOST_TIME_ERROR.powi(2) + self.variance;
        if requests < 1e-3 { 0.0 } else { 1.0 / variance }
    }
}

impl HostTotals {
    fn requests(&self) -> f64 {
        self.classes.iter().map(|(requests, _)| requests).sum()
    }

    fn decay_to(&mut self, now: Time) {
        let (factor, elapsed_s) = (
            (now - self.updated_at).decay(EVIDENCE_HALF_LIFE),
            (now - self.updated_at).seconds(),
        );
        self.updated_at = self.updated_at.max(now);
        self.classes
            .iter_mut()
            .for_each(|(requests, time)| (*requests, *time) = (*requests * factor, *time * factor));
        for sum in [
            &mut self.utilization_sum,
            &mut self.queue_length_sum,
            &mut self.load_report_count,
            &mut self.period_s,
        ] {
            *sum *= factor;
        }
        self.age_s += elapsed_s;
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one derivation, with its steps in order"
    )]
    fn evidence(&self, now: Time, cores: f64, own_share: f64) -> Option<HostEvidence> {
        let mut totals = self.clone();
        totals.decay_to(now);
        let requests = totals.requests();
        if requests <= 0.0 {
            return None;
        }
        let mean_time_s: f64 = totals.classes.iter().map(|(_, time)| time).sum::<f64>() / requests;
        let per_second = if totals.period_s > 0.0 {
            1.0 / totals.period_s
        } else {
            0.0
        };
        let mean_load = (totals.load_report_count > 0.0).then(|| {
            (
                totals.utilization_sum / totals.load_report_count,
                totals.queue_length_sum / totals.load_report_count,
            )
        });
        let (waiting_share, variance) = mean_load.map_or(
            (0.0, LISTED_WEIGHT_ERROR.powi(2)),
            |(utilization, queue_length)| {
                let at_work = (cores * utilization).max(1e-6);
                let waiting_by_queue = queue_length / (queue_length + at_work);
                let from_queue = (
                    (mean_time_s * (1.0 - waiting_by_queue)).max(1e-9),
                    (QUEUE_ERROR * waiting_by_queue).powi(2) + 1e-4,
                );
                let share_variance = (OWN_SHARE_ERROR * (1.0 - own_share)).powi(2);
                let from_utilization = (
                    (at_work * own_share / (requests * per_second).max(1e-9)).max(1e-9),
                    UTILIZATION_ERROR.powi(2) + share_variance,
                );
                // Both errors are relative, so that logarithms are averaged, by precision.
                let (queue_precision, utilization_precision) =
                    (1.0 / from_queue.1, 1.0 / from_utilization.1);
                let work = ((from_queue.0.ln() * queue_precision
                    + from_utilization.0.ln() * utilization_precision)
                    / (queue_precision + utilization_precision))
                    .exp();
                (
                    (1.0 - work / mean_time_s.max(1e-9)).clamp(0.0, 1.0 - MIN_WORK_SHARE),
                    1.0 / (queue_precision + utilization_precision),
                )
            },
        );
        let at_work = |(requests, time): &(f64, f64)| {
            (
                *requests,
                (time - requests * mean_time_s * waiting_share)
                    .max(time * MIN_WORK_SHARE)
                    .max(requests * 1e-6),
            )
        };
        Some(HostEvidence {
            classes: totals.classes.iter().map(at_work).collect(),
            rates: totals
                .classes
                .iter()
                .map(|(requests, _)| requests * per_second)
                .collect(),
            utilization: mean_load.map(|(utilization, _)| utilization),
            waiting_share,
            variance,
            age: Duration::from_micros((totals.age_s * 1e6) as u64),
        })
    }
}
