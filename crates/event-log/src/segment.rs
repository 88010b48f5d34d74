//! A segment: a file of records whose header has the incarnation of the run and the number of its first input.
//!
//! `magic 8 | format u16 | zero u16 | epoch u64 | first u64 | crc32 u32`, numbers little-endian.

use crate::frame::{self, Frame, FrameError};
use thiserror::Error;

const MAGIC: [u8; 8] = *b"PONDREC\n";
/// Format version, raised when older programs could not read the new records. Added fields do not raise it, because
/// records carry the names of their fields.
pub const FORMAT: u16 = 1;
/// Size of the segment header.
pub const HEADER_BYTES: usize = 32;
/// Size of the part of the header that its checksum covers.
const CHECKED_BYTES: usize = HEADER_BYTES - 4;

/// The header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Incarnation of the program that wrote the segment; `epoch` in the file format.
    pub incarnation: u64,
    /// Number, within the run, of the first input in the segment.
    pub first_input: u64,
}

/// The reason why a segment cannot be read at all.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SegmentError {
    /// The file does not begin with the magic number of a segment.
    #[error("not an event log segment")]
    NotASegment,
    /// A newer program wrote the segment, in a format that this one cannot read.
    #[error(
        "the segment has format {0}, but this program reads format {FORMAT}: use the program that wrote it, or a newer one"
    )]
    NewerFormat(u16),
    /// The segment header is torn or damaged.
    #[error("the segment header is torn or does not match its checksum")]
    DamagedHeader,
}

/// The reason why reading a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentEnd {
    /// The whole segment was read.
    Complete,
    /// A record is torn or damaged.
    Damaged {
        /// Offset of that record in the file.
        offset: u64,
        /// Number of bytes from `offset` to the end of the file, which were not read.
        dropped_bytes: u64,
        /// The damage to the record.
        error: FrameError,
    },
}

/// Encodes a segment header.
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

/// Reads the segment header at the start of `bytes`.
///
/// # Errors
///
/// `bytes` does not begin with a header that this program can read.
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

/// Iterates over the records of a segment, up to its end or the first damaged record.
#[derive(Debug)]
pub struct SegmentReader<'a> {
    /// Header of the segment.
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

    /// Returns why reading ended; `None` while there may be more records.
    #[must_use]
    pub fn end(&self) -> Option<&SegmentEnd> {
        self.end.as_ref()
    }

    /// Returns the offset of the next record.
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
