//! Load reports sent to a real daemon at ten times the expected rate, while some hosts stop responding halfway through.

use std::process::Command;

#[test]
fn at_ten_times_the_report_rate_figures_stay_recent_and_memory_stays_within_its_limits() {
    let output = Command::new(env!("CARGO_BIN_EXE_pondarch"))
        .args([
            "--log-level",
            "error",
            "rehearse",
            "reports",
            "--proxies",
            "60",
            "--hosts",
            "60",
        ])
        .args(["--times", "1,10", "--each", "14", "--lines", "40", "--json"])
        .output()
        .expect("cannot start the program");
    let (text, errors) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(output.status.success(), "{text}\n{errors}");
    let report: serde_json::Value = serde_json::from_str(&text).expect("the output is not JSON");
    let rates = report["rates"].as_array().expect("no rates");
    assert_eq!(rates.len(), 2);
    for rate in rates {
        let figure = |name: &str| rate[name].as_f64().unwrap_or(f64::NAN);
        assert!(
            figure("reports") > 500.0 && figure("age_most") < 6_000.0,
            "{rate}"
        );
        let memory = rate["memory"].as_array().expect("no lines");
        assert!(
            memory.len() == 5
                && memory
                    .iter()
                    .all(|line| line.to_string().contains("at the cap 0 times")),
            "{rate}"
        );
    }
    // Ten times the rate brings more than five times the reports, with less than twice the memory.
    let figure = |n: usize, name: &str| rates[n][name].as_f64().unwrap_or(f64::NAN);
    assert!(figure(1, "reports") > 5.0 * figure(0, "reports"), "{text}");
    assert!(figure(1, "rss_kib") < 2.0 * figure(0, "rss_kib"), "{text}");
    assert!(figure(1, "half_noticed") < 7_000.0, "{text}");
}
