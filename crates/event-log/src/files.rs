//! The files of an event log: segments `<number>.rec` and snapshots `<number>.snap`. All runs share one sequence of
//! numbers, so that a snapshot sorts next to the segments of its time.

use crate::disk::{Disk, FileEntry};
use crate::policy::{LogPolicy, SegmentInfo};
use pondarch_controller::Time;
use std::io;

/// File name suffix of a segment.
const SEGMENT_SUFFIX: &str = ".rec";
/// File name suffix of a snapshot.
pub(crate) const SNAPSHOT_SUFFIX: &str = ".snap";

/// A file of an event log, as its name identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFile {
    /// The segment with this number.
    Segment(u64),
    /// The snapshot with this number.
    Snapshot(u64),
}

impl LogFile {
    /// Parses a file name; returns `None` if it does not belong to an event log.
    #[must_use]
    pub fn parse(name: &str) -> Option<LogFile> {
        if let Some(number) = name.strip_suffix(SNAPSHOT_SUFFIX) {
            return number.parse().ok().map(LogFile::Snapshot);
        }
        let number = name.strip_suffix(SEGMENT_SUFFIX)?;
        number.parse().ok().map(LogFile::Segment)
    }

    /// Returns the file name.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            LogFile::Segment(number) => format!("{number:08}{SEGMENT_SUFFIX}"),
            LogFile::Snapshot(number) => format!("{number:08}{SNAPSHOT_SUFFIX}"),
        }
    }

    /// Returns the number in the sequence that segments and snapshots share.
    #[must_use]
    pub fn number(self) -> u64 {
        match self {
            LogFile::Segment(number) | LogFile::Snapshot(number) => number,
        }
    }
}

/// File names of an event log, each list oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileNames {
    /// File names of the segments.
    pub segments: Vec<String>,
    /// File names of the snapshots.
    pub snapshots: Vec<String>,
}

/// Lists the file names of the segments and snapshots in a folder.
///
/// # Errors
///
/// The folder cannot be read.
pub fn list_file_names<D: Disk>(disk: &D) -> io::Result<FileNames> {
    let mut names = FileNames::default();
    for FileEntry { name, .. } in disk.list()? {
        match LogFile::parse(&name) {
            Some(LogFile::Segment(_)) => names.segments.push(name),
            Some(LogFile::Snapshot(_)) => names.snapshots.push(name),
            None => {}
        }
    }
    Ok(names)
}

/// Lists the segments in a folder, oldest first.
///
/// # Errors
///
/// The folder cannot be read.
pub fn list_segments<D: Disk>(disk: &D) -> io::Result<Vec<SegmentInfo>> {
    let to_segment = |file: FileEntry| match LogFile::parse(&file.name) {
        Some(LogFile::Segment(number)) => Some(SegmentInfo {
            number,
            bytes: file.bytes,
            last_written: Time::from_micros(file.modified_us),
        }),
        _ => None,
    };
    Ok(disk.list()?.into_iter().filter_map(to_segment).collect())
}

/// Removes the oldest segments that exceed the retention limits, but none numbered `first_needed` or higher. Returns
/// how many were removed.
///
/// # Errors
///
/// The folder cannot be read, or a segment cannot be removed.
pub fn remove_old_segments<D: Disk>(
    disk: &mut D,
    policy: &LogPolicy,
    now: Time,
    first_needed: u64,
) -> io::Result<usize> {
    let numbers = policy.segments_to_remove(now, &list_segments(disk)?, first_needed);
    for number in &numbers {
        disk.remove(&LogFile::Segment(*number).name())?;
    }
    Ok(numbers.len())
}
