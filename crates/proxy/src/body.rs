//! Request bodies that are buffered for retries, and response bodies that are counted when they end.

use crate::attempt::Attempt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use pondarch_proxy_core::retry::AttemptOutcome;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

pub(crate) type BoxError = Box<dyn std::error::Error + Send + Sync>;
pub(crate) type AnyBody = UnsyncBoxBody<Bytes, BoxError>;

pub(crate) fn full_body(text: impl Into<Bytes>) -> AnyBody {
    Full::new(text.into())
        .map_err(|infallible| match infallible {})
        .boxed_unsync()
}

/// A request body: buffered as a whole, or too long and streamed once.
pub(crate) enum RequestBody {
    Buffered(Bytes),
    Streamed(Option<AnyBody>),
}

impl RequestBody {
    /// Buffers a body of up to `max_bytes`; of a longer one, the rest is streamed after what was read.
    ///
    /// Errors: the client disconnects, or its body is malformed.
    pub(crate) async fn read(
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<RequestBody, hyper::Error> {
        let mut buffered = Vec::new();
        if body.size_hint().lower() > max_bytes as u64 {
            return Ok(RequestBody::Streamed(Some(
                body.map_err(BoxError::from).boxed_unsync(),
            )));
        }
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            buffered.extend_from_slice(&data);
            if buffered.len() > max_bytes {
                let first = Some(Bytes::from(buffered));
                return Ok(RequestBody::Streamed(Some(
                    PrefixedBody { first, rest: body }.boxed_unsync(),
                )));
            }
        }
        Ok(RequestBody::Buffered(Bytes::from(buffered)))
    }

    pub(crate) fn is_buffered(&self) -> bool {
        matches!(self, RequestBody::Buffered(_))
    }

    /// The body for the next attempt; empty if it was streamed before.
    pub(crate) fn next(&mut self) -> AnyBody {
        match self {
            RequestBody::Buffered(bytes) => full_body(bytes.clone()),
            RequestBody::Streamed(body) => body.take().unwrap_or_else(|| full_body(Bytes::new())),
        }
    }
}

/// The bytes that were read, followed by the rest of the stream.
struct PrefixedBody {
    first: Option<Bytes>,
    rest: Incoming,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut this.rest)
            .poll_frame(cx)
            .map_err(BoxError::from)
    }
}

/// The body of a host's response. The attempt is counted when the body ends: as a success if it is complete, as a
/// failure if the host breaks the connection or takes too long, as neither if the client disconnects.
pub(crate) struct ResponseBody {
    body: Incoming,
    attempt: Option<Attempt>,
    deadline: Pin<Box<Sleep>>,
}

impl ResponseBody {
    pub(crate) fn new(body: Incoming, attempt: Attempt, time_left: Duration) -> ResponseBody {
        ResponseBody {
            body,
            attempt: Some(attempt),
            deadline: Box::pin(sleep(time_left)),
        }
    }

    fn finish(&mut self, outcome: AttemptOutcome) {
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(outcome);
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(None) => {
                this.finish(AttemptOutcome::Success);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(error))) => {
                this.finish(AttemptOutcome::InDoubt);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if this.body.is_end_stream() {
                    this.finish(AttemptOutcome::Success);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            // A host may send a head and then never the body; the deadline is that of the whole request.
            Poll::Pending => match this.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    this.finish(AttemptOutcome::InDoubt);
                    Poll::Ready(Some(Err(
                        "the host's response did not end before the deadline".into(),
                    )))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        // A response without a body must be counted as well: it stays open until it is polled to its end.
        self.attempt.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
