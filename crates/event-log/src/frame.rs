//! The frame around a record: length, checksum, flags, and the record, compressed if that makes it smaller.
//!
//! `length u32 | crc32 u32 | flags u8 | bytes`, numbers little-endian; the checksum covers the flags and the bytes.

use thiserror::Error;

/// Size of the frame header, which precedes the record.
pub const HEADER_BYTES: usize = 9;
/// Maximum size of a record, both as stored and decompressed. A greater length is treated as damage.
pub const MAX_RECORD_BYTES: usize = 64 << 20;
/// Minimum size of a record that is compressed; compressing a shorter one is not worth the time.
const MIN_COMPRESSED_BYTES: usize = 256;

const FLAGS_PLAIN: u8 = 0;
const FLAGS_COMPRESSED: u8 = 1;

/// The reason why a record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum FrameError {
    /// The bytes end before the end of the record.
    #[error("the file ends within a record")]
    Torn,
    /// The checksum does not match the bytes.
    #[error("a record does not match its checksum")]
    ChecksumMismatch,
    /// The length exceeds [`MAX_RECORD_BYTES`].
    #[error("a record length of {0} bytes exceeds the maximum")]
    TooLong(usize),
    /// The bytes cannot be decompressed, or the flags are unknown.
    #[error("a record cannot be decompressed or has unknown flags")]
    Undecodable,
}

/// A record read from its frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The decompressed record.
    pub record: Vec<u8>,
    /// Size of the frame in the file, including the header.
    pub frame_bytes: usize,
}

/// Appends a frame with this record to `out`.
pub fn write(out: &mut Vec<u8>, record: &[u8]) {
    let compressed =
        (record.len() >= MIN_COMPRESSED_BYTES).then(|| lz4_flex::compress_prepend_size(record));
    let (flags, bytes) = match &compressed {
        Some(compressed) if compressed.len() < record.len() => {
            (FLAGS_COMPRESSED, compressed.as_slice())
        }
        _ => (FLAGS_PLAIN, record),
    };
    out.extend((bytes.len() as u32).to_le_bytes());
    out.extend(checksum(flags, bytes).to_le_bytes());
    out.push(flags);
    out.extend(bytes);
}

/// Reads the record at the start of `bytes`; returns `None` if `bytes` is empty.
///
/// # Errors
///
/// The record is torn or damaged.
pub fn read(bytes: &[u8]) -> Result<Option<Frame>, FrameError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let Some((header, rest)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err(FrameError::Torn);
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3, flags] = *header;
    let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    let expected_checksum = u32::from_le_bytes([c0, c1, c2, c3]);
    if length > MAX_RECORD_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length) else {
        return Err(FrameError::Torn);
    };
    if checksum(flags, body) != expected_checksum {
        return Err(FrameError::ChecksumMismatch);
    }
    let record = match flags {
        FLAGS_PLAIN => body.to_vec(),
        FLAGS_COMPRESSED => decompress(body)?,
        _ => return Err(FrameError::Undecodable),
    };
    Ok(Some(Frame {
        record,
        frame_bytes: HEADER_BYTES + length,
    }))
}

fn decompress(body: &[u8]) -> Result<Vec<u8>, FrameError> {
    // The decompressed size comes first. It is checked so that a damaged size cannot allocate more than any record
    // takes.
    let size = body
        .first_chunk::<4>()
        .map_or(0, |size| u32::from_le_bytes(*size) as usize);
    if size > MAX_RECORD_BYTES {
        return Err(FrameError::TooLong(size));
    }
    // The error of the decompressor carries no more information than the variant.
    lz4_flex::decompress_size_prepended(body).map_err(|_| FrameError::Undecodable)
}

fn checksum(flags: u8, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[flags]);
    hasher.update(bytes);
    hasher.finalize()
}
