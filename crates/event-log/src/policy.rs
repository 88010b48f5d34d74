//! What to do with a log and when, as decisions: when to sync, when a segment is full, which segments are removed, and
//! when a disk that failed is tried again. No I/O and no clock.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::time::Duration;

/// First wait before a disk that failed is tried again; it doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait before a disk that failed is tried again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(30_000);

/// A duration that no record outlives.
pub const UNLIMITED_DURATION: Duration = Duration::from_millis(u64::MAX / 10_000);

/// What is retained, and when it is synced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetentionConfig {
    /// A segment is full at this size.
    pub segment_bytes: u64,
    /// Bound on the size of all segments together.
    pub total_bytes: u64,
    /// Segments whose last record is older are removed.
    pub max_age: Duration,
    /// What was written is synced within this time: the bound on what a machine that stops loses.
    pub sync_within: Duration,
}

/// A segment in the folder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SegmentInfo {
    /// Its number: rises with its age.
    pub number: u64,
    /// Its size.
    pub bytes: u64,
    /// When it was last written to.
    pub last_written: Time,
}

/// Whether the disk works.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskState {
    /// The last write succeeded, or there was none yet.
    Working,
    /// The last write failed.
    Failed {
        /// The error of the system.
        reason: String,
        /// When the first write failed after the last one that succeeded.
        since: Time,
        /// When it is tried again.
        retry_at: Time,
    },
}

/// The state that the decisions are made from.
#[derive(Clone, Debug)]
pub struct LogPolicy {
    config: RetentionConfig,
    disk: DiskState,
    /// Failures since the last sync.
    failures: u32,
    /// Since when there is something written and not synced.
    unsynced_since: Option<Time>,
    /// Size of the segment that is open.
    segment_bytes: u64,
}

impl LogPolicy {
    /// For a disk that works, without an open segment.
    #[must_use]
    pub fn new(config: RetentionConfig) -> LogPolicy {
        LogPolicy {
            config,
            disk: DiskState::Working,
            failures: 0,
            unsynced_since: None,
            segment_bytes: 0,
        }
    }

    /// Whether the disk works.
    #[must_use]
    pub fn disk_state(&self) -> &DiskState {
        &self.disk
    }

    /// Whether records may be written now: the disk works, or is due for a retry.
    #[must_use]
    pub fn may_write(&self, now: Time) -> bool {
        match self.disk {
            DiskState::Working => true,
            DiskState::Failed { retry_at, .. } => now >= retry_at,
        }
    }

    /// A new segment was opened.
    pub fn on_segment_opened(&mut self) {
        self.segment_bytes = 0;
    }

    /// Bytes were written to the open segment. Gives whether the segment is full.
    pub fn on_written(&mut self, now: Time, bytes: u64) -> bool {
        self.disk = DiskState::Working;
        self.unsynced_since.get_or_insert(now);
        self.segment_bytes += bytes;
        self.segment_bytes >= self.config.segment_bytes
    }

    /// All that was written is synced: the disk works.
    pub fn on_synced(&mut self) {
        self.unsynced_since = None;
        self.failures = 0;
    }

    /// A write or a sync failed.
    pub fn on_failed(&mut self, now: Time, reason: String) {
        let delay = MIN_RETRY_DELAY
            .scaled(f64::from(1u32 << self.failures.min(16)))
            .min(MAX_RETRY_DELAY);
        self.failures = self.failures.saturating_add(1);
        let since = match self.disk {
            DiskState::Failed { since, .. } => since,
            DiskState::Working => now,
        };
        self.disk = DiskState::Failed {
            reason,
            since,
            retry_at: now + delay,
        };
        self.unsynced_since = None;
    }

    /// When what was written is to be synced; none: all of it is.
    #[must_use]
    pub fn sync_at(&self) -> Option<Time> {
        self.unsynced_since
            .map(|since| since + self.config.sync_within)
    }

    /// The segments to remove, oldest first, of these, oldest first: those over the total size, or too old. Never the
    /// last one, which is written to, nor those from number `first_needed` on, which the newest snapshot needs.
    #[must_use]
    pub fn segments_to_remove(
        &self,
        now: Time,
        segments: &[SegmentInfo],
        first_needed: u64,
    ) -> Vec<u64> {
        let mut total_bytes: u64 = segments.iter().map(|segment| segment.bytes).sum();
        let mut removed = Vec::new();
        for segment in segments.iter().take(segments.len().saturating_sub(1)) {
            let is_over = total_bytes > self.config.total_bytes
                || now - segment.last_written > self.config.max_age;
            if !is_over || segment.number >= first_needed {
                break;
            }
            total_bytes -= segment.bytes;
            removed.push(segment.number);
        }
        removed
    }
}
