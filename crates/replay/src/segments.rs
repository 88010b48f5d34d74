//! Reads the records of a folder in order, run by run. Damaged, missing or unknown parts are reported as faults, and
//! reading continues after them.

use crate::error::{ReplayError, ReplayFault, ReplayFaultCause};
use crate::record::Record;
use pondarch_event_log::{
    Disk, FileEntry, SegmentEnd, SegmentHeader, SegmentReader, list_file_names, segment,
};
use std::collections::BTreeMap;
use std::ops::ControlFlow;

/// A segment in the folder.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredSegment {
    /// File name.
    pub file: String,
    /// Segment header.
    pub header: SegmentHeader,
    /// Size in bytes.
    pub bytes: u64,
}

/// The segments of a folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SegmentList {
    /// Segments with a readable header, in the order in which they were written.
    pub segments: Vec<StoredSegment>,
    /// Segments whose header cannot be read.
    pub faults: Vec<ReplayFault>,
}

/// Lists the segments of a folder.
///
/// # Errors
///
/// The folder cannot be read.
pub fn list(disk: &impl Disk) -> Result<SegmentList, ReplayError> {
    let sizes: BTreeMap<String, u64> = disk
        .list()?
        .into_iter()
        .map(|FileEntry { name, bytes, .. }| (name, bytes))
        .collect();
    let mut list = SegmentList::default();
    for file in list_file_names(disk)?.segments {
        let bytes = sizes.get(&file).copied().unwrap_or(0);
        match segment::read_header(&disk.read_start(&file, segment::HEADER_BYTES)?) {
            Ok(header) => list.segments.push(StoredSegment {
                file,
                header,
                bytes,
            }),
            Err(error) => list.faults.push(ReplayFault {
                file,
                cause: ReplayFaultCause::Segment(error),
            }),
        }
    }
    Ok(list)
}

/// Reads the records of a segment until `visit` returns a break; damaged and unknown records are added to `faults`.
///
/// # Errors
///
/// The file or its header cannot be read.
pub fn read(
    disk: &impl Disk,
    segment: &StoredSegment,
    faults: &mut Vec<ReplayFault>,
    mut visit: impl FnMut(Record) -> ControlFlow<()>,
) -> Result<(), ReplayError> {
    let bytes = disk.read(&segment.file)?;
    let mut reader = SegmentReader::open(&bytes).map_err(|source| ReplayError::Segment {
        file: segment.file.clone(),
        source,
    })?;
    let mut unknown_records = 0;
    for bytes in reader.by_ref() {
        match Record::from_bytes(&bytes) {
            Some(record) => {
                if visit(record).is_break() {
                    return Ok(());
                }
            }
            None => unknown_records += 1,
        }
    }
    let mut add_fault = |cause| {
        faults.push(ReplayFault {
            file: segment.file.clone(),
            cause,
        });
    };
    if unknown_records > 0 {
        add_fault(ReplayFaultCause::UnknownRecords(unknown_records));
    }
    if let Some(SegmentEnd::Damaged {
        offset,
        dropped_bytes,
        error,
    }) = reader.end()
    {
        add_fault(ReplayFaultCause::Damaged {
            error: error.clone(),
            offset: *offset,
            dropped_bytes: *dropped_bytes,
        });
    }
    Ok(())
}

/// A range of inputs of a run, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InputNumbers {
    /// Number of the first input.
    pub first: u64,
    /// Number of the last input.
    pub last: u64,
}

/// Tracks the numbers of the inputs of each run, to find inputs that are missing without a gap record.
#[derive(Debug, Default)]
pub struct InputSequence {
    incarnation: u64,
    last: Option<u64>,
}

impl InputSequence {
    /// Notes an input that was read. Returns the inputs that are missing before it.
    pub fn observe_input(&mut self, incarnation: u64, number: u64) -> Option<InputNumbers> {
        let last = self.last.filter(|_| self.incarnation == incarnation);
        self.incarnation = incarnation;
        self.last = Some(number);
        last.filter(|last| number > last + 1)
            .map(|last| InputNumbers {
                first: last + 1,
                last: number - 1,
            })
    }

    /// Notes that a gap record or a snapshot covers the inputs up to `last`, so that they do not count as missing.
    pub fn observe_gap(&mut self, incarnation: u64, last: u64) {
        self.incarnation = incarnation;
        self.last = Some(last);
    }
}
