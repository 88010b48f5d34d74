//! A simulated plain proxy without a runtime API. It resolves hosts through its own resolver, which caches answers
//! for their whole TTL and up to a second more, as caches do that count whole seconds. It picks a host by SRV weight
//! (RFC 2782) and tries another one only if the connection was refused, so that nothing was sent.

use crate::observations::{Observation, ObservationLog, RequestOutcome};
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pondarch_dns_server::client::{ServiceTarget, decode_services, encode_query};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{Instant, timeout};

/// Time that a name server has to answer before it is queried again; after `QUERIES_PER_SERVER` queries, the next one
/// is queried.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);
const QUERIES_PER_SERVER: usize = 2;
/// Time until the next query after a failed or empty one.
const FAILED_QUERY_CACHE_TIME: Duration = Duration::from_millis(100);
/// Maximum time that a cache adds to a TTL by counting whole seconds.
const MAX_TTL_ROUNDING: Duration = Duration::from_millis(1_000);
/// Maximum number of hosts tried for one request while connections are refused.
const MAX_ATTEMPTS: usize = 3;

/// A cached line of the table: host name, address, weight.
type CachedLine = (String, SocketAddr, u16);

/// A proxy that gets its hosts from DNS.
pub struct DnsProxy {
    name: String,
    zone: String,
    /// Its name servers, in the order in which they are queried.
    servers: Vec<SocketAddr>,
    http: Http<HttpConnector, Empty<Bytes>>,
    /// By request class. The lock lets one request query while others wait.
    cache: BTreeMap<&'static str, tokio::sync::Mutex<CachedAnswer>>,
    rng: Mutex<fastrand::Rng>,
    query_count: AtomicU64,
    reachable: AtomicBool,
    observations: ObservationLog,
}

#[derive(Default)]
struct CachedAnswer {
    lines: Vec<CachedLine>,
    expires_at: Option<Instant>,
}

impl DnsProxy {
    /// Creates a proxy that looks up `_<class>._tcp.<name>.<zone>` at these name servers.
    pub fn new(
        name: &str,
        zone: &str,
        servers: Vec<SocketAddr>,
        classes: &[&'static str],
        seed: u64,
        observations: ObservationLog,
    ) -> DnsProxy {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        DnsProxy {
            name: name.into(),
            zone: zone.into(),
            servers,
            http: Http::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
            cache: classes
                .iter()
                .map(|class| (*class, tokio::sync::Mutex::default()))
                .collect(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            query_count: AtomicU64::new(0),
            reachable: AtomicBool::new(false),
            observations,
        }
    }

    /// Number of queries sent to name servers.
    pub fn query_count(&self) -> u64 {
        self.query_count.load(Relaxed)
    }

    /// Sends one request and waits until it ends.
    pub async fn send(
        &self,
        class: &'static str,
        id: u64,
        work: Duration,
        client_timeout: Duration,
    ) -> RequestOutcome {
        let exchange = async {
            let mut lines = self.lines(class).await;
            for _ in 0..MAX_ATTEMPTS {
                let Some((_, addr, _)) = self.pick(&mut lines) else {
                    return RequestOutcome::Failed;
                };
                let request = Request::get(format!("http://{addr}/{class}"))
                    .header("x-req", id)
                    .header("x-kind", class)
                    .header("x-pondarch-proxy", &self.name)
                    .header("x-work-us", work.as_micros().to_string())
                    .body(Empty::new());
                let Ok(request) = request else {
                    return RequestOutcome::Failed;
                };
                match self.http.request(request).await {
                    Ok(response) if response.status().is_success() => {
                        let complete = response.into_body().collect().await.is_ok();
                        return if complete {
                            RequestOutcome::Succeeded
                        } else {
                            RequestOutcome::Failed
                        };
                    }
                    // Nothing was sent yet: RFC 2782 asks for an attempt at the next host.
                    Err(error) if error.is_connect() => {}
                    _ => return RequestOutcome::Failed,
                }
            }
            RequestOutcome::Failed
        };
        timeout(client_timeout, exchange)
            .await
            .unwrap_or(RequestOutcome::Failed)
    }

    /// Picks a line at random by weight and removes it.
    fn pick(&self, lines: &mut Vec<CachedLine>) -> Option<CachedLine> {
        let total_weight: u32 = lines.iter().map(|(_, _, weight)| u32::from(*weight)).sum();
        let mut point = self.rng().u32(0..total_weight.max(1));
        let index = lines.iter().position(|(_, _, weight)| {
            let selected = point < u32::from(*weight);
            point = point.saturating_sub(u32::from(*weight));
            selected
        })?;
        Some(lines.swap_remove(index))
    }

    /// The lines of a request class, from the cache or, if the cached answer has expired, from a new query.
    async fn lines(&self, class: &'static str) -> Vec<CachedLine> {
        let Some(cached) = self.cache.get(class) else {
            return Vec::new();
        };
        let mut cached = cached.lock().await;
        if cached
            .expires_at
            .is_some_and(|expires_at| Instant::now() < expires_at)
        {
            return cached.lines.clone();
        }
        let queried_at = Instant::now();
        let (lines, cache_time) = match self.query(class).await {
            Some(found) if !found.is_empty() => {
                let ttl = found
                    .iter()
                    .map(|service| service.lifetime_s)
                    .min()
                    .unwrap_or(0);
                let rounding = MAX_TTL_ROUNDING.mul_f64(self.rng().f64());
                let lines = found.into_iter().filter_map(|service| {
                    let host = service.target.split(".hosts.").next()?.to_string();
                    Some((host, service.address?, service.weight))
                });
                (
                    lines.collect(),
                    Duration::from_secs(u64::from(ttl)) + rounding,
                )
            }
            _ => (Vec::new(), FAILED_QUERY_CACHE_TIME),
        };
        // The TTL counts from the query, because the answer may have been sent right after it.
        cached.expires_at = Some(queried_at + cache_time);
        if lines != cached.lines {
            let weights = lines
                .iter()
                .map(|(host, _, weight): &CachedLine| (host.clone(), *weight))
                .collect();
            self.observations.record(Observation::TableChanged {
                proxy: self.name.clone(),
                class: class.to_string(),
                lines: weights,
            });
        }
        cached.lines = lines;
        cached.lines.clone()
    }

    /// Queries the name servers in order; `None` if none of them answered.
    async fn query(&self, class: &str) -> Option<Vec<ServiceTarget>> {
        let name = format!("_{class}._tcp.{}.{}", self.name, self.zone);
        for server in &self.servers {
            for _ in 0..QUERIES_PER_SERVER {
                self.query_count.fetch_add(1, Relaxed);
                let id = self.rng().u16(..);
                let query = encode_query(id, &name, "SRV").ok()?;
                let received = timeout(QUERY_TIMEOUT, query_udp(*server, &query)).await;
                let response = received
                    .ok()
                    .flatten()
                    .and_then(|bytes| decode_services(id, &bytes).ok());
                let Some((response, mut found)) = response else {
                    continue;
                };
                if response.truncated || found.iter().any(|service| service.address.is_none()) {
                    let received = timeout(QUERY_TIMEOUT, query_tcp(*server, &query)).await;
                    let tcp_response = received
                        .ok()
                        .flatten()
                        .and_then(|bytes| decode_services(id, &bytes).ok());
                    found = tcp_response.map(|(_, found)| found).unwrap_or(found);
                }
                self.set_reachable(true);
                return Some(found);
            }
        }
        self.set_reachable(false);
        None
    }

    /// The proxy counts as connected while a controller answers its queries.
    fn set_reachable(&self, reachable: bool) {
        if self.reachable.swap(reachable, Relaxed) != reachable {
            self.observations.record(Observation::ControllerConnection {
                proxy: self.name.clone(),
                connected: reachable,
            });
        }
    }

    fn rng(&self) -> MutexGuard<'_, fastrand::Rng> {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn query_udp(server: SocketAddr, packet: &[u8]) -> Option<Vec<u8>> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.ok()?;
    socket.connect(server).await.ok()?;
    socket.send(packet).await.ok()?;
    let mut bytes = vec![0; 4_096];
    let len = socket.recv(&mut bytes).await.ok()?;
    bytes.truncate(len);
    Some(bytes)
}

async fn query_tcp(server: SocketAddr, packet: &[u8]) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(server).await.ok()?;
    let len = u16::try_from(packet.len()).ok()?;
    stream
        .write_all(&[&len.to_be_bytes(), packet].concat())
        .await
        .ok()?;
    let len = stream.read_u16().await.ok()?;
    let mut bytes = vec![0; usize::from(len)];
    stream.read_exact(&mut bytes).await.ok()?;
    Some(bytes)
}
