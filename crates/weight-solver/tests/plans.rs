//! Hard cases of planning.

use pondarch_weight_solver::guard::{Bears, guarded};
use pondarch_weight_solver::solve::one_more;
use pondarch_weight_solver::*;
use proptest::prelude::*;

fn host(n: usize, zone: usize, speed: f64) -> Host {
    let name = format!("host-{n}");
    Host {
        name,
        zone,
        cores: 1.0,
        speed,
        connections: None,
        warm: 1.0,
        taken: 0.0,
        taken_age_s: 0.0,
    }
}

fn kind(name: &str, work_ms: f64, target_ms: f64, benefit: f64) -> Kind {
    Kind {
        name: name.into(),
        work_s: work_ms / 1e3,
        response_target_s: target_ms / 1e3,
        benefit,
    }
}

/// Two zones, `hosts` of speed 1, and this part of their capacity asked for, half in each zone.
fn fleet(hosts: usize, load: f64) -> Fleet {
    let kinds = vec![
        kind("proof", 60.0, 1_500.0, 1.0),
        kind("order", 40.0, 1_000.0, 5.0),
    ];
    let reqs = hosts as f64 * load / (0.05 * 2.0);
    Fleet {
        zones: vec!["ede".into(), "arnhem".into()],
        kinds,
        hosts: (0..hosts).map(|n| host(n, n % 2, 1.0)).collect(),
        tables: vec![Table::of_all(vec![vec![reqs / 2.0, reqs / 2.0]; 2])],
        crossing: 0.06,
    }
}

const BOTH: [Solver; 2] = [Solver::Interior, Solver::Simplex];

#[test]
fn all_hosts_alike_get_the_same_and_nothing_crosses() {
    let plan = solve(&fleet(20, 0.5), Solver::Interior).expect("a plan");
    for weight in &plan.weights {
        assert!((weight - 1.0).abs() < 0.02, "{:?}", plan.weights);
    }
    assert!(
        plan.crossing < 0.01 && plan.let_in == [1.0, 1.0]
            || plan.let_in.iter().all(|part| *part > 0.999)
    );
}

#[test]
fn the_two_libraries_agree() {
    for load in [0.3, 0.8, 1.4] {
        let [a, b] = BOTH.map(|solver| solve(&fleet(12, load), solver).expect("a plan").worth);
        assert!((a - b).abs() < a.abs() * 1e-4, "{load}: {a} and {b}");
    }
}

#[test]
fn a_faster_host_gets_more_and_a_cold_one_no_more_than_it_can_bear() {
    let mut fleet = fleet(10, 0.5);
    fleet.hosts[0].speed = 2.0;
    fleet.hosts[3].warm = 0.17;
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!(
        plan.weights[0] > plan.weights[2] * 1.5,
        "{:?}",
        plan.weights
    );
    assert!(plan.utilisation[3] <= 0.93, "{:?}", plan.utilisation);
    assert!(plan.weights[3] < plan.weights[1] * 0.3);
}

#[test]
fn too_little_for_all_lets_the_greater_benefit_in() {
    let plan = solve(&fleet(10, 1.0 / 0.6), Solver::Interior).expect("a plan");
    assert!(
        plan.let_in[1] > 0.99 && plan.let_in[0] < 0.6,
        "{:?}",
        plan.let_in
    );
    assert!(plan.utilisation.iter().all(|u| *u <= 0.921));
    assert!(plan.served.is_some_and(|served| served > 0.85));
    assert!(
        plan.in_time
            .iter()
            .zip(&plan.let_in)
            .all(|(in_time, part)| in_time <= part && *in_time > part * 0.8)
    );
    assert!(
        plan.utilisation.iter().all(|u| *u > 0.6),
        "{:?}",
        plan.utilisation
    );
    let gains = one_more(&fleet(10, 1.0 / 0.6), &host(0, 0, 1.0), Solver::Interior).expect("gains");
    assert!(gains.iter().all(|gain| *gain > 0.0), "{gains:?}");
}

#[test]
fn a_zone_without_hosts_sends_its_work_away() {
    let mut fleet = fleet(10, 0.4);
    fleet.hosts.retain(|host| host.zone == 1);
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!((plan.crossing - 0.5).abs() < 0.02, "{}", plan.crossing);
    assert!(plan.let_in.iter().all(|part| *part > 0.99));
    let gains = one_more(&fleet, &host(0, 0, 1.0), Solver::Interior).expect("gains");
    assert!(
        gains[0] > gains[1],
        "a host where there is none brings more: {gains:?}"
    );
}

#[test]
fn nobody_nothing_and_nonsense() {
    for solver in BOTH {
        let none = Fleet {
            hosts: Vec::new(),
            ..fleet(2, 0.5)
        };
        assert_eq!(solve(&none, solver).expect("a plan").served, Some(0.0));
        let idle = Fleet {
            tables: vec![Table::of_all(vec![vec![0.0; 2]; 2])],
            ..fleet(4, 0.5)
        };
        let plan = solve(&idle, solver).expect("a plan");
        assert_eq!((plan.weights, plan.served), (vec![1.0; 4], None));
        let one = solve(&fleet(1, 0.5), solver).expect("a plan");
        assert!((one.weights[0] - 1.0).abs() < 1e-6);
    }
    for wrong in [f64::NAN, f64::INFINITY, -1.0, 1e300, 0.0] {
        let mut fleet = fleet(3, 0.5);
        fleet.hosts[1].speed = wrong;
        let message = solve(&fleet, Solver::Interior)
            .expect_err("no plan")
            .to_string();
        assert!(message.starts_with("host host-1: speed:"), "{message}");
    }
    let mut fleet = fleet(3, 0.5);
    fleet.tables[0].rates[1][0] = f64::NAN;
    assert!(
        solve(&fleet, Solver::Interior)
            .expect_err("no plan")
            .to_string()
            .contains("table all: demand of arnhem: proof")
    );
}

#[test]
fn others_work_takes_room_while_it_is_fresh() {
    let mut fleet = fleet(10, 0.5);
    fleet.hosts[0].taken = 0.6;
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!(
        plan.weights[0] < plan.weights[2] * 0.5,
        "{:?}",
        plan.weights
    );
    fleet.hosts[0].taken_age_s = 600.0;
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!(
        (plan.weights[0] / plan.weights[2] - 1.0).abs() < 0.1,
        "{:?}",
        plan.weights
    );
    // More than it can do: it is full, and the rest goes on.
    (fleet.hosts[0].taken, fleet.hosts[0].taken_age_s) = (50.0, 0.0);
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!(
        plan.weights[0] < 0.1 && plan.let_in.iter().all(|part| *part > 0.99),
        "{plan:?}"
    );
}

#[test]
fn few_connections_are_few_cores() {
    let mut fleet = fleet(6, 0.5);
    fleet.hosts.iter_mut().for_each(|host| host.cores = 4.0);
    fleet.hosts[1].connections = Some(1.0);
    fleet.tables[0]
        .rates
        .iter_mut()
        .flatten()
        .for_each(|rate| *rate *= 4.0);
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!(
        plan.weights[1] < plan.weights[3] * 0.4,
        "{:?}",
        plan.weights
    );
}

#[test]
fn a_table_cannot_use_hosts_that_it_does_not_hold() {
    // One proxy with a quarter of the traffic is alone on the first of two tables, of three hosts in ten.
    let mut fleet = fleet(10, 0.6);
    let all = fleet.tables[0].rates.clone();
    let part = |factor: f64| -> Vec<Vec<f64>> {
        all.iter()
            .map(|rates| rates.iter().map(|rate| rate * factor).collect())
            .collect()
    };
    let table = |name: &str, hosts: Vec<usize>, factor| Table {
        name: name.into(),
        hosts: Some(hosts),
        rates: part(factor),
    };
    fleet.tables = vec![
        table("hot", vec![0, 1, 2], 0.25),
        table("rest", (2..10).collect(), 0.75),
    ];
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!(
        plan.let_in.iter().all(|part| *part > 0.99),
        "{:?}",
        plan.let_in
    );
    // The host of both tables takes from the fuller one, and all come out alike.
    assert!(
        plan.utilisation.iter().all(|u| (0.4..0.83).contains(u)),
        "{:?}",
        plan.utilisation
    );
    fleet.tables = vec![
        table("hot", vec![0], 0.25),
        table("rest", (1..10).collect(), 0.75),
    ];
    let plan = solve(&fleet, Solver::Interior).expect("a plan");
    assert!(
        plan.utilisation[0] > 0.85 && plan.let_in[1] > 0.9 && plan.let_in[0] < 0.9,
        "{plan:?}"
    );
    fleet.tables[0].hosts = Some(vec![10]);
    assert_eq!(
        fleet.check().expect_err("no place").to_string(),
        "table hot: hosts: place 10 of 10"
    );
}

#[test]
fn a_time_limit_is_kept() {
    let wrong = solve::solve_within(
        &fleet(400, 0.8),
        Solver::Interior,
        Some(std::time::Duration::from_nanos(1)),
    );
    assert!(
        wrong
            .expect_err("no time")
            .to_string()
            .contains("Time limit")
    );
}

proptest! {
    /// Whatever a solver says, no cold host is given more per capacity than the warm ones are on the mean.
    #[test]
    fn the_guard_holds_for_any_weights(
        warm in prop::collection::vec(0.05..1.3f64, 1..20),
        weights in prop::collection::vec(prop_oneof![4 => 0.0..10.0f64, 1 => Just(f64::NAN), 1 => Just(f64::INFINITY), 1 => -5.0..0.0f64, 1 => 1e9..1e300f64], 0..24),
    ) {
        let bears = |(n, warm): (usize, &f64)| Bears { capacity: warm.min(1.0) * (1.0 + (n % 3) as f64), warm: *warm >= 1.0 };
        let hosts: Vec<Bears> = warm.iter().enumerate().map(bears).collect();
        let out = guarded(&hosts, &weights);
        prop_assert_eq!(out.len(), hosts.len());
        let of = |warm: bool| hosts.iter().zip(&out).filter(move |(host, _)| host.warm == warm);
        let (given, capacity) = of(true).fold((0.0, 0.0), |(w, c), (host, weight)| (w + weight, c + host.capacity));
        for (host, weight) in of(false) {
            prop_assert!(weight.is_finite() && *weight >= 0.0);
            if given > 0.0 {
                prop_assert!(weight / host.capacity <= given / capacity * 1.000_001);
            }
        }
    }
}
