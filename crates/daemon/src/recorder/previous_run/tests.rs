//! The time between two runs, by the machine's own count and by its clock.

use pondarch_replay::Boot;

#[test]
fn a_clock_that_jumped_is_not_believed_while_the_machine_counts_on() {
    let boot = |id: &str, uptime_us| {
        Some(Boot {
            id: id.into(),
            uptime_us,
        })
    };
    let elapsed_us = |then: Option<Boot>, now: Option<Boot>, last, at| {
        super::elapsed_us(then.as_ref(), now.as_ref(), last, at)
    };
    // Ten minutes on, and ten back, in 3 s.
    assert_eq!(
        elapsed_us(
            boot("a", 5),
            boot("a", 3_000_005),
            1_000_000_000,
            1_603_000_000
        ),
        3_000_000
    );
    assert_eq!(
        elapsed_us(
            boot("a", 5),
            boot("a", 3_000_005),
            1_000_000_000,
            403_000_000
        ),
        3_000_000
    );
    assert_eq!(
        elapsed_us(boot("a", 5), boot("b", 7), 1_000_000_000, 1_003_000_000),
        3_000_000
    );
    assert_eq!(elapsed_us(None, None, 1_000_000_000, 400_000_000), 0);
}
