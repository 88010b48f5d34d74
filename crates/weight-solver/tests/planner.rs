//! The planner with simulated hosts: each gets work by the current weights, and is observed as proxies would observe it.

use pondarch_controller::{HostId, ProxyId, RequestClassId, Time, ZoneId};
use pondarch_weight_solver::planner::{ClassSettings, SOLVER_TIME_LIMIT, WeightSource};
use pondarch_weight_solver::{Fleet, HostObservation, ListedHost, Plan, Planner, WarmStartSolver};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;

const WORK_S: f64 = 0.05;
const SECOND: Duration = Duration::from_millis(1_000);

fn at(s: f64) -> Time {
    Time::from_micros(1_000_000 + (s * 1e6) as u64)
}

fn id(n: usize) -> HostId {
    HostId(format!("host-{n:02}").into())
}

fn listed(hosts: usize) -> Vec<ListedHost> {
    let listed_host = |n| ListedHost {
        id: id(n),
        zone: ZoneId((n % 2) as u16),
        cores: Some(1.0),
        weight: 1.0,
        warm_fraction: 1.0,
        ready: true,
    };
    (0..hosts).map(listed_host).collect()
}

fn planner(own_share: f64) -> Planner {
    let class = ClassSettings {
        name: "proof".into(),
        latency_objective: SECOND,
        benefit: 1.0,
    };
    Planner::new(
        vec![class],
        vec!["ede".into(), "arnhem".into()],
        0.06,
        own_share,
        at(0.0),
    )
}

/// Hosts, and planners that each have an equal part of the traffic.
struct Simulation {
    speeds: Vec<f64>,
    request_rate: f64,
    list: Vec<ListedHost>,
    planners: Vec<(Planner, WarmStartSolver, BTreeMap<HostId, f64>)>,
    now: f64,
    utilization: Vec<f64>,
    weight_changes: usize,
}

impl Simulation {
    fn new(speeds: &[f64], load: f64, planners: usize) -> Simulation {
        let list = listed(speeds.len());
        let weights: BTreeMap<HostId, f64> = list
            .iter()
            .map(|host| (host.id.clone(), host.weight))
            .collect();
        Simulation {
            speeds: speeds.to_vec(),
            request_rate: speeds.iter().sum::<f64>() * load / WORK_S,
            list: list.clone(),
            planners: (0..planners)
                .map(|_| {
                    let mut planner = planner(1.0 / planners as f64);
                    planner.on_list(&list, |_| false);
                    (planner, WarmStartSolver::default(), weights.clone())
                })
                .collect(),
            now: 0.0,
            utilization: vec![0.0; speeds.len()],
            weight_changes: 0,
        }
    }

    /// Simulates one second, with or without results from the solver.
    #[expect(
        clippy::too_many_lines,
        reason = "one second of the simulation, with its steps in order"
    )]
    fn run_second(&mut self, with_solver: bool) {
        self.now += 1.0;
        let (now, rate_per_planner) =
            (at(self.now), self.request_rate / self.planners.len() as f64);
        let sent: Vec<Vec<f64>> = self
            .planners
            .iter()
            .map(|(_, _, weights)| {
                let sum: f64 = weights.values().sum();
                self.list
                    .iter()
                    .map(|host| rate_per_planner * weights[&host.id] / sum)
                    .collect()
            })
            .collect();
        for (n, speed) in self.speeds.iter().enumerate() {
            let offered = sent.iter().map(|work| work[n]).sum::<f64>() * WORK_S / speed;
            self.utilization[n] = offered;
            let utilization = offered.min(1.0);
            let queue_length = if offered < 0.97 {
                utilization * utilization / (1.0 - utilization)
            } else {
                30.0
            };
            for ((planner, _, _), sent) in self.planners.iter_mut().zip(&sent) {
                let completed = sent[n] * utilization / offered.max(1e-9);
                let time_per_request =
                    WORK_S / speed * (1.0 + queue_length / utilization.max(1e-9));
                let time = Duration::from_micros((completed * time_per_request * 1e6) as u64);
                let observation = HostObservation {
                    completed: vec![(RequestClassId(0), completed, time)],
                    load: Some((utilization, queue_length)),
                    period: SECOND,
                };
                planner.estimator.observe_host(now, &id(n), &observation);
            }
        }
        for (n, (planner, solver, weights)) in self.planners.iter_mut().enumerate() {
            for zone in 0..2 {
                let proxy = ProxyId((2 * n + zone) as u16);
                planner.estimator.observe_demand(
                    proxy,
                    ZoneId(zone as u16),
                    RequestClassId(0),
                    rate_per_planner / 2.0,
                    SECOND,
                );
            }
            planner.abandon_late_problem(now);
            if let Some(problem) = planner.next_problem(now, &self.list)
                && with_solver
            {
                let result = solver.solve(&problem.fleet, SOLVER_TIME_LIMIT);
                planner.on_result(
                    now,
                    problem.number,
                    result
                        .map(|(plan, _)| plan)
                        .map_err(|error| error.to_string()),
                );
            }
            if let Some(target_weights) = planner.advance(now, &self.list) {
                self.weight_changes += 1;
                *weights = target_weights;
            }
        }
    }

    fn run(&mut self, seconds: usize) {
        (0..seconds).for_each(|_| self.run_second(true));
    }

    fn max_utilization(&self) -> f64 {
        self.utilization.iter().copied().fold(0.0, f64::max)
    }
}

#[test]
fn slow_hosts_get_less_and_then_weights_stay_constant() {
    let mut simulation = Simulation::new(&[1.0, 0.5, 2.0, 1.0, 0.7, 1.5], 0.7, 1);
    simulation.run_second(true);
    assert!(
        simulation.max_utilization() > 1.2,
        "equal weights overload the slow host"
    );
    simulation.run(45);
    assert!(
        simulation
            .utilization
            .iter()
            .all(|utilization| (0.5..0.9).contains(utilization)),
        "{:?}",
        simulation.utilization
    );
    let weight_changes = simulation.weight_changes;
    simulation.run(60);
    assert!(
        simulation.weight_changes <= weight_changes + 2,
        "{} weight changes in a minute of constant load",
        simulation.weight_changes - weight_changes
    );
}

/// Controllers that each see a part of the traffic must not all send their work to the same idle host.
#[test]
fn several_controllers_do_not_overload_an_idle_host() {
    for planners in [1, 2, 6] {
        // The first host is three times as fast as listed, so that it is idle at first.
        let mut simulation =
            Simulation::new(&[3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0], 0.75, planners);
        let (mut max_seen, mut decreases, mut last) = (0.0f64, 0, 0.0);
        for _ in 0..90 {
            simulation.run_second(true);
            max_seen = max_seen.max(simulation.utilization[0]);
            let step = simulation.utilization[0] - last;
            decreases += usize::from(step < -0.02);
            last = simulation.utilization[0];
        }
        assert!(
            max_seen < 0.9,
            "{planners} controllers: the idle host reached {max_seen}"
        );
        assert!(
            decreases <= 2,
            "{planners} controllers: {decreases} decreases"
        );
        assert!(
            simulation.utilization[0] > 0.55 && simulation.max_utilization() < 0.9,
            "{planners} controllers: {:?}",
            simulation.utilization
        );
    }
}

#[test]
fn identical_hosts_keep_their_listed_weights() {
    let mut simulation = Simulation::new(&[1.0; 12], 0.6, 2);
    simulation.run(60);
    assert!(
        simulation
            .planners
            .iter()
            .all(|(_, _, weights)| weights.values().all(|weight| (weight - 1.0).abs() < 1e-9))
    );
}

/// A burst of observations shows a host ten times faster than it is.
#[test]
fn the_effect_of_a_wrong_estimate_is_limited_and_corrected() {
    let mut simulation = Simulation::new(&[1.0; 6], 0.6, 1);
    simulation.run(10);
    for _ in 0..6 {
        let time = Duration::from_micros((40.0 * WORK_S / 10.0 * 1e6) as u64);
        let faulty_observation = HostObservation {
            completed: vec![(RequestClassId(0), 40.0, time)],
            load: Some((0.1, 0.0)),
            period: SECOND,
        };
        let now = at(simulation.now);
        simulation.planners[0]
            .0
            .estimator
            .observe_host(now, &id(0), &faulty_observation);
        simulation.run_second(true);
    }
    let mut max_seen: f64 = simulation.utilization[0];
    for _ in 0..60 {
        simulation.run_second(true);
        max_seen = max_seen.max(simulation.utilization[0]);
    }
    // The weight rises by two or three steps before correct observations take effect.
    assert!(max_seen < 1.3, "{max_seen}");
    assert!(
        (0.45..0.75).contains(&simulation.utilization[0]),
        "{:?}",
        simulation.utilization
    );
}

#[test]
fn without_results_the_last_good_plan_is_used_and_then_the_listed_weights() {
    let mut simulation = Simulation::new(&[1.0, 0.5, 2.0, 1.0], 0.6, 1);
    simulation.run(40);
    assert_eq!(simulation.planners[0].0.source(), WeightSource::Solved);
    let solved = simulation.planners[0].2.clone();
    assert!(solved[&id(2)] > solved[&id(0)] * 1.5, "{solved:?}");
    for _ in 0..20 {
        simulation.run_second(false);
    }
    assert_eq!(simulation.planners[0].0.source(), WeightSource::LastGood);
    assert_eq!(simulation.planners[0].2, solved);
    assert_eq!(
        simulation.planners[0].0.last_error(),
        Some("the solver is too late")
    );
    for _ in 0..60 {
        simulation.run_second(false);
    }
    assert_eq!(simulation.planners[0].0.source(), WeightSource::Listed);
    assert!(
        simulation.planners[0]
            .2
            .values()
            .all(|weight| (weight - 1.0).abs() < 0.11),
        "{:?}",
        simulation.planners[0].2
    );
    simulation.run(45);
    assert_eq!(simulation.planners[0].0.source(), WeightSource::Solved);
}

#[test]
fn late_and_mismatched_results_are_ignored() {
    let mut simulation = Simulation::new(&[1.0, 2.0], 0.5, 1);
    simulation.run(1);
    let (planner, _, _) = &mut simulation.planners[0];
    let problem = planner
        .next_problem(at(2.0), &simulation.list)
        .expect("a problem");
    let plan =
        |fleet: &Fleet| pondarch_weight_solver::solve(fleet, Default::default()).expect("a plan");
    let result = plan(&problem.fleet);
    planner.on_result(at(2.1), problem.number + 1, Ok(result.clone()));
    assert!(
        planner.advance(at(2.2), &simulation.list).is_none(),
        "no problem with this number"
    );
    planner.on_result(at(6.0), problem.number, Ok(result.clone()));
    assert_eq!(planner.last_error(), Some("the answer came too late"));
    let problem = planner
        .next_problem(at(6.0), &simulation.list)
        .or_else(|| planner.next_problem(at(7.0), &simulation.list));
    let number = problem.expect("the next problem").number;
    planner.on_result(
        at(7.1),
        number,
        Ok(Plan {
            weights: vec![1.0],
            ..result
        }),
    );
    assert_eq!(planner.last_error(), Some("an answer for other hosts"));
    planner.on_result(at(7.2), number, Err("again".into()));
    assert_eq!(
        planner.last_error(),
        Some("an answer for other hosts"),
        "a problem has only one result"
    );
}

#[test]
fn changed_listed_weights_apply_at_once_and_restarted_hosts_return_to_theirs() {
    let mut simulation = Simulation::new(&[1.0, 0.5, 2.0, 1.0], 0.6, 1);
    simulation.run(40);
    let (planner, _, weights) = &mut simulation.planners[0];
    let before = weights.clone();
    let mut list = simulation.list.clone();
    list[0].weight = 2.0;
    planner.on_list(&list, |_| false);
    let target_weights = planner.target_weights(at(40.0), &list);
    assert!((target_weights[&id(0)] / before[&id(0)] - 2.0).abs() < 1e-9);
    assert_eq!(target_weights[&id(1)], before[&id(1)]);
    planner.on_list(&list, |host| *host == id(1));
    assert_eq!(planner.target_weights(at(40.0), &list)[&id(1)], 1.0);
}

#[test]
fn no_hosts_and_no_demand() {
    let mut planner = planner(1.0);
    assert!(planner.next_problem(at(5.0), &[]).is_none());
    assert!(planner.target_weights(at(5.0), &[]).is_empty());
    let list = listed(1);
    planner
        .estimator
        .observe_host(at(5.0), &id(0), &HostObservation::default());
    assert!(planner.next_problem(at(9.0), &list).is_none(), "no demand");
    assert!(
        planner
            .advance(at(9.0), &list)
            .is_none_or(|target_weights| target_weights[&id(0)] == 1.0)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever plans the solver returns, a host that is warming up never gets more per present capacity than the mean of the
    /// warm hosts, and no host loses its weight.
    #[test]
    fn no_plan_overloads_a_host_that_is_warming_up(
        planned_weights in prop::collection::vec(prop::collection::vec(prop_oneof![
            5 => 0.0..20.0f64, 1 => Just(f64::NAN), 1 => Just(f64::INFINITY), 1 => -9.0..0.0f64, 1 => 1e9..1e300f64], 8), 1..25),
        warming_up in prop::collection::vec(0usize..8, 1..5),
        speeds in prop::collection::vec(0.4..2.5f64, 8),
    ) {
        let mut simulation = Simulation::new(&speeds, 0.6, 1);
        simulation.run(2);
        let mut list = simulation.list.clone();
        let (planner, _, _) = &mut simulation.planners[0];
        let mut now = 3.0;
        for weights in planned_weights {
            let age = (now - 3.0) / 30.0;
            warming_up.iter().for_each(|n| list[*n].warm_fraction = (0.2f64 + 0.8 * age).min(1.0));
            planner.abandon_late_problem(at(now));
            if let Some(problem) = planner.next_problem(at(now), &list) {
                let plan = Plan {
                    weights, utilization: vec![0.5; 8], admitted: vec![f64::NAN], on_time: Vec::new(), admitted_benefit: None,
                    cross_zone_share: 0.0, nearly_full: Vec::new(), objective: f64::NAN,
                };
                planner.on_result(at(now), problem.number, Ok(plan));
            }
            planner.advance(at(now), &list);
            let target_weights = planner.target_weights(at(now), &list);
            let present_weight = |n: usize| target_weights[&id(n)] * list[n].warm_fraction;
            prop_assert!(target_weights.values().all(|weight| weight.is_finite() && *weight > 0.0));
            let warm: Vec<usize> = (0..8).filter(|n| list[*n].warm_fraction >= 1.0).collect();
            // All hosts are listed alike: the speed of one that is warming up is assumed to be at most the listed one.
            let estimate = planner.estimator.estimate(at(now), &list).expect("observations");
            let warm_weight: f64 = warm.iter().map(|n| present_weight(*n)).sum();
            let capacity: f64 = warm.iter().map(|n| estimate.speeds[&id(*n)].value).sum();
            for n in (0..8).filter(|n| list[*n].warm_fraction < 1.0) {
                let capacity_now = list[n].warm_fraction * estimate.speeds[&id(n)].value.min(1.0);
                prop_assert!(present_weight(n) <= warm_weight / capacity * capacity_now * 1.001 + 1e-3, "host {n}: {target_weights:?}");
            }
            now += 1.7;
        }
    }
}
