//! A host that comes back cold must not be pushed over, also where a class keeps to the proxy's zone.

#[path = "../standins-2/common.rs"]
mod common;
#[path = "../standins-2/json.rs"]
mod json;
#[path = "../standins-2/platform.rs"]
mod platform;

use common::*;
use platform::*;
use std::net::SocketAddr;

/// "a zone is lost for 5 s ... and returns cold" (FLEET.md, `zone+mass`).
const LOST_MS: u64 = 5_000;
/// The list learns of a start after 0.27 to 2.5 s (`discovery.add_s` of the site file): of one host after 0.3 s, of the
/// others after 2.4 s. Of a death it learns after 0.82 to 4.6 s (`notice_s`).
const GONE_LATE_MS: u64 = 1_000;
const FIRST_LATE_MS: u64 = 300;
const OTHERS_LATE_MS: u64 = 2_400;

fn main() {
    let mut case = Case::start();
    // Figures of the site file: `trouble` load 0.64, the share of `order` 0.48 at most.
    let class_shares = [0.40, 0.48, 0.12];
    let site = Site { own_zone: [false, true, false], class_shares, host_rate: 96.0 / 20.0 / 0.64, ..Site::default() };
    let zone = site.zones[0];
    let platform = Platform::new(site, case.record.clone(), 7);
    let (registry, relay) = (platform.listen_registry(), platform.listen_relay());
    let listen: SocketAddr = ([127, 0, 0, 1], free_port()).into();
    let config = case.temp.join("config.json");
    std::fs::write(&config, platform.config(listen, registry, relay)).expect("config");
    let steward = case.spawn_platform("steward", &config);
    if !platform.wait_ready(listen) {
        case.finish(2, "the steward was not ready");
    }
    platform.start_collectors(listen);
    let proxies = platform.lock().proxies.len();
    for id in 0..proxies {
        platform.lock().join(id);
        sleep_ms(30);
    }
    let all_bound = || platform.lock().proxies.iter().all(|proxy| proxy.bound.iter().all(Option::is_some));
    if !wait_for(10.0, all_bound) {
        case.finish(2, "not all proxies were bound");
    }
    sleep_ms(20_000);
    let hosts: Vec<String> = platform.lock().hosts.iter().filter(|(_, host)| host.zone == zone).map(|(id, _)| id.clone()).collect();
    if trouble() {
        case.record.line(&format!("zone {zone} is lost, with {} hosts", hosts.len()));
        hosts.iter().for_each(|host| platform.lock().stop_host(host));
        sleep_ms(GONE_LATE_MS);
        hosts.iter().for_each(|host| platform.lock().set_host(host, "Gone"));
        sleep_ms(LOST_MS - GONE_LATE_MS);
        case.record.line(&format!("zone {zone} is back"));
        hosts.iter().for_each(|host| platform.lock().start_host(host));
        sleep_ms(FIRST_LATE_MS);
        platform.lock().set_host(&hosts[0], "Ready");
        sleep_ms(OTHERS_LATE_MS - FIRST_LATE_MS);
        hosts[1..].iter().for_each(|host| platform.lock().set_host(host, "Ready"));
    }
    sleep_ms(15_000);
    if !case.is_running(steward) {
        case.finish(2, "the steward ended");
    }
    let violations = platform.lock().violations.clone();
    let fallen: Vec<&String> = violations.iter().filter(|text| text.contains("fallen over")).collect();
    if let Some(first) = fallen.first() {
        case.finish(1, &format!("{} of the {} hosts fell over after they had come back: {first}", fallen.len(), hosts.len()));
    }
    if !violations.is_empty() {
        case.finish(2, &format!("another rule was broken: {violations:?}"));
    }
    case.finish(0, "no host that came back was pushed over");
}
