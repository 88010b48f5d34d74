//! The header `endpoint-load-metrics` in each accepted form, with each value, and as it is written.

use pondarch_load_report::{HEADER, Report};

const TEXT: &str = "TEXT cpu_utilization=0.620, rps_fractional=12.500, eps=1.000, named_metrics.queue=3.000, \
named_metrics.latency_ms=48.250";
const JSON: &str = r#"JSON {"cpu_utilization":0.62,"rps_fractional":12.5,"eps":1,"named_metrics":{"queue":3,"latency_ms":48.25}}"#;
const FLAT: &str = r#"JSON {"named_metrics.queue":3,"named_metrics.latency_ms":48.25}"#;

fn all() -> Report {
    let (busy, queue, latency_ms) = (Some(0.62), Some(3.0), Some(48.25));
    Report {
        busy,
        queue,
        latency_ms,
        rate: Some(12.5),
        errored_rate: Some(1.0),
    }
}

#[test]
fn header_name() {
    assert_eq!(HEADER, "endpoint-load-metrics");
}

#[test]
fn text_form() {
    assert_eq!(all().write(), TEXT);
    assert!(Report::read(TEXT) == all());
}

#[test]
fn json_form() {
    assert!(Report::read(JSON) == all());
    let flat = Report::read(FLAT);
    assert_eq!(
        (flat.queue, flat.latency_ms, flat.busy),
        (Some(3.0), Some(48.25), None)
    );
}

#[test]
fn each_value_alone() {
    for (name, value) in [
        (
            "cpu_utilization",
            Report {
                busy: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "rps_fractional",
            Report {
                rate: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "eps",
            Report {
                errored_rate: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "named_metrics.queue",
            Report {
                queue: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "named_metrics.latency_ms",
            Report {
                latency_ms: Some(0.5),
                ..Report::default()
            },
        ),
    ] {
        assert_eq!(value.write(), format!("TEXT {name}=0.500"));
        assert!(Report::read(&format!("TEXT {name}=0.5")) == value, "{name}");
    }
}

#[test]
fn malformed_forms_are_empty() {
    for text in [
        "",
        "BIN AAAA",
        "text cpu_utilization=0.5",
        "TEXT cpu_utilization=-1",
        "JSON [1]",
        "TEXT cpu=1",
    ] {
        assert!(Report::read(text) == Report::default(), "{text}");
    }
}
