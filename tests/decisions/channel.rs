//! The queue of lines to the proxies stays within its limit, however the channel behaves, and goes on once it can.

use crate::common::*;
use pondarch::Steward;
use pondarch::types::*;
use proptest::prelude::*;

const PROXIES: u16 = 200;
const HOSTS: usize = 160;

/// A limit of twice what all proxies take at their start.
fn site() -> Shop {
    let mut shop = Shop::open(
        JobTicket {
            channel_rate: 2_000.0,
            most_waiting: 4_800.0,
            report_every: ms(500),
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
        shop.met(n, 12.0, if fails { 12.0 } else { 0.0 }, 40 + 15 * (n as u64 % 3));
    }
    for n in 0..PROXIES {
        let many = if (usize::from(n) + turn).is_multiple_of(8) { 40.0 } else { 2.0 };
        shop.steward.reqs_came(shop.time(), ProxyId(n), KindId(0), many, ms(1_000));
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
            let cold = hosts.map(|n| listing(n, Standing::Open, shop.time()));
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

/// Answers are lost, as when the news break: nothing confirms what was sent, and all the same no update may wait for good.
#[test]
fn updates_go_on_after_answers_were_lost() {
    let mut shop = site();
    shop.run(3_000, changing_sums);
    shop.lose_marks(true);
    shop.run(40_000, changing_sums);
    assert!(shop.most_waiting() <= 1.0, "{:.2} of what may wait", shop.most_waiting());
    shop.lose_marks(false);
    shop.run(20_000, changing_sums);
    let before = shop.lines_ordered();
    shop.run(5_000, changing_sums);
    assert!(shop.lines_ordered() - before > 2_000.0, "{} lines in 5 s", shop.lines_ordered() - before);
}

/// A channel that has stood still goes on: what was held back goes out.
#[test]
fn updates_go_on_once_the_channel_does() {
    let mut shop = site();
    shop.run(3_000, changing_sums);
    shop.slow_channel_to(0.0);
    shop.run(60_000, changing_sums);
    assert!(shop.most_waiting() <= 1.0, "{:.2} of what may wait", shop.most_waiting());
    shop.slow_channel_to(1.0);
    shop.run(5_000, changing_sums);
    let before = shop.lines_ordered();
    shop.run(5_000, changing_sums);
    assert!(shop.lines_ordered() - before > 2_000.0, "{} lines in 5 s", shop.lines_ordered() - before);
}

/// Orders that were refused wait nowhere: a relay that is busy for a while leaves the whole queue to what follows.
#[test]
fn refused_orders_take_no_room() {
    let ticket = JobTicket { channel_rate: 2_000.0, most_waiting: 4_800.0, ..ticket(PROXIES.into()) };
    let now = |millis: u64| Time::from_micros(100 * SECOND + millis * 1_000);
    let mut steward = Steward::open(ticket, 7, now(0));
    let hosts = (0..HOSTS).map(|n| listing(n, Standing::Open, Time::default())).collect();
    steward.list_came(now(0), 1, true, hosts);
    (0..PROXIES).for_each(|n| steward.proxy_joined(now(0), ProxyId(n), true, 2.0, ZoneId(n % 4)));
    let mut bound = 0;
    for millis in (0..30_000).step_by(250) {
        steward.woke(now(millis));
        let orders: Vec<Ruling> = std::iter::from_fn(|| steward.next(now(millis))).collect();
        bound = orders.iter().filter(|order| matches!(order, Ruling::Bind { .. })).count();
        let orders: Vec<Ruling> =
            orders.into_iter().filter(|order| !matches!(order, Ruling::WakeIn(_))).collect();
        steward.carried_out(now(millis), &orders, Outcome::NotTaken);
    }
    assert_eq!(bound, usize::from(PROXIES), "all are ordered in the last round as in the first");
}
