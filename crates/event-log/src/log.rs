//! Writing the log of a run: its segments and snapshots, as [`crate::policy`] decides.

use crate::disk::Disk;
use crate::files::{LogFile, SNAPSHOT_SUFFIX, remove_old_segments};
use crate::frame;
use crate::policy::{DiskState, LogPolicy, RetentionConfig};
use crate::segment::{self, SegmentHeader};
use pondarch_controller::Time;
use std::io;
use thiserror::Error;

/// Snapshots that are retained: the newest, and one more in case that is damaged.
const RETAINED_SNAPSHOTS: usize = 2;

/// Why a log cannot be opened.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum LogError {
    /// The folder cannot be read.
    #[error("the folder of records: {0}")]
    Folder(#[from] io::Error),
}

/// A log that a run writes.
#[derive(Debug)]
pub struct EventLog<D> {
    disk: D,
    policy: LogPolicy,
    incarnation: u64,
    /// Number of the next file.
    next_number: u64,
    /// Whether the last segment of this run is open.
    is_segment_open: bool,
    /// Number of the last segment of this run.
    segment_number: u64,
    /// Segments from here on are needed by the newest snapshot, or by a run that has none yet.
    first_needed: u64,
}

impl<D: Disk> EventLog<D> {
    /// A log in this folder, for this incarnation; nothing is written yet.
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

    /// Whether the disk works, and when it is synced.
    #[must_use]
    pub fn policy(&self) -> &LogPolicy {
        &self.policy
    }

    /// The disk that it is written to.
    pub fn disk_mut(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Writes a buffer of frames, of which the first belongs to the input of this number. Gives whether it was
    /// written: if not, the log has stopped and retries when its policy says so.
    pub fn write(&mut self, now: Time, first_input: u64, frames: &[u8]) -> bool {
        if !self.policy.may_write(now) {
            return false;
        }
        match self.append(now, first_input, frames) {
            Ok(()) => true,
            Err(error) => {
                self.stop(now, &error);
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

    /// Begins a new segment. After a failure the last one may be torn: it is never written to again.
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

    /// Syncs what was written, if that is due.
    pub fn sync_if_due(&mut self, now: Time) {
        if self.policy.sync_at().is_some_and(|at| at <= now)
            && let Err(error) = self.sync()
        {
            self.stop(now, &error);
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.sync()?;
        self.policy.on_synced();
        Ok(())
    }

    fn stop(&mut self, now: Time, error: &io::Error) {
        self.is_segment_open = false;
        self.policy.on_failed(now, error.to_string());
    }

    /// Writes a snapshot of the state after all that was written. Gives whether it was written.
    pub fn write_snapshot(&mut self, now: Time, record: &[u8]) -> bool {
        if *self.policy.disk_state() != DiskState::Working {
            return false;
        }
        let mut bytes = Vec::new();
        frame::write(&mut bytes, record);
        let name = LogFile::Snapshot(self.next_number).name();
        // The records that it stands for are synced before it is written.
        let written = self.sync().and_then(|()| self.disk.replace(&name, &bytes));
        if let Err(error) = written {
            self.stop(now, &error);
            return false;
        }
        // The open segment goes on: what follows the snapshot begins in it or in the next one.
        self.first_needed = if self.is_segment_open {
            self.segment_number
        } else {
            self.next_number
        };
        self.next_number += 1;
        // The error is dropped on purpose: what could not be removed now is removed after the next snapshot.
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

    /// Ends the run: all that was written is synced.
    pub fn end(mut self) {
        if self.is_segment_open {
            // The error is dropped on purpose: the run is over, and nobody reads the state of this log any more.
            self.sync().ok();
        }
    }
}
