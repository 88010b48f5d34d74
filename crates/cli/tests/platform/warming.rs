//! Hosts that have just started are not brought more than they can do, however many updates go out beside theirs.

use crate::warming_fleet::{MESSAGE_CAP, WarmingFleet};
use crate::warming_load::FALL_MULTIPLE;

fn assert_no_host_fell_over(fleet: &WarmingFleet) {
    let worst = fleet.worst();
    let log = fleet.controller.log();
    let is_of_cap = |line: &&str| line.contains(" message cap ");
    log.lines()
        .filter(is_of_cap)
        .for_each(|line| println!("{line}"));
    let messages = fleet.relay.most_messages();
    assert!(messages <= MESSAGE_CAP, "{messages} messages to one proxy");
    assert!(
        worst.multiple <= FALL_MULTIPLE,
        "{} fell over {:?} after its start: it was sent {:.2} times what it could do",
        worst.host,
        worst.age,
        worst.multiple
    );
}

#[test]
fn hosts_that_restart_one_after_another_are_not_overloaded() {
    // All of them are in one table, so that each restart is a message to all proxies.
    let fleet = WarmingFleet::start(8);
    for n in 0..14 {
        fleet.wait_until(5.0 + 0.25 * n as f64);
        fleet.restart_hosts(&[n]);
    }
    fleet.wait_until(18.0);
    assert_no_host_fell_over(&fleet);
}
