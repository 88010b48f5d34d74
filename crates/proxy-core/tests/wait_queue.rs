//! Tests the bounded queue of requests that wait for a host with capacity.

use pondarch_controller::Time;
use pondarch_proxy_core::wait_queue::{QueueOffer, QueueRelease, WaitQueue};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest};
use std::collections::BTreeMap;

fn at_ms(ms: u64) -> Time {
    Time::from_micros(1_000_000 + ms * 1_000)
}

proptest! {
    /// For any sequence of operations, the queue stays within its limit, releases no expired request, and removes each
    /// request only once.
    #[test]
    fn the_queue_is_bounded_and_releases_no_expired_request(steps in prop::collection::vec((0..50u64, 0..4u8, 1..400u64), 1..200)) {
        let mut queue = WaitQueue::new(5);
        let mut now_ms = 0;
        let mut deadlines: BTreeMap<u64, u64> = BTreeMap::new();
        for (number, (wait_ms, action, timeout_ms)) in steps.into_iter().enumerate() {
            now_ms += wait_ms;
            let number = number as u64;
            if action == 0 {
                let release = queue.release_next(at_ms(now_ms));
                for rejected in release.rejected {
                    prop_assert!(deadlines.remove(&rejected).is_some_and(|deadline| deadline <= now_ms));
                }
                if let Some(next) = release.next {
                    prop_assert!(deadlines.remove(&next).is_some_and(|deadline| deadline > now_ms));
                }
            } else {
                let offer = queue.offer(at_ms(now_ms), number, f64::from(action), at_ms(now_ms + timeout_ms));
                for rejected in &offer.rejected {
                    prop_assert!(deadlines.remove(rejected).is_some());
                }
                if offer.queued {
                    deadlines.insert(number, now_ms + timeout_ms);
                }
            }
            prop_assert!(queue.len() <= 5);
            prop_assert_eq!(queue.len(), deadlines.len());
        }
    }
}

#[test]
fn the_lowest_priority_weight_is_rejected_first() {
    let mut queue = WaitQueue::new(2);
    let mut offer =
        |number, priority_weight| queue.offer(at_ms(0), number, priority_weight, at_ms(1_000));
    assert!(offer(1, 1.0).queued && offer(2, 5.0).queued);
    assert_eq!(
        offer(3, 1.0),
        QueueOffer {
            queued: false,
            rejected: vec![]
        }
    );
    assert_eq!(
        offer(4, 3.0),
        QueueOffer {
            queued: true,
            rejected: vec![1]
        }
    );
    assert_eq!(
        queue.release_next(at_ms(1)),
        QueueRelease {
            next: Some(2),
            rejected: vec![]
        }
    );
    assert_eq!(
        queue.release_next(at_ms(2_000)),
        QueueRelease {
            next: None,
            rejected: vec![4]
        }
    );
}
