//! What the codec and the core cost in one thread: `cargo bench -p pondarch-daemon-core`.

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

/// Counts what is allocated, so that it can be given for each command.
struct Counting;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Relaxed);
        BYTES.fetch_add(layout.size() as u64, Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Allocations and bytes for each of `many` things that `act` does.
fn allocated<T>(what: &str, many: usize, act: impl FnOnce() -> T) {
    let (before, bytes) = (ALLOCATIONS.load(Relaxed), BYTES.load(Relaxed));
    black_box(act());
    let per =
        |counter: &AtomicU64, before: u64| (counter.load(Relaxed) - before) as f64 / many as f64;
    println!(
        "{what}: {:.1} allocations, {:.0} bytes each",
        per(&ALLOCATIONS, before),
        per(&BYTES, bytes)
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
    allocated("writing a command", 48, || write(&commands));
    allocated("reading a command", 48, || parse_line(&line));
    let mut group = c.benchmark_group("line of 48 commands");
    group.throughput(Throughput::Elements(48));
    group.bench_function("write", |b| b.iter(|| write(black_box(&commands))));
    group.bench_function("read", |b| b.iter(|| parse_line(black_box(&line)).len()));
    group.finish();
}

/// Every other host's listed weight changes back and forth; 20 proxies get the difference and acknowledge it. The
/// proxies' own reading and answering is counted too, as they are in the same thread.
fn core(c: &mut Criterion) {
    let mut site = site(20);
    site.update_channel.max_messages_per_window = 0;
    let mut fleet = SimulatedFleet::open(&site, 40);
    fleet.run(5_000);
    let mut heavy = false;
    let mut change = |fleet: &mut SimulatedFleet| {
        heavy = !heavy;
        let mut hosts: Vec<_> = (0..40).map(host).collect();
        hosts
            .iter_mut()
            .step_by(2)
            .for_each(|host| host.weight = if heavy { 3.0 } else { 1.0 });
        fleet.list(hosts);
        fleet.run(2_000);
        // What the harness keeps for tests is not the core's.
        let ordered: usize = fleet
            .fronts
            .iter()
            .flat_map(|f| &f.orders)
            .map(|(_, commands)| commands.len())
            .sum();
        fleet
            .fronts
            .iter_mut()
            .for_each(|front| front.orders.clear());
        fleet.inputs.clear();
        fleet.outputs.clear();
        fleet.events.clear();
        ordered
    };
    change(&mut fleet);
    let ordered = change(&mut fleet);
    println!("a change of the list: {ordered} commands to 20 proxies, and 2 s of looks and beats");
    allocated("an order, with its share of looks", ordered, || {
        change(&mut fleet)
    });
    let mut group = c.benchmark_group("core");
    group.throughput(Throughput::Elements(ordered as u64));
    group.sample_size(20);
    group.bench_function("orders", |b| b.iter(|| change(&mut fleet)));
    group.finish();
}

criterion_group!(benches, codec, core);
criterion_main!(benches);
