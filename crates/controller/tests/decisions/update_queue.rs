//! The update queue stays within its limit whatever the channel does, and updates resume once the channel recovers.

use crate::common::{SECOND, SimulatedFleet, deployment_config, endpoint, ms};
use pondarch_controller::{DeploymentConfig, DurationExt, EndpointState, ProxyId, RequestClassId};
use proptest::prelude::*;
use std::time::Duration;

const PROXIES: u16 = 200;
const HOSTS: usize = 160;
const DRAIN_GRACE: Duration = Duration::from_millis(2_300);

/// Returns a fleet whose queue limit is twice the lines that binding all proxies takes.
fn queue_test_fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(
        DeploymentConfig {
            update_rate: 2_000.0,
            max_queued_lines: 4_800.0,
            report_interval: ms(500),
            drain_grace_period: DRAIN_GRACE,
            ..deployment_config(PROXIES.into())
        },
        HOSTS,
    );
    (0..PROXIES).for_each(|n| fleet.join(n, true, 2.0));
    fleet
}

/// Reports that a fifth of the hosts fails and that an eighth of the proxies gets most requests. Both groups change
/// every two seconds, so weights change all the time.
fn report_changing_load(fleet: &mut SimulatedFleet) {
    let phase = (fleet.now_us / SECOND / 2) as usize;
    for n in 0..HOSTS {
        let fails = (n + phase).is_multiple_of(5);
        fleet.report_outcomes(
            n,
            12.0,
            if fails { 12.0 } else { 0.0 },
            40 + 15 * (n as u64 % 3),
        );
    }
    for n in 0..PROXIES {
        let requests = if (usize::from(n) + phase).is_multiple_of(8) {
            40.0
        } else {
            2.0
        };
        fleet.controller.record_arrivals(
            fleet.time(),
            ProxyId(n),
            RequestClassId(0),
            requests,
            ms(1_000),
        );
    }
}

#[derive(Clone, Debug)]
enum Fault {
    /// The channel sends at this fraction of its rate.
    SetRate(f64),
    /// Acknowledgements are lost, or no longer lost.
    SetAcksLost(bool),
    /// 20 hosts restart, beginning with this one.
    RestartHosts(usize),
    /// 40 proxies leave and rejoin, beginning with this one.
    RejoinProxies(u16),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => prop::sample::select(vec![0.0, 0.02, 0.125, 0.5, 1.0]).prop_map(Fault::SetRate),
        1 => any::<bool>().prop_map(Fault::SetAcksLost),
        2 => (0..HOSTS).prop_map(Fault::RestartHosts),
        2 => (0..PROXIES).prop_map(Fault::RejoinProxies),
    ]
}

fn inject(fleet: &mut SimulatedFleet, fault: &Fault) {
    match *fault {
        Fault::SetRate(fraction) => fleet.set_channel_rate(fraction),
        Fault::SetAcksLost(lost) => fleet.set_acks_lost(lost),
        Fault::RestartHosts(from) => {
            let hosts = (from..HOSTS).take(20);
            let restarted = hosts.map(|n| endpoint(n, EndpointState::Ready, fleet.time()));
            fleet.apply_list(false, restarted.collect());
        }
        Fault::RejoinProxies(from) => (from..PROXIES).take(40).for_each(|n| {
            fleet.leave(n);
            fleet.join(n, false, 2.0);
        }),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn no_fault_makes_the_queue_exceed_its_limit(faults in prop::collection::vec((fault(), 500..5_000u64), 1..8)) {
        let mut fleet = queue_test_fleet();
        fleet.run(2_000, report_changing_load);
        for (fault, millis) in faults {
            inject(&mut fleet, &fault);
            fleet.run(millis, report_changing_load);
            prop_assert!(fleet.max_queue_utilization() <= 1.0, "the queue reached {:.2} of its limit after {fault:?}", fleet.max_queue_utilization());
        }
    }
}

fn assert_queue_within_limit(fleet: &SimulatedFleet) {
    assert!(
        fleet.max_queue_utilization() <= 1.0,
        "the queue reached {:.2} of its limit",
        fleet.max_queue_utilization()
    );
}

fn assert_updates_are_sent(fleet: &mut SimulatedFleet) {
    let before = fleet.submitted_lines();
    fleet.run(5_000, report_changing_load);
    let lines = fleet.submitted_lines() - before;
    assert!(lines > 2_000.0, "only {lines} lines were sent in 5 s");
}

/// Acknowledgements are lost, for instance because the stream of membership events breaks. Updates must not wait
/// forever although nothing confirms the lines sent before.
#[test]
fn updates_resume_after_acknowledgements_were_lost() {
    let mut fleet = queue_test_fleet();
    fleet.run(3_000, report_changing_load);
    fleet.set_acks_lost(true);
    fleet.run(40_000, report_changing_load);
    assert_queue_within_limit(&fleet);
    fleet.set_acks_lost(false);
    fleet.run(20_000, report_changing_load);
    assert_updates_are_sent(&mut fleet);
}

/// Updates held back by a stopped channel are sent once the channel resumes.
#[test]
fn updates_resume_with_the_channel() {
    let mut fleet = queue_test_fleet();
    fleet.run(3_000, report_changing_load);
    fleet.set_channel_rate(0.0);
    fleet.run(60_000, report_changing_load);
    assert_queue_within_limit(&fleet);
    fleet.set_channel_rate(1.0);
    fleet.run(5_000, report_changing_load);
    assert_updates_are_sent(&mut fleet);
}

/// Returns whether the controller counts at least as many sent lines as the channel was given.
fn counts_all_lines(fleet: &SimulatedFleet) -> bool {
    let sent = fleet.controller.status().update_queue.sent_for;
    let counted =
        sent.bindings + sent.drains + sent.hazards + sent.expedited + sent.ordinary + sent.acks;
    counted + 1e-6 >= fleet.submitted_lines()
}

#[test]
fn all_sent_lines_are_counted() {
    let mut fleet = queue_test_fleet();
    fleet.run(10_000, report_changing_load);
    assert!(counts_all_lines(&fleet));
}

/// With zone-local classes, a proxy is bound to two tables, and the zone table is far larger than the shared one.
#[test]
fn bindings_to_zone_tables_are_counted() {
    let mut config = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 100_000.0,
        ..deployment_config(PROXIES.into())
    };
    config.request_classes[1].zone_local = true;
    let mut fleet = SimulatedFleet::new(config, HOSTS);
    (0..PROXIES).for_each(|n| fleet.join(n, true, 2.0));
    fleet.run(10_000, report_changing_load);
    assert!(counts_all_lines(&fleet));
}

/// The queue is first in, first out, so a drain waits behind all earlier lines. On a slow channel, this must not take
/// longer than the drain grace period, once the controller has detected that the channel is slow.
#[test]
fn a_drain_does_not_wait_behind_deferrable_updates() {
    for fraction in [0.5, 0.25, 0.125] {
        let mut fleet = queue_test_fleet();
        fleet.run(5_000, report_changing_load);
        fleet.set_channel_rate(fraction);
        fleet.run(10_000, report_changing_load);
        for _ in 0..40 {
            fleet.run(500, report_changing_load);
            let delay_s = fleet.queue_delay_s();
            assert!(
                delay_s <= DRAIN_GRACE.seconds(),
                "a drain would wait for {delay_s:.1} s at {fraction} of the rate"
            );
        }
    }
}

/// All proxies join at once on a slow channel and use their old tables, with half of the hosts, for seconds. Missing
/// reports of the other hosts must not count as silence while the new tables are still queued.
#[test]
fn hosts_are_not_silent_while_their_tables_are_queued() {
    let config = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 4_800.0,
        report_interval: ms(500),
        drain_grace_period: DRAIN_GRACE,
        ..deployment_config(PROXIES.into())
    };
    let mut fleet = SimulatedFleet::new(config, HOSTS);
    fleet.set_channel_rate(0.125);
    (0..PROXIES).for_each(|n| fleet.join(n, false, 4.0));
    fleet.run(6_000, |fleet| {
        (0..HOSTS)
            .step_by(2)
            .for_each(|n| fleet.report_outcomes(n, 10.0, 0.0, 40))
    });
    assert!(
        fleet.queue_delay_s() > 1.0,
        "the tables are no longer queued"
    );
    let ejected = fleet.controller.status().ejected.len();
    assert_eq!(ejected, 0, "{ejected} hosts were ejected as silent");
}

/// A cut of admission is queued for seconds. Overload that lasts meanwhile must not cause another cut.
#[test]
fn admission_is_not_cut_again_while_a_cut_is_queued() {
    let mut fleet = queue_test_fleet();
    fleet.run(5_000, |fleet| {
        (0..HOSTS).for_each(|n| fleet.report_outcomes(n, 12.0, 0.0, 40))
    });
    fleet.set_channel_rate(0.0);
    fleet.run(20_000, |fleet| {
        (0..HOSTS).for_each(|n| fleet.report_outcomes(n, 12.0, 6.0, 40))
    });
    let status = fleet.controller.status();
    let mean_fraction =
        status.admitted_fractions.iter().sum::<f64>() / status.admitted_fractions.len() as f64;
    assert!(
        mean_fraction > 0.6,
        "cut to {:?} although no update has reached the proxies",
        status.admitted_fractions
    );
}

/// While hosts restart and fail all the time, hazards must not delay a drain beyond its grace period either.
#[test]
fn a_drain_does_not_wait_behind_hazards() {
    for fraction in [0.5, 0.25] {
        let mut fleet = queue_test_fleet();
        fleet.run(5_000, report_changing_load);
        fleet.set_channel_rate(fraction);
        for wave in 0..40 {
            let restarted = (0..HOSTS).skip(wave * 7 % HOSTS).take(10);
            fleet.apply_list(
                false,
                restarted
                    .map(|n| endpoint(n, EndpointState::Ready, fleet.time()))
                    .collect(),
            );
            fleet.run(500, report_changing_load);
            let delay_s = fleet.queue_delay_s();
            let is_detected = wave >= 10;
            assert!(
                !is_detected || delay_s <= DRAIN_GRACE.seconds(),
                "a drain would wait for {delay_s:.1} s at {fraction} of the rate"
            );
        }
    }
}
