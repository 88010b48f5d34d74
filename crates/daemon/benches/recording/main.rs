//! What recording costs: the time of one input with the event log off, on, and on a disk whose every sync takes 2 s;
//! records and bytes a second; time to recover by the size of the log; replay against real time:
//! `cargo bench -p pondarch-daemon`.

mod fleet;
mod latency;
mod sizes;

use latency::{Recording, latency};
use sizes::sizes;
use std::time::Duration;

fn main() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        tokio::task::spawn(async {
            for recording in [
                Recording::Off,
                Recording::On,
                Recording::SlowDisk(Duration::from_secs(2)),
                Recording::Off,
            ] {
                tokio::task::block_in_place(|| latency(recording, 100_000));
            }
        })
        .await
        .expect("played");
    });
    sizes(10_000_000);
    if std::env::args().any(|arg| arg == "large") {
        sizes(1_000_000_000);
    }
}
