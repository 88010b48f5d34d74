//! Reading and writing segment headers.

use pondarch_event_log::segment::{HEADER_BYTES, read_header, write_header};
use pondarch_event_log::{SegmentError, SegmentHeader};

#[test]
fn foreign_torn_newer_and_damaged_headers_are_distinguished() {
    let header = SegmentHeader {
        incarnation: 7,
        first_input: 99,
    };
    let bytes = write_header(&header);
    assert_eq!(read_header(&bytes), Ok(header));
    assert_eq!(
        read_header(b"nonsense that is long enough for a head"),
        Err(SegmentError::NotASegment)
    );
    for cut in 0..HEADER_BYTES {
        assert_eq!(read_header(&bytes[..cut]), Err(SegmentError::DamagedHeader));
    }
    let mut newer = bytes[..28].to_vec();
    newer[8] = 2;
    let checksum = crc32fast::hash(&newer);
    newer.extend(checksum.to_le_bytes());
    assert_eq!(read_header(&newer), Err(SegmentError::NewerFormat(2)));
    let mut flipped = bytes;
    flipped[14] ^= 1;
    assert_eq!(read_header(&flipped), Err(SegmentError::DamagedHeader));
}
