//! Cost of changing a table and of picking a host, by the number of memberships: `cargo bench -p pondarch-proxy-core`.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pondarch_controller::Time;
use pondarch_proxy_core::ejection::EjectionPolicy;
use pondarch_proxy_core::policy::{ProxyCoreOptions, RequestClass, RoutingPolicy, StaticHost};
use pondarch_proxy_core::proxy_core::ProxyCore;
use pondarch_proxy_core::retry::Idempotency;
use pondarch_proxy_core::routing_table::PickPolicy;
use pondarch_runtime_api::Level;
use std::time::Duration;

fn proxy_core(host_count: usize, pick: PickPolicy) -> ProxyCore {
    let class = RequestClass {
        name: "proof".into(),
        idempotency: Idempotency::Idempotent,
        client_timeout: Duration::from_millis(4_000),
        priority_weight: 1.0,
    };
    let ejection = EjectionPolicy {
        consecutive_failures: 3,
        min_duration: Duration::from_millis(2_000),
        max_duration: Duration::from_millis(5_000),
        max_ejected_fraction: 0.5,
        record_lifetime: Duration::from_millis(60_000),
    };
    let policy = RoutingPolicy {
        pick,
        ejection,
        retry_ratio: 0.2,
        max_in_flight_per_host: 128,
        max_waiting: 512,
        last_ready_for: Duration::from_millis(3_000),
    };
    let static_host = |n: usize| StaticHost {
        name: format!("host-{n}"),
        address: ([127, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
    };
    let options = ProxyCoreOptions {
        name: "front".into(),
        process_id: 1,
        classes: vec![class],
        policy,
        static_hosts: (0..host_count).map(static_host).collect(),
        seed: 5,
    };
    ProxyCore::new(options, Time::from_micros(1_000_000))
}

fn tables(criterion: &mut Criterion) {
    let now = Time::from_micros(2_000_000);
    let mut weight_changes = criterion.benchmark_group("one weight changed");
    for host_count in [8, 64, 700] {
        let mut core = proxy_core(host_count, PickPolicy::WeightedRandom);
        let mut weight = 1;
        weight_changes.bench_function(BenchmarkId::from_parameter(host_count), |bencher| {
            bencher.iter(|| {
                weight = weight % 200 + 1;
                core.execute_line(
                    now,
                    1,
                    Level::Admin,
                    &format!("set server proof/host-1 weight {weight}"),
                )
            });
        });
    }
    weight_changes.finish();
    for (name, policy) in [
        ("weighted", PickPolicy::WeightedRandom),
        ("round", PickPolicy::RoundRobin),
        ("two", PickPolicy::TwoChoices),
    ] {
        let mut picks = criterion.benchmark_group(format!("arrive and pick, {name}"));
        for host_count in [8, 64, 700] {
            let mut core = proxy_core(host_count, policy);
            picks.bench_function(BenchmarkId::from_parameter(host_count), |bencher| {
                bencher.iter(|| {
                    core.admit(now, 0)
                        .map(|request| core.pick(now, &request, &[], None))
                });
            });
        }
        picks.finish();
    }
}

criterion_group!(benches, tables);
criterion_main!(benches);
