//! Time to solve by the number of hosts, with both methods and with a warm start: `cargo bench -p pondarch-weight-solver`.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pondarch_weight_solver::{Fleet, Host, RequestClass, Solver, Table, WarmStartSolver, solve};
use std::time::Duration;

fn fleet(hosts: usize) -> Fleet {
    let class = |name: &str, work_s, benefit| RequestClass {
        name: name.into(),
        work_s,
        latency_objective_s: 1.0,
        benefit,
    };
    let host = |n: usize| Host {
        name: format!("host-{n}"),
        zone: n % 4,
        cores: 1.0 + (n % 2) as f64,
        // All speeds differ, so that the solver gains nothing from symmetry.
        speed: 0.8 + ((n * 7919) % 1_000) as f64 / 1_000.0,
        max_concurrent_requests: None,
        warm_fraction: if n.is_multiple_of(17) { 0.3 } else { 1.0 },
        other_work: 0.0,
        other_work_age_s: 0.0,
    };
    let requests = hosts as f64 * 0.6 / 0.2;
    Fleet {
        zones: ["a", "b", "c", "d"].map(String::from).into(),
        classes: vec![
            class("proof", 0.3, 1.0),
            class("order", 0.18, 5.0),
            class("release", 0.18, 3.0),
        ],
        hosts: (0..hosts).map(host).collect(),
        tables: vec![Table::of_all_hosts(
            (0..4)
                .map(|zone| vec![requests * (0.06 + 0.04 * zone as f64); 3])
                .collect(),
        )],
        crossing_price: 0.06,
    }
}

fn bench_solve(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("solve");
    group.sample_size(10);
    for (method, solver, max_hosts) in [
        ("interior", Solver::InteriorPoint, 2_000),
        ("simplex", Solver::Simplex, 200),
    ] {
        for hosts in [20, 200, 700, 2_000]
            .into_iter()
            .filter(|hosts| *hosts <= max_hosts)
        {
            let fleet = fleet(hosts);
            group.bench_function(BenchmarkId::new(method, hosts), |bencher| {
                bencher.iter(|| solve(&fleet, solver).map(|plan| plan.objective))
            });
        }
    }
    // Reuse of the last solution after changes of speeds and demand as large as those of estimates between two solves.
    for hosts in [20, 200, 700, 2_000] {
        let (previous, mut current) = (fleet(hosts), fleet(hosts));
        current
            .hosts
            .iter_mut()
            .enumerate()
            .for_each(|(n, host)| host.speed *= 0.99 + 0.02 * (n % 2) as f64);
        current.tables[0]
            .rates
            .iter_mut()
            .flatten()
            .for_each(|rate| *rate *= 1.02);
        let time_limit = Duration::from_secs(10);
        let mut warm_start = WarmStartSolver::default();
        if warm_start.solve(&previous, time_limit).is_err() {
            continue;
        }
        group.bench_function(BenchmarkId::new("warm", hosts), |bencher| {
            bencher.iter(|| {
                warm_start
                    .clone()
                    .solve(&current, time_limit)
                    .map(|(plan, origin)| (plan.objective, origin))
            })
        });
    }
    group.finish();
}

criterion_group!(benches, bench_solve);
criterion_main!(benches);
