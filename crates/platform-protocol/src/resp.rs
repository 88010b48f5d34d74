//! Strict decoder for RESP2 arrays of bulk strings: the first byte that cannot be part of such an array is an error.
//! Each bulk string is one word of a message.

use bytes::{Buf, BytesMut};
use std::ops::Range;
use thiserror::Error;
use tokio_util::codec::Decoder;

/// Maximum number of words in a message; a report has about 15.
const MAX_WORDS: usize = 64;
/// Maximum size of a header after its type byte, in bytes: digits and the line end.
const MAX_HEADER_BYTES: usize = 9;
const LINE_END: &[u8] = b"\r\n";

/// Why the received bytes are not a message.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum FrameError {
    /// A type byte is not that of an array or of a bulk string.
    #[error("not an array of bulk strings")]
    NotAnArray,
    /// A length is malformed or too large, or does not match the position of the line end.
    #[error("invalid length")]
    InvalidLength,
    /// The message exceeds this limit, in bytes.
    #[error("message exceeds {0} bytes")]
    TooLong(usize),
    /// A word is not valid UTF-8.
    #[error("word is not valid UTF-8")]
    NotUtf8,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Decodes messages of at most `max_message_bytes` into their words.
#[derive(Debug)]
pub struct RespCodec {
    /// Maximum size of a message, in bytes.
    pub max_message_bytes: usize,
}

impl Decoder for RespCodec {
    type Item = Vec<String>;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Vec<String>>, FrameError> {
        let Some(frame) = find_frame(src, self.max_message_bytes)? else {
            return Ok(None);
        };
        let text = |range: Range<usize>| {
            std::str::from_utf8(&src[range])
                .map(str::to_string)
                .map_err(|_| FrameError::NotUtf8)
        };
        let words = frame
            .words
            .into_iter()
            .map(text)
            .collect::<Result<Vec<String>, FrameError>>()?;
        src.advance(frame.end);
        Ok(Some(words))
    }

    /// Drops an incomplete message at the end of the stream.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Vec<String>>, FrameError> {
        let message = self.decode(src)?;
        if message.is_none() {
            src.clear();
        }
        Ok(message)
    }
}

/// The positions in the buffer of a message's words and of its end.
struct Frame {
    words: Vec<Range<usize>>,
    end: usize,
}

/// The number in a header, and the position of the header's end.
struct Header {
    value: usize,
    end: usize,
}

/// Finds the first message in the buffer. Returns `None` while it is incomplete.
fn find_frame(bytes: &[u8], max_message_bytes: usize) -> Result<Option<Frame>, FrameError> {
    let Some(array) = parse_header(bytes, 0, b'*')? else {
        return Ok(None);
    };
    if array.value == 0 || array.value > MAX_WORDS {
        return Err(FrameError::InvalidLength);
    }
    let mut words = Vec::with_capacity(array.value);
    let mut position = array.end;
    for _ in 0..array.value {
        let Some(word) = parse_header(bytes, position, b'$')? else {
            return Ok(None);
        };
        let word_end = word.end + word.value;
        position = word_end + LINE_END.len();
        if position > max_message_bytes {
            return Err(FrameError::TooLong(max_message_bytes));
        }
        let Some(closing) = bytes.get(word_end..position) else {
            return Ok(None);
        };
        if closing != LINE_END {
            return Err(FrameError::InvalidLength);
        }
        words.push(word.end..word_end);
    }
    Ok(Some(Frame {
        words,
        end: position,
    }))
}

/// Parses a type byte, digits and a line end. Returns `None` while they are incomplete.
fn parse_header(
    bytes: &[u8],
    position: usize,
    type_byte: u8,
) -> Result<Option<Header>, FrameError> {
    let Some(&first) = bytes.get(position) else {
        return Ok(None);
    };
    if first != type_byte {
        return Err(FrameError::NotAnArray);
    }
    let start = position + 1;
    let rest = &bytes[start..bytes.len().min(start + MAX_HEADER_BYTES)];
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    match rest.get(digits..) {
        Some([]) if digits < MAX_HEADER_BYTES => Ok(None),
        Some([b'\r']) if digits > 0 && digits + 1 < MAX_HEADER_BYTES => Ok(None),
        Some([b'\r', b'\n', ..]) if digits > 0 => Ok(Some(Header {
            value: rest[..digits]
                .iter()
                .fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0')),
            end: start + digits + LINE_END.len(),
        })),
        _ => Err(FrameError::InvalidLength),
    }
}

/// Encodes a message that consists of these words.
#[must_use]
pub fn encode_message(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}
