//! The records of a folder in order, run by run. What is torn, missing or foreign is named, and reading goes on behind it.

use crate::record::Record;
use pondarch_event_log::segment;
use pondarch_event_log::{
    Disk, FileEntry, SegmentEnd, SegmentHeader, SegmentReader, list_file_names,
};
use std::collections::BTreeMap;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum HistoryError {
    #[error("the records cannot be read: {0}")]
    Io(#[from] std::io::Error),
    #[error("{0}: {1}")]
    Segment(String, pondarch_event_log::SegmentError),
    #[error("there are no records")]
    Nothing,
    #[error("the settings in the records: {0}")]
    Settings(String),
    #[error("the columnar file: {0}")]
    Export(#[from] arrow_schema::ArrowError),
    #[error("the scene: {0}")]
    Scene(String),
}

/// A segment in the folder.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    pub name: String,
    pub head: SegmentHeader,
    pub bytes: u64,
}

/// Something that is not as it should be, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flaw {
    pub name: String,
    pub what: String,
}

/// The segments that can be read, in the order they were written, and those that cannot.
///
/// Errors: the folder cannot be read.
pub fn places(disk: &impl Disk) -> Result<(Vec<Place>, Vec<Flaw>), HistoryError> {
    let sizes: BTreeMap<String, u64> = disk
        .list()?
        .into_iter()
        .map(|FileEntry { name, bytes, .. }| (name, bytes))
        .collect();
    let (mut places, mut flaws) = (Vec::new(), Vec::new());
    for name in list_file_names(disk)?.segments {
        let bytes = sizes.get(&name).copied().unwrap_or(0);
        match segment::read_header(&disk.read_start(&name, segment::HEADER_BYTES)?) {
            Ok(head) => places.push(Place { name, head, bytes }),
            Err(wrong) => flaws.push(Flaw {
                name,
                what: wrong.to_string(),
            }),
        }
    }
    Ok((places, flaws))
}

/// Reads a segment's records, each with where it stands; `take` says whether to go on.
///
/// Errors: the file cannot be read.
pub fn read(
    disk: &impl Disk,
    place: &Place,
    flaws: &mut Vec<Flaw>,
    mut take: impl FnMut(u64, Record) -> bool,
) -> Result<(), HistoryError> {
    let bytes = disk.read(&place.name)?;
    let mut segment = SegmentReader::open(&bytes)
        .map_err(|wrong| HistoryError::Segment(place.name.clone(), wrong))?;
    let mut unknown = 0;
    loop {
        let offset = segment.offset();
        let Some(bytes) = segment.next() else { break };
        match Record::read(&bytes) {
            Some(record) => {
                if !take(offset, record) {
                    return Ok(());
                }
            }
            None => unknown += 1,
        }
    }
    if unknown > 0 {
        let what = format!("{unknown} records are of no kind that this program knows");
        flaws.push(Flaw {
            name: place.name.clone(),
            what,
        });
    }
    if let Some(SegmentEnd::Damaged {
        offset,
        dropped_bytes,
        error,
    }) = segment.end()
    {
        let what = format!(
            "{error}, at byte {offset}: the {dropped_bytes} bytes from there on are not read"
        );
        flaws.push(Flaw {
            name: place.name.clone(),
            what,
        });
    }
    Ok(())
}

/// Follows the numbers of a run's inputs: what was skipped without a word.
#[derive(Debug, Default)]
pub struct Numbers {
    epoch: u64,
    last: Option<u64>,
}

impl Numbers {
    /// The inputs that are missing before this one.
    pub fn missing(&mut self, epoch: u64, n: u64) -> Option<(u64, u64)> {
        let before = if self.epoch == epoch { self.last } else { None };
        (self.epoch, self.last) = (epoch, Some(n));
        before
            .filter(|last| n > last + 1)
            .map(|last| (last + 1, n - 1))
    }

    /// A gap that is on record is none that is missing.
    pub fn gap(&mut self, epoch: u64, last: u64) {
        (self.epoch, self.last) = (epoch, Some(last));
    }
}
