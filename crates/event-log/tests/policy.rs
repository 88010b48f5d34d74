//! When a failed disk is retried, and which segments are removed.

use pondarch_controller::Time;
use pondarch_event_log::{DiskState, LogPolicy, RetentionConfig, SegmentInfo};
use proptest::prelude::*;
use std::time::Duration;

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000_000 + ms * 1_000)
}

fn retention() -> RetentionConfig {
    RetentionConfig {
        segment_bytes: 1_000,
        total_bytes: 5_000,
        max_age: Duration::from_millis(60_000),
        sync_within: Duration::from_millis(100),
    }
}

#[test]
fn retries_of_a_failed_disk_back_off() {
    let mut policy = LogPolicy::new(retention());
    policy.on_written(at(0), 10);
    assert_eq!(policy.sync_at(), Some(at(100)));
    let mut retries = Vec::new();
    for ms in 0..20_000 {
        if policy.may_write(at(ms)) {
            retries.push(ms);
            policy.on_failed(at(ms), "full".into());
        }
    }
    assert_eq!(retries, [0, 500, 1_500, 3_500, 7_500, 15_500]);
    assert!(matches!(policy.disk_state(), DiskState::Failed { since, .. } if *since == at(0)));
    policy.on_written(at(31_500), 10);
    policy.on_synced();
    assert_eq!(
        (policy.disk_state(), policy.sync_at()),
        (&DiskState::Working, None)
    );
    policy.on_failed(at(40_000), "full".into());
    assert!(
        policy.may_write(at(40_500)),
        "a successful sync resets the retry delay"
    );
}

proptest! {
    /// The last segment and those that the snapshot needs are never removed; the others are limited by size and age.
    #[test]
    fn needed_segments_are_retained_and_the_others_are_limited(
        sizes in prop::collection::vec((0u64..2_000, 0u64..30_000), 1..20),
        first_needed in 0u64..25,
    ) {
        let mut last_written = 0;
        let segments: Vec<SegmentInfo> = sizes
            .iter()
            .enumerate()
            .map(|(number, (bytes, interval))| {
                last_written += interval;
                SegmentInfo { number: number as u64, bytes: *bytes, last_written: at(last_written) }
            })
            .collect();
        let now = at(last_written);
        let removed = LogPolicy::new(retention()).segments_to_remove(now, &segments, first_needed);
        let retained: Vec<&SegmentInfo> =
            segments.iter().filter(|segment| !removed.contains(&segment.number)).collect();
        prop_assert_eq!(retained.last().map(|s| s.number), segments.last().map(|s| s.number));
        prop_assert!(removed.iter().all(|number| *number < first_needed));
        prop_assert!(
            removed.iter().enumerate().all(|(n, number)| *number == n as u64),
            "the oldest segments are removed, without gaps"
        );
        let is_removable =
            |first: &&&SegmentInfo| first.number < first_needed && retained.len() > 1;
        if let Some(first) = retained.first().filter(is_removable) {
            let total_bytes: u64 = retained.iter().map(|segment| segment.bytes).sum();
            prop_assert!(total_bytes <= 5_000);
            prop_assert!(now - first.last_written <= Duration::from_millis(60_000));
        }
    }
}
