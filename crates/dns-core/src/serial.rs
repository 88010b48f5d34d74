//! Serial number arithmetic (RFC 1982).

/// Whether `serial` is newer than `other`; zone serials wrap around.
#[must_use]
pub fn is_newer(serial: u32, other: u32) -> bool {
    (serial.wrapping_sub(other) as i32) > 0
}
