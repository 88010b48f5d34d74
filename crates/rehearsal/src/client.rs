//! A paced client: reqs of each kind at drawn times over HTTP, whether the former ones are answered or not.

use crate::dns_proxy::ByName;
use crate::observations::{Fact, Facts, How};
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

/// Reqs of one client that may be under way; it asks no more until one ends, so that a rehearsal stays bounded.
const OPEN_MOST: usize = 4_000;

/// One request kind as clients ask for it.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// Part of all reqs.
    pub share: f64,
    pub work: Duration,
    pub response_target: Duration,
    pub client_timeout: Duration,
    pub benefit: f64,
    pub replayable: bool,
}

/// Clients of one proxy.
#[derive(Clone)]
pub struct Client {
    http: Http<HttpConnector, Empty<Bytes>>,
    proxy: SocketAddr,
}

impl Client {
    pub fn new(proxy: SocketAddr) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Client { http, proxy }
    }

    /// One req to its end.
    pub async fn send(&self, kind: &str, id: u64, work: Duration, client_timeout: Duration) -> How {
        let built = Request::get(format!("http://{}/{kind}", self.proxy))
            .header("x-req", id)
            .header("x-kind", kind)
            .header("x-work-us", work.as_micros().to_string())
            .body(Empty::new());
        let Ok(built) = built else {
            return How::Errored;
        };
        let asked = async {
            let answer = self.http.request(built).await.ok()?;
            let (status, later) = (
                answer.status(),
                answer.headers().contains_key("retry-after"),
            );
            answer.into_body().collect().await.ok()?;
            Some(match status.is_success() {
                true => How::Done,
                false if later => How::Denied,
                false => How::Errored,
            })
        };
        tokio::time::timeout(client_timeout, asked)
            .await
            .ok()
            .flatten()
            .unwrap_or(How::Errored)
    }
}

/// Which way reqs go.
#[derive(Clone)]
pub enum Way {
    Proxy(Client),
    /// By a plain proxy that takes its hosts from DNS.
    Names(Arc<ByName>),
}

impl Way {
    async fn send(
        &self,
        kind: &'static str,
        id: u64,
        work: Duration,
        client_timeout: Duration,
    ) -> How {
        match self {
            Way::Proxy(client) => client.send(kind, id, work, client_timeout).await,
            Way::Names(proxy) => proxy.send(kind, id, work, client_timeout).await,
        }
    }
}

/// Asks `rate` reqs a second of one proxy until `until`, then waits for the last to end.
pub async fn ask(
    way: Way,
    kinds: Vec<Kind>,
    rate: f64,
    until: Instant,
    ids: Arc<AtomicU64>,
    seed: u64,
    facts: Facts,
) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut open = JoinSet::new();
    let mut next = Instant::now();
    loop {
        // Times between reqs as they come from many clients that do not know of each other.
        next += Duration::from_secs_f64((-(1.0 - chance.f64()).ln() / rate).min(5.0));
        if next >= until {
            break;
        }
        sleep_until(next).await;
        while open.try_join_next().is_some() {}
        if open.len() >= OPEN_MOST {
            open.join_next().await;
        }
        let mut at = chance.f64() * kinds.iter().map(|kind| kind.share).sum::<f64>();
        let drawn = kinds.iter().find(|kind| {
            at -= kind.share;
            at < 0.0
        });
        let Some(kind) = drawn.or(kinds.last()).cloned() else {
            return;
        };
        let id = ids.fetch_add(1, Relaxed);
        // A fifth either way, as jobs differ.
        let work = kind.work.mul_f64(0.8 + 0.4 * chance.f64());
        let (way, facts) = (way.clone(), facts.clone());
        open.spawn(async move {
            let (asked, name) = (Instant::now(), kind.name.to_string());
            facts.note(Fact::Asked {
                kind: name.clone(),
                req: id,
            });
            let how = way.send(kind.name, id, work, kind.client_timeout).await;
            facts.note(Fact::Ended {
                kind: name,
                req: id,
                how,
                took: asked.elapsed(),
            });
        });
    }
    while open.join_next().await.is_some() {}
}
