//! Hosts that have just started are not sent more requests than they can handle, however many updates are sent at the
//! same time.

use crate::warming_fleet::{MESSAGE_CAP, WarmingFleet};
use crate::warming_load::OVERLOAD_MULTIPLE;

fn assert_no_host_overloaded(fleet: &WarmingFleet) {
    let worst = fleet.worst();
    let log = fleet.controller.log();
    let is_message_cap_line = |line: &&str| line.contains(" message cap ");
    log.lines()
        .filter(is_message_cap_line)
        .for_each(|line| println!("{line}"));
    let messages = fleet.relay.most_messages();
    assert!(messages <= MESSAGE_CAP, "{messages} messages to one proxy");
    assert!(
        worst.multiple <= OVERLOAD_MULTIPLE,
        "{} was overloaded {:?} after its start: it was sent {:.2} times what it could handle",
        worst.host,
        worst.age,
        worst.multiple
    );
}

#[test]
fn hosts_that_restart_one_after_another_are_not_overloaded() {
    // All proxies are bound to one table, so that each restart causes a message to all of them.
    let fleet = WarmingFleet::start(8);
    for n in 0..14 {
        fleet.wait_until(5.0 + 0.25 * n as f64);
        fleet.restart_hosts(&[n]);
    }
    fleet.wait_until(18.0);
    assert_no_host_overloaded(&fleet);
}
