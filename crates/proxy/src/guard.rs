//! Refuses heads whose length can be read in two ways: two lengths, or a length and chunks (RFC 9112, section 6.3;
//! the shapes of req smuggling). The HTTP library drops a length beside chunks without a word; here the bytes are
//! looked at on their way to it.
//!
//! A body of stated length is passed by; after a chunked one the connection is closed with its answer, as the next
//! head could not be told from the body without decoding it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Headers of one req at most; the library has the same limit.
const HEADERS_MOST: usize = 100;

/// What was seen on a connection.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) ambiguous: AtomicBool,
    pub(crate) chunked: AtomicBool,
}

/// Looks at heads as their bytes pass.
#[derive(Debug)]
pub(crate) struct Heads {
    seen: Arc<Seen>,
    most: usize,
    at: At,
}

#[derive(Debug)]
enum At {
    Head(Vec<u8>),
    Body(u64),
    /// Nothing more can be told; the connection ends with the answer, or the library refuses it.
    Blind,
}

impl Heads {
    pub(crate) fn new(most: usize) -> Heads {
        Heads {
            seen: Arc::default(),
            most,
            at: At::Head(Vec::new()),
        }
    }

    pub(crate) fn seen(&self) -> Arc<Seen> {
        self.seen.clone()
    }

    pub(crate) fn pass(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.at {
                At::Blind => return,
                At::Body(left) => {
                    let here = (*left).min(bytes.len() as u64);
                    *left -= here;
                    bytes = &bytes[here as usize..];
                    if *left == 0 {
                        self.at = At::Head(Vec::new());
                    }
                }
                At::Head(head) => {
                    let (before, from) = (head.len(), head.len().saturating_sub(3));
                    head.extend_from_slice(bytes);
                    // Empty lines before a head count for nothing.
                    let end = head[from..]
                        .windows(4)
                        .position(|four| four == b"\r\n\r\n")
                        .map(|at| from + at + 4);
                    let Some(end) = end else {
                        if head.len() > self.most {
                            self.at = At::Blind;
                        }
                        return;
                    };
                    bytes = &bytes[end - before..];
                    let head = head[..end].to_vec();
                    self.at = self.judged(&head);
                }
            }
        }
    }

    fn judged(&self, head: &[u8]) -> At {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut req = httparse::Request::new(&mut headers);
        if !matches!(req.parse(head), Ok(httparse::Status::Complete(_))) {
            // The library reads it by the same rules and refuses it.
            return At::Blind;
        }
        let named = |name: &'static str| {
            req.headers
                .iter()
                .filter(move |h| h.name.eq_ignore_ascii_case(name))
        };
        let lengths: Vec<&[u8]> = named("content-length").map(|header| header.value).collect();
        let codings: Vec<&[u8]> = named("transfer-encoding")
            .map(|header| header.value)
            .collect();
        match (&lengths[..], &codings[..]) {
            ([], []) => At::Head(Vec::new()),
            ([length], []) => {
                match std::str::from_utf8(length)
                    .ok()
                    .filter(|l| l.bytes().all(|b| b.is_ascii_digit()))
                {
                    Some(length) => match length.parse() {
                        Ok(0) => At::Head(Vec::new()),
                        Ok(length) => At::Body(length),
                        Err(_) => self.ambiguous(),
                    },
                    None => self.ambiguous(),
                }
            }
            ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => {
                self.seen.chunked.store(true, Relaxed);
                At::Blind
            }
            _ => self.ambiguous(),
        }
    }

    fn ambiguous(&self) -> At {
        self.seen.ambiguous.store(true, Relaxed);
        At::Blind
    }
}

/// A stream whose heads are looked at.
#[derive(Debug)]
pub(crate) struct Guarded<S> {
    stream: S,
    heads: Heads,
}

impl<S> Guarded<S> {
    pub(crate) fn new(stream: S, heads: Heads) -> Guarded<S> {
        Guarded { stream, heads }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Guarded<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &read {
            this.heads.pass(&buf.filled()[before..]);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Guarded<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn seen(text: &str, piece: usize) -> (bool, bool) {
        let mut heads = Heads::new(4096);
        text.as_bytes()
            .chunks(piece)
            .for_each(|bytes| heads.pass(bytes));
        (
            heads.seen.ambiguous.load(Relaxed),
            heads.seen.chunked.load(Relaxed),
        )
    }

    #[test]
    fn shapes() {
        let head = |lines: &str| format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
        for piece in [1, 7, 1000] {
            assert_eq!(seen(&head(""), piece), (false, false));
            assert_eq!(seen(&head("content-length: 3\r\n"), piece), (false, false));
            assert_eq!(
                seen(&head("Transfer-Encoding: Chunked\r\n"), piece),
                (false, true)
            );
            assert!(seen(&head("content-length: 3\r\ncontent-length: 3\r\n"), piece).0);
            assert!(
                seen(
                    &head("content-length: 3\r\ntransfer-encoding: chunked\r\n"),
                    piece
                )
                .0
            );
            assert!(
                seen(
                    &head("transfer-encoding: chunked\r\nContent-Length: 3\r\n"),
                    piece
                )
                .0
            );
            assert!(seen(&head("transfer-encoding: chunked, identity\r\n"), piece).0);
            assert!(seen(&head("content-length: +3\r\n"), piece).0);
            assert!(seen(&head("content-length: 3, 3\r\n"), piece).0);
            // The second req of a connection, after a body that looks like a head.
            let body = head("content-length: 9\r\ncontent-length: 9\r\n");
            let first = format!(
                "{}{body}",
                head(&format!("content-length: {}\r\n", body.len()))
            );
            assert_eq!(seen(&first, piece), (false, false));
            assert!(seen(&format!("{first}{body}"), piece).0);
        }
    }

    proptest! {
        #[test]
        fn any_bytes_pass(bytes in prop::collection::vec(any::<u8>(), 0..3_000), piece in 1..99usize) {
            let mut heads = Heads::new(1024);
            bytes.chunks(piece).for_each(|bytes| heads.pass(bytes));
            if let At::Head(head) = &heads.at {
                prop_assert!(head.len() <= 1024 + 99);
            }
        }
    }
}
