//! The literal text of the operators' answers, and of the commands that proxies are sent, from one small run: records
//! hold checksums of them, so that a renaming in the code must leave each as it is.

use crate::simulated_fleet::*;

mod answers;
mod orders;

/// Two proxies and three hosts, three seconds after the start.
fn fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::open(&site(2), 3);
    fleet.run(3_000);
    fleet
}

/// Compares line by line, so that a failure names the first line that differs.
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
