//! Plans for difficult fleets, and the guard.

use pondarch_weight_solver::guard::{HostCapacity, limit_warming_up};
use pondarch_weight_solver::solve::added_host_gains;
use pondarch_weight_solver::*;
use proptest::prelude::*;

fn host(n: usize, zone: usize, speed: f64) -> Host {
    let name = format!("host-{n}");
    Host {
        name,
        zone,
        cores: 1.0,
        speed,
        max_concurrent_requests: None,
        warm_fraction: 1.0,
        other_work: 0.0,
        other_work_age_s: 0.0,
    }
}

fn class(name: &str, work_ms: f64, target_ms: f64, benefit: f64) -> RequestClass {
    RequestClass {
        name: name.into(),
        work_s: work_ms / 1e3,
        latency_objective_s: target_ms / 1e3,
        benefit,
    }
}

/// Hosts of speed 1 in two zones, with a demand of this part of their capacity, half of it in each zone.
fn fleet(hosts: usize, load: f64) -> Fleet {
    let classes = vec![
        class("proof", 60.0, 1_500.0, 1.0),
        class("order", 40.0, 1_000.0, 5.0),
    ];
    let requests = hosts as f64 * load / (0.05 * 2.0);
    Fleet {
        zones: vec!["ede".into(), "arnhem".into()],
        classes,
        hosts: (0..hosts).map(|n| host(n, n % 2, 1.0)).collect(),
        tables: vec![Table::of_all_hosts(vec![
            vec![
                requests / 2.0,
                requests / 2.0
            ];
            2
        ])],
        crossing_price: 0.06,
    }
}

const SOLVERS: [Solver; 2] = [Solver::InteriorPoint, Solver::Simplex];

#[test]
fn identical_hosts_get_equal_weights_without_cross_zone_work() {
    let plan = solve(&fleet(20, 0.5), Solver::InteriorPoint).expect("a plan");
    for weight in &plan.weights {
        assert!((weight - 1.0).abs() < 0.02, "{:?}", plan.weights);
    }
    assert!(
        plan.cross_zone_share < 0.01 && plan.admitted == [1.0, 1.0]
            || plan.admitted.iter().all(|part| *part > 0.999)
    );
}

#[test]
fn both_methods_give_the_same_objective() {
    for load in [0.3, 0.8, 1.4] {
        let [a, b] =
            SOLVERS.map(|solver| solve(&fleet(12, load), solver).expect("a plan").objective);
        assert!((a - b).abs() < a.abs() * 1e-4, "{load}: {a} and {b}");
    }
}

#[test]
fn a_faster_host_gets_more_and_one_that_is_warming_up_stays_within_its_capacity() {
    let mut fleet = fleet(10, 0.5);
    fleet.hosts[0].speed = 2.0;
    fleet.hosts[3].warm_fraction = 0.17;
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        plan.weights[0] > plan.weights[2] * 1.5,
        "{:?}",
        plan.weights
    );
    assert!(plan.utilization[3] <= 0.93, "{:?}", plan.utilization);
    assert!(plan.weights[3] < plan.weights[1] * 0.3);
}

#[test]
fn overload_admits_the_class_with_the_higher_benefit_first() {
    let plan = solve(&fleet(10, 1.0 / 0.6), Solver::InteriorPoint).expect("a plan");
    assert!(
        plan.admitted[1] > 0.99 && plan.admitted[0] < 0.6,
        "{:?}",
        plan.admitted
    );
    assert!(plan.utilization.iter().all(|u| *u <= 0.921));
    assert!(
        plan.admitted_benefit
            .is_some_and(|admitted_benefit| admitted_benefit > 0.85)
    );
    assert!(
        plan.on_time
            .iter()
            .zip(&plan.admitted)
            .all(|(on_time, part)| on_time <= part && *on_time > part * 0.8)
    );
    assert!(
        plan.utilization.iter().all(|u| *u > 0.6),
        "{:?}",
        plan.utilization
    );
    let gains = added_host_gains(
        &fleet(10, 1.0 / 0.6),
        &host(0, 0, 1.0),
        Solver::InteriorPoint,
    )
    .expect("gains");
    assert!(gains.iter().all(|gain| *gain > 0.0), "{gains:?}");
}

#[test]
fn the_work_of_a_zone_without_hosts_goes_to_the_other_zone() {
    let mut fleet = fleet(10, 0.4);
    fleet.hosts.retain(|host| host.zone == 1);
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        (plan.cross_zone_share - 0.5).abs() < 0.02,
        "{}",
        plan.cross_zone_share
    );
    assert!(plan.admitted.iter().all(|part| *part > 0.99));
    let gains = added_host_gains(&fleet, &host(0, 0, 1.0), Solver::InteriorPoint).expect("gains");
    assert!(
        gains[0] > gains[1],
        "a host in the empty zone gains more: {gains:?}"
    );
}

#[test]
fn no_hosts_no_demand_and_invalid_values() {
    for solver in SOLVERS {
        let none = Fleet {
            hosts: Vec::new(),
            ..fleet(2, 0.5)
        };
        assert_eq!(
            solve(&none, solver).expect("a plan").admitted_benefit,
            Some(0.0)
        );
        let idle = Fleet {
            tables: vec![Table::of_all_hosts(vec![vec![0.0; 2]; 2])],
            ..fleet(4, 0.5)
        };
        let plan = solve(&idle, solver).expect("a plan");
        assert_eq!((plan.weights, plan.admitted_benefit), (vec![1.0; 4], None));
        let one = solve(&fleet(1, 0.5), solver).expect("a plan");
        assert!((one.weights[0] - 1.0).abs() < 1e-6);
    }
    for error in [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.0] {
        let mut fleet = fleet(3, 0.5);
        fleet.hosts[1].speed = error;
        let message = solve(&fleet, Solver::InteriorPoint)
            .expect_err("no plan")
            .to_string();
        assert!(message.starts_with("host host-1: speed:"), "{message}");
    }
    let mut fleet = fleet(3, 0.5);
    fleet.tables[0].rates[1][0] = f64::NAN;
    assert!(
        solve(&fleet, Solver::InteriorPoint)
            .expect_err("no plan")
            .to_string()
            .contains("table all: demand of arnhem: proof")
    );
}

#[test]
fn other_work_uses_capacity_while_its_measurement_is_recent() {
    let mut fleet = fleet(10, 0.5);
    fleet.hosts[0].other_work = 0.6;
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        plan.weights[0] < plan.weights[2] * 0.5,
        "{:?}",
        plan.weights
    );
    fleet.hosts[0].other_work_age_s = 600.0;
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        (plan.weights[0] / plan.weights[2] - 1.0).abs() < 0.1,
        "{:?}",
        plan.weights
    );
    // Other work beyond its capacity: the host is full, and the other hosts take over.
    (fleet.hosts[0].other_work, fleet.hosts[0].other_work_age_s) = (50.0, 0.0);
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        plan.weights[0] < 0.1 && plan.admitted.iter().all(|part| *part > 0.99),
        "{plan:?}"
    );
}

#[test]
fn a_low_concurrency_limit_reduces_capacity() {
    let mut fleet = fleet(6, 0.5);
    fleet.hosts.iter_mut().for_each(|host| host.cores = 4.0);
    fleet.hosts[1].max_concurrent_requests = Some(1.0);
    fleet.tables[0]
        .rates
        .iter_mut()
        .flatten()
        .for_each(|rate| *rate *= 4.0);
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        plan.weights[1] < plan.weights[3] * 0.4,
        "{:?}",
        plan.weights
    );
}

#[test]
fn a_table_only_uses_its_own_hosts() {
    // A proxy with a quarter of the traffic is alone on the first of two tables, which has three of the ten hosts.
    let mut fleet = fleet(10, 0.6);
    let all = fleet.tables[0].rates.clone();
    let scaled_rates = |factor: f64| -> Vec<Vec<f64>> {
        all.iter()
            .map(|rates| rates.iter().map(|rate| rate * factor).collect())
            .collect()
    };
    let table = |name: &str, hosts: Vec<usize>, factor| Table {
        name: name.into(),
        hosts: Some(hosts),
        rates: scaled_rates(factor),
    };
    fleet.tables = vec![
        table("hot", vec![0, 1, 2], 0.25),
        table("rest", (2..10).collect(), 0.75),
    ];
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        plan.admitted.iter().all(|part| *part > 0.99),
        "{:?}",
        plan.admitted
    );
    // The host that both tables share takes work from the fuller table, so that all hosts are filled alike.
    assert!(
        plan.utilization.iter().all(|u| (0.4..0.83).contains(u)),
        "{:?}",
        plan.utilization
    );
    fleet.tables = vec![
        table("hot", vec![0], 0.25),
        table("rest", (1..10).collect(), 0.75),
    ];
    let plan = solve(&fleet, Solver::InteriorPoint).expect("a plan");
    assert!(
        plan.utilization[0] > 0.85 && plan.admitted[1] > 0.9 && plan.admitted[0] < 0.9,
        "{plan:?}"
    );
    fleet.tables[0].hosts = Some(vec![10]);
    assert_eq!(
        fleet
            .validate()
            .expect_err("index out of range")
            .to_string(),
        "table hot: hosts: place 10 of 10"
    );
}

#[test]
fn the_time_limit_is_observed() {
    let error = solve::solve_with_limit(
        &fleet(400, 0.8),
        Solver::InteriorPoint,
        Some(std::time::Duration::from_nanos(1)),
    );
    assert!(
        error
            .expect_err("time limit")
            .to_string()
            .contains("Time limit")
    );
}

proptest! {
    /// Whatever the weights, no host that is warming up gets more per capacity than the mean of the warm hosts.
    #[test]
    fn the_guard_limits_any_weights(
        warm in prop::collection::vec(0.05..1.3f64, 1..20),
        weights in prop::collection::vec(prop_oneof![4 => 0.0..10.0f64, 1 => Just(f64::NAN), 1 => Just(f64::INFINITY), 1 => -5.0..0.0f64, 1 => 1e9..1e300f64], 0..24),
    ) {
        let capacity_of = |(n, warm): (usize, &f64)| HostCapacity { capacity: warm.min(1.0) * (1.0 + (n % 3) as f64), warm: *warm >= 1.0 };
        let hosts: Vec<HostCapacity> = warm.iter().enumerate().map(capacity_of).collect();
        let limited = limit_warming_up(&hosts, &weights);
        prop_assert_eq!(limited.len(), hosts.len());
        let weighted_hosts = |warm: bool| hosts.iter().zip(&limited).filter(move |(host, _)| host.warm == warm);
        let (warm_weight, warm_capacity) = weighted_hosts(true).fold((0.0, 0.0), |(weights, capacities), (host, weight)| (weights + weight, capacities + host.capacity));
        for (host, weight) in weighted_hosts(false) {
            prop_assert!(weight.is_finite() && *weight >= 0.0);
            if warm_weight > 0.0 {
                prop_assert!(weight / host.capacity <= warm_weight / warm_capacity * 1.000_001);
            }
        }
    }
}
