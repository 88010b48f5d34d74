//! An append-only log of records in segments, the snapshots beside it, and the rules by which both are retained. What a
//! record means is not known here.
//!
//! - [`frame`]: one record as bytes, with its length and checksum.
//! - [`segment`]: a file of records: its header, and reading it up to where it is damaged.
//! - [`policy`]: when to sync, when to begin a new segment, which segments to remove, when to retry a failed disk. No
//!   I/O and no clock.
//! - [`disk`]: the folder: its lock, files that are appended to, files that are replaced as a whole.
//! - [`faulty_disk`]: a disk with injected faults, for tests, rehearsals and measurements.
//! - [`files`]: the names of the files of a log, and listing them.
//! - [`log`]: writing, by what [`policy`] decides.

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
