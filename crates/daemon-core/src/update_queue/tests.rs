//! The budgets of the update queue.

use super::*;
use proptest::prelude::*;

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000_000 + ms * 1_000)
}

proptest! {
    /// Whatever is sent, neither budget is passed, and a drain finds room once answers are in.
    #[test]
    fn budgets_hold(steps in prop::collection::vec((0..400u64, 0..3usize, 1..60usize, 0..3u8, any::<bool>()), 1..300)) {
        let mut queue = UpdateQueue::new(500.0, 3.0, 300.0, 12, Duration::from_millis(10_000), at(0));
        let mut sent_messages = [SentMessages::default(), SentMessages::default(), SentMessages::default()];
        let mut written: Vec<Vec<u64>> = vec![Vec::new(); 3];
        let mut open: Vec<f64> = Vec::new();
        let mut now = 0;
        for (wait, to, lines, urgency, answer) in steps {
            now += wait;
            if answer {
                for cost in open.drain(..) {
                    queue.record_acknowledged(cost);
                }
            }
            let urgency = [Urgency::Ordinary, Urgency::Join, Urgency::Drain][urgency as usize];
            match queue.capacity(at(now), &mut sent_messages[to], lines, urgency) {
                QueueCapacity::Available => {
                    open.push(queue.record_sent(at(now), &mut sent_messages[to], lines));
                    written[to].push(now);
                }
                QueueCapacity::AvailableAt(when, _) => prop_assert!(when > at(now)),
                QueueCapacity::AvailableAfterReplies => prop_assert!(!open.is_empty()),
            }
            let lately = written[to].iter().filter(|&&w| now - w <= 10_000).count();
            prop_assert!(lately <= 12);
            prop_assert!(queue.waiting() <= 300.0, "{}", queue.waiting());
        }
    }
}

#[test]
fn drains_keep_their_reserve() {
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
