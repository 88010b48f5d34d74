//! An append-only log of records in segments, snapshots beside it, and what is kept of both. What a record means is not
//! known here.
//!
//! - `frame`: one record as bytes, with its length and checksum.
//! - `segment`: a file of records: its head, and reading it up to where it is torn.
//! - `keeping`: what to write out when, when to begin a new segment, what to drop, when to try a disk again. No I/O.
//! - `disk`: the folder: its lock, files that are replaced whole, and a stand-in that is slow, full or read-only.
//! - `log`: writing, by what `keeping` says.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(missing_docs)]

pub mod disk;
pub mod frame;
pub mod keeping;
pub mod log;
pub mod segment;

pub use disk::{Disk, Folder};
pub use frame::FrameError;
pub use keeping::{Keep, Keeping};
pub use log::{Log, LogError};
pub use segment::{End, Head, Segment, SegmentError};
