//! Forwarding a request to a host and returning the response.

use crate::attempt::Attempt;
use crate::body::{AnyBody, RequestBody, ResponseBody, full_body};
use crate::request_framing::FramingFlags;
use crate::shared_state::{SharedHandle, SharedState};
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

/// Response header by which a host states that it has not processed the request.
const UNPROCESSED_HEADER: &str = "x-never-ran";
/// Request header with the version of the table that the host was picked from.
const TABLE_VERSION_HEADER: &str = "x-pondarch-table";
/// Request header with the name of this proxy.
const PROXY_NAME_HEADER: &str = "x-pondarch-proxy";
/// Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Serves the requests of clients.
#[derive(Clone)]
pub(crate) struct Forwarder {
    pub(crate) shared: SharedHandle,
    pub(crate) client: Client<HttpConnector, AnyBody>,
    pub(crate) name: HeaderValue,
}

/// A request's position in the wait queue; dropping it removes the request from the queue.
struct QueuePosition<'a> {
    shared: &'a SharedState,
    number: u64,
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        self.shared.leave_queue(self.number);
    }
}

impl Forwarder {
    /// The response to a client's request.
    pub(crate) async fn serve(
        &self,
        request: Request<Incoming>,
        framing: Arc<FramingFlags>,
    ) -> Response<AnyBody> {
        if framing.ambiguous.load(Relaxed) {
            return with_connection_close(text_response(
                StatusCode::BAD_REQUEST,
                "the length of the body can be read in two ways\n",
            ));
        }
        let Some(class) = self
            .shared
            .classes
            .iter()
            .position(|class| matches_class(class, &request))
        else {
            return text_response(StatusCode::NOT_FOUND, "no request kind fits\n");
        };
        let admitted = self.shared.core().admit(self.shared.now(), class);
        let response = match admitted {
            Ok(admitted) => self.forward(request, admitted).await,
            Err(reason) => rejection_response(reason),
        };
        if framing.chunked.load(Relaxed) {
            with_connection_close(response)
        } else {
            response
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one loop over the attempts of a request"
    )]
    async fn forward(
        &self,
        request: Request<Incoming>,
        mut admitted: AdmittedRequest,
    ) -> Response<AnyBody> {
        let limits = self.shared.limits();
        let (head, body) = request.into_parts();
        let time_left = self.time_left(&admitted);
        let mut body = match timeout(
            time_left,
            RequestBody::read(body, limits.max_retained_body_bytes),
        )
        .await
        {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                return with_connection_close(text_response(
                    StatusCode::BAD_REQUEST,
                    "the body cannot be read\n",
                ));
            }
            Err(_) => {
                return with_connection_close(text_response(
                    StatusCode::REQUEST_TIMEOUT,
                    "the body did not come in time\n",
                ));
            }
        };
        admitted.progress.body_buffered = body.is_buffered();
        let mut tried_hosts: Vec<String> = Vec::new();
        let mut group: Option<String> = None;
        let mut last_status = StatusCode::SERVICE_UNAVAILABLE;
        loop {
            let Some(line) = self
                .pick_host(&admitted, &tried_hosts, group.as_deref())
                .await
            else {
                return if tried_hosts.is_empty() {
                    rejection_response(Rejected::QueueFull)
                } else {
                    text_response(last_status, "no further host\n")
                };
            };
            let time_left = self.time_left(&admitted);
            let attempt = self.start_attempt(&mut admitted, line.clone());
            let Some(upstream_request) = self.build_request(&head, &line, &admitted, body.next())
            else {
                attempt.finish(AttemptOutcome::Unprocessed);
                return text_response(StatusCode::BAD_REQUEST, "the req cannot be passed on\n");
            };
            let response_timeout = limits
                .response_timeout
                .map_or(time_left, |limit| limit.as_std().min(time_left));
            let (outcome, response) = match timeout(
                response_timeout,
                self.client.request(upstream_request),
            )
            .await
            {
                Err(_) => (AttemptOutcome::InDoubt, Err(StatusCode::GATEWAY_TIMEOUT)),
                Ok(Err(error)) => {
                    let not_sent = error.is_connect() || was_not_sent(&error);
                    debug!(host = line.host, wrong = %error, unsent = not_sent, "attempt failed");
                    let outcome = if not_sent {
                        AttemptOutcome::Unprocessed
                    } else {
                        AttemptOutcome::InDoubt
                    };
                    (outcome, Err(StatusCode::BAD_GATEWAY))
                }
                Ok(Ok(response)) if response.status().is_server_error() => {
                    let is_unprocessed = response.headers().contains_key(UNPROCESSED_HEADER);
                    (
                        if is_unprocessed {
                            AttemptOutcome::Unprocessed
                        } else {
                            AttemptOutcome::InDoubt
                        },
                        Ok(response),
                    )
                }
                Ok(Ok(response)) => (AttemptOutcome::Success, Ok(response)),
            };
            if let Ok(response) = &response
                && let Some(value) = response.headers().get(pondarch_load_report::HEADER)
            {
                let report = pondarch_load_report::Report::parse(value.to_str().unwrap_or(""));
                self.shared.core().record_load_report(
                    &line.host,
                    report.utilization,
                    report.queue_length,
                );
            }
            if outcome == AttemptOutcome::Success
                && let Ok(response) = response
            {
                return stream_response(response, attempt, self.time_left(&admitted));
            }
            match attempt.finish_or_retry(&mut admitted, outcome) {
                RetryDecision::Stop => {
                    return match response {
                        // The host's own error response; the attempt has ended, so its body is not counted any more.
                        Ok(response) => without_hop_by_hop_headers(
                            response.map(|body| body.map_err(Into::into).boxed_unsync()),
                        ),
                        Err(status) => text_response(status, "the host gave no answer\n"),
                    };
                }
                RetryDecision::AnyHost => group = None,
                RetryDecision::WithinGroup(required) => group = Some(required),
            }
            last_status = response.map_or_else(|status| status, |response| response.status());
            tried_hosts.push(line.host);
        }
    }

    /// The next host, after waiting in the queue if all hosts are at their limit; `None` if there is none in time.
    async fn pick_host(
        &self,
        admitted: &AdmittedRequest,
        tried_hosts: &[String],
        group: Option<&str>,
    ) -> Option<TableMembership> {
        loop {
            let now = self.shared.now();
            if now >= admitted.progress.deadline {
                return None;
            }
            let pick = self.shared.core().pick(now, admitted, tried_hosts, group);
            match pick {
                Pick::Host(line) => return Some(line),
                Pick::NoHost => return None,
                Pick::Wait => {}
            }
            let (position, released) = {
                // The core's lock is held until the waiter is registered: a host may get capacity at any moment, and
                // the release would find no waiter.
                let mut core = self.shared.core();
                let (number, offer) = core.offer_to_queue(now, admitted);
                let released = offer.queued.then(|| self.shared.register_waiter(number));
                drop(core);
                self.shared.wake(None, &offer.rejected);
                (
                    QueuePosition {
                        shared: &self.shared,
                        number,
                    },
                    released?,
                )
            };
            let outcome = timeout(self.time_left(admitted), released).await;
            drop(position);
            if !matches!(outcome, Ok(Ok(true))) {
                return None;
            }
        }
    }

    fn start_attempt(&self, admitted: &mut AdmittedRequest, line: TableMembership) -> Attempt {
        let now = self.shared.now();
        self.shared.core().attempt_sent(now, admitted, &line);
        Attempt::new(self.shared.clone(), admitted.clone(), line, now)
    }

    fn time_left(&self, admitted: &AdmittedRequest) -> Duration {
        admitted.progress.deadline - self.shared.now()
    }

    fn build_request(
        &self,
        head: &hyper::http::request::Parts,
        line: &TableMembership,
        admitted: &AdmittedRequest,
        body: AnyBody,
    ) -> Option<Request<AnyBody>> {
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let uri = Uri::builder()
            .scheme("http")
            .authority(line.address.to_string())
            .path_and_query(path)
            .build()
            .ok()?;
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = head.headers.clone();
        let headers = request.headers_mut();
        remove_hop_by_hop_headers(headers);
        // The client's `host` header is kept; the HTTP library would replace it with the address.
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_str(&line.address.to_string()).ok()?);
        }
        headers.insert(
            HeaderName::from_static(PROXY_NAME_HEADER),
            self.name.clone(),
        );
        let version = admitted.version.as_deref().unwrap_or("standing");
        headers.insert(
            HeaderName::from_static(TABLE_VERSION_HEADER),
            HeaderValue::from_str(version).ok()?,
        );
        Some(request)
    }
}

fn matches_class(
    class: &pondarch_config::proxy::ProxyRequestClass,
    request: &Request<Incoming>,
) -> bool {
    let header_value = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let path_matches = class
        .path_prefix
        .as_ref()
        .is_none_or(|prefix| request.uri().path().starts_with(prefix.as_str()));
    let host_matches = |host: &String| {
        header_value("host")
            .is_some_and(|requested| requested.split(':').next() == Some(host.as_str()))
    };
    let header_matches = |header: &pondarch_config::proxy::Header| {
        header_value(&header.name) == Some(header.value.as_str())
    };
    path_matches
        && class.host.as_ref().is_none_or(host_matches)
        && class.header.as_ref().is_none_or(header_matches)
}

/// Whether the HTTP library reports that the pooled connection closed before any of the request was written.
fn was_not_sent(error: &hyper_util::client::legacy::Error) -> bool {
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        if inner
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled)
        {
            return true;
        }
        cause = inner.source();
    }
    false
}

fn stream_response(
    response: Response<Incoming>,
    attempt: Attempt,
    time_left: Duration,
) -> Response<AnyBody> {
    let (head, body) = response.into_parts();
    let body = if body.is_end_stream() {
        attempt.finish(AttemptOutcome::Success);
        full_body("")
    } else {
        ResponseBody::new(body, attempt, time_left).boxed_unsync()
    };
    without_hop_by_hop_headers(Response::from_parts(head, body))
}

fn without_hop_by_hop_headers(mut response: Response<AnyBody>) -> Response<AnyBody> {
    remove_hop_by_hop_headers(response.headers_mut());
    response
}

/// Removes the hop-by-hop headers, and those that the header `connection` names.
fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| {
            value
                .split(',')
                .map(|name| name.trim().to_ascii_lowercase())
        })
        .collect();
    connection_options
        .iter()
        .for_each(|name| drop(headers.remove(name.as_str())));
    HOP_BY_HOP_HEADERS
        .iter()
        .for_each(|name| drop(headers.remove(*name)));
}

/// The response to a rejected request, with the time after which the client may retry.
fn rejection_response(reason: Rejected) -> Response<AnyBody> {
    let (status, retry_after, text) = match reason {
        Rejected::Fraction => (
            StatusCode::SERVICE_UNAVAILABLE,
            Duration::from_millis(1_000),
            "not let in: too much is asked\n",
        ),
        Rejected::Rate { retry_after } => (
            StatusCode::TOO_MANY_REQUESTS,
            retry_after,
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
    let mut response = text_response(status, text);
    let seconds = retry_after.micros().div_ceil(1_000_000).max(1);
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Response<AnyBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

fn with_connection_close(mut response: Response<AnyBody>) -> Response<AnyBody> {
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
