//! Framing on a stream of bytes, for server and client. Neither buffers much more than its stated limit.

use bytes::{Buf, BufMut, BytesMut};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

/// Maximum length of a line that a server accepts, in bytes: the management guide's default of `tune.bufsize`, within
/// which a line must fit.
pub const MAX_LINE_BYTES: usize = 16 * 1024;
/// Maximum length of a reply that a client accepts, in bytes: that of `show stat` with some 20,000 servers.
pub const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Why a stream can be read no further. A server sends the text of these errors to its peer.
#[derive(Debug, Error)]
pub enum CodecError {
    /// A line exceeds [`MAX_LINE_BYTES`].
    #[error("a line is longer than {0} bytes")]
    LineTooLong(usize),
    /// A reply exceeds [`MAX_REPLY_BYTES`].
    #[error("an answer is longer than {0} bytes")]
    ReplyTooLong(usize),
    /// A reply is not UTF-8.
    #[error("the peer sent bytes that are not UTF-8")]
    NotUtf8,
    /// The connection failed.
    #[error("the connection broke: {0}")]
    Io(#[from] std::io::Error),
}

/// A line as a server decodes it.
#[derive(Debug, PartialEq, Eq)]
pub enum ServerFrame {
    /// The line without its end.
    Line(String),
    /// The line is not UTF-8. The server replies with an error and reads on.
    NotUtf8,
}

/// The server side: decodes lines, encodes replies that are already framed.
#[derive(Debug, Default)]
pub struct ServerCodec {
    /// Bytes at the start of the buffer that have no end of a line or reply.
    scanned: usize,
}

impl Decoder for ServerCodec {
    type Item = ServerFrame;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<ServerFrame>, CodecError> {
        let Some(end) = src[self.scanned..]
            .iter()
            .position(|&b| b == b'\n')
            .map(|at| at + self.scanned)
        else {
            self.scanned = src.len();
            return if src.len() > MAX_LINE_BYTES {
                Err(CodecError::LineTooLong(MAX_LINE_BYTES))
            } else {
                Ok(None)
            };
        };
        self.scanned = 0;
        let line = src.split_to(end + 1);
        if end > MAX_LINE_BYTES {
            return Err(CodecError::LineTooLong(MAX_LINE_BYTES));
        }
        let line = line[..end].strip_suffix(b"\r").unwrap_or(&line[..end]);
        Ok(Some(
            std::str::from_utf8(line)
                .map_or(ServerFrame::NotUtf8, |l| ServerFrame::Line(l.to_string())),
        ))
    }

    /// A last line without a line end is complete too: shell tools may write to the socket without one.
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

/// A reply as it is sent: its text, then an empty line. Empty lines in the text would end the reply early and are left
/// out.
pub fn framed_reply(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    for line in text.lines().filter(|line| !line.is_empty()) {
        out.push_str(line);
        out.push('\n');
    }
    out.push('\n');
    out
}

/// The client side: encodes lines of commands, decodes one reply for each command.
#[derive(Debug, Default)]
pub struct ClientCodec {
    /// Bytes at the start of the buffer that have no end of a line or reply.
    scanned: usize,
}

impl Decoder for ClientCodec {
    /// The text of the reply, without the empty line that ends it.
    type Item = String;
    type Error = CodecError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<String>, CodecError> {
        // A prompt may precede a reply, whether the client asked for prompts or not.
        while src.starts_with(b"> ") && self.scanned == 0 {
            src.advance(2);
        }
        if src.starts_with(b"\n") {
            src.advance(1);
            self.scanned = 0;
            return Ok(Some(String::new()));
        }
        let Some(end) = src[self.scanned..]
            .windows(2)
            .position(|pair| pair == b"\n\n")
        else {
            self.scanned = src.len().saturating_sub(1);
            let too_long = src.len() > MAX_REPLY_BYTES;
            return if too_long {
                Err(CodecError::ReplyTooLong(MAX_REPLY_BYTES))
            } else {
                Ok(None)
            };
        };
        let text = src.split_to(self.scanned + end + 2);
        self.scanned = 0;
        let text = std::str::from_utf8(&text[..text.len() - 2]).map_err(|_| CodecError::NotUtf8)?;
        Ok(Some(text.to_string()))
    }

    /// Drops an incomplete reply at the end of the stream.
    fn decode_eof(&mut self, src: &mut BytesMut) -> Result<Option<String>, CodecError> {
        let reply = self.decode(src)?;
        if reply.is_none() {
            src.clear();
        }
        Ok(reply)
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
