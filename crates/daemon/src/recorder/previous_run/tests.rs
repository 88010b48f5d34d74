//! The time between two runs, by uptime and by the wall clock.

use pondarch_replay::Boot;

#[test]
fn uptime_overrides_a_stepped_wall_clock_within_one_boot() {
    let boot = |id: &str, uptime_us| {
        Some(Boot {
            id: id.into(),
            uptime_us,
        })
    };
    let elapsed_us = |last_boot: Option<Boot>, current_boot: Option<Boot>, last_us, now_us| {
        super::elapsed_us(last_boot.as_ref(), current_boot.as_ref(), last_us, now_us)
    };
    // Within one boot 3 s pass while the wall clock steps 10 minutes forward, then 10 minutes back.
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
    // After a reboot the wall clock counts.
    assert_eq!(
        elapsed_us(boot("a", 5), boot("b", 7), 1_000_000_000, 1_003_000_000),
        3_000_000
    );
    // A wall clock that went back gives 0.
    assert_eq!(elapsed_us(None, None, 1_000_000_000, 400_000_000), 0);
}
