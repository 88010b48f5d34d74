//! One record as bytes: length, checksum, flags, and the record itself, packed if that makes it smaller.
//!
//! `length u32 | crc32 u32 | flags u8 | bytes`, numbers little-endian; the checksum is over flags and bytes.

use thiserror::Error;

/// Bytes before a record's own.
pub const HEAD: usize = 9;
/// Longest record as it stands in the file, and unpacked: anything longer is a broken length.
pub const LONGEST: usize = 64 << 20;
/// Records under this size are not worth packing.
const PACKED_FROM: usize = 256;
const PACKED: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    #[error("it ends within a record")]
    Torn,
    #[error("a record's checksum does not fit")]
    Checksum,
    #[error("a record of {0} bytes cannot be")]
    Length(usize),
    #[error("a record cannot be unpacked")]
    Packing,
}

/// Adds a record to `out`.
pub fn write(out: &mut Vec<u8>, record: &[u8]) {
    let packed = (record.len() >= PACKED_FROM).then(|| lz4_flex::compress_prepend_size(record));
    let (flags, bytes) = match &packed {
        Some(packed) if packed.len() < record.len() => (PACKED, packed.as_slice()),
        _ => (0, record),
    };
    out.extend((bytes.len() as u32).to_le_bytes());
    out.extend(checksum(flags, bytes).to_le_bytes());
    out.push(flags);
    out.extend(bytes);
}

/// Reads the record at the start of `bytes`; gives it and how long its frame is. None at the very end.
///
/// Errors: as `FrameError`.
pub fn read(bytes: &[u8]) -> Result<Option<(Vec<u8>, usize)>, FrameError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let Some((head, rest)) = bytes.split_at_checked(HEAD) else {
        return Err(FrameError::Torn);
    };
    let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let (len, crc, flags) = (word(0) as usize, word(4), head[8]);
    if len > LONGEST {
        return Err(FrameError::Length(len));
    }
    let Some(body) = rest.get(..len) else {
        return Err(FrameError::Torn);
    };
    if checksum(flags, body) != crc {
        return Err(FrameError::Checksum);
    }
    let record = match flags {
        0 => body.to_vec(),
        PACKED => {
            // The size stands first: it must not make us reserve what no record is.
            let size = body
                .first_chunk::<4>()
                .map_or(0, |size| u32::from_le_bytes(*size) as usize);
            if size > LONGEST {
                return Err(FrameError::Length(size));
            }
            lz4_flex::decompress_size_prepended(body).map_err(|_| FrameError::Packing)?
        }
        _ => return Err(FrameError::Packing),
    };
    Ok(Some((record, HEAD + len)))
}

fn checksum(flags: u8, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[flags]);
    hasher.update(bytes);
    hasher.finalize()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn what_is_written_is_read(records in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..900), 0..8), even: bool) {
            let mut bytes = Vec::new();
            let records: Vec<Vec<u8>> =
                records.into_iter().map(|r| if even { vec![7; r.len()] } else { r }).collect();
            records.iter().for_each(|record| write(&mut bytes, record));
            let (mut at, mut back) = (0, Vec::new());
            while let Some((record, len)) = read(&bytes[at..]).expect("whole") {
                back.push(record);
                at += len;
            }
            prop_assert_eq!(back, records);
        }

        /// Cut anywhere or with any bit flipped: never another record, never a panic.
        #[test]
        fn a_torn_or_flipped_record_is_never_taken(record in prop::collection::vec(0u8..4, 1..900), cut in any::<prop::sample::Index>(), bit in any::<prop::sample::Index>()) {
            let mut bytes = Vec::new();
            write(&mut bytes, &record);
            let cut = cut.index(bytes.len() - 1) + 1;
            if cut < bytes.len() {
                prop_assert_eq!(read(&bytes[..cut]), Err(FrameError::Torn));
            }
            let bit = bit.index(bytes.len() * 8);
            bytes[bit / 8] ^= 1 << (bit % 8);
            prop_assert!(read(&bytes).is_err());
        }

        #[test]
        fn any_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            read(&bytes).ok();
        }
    }
}
