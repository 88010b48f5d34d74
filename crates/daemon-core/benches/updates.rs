//! Time and allocations of the codec and the core in one thread: `cargo bench -p pondarch-daemon-core`.

#[path = "../tests/in_memory/simulated_fleet.rs"]
#[allow(dead_code)]
mod simulated_fleet;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use pondarch_runtime_api::command::{WeightArgument, parse_line};
use pondarch_runtime_api::stat::{self, AttemptTotals, RowType, StatRow};
use pondarch_runtime_api::{Command, ServerRef};
use simulated_fleet::{SimulatedFleet, host, site};
use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// An allocator that counts allocations, so that their number for each command can be printed.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Relaxed);
        BYTES.fetch_add(layout.size() as u64, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Prints the allocations of `run`, divided by the `count` of items that it processes.
fn print_allocations<T>(label: &str, count: usize, run: impl FnOnce() -> T) {
    let (before, bytes) = (ALLOCATIONS.load(Relaxed), BYTES.load(Relaxed));
    black_box(run());
    let per_item =
        |counter: &AtomicU64, before: u64| (counter.load(Relaxed) - before) as f64 / count as f64;
    println!(
        "{label}: {:.1} allocations, {:.0} bytes each",
        per_item(&ALLOCATIONS, before),
        per_item(&BYTES, bytes)
    );
}

fn rows() -> Vec<StatRow> {
    let row = |n: u64| StatRow {
        backend: "proof".into(),
        server: format!("host-{n}"),
        row_type: RowType::Server,
        total_sessions: 1_000 * n,
        status: "UP".into(),
        weight: 128,
        addr: "127.0.0.1:8000".into(),
        exact_totals: Some(AttemptTotals {
            succeeded: 990 * n,
            failed: n,
            succeeded_duration: Duration::from_millis(80_000 * n),
        }),
        ..StatRow::default()
    };
    (0..700).map(row).collect()
}

fn codec(c: &mut Criterion) {
    let rows = rows();
    let text = stat::write(&rows);
    println!("a stat of 700 servers: {} bytes", text.len());
    let mut group = c.benchmark_group("stat of 700 servers");
    group.throughput(Throughput::Bytes(text.len() as u64));
    group.bench_function("write", |b| b.iter(|| stat::write(black_box(&rows))));
    group.bench_function("read", |b| {
        b.iter(|| stat::read(black_box(text.trim_end())).map(|rows| rows.len()))
    });
    group.finish();
    let command = |n: u16| {
        Command::SetWeight(
            ServerRef::new("proof", &format!("host-{n}")),
            WeightArgument::Absolute(n),
        )
    };
    let commands: Vec<Command> = (0..48).map(command).collect();
    let write = |commands: &[Command]| {
        commands
            .iter()
            .map(Command::to_string)
            .collect::<Vec<_>>()
            .join("; ")
    };
    let line = write(&commands);
    println!("a line of 48 commands: {} bytes", line.len());
    print_allocations("writing a command", 48, || write(&commands));
    print_allocations("reading a command", 48, || parse_line(&line));
    let mut group = c.benchmark_group("line of 48 commands");
    group.throughput(Throughput::Elements(48));
    group.bench_function("write", |b| b.iter(|| write(black_box(&commands))));
    group.bench_function("read", |b| b.iter(|| parse_line(black_box(&line)).len()));
    group.finish();
}

/// The listed weight of every other host alternates; 20 proxies get the update and acknowledge it. The work of the
/// simulated proxies is included, as they run in the same thread.
fn core(c: &mut Criterion) {
    let mut site = site(20);
    site.update_channel.max_messages_per_window = 0;
    let mut fleet = SimulatedFleet::new(&site, 40);
    fleet.run(5_000);
    let mut raised = false;
    let mut change = |fleet: &mut SimulatedFleet| {
        raised = !raised;
        let mut hosts: Vec<_> = (0..40).map(host).collect();
        hosts
            .iter_mut()
            .step_by(2)
            .for_each(|host| host.weight = if raised { 3.0 } else { 1.0 });
        fleet.apply_list(hosts);
        fleet.run(2_000);
        // What the test harness records is cleared, as it is no part of the core.
        let commands: usize = fleet
            .proxies
            .iter()
            .flat_map(|proxy| &proxy.updates)
            .map(|(_, commands)| commands.len())
            .sum();
        fleet
            .proxies
            .iter_mut()
            .for_each(|proxy| proxy.updates.clear());
        fleet.inputs.clear();
        fleet.outputs.clear();
        fleet.events.clear();
        commands
    };
    change(&mut fleet);
    let commands = change(&mut fleet);
    println!(
        "a change of the list: {commands} commands to 20 proxies, and 2 s of counter reads and timers"
    );
    print_allocations(
        "a command, with its share of counter reads",
        commands,
        || change(&mut fleet),
    );
    let mut group = c.benchmark_group("core");
    group.throughput(Throughput::Elements(commands as u64));
    group.sample_size(20);
    group.bench_function("updates", |b| b.iter(|| change(&mut fleet)));
    group.finish();
}

criterion_group!(benches, codec, core);
criterion_main!(benches);
