//! Bodies that are kept for another try, and answers that are counted when they end.

use crate::out::Out;
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

pub(crate) fn full(text: impl Into<Bytes>) -> AnyBody {
    Full::new(text.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A req's body: whole and kept, or too long and sent on as it comes, once.
pub(crate) enum Sent {
    Kept(Bytes),
    Once(Option<AnyBody>),
}

impl Sent {
    /// Reads up to `most` bytes; what is longer is passed on unread behind them.
    ///
    /// Errors: the client breaks off, or its body cannot be read.
    pub(crate) async fn read(mut body: Incoming, most: usize) -> Result<Sent, hyper::Error> {
        let mut held = Vec::new();
        if body.size_hint().lower() > most as u64 {
            return Ok(Sent::Once(Some(
                body.map_err(BoxError::from).boxed_unsync(),
            )));
        }
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            held.extend_from_slice(&data);
            if held.len() > most {
                let first = Some(Bytes::from(held));
                return Ok(Sent::Once(Some(
                    Behind { first, rest: body }.boxed_unsync(),
                )));
            }
        }
        Ok(Sent::Kept(Bytes::from(held)))
    }

    pub(crate) fn is_kept(&self) -> bool {
        matches!(self, Sent::Kept(_))
    }

    /// The body for the next try; empty if it has been sent and was not kept.
    pub(crate) fn next(&mut self) -> AnyBody {
        match self {
            Sent::Kept(bytes) => full(bytes.clone()),
            Sent::Once(body) => body.take().unwrap_or_else(|| full(Bytes::new())),
        }
    }
}

/// What was read, then the rest as it comes.
struct Behind {
    first: Option<Bytes>,
    rest: Incoming,
}

impl Body for Behind {
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

/// A host's answer on its way to the client. The try is counted when it ends: done if all came, errored if the host
/// broke off or took too long, neither if the client went away.
pub(crate) struct Answer {
    body: Incoming,
    out: Option<Out>,
    late: Pin<Box<Sleep>>,
}

impl Answer {
    pub(crate) fn new(body: Incoming, out: Out, left: Duration) -> Answer {
        Answer {
            body,
            out: Some(out),
            late: Box::pin(sleep(left)),
        }
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if let Some(out) = self.out.take() {
            out.over(outcome);
        }
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = self.get_mut();
        match Pin::new(&mut this.body).poll_frame(cx) {
            Poll::Ready(None) => {
                this.end(AttemptOutcome::Success);
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(wrong))) => {
                this.end(AttemptOutcome::InDoubt);
                Poll::Ready(Some(Err(wrong.into())))
            }
            Poll::Ready(Some(Ok(frame))) => {
                if this.body.is_end_stream() {
                    this.end(AttemptOutcome::Success);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            // A head and never a body: the time limit is the whole req's.
            Poll::Pending => match this.late.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    this.end(AttemptOutcome::InDoubt);
                    Poll::Ready(Some(Err("the host's answer did not end in time".into())))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        // An answer without a body still has to be counted: it ends when it is asked for its end.
        self.out.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
