//! The `Debug` text of reports, which `pondarch replay` prints: literally, with the names that the event log stores.

use pondarch_load_report_protocol::{HostMetrics, ProxyCounters, Report, ReportBody};

#[test]
fn report_debug_text_keeps_the_recorded_names() {
    let counters = ProxyCounters {
        backend: "proof".into(),
        server: Some("a".into()),
        requests: 4,
        succeeded: 5,
        failed: 6,
        success_time_us: 1_000,
        utilization: Some(0.25),
        queue_length: Some(1.5),
    };
    let host_metrics = HostMetrics {
        utilization: Some(0.25),
        queue_length: Some(1.5),
        service_time_ms: Some(2.0),
        request_rate: Some(3.0),
        failure_rate: None,
    };
    let report = Report {
        number: 3,
        sent_us: 9,
        echo_us: 8,
        echo_delay_us: 7,
        body: ReportBody {
            counters: vec![counters],
            host_metrics: Some(host_metrics),
        },
    };
    assert_eq!(
        format!("{report:?}"),
        "Report { number: 3, sent_us: 9, word_us: 8, had_us: 7, body: Body { counted: [Counted { backend: \"proof\", \
         server: Some(\"a\"), reqs: 4, done: 5, errored: 6, done_us: 1000, busy: Some(0.25), waiting: Some(1.5) }], \
         own: Some(Own { busy: Some(0.25), waiting: Some(1.5), service_ms: Some(2.0), rate: Some(3.0), \
         errored_rate: None }) } }"
    );
}
