//! Tests of the limits of the update queue.

use super::*;
use proptest::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000_000 + ms * 1_000)
}

proptest! {
    /// Neither the message cap nor the limit on lines in flight is exceeded, and a message never waits for
    /// acknowledgements while nothing is in flight.
    #[test]
    fn limits_are_never_exceeded(steps in prop::collection::vec((0..400u64, 0..3usize, 1..60usize, 0..3u8, any::<bool>()), 1..300)) {
        let mut queue = UpdateQueue::new(500.0, 3.0, 300.0, 12, Duration::from_millis(10_000), at(0));
        let mut sent_messages = [SentMessages::default(), SentMessages::default(), SentMessages::default()];
        let mut sent_at: Vec<Vec<u64>> = vec![Vec::new(); 3];
        let mut in_flight: Vec<f64> = Vec::new();
        let mut now = 0;
        for (wait, proxy, lines, urgency, acknowledge) in steps {
            now += wait;
            if acknowledge {
                for cost in in_flight.drain(..) {
                    queue.record_acknowledged(cost);
                }
            }
            let urgency = [Urgency::Ordinary, Urgency::Join, Urgency::Drain][urgency as usize];
            match queue.capacity(at(now), &mut sent_messages[proxy], lines, urgency) {
                QueueCapacity::Available => {
                    in_flight.push(queue.record_sent(at(now), &mut sent_messages[proxy], lines));
                    sent_at[proxy].push(now);
                }
                QueueCapacity::AvailableAt(when, _) => prop_assert!(when > at(now)),
                QueueCapacity::AvailableAfterReplies => prop_assert!(!in_flight.is_empty()),
            }
            let within_window = sent_at[proxy].iter().filter(|&&sent| now - sent <= 10_000).count();
            prop_assert!(within_window <= 12);
            prop_assert!(queue.in_flight() <= 300.0, "{}", queue.in_flight());
        }
    }
}

#[test]
fn messages_reserved_for_drains_are_not_used_by_ordinary_updates() {
    let mut queue = UpdateQueue::new(1e6, 3.0, 1e6, 6, Duration::from_millis(10_000), at(0));
    let mut sent_messages = SentMessages::default();
    for n in 0..4 {
        assert_eq!(
            queue.capacity(at(n), &mut sent_messages, 1, Urgency::Ordinary),
            QueueCapacity::Available
        );
        queue.record_sent(at(n), &mut sent_messages, 1);
    }
    assert!(matches!(
        queue.capacity(at(9), &mut sent_messages, 1, Urgency::Ordinary),
        QueueCapacity::AvailableAt(..)
    ));
    assert_eq!(
        queue.capacity(at(9), &mut sent_messages, 1, Urgency::Drain),
        QueueCapacity::Available
    );
}
