//! Decisions about an event log: when to sync, when a segment is full, which segments are removed, and when a failed
//! disk is retried. No I/O and no clock.

use pondarch_controller::DurationExt;
use pondarch_controller::Time;
use std::time::Duration;

/// Delay before the first retry of a failed disk; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum delay between retries of a failed disk.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(30_000);

/// A duration longer than any record is kept, for configurations without a limit.
pub const UNLIMITED_DURATION: Duration = Duration::from_millis(u64::MAX / 10_000);

/// Limits for segment size, retention and syncing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetentionConfig {
    /// Size at which a segment is full.
    pub segment_bytes: u64,
    /// Limit on the total size of all segments.
    pub total_bytes: u64,
    /// Segments whose last write is older than this are removed.
    pub max_age: Duration,
    /// Written records are synced within this time, which bounds the loss if the machine crashes.
    pub sync_within: Duration,
}

/// A segment in the folder, as its directory entry describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SegmentInfo {
    /// Number of the segment; newer segments have higher numbers.
    pub number: u64,
    /// Size in bytes.
    pub bytes: u64,
    /// Time of the last write.
    pub last_written: Time,
}

/// Whether the last write to the disk succeeded.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskState {
    /// The last write succeeded, or nothing was written yet.
    Working,
    /// The last write failed.
    Failed {
        /// Error of the operating system.
        reason: String,
        /// Time of the first failure after the last successful write.
        since: Time,
        /// Time of the next attempt.
        retry_at: Time,
    },
}

/// Decides when an event log is synced, trimmed and retried, from its limits and the results of its writes.
#[derive(Clone, Debug)]
pub struct LogPolicy {
    config: RetentionConfig,
    disk: DiskState,
    /// Number of failures since the last successful sync.
    failures: u32,
    /// Time of the oldest write that is not synced yet.
    unsynced_since: Option<Time>,
    /// Bytes written to the open segment.
    segment_bytes: u64,
}

impl LogPolicy {
    /// Creates the policy for a working disk without an open segment.
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

    /// Returns the state of the disk.
    #[must_use]
    pub fn disk_state(&self) -> &DiskState {
        &self.disk
    }

    /// Returns whether records may be written now: the disk works, or a retry is due.
    #[must_use]
    pub fn may_write(&self, now: Time) -> bool {
        match self.disk {
            DiskState::Working => true,
            DiskState::Failed { retry_at, .. } => now >= retry_at,
        }
    }

    /// Notes that a new segment was opened.
    pub fn on_segment_opened(&mut self) {
        self.segment_bytes = 0;
    }

    /// Notes a write of this many bytes to the open segment. Returns whether the segment is full.
    pub fn on_written(&mut self, now: Time, bytes: u64) -> bool {
        self.disk = DiskState::Working;
        self.unsynced_since.get_or_insert(now);
        self.segment_bytes += bytes;
        self.segment_bytes >= self.config.segment_bytes
    }

    /// Notes a successful sync, which resets the retry delay.
    pub fn on_synced(&mut self) {
        self.unsynced_since = None;
        self.failures = 0;
    }

    /// Notes a failed write or sync, and schedules the retry.
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

    /// Returns when the next sync is due; `None` if everything written is synced.
    #[must_use]
    pub fn sync_at(&self) -> Option<Time> {
        self.unsynced_since
            .map(|since| since + self.config.sync_within)
    }

    /// Returns the numbers of the segments to remove because of total size or age, oldest first; `segments` must be
    /// oldest first as well. The last segment, which may be open for writing, and those numbered `first_needed` or
    /// higher, which the newest snapshot needs, are never removed.
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
            let exceeds_limit = total_bytes > self.config.total_bytes
                || now - segment.last_written > self.config.max_age;
            if !exceeds_limit || segment.number >= first_needed {
                break;
            }
            total_bytes -= segment.bytes;
            removed.push(segment.number);
        }
        removed
    }
}
