//! The `Debug` texts of fleets and plans, which `pondarch replay` prints: literally, with the names that the event log stores.

use pondarch_weight_solver::{Fleet, Host, Plan, RequestClass, Table};

#[test]
fn fleet_debug_text_keeps_the_recorded_names() {
    let host = Host {
        name: "host-1".into(),
        zone: 0,
        cores: 4.5,
        speed: 1.25,
        max_concurrent_requests: Some(8.5),
        warm_fraction: 0.75,
        other_work: 0.125,
        other_work_age_s: 2.25,
    };
    let class = RequestClass {
        name: "proof".into(),
        work_s: 0.5,
        latency_objective_s: 1.5,
        benefit: 2.5,
    };
    let fleet = Fleet {
        zones: vec!["ede".into()],
        classes: vec![class],
        hosts: vec![host],
        tables: vec![Table::of_all_hosts(vec![vec![1.5]])],
        crossing_price: 0.0625,
    };
    assert_eq!(
        format!("{fleet:?}"),
        "Fleet { zones: [\"ede\"], kinds: [Kind { name: \"proof\", work_s: 0.5, response_target_s: 1.5, benefit: 2.5 }], \
         hosts: [Host { name: \"host-1\", zone: 0, cores: 4.5, speed: 1.25, connections: Some(8.5), warm: 0.75, \
         taken: 0.125, taken_age_s: 2.25 }], tables: [Table { name: \"all\", hosts: None, rates: [[1.5]] }], \
         crossing: 0.0625 }"
    );
}

#[test]
fn plan_debug_text_keeps_the_recorded_names() {
    let plan = Plan {
        weights: vec![0.5],
        utilization: vec![0.25],
        admitted: vec![0.75],
        on_time: vec![0.625],
        admitted_benefit: Some(0.5),
        cross_zone_share: 0.125,
        nearly_full: vec!["host-1".into()],
        objective: 9.5,
    };
    assert_eq!(
        format!("{plan:?}"),
        "Plan { weights: [0.5], utilisation: [0.25], let_in: [0.75], in_time: [0.625], served: Some(0.5), \
         crossing: 0.125, little_room: [\"host-1\"], worth: 9.5 }"
    );
}
