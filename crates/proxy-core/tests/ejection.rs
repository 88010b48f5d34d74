//! Tests the ejection of hosts after consecutive failures.

use fastrand::Rng;
use pondarch_controller::Time;
use pondarch_proxy_core::ejection::{EjectionPolicy, Ejections};
use proptest::prelude::{any, prop, prop_assert, proptest};
use std::net::SocketAddr;
use std::time::Duration;

const POLICY: EjectionPolicy = EjectionPolicy {
    consecutive_failures: 3,
    min_duration: Duration::from_millis(2_000),
    max_duration: Duration::from_millis(4_000),
    max_ejected_fraction: 0.5,
    record_lifetime: Duration::from_millis(60_000),
};

fn at_ms(ms: u64) -> Time {
    Time::from_micros(1_000_000 + ms * 1_000)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

proptest! {
    /// For any sequence of attempts, at most the configured fraction of the hosts is ejected, and never all of them.
    #[test]
    fn ejections_stay_within_the_fraction_and_leave_a_host(
        host_count in 1..9usize,
        attempts in prop::collection::vec((0..9usize, any::<bool>(), 0..900u64), 1..300),
    ) {
        let names: Vec<String> = (0..host_count).map(|n| format!("host-{n}")).collect();
        let mut ejections = Ejections::default();
        let mut random = Rng::with_seed(3);
        let mut now_ms = 0;
        for (host, succeeded, wait_ms) in attempts {
            now_ms += wait_ms;
            let host = &names[host % host_count];
            let table_hosts = names.iter().map(String::as_str);
            let now = at_ms(now_ms);
            if succeeded {
                ejections.record_success(now, &POLICY, host, address(1));
            } else {
                ejections.record_failure(now, &POLICY, host, address(1), table_hosts, &mut random);
            }
            let ejected = ejections.ejected(now).count();
            prop_assert!(
                ejected < host_count && ejected as f64 <= host_count as f64 * 0.5,
                "{ejected} of {host_count} ejected"
            );
        }
    }
}

#[test]
fn a_host_is_ejected_and_used_again_until_it_fails() {
    let mut ejections = Ejections::default();
    let mut random = Rng::with_seed(3);
    let mut fail = |ejections: &mut Ejections, ms: u64, port: u16| {
        let table_hosts = ["a", "b", "c", "d"].into_iter();
        ejections.record_failure(
            at_ms(ms),
            &POLICY,
            "a",
            address(port),
            table_hosts,
            &mut random,
        );
    };
    for ms in 0..3 {
        fail(&mut ejections, ms, 1);
    }
    assert!(
        ejections.is_ejected(at_ms(10), "a")
            && ejections.is_ejected(at_ms(1_999), "a")
            && !ejections.is_ejected(at_ms(4_100), "a")
    );
    // After an ejection, a single failure ejects the host again.
    fail(&mut ejections, 4_200, 1);
    assert!(ejections.is_ejected(at_ms(4_300), "a"));
    // The failures do not count for the same host at another address.
    fail(&mut ejections, 9_000, 2);
    assert!(!ejections.is_ejected(at_ms(9_001), "a"));
    for n in 0..3 {
        fail(&mut ejections, 10_000 + n, 2);
    }
    assert!(ejections.is_ejected(at_ms(10_010), "a"));
    ejections.remove_expired_records(at_ms(80_000), &POLICY);
    assert_eq!(ejections.record_count(), 0);
}
