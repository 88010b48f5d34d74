//! Frames: written records are read back, and a damaged frame is never read as a record.

use pondarch_event_log::frame::{self, FrameError};
use proptest::prelude::*;

proptest! {
    #[test]
    fn written_records_are_read_back(
        records in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..900), 0..8),
        is_compressible: bool,
    ) {
        let mut bytes = Vec::new();
        let records: Vec<Vec<u8>> = records
            .into_iter()
            .map(|record| if is_compressible { vec![7; record.len()] } else { record })
            .collect();
        for record in &records {
            frame::write(&mut bytes, record);
        }
        let mut offset = 0;
        let mut read_back = Vec::new();
        while let Some(frame) = frame::read(&bytes[offset..]).expect("an undamaged frame") {
            read_back.push(frame.record);
            offset += frame.frame_bytes;
        }
        prop_assert_eq!(read_back, records);
    }

    /// A frame that is cut at any byte or has any bit flipped is an error, never a record and never a panic.
    #[test]
    fn a_torn_or_bit_flipped_record_is_an_error(
        record in prop::collection::vec(0u8..4, 1..900),
        cut in any::<prop::sample::Index>(),
        bit in any::<prop::sample::Index>(),
    ) {
        let mut bytes = Vec::new();
        frame::write(&mut bytes, &record);
        let cut = cut.index(bytes.len() - 1) + 1;
        if cut < bytes.len() {
            prop_assert_eq!(frame::read(&bytes[..cut]), Err(FrameError::Torn));
        }
        let bit = bit.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert!(frame::read(&bytes).is_err());
    }

    #[test]
    fn reading_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        frame::read(&bytes).ok();
    }
}
