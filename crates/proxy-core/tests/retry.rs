//! Tests retry decisions and the retry budget.

use pondarch_controller::Time;
use pondarch_proxy_core::retry::{
    AttemptOutcome, Idempotency, RequestProgress, RetryBudget, RetryDecision, RetryMode,
};
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};
use std::time::Duration;

fn progress(
    retry_mode: RetryMode,
    idempotency: Idempotency,
    attempts: usize,
    in_doubt: bool,
) -> RequestProgress {
    RequestProgress {
        retry_mode,
        idempotency,
        first_sent_at: Time::from_micros(1_000_000),
        deadline: Time::from_micros(3_000_000),
        attempts,
        in_doubt,
        group: Some("rack-1".into()),
        body_buffered: true,
    }
}

proptest! {
    /// A request that may have been processed is never retried if it is not idempotent. With an idempotency key, it is
    /// retried only within the group whose hosts drop the duplicate, and only while they remember the key.
    #[test]
    fn no_request_takes_effect_twice(mode in 0..4usize, idempotency in 0..3usize, attempts in 1..5usize, in_doubt: bool, unprocessed: bool, elapsed_us in 0..3_000_000u64) {
        let mode = [RetryMode::Never, RetryMode::Unprocessed, RetryMode::Failure, RetryMode::FailureTwice][mode];
        let key_lifetime = Duration::from_millis(750);
        let idempotency = [Idempotency::Idempotent, Idempotency::ByKey(key_lifetime), Idempotency::NotIdempotent][idempotency];
        let outcome = if unprocessed { AttemptOutcome::Unprocessed } else { AttemptOutcome::InDoubt };
        let now = Time::from_micros(1_000_000 + elapsed_us);
        let decision = progress(mode, idempotency, attempts, in_doubt).decide_retry(outcome, now);
        if in_doubt || !unprocessed {
            match idempotency {
                Idempotency::NotIdempotent => prop_assert_eq!(&decision, &RetryDecision::Stop),
                Idempotency::ByKey(_) => {
                    let is_deduplicated = decision == RetryDecision::WithinGroup("rack-1".into()) && elapsed_us < 750_000;
                    prop_assert!(decision == RetryDecision::Stop || is_deduplicated);
                }
                Idempotency::Idempotent => {}
            }
        }
        prop_assert!(decision == RetryDecision::Stop || (attempts < 3 && mode != RetryMode::Never && elapsed_us < 2_000_000));
    }
}

#[test]
fn the_retry_mode_limits_retries() {
    let now = Time::from_micros(1_100_000);
    let decide = |mode, attempts, outcome| {
        progress(mode, Idempotency::Idempotent, attempts, false).decide_retry(outcome, now)
    };
    assert_eq!(
        decide(RetryMode::Never, 1, AttemptOutcome::Unprocessed),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(RetryMode::Unprocessed, 1, AttemptOutcome::Unprocessed),
        RetryDecision::AnyHost
    );
    assert_eq!(
        decide(RetryMode::Unprocessed, 1, AttemptOutcome::InDoubt),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(RetryMode::Failure, 1, AttemptOutcome::InDoubt),
        RetryDecision::AnyHost
    );
    assert_eq!(
        decide(RetryMode::Failure, 2, AttemptOutcome::InDoubt),
        RetryDecision::Stop
    );
    assert_eq!(
        decide(RetryMode::FailureTwice, 2, AttemptOutcome::InDoubt),
        RetryDecision::AnyHost
    );
    assert_eq!(
        decide(RetryMode::FailureTwice, 1, AttemptOutcome::Success),
        RetryDecision::Stop
    );
    let unbuffered = RequestProgress {
        body_buffered: false,
        ..progress(RetryMode::Failure, Idempotency::Idempotent, 1, false)
    };
    assert_eq!(
        unbuffered.decide_retry(AttemptOutcome::Unprocessed, now),
        RetryDecision::Stop
    );
}

#[test]
fn the_retry_budget_is_a_fraction_of_first_attempts() {
    let mut budget = RetryBudget::new(0.2);
    let initial_retries = (0..100).filter(|_| budget.try_take()).count();
    assert_eq!(initial_retries, 10);
    let retries = (0..1_000)
        .filter(|_| {
            budget.record_first_attempt();
            budget.try_take()
        })
        .count();
    assert!((195..=205).contains(&retries), "{retries}");
}
