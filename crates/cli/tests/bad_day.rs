//! The bad day, short and seeded: all five rules hold from what crossed the sockets.

use std::process::Command;

/// A rehearsal that ends well: its report, and how it was printed.
fn rehearsed(args: &[&str]) -> (serde_json::Value, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_pondarch"))
        .arg("rehearse")
        .args(args)
        .output()
        .expect("cannot start the program");
    let (text, wrong) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(output.status.success(), "{text}\n{wrong}");
    (
        serde_json::from_str(&text).expect("the output is not JSON"),
        text.into_owned(),
    )
}

#[test]
fn a_short_bad_day_keeps_the_rules() {
    let (report, text) = rehearsed(&["bad-day", "--short", "--seed", "3", "--json"]);
    assert_eq!(report["held"].as_array().map(Vec::len), Some(5), "{text}");
    assert_eq!(
        report["moments"].as_array().map(Vec::len),
        Some(8),
        "{text}"
    );
    // Far under what is measured: this test is of the rules, and machines differ.
    assert!(
        report["service"].as_f64().is_some_and(|share| share > 0.7),
        "{text}"
    );
}

/// Half of the proxies are plain ones that ask by name, with caches; hosts die, hang, drain and start anew all the same.
#[test]
fn a_short_bad_day_over_both_fronts_keeps_the_rules() {
    let (report, text) = rehearsed(&[
        "bad-day", "--short", "--seed", "4", "--fronts", "both", "--json",
    ]);
    assert_eq!(report["held"].as_array().map(Vec::len), Some(5), "{text}");
    assert!(
        report["service"].as_f64().is_some_and(|share| share > 0.7),
        "{text}"
    );
}

/// A tenth of the full trial: parts by weight, late and doubled versions, every req answered.
#[test]
fn the_own_proxy_sends_what_was_published() {
    let (report, text) = rehearsed(&["proxy", "--reqs", "20000", "--seed", "2", "--json"]);
    assert_eq!(report["older_refused"], 5, "{text}");
    assert_eq!(report["went_back"], 0, "{text}");
}
