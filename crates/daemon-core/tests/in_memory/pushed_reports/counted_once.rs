//! Tests that each counter difference is counted once, whichever way and however late it arrives.

use super::*;

#[test]
fn counters_of_a_proxy_are_read_only_while_it_does_not_push_and_counted_once() {
    let mut fleet = fleet(None, 12);
    let mut senders: Vec<ReportSender> = (0..6).map(|n| ReportSender::proxy(n, 0)).collect();
    senders
        .iter_mut()
        .for_each(|sender| sender.connect(&mut fleet));
    for _ in 0..5 {
        run_second(&mut fleet, &mut senders);
    }
    take_stat_reads(&mut fleet);
    for _ in 0..5 {
        run_second(&mut fleet, &mut senders);
    }
    assert_eq!(take_stat_reads(&mut fleet), 0);
    let reports = |fleet: &mut SimulatedFleet| {
        let stat = fleet.command(1, "show stat");
        let hosts = stat
            .lines()
            .filter(|line| line.starts_with("hosts,"))
            .count();
        assert_eq!(hosts, 12);
        fleet.info("Reports")
    };
    assert_eq!(reports(&mut fleet), 60);
    // Two proxies stop pushing: their counters are read, and continue from the pushed ones.
    for _ in 0..6 {
        run_second(&mut fleet, &mut senders[2..]);
    }
    let reads = take_stat_reads(&mut fleet);
    assert!((4..=8).contains(&reads), "{reads}");
    assert_eq!(fleet.info("ReportsStale"), 0);
    fleet.disconnect(0);
    fleet.run(2_000);
    run_second(&mut fleet, &mut senders[2..]);
}

#[test]
fn of_twenty_seconds_of_delayed_reports_only_the_latest_are_used() {
    let mut fleet = fleet(None, 12);
    let mut senders: Vec<ReportSender> = (0..6).map(|n| ReportSender::proxy(n, 0)).collect();
    senders
        .iter_mut()
        .for_each(|sender| sender.connect(&mut fleet));
    for _ in 0..5 {
        run_second(&mut fleet, &mut senders);
    }
    // The network delays all reports for 20 s; the controller reads the counters meanwhile.
    let mut delayed: Vec<(usize, Report)> = Vec::new();
    for _ in 0..20 {
        fleet.run(1_000);
        for (n, sender) in senders.iter_mut().enumerate() {
            fleet.traffic(n, 5, 2, 40);
            let report = sender.report(&fleet, report_body(&fleet.proxies[n].state));
            delayed.push((n, report));
        }
    }
    take_applied_intervals(&mut fleet);
    let before = fleet.info("ReportsStale");
    for (n, report) in delayed {
        senders[n].send(&mut fleet, report);
    }
    // Their counters were read meanwhile: they must not be counted again as those of a restarted proxy.
    let completed = completed_requests(&mut fleet);
    fleet.run(1_500);
    let (_, oldest) = take_applied_intervals(&mut fleet);
    assert!(oldest < STALE_US, "{oldest} us old");
    assert!(
        completed_requests(&mut fleet) <= completed.max(60),
        "{} after {completed}",
        completed_requests(&mut fleet)
    );
    // Those of the first 14 s are stale in any case.
    let stale = fleet.info("ReportsStale") - before;
    assert!((6 * 13..=6 * 15).contains(&stale), "{stale}");
    for _ in 0..3 {
        run_second(&mut fleet, &mut senders);
    }
    let (_, oldest) = take_applied_intervals(&mut fleet);
    assert!(oldest < 2_000_000);
}

#[test]
fn clock_offsets_of_ten_minutes_have_no_effect_and_a_clock_jump_is_counted() {
    for offset_s in [-600, 600] {
        let mut fleet = fleet(None, 12);
        let mut senders: Vec<ReportSender> =
            (0..6).map(|n| ReportSender::proxy(n, offset_s)).collect();
        senders
            .iter_mut()
            .for_each(|sender| sender.connect(&mut fleet));
        for _ in 0..8 {
            run_second(&mut fleet, &mut senders);
        }
        let (intervals, oldest) = take_applied_intervals(&mut fleet);
        assert!(intervals >= 6 && oldest < 1_500_000, "{oldest}");
        assert_eq!(
            (fleet.info("ReportsStale"), fleet.info("ClockJumps")),
            (0, 0)
        );
        senders[3].clock_offset_us += 3_600_000_000;
        senders[3].last_credit_us.1 = senders[3].last_credit_us.1.wrapping_add(3_600_000_000);
        for _ in 0..4 {
            run_second(&mut fleet, &mut senders);
        }
        assert_eq!(fleet.info("ClockJumps"), 1);
        assert!(take_applied_intervals(&mut fleet).1 < 1_500_000);
    }
}

#[test]
fn duplicates_restarts_and_missing_reports_are_counted_separately() {
    let mut fleet = fleet(None, 12);
    let mut sender = ReportSender::proxy(0, 0);
    sender.connect(&mut fleet);
    fleet.run(1_000);
    sender.push(&mut fleet, 0);
    for _ in 0..50 {
        fleet.traffic(0, 5, 0, 40);
        sender.number -= 1;
        sender.push(&mut fleet, 0);
    }
    assert_eq!(fleet.info("ReportsDoubled"), 50);
    (sender.number, sender.incarnation) = (0, 6);
    fleet.proxies[0].state = {
        let mut restarted = fleet.proxies[0].state.clone();
        restarted
            .backends
            .values_mut()
            .for_each(|backend| backend.requests = 0);
        restarted
    };
    sender.connect(&mut fleet);
    sender.push(&mut fleet, 0);
    assert_eq!(fleet.info("ReportsRestarted"), 1);
    sender.number += 10;
    sender.push(&mut fleet, 0);
    assert_eq!(fleet.info("ReportsMissing"), 10);
}
