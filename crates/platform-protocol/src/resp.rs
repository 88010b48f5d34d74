//! RESP2 arrays of bulk strings, read strictly: the first byte that cannot belong to one ends the stream.

use bytes::{Buf, BytesMut};
use thiserror::Error;
use tokio_util::codec::Decoder;

/// Words in a message: a report has some fifteen.
const WORDS_MOST: usize = 64;
/// A header's digits and its line end.
const HEADER_MOST: usize = 9;

#[derive(Debug, Error)]
pub enum FrameError {
    #[error("not an array of bulk strings")]
    NotAnArray,
    #[error("a length that cannot be")]
    Length,
    #[error("longer than {0} bytes")]
    TooLong(usize),
    #[error("a word that is not UTF-8")]
    NotUtf8,
    #[error("the connection broke: {0}")]
    Io(#[from] std::io::Error),
}

/// Reads messages of at most `limit` bytes.
#[derive(Debug)]
pub struct WordsCodec {
    pub limit: usize,
}

impl Decoder for WordsCodec {
    type Item = Vec<String>;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Vec<String>>, FrameError> {
        let Some((spans, end)) = words(src, self.limit)? else {
            return Ok(None);
        };
        let text = |&(from, to): &(usize, usize)| {
            std::str::from_utf8(&src[from..to])
                .map(str::to_string)
                .map_err(|_| FrameError::NotUtf8)
        };
        let read = spans
            .iter()
            .map(text)
            .collect::<Result<Vec<String>, FrameError>>()?;
        src.advance(end);
        Ok(Some(read))
    }

    /// Half a message at the end of the stream is none.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<Vec<String>>, FrameError> {
        let message = self.decode(src)?;
        if message.is_none() {
            src.clear();
        }
        Ok(message)
    }
}

/// Where each word of the first message stands, and where that ends; none while it is not all there.
type Spans = (Vec<(usize, usize)>, usize);

fn words(bytes: &[u8], limit: usize) -> Result<Option<Spans>, FrameError> {
    let Some((count, mut at)) = header(bytes, 0, b'*')? else {
        return Ok(None);
    };
    if count == 0 || count > WORDS_MOST {
        return Err(FrameError::Length);
    }
    let mut spans = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((length, from)) = header(bytes, at, b'$')? else {
            return Ok(None);
        };
        let end = from + length;
        if end + 2 > limit {
            return Err(FrameError::TooLong(limit));
        }
        let Some(closing) = bytes.get(end..end + 2) else {
            return Ok(None);
        };
        if closing != b"\r\n" {
            return Err(FrameError::Length);
        }
        spans.push((from, end));
        at = end + 2;
    }
    Ok(Some((spans, at)))
}

/// A type byte, digits and a line end: the figure, and where it ends.
fn header(bytes: &[u8], at: usize, kind: u8) -> Result<Option<(usize, usize)>, FrameError> {
    let Some(&first) = bytes.get(at) else {
        return Ok(None);
    };
    if first != kind {
        return Err(FrameError::NotAnArray);
    }
    let rest = &bytes[at + 1..bytes.len().min(at + 1 + HEADER_MOST)];
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    match rest.get(digits..) {
        Some([]) if digits < HEADER_MOST => Ok(None),
        Some([b'\r']) if digits > 0 && digits + 1 < HEADER_MOST => Ok(None),
        Some([b'\r', b'\n', ..]) if digits > 0 => {
            let figure = rest[..digits]
                .iter()
                .fold(0, |sum, digit| sum * 10 + usize::from(digit - b'0'));
            Ok(Some((figure, at + 1 + digits + 2)))
        }
        _ => Err(FrameError::Length),
    }
}

/// A message as it stands on the wire.
pub fn message(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    out
}
