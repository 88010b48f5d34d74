//! One req on its way to a host and back.

use crate::body::{Answer, AnyBody, Sent, full};
use crate::guard::Seen;
use crate::out::Out;
use crate::shared::{Shared, Together};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use pondarch_controller::DurationExt;
use pondarch_proxy_core::admission::Rejected;
use pondarch_proxy_core::proxy_core::{AdmittedRequest, Pick};
use pondarch_proxy_core::retry::{AttemptOutcome, RetryDecision};
use pondarch_proxy_core::routing_table::TableMembership;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::time::timeout;
use tracing::debug;

/// A host's explicit word that a req never ran.
const NEVER_RAN: &str = "x-never-ran";
/// Tells the host which table it was picked from, and by whom.
const TABLE: &str = "x-pondarch-table";
const PROXY: &str = "x-pondarch-proxy";
/// Headers of one hop (RFC 9110, section 7.6.1).
const HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

#[derive(Clone)]
pub(crate) struct Carrier {
    pub(crate) shared: Together,
    pub(crate) client: Client<HttpConnector, AnyBody>,
    pub(crate) name: HeaderValue,
}

/// A req's place in the line, left when it is dropped.
struct Place<'a> {
    shared: &'a Shared,
    number: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.shared.leave_line(self.number);
    }
}

impl Carrier {
    pub(crate) async fn serve(&self, req: Request<Incoming>, seen: Arc<Seen>) -> Response<AnyBody> {
        if seen.ambiguous.load(Relaxed) {
            return closing(said(
                StatusCode::BAD_REQUEST,
                "the length of the body can be read in two ways\n",
            ));
        }
        let Some(kind) = self.shared.kinds.iter().position(|kind| fits(kind, &req)) else {
            return said(StatusCode::NOT_FOUND, "no request kind fits\n");
        };
        let arrived = self.shared.obey().admit(self.shared.now(), kind);
        let answer = match arrived {
            Ok(arrival) => self.carry(req, arrival).await,
            Err(denied) => refusal(denied),
        };
        if seen.chunked.load(Relaxed) {
            closing(answer)
        } else {
            answer
        }
    }

    async fn carry(
        &self,
        req: Request<Incoming>,
        mut arrival: AdmittedRequest,
    ) -> Response<AnyBody> {
        let limits = self.shared.limits();
        let (head, body) = req.into_parts();
        let left = self.left(&arrival);
        let mut body = match timeout(left, Sent::read(body, limits.max_retained_body_bytes)).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                return closing(said(StatusCode::BAD_REQUEST, "the body cannot be read\n"));
            }
            Err(_) => {
                return closing(said(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not come in time\n",
                ));
            }
        };
        arrival.progress.body_buffered = body.is_kept();
        let mut tried: Vec<String> = Vec::new();
        let mut within: Option<String> = None;
        let mut last = StatusCode::SERVICE_UNAVAILABLE;
        loop {
            let Some(line) = self.host(&arrival, &tried, within.as_deref()).await else {
                return if tried.is_empty() {
                    refusal(Rejected::QueueFull)
                } else {
                    said(last, "no further host\n")
                };
            };
            let left = self.left(&arrival);
            let out = self.sent(&mut arrival, line.clone());
            let Some(built) = self.built(&head, &line, &arrival, body.next()) else {
                out.over(AttemptOutcome::Unprocessed);
                return said(StatusCode::BAD_REQUEST, "the req cannot be passed on\n");
            };
            let head_within = limits
                .response_timeout
                .map_or(left, |limit| limit.as_std().min(left));
            let (outcome, answer) = match timeout(head_within, self.client.request(built)).await {
                Err(_) => (AttemptOutcome::InDoubt, Err(StatusCode::GATEWAY_TIMEOUT)),
                Ok(Err(wrong)) => {
                    let unsent = wrong.is_connect() || is_unsent(&wrong);
                    debug!(host = line.host, %wrong, unsent, "try failed");
                    let outcome = if unsent {
                        AttemptOutcome::Unprocessed
                    } else {
                        AttemptOutcome::InDoubt
                    };
                    (outcome, Err(StatusCode::BAD_GATEWAY))
                }
                Ok(Ok(answer)) if answer.status().is_server_error() => {
                    let never = answer.headers().contains_key(NEVER_RAN);
                    (
                        if never {
                            AttemptOutcome::Unprocessed
                        } else {
                            AttemptOutcome::InDoubt
                        },
                        Ok(answer),
                    )
                }
                Ok(Ok(answer)) => (AttemptOutcome::Success, Ok(answer)),
            };
            if let Ok(answer) = &answer
                && let Some(told) = answer.headers().get(pondarch_load_report::HEADER)
            {
                let report = pondarch_load_report::Report::read(told.to_str().unwrap_or(""));
                self.shared
                    .obey()
                    .record_load_report(&line.host, report.busy, report.queue);
            }
            if outcome == AttemptOutcome::Success
                && let Ok(answer) = answer
            {
                return passed_on(answer, out, self.left(&arrival));
            }
            match out.failed(&mut arrival, outcome) {
                RetryDecision::Stop => {
                    return match answer {
                        // The host's own words; its body is not counted any more.
                        Ok(answer) => {
                            strip(answer.map(|body| body.map_err(Into::into).boxed_unsync()))
                        }
                        Err(status) => said(status, "the host gave no answer\n"),
                    };
                }
                RetryDecision::AnyHost => within = None,
                RetryDecision::WithinGroup(group) => within = Some(group),
            }
            last = answer.map_or_else(|status| status, |answer| answer.status());
            tried.push(line.host);
        }
    }

    /// The next host, after waiting for room if need be.
    async fn host(
        &self,
        arrival: &AdmittedRequest,
        tried: &[String],
        within: Option<&str>,
    ) -> Option<TableMembership> {
        loop {
            let now = self.shared.now();
            if now >= arrival.progress.deadline {
                return None;
            }
            let picked = self.shared.obey().pick(now, arrival, tried, within);
            match picked {
                Pick::Host(line) => return Some(line),
                Pick::NoHost => return None,
                Pick::Wait => {}
            }
            let (place, waits) = {
                // Offered and entered under one lock: a host may get room at any moment.
                let mut obey = self.shared.obey();
                let (number, offered) = obey.offer_to_queue(now, arrival);
                let waits = offered.queued.then(|| self.shared.wait(number));
                drop(obey);
                self.shared.wake(None, &offered.rejected);
                (
                    Place {
                        shared: &self.shared,
                        number,
                    },
                    waits?,
                )
            };
            let again = timeout(self.left(arrival), waits).await;
            drop(place);
            if !matches!(again, Ok(Ok(true))) {
                return None;
            }
        }
    }

    fn sent(&self, arrival: &mut AdmittedRequest, line: TableMembership) -> Out {
        let now = self.shared.now();
        self.shared.obey().attempt_sent(now, arrival, &line);
        Out::new(self.shared.clone(), arrival.clone(), line, now)
    }

    fn left(&self, arrival: &AdmittedRequest) -> Duration {
        arrival.progress.deadline - self.shared.now()
    }

    fn built(
        &self,
        head: &hyper::http::request::Parts,
        line: &TableMembership,
        arrival: &AdmittedRequest,
        body: AnyBody,
    ) -> Option<Request<AnyBody>> {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder()
            .scheme("http")
            .authority(line.address.to_string())
            .path_and_query(path)
            .build()
            .ok()?;
        let mut req = Request::new(body);
        *req.method_mut() = head.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = head.headers.clone();
        let headers = req.headers_mut();
        without_hop(headers);
        // The client's own word for the host is kept; the library would write the address.
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_str(&line.address.to_string()).ok()?);
        }
        headers.insert(HeaderName::from_static(PROXY), self.name.clone());
        let version = arrival.version.as_deref().unwrap_or("standing");
        headers.insert(
            HeaderName::from_static(TABLE),
            HeaderValue::from_str(version).ok()?,
        );
        Some(req)
    }
}

fn fits(kind: &pondarch_config::proxy::ProxyRequestClass, req: &Request<Incoming>) -> bool {
    let text = |name: &str| {
        req.headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let path = kind
        .path_prefix
        .as_ref()
        .is_none_or(|prefix| req.uri().path().starts_with(prefix.as_str()));
    let named = |host: &String| {
        text("host").is_some_and(|own| own.split(':').next() == Some(host.as_str()))
    };
    let header =
        |header: &pondarch_config::proxy::Header| text(&header.name) == Some(header.value.as_str());
    path && kind.host.as_ref().is_none_or(named) && kind.header.as_ref().is_none_or(header)
}

/// Whether the library says that nothing of the req was written: the pooled connection was closed just then.
fn is_unsent(wrong: &hyper_util::client::legacy::Error) -> bool {
    let mut source = std::error::Error::source(wrong);
    while let Some(inner) = source {
        if inner
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled)
        {
            return true;
        }
        source = inner.source();
    }
    false
}

fn passed_on(answer: Response<Incoming>, out: Out, left: Duration) -> Response<AnyBody> {
    let (head, body) = answer.into_parts();
    let body = if body.is_end_stream() {
        out.over(AttemptOutcome::Success);
        full("")
    } else {
        Answer::new(body, out, left).boxed_unsync()
    };
    strip(Response::from_parts(head, body))
}

fn strip(mut answer: Response<AnyBody>) -> Response<AnyBody> {
    without_hop(answer.headers_mut());
    answer
}

/// Takes away the headers of this hop, and those that `connection` names.
fn without_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| {
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase())
        })
        .collect();
    named
        .iter()
        .for_each(|name| drop(headers.remove(name.as_str())));
    HOP.iter().for_each(|name| drop(headers.remove(*name)));
}

/// Refused at once, with when to come again.
fn refusal(denied: Rejected) -> Response<AnyBody> {
    let (status, after, text) = match denied {
        Rejected::Fraction => (
            StatusCode::SERVICE_UNAVAILABLE,
            Duration::from_millis(1_000),
            "not let in: too much is asked\n",
        ),
        Rejected::Rate { retry_after: after } => (
            StatusCode::TOO_MANY_REQUESTS,
            after,
            "not let in: too many a second\n",
        ),
        Rejected::QueueFull => (
            StatusCode::SERVICE_UNAVAILABLE,
            Duration::from_millis(1_000),
            "too many wait\n",
        ),
        Rejected::NoHost => (
            StatusCode::SERVICE_UNAVAILABLE,
            Duration::from_millis(1_000),
            "no host is ready\n",
        ),
    };
    let mut answer = said(status, text);
    let seconds = after.micros().div_ceil(1_000_000).max(1);
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    answer
}

fn said(status: StatusCode, text: &'static str) -> Response<AnyBody> {
    let mut answer = Response::new(full(text));
    *answer.status_mut() = status;
    answer
}

fn closing(mut answer: Response<AnyBody>) -> Response<AnyBody> {
    answer
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
