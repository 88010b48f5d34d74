//! Reports that are rejected, and senders and hosts that nobody listed.

use super::*;

#[test]
fn figures_that_cannot_be_are_refused_whole_counted_and_named() {
    let mut fleet = fleet(None, 12);
    let mut pusher = Pusher::proxy(0, 0);
    pusher.come(&mut fleet);
    fleet.run(1_000);
    pusher.push(&mut fleet, 0);
    fleet.run(1_000);
    for (n, busy) in [-1.0, f64::NAN, 1e300, 40.0].into_iter().enumerate() {
        let mut body = body(&fleet.fronts[0].tables);
        body.counters
            .iter_mut()
            .take(1)
            .for_each(|of| of.utilization = Some(busy));
        let report = pusher.report(&fleet, body);
        pusher.send(&mut fleet, report);
        assert_eq!(fleet.info("ReportsRefused"), n as u64 + 1);
    }
    let mut wild = body(&fleet.fronts[0].tables);
    wild.counters
        .iter_mut()
        .for_each(|of| of.succeeded = u64::MAX);
    let report = pusher.report(&fleet, wild);
    pusher.send(&mut fleet, report);
    assert_eq!(fleet.info("ReportsRefused"), 5);
    fleet.run(1_500);
    let rejected = |event: &&Event| matches!(event, Event::ReportRejected { error, .. } if error.starts_with("front-0: "));
    assert_eq!(
        fleet.events.iter().filter(rejected).count(),
        1,
        "once an interval"
    );
    let mut host = Pusher {
        name: "host-3".into(),
        is: SenderRole::Host,
        ..Pusher::proxy(50, 0)
    };
    host.come(&mut fleet);
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
fn a_hundred_thousand_names_leave_no_trace() {
    let mut fleet = fleet(None, 12);
    let before = fleet.command(1, "show memory");
    for n in 0..100_000u64 {
        let is = if n % 2 == 0 {
            SenderRole::Proxy
        } else {
            SenderRole::Host
        };
        fleet.give(Input::SenderConnected {
            connection: 1_000 + n,
            name: format!("nobody-{n}"),
            role: is,
            incarnation: n,
        });
        fleet.give(Input::ReportReceived {
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

/// Hosts that nobody listed, made up by the thousand in each report.
#[test]
fn made_up_hosts_are_counted_and_not_kept() {
    let mut fleet = fleet(None, 12);
    let mut pusher = Pusher::proxy(0, 0);
    pusher.come(&mut fleet);
    for batch in 0..20 {
        fleet.run(1_000);
        let mut body = body(&fleet.fronts[0].tables);
        body.counters.extend((0..5_000).map(|n| ProxyCounters {
            backend: "proof".into(),
            server: Some(format!("made-up-{batch}-{n}")),
            succeeded: 3,
            ..ProxyCounters::default()
        }));
        let report = pusher.report(&fleet, body);
        pusher.send(&mut fleet, report);
        fleet.inputs.clear();
    }
    fleet.run(1_500);
    assert_eq!(fleet.info("ReportsUnlisted"), 100_000);
    let reports = fleet.info("Memory_reports");
    assert!(reports < 20_000, "{reports}");
}
