//! What hosts that warm up could be sent at worst: all requests of the proxies that have them in their tables, if these
//! avoid all other hosts.

use crate::loaded_burst::{restart, start_fleet, wait_until};
use crate::loaded_fleet::LoadedFleet;
use crate::loaded_host::OVERLOAD_MULTIPLE;
use crate::loaded_soak::host_name;

const RESTARTED: [usize; 4] = [0, 7, 14, 21];
const RESTARTED_AT_S: f64 = 8.0;
/// Proxies must hold what follows from the starts from this second on, and hosts warm up until the other.
const CHECKED_FROM_S: f64 = 11.0;
const CHECKED_UNTIL_S: f64 = 24.0;
const CHECK_INTERVAL_S: f64 = 0.1;

/// Returns the requests of all proxies that hold the host, as a multiple of what it can do now.
fn worst_load(fleet: &LoadedFleet, host: &str) -> f64 {
    let world = fleet.world();
    let holds_host = world.proxies.iter();
    let holds_host = holds_host.filter(|proxy| proxy.table.weights.contains_key(host));
    let rate: f64 = holds_host.map(|proxy| proxy.rate).sum();
    rate / world.hosts[host].capacity(world.now())
}

#[test]
fn proxies_that_avoid_all_other_hosts_cannot_overload_a_warming_host() {
    let fleet = start_fleet(0.6);
    wait_until(&fleet, RESTARTED_AT_S);
    restart(&fleet, &RESTARTED);
    let mut second = CHECKED_FROM_S;
    while second < CHECKED_UNTIL_S {
        wait_until(&fleet, second);
        for host in RESTARTED.map(host_name) {
            let load = worst_load(&fleet, &host);
            assert!(
                load <= OVERLOAD_MULTIPLE,
                "{host} would get {load:.2} times what it can do at {second:.1} s"
            );
        }
        second += CHECK_INTERVAL_S;
    }
}
