//! What a change of a table and a pick cost, by the table's lines: `cargo bench -p pondarch-proxy-core`.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pondarch_controller::Time;
use pondarch_proxy_core::avoid::Habit;
use pondarch_proxy_core::obey::{Habits, Kind, Obey};
use pondarch_proxy_core::table::PickBy;
use pondarch_proxy_core::tries::Repeats;
use pondarch_runtime_api::Level;
use std::time::Duration;

fn obey(lines: usize, pick: PickBy) -> Obey {
    let kind = Kind {
        name: "proof".into(),
        repeats: Repeats::Replayable,
        client_timeout: Duration::from_millis(4_000),
        benefit: 1.0,
    };
    let avoid = Habit {
        after: 3,
        least: Duration::from_millis(2_000),
        most: Duration::from_millis(5_000),
        part: 0.5,
        remembered: Duration::from_millis(60_000),
    };
    let habits = Habits {
        pick,
        avoid,
        further_tries: 0.2,
        host_limit: 128,
        line_most: 512,
        last_ready_for: Duration::from_millis(3_000),
    };
    let standing: Vec<_> = (0..lines)
        .map(|n| {
            (
                format!("host-{n}"),
                ([127, 0, (n / 250) as u8, (n % 250) as u8], 80).into(),
            )
        })
        .collect();
    Obey::new(
        "front",
        1,
        vec![kind],
        habits,
        &standing,
        5,
        Time::from_micros(1_000_000),
    )
}

fn tables(c: &mut Criterion) {
    let now = Time::from_micros(2_000_000);
    let mut swaps = c.benchmark_group("one weight changed");
    for lines in [8, 64, 700] {
        let mut obey = obey(lines, PickBy::Weighted);
        let mut weight = 1;
        swaps.bench_function(BenchmarkId::from_parameter(lines), |b| {
            b.iter(|| {
                weight = weight % 200 + 1;
                obey.line(
                    now,
                    1,
                    Level::Admin,
                    &format!("set server proof/host-1 weight {weight}"),
                )
            });
        });
    }
    swaps.finish();
    for (name, by) in [
        ("weighted", PickBy::Weighted),
        ("round", PickBy::Round),
        ("two", PickBy::Two),
    ] {
        let mut picks = c.benchmark_group(format!("arrive and pick, {name}"));
        for lines in [8, 64, 700] {
            let mut obey = obey(lines, by);
            picks.bench_function(BenchmarkId::from_parameter(lines), |b| {
                b.iter(|| {
                    obey.arrive(now, 0)
                        .map(|arrival| obey.pick(now, &arrival, &[], None))
                });
            });
        }
        picks.finish();
    }
}

criterion_group!(benches, tables);
criterion_main!(benches);
