//! The queue of lines to the proxies stays within its limit, however the channel behaves, and goes on once it can.

use crate::common::*;
use pondarch_controller::Controller;
use pondarch_controller::DurationExt;
use pondarch_controller::EndpointList;
use pondarch_controller::JoiningProxy;
use pondarch_controller::{
    AckId, Decision, DeploymentConfig, EndpointState, ProxyId, RequestClassId, Time, UpdateResult,
    ZoneId,
};
use proptest::prelude::*;
use std::time::Duration;

const PROXIES: u16 = 200;
const HOSTS: usize = 160;
const DRAIN_GRACE: Duration = Duration::from_millis(2_300);

/// A limit of twice what all proxies take at their start.
fn site() -> Shop {
    let mut shop = Shop::open(
        DeploymentConfig {
            update_rate: 2_000.0,
            max_queued_lines: 4_800.0,
            report_interval: ms(500),
            drain_grace_period: DRAIN_GRACE,
            ..ticket(PROXIES.into())
        },
        HOSTS,
    );
    (0..PROXIES).for_each(|n| shop.join(n, true, 2.0));
    shop
}

/// A fifth of the hosts fails and an eighth of the proxies has most requests, others every two seconds: weights have to
/// change all the time.
fn changing_sums(shop: &mut Shop) {
    let turn = (shop.now / SECOND / 2) as usize;
    for n in 0..HOSTS {
        let fails = (n + turn).is_multiple_of(5);
        shop.met(
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
        shop.steward
            .record_arrivals(shop.time(), ProxyId(n), RequestClassId(0), many, ms(1_000));
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

fn strike(shop: &mut Shop, fault: &Fault) {
    match *fault {
        Fault::Rate(part) => shop.slow_channel_to(part),
        Fault::LoseMarks(lost) => shop.lose_marks(lost),
        Fault::Restarted(from) => {
            let hosts = (from..HOSTS).take(20);
            let cold = hosts.map(|n| listing(n, EndpointState::Ready, shop.time()));
            shop.list(false, cold.collect());
        }
        Fault::Rejoin(from) => (from..PROXIES).take(40).for_each(|n| {
            shop.leave(n);
            shop.join(n, false, 2.0);
        }),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn no_fault_takes_the_queue_over_its_limit(faults in prop::collection::vec((fault(), 500..5_000u64), 1..8)) {
        let mut shop = site();
        shop.run(2_000, changing_sums);
        for (fault, millis) in faults {
            strike(&mut shop, &fault);
            shop.run(millis, changing_sums);
            prop_assert!(shop.most_waiting() <= 1.0, "{:.2} of what may wait after {fault:?}", shop.most_waiting());
        }
    }
}

fn assert_queue_kept(shop: &Shop) {
    assert!(
        shop.most_waiting() <= 1.0,
        "{:.2} of what may wait",
        shop.most_waiting()
    );
}

fn assert_updates_go_on(shop: &mut Shop) {
    let before = shop.lines_ordered();
    shop.run(5_000, changing_sums);
    let lines = shop.lines_ordered() - before;
    assert!(lines > 2_000.0, "{lines} lines in 5 s");
}

/// Answers are lost, as when the news break: nothing confirms what was sent, and all the same no update may wait for good.
#[test]
fn updates_go_on_after_answers_were_lost() {
    let mut shop = site();
    shop.run(3_000, changing_sums);
    shop.lose_marks(true);
    shop.run(40_000, changing_sums);
    assert_queue_kept(&shop);
    shop.lose_marks(false);
    shop.run(20_000, changing_sums);
    assert_updates_go_on(&mut shop);
}

/// A channel that has stood still goes on: what was held back goes out.
#[test]
fn updates_go_on_once_the_channel_does() {
    let mut shop = site();
    shop.run(3_000, changing_sums);
    shop.slow_channel_to(0.0);
    shop.run(60_000, changing_sums);
    assert_queue_kept(&shop);
    shop.slow_channel_to(1.0);
    shop.run(5_000, changing_sums);
    assert_updates_go_on(&mut shop);
}

/// Orders that were refused wait nowhere: a relay that is busy for a while leaves the whole queue to what follows.
#[test]
fn refused_orders_take_no_room() {
    // Room for one round: all updates and bindings come to some 5,000 lines.
    let ticket = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 6_000.0,
        ..ticket(PROXIES.into())
    };
    let now = |millis: u64| Time::from_micros(100 * SECOND + millis * 1_000);
    let mut steward = Controller::new(ticket, 7, now(0));
    let hosts = (0..HOSTS)
        .map(|n| listing(n, EndpointState::Ready, Time::default()))
        .collect();
    steward.apply_endpoint_list(
        now(0),
        EndpointList {
            generation: 1,
            complete: true,
            endpoints: hosts,
        },
    );
    (0..PROXIES).for_each(|n| {
        steward.proxy_joined(
            now(0),
            JoiningProxy {
                id: ProxyId(n),
                zone: ZoneId(n % 4),
                newly_started: true,
                usual_rate: 2.0,
            },
        )
    });
    let mut bound = 0;
    for millis in (0..30_000).step_by(250) {
        steward.on_timer(now(millis));
        let orders: Vec<Decision> =
            std::iter::from_fn(|| steward.next_decision(now(millis))).collect();
        bound = orders
            .iter()
            .filter(|order| matches!(order, Decision::BindProxy { .. }))
            .count();
        let orders: Vec<Decision> = orders
            .into_iter()
            .filter(|order| !matches!(order, Decision::SetTimer(_)))
            .collect();
        steward.on_update_result(now(millis), &orders, UpdateResult::Rejected);
    }
    assert_eq!(
        bound,
        usize::from(PROXIES),
        "all are ordered in the last round as in the first"
    );
}

/// Whether what the steward takes to have sent is at least what the channel was given.
fn counts_all_lines(shop: &Shop) -> bool {
    let sent = shop.steward.status().update_queue.sent_for;
    let counted =
        sent.bindings + sent.drains + sent.hazards + sent.expedited + sent.ordinary + sent.acks;
    counted + 1e-6 >= shop.lines_ordered()
}

#[test]
fn no_line_is_left_out_of_the_count() {
    let mut shop = site();
    shop.run(10_000, changing_sums);
    assert!(counts_all_lines(&shop));
}

/// A proxy with kinds confined to its zone is bound to two tables, and the zone's own is the longer one by far.
#[test]
fn bindings_to_the_table_of_a_zone_are_counted() {
    let mut ticket = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 100_000.0,
        ..ticket(PROXIES.into())
    };
    ticket.request_classes[1].zone_local = true;
    let mut shop = Shop::open(ticket, HOSTS);
    (0..PROXIES).for_each(|n| shop.join(n, true, 2.0));
    shop.run(10_000, changing_sums);
    assert!(counts_all_lines(&shop));
}

/// The queue is first in, first out: a drain waits behind all that went before. On a slow channel that must not take longer
/// than the grace for drains, once the spell has been noticed.
#[test]
fn a_drain_does_not_wait_behind_what_could_have_waited() {
    for part in [0.5, 0.25, 0.125] {
        let mut shop = site();
        shop.run(5_000, changing_sums);
        shop.slow_channel_to(part);
        shop.run(10_000, changing_sums);
        for _ in 0..40 {
            shop.run(500, changing_sums);
            let wait = shop.queue_seconds();
            assert!(
                wait <= DRAIN_GRACE.seconds(),
                "a drain would wait for {wait:.1} s at {part} of the rate"
            );
        }
    }
}

/// All proxies come at once on a slow channel: for seconds they send by the tables they had, to half of the hosts. That
/// nothing is heard of the others says nothing of them, while what was ordered is still on its way.
#[test]
fn hosts_are_not_silent_before_their_tables_have_arrived() {
    let ticket = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 4_800.0,
        report_interval: ms(500),
        drain_grace_period: DRAIN_GRACE,
        ..ticket(PROXIES.into())
    };
    let mut shop = Shop::open(ticket, HOSTS);
    shop.slow_channel_to(0.125);
    (0..PROXIES).for_each(|n| shop.join(n, false, 4.0));
    shop.run(6_000, |shop| {
        (0..HOSTS)
            .step_by(2)
            .for_each(|n| shop.met(n, 10.0, 0.0, 40))
    });
    assert!(shop.queue_seconds() > 1.0, "the tables have arrived");
    let kept_out = shop.steward.status().ejected.len();
    assert_eq!(kept_out, 0, "{kept_out} hosts are taken for silent");
}

/// A cut of levels is on its way for seconds: strain that goes on meanwhile is no reason to cut again.
#[test]
fn levels_are_not_cut_again_before_the_cut_has_arrived() {
    let mut shop = site();
    shop.run(5_000, |shop| {
        (0..HOSTS).for_each(|n| shop.met(n, 12.0, 0.0, 40))
    });
    shop.slow_channel_to(0.0);
    shop.run(20_000, |shop| {
        (0..HOSTS).for_each(|n| shop.met(n, 12.0, 6.0, 40))
    });
    let glance = shop.steward.status();
    let served =
        glance.admitted_fractions.iter().sum::<f64>() / glance.admitted_fractions.len() as f64;
    assert!(
        served > 0.6,
        "levels of {:?} for strain that no order has reached",
        glance.admitted_fractions
    );
}

/// For 20 s no call is answered, and none was carried out. Once calls are taken again, a drain must not wait until it is
/// clear that nothing of all that waits.
#[test]
fn a_drain_goes_out_soon_after_calls_without_an_answer() {
    let ticket = DeploymentConfig {
        update_rate: 2_000.0,
        max_queued_lines: 4_800.0,
        ..ticket(PROXIES.into())
    };
    let now = |millis: u64| Time::from_micros(100 * SECOND + millis * 1_000);
    let mut steward = Controller::new(ticket, 7, now(0));
    let hosts = (0..HOSTS)
        .map(|n| listing(n, EndpointState::Ready, Time::default()))
        .collect();
    steward.apply_endpoint_list(
        now(0),
        EndpointList {
            generation: 1,
            complete: true,
            endpoints: hosts,
        },
    );
    (0..PROXIES).for_each(|n| {
        steward.proxy_joined(
            now(0),
            JoiningProxy {
                id: ProxyId(n),
                zone: ZoneId(n % 4),
                newly_started: true,
                usual_rate: 2.0,
            },
        )
    });
    let mut marks: Vec<(u64, AckId)> = Vec::new();
    let mut drained = Vec::new();
    for millis in (0..24_000).step_by(250) {
        steward.on_timer(now(millis));
        let answers = millis >= 20_000;
        if millis == 20_500 {
            steward.apply_endpoint_list(
                now(millis),
                EndpointList {
                    generation: 2,
                    complete: false,
                    endpoints: vec![listing(7, EndpointState::Draining, Time::default())],
                },
            );
        }
        marks
            .iter()
            .filter(|(at, _)| *at + 250 == millis)
            .for_each(|(_, m)| steward.on_ack(now(millis), *m));
        let all = std::iter::from_fn(|| steward.next_decision(now(millis)));
        let orders: Vec<Decision> = all
            .filter(|order| !matches!(order, Decision::SetTimer(_)))
            .collect();
        for order in orders.iter().filter(|_| answers) {
            match order {
                Decision::RequestAck(mark) => marks.push((millis, *mark)),
                Decision::SetWeight {
                    host: out,
                    weight: None,
                    ..
                } if *out == host(7) => drained.push(millis),
                _ => {}
            }
        }
        steward.on_update_result(
            now(millis),
            &orders,
            if answers {
                UpdateResult::Applied
            } else {
                UpdateResult::Unknown
            },
        );
    }
    let last = drained.last().expect("the drain was ordered");
    assert!(*last <= 22_000, "ordered at {drained:?} ms");
}

/// The same while hosts restart and fail all the time: what cold hosts bring up may not fill the queue for longer either.
#[test]
fn a_drain_does_not_wait_behind_hazards() {
    for part in [0.5, 0.25] {
        let mut shop = site();
        shop.run(5_000, changing_sums);
        shop.slow_channel_to(part);
        for wave in 0..40 {
            let cold = (0..HOSTS).skip(wave * 7 % HOSTS).take(10);
            shop.list(
                false,
                cold.map(|n| listing(n, EndpointState::Ready, shop.time()))
                    .collect(),
            );
            shop.run(500, changing_sums);
            let wait = shop.queue_seconds();
            let noticed = wave >= 10;
            assert!(
                !noticed || wait <= DRAIN_GRACE.seconds(),
                "a drain would wait for {wait:.1} s at {part} of the rate"
            );
        }
    }
}
