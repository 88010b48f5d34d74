//! Admission control under overload.

use crate::common::{
    SimulatedFleet, all_healthy, deployment, endpoint, fleet_with, host, ms, reports_but,
};
use pondarch_controller::{
    AdmissionMode, AttemptOutcomes, DeploymentConfig, EndpointState, HostLoad, ProxyId,
    RequestClassId, TableId, Time,
};

/// Some stewards reach most hosts more slowly: answers take long, but nothing waits, and refusing helps nobody.
#[test]
fn long_answers_without_a_queue_are_no_overload() {
    for (queue, cut) in [(0.0, false), (3.0, true)] {
        let mut fleet = fleet_with(deployment(8));
        fleet.run(5_000, all_healthy);
        fleet.run(8_000, |fleet| {
            reports_but(fleet, &(0..12).collect::<Vec<_>>());
            let load = Some(HostLoad {
                queue_length: Some(queue),
                ..HostLoad::default()
            });
            let report_outcomes = AttemptOutcomes {
                attempts: 8.0,
                failures: 0.0,
                mean_latency: ms(700),
                period: ms(1_000),
                load,
            };
            (0..12).for_each(|n| {
                fleet
                    .controller
                    .record_outcomes(fleet.time(), &host(n), report_outcomes)
            });
        });
        assert_eq!(fleet.admission.values().any(|(quota, _)| *quota < 1.0), cut);
    }
}

#[test]
fn overload_sheds_the_least_priority_first_and_recovers() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(5_000, all_healthy);
    let jam = |fleet: &mut SimulatedFleet| {
        reports_but(fleet, &(0..12).collect::<Vec<_>>());
        (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 1.0, 1_500));
    };
    fleet.run(8_000, jam);
    let level = |fleet: &SimulatedFleet, class| {
        fleet
            .admission
            .get(&(TableId(0), RequestClassId(class)))
            .map_or(1.0, |l| l.0)
    };
    assert!(
        level(&fleet, 0) < 0.9 && level(&fleet, 0) < level(&fleet, 2) && level(&fleet, 1) >= 1.0
    );
    fleet.run(60_000, all_healthy);
    assert!(
        (0..3).all(|class| level(&fleet, class) >= 1.0),
        "admission stay down after the jam"
    );
}

/// A fleet that grows can do more than it ever did: after an overload twice the hosts admit requests again twice as fast.
#[test]
fn admission_rises_with_the_fleet() {
    let after_jam = |grown: bool| {
        let mut fleet = fleet_with(deployment(8));
        fleet.run(6_000, all_healthy);
        fleet.run(7_000, |fleet| {
            (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 1.0, 1_500))
        });
        if grown {
            let more = (12..36).map(|n| endpoint(n, EndpointState::Ready, Time::default()));
            fleet.list(false, more.collect());
        }
        fleet.run(9_000, all_healthy);
        fleet.admission[&(TableId(0), RequestClassId(0))].0
    };
    assert!(after_jam(true) > after_jam(false));
}

/// A plan's word is evidence: admission come back faster up to what it says the fleet can do. It cuts nothing.
#[test]
fn a_plan_brings_admission_back_and_sheds_nothing() {
    let after_jam = |planned: Option<f64>| {
        let mut fleet = fleet_with(deployment(8));
        fleet.run(6_000, all_healthy);
        fleet.run(7_000, |fleet| {
            (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 1.0, 1_500))
        });
        fleet.controller.apply_capacity_plan(fleet.time(), planned);
        fleet.run(9_000, all_healthy);
        fleet.admission[&(TableId(0), RequestClassId(0))].0
    };
    assert!(after_jam(Some(1.0)) > after_jam(None));
    assert_eq!(after_jam(Some(0.0)), after_jam(None));
    assert_eq!(after_jam(Some(f64::NAN)), after_jam(None));
    let mut fleet = fleet_with(deployment(8));
    fleet
        .controller
        .apply_capacity_plan(fleet.time(), Some(0.3));
    fleet.run(20_000, all_healthy);
    assert!(fleet.admission.values().all(|(quota, _)| *quota >= 1.0));
}

/// Half the fleet restarted in a jam and got no traffic since; its last reports must not keep the admission down.
#[test]
fn old_reports_are_no_evidence_of_overload() {
    let mut fleet = fleet_with(deployment(8));
    fleet.run(5_000, all_healthy);
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 1.0, 1_500))
    });
    fleet.run(60_000, |fleet| {
        reports_but(fleet, &(0..7).collect::<Vec<_>>())
    });
    assert!(
        fleet.admission.values().all(|(quota, _)| *quota >= 1.0),
        "admission stay at {:?}",
        fleet.admission
    );
}

#[test]
fn admission_by_rate_goes_by_the_busiest_proxy() {
    let mut fleet = fleet_with(DeploymentConfig {
        admission: AdmissionMode::Rate,
        ..deployment(8)
    });
    fleet.run(5_000, all_healthy);
    assert!(fleet.admission.values().all(|(quota, _)| *quota > 1e6));
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 1.0, 1_500))
    });
    let quota = fleet.admission[&(TableId(0), RequestClassId(0))].0;
    assert!(
        quota < 6.0,
        "the class of least priority still has {quota} requests a second"
    );
}

/// Periods without requests bring no report: 0.2 requests a second were taken for one, and admission cut for nothing.
#[test]
fn few_requests_are_not_taken_for_many() {
    let mut fleet = fleet_with(deployment(8));
    let mut second = 0;
    fleet.run(60_000, |fleet| {
        second += 1;
        let reports = |n: u16| (n + second).is_multiple_of(5);
        let now = fleet.time();
        (0..8).filter(|&n| reports(n)).for_each(|n| {
            fleet
                .controller
                .record_arrivals(now, ProxyId(n), RequestClassId(0), 1.0, ms(1_000))
        });
    });
    let believed = fleet.controller.status().demand;
    assert!(
        (believed - 1.6).abs() < 0.3,
        "8 proxies with 0.2 requests a second are taken for {believed}"
    );
    // Where no report comes at all, that says nothing of any request.
    fleet.run(30_000, |_| {});
    assert!(fleet.controller.status().demand > 1.3);
}

/// Held fast while the proxies of a controller that restarts moved over, the admitted rate shed half of all requests.
#[test]
fn the_admitted_rate_goes_with_the_joined_proxies() {
    let mut fleet = SimulatedFleet::new(deployment(16), 12);
    (0..8).for_each(|n| fleet.join(n, false, 3.0));
    let send_requests = |fleet: &mut SimulatedFleet, of: std::ops::Range<u16>| {
        let now = fleet.time();
        of.for_each(|n| {
            fleet
                .controller
                .record_arrivals(now, ProxyId(n), RequestClassId(0), 3.0, ms(1_000))
        });
    };
    fleet.run(20_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 2.0, 0.0, 300));
        send_requests(fleet, 0..8);
    });
    fleet.run(4_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 2.0, 0.0, 900));
        send_requests(fleet, 0..8);
    });
    let level = fleet.controller.status().admitted_fractions[0];
    assert!(level < 0.95, "the overload was seen: {level}");
    (8..16).for_each(|n| fleet.join(n, false, 3.0));
    fleet.run(1_000, |fleet| send_requests(fleet, 0..16));
    let after = fleet.controller.status().admitted_fractions[0];
    // One more cut may have come; twice the proxies with no more let in would be half of it.
    assert!(after > level * 0.75, "{level} was let in, then {after}");
}

/// The first reports after a restart lines_sent of a few attempts; a cut to those refused nearly all for ten seconds.
#[test]
fn the_first_reports_after_a_start_shed_nothing() {
    let mut fleet = SimulatedFleet::new(deployment(16), 12);
    (0..16).for_each(|n| fleet.join(n, false, 5.0));
    fleet.run(2_500, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 0.3, 0.0, 1_500))
    });
    assert_eq!(fleet.controller.status().admitted_fractions[0], 1.0);
    fleet.run(6_000, |fleet| {
        (0..12).for_each(|n| fleet.report_outcomes(n, 6.0, 0.0, 1_500))
    });
    let admission = fleet.controller.status().admitted_fractions;
    assert!(
        admission[0] < 1.0 && admission[1] > 0.8,
        "an overload that stays is answered, in measure: {admission:?}"
    );
}

/// Twelve of thirty hosts went within 2 s: reports showed the overload seconds later, when requests had piled up.
#[test]
fn overload_is_foreseen_when_hosts_go() {
    let after = |gone: usize| {
        let mut fleet = fleet_with(deployment(8));
        fleet.run(8_000, |fleet| {
            (0..12).for_each(|n| fleet.report_outcomes(n, 8.0, 0.0, 220))
        });
        assert_eq!(fleet.controller.status().admitted_fractions[0], 1.0);
        fleet.list(
            false,
            (0..gone)
                .map(|n| endpoint(n, EndpointState::Draining, Time::default()))
                .collect(),
        );
        fleet.run(900, |_| {});
        fleet.controller.status().admitted_fractions[0]
    };
    assert_eq!(after(1), 1.0);
    assert!(after(6) < 1.0, "half of the fleet went and all is let in");
}
