//! The files of a log: records in segments `<number>.rec`, snapshots in `<number>.snap`, numbered in one sequence over
//! all runs, so that what belongs together sorts together.

use crate::disk::{Disk, FileEntry};
use crate::policy::{LogPolicy, SegmentInfo};
use pondarch_controller::Time;
use std::io;

const SEGMENT_SUFFIX: &str = ".rec";
/// Ending of a snapshot's name.
pub(crate) const SNAPSHOT_SUFFIX: &str = ".snap";

/// A file of a log, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFile {
    /// A segment and its number.
    Segment(u64),
    /// A snapshot and its number.
    Snapshot(u64),
}

impl LogFile {
    /// The file of this name; none: it is no file of a log.
    #[must_use]
    pub fn parse(name: &str) -> Option<LogFile> {
        if let Some(number) = name.strip_suffix(SNAPSHOT_SUFFIX) {
            return number.parse().ok().map(LogFile::Snapshot);
        }
        let number = name.strip_suffix(SEGMENT_SUFFIX)?;
        number.parse().ok().map(LogFile::Segment)
    }

    /// Its name in the folder.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            LogFile::Segment(number) => format!("{number:08}{SEGMENT_SUFFIX}"),
            LogFile::Snapshot(number) => format!("{number:08}{SNAPSHOT_SUFFIX}"),
        }
    }

    /// Its number in the sequence.
    #[must_use]
    pub fn number(self) -> u64 {
        match self {
            LogFile::Segment(number) | LogFile::Snapshot(number) => number,
        }
    }
}

/// Names of the files of a log, each list oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FileNames {
    /// Names of the segments.
    pub segments: Vec<String>,
    /// Names of the snapshots.
    pub snapshots: Vec<String>,
}

/// The names of the segments and of the snapshots of a folder.
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

/// The segments of a folder, oldest first.
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

/// Removes the segments that exceed what is retained, but none from number `first_needed` on; gives how many.
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
