//! Tests of rejected reports, unknown senders, and hosts that are not listed.

use super::*;

#[test]
fn reports_with_implausible_figures_are_rejected_whole_counted_and_logged() {
    let mut fleet = fleet(None, 12);
    let mut sender = ReportSender::proxy(0, 0);
    sender.connect(&mut fleet);
    fleet.run(1_000);
    sender.push(&mut fleet, 0);
    fleet.run(1_000);
    for (n, busy) in [-1.0, f64::NAN, 1e300, 40.0].into_iter().enumerate() {
        let mut body = report_body(&fleet.proxies[0].state);
        body.counters
            .iter_mut()
            .take(1)
            .for_each(|counted| counted.utilization = Some(busy));
        let report = sender.report(&fleet, body);
        sender.send(&mut fleet, report);
        assert_eq!(fleet.info("ReportsRefused"), n as u64 + 1);
    }
    let mut implausible = report_body(&fleet.proxies[0].state);
    implausible
        .counters
        .iter_mut()
        .for_each(|counted| counted.succeeded = u64::MAX);
    let report = sender.report(&fleet, implausible);
    sender.send(&mut fleet, report);
    assert_eq!(fleet.info("ReportsRefused"), 5);
    fleet.run(1_500);
    let is_rejected = |event: &&Event| matches!(event, Event::ReportRejected { error, .. } if error.starts_with("front-0: "));
    assert_eq!(
        fleet.events.iter().filter(is_rejected).count(),
        1,
        "logged more than once in an interval"
    );
    let mut host = ReportSender {
        name: "host-3".into(),
        role: SenderRole::Host,
        ..ReportSender::proxy(50, 0)
    };
    host.connect(&mut fleet);
    let own = HostMetrics {
        request_rate: Some(1e9),
        ..HostMetrics::default()
    };
    let report = host.report(
        &fleet,
        ReportBody {
            host_metrics: Some(own),
            counters: Vec::new(),
        },
    );
    host.send(&mut fleet, report);
    assert_eq!(fleet.info("ReportsRefused"), 6);
}

#[test]
fn a_hundred_thousand_unknown_senders_use_no_memory() {
    let mut fleet = fleet(None, 12);
    let before = fleet.command(1, "show memory");
    for n in 0..100_000u64 {
        let role = if n % 2 == 0 {
            SenderRole::Proxy
        } else {
            SenderRole::Host
        };
        fleet.apply(Input::SenderConnected {
            connection: 1_000 + n,
            name: format!("nobody-{n}"),
            role,
            incarnation: n,
        });
        fleet.apply(Input::ReportReceived {
            connection: 1_000 + n,
            report: Box::default(),
        });
        fleet.outputs.clear();
        fleet.inputs.clear();
    }
    assert_eq!(
        (
            fleet.info("ReportsOfStrangers"),
            fleet.info("Senders"),
            fleet.info("Reports")
        ),
        (100_000, 0, 0)
    );
    fleet.run(2_000);
    assert_eq!(
        before.lines().next(),
        fleet.command(1, "show memory").lines().next()
    );
}

/// Each report names thousands of hosts that are not listed.
#[test]
fn rows_of_unlisted_hosts_are_counted_and_dropped() {
    let mut fleet = fleet(None, 12);
    let mut sender = ReportSender::proxy(0, 0);
    sender.connect(&mut fleet);
    for batch in 0..20 {
        fleet.run(1_000);
        let mut body = report_body(&fleet.proxies[0].state);
        body.counters.extend((0..5_000).map(|n| ProxyCounters {
            backend: "proof".into(),
            server: Some(format!("made-up-{batch}-{n}")),
            succeeded: 3,
            ..ProxyCounters::default()
        }));
        let report = sender.report(&fleet, body);
        sender.send(&mut fleet, report);
        fleet.inputs.clear();
    }
    fleet.run(1_500);
    assert_eq!(fleet.info("ReportsUnlisted"), 100_000);
    let reports = fleet.info("Memory_reports");
    assert!(reports < 20_000, "{reports}");
}
