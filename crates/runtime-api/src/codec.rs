//! Framing on a stream of bytes, for both ends. Nothing held ever grows past the stated limits.

use bytes::{Buf, BufMut, BytesMut};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

/// Longest line a server takes, in bytes (the guide's `tune.bufsize` default, within which a line must fit).
pub const LINE_MOST: usize = 16 * 1024;
/// Longest answer a client takes, in bytes: `show stat` of some 20,000 servers.
pub const ANSWER_MOST: usize = 8 * 1024 * 1024;

#[derive(Debug, Error)]
pub enum CodecError {
    #[error("a line is longer than {0} bytes")]
    LineTooLong(usize),
    #[error("an answer is longer than {0} bytes")]
    AnswerTooLong(usize),
    #[error("the peer sent bytes that are not UTF-8")]
    NotUtf8,
    #[error("the connection broke: {0}")]
    Io(#[from] std::io::Error),
}

/// What a server reads.
#[derive(Debug, PartialEq, Eq)]
pub enum ServerFrame {
    Line(String),
    /// Not UTF-8: to be answered with an error; the stream goes on.
    Garbled,
}

/// A server's end: decodes lines, encodes answers as they are to be written.
#[derive(Debug, Default)]
pub struct ServerCodec {
    searched: usize,
}

impl Decoder for ServerCodec {
    type Item = ServerFrame;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<ServerFrame>, CodecError> {
        let Some(end) = src[self.searched..]
            .iter()
            .position(|&b| b == b'\n')
            .map(|at| at + self.searched)
        else {
            self.searched = src.len();
            return if src.len() > LINE_MOST {
                Err(CodecError::LineTooLong(LINE_MOST))
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let line = src.split_to(end + 1);
        if end > LINE_MOST {
            return Err(CodecError::LineTooLong(LINE_MOST));
        }
        let line = line[..end].strip_suffix(b"\r").unwrap_or(&line[..end]);
        Ok(Some(
            std::str::from_utf8(line)
                .map_or(ServerFrame::Garbled, |l| ServerFrame::Line(l.to_string())),
        ))
    }

    /// A last line without its end still counts, as for any shell tool that writes to the socket.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<ServerFrame>, CodecError> {
        if !src.is_empty() && !src.contains(&b'\n') {
            src.put_u8(b'\n');
        }
        self.decode(src)
    }
}

impl Encoder<String> for ServerCodec {
    type Error = CodecError;

    fn encode(&mut self, text: String, dst: &mut BytesMut) -> Result<(), CodecError> {
        dst.reserve(text.len());
        dst.put_slice(text.as_bytes());
        Ok(())
    }
}

/// An answer as it stands on the wire: its text, then an empty line. Empty lines within would end it early and
/// are left out.
pub fn framed_answer(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    for line in text.lines().filter(|line| !line.is_empty()) {
        out.push_str(line);
        out.push('\n');
    }
    out.push('\n');
    out
}

/// A client's end: encodes lines of commands, decodes one answer for each command.
#[derive(Debug, Default)]
pub struct ClientCodec {
    searched: usize,
}

impl Decoder for ClientCodec {
    /// The answer's text, without the empty line that ends it.
    type Item = String;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<String>, CodecError> {
        // A prompt may stand before an answer, whether asked for or not.
        while src.starts_with(b"> ") && self.searched == 0 {
            src.advance(2);
        }
        if src.starts_with(b"\n") {
            src.advance(1);
            self.searched = 0;
            return Ok(Some(String::new()));
        }
        let Some(end) = src[self.searched..]
            .windows(2)
            .position(|pair| pair == b"\n\n")
        else {
            self.searched = src.len().saturating_sub(1);
            let long = src.len() > ANSWER_MOST;
            return if long {
                Err(CodecError::AnswerTooLong(ANSWER_MOST))
            } else {
                Ok(None)
            };
        };
        let text = src.split_to(self.searched + end + 2);
        self.searched = 0;
        let text = std::str::from_utf8(&text[..text.len() - 2]).map_err(|_| CodecError::NotUtf8)?;
        Ok(Some(text.to_string()))
    }

    /// Half an answer at the end of the stream is no answer.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<String>, CodecError> {
        let answer = self.decode(src)?;
        if answer.is_none() {
            src.clear();
        }
        Ok(answer)
    }
}

impl Encoder<String> for ClientCodec {
    type Error = CodecError;

    fn encode(&mut self, line: String, dst: &mut BytesMut) -> Result<(), CodecError> {
        dst.reserve(line.len() + 1);
        dst.put_slice(line.as_bytes());
        dst.put_u8(b'\n');
        Ok(())
    }
}
