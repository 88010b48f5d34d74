//! The writer of the event log of a run: segments and snapshots, as [`crate::policy`] decides.

use crate::disk::Disk;
use crate::files::{LogFile, SNAPSHOT_SUFFIX, remove_old_segments};
use crate::frame;
use crate::policy::{DiskState, LogPolicy, RetentionConfig};
use crate::segment::{self, SegmentHeader};
use pondarch_controller::Time;
use std::io;
use thiserror::Error;

/// Number of retained snapshots: the newest, and one more in case the newest is damaged.
const RETAINED_SNAPSHOTS: usize = 2;

/// The reason why an event log cannot be opened.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum LogError {
    /// The folder cannot be read.
    #[error("cannot read the event log folder: {0}")]
    Folder(#[from] io::Error),
}

/// The event log of the current run.
#[derive(Debug)]
pub struct EventLog<D> {
    disk: D,
    policy: LogPolicy,
    incarnation: u64,
    /// Number of the next segment or snapshot.
    next_number: u64,
    /// Whether the last segment of this run is open.
    is_segment_open: bool,
    /// Number of the last segment of this run.
    segment_number: u64,
    /// First segment that must be retained: the newest snapshot, or a run without a snapshot, needs it and later ones.
    first_needed: u64,
}

impl<D: Disk> EventLog<D> {
    /// Creates the writer for this incarnation without writing anything yet.
    ///
    /// # Errors
    ///
    /// The folder cannot be read.
    pub fn new(
        disk: D,
        config: RetentionConfig,
        incarnation: u64,
    ) -> Result<EventLog<D>, LogError> {
        let numbers = disk
            .list()?
            .into_iter()
            .filter_map(|file| LogFile::parse(&file.name).map(LogFile::number));
        let next_number = numbers.max().map_or(1, |last| last + 1);
        Ok(EventLog {
            disk,
            policy: LogPolicy::new(config),
            incarnation,
            next_number,
            is_segment_open: false,
            segment_number: next_number,
            first_needed: next_number,
        })
    }

    /// Returns the policy, which has the state of the disk and the time of the next sync.
    #[must_use]
    pub fn policy(&self) -> &LogPolicy {
        &self.policy
    }

    /// Returns the disk that the log is written to.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Writes a buffer of frames, the first of which belongs to input `first_input`. Returns whether it was written; if
    /// not, writing is suspended until the policy allows a retry.
    pub fn write(&mut self, now: Time, first_input: u64, frames: &[u8]) -> bool {
        if !self.policy.may_write(now) {
            return false;
        }
        match self.append(now, first_input, frames) {
            Ok(()) => true,
            Err(error) => {
                self.suspend(now, &error);
                false
            }
        }
    }

    fn append(&mut self, now: Time, first_input: u64, frames: &[u8]) -> io::Result<()> {
        if !self.is_segment_open {
            self.open_segment(first_input)?;
        }
        self.disk.append(frames)?;
        if self.policy.on_written(now, frames.len() as u64) {
            self.sync()?;
            self.is_segment_open = false;
            remove_old_segments(&mut self.disk, &self.policy, now, self.first_needed)?;
        }
        Ok(())
    }

    /// Begins a new segment. It is also called after a failure, which may have torn the previous segment; that one is
    /// never appended to again.
    fn open_segment(&mut self, first_input: u64) -> io::Result<()> {
        self.disk
            .create(&LogFile::Segment(self.next_number).name())?;
        self.segment_number = self.next_number;
        self.next_number += 1;
        self.is_segment_open = true;
        self.policy.on_segment_opened();
        self.disk.append(&segment::write_header(&SegmentHeader {
            incarnation: self.incarnation,
            first_input,
        }))
    }

    /// Syncs the written records if a sync is due.
    pub fn sync_if_due(&mut self, now: Time) {
        if self.policy.sync_at().is_some_and(|at| at <= now)
            && let Err(error) = self.sync()
        {
            self.suspend(now, &error);
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.sync()?;
        self.policy.on_synced();
        Ok(())
    }

    /// Suspends writing after an I/O error.
    fn suspend(&mut self, now: Time, error: &io::Error) {
        self.is_segment_open = false;
        self.policy.on_failed(now, error.to_string());
    }

    /// Writes a snapshot of the state after all records written so far. Returns whether it was written.
    pub fn write_snapshot(&mut self, now: Time, record: &[u8]) -> bool {
        if *self.policy.disk_state() != DiskState::Working {
            return false;
        }
        let mut bytes = Vec::new();
        frame::write(&mut bytes, record);
        let name = LogFile::Snapshot(self.next_number).name();
        // The records that the snapshot covers are synced before it is written.
        let written = self.sync().and_then(|()| self.disk.replace(&name, &bytes));
        if let Err(error) = written {
            self.suspend(now, &error);
            return false;
        }
        // The open segment stays open: the records after the snapshot begin in it or in the next segment.
        self.first_needed = if self.is_segment_open {
            self.segment_number
        } else {
            self.next_number
        };
        self.next_number += 1;
        // The error is ignored: snapshots that could not be removed now are removed after the next snapshot.
        self.remove_old_snapshots().ok();
        true
    }

    fn remove_old_snapshots(&mut self) -> io::Result<()> {
        let files = self.disk.list()?;
        let snapshots = files
            .iter()
            .filter(|file| file.name.ends_with(SNAPSHOT_SUFFIX));
        for snapshot in snapshots.rev().skip(RETAINED_SNAPSHOTS) {
            self.disk.remove(&snapshot.name)?;
        }
        Ok(())
    }

    /// Ends the log of this run and syncs all written records.
    pub fn end(mut self) {
        if self.is_segment_open {
            // The error is ignored: the run is over, and the state of this log is no longer read.
            self.sync().ok();
        }
    }
}
