//! Each count is taken once, whichever way and however late it comes.

use super::*;

#[test]
fn who_pushes_is_not_read_and_who_falls_silent_is_read_again_and_no_count_is_taken_twice() {
    let mut fleet = fleet(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers
        .iter_mut()
        .for_each(|pusher| pusher.come(&mut fleet));
    for _ in 0..5 {
        second(&mut fleet, &mut pushers);
    }
    stat_reads(&mut fleet);
    for _ in 0..5 {
        second(&mut fleet, &mut pushers);
    }
    assert_eq!(stat_reads(&mut fleet), 0);
    let attempts = |fleet: &mut SimulatedFleet| {
        let stat = fleet.command(1, "show stat");
        let hosts = stat
            .lines()
            .filter(|line| line.starts_with("hosts,"))
            .count();
        assert_eq!(hosts, 12);
        fleet.info("Reports")
    };
    assert_eq!(attempts(&mut fleet), 60);
    // Two of them push no more: their counters are read, and go on from where they were.
    for _ in 0..6 {
        second(&mut fleet, &mut pushers[2..]);
    }
    let reads = stat_reads(&mut fleet);
    assert!((4..=8).contains(&reads), "{reads}");
    assert_eq!(fleet.info("ReportsStale"), 0);
    fleet.drop_link(0);
    fleet.run(2_000);
    second(&mut fleet, &mut pushers[2..]);
}

#[test]
fn twenty_seconds_of_delayed_reports_at_once_are_no_evidence_but_the_newest() {
    let mut fleet = fleet(None, 12);
    let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, 0)).collect();
    pushers
        .iter_mut()
        .for_each(|pusher| pusher.come(&mut fleet));
    for _ in 0..5 {
        second(&mut fleet, &mut pushers);
    }
    // The way is blocked for 20 s: reports are sent, and wait somewhere; the controller reads on its own meanwhile.
    let mut under_way: Vec<(usize, Report)> = Vec::new();
    for _ in 0..20 {
        fleet.run(1_000);
        for (n, pusher) in pushers.iter_mut().enumerate() {
            fleet.traffic(n, 5, 2, 40);
            let report = pusher.report(&fleet, body(&fleet.fronts[n].tables));
            under_way.push((n, report));
        }
    }
    looked(&mut fleet);
    let before = fleet.info("ReportsStale");
    for (n, report) in under_way {
        pushers[n].send(&mut fleet, report);
    }
    // What they count was read meanwhile: none of it is taken again as that of a proxy that began anew.
    let counted = done(&mut fleet);
    fleet.run(1_500);
    let (_, oldest) = looked(&mut fleet);
    assert!(oldest < STALE_US, "{oldest} us old");
    assert!(
        done(&mut fleet) <= counted.max(60),
        "{} after {counted}",
        done(&mut fleet)
    );
    // 14 s of them are too old to be evidence in any case.
    let stale = fleet.info("ReportsStale") - before;
    assert!((6 * 13..=6 * 15).contains(&stale), "{stale}");
    for _ in 0..3 {
        second(&mut fleet, &mut pushers);
    }
    let (_, oldest) = looked(&mut fleet);
    assert!(oldest < 2_000_000);
}

#[test]
fn clocks_ten_minutes_apart_change_nothing_and_a_jump_is_noticed() {
    for off in [-600, 600] {
        let mut fleet = fleet(None, 12);
        let mut pushers: Vec<Pusher> = (0..6).map(|n| Pusher::proxy(n, off)).collect();
        pushers
            .iter_mut()
            .for_each(|pusher| pusher.come(&mut fleet));
        for _ in 0..8 {
            second(&mut fleet, &mut pushers);
        }
        let (rounds, oldest) = looked(&mut fleet);
        assert!(rounds >= 6 && oldest < 1_500_000, "{oldest}");
        assert_eq!(
            (fleet.info("ReportsStale"), fleet.info("ClockJumps")),
            (0, 0)
        );
        pushers[3].off += 3_600_000_000;
        pushers[3].word.1 = pushers[3].word.1.wrapping_add(3_600_000_000);
        for _ in 0..4 {
            second(&mut fleet, &mut pushers);
        }
        assert_eq!(fleet.info("ClockJumps"), 1);
        assert!(looked(&mut fleet).1 < 1_500_000);
    }
}

#[test]
fn repeated_numbers_and_restarts_at_0_are_distinguished_and_harm_nothing() {
    let mut fleet = fleet(None, 12);
    let mut pusher = Pusher::proxy(0, 0);
    pusher.come(&mut fleet);
    fleet.run(1_000);
    pusher.push(&mut fleet, 0);
    for _ in 0..50 {
        fleet.traffic(0, 5, 0, 40);
        pusher.number -= 1;
        pusher.push(&mut fleet, 0);
    }
    assert_eq!(fleet.info("ReportsDoubled"), 50);
    (pusher.number, pusher.run) = (0, 6);
    fleet.fronts[0].tables = {
        let mut fresh = fleet.fronts[0].tables.clone();
        fresh
            .backends
            .values_mut()
            .for_each(|backend| backend.requests = 0);
        fresh
    };
    pusher.come(&mut fleet);
    pusher.push(&mut fleet, 0);
    assert_eq!(fleet.info("ReportsRestarted"), 1);
    pusher.number += 10;
    pusher.push(&mut fleet, 0);
    assert_eq!(fleet.info("ReportsMissing"), 10);
}
