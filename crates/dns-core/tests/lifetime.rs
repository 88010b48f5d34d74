//! Lifetimes of answers within the drain grace period.

use pondarch_dns_core::lifetime::MAX_LIFETIME_S;
use pondarch_dns_core::{Lifetime, LifetimeError};
use std::time::Duration;

#[test]
fn a_lifetime_fits_in_the_drain_grace_period_or_is_rejected() {
    for grace_ms in (0..20_000).step_by(130) {
        for detection_ms in [0, 100, 350, 2_000] {
            let grace = Duration::from_millis(grace_ms);
            let detection = Duration::from_millis(detection_ms);
            match Lifetime::for_drain_grace(grace, detection, None) {
                Ok(lifetime) => assert!(
                    detection + lifetime.max_cache_time() <= grace,
                    "{grace_ms} and {detection_ms}: {lifetime:?}"
                ),
                Err(LifetimeError::GraceTooShort { min_grace_ms, .. }) => {
                    assert!(min_grace_ms > grace_ms);
                    assert!(
                        Lifetime::for_drain_grace(
                            Duration::from_millis(min_grace_ms),
                            detection,
                            None
                        )
                        .is_ok()
                    );
                }
                Err(other) => panic!("{other}"),
            }
        }
    }
}

#[test]
fn a_requested_lifetime_is_used_if_it_fits() {
    assert_eq!(
        Lifetime::for_drain_grace(Duration::from_secs(10), Duration::from_secs(1), Some(3))
            .map(|lifetime| lifetime.hosts_s),
        Ok(3)
    );
    assert_eq!(
        Lifetime::for_drain_grace(Duration::from_secs(10), Duration::from_secs(1), Some(9)),
        Err(LifetimeError::LifetimeTooLong {
            requested_s: 9,
            max_s: 8
        })
    );
    assert_eq!(
        Lifetime::for_drain_grace(Duration::from_secs(86_400), Duration::from_secs(1), None)
            .map(|lifetime| lifetime.hosts_s),
        Ok(MAX_LIFETIME_S)
    );
    assert_eq!(
        Lifetime::last_answer_window(Duration::from_secs(6)),
        Some(Duration::from_secs(4))
    );
    assert_eq!(Lifetime::last_answer_window(Duration::from_secs(2)), None);
    let message =
        Lifetime::for_drain_grace(Duration::from_secs(2), Duration::from_millis(350), None)
            .map_err(|error| error.to_string());
    assert!(message.is_err_and(|message| message.contains("with 2350 ms it would")));
}
