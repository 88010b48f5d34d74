//! The queue of lines to the proxies stays within its limit, however the channel behaves, and goes on once it can.

use crate::common::{SECOND, SimulatedFleet, deployment, endpoint, ms};
use pondarch_controller::{DeploymentConfig, DurationExt, EndpointState, ProxyId, RequestClassId};
use proptest::prelude::*;
use std::time::Duration;

const PROXIES: u16 = 200;
const HOSTS: usize = 160;
const DRAIN_GRACE: Duration = Duration::from_millis(2_300);

/// A limit of twice what all proxies take at their start.
fn busy_fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            update_rate: 2_000.0,
            max_queued_lines: 4_800.0,
            report_interval: ms(500),
            drain_grace_period: DRAIN_GRACE,
            ..deployment(PROXIES.into())
        },
        HOSTS,
    );
    (0..PROXIES).for_each(|n| fleet.join(n, true, 2.0));
    fleet
}

/// A fifth of the hosts fails and an eighth of the proxies has most requests, others every two seconds: weights have to
/// change all the time.
fn changing_reports(fleet: &mut SimulatedFleet) {
    let turn = (fleet.now / SECOND / 2) as usize;
    for n in 0..HOSTS {
        let fails = (n + turn).is_multiple_of(5);
        fleet.report_outcomes(
            n,
            12.0,
            if fails { 12.0 } else { 0.0 },
            40 + 15 * (n as u64 % 3),
        );
    }
    for n in 0..PROXIES {
        let many = if (usize::from(n) + turn).is_multiple_of(8) {
            40.0
        } else {
            2.0
        };
        fleet.controller.record_arrivals(
            fleet.time(),
            ProxyId(n),
            RequestClassId(0),
            many,
            ms(1_000),
        );
    }
}

#[derive(Clone, Debug)]
enum Fault {
    /// The channel sends at this part of its rate.
    Rate(f64),
    LoseMarks(bool),
    Restarted(usize),
    Rejoin(u16),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => prop::sample::select(vec![0.0, 0.02, 0.125, 0.5, 1.0]).prop_map(Fault::Rate),
        1 => any::<bool>().prop_map(Fault::LoseMarks),
        2 => (0..HOSTS).prop_map(Fault::Restarted),
        2 => (0..PROXIES).prop_map(Fault::Rejoin),
    ]
}

fn strike(fleet: &mut SimulatedFleet, fault: &Fault) {
    match *fault {
        Fault::Rate(part) => fleet.slow_channel_to(part),
        Fault::LoseMarks(lost) => fleet.lose_acks(lost),
        Fault::Restarted(from) => {
            let hosts = (from..HOSTS).take(20);
            let cold = hosts.map(|n| endpoint(n, EndpointState::Ready, fleet.time()));
            fleet.list(false, cold.collect());
        }
        Fault::Rejoin(from) => (from..PROXIES).take(40).for_each(|n| {
            fleet.leave(n);
            fleet.join(n, false, 2.0);
        }),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn no_fault_takes_the_queue_over_its_limit(faults in prop::collection::vec((fault(), 500..5_000u64), 1..8)) {
        let mut fleet = busy_fleet();
        fleet.run(2_000, changing_reports);
        for (fault, millis) in faults {
            strike(&mut fleet, &fault);
            fleet.run(millis, changing_reports);
            prop_assert!(fleet.max_queue_use() <= 1.0, "{:.2} of what may wait after {fault:?}", fleet.max_queue_use());
        }
    }
}

fn assert_queue_kept(fleet: &SimulatedFleet) {
    assert!(
        fleet.max_queue_use() <= 1.0,
        "{:.2} of what may wait",
        fleet.max_queue_use()
    );
}

fn assert_updates_go_on(fleet: &mut SimulatedFleet) {
    let before = fleet.lines_ordered();
    fleet.run(5_000, changing_reports);
    let lines = fleet.lines_ordered() - before;
    assert!(lines > 2_000.0, "{lines} lines in 5 s");
}

/// Answers are lost, as when the watch of events breaks: nothing confirms what was sent, and all the same no update may wait for good.
#[test]
fn updates_go_on_after_answers_were_lost() {
    let mut fleet = busy_fleet();
    fleet.run(3_000, changing_reports);
    fleet.lose_acks(true);
    fleet.run(40_000, changing_reports);
    assert_queue_kept(&fleet);
    fleet.lose_acks(false);
    fleet.run(20_000, changing_reports);
    assert_updates_go_on(&mut fleet);
}

/// A channel that has stood still goes on: what was held back goes out.
#[test]
fn updates_go_on_once_the_channel_does() {
    let mut fleet = busy_fleet();
    fleet.run(3_000, changing_reports);
    fleet.slow_channel_to(0.0);
    fleet.run(60_000, changing_reports);
    assert_queue_kept(&fleet);
    fleet.slow_channel_to(1.0);
    fleet.run(5_000, changing_reports);
    assert_updates_go_on(&mut fleet);
}

/// Whether what the controller takes to have sent is at least what the channel was given.
fn counts_all_lines(fleet: &SimulatedFleet) -> bool {
    let sent = fleet.controller.status().update_queue.sent_for;
    let counted =
        sent.bindings + sent.drains + sent.hazards + sent.expedited + sent.ordinary + sent.acks;
    counted + 1e-6 >= fleet.lines_ordered()
}

#[test]
fn no_line_is_left_out_of_the_count() {
    let mut fleet = busy_fleet();
    fleet.run(10_000, changing_reports);
    assert!(counts_all_lines(&fleet));
}

/// A proxy with classes confined to its zone is bound to two tables, and the zone's own is the longer one by far.
#[test]
fn bindings_to_the_table_of_a_zone_are_counted() {
    let mut deployment = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 100_000.0,
        ..deployment(PROXIES.into())
    };
    deployment.request_classes[1].zone_local = true;
    let mut fleet = SimulatedFleet::new(deployment, HOSTS);
    (0..PROXIES).for_each(|n| fleet.join(n, true, 2.0));
    fleet.run(10_000, changing_reports);
    assert!(counts_all_lines(&fleet));
}

/// The queue is first in, first out: a drain waits behind all that went before. On a slow channel that must not take longer
/// than the grace for drains, once the spell has been noticed.
#[test]
fn a_drain_does_not_wait_behind_what_could_have_waited() {
    for part in [0.5, 0.25, 0.125] {
        let mut fleet = busy_fleet();
        fleet.run(5_000, changing_reports);
        fleet.slow_channel_to(part);
        fleet.run(10_000, changing_reports);
        for _ in 0..40 {
            fleet.run(500, changing_reports);
            let wait = fleet.queue_seconds();
            assert!(
                wait <= DRAIN_GRACE.seconds(),
                "a drain would wait for {wait:.1} s at {part} of the rate"
            );
        }
    }
}

/// All proxies come at once on a slow channel: for seconds they send by the tables they had, to half of the hosts. That
/// no report names the others says nothing of them, while what was sent is still on its way.
#[test]
fn hosts_are_not_silent_before_their_tables_have_arrived() {
    let deployment = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 4_800.0,
        report_interval: ms(500),
        drain_grace_period: DRAIN_GRACE,
        ..deployment(PROXIES.into())
    };
    let mut fleet = SimulatedFleet::new(deployment, HOSTS);
    fleet.slow_channel_to(0.125);
    (0..PROXIES).for_each(|n| fleet.join(n, false, 4.0));
    fleet.run(6_000, |fleet| {
        (0..HOSTS)
            .step_by(2)
            .for_each(|n| fleet.report_outcomes(n, 10.0, 0.0, 40))
    });
    assert!(fleet.queue_seconds() > 1.0, "the tables have arrived");
    let ejected = fleet.controller.status().ejected.len();
    assert_eq!(ejected, 0, "{ejected} hosts are taken for silent");
}

/// A cut of admission is on its way for seconds: overload that goes on meanwhile is no reason to cut again.
#[test]
fn admission_is_not_cut_again_before_the_cut_has_arrived() {
    let mut fleet = busy_fleet();
    fleet.run(5_000, |fleet| {
        (0..HOSTS).for_each(|n| fleet.report_outcomes(n, 12.0, 0.0, 40))
    });
    fleet.slow_channel_to(0.0);
    fleet.run(20_000, |fleet| {
        (0..HOSTS).for_each(|n| fleet.report_outcomes(n, 12.0, 6.0, 40))
    });
    let status = fleet.controller.status();
    let served =
        status.admitted_fractions.iter().sum::<f64>() / status.admitted_fractions.len() as f64;
    assert!(
        served > 0.6,
        "admission of {:?} for overload that no update has reached",
        status.admitted_fractions
    );
}

/// A drain does not wait, while hosts restart and fail all the time: what cold hosts bring up may not fill the queue for longer either.
#[test]
fn a_drain_does_not_wait_behind_hazards() {
    for part in [0.5, 0.25] {
        let mut fleet = busy_fleet();
        fleet.run(5_000, changing_reports);
        fleet.slow_channel_to(part);
        for wave in 0..40 {
            let cold = (0..HOSTS).skip(wave * 7 % HOSTS).take(10);
            fleet.list(
                false,
                cold.map(|n| endpoint(n, EndpointState::Ready, fleet.time()))
                    .collect(),
            );
            fleet.run(500, changing_reports);
            let wait = fleet.queue_seconds();
            let noticed = wave >= 10;
            assert!(
                !noticed || wait <= DRAIN_GRACE.seconds(),
                "a drain would wait for {wait:.1} s at {part} of the rate"
            );
        }
    }
}
