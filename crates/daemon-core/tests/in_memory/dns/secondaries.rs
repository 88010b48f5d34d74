//! Tests of secondary DNS servers: notifications, transfers, and secondaries that are cut off.

use super::fleet_with_secondaries;
use crate::simulated_fleet::*;
use pondarch_config::hosts::HostState;
use pondarch_config::site::Secondary;
use pondarch_daemon_core::{Event, Input, Output};
use pondarch_dns_core::SecondaryEvent;

/// The secondaries that were notified since the last call.
fn take_notified(fleet: &mut SimulatedFleet) -> Vec<u16> {
    let notified = fleet.outputs.drain(..).filter_map(|output| match output {
        Output::NotifySecondary { secondary } => Some(secondary),
        _ => None,
    });
    notified.collect()
}

fn observe(fleet: &mut SimulatedFleet, index: u16, observation: SecondaryEvent) {
    fleet.apply(Input::SecondaryObserved { index, observation });
}

#[test]
fn secondaries_are_notified_of_changes_and_hosts_that_they_still_serve_count_as_cached() {
    let secondary = |n: u16| Secondary {
        address: ([127, 0, 0, 1], 5_300 + n).into(),
        key_name: format!("second-{n}"),
        secret_file: "none".into(),
    };
    let mut fleet = fleet_with_secondaries(vec![secondary(0), secondary(1)]);
    fleet.run(2_000);
    let serial = fleet.core.dns_view().serial;
    for n in [0, 1] {
        observe(&mut fleet, n, SecondaryEvent::Transferred(serial));
    }
    fleet.events.clear();
    take_notified(&mut fleet);
    let mut hosts: Vec<_> = (0..12).map(host).collect();
    hosts[3].state = HostState::Drain;
    let drained_at = fleet.now;
    fleet.apply_list(hosts);
    assert_eq!(take_notified(&mut fleet), [0, 1]);
    let serial = fleet.core.dns_view().serial;
    observe(&mut fleet, 0, SecondaryEvent::Acknowledged);
    observe(&mut fleet, 0, SecondaryEvent::Transferred(serial));
    assert!(
        fleet
            .command(1, "show map secondaries")
            .contains("second-1 holds")
    );
    // The other one is cut off: it is notified again and logged as behind, and the hosts it serves still count as
    // cached.
    fleet.run(9_000);
    assert!(
        take_notified(&mut fleet)
            .iter()
            .filter(|n| **n == 1)
            .count()
            >= 4
    );
    let is_behind = |event: &&Event| matches!(event, Event::SecondaryBehind { secondary } if secondary == "second-1");
    assert_eq!(fleet.events.iter().filter(is_behind).count(), 1);
    assert!(fleet.command(1, "show map lingering").contains("host-3"));
    let serial = fleet.core.dns_view().serial;
    observe(&mut fleet, 0, SecondaryEvent::Transferred(serial));
    observe(&mut fleet, 1, SecondaryEvent::Transferred(serial));
    let transferred_at = fleet.now;
    while fleet.command(1, "show map lingering").contains("host-3") {
        fleet.run(50);
        assert!(
            fleet.now - transferred_at < 4_500_000,
            "answers live 3 s, and up to 1 s more as caches count whole seconds"
        );
    }
    assert!(fleet.now - drained_at > 12 * SECOND);
}
