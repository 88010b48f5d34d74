//! Notifications to secondaries and the state of their copies.

use pondarch_controller::Time;
use pondarch_dns_core::{Secondaries, SecondaryEvent};
use proptest::prelude::{ProptestConfig, prop, prop_assert, prop_assert_eq, proptest};
use std::time::Duration;

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000_000 + ms * 1_000)
}

fn two_secondaries() -> Secondaries {
    Secondaries::new(
        2,
        Duration::from_millis(1_000),
        Duration::from_millis(60_000),
    )
}

#[test]
fn a_change_is_notified_until_it_is_transferred() {
    let mut secondaries = two_secondaries();
    secondaries.record_change(at(0), 7);
    assert_eq!(secondaries.take_due_notifications(at(0)), [0, 1]);
    secondaries.apply(at(5), 0, SecondaryEvent::Acknowledged);
    secondaries.apply(at(9), 0, SecondaryEvent::Transferred(7));
    assert_eq!(secondaries.oldest_served_serial(at(9)), Some(7));
    // The other secondary does not respond: it is notified again at 0.2 s, 0.6 s, 1.4 s and so on.
    let notified_at_ms: Vec<u64> = (0..3_000)
        .filter(|ms| secondaries.take_due_notifications(at(*ms)) == [1])
        .collect();
    assert_eq!(notified_at_ms, [200, 600, 1_400]);
    assert_eq!(secondaries.take_overdue(at(1_000)), []);
    assert_eq!(secondaries.take_overdue(at(1_001)), [1]);
    assert_eq!(secondaries.take_overdue(at(2_000)), [], "reported once");
    secondaries.apply(at(3_000), 1, SecondaryEvent::Transferred(7));
    assert_eq!(
        (
            secondaries.next_due_at(),
            secondaries.take_due_notifications(at(9_000)).len()
        ),
        (None, 0)
    );
}

#[test]
fn changes_in_quick_succession_share_a_notification_that_is_repeated_without_a_transfer() {
    let mut secondaries = two_secondaries();
    for ms in 0..50 {
        secondaries.record_change(at(ms), ms as u32);
        secondaries.take_due_notifications(at(ms));
    }
    let notified_at_ms: Vec<u64> = (50..110)
        .filter(|ms| secondaries.take_due_notifications(at(*ms)) == [0, 1])
        .collect();
    assert_eq!(notified_at_ms, [100]);
    secondaries.apply(at(110), 0, SecondaryEvent::Acknowledged);
    assert!(
        secondaries
            .take_due_notifications(at(1_109))
            .iter()
            .all(|n| *n == 1)
    );
    assert_eq!(secondaries.take_due_notifications(at(1_110))[0], 0);
}

#[test]
fn a_silent_secondary_expires_and_one_that_is_behind_serves() {
    let mut secondaries = two_secondaries();
    secondaries.record_change(at(0), 7);
    secondaries.apply(at(0), 0, SecondaryEvent::Transferred(7));
    secondaries.apply(at(0), 1, SecondaryEvent::Transferred(7));
    secondaries.record_change(at(10), 8);
    secondaries.apply(at(20), 0, SecondaryEvent::Transferred(8));
    assert_eq!(secondaries.oldest_served_serial(at(20)), Some(7));
    assert_eq!(secondaries.oldest_served_serial(at(60_010)), Some(8));
    // The serial in a query is taken even if it is older than the last one.
    secondaries.apply(at(70_000), 0, SecondaryEvent::Queried(Some(3)));
    assert_eq!(secondaries.oldest_served_serial(at(70_000)), Some(3));
    assert_eq!(secondaries.oldest_served_serial(at(140_000)), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// With any sequence of events, a secondary is behind as long as its serial is old, the number of notifications is
    /// bounded, and the next due time is in the future once all that is due was taken.
    #[test]
    fn secondaries_are_behind_until_they_have_the_serial(steps in prop::collection::vec((0u64..700, 0usize..2, 0u8..5), 1..150)) {
        let mut secondaries = two_secondaries();
        let mut now = 0;
        let mut serial = 1;
        let mut notifications = 0;
        let mut serials = [None, None];
        secondaries.record_change(at(0), serial);
        for (elapsed_ms, index, action) in steps {
            now += elapsed_ms;
            match action {
                0 => {
                    serial += 1;
                    secondaries.record_change(at(now), serial);
                }
                1 => secondaries.apply(at(now), index, SecondaryEvent::Acknowledged),
                2 | 3 => {
                    serials[index] = Some(serial);
                    secondaries.apply(at(now), index, SecondaryEvent::Transferred(serial));
                }
                _ => secondaries.apply(at(now), index, SecondaryEvent::Queried(serials[index])),
            }
            notifications += secondaries.take_due_notifications(at(now)).len();
            secondaries.take_overdue(at(now));
            prop_assert!(secondaries.next_due_at().is_none_or(|due_at| due_at > at(now)));
            for (index, state) in secondaries.states().enumerate() {
                prop_assert_eq!(state.serial, serials[index]);
                prop_assert_eq!(state.behind_since.is_some(), state.serial != Some(serial));
            }
        }
        prop_assert!(notifications as u64 <= 2 * (2 + now / 100));
    }
}
