//! An append-only event log of records in segments, its snapshots, and the retention rules for both. Records are opaque
//! bytes to this package.
//!
//! - [`frame`]: the frame of a record, with its length and checksum.
//! - [`segment`]: a file of records: its header, and a reader that stops at the first damaged record.
//! - [`policy`]: when to sync, when to begin a new segment, which segments to remove, when to retry a failed disk. It
//!   has no I/O and no clock.
//! - [`disk`]: the folder: its lock, append-only files, files that are replaced atomically.
//! - [`faulty_disk`]: a disk with injected faults, for tests, rehearsals and benchmarks.
//! - [`files`]: the file names of a log, listing them, and removing old segments.
//! - [`log`]: the writer, which follows the decisions of [`policy`].

pub mod disk;
pub mod faulty_disk;
pub mod files;
pub mod frame;
pub mod log;
pub mod policy;
pub mod segment;

pub use disk::{Disk, FileEntry, Folder, LockError, now_us};
pub use faulty_disk::FaultyDisk;
pub use files::{FileNames, LogFile, list_file_names, list_segments, remove_old_segments};
pub use frame::{Frame, FrameError};
pub use log::{EventLog, LogError};
pub use policy::{DiskState, LogPolicy, RetentionConfig, SegmentInfo, UNLIMITED_DURATION};
pub use segment::{SegmentEnd, SegmentError, SegmentHeader, SegmentReader};
