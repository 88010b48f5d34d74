//! Tests of the literal texts of replies to operators and of commands to proxies, from one small run. The event log
//! holds checksums of them, so renames in the code must not change any of them.

use crate::simulated_fleet::*;

mod replies;
mod updates;

/// Two proxies and three hosts, three seconds after the start.
fn fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(&site(2), 3);
    fleet.run(3_000);
    fleet
}

/// Compares line by line, so that a failure shows the first line that differs.
fn assert_same(text: &str, expected: &str) {
    for (n, (line, expected)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected, "line {} of:\n{text}", n + 1);
    }
    assert_eq!(
        text.lines().count(),
        expected.lines().count(),
        "lines of:\n{text}"
    );
}
