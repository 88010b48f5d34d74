//! Detects requests whose body length is ambiguous: more than one `content-length`, or one beside a `transfer-encoding`
//! (RFC 9112, section 6.3). Such requests are used for request smuggling. The HTTP library silently ignores a length
//! beside chunked encoding, so the bytes are inspected on their way to it.
//!
//! A body of known length is skipped. After a chunked body the connection is closed with the response, as the next head
//! cannot be found without decoding the body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most headers of one request; the HTTP library has the same limit.
const MAX_HEADERS: usize = 100;

/// What was detected on a connection.
#[derive(Debug, Default)]
pub(crate) struct FramingFlags {
    /// A request with an ambiguous length.
    pub(crate) ambiguous: AtomicBool,
    /// A request with a chunked body.
    pub(crate) chunked: AtomicBool,
}

/// Inspects the request heads of one connection.
#[derive(Debug)]
pub(crate) struct HeadScanner {
    flags: Arc<FramingFlags>,
    max_head_bytes: usize,
    state: ScanState,
}

/// Where in the byte stream the scanner is.
#[derive(Debug)]
enum ScanState {
    /// In a head, with its bytes so far.
    Head(Vec<u8>),
    /// In a body, with the number of bytes that remain.
    Body(u64),
    /// Further heads cannot be found: the connection is closed with the response, or the HTTP library rejects the
    /// request.
    Stopped,
}

impl HeadScanner {
    pub(crate) fn new(max_head_bytes: usize) -> HeadScanner {
        HeadScanner {
            flags: Arc::default(),
            max_head_bytes,
            state: ScanState::Head(Vec::new()),
        }
    }

    /// What is detected on this connection.
    pub(crate) fn flags(&self) -> Arc<FramingFlags> {
        self.flags.clone()
    }

    /// Inspects the next bytes of the connection.
    pub(crate) fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.state {
                ScanState::Stopped => return,
                ScanState::Body(remaining) => {
                    let skipped = (*remaining).min(bytes.len() as u64);
                    *remaining -= skipped;
                    bytes = &bytes[skipped as usize..];
                    if *remaining == 0 {
                        self.state = ScanState::Head(Vec::new());
                    }
                }
                ScanState::Head(head) => {
                    let (old_len, search_from) = (head.len(), head.len().saturating_sub(3));
                    head.extend_from_slice(bytes);
                    // The parser skips an empty line before a head; two are parsed as an incomplete head, which ends
                    // the scan.
                    let end = head[search_from..]
                        .windows(4)
                        .position(|window| window == b"\r\n\r\n")
                        .map(|position| search_from + position + 4);
                    let Some(end) = end else {
                        if head.len() > self.max_head_bytes {
                            self.state = ScanState::Stopped;
                        }
                        return;
                    };
                    bytes = &bytes[end - old_len..];
                    let head = head[..end].to_vec();
                    self.state = self.read_framing(&head);
                }
            }
        }
    }

    fn read_framing(&self, head: &[u8]) -> ScanState {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if !matches!(request.parse(head), Ok(httparse::Status::Complete(_))) {
            // The HTTP library parses it by the same rules and rejects it.
            return ScanState::Stopped;
        }
        let headers_named = |name: &'static str| {
            request
                .headers
                .iter()
                .filter(move |header| header.name.eq_ignore_ascii_case(name))
        };
        let lengths: Vec<&[u8]> = headers_named("content-length")
            .map(|header| header.value)
            .collect();
        let codings: Vec<&[u8]> = headers_named("transfer-encoding")
            .map(|header| header.value)
            .collect();
        match (&lengths[..], &codings[..]) {
            ([], []) => ScanState::Head(Vec::new()),
            ([length], []) => {
                match std::str::from_utf8(length)
                    .ok()
                    .filter(|length| length.bytes().all(|b| b.is_ascii_digit()))
                {
                    Some(length) => match length.parse() {
                        Ok(0) => ScanState::Head(Vec::new()),
                        Ok(length) => ScanState::Body(length),
                        Err(_) => self.stop_as_ambiguous(),
                    },
                    None => self.stop_as_ambiguous(),
                }
            }
            ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => {
                self.flags.chunked.store(true, Relaxed);
                ScanState::Stopped
            }
            _ => self.stop_as_ambiguous(),
        }
    }

    fn stop_as_ambiguous(&self) -> ScanState {
        self.flags.ambiguous.store(true, Relaxed);
        ScanState::Stopped
    }
}

/// A stream whose request heads are inspected as they are read.
#[derive(Debug)]
pub(crate) struct ScannedStream<S> {
    stream: S,
    scanner: HeadScanner,
}

impl<S> ScannedStream<S> {
    pub(crate) fn new(stream: S, scanner: HeadScanner) -> ScannedStream<S> {
        ScannedStream { stream, scanner }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ScannedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let old_len = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(())) = &read {
            this.scanner.scan(&buf.filled()[old_len..]);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ScannedStream<S> {
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

    fn scan_text(text: &str, chunk_size: usize) -> (bool, bool) {
        let mut scanner = HeadScanner::new(4096);
        text.as_bytes()
            .chunks(chunk_size)
            .for_each(|bytes| scanner.scan(bytes));
        (
            scanner.flags.ambiguous.load(Relaxed),
            scanner.flags.chunked.load(Relaxed),
        )
    }

    #[test]
    fn ambiguous_and_chunked_lengths_are_detected() {
        let head = |lines: &str| format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n");
        for chunk_size in [1, 7, 1000] {
            assert_eq!(scan_text(&head(""), chunk_size), (false, false));
            assert_eq!(
                scan_text(&head("content-length: 3\r\n"), chunk_size),
                (false, false)
            );
            assert_eq!(
                scan_text(&head("Transfer-Encoding: Chunked\r\n"), chunk_size),
                (false, true)
            );
            assert!(
                scan_text(
                    &head("content-length: 3\r\ncontent-length: 3\r\n"),
                    chunk_size
                )
                .0
            );
            assert!(
                scan_text(
                    &head("content-length: 3\r\ntransfer-encoding: chunked\r\n"),
                    chunk_size
                )
                .0
            );
            assert!(
                scan_text(
                    &head("transfer-encoding: chunked\r\nContent-Length: 3\r\n"),
                    chunk_size
                )
                .0
            );
            assert!(
                scan_text(
                    &head("transfer-encoding: chunked, identity\r\n"),
                    chunk_size
                )
                .0
            );
            assert!(scan_text(&head("content-length: +3\r\n"), chunk_size).0);
            assert!(scan_text(&head("content-length: 3, 3\r\n"), chunk_size).0);
            // The second request of a connection, after a body that looks like a head.
            let body = head("content-length: 9\r\ncontent-length: 9\r\n");
            let first = format!(
                "{}{body}",
                head(&format!("content-length: {}\r\n", body.len()))
            );
            assert_eq!(scan_text(&first, chunk_size), (false, false));
            assert!(scan_text(&format!("{first}{body}"), chunk_size).0);
        }
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_stay_within_the_head_limit(bytes in prop::collection::vec(any::<u8>(), 0..3_000), chunk_size in 1..99usize) {
            let mut scanner = HeadScanner::new(1024);
            bytes.chunks(chunk_size).for_each(|bytes| scanner.scan(bytes));
            if let ScanState::Head(head) = &scanner.state {
                prop_assert!(head.len() <= 1024 + 99);
            }
        }
    }
}
