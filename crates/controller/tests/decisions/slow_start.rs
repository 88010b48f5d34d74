//! Slow start of hosts that started recently.

use crate::common::{
    SECOND, SimulatedFleet, deployment_config, endpoint, host, ms, report_all_healthy,
    restart_all_hosts, small_fleet,
};
use pondarch_controller::{
    DeploymentConfig, EndpointState, ProxyId, RequestClassId, TableId, Time,
};

#[test]
fn a_later_start_time_begins_slow_start() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    assert!(fleet.is_unused(2), "the restarted host stays in a table");
    fleet.run(17_000, report_all_healthy);
    assert!(
        fleet.is_unused(2),
        "the host is in a table before it is warm"
    );
    fleet.run(13_000, report_all_healthy);
    assert!(fleet.lines[&(TableId(0), host(2))] > before * 0.9);
}

/// Proxies avoid failing hosts. Under overload, they would send everything to a host that has just started and overload
/// it.
#[test]
fn a_warming_host_is_kept_out_until_the_overload_is_over() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 40.0, 20.0, 900))
    });
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    assert!(
        !fleet.hosts_of(TableId(0)).contains(&host(2)),
        "a warming host was added to an overloaded table"
    );
    fleet.check_invariants();
    fleet.run(20_000, report_all_healthy);
    assert!(fleet.hosts_of(TableId(0)).contains(&host(2)));
}

/// The list may come from another registry that is behind the previous one.
#[test]
fn a_complete_list_with_an_earlier_start_time_does_not_end_slow_start() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
    fleet.apply_list(
        true,
        (0..12)
            .map(|n| endpoint(n, EndpointState::Ready, Time::from_micros(SECOND)))
            .collect(),
    );
    fleet.run(2_000, report_all_healthy);
    assert!(fleet.is_unused(2), "the warming host is in a table");
}

/// The clock of a host may be ahead.
#[test]
fn a_start_time_in_the_future_counts_as_now() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(4_000, report_all_healthy);
    let before = fleet.lines[&(TableId(0), host(2))];
    let future_start = Time::from_micros(fleet.now_us + 3_600 * SECOND);
    fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, future_start)]);
    assert!(fleet.is_unused(2), "the restarted host stays in a table");
    fleet.run(30_000, report_all_healthy);
    assert!(fleet.lines[&(TableId(0), host(2))] > before * 0.9);
}

/// The requests of each class, for each of the proxies.
const REQUESTS_BY_CLASS: [f64; 3] = [6.0, 5.0, 1.0];

/// Returns the part of the requests of these classes that a host gets by its line in a table and what the table admits.
fn part_of_requests(
    fleet: &SimulatedFleet,
    table: TableId,
    n: usize,
    classes: std::ops::Range<usize>,
) -> f64 {
    let of_table = fleet.lines.iter().filter(|((of, _), _)| *of == table);
    let weight: f64 = of_table.map(|(_, weight)| weight).sum();
    let admitted = |class: usize| {
        let admission = fleet.admission.get(&(table, RequestClassId(class as u8)));
        admission.map_or(1.0, |(fraction, _)| *fraction)
    };
    let requests: f64 = REQUESTS_BY_CLASS[classes.clone()].iter().sum();
    let admitted: f64 = classes
        .map(|class| REQUESTS_BY_CLASS[class] * admitted(class))
        .sum();
    fleet.lines[&(table, host(n))] / weight * admitted / requests
}

/// Returns the part of its usual requests that a host gets one second after all hosts have restarted, in a fleet with this
/// multiple and span of the rule and this part of the requests.
fn restarted_part(overload_multiple: f64, overload_span_ms: u64, part: f64) -> f64 {
    let config = DeploymentConfig {
        overload_multiple,
        overload_span: ms(overload_span_ms),
        ..deployment_config(8)
    };
    let mut fleet = small_fleet(config);
    fleet.run(15_000, |fleet| report_part(fleet, part));
    let before = part_of_requests(&fleet, TableId(0), 2, 0..3);
    restart_all_hosts(&mut fleet);
    fleet.run(1_000, |fleet| report_part(fleet, part));
    part_of_requests(&fleet, TableId(0), 2, 0..3) / before
}

fn report_part(fleet: &mut SimulatedFleet, part: f64) {
    (0..12).for_each(|n| fleet.report_outcomes(n, 8.0 * part, 0.0, 200));
    for n in 0..8 {
        for (class, requests) in REQUESTS_BY_CLASS.into_iter().enumerate() {
            fleet.controller.record_arrivals(
                fleet.time(),
                ProxyId(n),
                RequestClassId(class as u8),
                requests * part,
                ms(1_000),
            );
        }
    }
}

/// A host that takes a handful of requests in the span of the rule was sent as large a part of its capacity as one that
/// takes hundreds: chance brought it twice as many.
#[test]
fn a_warming_host_with_few_requests_gets_a_smaller_part() {
    let (few, many) = (
        restarted_part(2.5, 2_000, 0.25),
        restarted_part(2.5, 2_000, 50.0),
    );
    assert!(
        few < many * 0.7,
        "{few} of its weight, {many} with many requests"
    );
}

/// The multiple and the span were not read from the settings.
#[test]
fn a_warming_host_gets_less_where_it_bears_less() {
    let usual = restarted_part(2.5, 2_000, 1.0);
    let weaker = restarted_part(1.5, 2_000, 1.0);
    assert!(
        weaker < usual * 0.8,
        "{weaker} of its weight at 1.5, {usual} at 2.5"
    );
    let shorter = restarted_part(2.5, 500, 1.0);
    assert!(
        shorter < usual * 0.9,
        "{shorter} of its weight in 0.5 s, {usual} in 2 s"
    );
}

/// Warming hosts of zone tables had no limit but their weight.
#[test]
fn a_warming_host_of_a_zone_with_few_requests_gets_a_smaller_part() {
    let share = |part: f64| {
        let mut config = deployment_config(8);
        config.request_classes[1].zone_local = true;
        let mut fleet = small_fleet(config);
        fleet.run(15_000, |fleet| report_part(fleet, part));
        let zone_table = TableId(1 + 2);
        let before = part_of_requests(&fleet, zone_table, 2, 1..2);
        restart_all_hosts(&mut fleet);
        fleet.run(1_000, |fleet| report_part(fleet, part));
        part_of_requests(&fleet, zone_table, 2, 1..2) / before
    };
    let (few, many) = (share(0.25), share(50.0));
    assert!(
        few < many * 0.7,
        "{few} of its weight, {many} with many requests"
    );
}

/// Lines that can wait were held back by the message cap for seconds, while a host that warmed up got what hosts that had
/// left its table had got before.
#[test]
fn hosts_that_come_back_relieve_a_warming_host_at_once() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(15_000, report_all_healthy);
    let list = |fleet: &mut SimulatedFleet, hosts: std::ops::Range<usize>, state| {
        let entries = hosts.map(|n| endpoint(n, state, Time::default()));
        fleet.apply_list(false, entries.collect());
    };
    list(&mut fleet, 3..8, EndpointState::Draining);
    fleet.run(200, report_all_healthy);
    list(&mut fleet, 8..12, EndpointState::Draining);
    fleet.run(200, report_all_healthy);
    let restarted = (0..3).map(|n| endpoint(n, EndpointState::Ready, fleet.time()));
    fleet.apply_list(false, restarted.collect());
    fleet.run(1_000, report_all_healthy);
    list(&mut fleet, 3..12, EndpointState::Ready);
    fleet.run(2_000, report_all_healthy);
    let hosts = fleet.hosts_of(TableId(0)).len();
    assert!(
        hosts > 3,
        "after 2 s, the table still has {hosts} hosts that warm up"
    );
}
