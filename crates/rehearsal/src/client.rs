//! An open-loop HTTP client: it sends requests of each class at random times, whether or not earlier ones have been
//! answered.

use crate::dns_proxy::DnsProxy;
use crate::observations::{Observation, ObservationLog, RequestOutcome};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Maximum number of requests that one client has in flight. At this limit it waits until one ends, which bounds the
/// resources that a rehearsal uses.
const MAX_IN_FLIGHT: usize = 4_000;

/// A request class as clients send it.
#[derive(Clone, Debug)]
pub struct RequestClass {
    pub name: &'static str,
    /// Fraction of all requests.
    pub share: f64,
    pub work: Duration,
    pub latency_objective: Duration,
    pub client_timeout: Duration,
    pub priority_weight: f64,
    pub replayable: bool,
}

/// An HTTP client of one proxy.
#[derive(Clone)]
pub struct Client {
    http: Http<HttpConnector, Empty<Bytes>>,
    proxy: SocketAddr,
}

impl Client {
    /// Creates a client that sends to this proxy and does not retry.
    pub fn new(proxy: SocketAddr) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Client { http, proxy }
    }

    /// Sends one request and waits until it ends.
    pub async fn send(
        &self,
        class: &str,
        id: u64,
        work: Duration,
        client_timeout: Duration,
    ) -> RequestOutcome {
        let request = Request::get(format!("http://{}/{class}", self.proxy))
            .header("x-req", id)
            .header("x-kind", class)
            .header("x-work-us", work.as_micros().to_string())
            .body(Empty::new());
        let Ok(request) = request else {
            return RequestOutcome::Failed;
        };
        let exchange = async {
            let response = self.http.request(request).await.ok()?;
            let (status, retry_later) = (
                response.status(),
                response.headers().contains_key("retry-after"),
            );
            response.into_body().collect().await.ok()?;
            Some(match status.is_success() {
                true => RequestOutcome::Succeeded,
                false if retry_later => RequestOutcome::Rejected,
                false => RequestOutcome::Failed,
            })
        };
        tokio::time::timeout(client_timeout, exchange)
            .await
            .ok()
            .flatten()
            .unwrap_or(RequestOutcome::Failed)
    }
}

/// Where a client sends its requests.
#[derive(Clone)]
pub enum LoadTarget {
    Proxy(Client),
    /// Through a plain proxy that resolves its hosts through DNS.
    Dns(Arc<DnsProxy>),
}

impl LoadTarget {
    async fn send(
        &self,
        class: &'static str,
        id: u64,
        work: Duration,
        client_timeout: Duration,
    ) -> RequestOutcome {
        match self {
            LoadTarget::Proxy(client) => client.send(class, id, work, client_timeout).await,
            LoadTarget::Dns(proxy) => proxy.send(class, id, work, client_timeout).await,
        }
    }
}

/// Sends `rate` requests per second to one proxy until `until`, then waits for the last one to end.
pub async fn generate_load(
    target: LoadTarget,
    classes: Vec<RequestClass>,
    rate: f64,
    until: Instant,
    next_id: Arc<AtomicU64>,
    seed: u64,
    observations: ObservationLog,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut in_flight = JoinSet::new();
    let mut next_send = Instant::now();
    loop {
        // Exponential intervals, as of many independent clients.
        next_send += Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / rate).min(5.0));
        if next_send >= until {
            break;
        }
        sleep_until(next_send).await;
        while in_flight.try_join_next().is_some() {}
        if in_flight.len() >= MAX_IN_FLIGHT {
            in_flight.join_next().await;
        }
        let mut point = rng.f64() * classes.iter().map(|class| class.share).sum::<f64>();
        let drawn = classes.iter().find(|class| {
            point -= class.share;
            point < 0.0
        });
        let Some(class) = drawn.or(classes.last()).cloned() else {
            return;
        };
        let id = next_id.fetch_add(1, Relaxed);
        // The work of requests varies by up to 20 % either way.
        let work = class.work.mul_f64(0.8 + 0.4 * rng.f64());
        let (target, observations) = (target.clone(), observations.clone());
        in_flight.spawn(async move {
            let (sent_at, name) = (Instant::now(), class.name.to_string());
            observations.record(Observation::RequestSent {
                class: name.clone(),
                request_id: id,
            });
            let outcome = target
                .send(class.name, id, work, class.client_timeout)
                .await;
            observations.record(Observation::RequestCompleted {
                class: name,
                request_id: id,
                outcome,
                latency: sent_at.elapsed(),
            });
        });
    }
    while in_flight.join_next().await.is_some() {}
}
