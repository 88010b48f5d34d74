//! Secondary servers with a copy of the zone: the serial that each may still answer from, and when to notify it of a
//! newer one (NOTIFY, RFC 1996). A secondary also queries without a notification; the query contains the serial of its
//! copy.
//!
//! A copy is behind from a change of the zone until the change is transferred. Meanwhile it may be answered with hosts
//! that were removed, so the allowed time is subtracted from the lifetime of answers, and a secondary that is behind
//! for longer is reported to operators.

use crate::serial::is_newer;
use pondarch_controller::{DurationExt, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Delay before the first retry of an unacknowledged notification; it doubles up to `MAX_NOTIFY_RETRY_DELAY`.
const MIN_NOTIFY_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The longest delay before a retry of an unacknowledged notification.
const MAX_NOTIFY_RETRY_DELAY: Duration = Duration::from_millis(5_000);
/// The retry delay is doubled at most this many times; by then it has reached its maximum.
const MAX_DOUBLINGS: u32 = 16;
/// A secondary that acknowledges a notification but does not transfer the zone within this time is notified again.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The shortest time between notifications to one secondary, so that changes in quick succession share one transfer.
const MIN_NOTIFY_INTERVAL: Duration = Duration::from_millis(100);

/// What a secondary did. The serialized names of the variants are those of the event log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SecondaryEvent {
    /// It acknowledged a notification.
    #[serde(rename = "Acknowledged")]
    Acknowledged,
    /// It queried for changes since this serial; `None` if the query had no serial.
    #[serde(rename = "Asks")]
    Queried(Option<u32>),
    /// It was sent the zone as of this serial, as a whole or as differences.
    #[serde(rename = "Fetched")]
    Transferred(u32),
}

/// The state of one secondary's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SecondaryState {
    /// The serial of the copy; `None` if not known.
    pub serial: Option<u32>,
    /// Since when the copy is behind; `None` if it is up to date.
    pub behind_since: Option<Time>,
}

#[derive(Clone, Debug, Default)]
struct Secondary {
    serial: Option<u32>,
    last_event: Option<Time>,
    behind_since: Option<Time>,
    /// Whether it was already reported as behind for too long.
    overdue_reported: bool,
    last_notified: Option<Time>,
    notify_at: Option<Time>,
    /// Notifications sent since the last change.
    attempts: u32,
}

/// All secondaries, in the order of the settings.
#[derive(Clone, Debug)]
pub struct Secondaries {
    secondaries: Vec<Secondary>,
    /// The serial of the zone; `None` until it is set.
    serial: Option<u32>,
    max_behind: Duration,
    /// A secondary without an event for this long stops serving (the SOA's EXPIRE, RFC 1035, section 3.3.13).
    expire: Duration,
}

impl Secondaries {
    /// Creates `count` secondaries. Each is reported when it is behind for longer than `max_behind`, and stops serving
    /// when it has not reached this server for `expire`.
    #[must_use]
    pub fn new(count: usize, max_behind: Duration, expire: Duration) -> Secondaries {
        Secondaries {
            secondaries: vec![Secondary::default(); count],
            serial: None,
            max_behind,
            expire,
        }
    }

    /// Records that the zone has changed to `serial`, so that all secondaries are behind.
    pub fn record_change(&mut self, now: Time, serial: u32) {
        self.serial = Some(serial);
        for secondary in &mut self.secondaries {
            secondary.behind_since.get_or_insert(now);
            secondary.attempts = 0;
            let earliest = secondary
                .last_notified
                .map_or(now, |notified| now.max(notified + MIN_NOTIFY_INTERVAL));
            secondary.notify_at = Some(
                secondary
                    .notify_at
                    .map_or(earliest, |notify_at| notify_at.min(earliest)),
            );
        }
    }

    /// Applies what the secondary with this index did.
    pub fn apply(&mut self, now: Time, index: usize, event: SecondaryEvent) {
        let Some(secondary) = self.secondaries.get_mut(index) else {
            return;
        };
        secondary.last_event = Some(now);
        match event {
            SecondaryEvent::Acknowledged => {
                if secondary.behind_since.is_some() {
                    secondary.notify_at = Some(now + TRANSFER_TIMEOUT);
                }
            }
            SecondaryEvent::Queried(None) => {}
            SecondaryEvent::Queried(Some(serial)) => secondary.set_serial(serial, self.serial),
            SecondaryEvent::Transferred(serial) => {
                // Ignores the serial of a transfer that ended after a newer one: the copy is already newer.
                let newest = secondary
                    .serial
                    .filter(|current| is_newer(*current, serial))
                    .unwrap_or(serial);
                secondary.set_serial(newest, self.serial);
            }
        }
    }

    /// Returns the secondaries that are due for a notification and schedules their next one.
    pub fn take_due_notifications(&mut self, now: Time) -> Vec<u16> {
        let mut due = Vec::new();
        for (index, secondary) in self.secondaries.iter_mut().enumerate() {
            if secondary.notify_at.is_some_and(|at| at <= now) {
                secondary.record_notification(now);
                due.push(index as u16);
            }
        }
        due
    }

    /// Returns the secondaries that are behind for too long; each is returned once until it is up to date again.
    pub fn take_overdue(&mut self, now: Time) -> Vec<u16> {
        let mut overdue = Vec::new();
        for (index, secondary) in self.secondaries.iter_mut().enumerate() {
            let is_overdue = secondary
                .behind_since
                .is_some_and(|since| now - since > self.max_behind);
            if is_overdue && !secondary.overdue_reported {
                secondary.overdue_reported = true;
                overdue.push(index as u16);
            }
        }
        overdue
    }

    /// The oldest serial that a secondary may still answer from; `None` if no secondary serves a copy.
    #[must_use]
    pub fn oldest_served_serial(&self, now: Time) -> Option<u32> {
        self.secondaries
            .iter()
            .filter(|secondary| secondary.serves(now, self.expire))
            .filter_map(|secondary| secondary.serial)
            .reduce(|oldest, serial| {
                if is_newer(oldest, serial) {
                    serial
                } else {
                    oldest
                }
            })
    }

    /// When the next notification is due or the next secondary becomes overdue.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Time> {
        let overdue_at = |secondary: &Secondary| {
            secondary
                .behind_since
                .filter(|_| !secondary.overdue_reported)
                .map(|since| since + self.max_behind + Duration::from_micros(1))
        };
        self.secondaries
            .iter()
            .flat_map(|secondary| [secondary.notify_at, overdue_at(secondary)])
            .flatten()
            .min()
    }

    /// The state of each secondary's copy, in the order of the settings.
    pub fn states(&self) -> impl Iterator<Item = SecondaryState> {
        self.secondaries.iter().map(|secondary| SecondaryState {
            serial: secondary.serial,
            behind_since: secondary.behind_since,
        })
    }
}

impl Secondary {
    /// Sets the serial of the copy, which is up to date if the zone has the same serial.
    fn set_serial(&mut self, serial: u32, zone_serial: Option<u32>) {
        self.serial = Some(serial);
        if self.serial == zone_serial {
            self.behind_since = None;
            self.notify_at = None;
            self.overdue_reported = false;
            self.attempts = 0;
        }
    }

    fn record_notification(&mut self, now: Time) {
        let doublings = self.attempts.min(MAX_DOUBLINGS);
        let retry_delay = MIN_NOTIFY_RETRY_DELAY
            .scaled(f64::from(1u32 << doublings))
            .min(MAX_NOTIFY_RETRY_DELAY);
        self.attempts += 1;
        self.last_notified = Some(now);
        self.notify_at = Some(now + retry_delay);
    }

    fn serves(&self, now: Time, expire: Duration) -> bool {
        self.last_event
            .is_some_and(|last_event| now - last_event < expire)
    }
}
