//! Time to solve by the number of hosts, with both libraries: `cargo bench -p pondarch-weight-solver`.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pondarch_weight_solver::{Fleet, Host, Kind, Solver, Table, Warm, solve};
use std::time::Duration;

fn fleet(hosts: usize) -> Fleet {
    let kind = |name: &str, work_s, benefit| Kind {
        name: name.into(),
        work_s,
        response_target_s: 1.0,
        benefit,
    };
    let host = |n: usize| Host {
        name: format!("host-{n}"),
        zone: n % 4,
        cores: 1.0 + (n % 2) as f64,
        // No two alike, so that nothing is given away by symmetry.
        speed: 0.8 + ((n * 7919) % 1_000) as f64 / 1_000.0,
        connections: None,
        warm: if n.is_multiple_of(17) { 0.3 } else { 1.0 },
        taken: 0.0,
        taken_age_s: 0.0,
    };
    let reqs = hosts as f64 * 0.6 / 0.2;
    Fleet {
        zones: ["a", "b", "c", "d"].map(String::from).into(),
        kinds: vec![
            kind("proof", 0.3, 1.0),
            kind("order", 0.18, 5.0),
            kind("release", 0.18, 3.0),
        ],
        hosts: (0..hosts).map(host).collect(),
        tables: vec![Table::of_all(
            (0..4)
                .map(|z| vec![reqs * (0.06 + 0.04 * z as f64); 3])
                .collect(),
        )],
        crossing: 0.06,
    }
}

fn times(c: &mut Criterion) {
    let mut group = c.benchmark_group("solve");
    group.sample_size(10);
    for (name, solver, most) in [
        ("interior", Solver::Interior, 2_000),
        ("simplex", Solver::Simplex, 200),
    ] {
        for hosts in [20, 200, 700, 2_000]
            .into_iter()
            .filter(|hosts| *hosts <= most)
        {
            let fleet = fleet(hosts);
            group.bench_function(BenchmarkId::new(name, hosts), |b| {
                b.iter(|| solve(&fleet, solver).map(|p| p.worth))
            });
        }
    }
    // A start from the last answer, with speeds and demand off by as much as estimates are from one solve to the next.
    for hosts in [20, 200, 700, 2_000] {
        let (then, mut now) = (fleet(hosts), fleet(hosts));
        now.hosts
            .iter_mut()
            .enumerate()
            .for_each(|(n, host)| host.speed *= 0.99 + 0.02 * (n % 2) as f64);
        now.tables[0]
            .rates
            .iter_mut()
            .flatten()
            .for_each(|rate| *rate *= 1.02);
        let limit = Duration::from_secs(10);
        let mut warm = Warm::default();
        if warm.solve(&then, limit).is_err() {
            continue;
        }
        group.bench_function(BenchmarkId::new("warm", hosts), |b| {
            b.iter(|| {
                warm.clone()
                    .solve(&now, limit)
                    .map(|(p, start)| (p.worth, start))
            })
        });
    }
    group.finish();
}

criterion_group!(benches, times);
criterion_main!(benches);
