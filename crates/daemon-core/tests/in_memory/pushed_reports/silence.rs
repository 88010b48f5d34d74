//! Tests of senders that stop reporting, pauses of the controller, and the limit on applied outcomes; and of a replay.

use super::*;

/// A host that serves but stops reporting its load is still weighted by the outcomes that proxies observe.
#[test]
fn a_host_that_stops_reporting_its_load_keeps_its_weight() {
    let mut fleet = fleet(None, 12);
    let mut senders: Vec<ReportSender> = (0..6).map(|n| ReportSender::proxy(n, 0)).collect();
    senders
        .iter_mut()
        .for_each(|sender| sender.connect(&mut fleet));
    let mut hosts: Vec<ReportSender> = (0..12)
        .map(|n| ReportSender {
            name: format!("host-{n}"),
            role: SenderRole::Host,
            ..ReportSender::proxy(200 + n, 0)
        })
        .collect();
    hosts.iter_mut().for_each(|host| host.connect(&mut fleet));
    let own = HostMetrics {
        utilization: Some(0.4),
        queue_length: Some(0.0),
        request_rate: Some(20.0),
        ..HostMetrics::default()
    };
    let mut before = BTreeMap::new();
    for step in 0..30 {
        for (n, host) in hosts
            .iter_mut()
            .enumerate()
            .filter(|(n, _)| step < 10 || *n != 4)
        {
            let report = host.report(
                &fleet,
                ReportBody {
                    host_metrics: Some(own),
                    counters: Vec::new(),
                },
            );
            host.send(&mut fleet, report);
            assert!(n < 12);
        }
        run_second(&mut fleet, &mut senders);
        if step == 9 {
            before = table_weights(&mut fleet);
        }
    }
    let after = table_weights(&mut fleet);
    assert!(
        after["host-4"] > before["host-4"] * 0.8,
        "{} after {}",
        after["host-4"],
        before["host-4"]
    );
}

/// The controller itself is paused for 3 s, so that nothing arrives: no host may lose weight by that.
#[test]
fn a_pause_of_the_controller_reduces_no_weight() {
    let mut fleet = fleet(None, 12);
    let mut senders: Vec<ReportSender> = (0..6).map(|n| ReportSender::proxy(n, 0)).collect();
    senders
        .iter_mut()
        .for_each(|sender| sender.connect(&mut fleet));
    for _ in 0..10 {
        run_second(&mut fleet, &mut senders);
    }
    let before = table_weights(&mut fleet);
    for interval in 0..3 {
        fleet.now += 3_000_000;
        // After the pause the queued reports arrive, one proxy after the other with 20 ms between them.
        for (n, sender) in senders.iter_mut().enumerate() {
            fleet.traffic(n, 15, 0, 40);
            sender.push(&mut fleet, n);
            fleet.run(20);
        }
        fleet.run(2_000);
        let after = table_weights(&mut fleet);
        let reduced = before
            .iter()
            .filter(|(host, weight)| after.get(*host).is_none_or(|after| *after < **weight * 0.5));
        assert_eq!(reduced.count(), 0, "interval {interval}");
        run_second(&mut fleet, &mut senders);
    }
}

/// With a limit that allows the outcomes of a fifth of the hosts, a failing host loses its weight at most two seconds
/// later than without the limit.
#[test]
fn a_limit_on_applied_outcomes_does_not_hide_a_failing_host() {
    let seconds_until_weight_0 = |lines_per_second: Option<f64>| {
        let mut fleet = fleet(lines_per_second, 30);
        let mut senders: Vec<ReportSender> = (0..6).map(|n| ReportSender::proxy(n, 0)).collect();
        senders
            .iter_mut()
            .for_each(|sender| sender.connect(&mut fleet));
        for _ in 0..12 {
            run_second(&mut fleet, &mut senders);
        }
        let failing = table_weights(&mut fleet)
            .into_iter()
            .find(|(_, weight)| *weight > 0.0)
            .expect("a host with a weight")
            .0;
        for step in 0..40 {
            fleet.run(500);
            for (n, sender) in senders.iter_mut().enumerate() {
                fleet.traffic(n, 6, 0, 40);
                for backend in fleet.proxies[n].state.backends.values_mut() {
                    if let Some(server) = backend
                        .servers
                        .get_mut(&failing)
                        .filter(|server| server.is_serving())
                    {
                        server.results.succeeded -= 6;
                        server.results.failed += 6;
                    }
                }
                sender.push(&mut fleet, n);
            }
            fleet.run(500);
            if table_weights(&mut fleet)
                .get(&failing)
                .is_none_or(|weight| *weight == 0.0)
            {
                return step;
            }
        }
        99
    };
    let unlimited = seconds_until_weight_0(None);
    let limited = seconds_until_weight_0(Some(6.0));
    assert!(
        limited <= unlimited + 2,
        "{limited} s instead of {unlimited} s"
    );
}

#[test]
fn a_run_with_pushed_reports_replays_to_the_same_outputs() {
    let mut fleet = fleet(Some(5.0), 12);
    let mut senders: Vec<ReportSender> = (0..6)
        .map(|n| ReportSender::proxy(n, n as i64 * 60))
        .collect();
    senders
        .iter_mut()
        .for_each(|sender| sender.connect(&mut fleet));
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    for step in 0..12 {
        run_second(&mut fleet, &mut senders);
        if step == 6 {
            hosts[4].state = HostState::Drain;
            fleet.apply_list(hosts.clone());
        }
    }
    let text = serde_json::to_string(&fleet.inputs).expect("serializable inputs");
    let inputs: Vec<(u64, Input)> = serde_json::from_str(&text).expect("deserializable inputs");
    let replay = || {
        let mut site = site(6);
        site.load_reports.push_endpoint = Some("unix:/push".parse().expect("a socket path"));
        site.load_reports.max_lines_per_second = Some(5.0);
        let mut core = pondarch_daemon_core::Core::new(
            &site,
            7,
            1,
            START,
            pondarch_controller::Time::from_micros(START),
        );
        let mut outputs = Vec::new();
        for (at, input) in &inputs {
            core.handle(pondarch_controller::Time::from_micros(*at), input.clone());
            outputs.extend(std::iter::from_fn(|| core.next_output()));
        }
        serde_json::to_string(&outputs).expect("serializable outputs")
    };
    assert_eq!(replay(), replay());
}
