//! Retries bring what one host turns away to another. A host that warms up has room for them until it falls over.

use crate::common::{
    SimulatedFleet, deployment_config, endpoint, host, report_all_healthy, restart_all_hosts,
    small_fleet,
};
use pondarch_controller::{DeploymentConfig, EndpointState, RetryPolicy, TableId};
use std::collections::BTreeSet;

/// Returns the retry policies of the classes of a table.
fn policies_of(fleet: &SimulatedFleet, table: TableId) -> BTreeSet<RetryPolicy> {
    let of_table = fleet.admission.iter().filter(|((of, _), _)| *of == table);
    of_table.map(|(_, (_, policy))| *policy).collect()
}

fn assert_policy(fleet: &SimulatedFleet, table: TableId, expected: RetryPolicy) {
    let policies = policies_of(fleet, table);
    assert!(
        policies.iter().all(|policy| *policy == expected),
        "{table:?} has {policies:?}, expected {expected:?}"
    );
}

/// The order to stop retries must not wait for a message of its own: it goes out with the weight of the host.
#[test]
fn retries_stop_with_the_message_that_tells_of_a_start() {
    let mut fleet = small_fleet(deployment_config(8));
    fleet.run(10_000, report_all_healthy);
    let tables: Vec<TableId> = fleet.used_tables().into_iter().collect();
    for table in &tables {
        assert_policy(&fleet, *table, RetryPolicy::IfUnprocessed);
        assert!(!policies_of(&fleet, *table).is_empty());
    }
    restart_all_hosts(&mut fleet);
    let with_warming_host: Vec<&TableId> = tables
        .iter()
        .filter(|table| fleet.hosts_of(**table).contains(&host(2)))
        .collect();
    assert!(!with_warming_host.is_empty(), "the host left all tables");
    for table in with_warming_host {
        assert_policy(&fleet, *table, RetryPolicy::Never);
    }
    fleet.run(30_000, report_all_healthy);
    for table in tables {
        assert_policy(&fleet, table, RetryPolicy::IfUnprocessed);
    }
}

/// Lets proxies join again and again, without an acknowledgement, until the queue is more than half full.
fn fill_queue_to_half(fleet: &mut SimulatedFleet, proxy: u16) {
    let is_half_full = |fleet: &SimulatedFleet| {
        let queue = fleet.controller.status().update_queue;
        queue.unconfirmed.unwrap_or(0.0) > queue.line_limit * 0.52
    };
    while !is_half_full(fleet) {
        fleet.join(proxy, false, 6.0);
        fleet.leave(proxy);
    }
}

/// While the queue is half full, only what puts a host at risk is sent. Retries do as well.
#[test]
fn retries_stop_while_the_queue_is_half_full() {
    let mut fleet = small_fleet(DeploymentConfig {
        max_queued_lines: 600.0,
        ..deployment_config(9)
    });
    fleet.run(10_000, report_all_healthy);
    fleet.set_acks_lost(true);
    fill_queue_to_half(&mut fleet, 8);
    restart_all_hosts(&mut fleet);
    let is_in = |table: &TableId| fleet.hosts_of(*table).contains(&host(2));
    let tables: Vec<TableId> = fleet.used_tables().into_iter().filter(is_in).collect();
    assert!(!tables.is_empty(), "the host left all tables");
    for table in tables {
        assert_policy(&fleet, table, RetryPolicy::Never);
    }
}

/// A controller that had just started took back that others had stopped retries, while it knew nothing of the load.
#[test]
fn a_controller_that_knows_no_load_orders_no_retries_while_a_host_warms_up() {
    let policies_at_start = |is_any_warming: bool| {
        let mut fleet = SimulatedFleet::new(deployment_config(8), 12);
        if is_any_warming {
            fleet.apply_list(false, vec![endpoint(2, EndpointState::Ready, fleet.time())]);
        }
        (0..8).for_each(|n| fleet.join(n, true, 6.0));
        fleet.run(1_000, |_| {});
        let tables = fleet.used_tables().into_iter();
        let policies = tables.flat_map(|table| policies_of(&fleet, table));
        let policies: BTreeSet<RetryPolicy> = policies.collect();
        fleet.run(30_000, report_all_healthy);
        for table in fleet.used_tables() {
            assert_policy(&fleet, table, RetryPolicy::IfUnprocessed);
        }
        policies
    };
    assert_eq!(
        policies_at_start(true),
        BTreeSet::from([RetryPolicy::Never])
    );
    assert_eq!(
        policies_at_start(false),
        BTreeSet::from([RetryPolicy::IfUnprocessed])
    );
}
