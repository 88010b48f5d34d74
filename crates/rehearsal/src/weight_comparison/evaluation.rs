//! Evaluates the observations of one run, and computes the best result that any weights could reach.

use super::{Plan, Site, SiteHost};
use crate::client::RequestClass;
use crate::observations::Observation;
use crate::service_level::{ServiceLevel, measure};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Weights by host as one controller showed them, one map per poll.
pub(super) type WeightHistory = Vec<BTreeMap<String, f64>>;

/// Time span over which a host's load is measured.
const LOAD_WINDOW: Duration = Duration::from_secs(5);
/// The same for the new host; equal to the window of the rule about warming hosts.
const SLOW_START_LOAD_WINDOW: Duration = Duration::from_secs(2);

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Evaluation {
    #[serde(rename = "service")]
    pub service_level: ServiceLevel,
    /// Fraction of the priority weight that was answered in time.
    #[serde(rename = "share")]
    pub service_share: f64,
    /// Work received by the busiest host relative to its capacity, over 5 s; mean over these windows.
    #[serde(rename = "busiest")]
    pub busiest_load: f64,
    /// Work received by the new host relative to its capacity at that time, over 2 s; maximum during the slow start.
    #[serde(rename = "new_most")]
    pub new_host_max_load: f64,
    /// Weight changes per host and minute during the evaluation.
    #[serde(rename = "changes")]
    pub weight_changes: f64,
    /// How many of them reversed the direction of the previous change.
    #[serde(rename = "turns")]
    pub weight_reversals: f64,
    pub hosts: Vec<HostEvaluation>,
}

/// One host of the site: capacity, listed weight, last weight, and work received during the evaluation relative to its
/// capacity.
#[derive(Clone, Debug, Serialize)]
pub struct HostEvaluation {
    pub name: String,
    pub capacity: f64,
    #[serde(rename = "listed")]
    pub listed_weight: f64,
    pub weight: f64,
    pub load: f64,
}

impl Evaluation {
    pub(super) fn new(
        observations: &[(Duration, Observation)],
        plan: &Plan,
        site: &Site,
        classes: &[RequestClass],
        from: Duration,
        weights: &[WeightHistory],
    ) -> Evaluation {
        let service_level = measure(observations, classes, from, from + plan.evaluation_time);
        let (weight_changes, weight_reversals) = count_weight_changes(plan, weights);
        let service_share = service_level.share().unwrap_or(0.0);
        let busiest_load = busiest_load(observations, site, from, plan.evaluation_time);
        let work = received_work(observations, from, from + plan.evaluation_time);
        let last = weights.first().and_then(|history| history.last());
        let host = |host: &SiteHost| HostEvaluation {
            name: host.name.clone(),
            capacity: host.capacity(),
            listed_weight: host.listed_weight,
            weight: last
                .and_then(|weights| weights.get(&host.name).copied())
                .unwrap_or(host.listed_weight),
            load: work.get(host.name.as_str()).copied().unwrap_or(0.0)
                / host.capacity()
                / plan.evaluation_time.as_secs_f64(),
        };
        let hosts = site
            .hosts
            .iter()
            .chain([&site.new_host])
            .map(host)
            .collect();
        let new_host_max_load = new_host_max_load(observations, plan, site);
        Evaluation {
            service_level,
            service_share,
            busiest_load,
            new_host_max_load,
            weight_changes,
            weight_reversals,
            hosts,
        }
    }
}

/// Seconds of work that each host received between two times.
fn received_work(
    observations: &[(Duration, Observation)],
    from: Duration,
    to: Duration,
) -> BTreeMap<&str, f64> {
    let mut work_by_host: BTreeMap<&str, f64> = BTreeMap::new();
    // Observations are ordered by time, so that each window is found by binary search.
    let index = |time| observations.partition_point(|(at, _)| *at < time);
    for (_, observation) in &observations[index(from)..index(to.max(from))] {
        if let Observation::RequestArrived { host, work, .. } = observation {
            *work_by_host.entry(host).or_default() += work.as_secs_f64();
        }
    }
    work_by_host
}

fn busiest_load(
    observations: &[(Duration, Observation)],
    site: &Site,
    from: Duration,
    duration: Duration,
) -> f64 {
    let windows = (duration.as_secs_f64() / LOAD_WINDOW.as_secs_f64()).floor() as u32;
    let window_maximum = |n: u32| {
        let from = from + LOAD_WINDOW * n;
        let work = received_work(observations, from, from + LOAD_WINDOW);
        let load = |host: &SiteHost| {
            work.get(host.name.as_str()).copied().unwrap_or(0.0)
                / host.capacity()
                / LOAD_WINDOW.as_secs_f64()
        };
        site.hosts.iter().map(load).fold(0.0, f64::max)
    };
    (0..windows).map(window_maximum).sum::<f64>() / f64::from(windows.max(1))
}

fn new_host_max_load(observations: &[(Duration, Observation)], plan: &Plan, site: &Site) -> f64 {
    let is_new_host_start = |observation: &Observation| {
        matches!(
            observation,
            Observation::HostStarted { host, .. } if *host == site.new_host.name
        )
    };
    let Some(started) = observations
        .iter()
        .find(|(_, observation)| is_new_host_start(observation))
        .map(|(at, _)| *at)
    else {
        return 0.0;
    };
    let (mut max_load, mut at) = (0.0f64, started);
    while at + SLOW_START_LOAD_WINDOW <= started + plan.slow_start_window {
        let progress = (at - started).as_secs_f64() / plan.slow_start_window.as_secs_f64();
        let capacity_fraction = plan.initial_capacity + (1.0 - plan.initial_capacity) * progress;
        let work = received_work(observations, at, at + SLOW_START_LOAD_WINDOW)
            .get(site.new_host.name.as_str())
            .copied()
            .unwrap_or(0.0);
        max_load = max_load.max(
            work / (site.new_host.capacity()
                * capacity_fraction
                * SLOW_START_LOAD_WINDOW.as_secs_f64()),
        );
        at += SLOW_START_LOAD_WINDOW / 4;
    }
    max_load
}

/// Weight changes per host and minute in the second half of the run, and how many of them reversed direction.
fn count_weight_changes(plan: &Plan, weights: &[WeightHistory]) -> (f64, f64) {
    let (mut changes, mut reversals, mut hosts) = (0.0, 0.0, 0.0);
    for history in weights {
        let evaluated = &history[history.len() / 2..];
        let Some(last) = evaluated.last() else {
            continue;
        };
        for host in last.keys() {
            hosts += 1.0;
            let values: Vec<f64> = evaluated
                .iter()
                .filter_map(|weights| weights.get(host).copied())
                .collect();
            let steps: Vec<f64> = values
                .windows(2)
                .map(|pair| pair[1] - pair[0])
                .filter(|step| step.abs() > 1e-3)
                .collect();
            changes += steps.len() as f64;
            reversals += steps
                .windows(2)
                .filter(|pair| pair[0] * pair[1] < 0.0)
                .count() as f64;
        }
    }
    let minutes = hosts * plan.evaluation_time.as_secs_f64() / 60.0;
    if minutes > 0.0 {
        (changes / minutes, reversals / minutes)
    } else {
        (0.0, 0.0)
    }
}

/// Upper bound of the service share that any weights could reach: the work sent fills all hosts, the new one as far
/// as its slow start allows, in order of priority weight per second of work. Nothing is ever queued, and every host
/// serves every proxy.
pub fn max_service_share(
    observations: &[(Duration, Observation)],
    plan: &Plan,
    site: &Site,
    classes: &[RequestClass],
    from: Duration,
) -> f64 {
    let mut sent = vec![0.0; classes.len()];
    for (at, observation) in observations {
        if let Observation::RequestSent { class, .. } = observation
            && (from..from + plan.evaluation_time).contains(at)
            && let Some(c) = classes.iter().position(|of| of.name == class)
        {
            sent[c] += 1.0;
        }
    }
    // Requests sent near the end may be answered after it, within their latency objective.
    let objective = classes
        .iter()
        .map(|class| class.latency_objective)
        .max()
        .unwrap_or_default();
    let (duration, warmup_time) = (
        plan.evaluation_time + objective,
        plan.slow_start_window.min(plan.evaluation_time),
    );
    let lost_to_slow_start = (1.0 - plan.initial_capacity) / 2.0 * warmup_time.as_secs_f64();
    let mut remaining_work = site.capacity() * duration.as_secs_f64()
        + site.new_host.capacity() * (duration.as_secs_f64() - lost_to_slow_start);
    let mut order: Vec<usize> = (0..classes.len()).collect();
    let weight_per_work = |c: &usize| classes[*c].priority_weight / classes[*c].work.as_secs_f64();
    order.sort_by(|a, b| weight_per_work(b).total_cmp(&weight_per_work(a)));
    let (mut served_weight, mut total_weight) = (0.0, 0.0);
    for c in order {
        let work = classes[c].work.as_secs_f64();
        let served = (remaining_work / work).min(sent[c]).max(0.0);
        remaining_work -= served * work;
        served_weight += served * classes[c].priority_weight;
        total_weight += sent[c] * classes[c].priority_weight;
    }
    if total_weight > 0.0 {
        served_weight / total_weight
    } else {
        1.0
    }
}
