//! Cost of the event log: latency of an input with the event log off, on, and on a disk whose every sync takes 2 s;
//! write throughput and record sizes; recovery time by log size; replay speed relative to real time.
//!
//! Run with `cargo bench -p pondarch-daemon`; the argument `large` adds a log of 1 GB.

mod fleet;
mod latency;
mod sizes;

use latency::{Recording, measure_latency};
use sizes::measure_log;
use std::time::Duration;

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("start the runtime");
    runtime.block_on(async {
        tokio::task::spawn(async {
            for recording in [
                Recording::Off,
                Recording::On,
                Recording::SlowDisk(Duration::from_secs(2)),
                Recording::Off,
            ] {
                tokio::task::block_in_place(|| measure_latency(recording, 100_000));
            }
        })
        .await
        .expect("the latency runs complete");
    });
    measure_log(10_000_000);
    if std::env::args().any(|arg| arg == "large") {
        measure_log(1_000_000_000);
    }
}
