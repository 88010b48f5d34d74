//! The core against a scripted relay that loses, stops at and never answers calls, while proxies and hosts come and go.
//! The rules are checked against what the relay really carried out.

mod town;

use pondarch_controller::DurationExt;
use pondarch_controller::ProxyId;
use pondarch_platform_core::{CallEnd, Input};
use proptest::prelude::*;
use town::{Fault, GRACE, Town};

#[test]
fn a_calm_site_is_served() {
    let mut town = Town::open(20, 16);
    (0..16).for_each(|n| town.joins(n, true));
    town.run(5_000);
    town.check();
    assert!(town.bound.len() == 16 && town.relay_lines() >= 20);
    town.drains(3);
    town.run(1_500);
    assert!(town.users_of(3) == 0, "a drain goes out at once");
}

/// A round of 400 joins is many calls, each within the relay's bytes, and within the message cap.
#[test]
fn four_hundred_proxies_join_at_once() {
    let mut town = Town::open(30, 400);
    (0..400).for_each(|n| town.joins(n, n % 2 == 0));
    town.run(3_000);
    town.check();
    town.check_cap();
    assert_eq!(town.bound.len(), 400);
    assert!(town.calls > 1, "one call cannot hold all that");
}

/// A restart while most hosts are cold: four hundred proxies join within a second, many of them unsure of what they hold.
/// Each has a host, no cold one has more than its part, and nobody is told more often than may be.
#[test]
fn all_join_a_steward_that_just_started_while_hosts_are_cold() {
    let mut town = Town::open(30, 400);
    (0..20).for_each(|n| town.restarts(n));
    for tenth in 0..10u16 {
        (0..40).for_each(|n| town.joins(tenth * 40 + n, n % 3 == 0));
        town.run(100);
    }
    for _ in 0..20 {
        town.run(1_000);
        town.check();
        town.check_cap();
    }
    assert_eq!(town.bound.len(), 400);
}

/// Before the run the relay is busy: nothing is lost, and nobody asks in circles.
#[test]
fn a_busy_relay_is_asked_again_at_a_calm_pace() {
    let mut town = Town::open(20, 8);
    town.fault = Fault::Busy;
    (0..8).for_each(|n| town.joins(n, true));
    town.run(2_000);
    assert!(
        town.bound.is_empty() && town.calls <= 20,
        "{} calls",
        town.calls
    );
    town.fault = Fault::None;
    town.forgive();
    town.run(1_000);
    town.check();
    assert_eq!(town.bound.len(), 8);
}

/// Whether it was carried out or not: after the call that nobody knows the end of, all stands again.
#[test]
fn a_call_without_an_answer_is_made_good() {
    for fault in [Fault::LostAfter, Fault::LostBefore] {
        let mut town = Town::open(20, 8);
        town.fault = fault;
        (0..8).for_each(|n| town.joins(n, true));
        town.run(100);
        town.fault = Fault::None;
        town.run(1_000);
        town.check();
        assert_eq!(town.bound.len(), 8);
        town.fault = fault;
        town.drains(2);
        town.run(300);
        town.fault = Fault::None;
        town.run(1_000);
        assert!(town.users_of(2) == 0, "the drain is repeated");
        town.check();
    }
}

/// The relay stops at a proxy that has left: the drains behind that order must not wait for the news.
#[test]
fn what_comes_after_a_refused_order_still_goes_out() {
    let mut town = Town::open(20, 8);
    (0..8).for_each(|n| town.joins(n, true));
    town.run(2_000);
    town.leaves_unseen(5);
    town.tell_joined(5, false);
    town.drains(1);
    town.run(200);
    assert!(
        town.users_of(1) == 0 && town.stopped == 1,
        "stopped {} times",
        town.stopped
    );
    town.run(2_000);
    assert!(
        town.stopped <= 3,
        "no circles: stopped {} times",
        town.stopped
    );
    town.leaves(5);
    town.run(2_000);
    town.check();
}

/// An answer with more orders than the call had, or to another call, says nothing of the one under way.
#[test]
fn spoilt_answers_are_no_answers() {
    let mut town = Town::open(20, 8);
    town.fault = Fault::Spoilt;
    (0..8).for_each(|n| town.joins(n, true));
    town.run(500);
    town.core.handle(
        town.time(),
        Input::CallEnded {
            call: 999,
            end: CallEnd::Answered { orders: 1 },
        },
    );
    town.fault = Fault::None;
    town.run(1_000);
    town.check();
    assert!(town.core.tally().unknown > 0 && town.bound.len() == 8);
}

/// Proxies that left, joined and joined anew while no news came are found out by the list that comes first.
#[test]
fn a_gap_in_the_news_leaves_nobody_unbound() {
    let mut town = Town::open(20, 16);
    (0..12).for_each(|n| town.joins(n, true));
    town.run(3_000);
    town.leaves_unseen(1);
    town.rejoins_unseen(2);
    town.rejoins_unseen(14);
    assert!(!town.bound.contains_key(&ProxyId(2)));
    town.news_breaks();
    town.run(2_500);
    town.check();
    assert_eq!(town.core.joined(), 12);
    assert!(town.bound.contains_key(&ProxyId(2)) && town.bound.contains_key(&ProxyId(14)));
}

/// News break again and again, and each time all proxies are bound anew; meanwhile hosts drain and restart. No proxy is
/// sent more messages than may be.
#[test]
fn news_that_break_often_stay_within_the_message_cap() {
    let mut town = Town::open(30, 60);
    (0..60).for_each(|n| town.joins(n, true));
    town.run(3_000);
    for round in 0..30 {
        match round % 3 {
            0 => town.restarts(round % 30),
            1 => town.drains((round + 7) % 30),
            _ => {}
        }
        town.news_breaks();
        town.run(600);
        town.check_cap();
    }
}

/// A new discovery may number its versions lower: its whole list counts all the same.
#[test]
fn a_whole_list_of_a_lower_version_counts() {
    let mut town = Town::open(20, 8);
    (0..8).for_each(|n| town.joins(n, true));
    town.run(1_000);
    town.version = 0;
    town.listed.remove("host-4");
    town.tells_all();
    town.run(1_500);
    assert_eq!(town.users_of(4), 0);
}

/// Ids of hosts are new after each release: nothing may be kept for the old ones, for ever.
#[test]
fn hosts_of_long_ago_are_forgotten() {
    let mut town = Town::open(20, 16);
    (0..16).for_each(|n| town.joins(n, true));
    town.run(2_000);
    let mut most = 0;
    for release in 1..8usize {
        for n in 0..20 {
            town.replaces(release, n);
            town.run(600);
        }
        town.run(45_000);
        town.check();
        most = most.max(town.core.glance().known_hosts);
        assert!(
            town.relay_lines() <= 250,
            "{} lines stand at the relay",
            town.relay_lines()
        );
    }
    assert!(most <= 40, "{most} hosts are kept");
}

/// Reports of unknown hosts, proxies, kinds and zones store nothing.
#[test]
fn unknown_names_store_nothing() {
    let mut town = Town::open(5, 4);
    town.joins(0, true);
    town.run(1_000);
    let before = town.core.glance();
    for text in [
        "heard site zz target host-1 count 5 fail 0 mean 4 over 1000",
        "heard site a target nobody count 5 fail 0 mean 4 over 1000",
        "usage id 3 lane proof count 5 fail 0 over 1000",
        "usage id 0 lane odd count 5 fail 0 over 1000",
    ] {
        town.says(text);
    }
    assert_eq!(
        (
            town.core.tally().reports,
            town.core.tally().spoilt.values().sum::<u64>()
        ),
        (0, 4)
    );
    assert_eq!(
        (before.demand, before.known_hosts),
        (town.core.glance().demand, town.core.glance().known_hosts)
    );
}

#[derive(Clone, Debug)]
enum Step {
    Join(u16, bool),
    Leave(u16),
    LeaveUnseen(u16),
    RejoinUnseen(u16),
    Drain(usize),
    Gone(usize),
    Restart(usize),
    News,
    Relay(Fault),
    Whole,
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Busy),
        1 => Just(Fault::LostAfter),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::Spoilt),
    ];
    prop_oneof![
        4 => (0..16u16, any::<bool>()).prop_map(|(n, fresh)| Step::Join(n, fresh)),
        1 => (0..16u16).prop_map(Step::Leave),
        1 => (0..16u16).prop_map(Step::LeaveUnseen),
        1 => (0..16u16).prop_map(Step::RejoinUnseen),
        1 => (0..20usize).prop_map(Step::Drain),
        1 => (0..20usize).prop_map(Step::Gone),
        2 => (0..20usize).prop_map(Step::Restart),
        1 => Just(Step::News),
        3 => fault.prop_map(Step::Relay),
        1 => Just(Step::Whole),
        5 => (50..3_000u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under no message cap: a cap can leave too few messages for the worst of such days.
    #[test]
    fn rules_hold_whatever_breaks(steps in prop::collection::vec(step(), 1..40)) {
        let mut town = Town::with_cap(20, 16, 0);
        for step in &steps {
            take(&mut town, step);
            town.check();
        }
        town.run(GRACE.micros() / 1_000 + 2_000);
        town.check();
    }

    #[test]
    fn the_message_cap_is_kept_whatever_breaks(steps in prop::collection::vec(step(), 1..40)) {
        let mut town = Town::open(20, 16);
        for step in &steps {
            take(&mut town, step);
            town.run(1_000);
            town.check_cap();
        }
    }
}

fn take(town: &mut Town, step: &Step) {
    match *step {
        Step::Join(n, fresh) => town.joins(n, fresh),
        Step::Leave(n) => town.leaves(n),
        Step::LeaveUnseen(n) => {
            town.leaves_unseen(n);
            town.news_breaks();
        }
        Step::RejoinUnseen(n) => {
            town.rejoins_unseen(n);
            town.news_breaks();
        }
        Step::Drain(n) => town.drains(n),
        Step::Gone(n) => town.gone(n),
        Step::Restart(n) => town.restarts(n),
        Step::News => town.news_breaks(),
        // No fault lasts: the rules' limits wait while one does.
        Step::Relay(fault) => {
            town.fault = fault;
            town.run(400);
            town.fault = Fault::None;
            town.forgive();
        }
        Step::Whole => town.tells_all(),
        Step::Wait(millis) => town.run(millis),
    }
}
