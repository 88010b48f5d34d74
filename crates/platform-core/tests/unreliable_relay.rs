//! Tests of the controller with a simulated relay that rejects calls, applies them in part or does not answer, while
//! proxies and hosts join, leave and restart. The invariants are checked against the updates that the relay has
//! applied.

mod simulated_fleet;

use pondarch_controller::{DurationExt, ProxyId};
use pondarch_platform_core::{CallOutcome, Input};
use proptest::prelude::*;
use simulated_fleet::{GRACE_PERIOD, RelayFault, SimulatedFleet};

/// Time without a report after which a removed host may be forgotten.
const FORGOTTEN_AFTER_MILLIS: u64 = 31_000;

#[test]
fn proxies_are_bound_and_a_drain_is_sent_promptly() {
    let mut fleet = SimulatedFleet::new(20, 16);
    (0..16).for_each(|n| fleet.join(n, true));
    fleet.run(5_000);
    fleet.assert_invariants();
    assert!(fleet.bindings.len() == 16 && fleet.table_memberships() >= 20);
    fleet.drain(3);
    fleet.run(1_500);
    assert!(fleet.proxies_using(3) == 0, "the drain is sent promptly");
}

/// The updates for 400 joins are split into several calls, each within the relay's size limit, and keep the message
/// cap.
#[test]
fn four_hundred_proxies_join_at_once() {
    let mut fleet = SimulatedFleet::new(30, 400);
    (0..400).for_each(|n| fleet.join(n, n % 2 == 0));
    fleet.run(3_000);
    fleet.assert_invariants();
    fleet.assert_message_cap();
    assert_eq!(fleet.bindings.len(), 400);
    assert!(fleet.calls > 1, "one call can't hold all updates");
}

/// The controller restarts while most hosts are in slow start: 400 proxies join within a second, many of them with
/// tables from before the restart. Each proxy gets a host, no host in slow start is overloaded, and the message cap is
/// kept.
#[test]
fn all_proxies_join_a_new_controller_while_hosts_warm_up() {
    let mut fleet = SimulatedFleet::new(30, 400);
    (0..20).for_each(|n| fleet.restart(n));
    for tenth in 0..10u16 {
        (0..40).for_each(|n| fleet.join(tenth * 40 + n, n % 3 == 0));
        fleet.run(100);
    }
    for _ in 0..20 {
        fleet.run(1_000);
        fleet.assert_invariants();
        fleet.assert_message_cap();
    }
    assert_eq!(fleet.bindings.len(), 400);
}

/// While the relay is busy, no update is lost and calls are not retried without a delay.
#[test]
fn calls_to_a_busy_relay_are_retried_with_a_delay() {
    let mut fleet = SimulatedFleet::new(20, 8);
    fleet.fault = RelayFault::Busy;
    (0..8).for_each(|n| fleet.join(n, true));
    fleet.run(2_000);
    assert!(
        fleet.bindings.is_empty() && fleet.calls <= 20,
        "{} calls",
        fleet.calls
    );
    fleet.fault = RelayFault::None;
    fleet.restart_grace_period();
    fleet.run(1_000);
    fleet.assert_invariants();
    assert_eq!(fleet.bindings.len(), 8);
}

/// After a call with an unknown outcome the relay is brought to the intended state, whether it applied the call or not.
#[test]
fn the_relay_is_corrected_after_an_unanswered_call() {
    for fault in [RelayFault::AnswerLost, RelayFault::CallLost] {
        let mut fleet = SimulatedFleet::new(20, 8);
        fleet.fault = fault;
        (0..8).for_each(|n| fleet.join(n, true));
        fleet.run(100);
        fleet.fault = RelayFault::None;
        fleet.run(1_000);
        fleet.assert_invariants();
        assert_eq!(fleet.bindings.len(), 8);
        fleet.fault = fault;
        fleet.drain(2);
        fleet.run(300);
        fleet.fault = RelayFault::None;
        fleet.run(1_000);
        assert!(fleet.proxies_using(2) == 0, "the drain is sent again");
        fleet.assert_invariants();
    }
}

/// Hosts were forgotten before the result of the call that took them out of unused tables was known. When the call was
/// lost, proxies that were bound to these tables later used the removed hosts for good.
#[test]
fn removed_hosts_leave_unused_tables_although_the_call_was_not_applied() {
    for fault in [
        RelayFault::CallLost,
        RelayFault::Busy,
        RelayFault::AnswerLost,
        RelayFault::MalformedAnswer,
    ] {
        let mut fleet = SimulatedFleet::new(20, 16);
        (0..16).for_each(|n| fleet.join(n, true));
        fleet.run(2_000);
        (0..16).for_each(|n| fleet.leave(n));
        fleet.run(FORGOTTEN_AFTER_MILLIS);
        fleet.fault = fault;
        (0..4).for_each(|n| fleet.remove(n));
        fleet.run(3_000);
        fleet.fault = RelayFault::None;
        fleet.run(1_000);
        (0..16).for_each(|n| fleet.join(n, false));
        fleet.run(GRACE_PERIOD.micros() / 1_000 + 500);
        fleet.assert_invariants();
        let known = fleet.controller.status().known_hosts;
        assert_eq!(known, 16, "{fault:?}: removed hosts are still known");
    }
}

/// The removal of many hosts takes several calls, and a round of decisions falls between the calls of one batch. Hosts
/// that this round drops were forgotten although the rest of their updates was lost.
#[test]
fn removed_hosts_leave_unused_tables_although_one_of_several_calls_was_lost() {
    let mut fleet = SimulatedFleet::new(600, 1_500);
    (0..1_500).for_each(|n| fleet.join(n, true));
    fleet.run(3_000);
    (0..1_500).for_each(|n| fleet.leave(n));
    fleet.run(FORGOTTEN_AFTER_MILLIS);
    let calls_before = fleet.calls;
    fleet.outcome_delay_micros = 300_000;
    fleet.listed.retain(|id, _| id.ends_with('7'));
    fleet.send_complete_list();
    while fleet.calls == calls_before {
        fleet.run(50);
    }
    fleet.fault = RelayFault::CallLost;
    while fleet.calls == calls_before + 1 {
        fleet.run(50);
    }
    fleet.fault = RelayFault::None;
    assert!(
        fleet.unlisted_memberships() > 0,
        "the last call had no effect to lose"
    );
    fleet.run(2_000);
    assert_eq!(fleet.unlisted_memberships(), 0);
}

/// The relay stops a call at the update of a proxy that has left. A drain after that update must not wait for the
/// proxy's membership event.
#[test]
fn updates_after_a_rejected_update_are_sent() {
    let mut fleet = SimulatedFleet::new(20, 8);
    (0..8).for_each(|n| fleet.join(n, true));
    fleet.run(2_000);
    fleet.leave_without_event(5);
    fleet.send_joined(5, false);
    fleet.drain(1);
    fleet.run(200);
    assert!(
        fleet.proxies_using(1) == 0 && fleet.partially_applied_calls == 1,
        "stopped {} times",
        fleet.partially_applied_calls
    );
    fleet.run(2_000);
    assert!(
        fleet.partially_applied_calls <= 3,
        "no retry loop: stopped {} times",
        fleet.partially_applied_calls
    );
    fleet.leave(5);
    fleet.run(2_000);
    fleet.assert_invariants();
}

/// An answer that counts more updates than the call had, or that belongs to another call, is not taken as the result of
/// the call in flight.
#[test]
fn malformed_answers_are_ignored() {
    let mut fleet = SimulatedFleet::new(20, 8);
    fleet.fault = RelayFault::MalformedAnswer;
    (0..8).for_each(|n| fleet.join(n, true));
    fleet.run(500);
    fleet.handle(Input::CallEnded {
        call: 999,
        outcome: CallOutcome::Applied { updates: 1 },
    });
    fleet.fault = RelayFault::None;
    fleet.run(1_000);
    fleet.assert_invariants();
    assert!(fleet.controller.counters().calls_in_doubt > 0 && fleet.bindings.len() == 8);
}

/// Proxies that left, joined or rejoined while no events arrived are found by the list at the start of the next watch.
#[test]
fn a_gap_in_the_membership_events_leaves_no_proxy_unbound() {
    let mut fleet = SimulatedFleet::new(20, 16);
    (0..12).for_each(|n| fleet.join(n, true));
    fleet.run(3_000);
    fleet.leave_without_event(1);
    fleet.rejoin_without_event(2);
    fleet.rejoin_without_event(14);
    assert!(!fleet.bindings.contains_key(&ProxyId(2)));
    fleet.restart_membership_watch();
    fleet.run(2_500);
    fleet.assert_invariants();
    assert_eq!(fleet.controller.joined_proxies(), 12);
    assert!(fleet.bindings.contains_key(&ProxyId(2)) && fleet.bindings.contains_key(&ProxyId(14)));
}

/// The membership watch restarts often, and all proxies are bound again each time, while hosts drain and restart. The
/// message cap is kept.
#[test]
fn frequent_restarts_of_the_watch_stay_within_the_message_cap() {
    let mut fleet = SimulatedFleet::new(30, 60);
    (0..60).for_each(|n| fleet.join(n, true));
    fleet.run(3_000);
    for round in 0..30 {
        match round % 3 {
            0 => fleet.restart(round % 30),
            1 => fleet.drain((round + 7) % 30),
            _ => {}
        }
        fleet.restart_membership_watch();
        fleet.run(600);
        fleet.assert_message_cap();
    }
}

/// A new registry may start at a lower generation; its complete list is applied nevertheless.
#[test]
fn a_complete_list_of_a_lower_generation_is_applied() {
    let mut fleet = SimulatedFleet::new(20, 8);
    (0..8).for_each(|n| fleet.join(n, true));
    fleet.run(1_000);
    fleet.generation = 0;
    fleet.listed.remove("host-4");
    fleet.send_complete_list();
    fleet.run(1_500);
    assert_eq!(fleet.proxies_using(4), 0);
}

/// Each release gives the hosts new ids. The old ids must not use memory forever.
#[test]
fn removed_hosts_are_forgotten() {
    let mut fleet = SimulatedFleet::new(20, 16);
    (0..16).for_each(|n| fleet.join(n, true));
    fleet.run(2_000);
    let mut max_known = 0;
    for release in 1..8usize {
        for n in 0..20 {
            fleet.replace(release, n);
            fleet.run(600);
        }
        fleet.run(45_000);
        fleet.assert_invariants();
        max_known = max_known.max(fleet.controller.status().known_hosts);
        assert!(
            fleet.table_memberships() <= 250,
            "{} table memberships at the relay",
            fleet.table_memberships()
        );
    }
    assert!(max_known <= 40, "{max_known} hosts are known");
}

/// Reports that name unknown hosts, proxies, classes or zones are counted as malformed, and nothing of them is stored.
#[test]
fn reports_with_unknown_names_are_not_stored() {
    let mut fleet = SimulatedFleet::new(5, 4);
    fleet.join(0, true);
    fleet.run(1_000);
    let before = fleet.controller.status();
    for text in [
        "heard site zz target host-1 count 5 fail 0 mean 4 over 1000",
        "heard site a target nobody count 5 fail 0 mean 4 over 1000",
        "usage id 3 lane proof count 5 fail 0 over 1000",
        "usage id 0 lane odd count 5 fail 0 over 1000",
    ] {
        fleet.send_report(text);
    }
    assert_eq!(
        (
            fleet.controller.counters().reports,
            fleet
                .controller
                .counters()
                .malformed_messages
                .values()
                .sum::<u64>()
        ),
        (0, 4)
    );
    assert_eq!(
        (before.demand, before.known_hosts),
        (
            fleet.controller.status().demand,
            fleet.controller.status().known_hosts
        )
    );
}

#[derive(Clone, Debug)]
enum Step {
    Join(u16, bool),
    Leave(u16),
    LeaveWithoutEvent(u16),
    RejoinWithoutEvent(u16),
    Drain(usize),
    Remove(usize),
    Restart(usize),
    RestartWatch,
    InjectFault(RelayFault),
    SendCompleteList,
    Wait(u64),
    JoinAll,
    LeaveAll,
    RemoveFirst(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        4 => Just(RelayFault::None),
        1 => Just(RelayFault::Busy),
        1 => Just(RelayFault::AnswerLost),
        1 => Just(RelayFault::CallLost),
        1 => Just(RelayFault::MalformedAnswer),
    ];
    prop_oneof![
        4 => (0..16u16, any::<bool>()).prop_map(|(n, fresh)| Step::Join(n, fresh)),
        1 => (0..16u16).prop_map(Step::Leave),
        1 => (0..16u16).prop_map(Step::LeaveWithoutEvent),
        1 => (0..16u16).prop_map(Step::RejoinWithoutEvent),
        1 => (0..20usize).prop_map(Step::Drain),
        1 => (0..20usize).prop_map(Step::Remove),
        2 => (0..20usize).prop_map(Step::Restart),
        1 => Just(Step::RestartWatch),
        3 => fault.prop_map(Step::InjectFault),
        1 => Just(Step::SendCompleteList),
        5 => (50..3_000u64).prop_map(Step::Wait),
    ]
}

/// Steps by which hosts are dropped while tables that no proxy uses still have them.
fn step_with_dropped_hosts() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => step(),
        2 => Just(Step::JoinAll),
        2 => Just(Step::LeaveAll),
        2 => (1..12usize).prop_map(Step::RemoveFirst),
        2 => Just(Step::Wait(FORGOTTEN_AFTER_MILLIS)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Runs without a message cap, which may allow too few messages to restore the invariants in time after the worst
    /// sequences.
    #[test]
    fn invariants_hold_under_any_faults(steps in prop::collection::vec(step(), 1..40)) {
        let mut fleet = SimulatedFleet::with_message_cap(20, 16, 0);
        for step in &steps {
            run_step(&mut fleet, step);
            fleet.assert_invariants();
        }
        fleet.run(GRACE_PERIOD.micros() / 1_000 + 2_000);
        fleet.assert_invariants();
    }

    /// Proxies, hosts and faults come and go while calls are in flight, and hosts are dropped before their results. In the
    /// end no host is known any more that is not listed.
    #[test]
    fn invariants_hold_while_hosts_are_dropped(
        steps in prop::collection::vec(step_with_dropped_hosts(), 1..60),
        outcome_delay_millis in prop::sample::select(vec![0, 50, 300]),
        zone_local_class in any::<bool>(),
    ) {
        let mut fleet = SimulatedFleet::with_zone_local_class(20, 16, zone_local_class);
        fleet.outcome_delay_micros = outcome_delay_millis * 1_000;
        for step in &steps {
            run_step(&mut fleet, step);
            fleet.assert_invariants();
        }
        fleet.run(FORGOTTEN_AFTER_MILLIS + 2_000);
        fleet.assert_invariants();
        let known = fleet.controller.status().known_hosts;
        prop_assert_eq!(known, fleet.listed.len(), "removed hosts are still known");
    }

    #[test]
    fn the_message_cap_is_kept_under_any_faults(steps in prop::collection::vec(step(), 1..40)) {
        let mut fleet = SimulatedFleet::new(20, 16);
        for step in &steps {
            run_step(&mut fleet, step);
            fleet.run(1_000);
            fleet.assert_message_cap();
        }
    }
}

fn run_step(fleet: &mut SimulatedFleet, step: &Step) {
    match *step {
        Step::Join(n, fresh) => fleet.join(n, fresh),
        Step::Leave(n) => fleet.leave(n),
        Step::LeaveWithoutEvent(n) => {
            fleet.leave_without_event(n);
            fleet.restart_membership_watch();
        }
        Step::RejoinWithoutEvent(n) => {
            fleet.rejoin_without_event(n);
            fleet.restart_membership_watch();
        }
        Step::Drain(n) => fleet.drain(n),
        Step::Remove(n) => fleet.remove(n),
        Step::Restart(n) => fleet.restart(n),
        Step::RestartWatch => fleet.restart_membership_watch(),
        // Each fault ends after 400 ms, and the invariants' grace periods start at its end.
        Step::InjectFault(fault) => {
            fleet.fault = fault;
            fleet.run(400);
            fleet.fault = RelayFault::None;
            fleet.restart_grace_period();
        }
        Step::SendCompleteList => fleet.send_complete_list(),
        Step::Wait(millis) => fleet.run(millis),
        Step::JoinAll => (0..16).for_each(|n| fleet.join(n, false)),
        Step::LeaveAll => (0..16).for_each(|n| fleet.leave(n)),
        Step::RemoveFirst(count) => (0..count).for_each(|n| fleet.remove(n)),
    }
}

/// Host start times are listed by the wall clock. A clock that was set back made a host that had just started look
/// warm, and a clock that was set forward extended a host's slow start by the size of the step.
#[test]
fn a_stepped_wall_clock_does_not_change_slow_start() {
    const STEP_MICROS: u64 = 120_000_000;
    for is_ahead in [false, true] {
        let mut fleet = SimulatedFleet::new(20, 8);
        (0..8).for_each(|n| fleet.join(n, true));
        fleet.run(3_000);
        let wall = if is_ahead {
            fleet.now + STEP_MICROS
        } else {
            fleet.now - STEP_MICROS
        };
        fleet.restart_by_wall_clock(3, wall);
        fleet.run(1_500);
        let weight = fleet.largest_weight_of(3);
        assert!(
            weight < 0.5,
            "weight is {weight} right after the start, clock ahead: {is_ahead}"
        );
        fleet.run(30_000);
        let weight = fleet.largest_weight_of(3);
        assert!(
            weight > 0.4,
            "weight is still {weight} after slow start, clock ahead: {is_ahead}"
        );
    }
}
