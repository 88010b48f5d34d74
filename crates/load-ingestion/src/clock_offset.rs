//! The offset between a sender's clock and the controller's. A report was sent before it arrived, and after the last credit
//! message that it echoes: this bounds the offset from both sides, and each further report can only narrow the bounds, but
//! for drift. Bounds that contradict the known ones mean that a clock has jumped.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::time::Duration;

/// Largest drift between two clocks: 500 ppm, twice what a machine's clock may be off.
const MAX_DRIFT: f64 = 500e-6;
/// Bounds that contradict each other by at most this are no clock jump.
const JUMP_TOLERANCE_US: i64 = 2_000;

/// When a report was sent, by the controller's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendTime {
    /// The earliest possible time; none while nothing bounds it.
    pub earliest: Option<Time>,
    /// The latest possible time, which is not after its arrival.
    pub latest: Time,
    /// One of the two clocks has jumped since the last report.
    pub clock_jumped: bool,
}

impl SendTime {
    /// How far off `sent_at` may be.
    pub fn error(&self) -> Option<Duration> {
        self.earliest.map(|earliest| self.latest - earliest)
    }

    /// The time to use: the earliest possible, so that nothing stale passes for fresh; none while nothing bounds it.
    pub fn sent_at(&self) -> Option<Time> {
        self.earliest
    }
}

/// Bounds on the controller's clock minus the sender's, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockOffset {
    min: Option<i64>,
    max: Option<i64>,
    updated_at: Time,
}

impl ClockOffset {
    /// A report that was sent at `sent_us` by its sender's clock arrives now. `echo` is the time of the last credit message
    /// that the sender had received by then, by the controller's clock, and the time from its receipt to the report.
    pub fn on_report(
        &mut self,
        now: Time,
        sent_us: u64,
        echo: Option<(Time, Duration)>,
    ) -> SendTime {
        let sent = i64::try_from(sent_us).unwrap_or(i64::MAX);
        let micros = |at: Time| (at - Time::default()).micros() as i64;
        let drift = ((now - self.updated_at).micros() as f64 * MAX_DRIFT) as i64;
        // An echo counts only if its times are possible: not later than the arrival of the report.
        let earliest_sent = echo
            .filter(|(credit_at, _)| *credit_at <= now)
            .map(|(credit_at, delay)| credit_at + delay)
            .filter(|at| *at <= now);
        let new_min = earliest_sent.map(|at| micros(at) - sent);
        let new_max = micros(now) - sent;
        let (min, max) = (
            self.min.map(|min| min - drift),
            self.max.map(|max| max + drift),
        );
        let clock_jumped = min.is_some_and(|min| new_max + JUMP_TOLERANCE_US < min)
            || max
                .zip(new_min)
                .is_some_and(|(max, new_min)| new_min > max + JUMP_TOLERANCE_US);
        if clock_jumped {
            (self.min, self.max) = (new_min, Some(new_max));
        } else {
            self.min = min.max(new_min);
            self.max = Some(max.map_or(new_max, |max| max.min(new_max)));
        }
        self.updated_at = now;
        let controller_time = |offset: i64| Time::from_micros((sent + offset).max(0) as u64);
        let latest = controller_time(self.max.unwrap_or(new_max)).min(now);
        SendTime {
            earliest: self.min.map(|min| controller_time(min).min(latest)),
            latest,
            clock_jumped,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn at(ms: u64) -> Time {
        Time::from_micros(1_000_000_000_000 + ms * 1_000)
    }

    const MS: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn an_offset_of_ten_minutes_is_known_to_within_the_round_trip_time() {
        let mut clock_offset = ClockOffset::default();
        // The sender's clock is 10 minutes behind; messages take 5 ms to it and 10 ms back.
        let sender_us = |ms: u64| 1_000_000_000_000 + ms * 1_000 - 600_000_000;
        let first = clock_offset.on_report(at(10), sender_us(0), None);
        assert_eq!(
            (first.earliest, first.latest),
            (None, at(10)),
            "nothing bounds it yet"
        );
        let send_time =
            clock_offset.on_report(at(1_010), sender_us(1_000), Some((at(15), MS(980))));
        assert_eq!(
            send_time.error().map(|error| error.micros() / 1_000),
            Some(15)
        );
        assert!(send_time.earliest <= Some(at(1_000)) && at(1_000) <= send_time.latest);
        assert!(!send_time.clock_jumped);
    }

    #[test]
    fn a_delayed_report_gets_its_real_age() {
        let mut clock_offset = ClockOffset::default();
        let sender_us = |ms: u64| 5_000_000 + ms * 1_000;
        clock_offset.on_report(at(1_000), sender_us(999), Some((at(990), MS(5))));
        // Sent at 2 s, and delayed for 20 s.
        let send_time =
            clock_offset.on_report(at(22_000), sender_us(2_000), Some((at(1_001), MS(998))));
        let sent = send_time.sent_at().expect("bounded");
        assert!(at(22_000) - sent >= MS(19_990), "{:?}", at(22_000) - sent);
    }

    #[test]
    fn clock_jumps_in_both_directions_are_detected_and_the_offset_is_known_again() {
        for jump in [-3_600_000_000i64, 3_600_000_000, 50_000, -50_000] {
            let mut clock_offset = ClockOffset::default();
            let sender_us = |ms: u64| (4_000_000_000_000i64 + ms as i64 * 1_000) as u64;
            for ms in (0..5_000).step_by(1_000) {
                let send_time = clock_offset.on_report(
                    at(ms + 1),
                    sender_us(ms),
                    Some((at(ms), Duration::ZERO)),
                );
                assert!(!send_time.clock_jumped);
            }
            let jumped_us = |ms: u64| (sender_us(ms) as i64 + jump) as u64;
            assert!(
                clock_offset
                    .on_report(
                        at(6_001),
                        jumped_us(6_000),
                        Some((at(6_000), Duration::ZERO))
                    )
                    .clock_jumped,
                "{jump}"
            );
            let after = clock_offset.on_report(
                at(7_001),
                jumped_us(7_000),
                Some((at(7_000), Duration::ZERO)),
            );
            assert!(
                !after.clock_jumped
                    && after.earliest <= Some(at(7_000))
                    && after.latest >= at(7_000)
            );
        }
    }

    proptest! {
        /// Whatever the network delays, and with drift, the true time lies within the bounds.
        #[test]
        fn the_true_time_is_within_the_bounds(
            offset in -4_000_000_000i64..4_000_000_000, drift in -200i64..200, delays in prop::collection::vec((1u64..300, 1u64..2_000, 0u64..900), 1..60),
        ) {
            let sender_us = |true_us: i64| (9_000_000_000_000 + true_us + offset + true_us * drift / 1_000_000) as u64;
            let (mut clock_offset, mut now, mut last_credit) = (ClockOffset::default(), 0u64, None);
            for (down, up, held) in delays {
                // A credit message takes `down` to the sender, which waits `held` and sends a report that takes `up`.
                let sent = now + down + held;
                let arrived = sent + up;
                let echo = last_credit.map(|credit: u64| (at(credit), MS(sent - credit - down)));
                let send_time = clock_offset.on_report(at(arrived), sender_us(sent as i64 * 1_000), echo);
                prop_assert!(!send_time.clock_jumped);
                let tolerance = MS(1);
                prop_assert!(at(sent) <= send_time.latest + tolerance, "{:?} after {:?}", at(sent), send_time.latest);
                prop_assert!(send_time.earliest.is_none_or(|earliest| earliest <= at(sent) + tolerance));
                last_credit = Some(arrived);
                now = arrived;
            }
        }
    }
}
