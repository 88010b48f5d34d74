//! Decides when to solve, what to do with a result, and which weights are in use. It stands between the estimates and the
//! controller, which takes its weights in place of the listed ones.
//!
//! A plan is valid for a limited time. Without a new plan the current weights stay; once the last plan is too old, they return
//! to the listed weights, step by step like any other change. All weights that are passed on are limited by `guard`.

use crate::estimator::{Estimate, Estimator, FleetEstimate, ListedHost, listed_speeds};
use crate::guard::{HostCapacity, limit_warming_up};
use crate::model::{Fleet, Host, RequestClass, Table};
use crate::smoothing::next_weights;
use crate::solve::Plan;
use pondarch_controller::DurationExt;
use pondarch_controller::{HostId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two solves: several report periods, as message caps would not allow a weight change with each report.
const SOLVE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time after which a problem without a result is abandoned.
const RESULT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit of the solver. It is shorter than the timeout, to allow for time in queues.
pub const SOLVER_TIME_LIMIT: Duration = Duration::from_millis(1_200);
/// No new plan is based on observations older than this.
const MAX_OBSERVATION_AGE: Duration = Duration::from_millis(5_000);
/// Time for which the last good plan is used.
const PLAN_LIFETIME: Duration = Duration::from_millis(30_000);
/// Part of each host's capacity that plans may use: speeds are estimates, and a host that is slower than estimated must not
/// be overloaded at once. Without this, plans avoided cross-zone work by filling the hosts of one zone to 0.91.
const USABLE_CAPACITY_SHARE: f64 = 0.85;
/// Smallest part of its listed weight that a host gets, and smallest warm fraction that it is assumed to have: the controller
/// takes a weight of 0 for none.
const MIN_SHARE: f64 = 1e-3;

/// Where the current weights come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    /// The endpoint list.
    #[default]
    Listed,
    /// The latest plan.
    Solved,
    /// The last good plan, as the solver is late or fails or there are no new observations.
    LastGood,
}

impl WeightSource {
    /// Name in replies to operators and in events.
    pub fn name(self) -> &'static str {
        match self {
            WeightSource::Listed => "listed",
            WeightSource::Solved => "solved",
            WeightSource::LastGood => "last good",
        }
    }
}

/// A fleet to solve.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Number of the problem, which its result must have too.
    pub number: u64,
    /// The fleet.
    pub fleet: Fleet,
}

/// Settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Name of the class.
    pub name: String,
    /// Latency objective of its requests.
    pub latency_objective: Duration,
    /// Benefit of one request, in any unit.
    pub benefit: f64,
}

/// The last good plan.
struct AcceptedPlan {
    at: Time,
    /// Weight of each host and the relative error of its speed.
    weights: BTreeMap<HostId, (f64, f64)>,
    /// Part of all requests that the plan admits.
    admitted_share: f64,
}

/// A problem without a result so far.
struct PendingProblem {
    number: u64,
    at: Time,
    hosts: Vec<HostId>,
    /// Warm fraction of each host and the relative error of its speed.
    host_state: Vec<(f64, f64)>,
    /// Demanded requests a second, by class.
    rates: Vec<f64>,
}

/// Plans the weights of hosts.
pub struct Planner {
    classes: Vec<ClassSettings>,
    zones: Vec<String>,
    crossing_price: f64,
    /// The estimates that plans are based on.
    pub estimator: Estimator,
    current_weights: BTreeMap<HostId, f64>,
    /// Listed weights of the last endpoint list.
    listed: BTreeMap<HostId, f64>,
    plan: Option<AcceptedPlan>,
    pending: Option<PendingProblem>,
    last_number: u64,
    next_at: Time,
    source: WeightSource,
    last_error: Option<String>,
}

impl Planner {
    /// A planner that starts with the listed weights. `own_share` is the share of all proxies of the site that are the
    /// controller's own.
    pub fn new(
        classes: Vec<ClassSettings>,
        zones: Vec<String>,
        crossing_price: f64,
        own_share: f64,
        now: Time,
    ) -> Planner {
        Planner {
            estimator: Estimator::new(classes.len(), zones.len(), own_share),
            classes,
            zones,
            crossing_price,
            current_weights: BTreeMap::new(),
            listed: BTreeMap::new(),
            plan: None,
            pending: None,
            last_number: 0,
            next_at: now + SOLVE_INTERVAL,
            source: WeightSource::Listed,
            last_error: None,
        }
    }

    /// When `abandon_late_problem` or `next_problem` has something to do next.
    pub fn wake_at(&self) -> Time {
        let late = self
            .pending
            .as_ref()
            .map(|pending| pending.at + RESULT_TIMEOUT);
        late.map_or(self.next_at, |late| late.min(self.next_at))
    }

    /// Where the current weights come from.
    pub fn source(&self) -> WeightSource {
        self.source
    }

    /// Why the last problem got no plan; none once one does.
    pub fn last_error(&self) -> Option<&str> {
        self.last_error.as_deref()
    }

    /// Part of all requests that the current plan admits; none without a current plan.
    pub fn admitted_share(&self) -> Option<f64> {
        self.plan
            .as_ref()
            .filter(|_| self.source == WeightSource::Solved)
            .map(|plan| plan.admitted_share)
    }

    /// Takes a new endpoint list. A changed listed weight changes the current weight by the same factor. A host that is not
    /// ready or has restarted loses its current weight and estimates.
    pub fn on_list(&mut self, listed: &[ListedHost], restarted: impl Fn(&HostId) -> bool) {
        for host in listed {
            if restarted(&host.id) || !host.ready {
                self.estimator.forget_host(&host.id);
                self.current_weights.remove(&host.id);
            }
            let before = self.listed.get(&host.id).copied().unwrap_or(host.weight);
            if before != host.weight
                && let Some(current) = self.current_weights.get_mut(&host.id)
            {
                *current *= host.weight / before;
            }
        }
        self.listed = listed
            .iter()
            .map(|host| (host.id.clone(), host.weight))
            .collect();
        let known = &self.listed;
        self.current_weights
            .retain(|host, _| known.contains_key(host));
        self.estimator.retain_hosts(|host| known.contains_key(host));
    }

    /// The next problem, if it is due and there are recent observations.
    pub fn next_problem(&mut self, now: Time, listed: &[ListedHost]) -> Option<Problem> {
        if now < self.next_at {
            return None;
        }
        self.next_at = now + SOLVE_INTERVAL;
        if self.pending.is_some()
            || self
                .estimator
                .last_observed()
                .is_none_or(|at| now - at > MAX_OBSERVATION_AGE)
        {
            return None;
        }
        let ready: Vec<ListedHost> = listed.iter().filter(|host| host.ready).cloned().collect();
        let estimate = self.estimator.estimate(now, &ready)?;
        let demand: f64 = estimate.rates.iter().flatten().sum();
        if ready.is_empty() || demand <= 0.0 {
            return None;
        }
        self.last_number += 1;
        let relative_error = |host: &ListedHost| {
            estimate
                .speeds
                .get(&host.id)
                .map_or(1.0, |speed| speed.relative_error)
        };
        let classes = 0..self.classes.len();
        self.pending = Some(PendingProblem {
            number: self.last_number,
            at: now,
            hosts: ready.iter().map(|host| host.id.clone()).collect(),
            host_state: ready
                .iter()
                .map(|host| {
                    (
                        host.warm_fraction.clamp(MIN_SHARE, 1.0),
                        relative_error(host),
                    )
                })
                .collect(),
            rates: classes
                .map(|class| estimate.rates.iter().map(|rates| rates[class]).sum())
                .collect(),
        });
        Some(Problem {
            number: self.last_number,
            fleet: self.fleet(&ready, &estimate),
        })
    }

    fn fleet(&self, ready: &[ListedHost], estimate: &FleetEstimate) -> Fleet {
        let host = |host: &ListedHost| Host {
            name: host.id.0.to_string(),
            zone: (host.zone.0 as usize).min(self.zones.len() - 1),
            cores: host.cores(),
            speed: estimate
                .speeds
                .get(&host.id)
                .map_or(1.0, |estimate| estimate.value * USABLE_CAPACITY_SHARE)
                .clamp(1e-3, 1e3),
            max_concurrent_requests: None,
            warm_fraction: host.warm_fraction.clamp(MIN_SHARE, 1.0),
            other_work: 0.0,
            other_work_age_s: 0.0,
        };
        let class = |(settings, work): (&ClassSettings, &Estimate)| RequestClass {
            name: settings.name.clone(),
            work_s: work.value,
            latency_objective_s: settings.latency_objective.seconds().max(1e-6),
            benefit: settings.benefit,
        };
        Fleet {
            zones: self.zones.clone(),
            classes: self.classes.iter().zip(&estimate.work).map(class).collect(),
            hosts: ready.iter().map(host).collect(),
            tables: vec![Table::of_all_hosts(estimate.rates.clone())],
            crossing_price: self.crossing_price.clamp(0.0, 1.0),
        }
    }

    /// Takes the result of a problem. Results of other problems than the pending one are ignored.
    pub fn on_result(&mut self, now: Time, number: u64, result: Result<Plan, String>) {
        let Some(pending) = self.pending.take_if(|pending| pending.number == number) else {
            return;
        };
        let plan = match result {
            Ok(plan) if plan.weights.len() == pending.hosts.len() => plan,
            Ok(_) => return self.last_error = Some("an answer for other hosts".into()),
            Err(error) => return self.last_error = Some(error),
        };
        if now - pending.at > RESULT_TIMEOUT {
            return self.last_error = Some("the answer came too late".into());
        }
        // The plan's weight of a host that is warming up is for its present capacity. The controller applies the warm fraction
        // itself, so that it is divided out here.
        let hosts = plan.weights.iter().zip(pending.host_state);
        let weights = hosts.map(|(weight, (warm_fraction, relative_error))| {
            (weight / warm_fraction, relative_error)
        });
        let demanded: f64 = pending.rates.iter().sum();
        let admitted_rate = pending
            .rates
            .iter()
            .zip(&plan.admitted)
            .map(|(rate, part)| rate * part)
            .sum::<f64>();
        let admitted_share =
            (admitted_rate / demanded.max(1e-9) / USABLE_CAPACITY_SHARE).clamp(0.0, 1.0);
        let weights = pending.hosts.into_iter().zip(weights).collect();
        self.last_error = None;
        self.plan = Some(AcceptedPlan {
            at: now,
            weights,
            admitted_share,
        });
    }

    /// Updates the weight source and takes one step towards the plan, or back towards the listed weights. Returns the target
    /// weights if any current weight changed.
    pub fn advance(&mut self, now: Time, listed: &[ListedHost]) -> Option<BTreeMap<HostId, f64>> {
        let age = self.plan.as_ref().map(|plan| now - plan.at);
        self.source = match age {
            Some(age) if age <= SOLVE_INTERVAL.scaled(3.0) => WeightSource::Solved,
            Some(age) if age <= PLAN_LIFETIME => WeightSource::LastGood,
            _ => WeightSource::Listed,
        };
        let before = self.current_weights.clone();
        let planned: Vec<(f64, f64)> = match (&self.plan, self.source) {
            (Some(plan), WeightSource::Solved) => self.planned_weights(plan, listed),
            (_, WeightSource::Listed) => listed.iter().map(|host| (host.weight, 0.0)).collect(),
            _ => return None,
        };
        let current: Vec<Option<f64>> = listed
            .iter()
            .map(|host| Some(*self.current_weights.get(&host.id).unwrap_or(&host.weight)))
            .collect();
        let next = next_weights(&current, &planned);
        let stepped = listed.iter().zip(next).filter(|(host, _)| host.ready);
        self.current_weights
            .extend(stepped.map(|(host, weight)| (host.id.clone(), weight)));
        (self.current_weights != before).then(|| self.target_weights(now, listed))
    }

    /// The weights of a plan in the scale of the listed ones: the controller compares weights over time, and the total must
    /// not grow or shrink because of a plan.
    fn planned_weights(&self, plan: &AcceptedPlan, listed: &[ListedHost]) -> Vec<(f64, f64)> {
        let warm_hosts = listed
            .iter()
            .filter(|host| host.ready && host.warm_fraction >= 1.0);
        let pairs =
            warm_hosts.filter_map(|host| Some((host.weight, plan.weights.get(&host.id)?.0)));
        let (listed_sum, planned_sum) = pairs.fold(
            (0.0, 0.0),
            |(listed, planned), (listed_weight, planned_weight)| {
                (listed + listed_weight, planned + planned_weight)
            },
        );
        let scale = if planned_sum > 0.0 {
            listed_sum / planned_sum
        } else {
            1.0
        };
        let planned_weight = |host: &ListedHost| match plan.weights.get(&host.id) {
            Some((weight, relative_error)) => (
                (weight * scale).max(host.weight * MIN_SHARE),
                *relative_error,
            ),
            None => (host.weight, 0.0),
        };
        listed.iter().map(planned_weight).collect()
    }

    /// Abandons the pending problem if its result is late; returns whether it did.
    pub fn abandon_late_problem(&mut self, now: Time) -> bool {
        let late = self
            .pending
            .take_if(|pending| now - pending.at >= RESULT_TIMEOUT)
            .is_some();
        if late {
            self.last_error = Some("the solver is too late".into());
        }
        late
    }

    /// The weights to pass to the controller: current weights or, for a new host, listed ones. Those of hosts that are warming
    /// up are limited by the lower of their listed and their estimated capacity.
    pub fn target_weights(&self, now: Time, listed: &[ListedHost]) -> BTreeMap<HostId, f64> {
        let ready: Vec<ListedHost> = listed.iter().filter(|host| host.ready).cloned().collect();
        let estimate = self.estimator.estimate(now, &ready);
        let capacity_of = |(host, prior): (&ListedHost, f64)| {
            let speed = estimate
                .as_ref()
                .and_then(|estimate| estimate.speeds.get(&host.id))
                .map_or(prior, |speed| speed.value);
            let (warm, speed) = (
                host.warm_fraction >= 1.0,
                if host.warm_fraction >= 1.0 {
                    speed
                } else {
                    speed.min(prior)
                },
            );
            HostCapacity {
                capacity: (host.cores() * speed * host.warm_fraction).max(1e-9),
                warm,
            }
        };
        let present_weight = |host: &ListedHost| {
            self.current_weights
                .get(&host.id)
                .copied()
                .unwrap_or(host.weight)
                * host.warm_fraction
        };
        let hosts: Vec<HostCapacity> = ready
            .iter()
            .zip(listed_speeds(&ready))
            .map(capacity_of)
            .collect();
        let limited = limit_warming_up(
            &hosts,
            &ready.iter().map(present_weight).collect::<Vec<_>>(),
        );
        let mut target_weights: BTreeMap<HostId, f64> = listed
            .iter()
            .map(|host| (host.id.clone(), host.weight))
            .collect();
        for (host, weight) in ready.iter().zip(limited) {
            // The controller takes a weight of 0 for none.
            target_weights.insert(
                host.id.clone(),
                (weight / host.warm_fraction.max(MIN_SHARE)).max(host.weight * MIN_SHARE),
            );
        }
        target_weights
    }
}
