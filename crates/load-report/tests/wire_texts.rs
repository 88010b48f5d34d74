//! The header `endpoint-load-metrics`: each accepted format, each metric, and the exact text that is written.

use pondarch_load_report::{HEADER, Report};

const TEXT: &str = "TEXT cpu_utilization=0.620, rps_fractional=12.500, eps=1.000, named_metrics.queue=3.000, \
named_metrics.latency_ms=48.250";
const JSON: &str = r#"JSON {"cpu_utilization":0.62,"rps_fractional":12.5,"eps":1,"named_metrics":{"queue":3,"latency_ms":48.25}}"#;
const FLAT_JSON: &str = r#"JSON {"named_metrics.queue":3,"named_metrics.latency_ms":48.25}"#;

fn full_report() -> Report {
    let (utilization, queue_length, service_time_ms) = (Some(0.62), Some(3.0), Some(48.25));
    Report {
        utilization,
        queue_length,
        service_time_ms,
        request_rate: Some(12.5),
        failure_rate: Some(1.0),
    }
}

#[test]
fn header_name() {
    assert_eq!(HEADER, "endpoint-load-metrics");
}

#[test]
fn text_format() {
    assert_eq!(full_report().to_header_value(), TEXT);
    assert!(Report::parse(TEXT) == full_report());
}

#[test]
fn json_format() {
    assert!(Report::parse(JSON) == full_report());
    let flat = Report::parse(FLAT_JSON);
    assert_eq!(
        (flat.queue_length, flat.service_time_ms, flat.utilization),
        (Some(3.0), Some(48.25), None)
    );
}

#[test]
fn each_metric_alone() {
    for (name, report) in [
        (
            "cpu_utilization",
            Report {
                utilization: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "rps_fractional",
            Report {
                request_rate: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "eps",
            Report {
                failure_rate: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "named_metrics.queue",
            Report {
                queue_length: Some(0.5),
                ..Report::default()
            },
        ),
        (
            "named_metrics.latency_ms",
            Report {
                service_time_ms: Some(0.5),
                ..Report::default()
            },
        ),
    ] {
        assert_eq!(report.to_header_value(), format!("TEXT {name}=0.500"));
        assert!(
            Report::parse(&format!("TEXT {name}=0.5")) == report,
            "{name}"
        );
    }
}

#[test]
fn malformed_values_parse_as_empty_reports() {
    for text in [
        "",
        "BIN AAAA",
        "text cpu_utilization=0.5",
        "TEXT cpu_utilization=-1",
        "JSON [1]",
        "TEXT cpu=1",
    ] {
        assert!(Report::parse(text) == Report::default(), "{text}");
    }
}
