//! A segment: a file of records with a header that says which run wrote it and where in the run it begins.
//!
//! `magic 8 | format u16 | zero u16 | epoch u64 | first u64 | crc32 u32`, numbers little-endian.

use crate::frame::{self, Frame, FrameError};
use thiserror::Error;

const MAGIC: [u8; 8] = *b"PONDREC\n";
/// Rises when older programs could not read what is written. Fields that are added do not change it: records name
/// their fields.
pub const FORMAT: u16 = 1;
/// Length of the header.
pub const HEADER_BYTES: usize = 32;
/// Bytes of the header that its checksum is over.
const CHECKED_BYTES: usize = HEADER_BYTES - 4;

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// The incarnation of the program that wrote it; `epoch` in the file.
    pub incarnation: u64,
    /// Number of its first input within the run.
    pub first_input: u64,
}

/// Why a segment cannot be read at all.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SegmentError {
    /// It does not begin as a segment does.
    #[error("it is no file of records")]
    NotASegment,
    /// A newer program wrote it.
    #[error(
        "it has format {0}, and this program reads {FORMAT}: use the program that wrote it, or a newer one"
    )]
    NewerFormat(u16),
    /// Its header is torn or damaged.
    #[error("its head is torn or its checksum does not fit")]
    DamagedHeader,
}

/// Why reading a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentEnd {
    /// All of it was read.
    Complete,
    /// At a record that is torn or damaged.
    Damaged {
        /// Where that record begins.
        offset: u64,
        /// Bytes from there to the end of the file, which were not read.
        dropped_bytes: u64,
        /// What is wrong with the record.
        error: FrameError,
    },
}

/// The bytes of a header.
#[must_use]
pub fn write_header(header: &SegmentHeader) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend(MAGIC);
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend([0, 0]);
    bytes.extend(header.incarnation.to_le_bytes());
    bytes.extend(header.first_input.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Reads the header at the start of `bytes`.
///
/// # Errors
///
/// There is none that this program can read.
pub fn read_header(bytes: &[u8]) -> Result<SegmentHeader, SegmentError> {
    if !bytes.starts_with(&MAGIC) {
        return Err(if MAGIC.starts_with(bytes) {
            SegmentError::DamagedHeader
        } else {
            SegmentError::NotASegment
        });
    }
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Err(SegmentError::DamagedHeader);
    };
    let checksum = u32::from_le_bytes([header[28], header[29], header[30], header[31]]);
    if crc32fast::hash(&header[..CHECKED_BYTES]) != checksum {
        return Err(SegmentError::DamagedHeader);
    }
    let format = u16::from_le_bytes([header[8], header[9]]);
    if format > FORMAT {
        return Err(SegmentError::NewerFormat(format));
    }
    let u64_at = |offset: usize| u64::from_le_bytes(std::array::from_fn(|n| header[offset + n]));
    Ok(SegmentHeader {
        incarnation: u64_at(12),
        first_input: u64_at(20),
    })
}

/// The records of a segment one by one, up to its end or to where it is damaged.
#[derive(Debug)]
pub struct SegmentReader<'a> {
    /// Its header.
    pub header: SegmentHeader,
    bytes: &'a [u8],
    offset: usize,
    end: Option<SegmentEnd>,
}

impl SegmentReader<'_> {
    /// Reads the header of a segment; the records are read by iterating.
    ///
    /// # Errors
    ///
    /// The header cannot be read.
    pub fn open(bytes: &[u8]) -> Result<SegmentReader<'_>, SegmentError> {
        Ok(SegmentReader {
            header: read_header(bytes)?,
            bytes,
            offset: HEADER_BYTES,
            end: None,
        })
    }

    /// Why reading ended; none: it has not yet.
    #[must_use]
    pub fn end(&self) -> Option<&SegmentEnd> {
        self.end.as_ref()
    }

    /// Where the next record begins.
    #[must_use]
    pub fn offset(&self) -> u64 {
        self.offset as u64
    }
}

impl Iterator for SegmentReader<'_> {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        if self.end.is_some() {
            return None;
        }
        match frame::read(&self.bytes[self.offset..]) {
            Ok(Some(Frame {
                record,
                frame_bytes,
            })) => {
                self.offset += frame_bytes;
                Some(record)
            }
            Ok(None) => {
                self.end = Some(SegmentEnd::Complete);
                None
            }
            Err(error) => {
                self.end = Some(SegmentEnd::Damaged {
                    offset: self.offset as u64,
                    dropped_bytes: (self.bytes.len() - self.offset) as u64,
                    error,
                });
                None
            }
        }
    }
}
