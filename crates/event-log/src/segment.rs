//! A segment: a file of records with a head that says which run wrote it and where it stands in the run.
//!
//! `magic 8 | format u16 | zero u16 | epoch u64 | first u64 | crc32 u32`, numbers little-endian.

use crate::frame::{self, FrameError};
use thiserror::Error;

const MAGIC: [u8; 8] = *b"PONDREC\n";
/// Rises when older programs could not read what is written. Fields that are added do not change it: records name
/// their fields.
pub const FORMAT: u16 = 1;
pub const HEAD: usize = 32;

/// What a segment is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The run that wrote it.
    pub epoch: u64,
    /// Number of its first input.
    pub first: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SegmentError {
    #[error("it is no file of records")]
    Foreign,
    #[error(
        "it has format {0}, and this program reads {FORMAT}: use the program that wrote it, or a newer one"
    )]
    Newer(u16),
    #[error("its head is torn or its checksum does not fit")]
    Head,
}

/// Why reading a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// At its end.
    Whole,
    /// At a record that is torn or broken: so many bytes from there on were dropped.
    At {
        offset: u64,
        dropped: u64,
        why: FrameError,
    },
}

pub fn write_head(head: &Head) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD);
    bytes.extend(MAGIC);
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend([0, 0]);
    bytes.extend(head.epoch.to_le_bytes());
    bytes.extend(head.first.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

/// Errors: as `SegmentError`.
pub fn read_head(bytes: &[u8]) -> Result<Head, SegmentError> {
    if !bytes.starts_with(&MAGIC) {
        return Err(if MAGIC.starts_with(bytes) {
            SegmentError::Head
        } else {
            SegmentError::Foreign
        });
    }
    let Some(head) = bytes.first_chunk::<HEAD>() else {
        return Err(SegmentError::Head);
    };
    let crc = u32::from_le_bytes([head[28], head[29], head[30], head[31]]);
    if crc32fast::hash(&head[..28]) != crc {
        return Err(SegmentError::Head);
    }
    let format = u16::from_le_bytes([head[8], head[9]]);
    if format > FORMAT {
        return Err(SegmentError::Newer(format));
    }
    let long = |at: usize| u64::from_le_bytes(std::array::from_fn(|n| head[at + n]));
    Ok(Head {
        epoch: long(12),
        first: long(20),
    })
}

/// The records of a segment, one by one, up to its end or where it is torn.
pub struct Segment<'a> {
    pub head: Head,
    bytes: &'a [u8],
    at: usize,
    end: Option<End>,
}

impl Segment<'_> {
    /// Errors: the head is not one that can be read.
    pub fn open(bytes: &[u8]) -> Result<Segment<'_>, SegmentError> {
        Ok(Segment {
            head: read_head(bytes)?,
            bytes,
            at: HEAD,
            end: None,
        })
    }

    /// Why it ended; none: it has not yet.
    pub fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }

    /// Where the next record begins.
    pub fn offset(&self) -> u64 {
        self.at as u64
    }
}

impl Iterator for Segment<'_> {
    type Item = Vec<u8>;

    fn next(&mut self) -> Option<Vec<u8>> {
        if self.end.is_some() {
            return None;
        }
        match frame::read(&self.bytes[self.at..]) {
            Ok(Some((record, len))) => {
                self.at += len;
                Some(record)
            }
            Ok(None) => {
                self.end = Some(End::Whole);
                None
            }
            Err(why) => {
                let dropped = (self.bytes.len() - self.at) as u64;
                self.end = Some(End::At {
                    offset: self.at as u64,
                    dropped,
                    why,
                });
                None
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn heads_are_told_apart() {
        let head = Head {
            epoch: 7,
            first: 99,
        };
        let bytes = write_head(&head);
        assert_eq!(read_head(&bytes), Ok(head));
        assert_eq!(
            read_head(b"nonsense that is long enough for a head"),
            Err(SegmentError::Foreign)
        );
        for cut in 0..HEAD {
            assert_eq!(read_head(&bytes[..cut]), Err(SegmentError::Head));
        }
        let mut newer = bytes[..28].to_vec();
        newer[8] = 2;
        let crc = crc32fast::hash(&newer);
        newer.extend(crc.to_le_bytes());
        assert_eq!(read_head(&newer), Err(SegmentError::Newer(2)));
        let mut flipped = bytes;
        flipped[14] ^= 1;
        assert_eq!(read_head(&flipped), Err(SegmentError::Head));
    }
}
