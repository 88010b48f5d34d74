//! Admission limits by fraction and rate.

use fastrand::Rng;
use pondarch_controller::Time;
use pondarch_proxy_core::admission::{AdmissionLimit, AdmissionLimiter, Rejected};

fn at_ms(ms: u64) -> Time {
    Time::from_micros(1_000_000 + ms * 1_000)
}

#[test]
fn limits_by_fraction_and_rate_are_parsed_and_enforced() {
    assert_eq!(AdmissionLimit::parse("75"), AdmissionLimit::Fraction(0.75));
    assert_eq!(AdmissionLimit::parse("12.5/s"), AdmissionLimit::Rate(12.5));
    assert_eq!(
        [
            AdmissionLimit::parse("x"),
            AdmissionLimit::parse("-3"),
            AdmissionLimit::parse("NaN")
        ],
        [AdmissionLimit::Fraction(1.0); 3]
    );
    let mut random = Rng::with_seed(4);
    let mut limiter = AdmissionLimiter::default();
    let admitted_by_fraction = (0..10_000)
        .filter(|_| {
            limiter
                .admit(at_ms(0), AdmissionLimit::Fraction(0.25), &mut random)
                .is_ok()
        })
        .count();
    assert!(
        (2_350..2_650).contains(&admitted_by_fraction),
        "{admitted_by_fraction}"
    );
    let admitted_by_rate = (0..10_000)
        .filter(|n| {
            limiter
                .admit(at_ms(*n), AdmissionLimit::Rate(7.0), &mut random)
                .is_ok()
        })
        .count();
    assert!(
        (70..=78).contains(&admitted_by_rate),
        "{admitted_by_rate} admitted in 10 s at 7 per second"
    );
    assert!(matches!(
        limiter.admit(at_ms(10_000), AdmissionLimit::Rate(0.0), &mut random),
        Err(Rejected::Rate { .. })
    ));
    assert_eq!(
        limiter.admit(at_ms(0), AdmissionLimit::Fraction(0.0), &mut random),
        Err(Rejected::Fraction)
    );
}
