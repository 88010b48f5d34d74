//! What a controller admits that has just started and does not know the load.

use crate::common::{SimulatedFleet, deployment_config, endpoint, ms, report_all_healthy};
use pondarch_controller::{EndpointState, ProxyId, RequestClassId, Time};

/// Nobody counts the requests of a proxy before its first report. The time until then used to count as time without
/// requests: a third of the demand on a controller that had just started was missing, and too much was admitted.
#[test]
fn time_before_the_first_report_does_not_lower_the_demand() {
    let mut fleet = SimulatedFleet::new(deployment_config(16), 12);
    let join_and_report_once = |fleet: &mut SimulatedFleet| {
        (0..16).for_each(|n| fleet.join(n, false, 5.0));
        fleet.run(2_950, |_| {});
        for n in 0..16 {
            let now = fleet.time();
            fleet
                .controller
                .record_arrivals(now, ProxyId(n), RequestClassId(0), 5.0, ms(1_000));
        }
        fleet.run(500, |_| {});
        fleet.controller.status().demand
    };
    let after_start = join_and_report_once(&mut fleet);
    assert!(
        (after_start - 80.0).abs() < 8.0,
        "the demand of 80 requests per second is estimated at {after_start} after the start"
    );
    (0..16).for_each(|n| fleet.leave(n));
    fleet.run(60_000, |_| {});
    let after_return = join_and_report_once(&mut fleet);
    assert!(
        (after_return - 80.0).abs() < 8.0,
        "the demand of 80 requests per second is estimated at {after_return} after the return"
    );
}

/// A controller that was started in a release admitted all requests until reports showed the overload, although the list
/// showed that half of the hosts were cold.
#[test]
fn a_controller_without_reports_admits_by_the_capacity_of_its_hosts() {
    let admitted_after_start = |usual_rate: f64, cold_hosts: usize| {
        let mut fleet = SimulatedFleet::new(deployment_config(16), 12);
        let now = fleet.time();
        let cold = (0..cold_hosts).map(|n| endpoint(n, EndpointState::Ready, now));
        fleet.apply_list(false, cold.collect());
        (0..16).for_each(|n| fleet.join(n, false, usual_rate));
        let fractions = fleet.controller.status().admitted_fractions;
        fractions.iter().sum::<f64>() / fractions.len() as f64
    };
    assert_eq!(admitted_after_start(5.0, 0), 1.0);
    // Six of twelve hosts at a fifth of their capacity leave three fifths of the fleet.
    for usual_rate in [5.0, 0.0] {
        let admitted = admitted_after_start(usual_rate, 6);
        assert!(
            (admitted - 0.6).abs() < 0.05,
            "the proxies have a usual rate of {usual_rate} and admit {admitted} of it"
        );
    }
}

/// A controller that had just started waited for 3 s after its first report before it shed load, and the queues of an
/// overloaded fleet filled up in the meantime.
#[test]
fn first_reports_that_stand_for_most_requests_shed_load() {
    let mut fleet = SimulatedFleet::new(deployment_config(16), 12);
    (0..16).for_each(|n| fleet.join(n, false, 5.0));
    fleet.run(1_500, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 5.0, 0.0, 1_500))
    });
    let admission = fleet.controller.status().admitted_fractions;
    assert!(
        admission[0] < 1.0 && admission[1] == 1.0,
        "an overload must shed some load of the lowest priority only: {admission:?}"
    );
}

/// The first reports without overload used to end the limit of a new controller at once. In a fleet at its limit, the
/// overload showed only afterwards, and hosts that had just started were overloaded.
#[test]
fn what_a_new_controller_shed_is_admitted_step_by_step() {
    let mut fleet = SimulatedFleet::new(deployment_config(16), 0);
    let now = fleet.time();
    let started = |n: usize| if n < 6 { now } else { Time::default() };
    let hosts = (0..12).map(|n| endpoint(n, EndpointState::Ready, started(n)));
    fleet.apply_list(true, hosts.collect());
    (0..16).for_each(|n| fleet.join(n, false, 5.0));
    let mut admitted = Vec::new();
    for _ in 0..20 {
        fleet.run(1_000, |fleet| {
            (0..12).for_each(|n| fleet.report_outcomes(n, 6.0, 0.0, 200))
        });
        let fractions = fleet.controller.status().admitted_fractions;
        admitted.push(fractions.iter().sum::<f64>() / fractions.len() as f64);
    }
    let largest_step = admitted.windows(2).map(|pair| pair[1] - pair[0]);
    let largest_step = largest_step.fold(0.0, f64::max);
    assert!(
        admitted[0] < 0.7 && largest_step < 0.15,
        "the admitted fractions of each second: {admitted:?}"
    );
    assert_eq!(admitted.last(), Some(&1.0));
}

/// A controller that lost all hosts before it knew the load took the time without any as knowledge of the load. It then
/// admitted all requests when the hosts came back cold.
#[test]
fn loss_of_all_hosts_before_the_load_is_known_admits_by_capacity_again() {
    let mut fleet = SimulatedFleet::new(deployment_config(16), 12);
    (0..16).for_each(|n| fleet.join(n, false, 5.0));
    fleet.run(1_500, report_all_healthy);
    let entries = |state, started| (0..12).map(|n| endpoint(n, state, started)).collect();
    fleet.apply_list(false, entries(EndpointState::Removed, Time::default()));
    fleet.run(5_000, |_| {});
    let started = fleet.time();
    fleet.apply_list(false, entries(EndpointState::Ready, started));
    fleet.run(500, |_| {});
    let fractions = fleet.controller.status().admitted_fractions;
    let admitted = fractions.iter().sum::<f64>() / fractions.len() as f64;
    assert!(
        admitted < 0.4,
        "hosts that have just started get {admitted} of the requests"
    );
}
