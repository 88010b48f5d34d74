//! A plain proxy that knows no runtime API: it asks a resolver of its own, which holds answers for their whole lifetime and
//! a bit more, as caches do that count seconds; it picks by SRV weight (RFC 2782), and takes another host only where the
//! connection was refused, so that nothing was sent.

use crate::observations::{Fact, Facts, How};
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

/// How long a server may take to answer before it is asked again, and then the next one.
const ANSWERS_WITHIN: Duration = Duration::from_millis(150);
const ASKS: usize = 2;
/// An answer that could not be had is not asked for again before.
const ASKS_AGAIN: Duration = Duration::from_millis(100);
/// What a cache adds to a lifetime at most, by counting whole seconds.
const COUNTED: Duration = Duration::from_millis(1_000);
/// Hosts that are tried for one req at most, while connections are refused.
const PICKS: usize = 3;

/// A line as a cache holds it.
type Line = (String, SocketAddr, u16);

pub struct ByName {
    name: String,
    zone: String,
    /// Its name servers, the first asked first.
    servers: Vec<SocketAddr>,
    http: Http<HttpConnector, Empty<Bytes>>,
    /// By kind; asked for by one req while others wait.
    cache: BTreeMap<&'static str, tokio::sync::Mutex<Cached>>,
    chance: Mutex<fastrand::Rng>,
    asked: AtomicU64,
    joined: AtomicBool,
    facts: Facts,
}

#[derive(Default)]
struct Cached {
    lines: Vec<Line>,
    until: Option<Instant>,
}

impl ByName {
    pub fn new(
        name: &str,
        zone: &str,
        servers: Vec<SocketAddr>,
        kinds: &[&'static str],
        seed: u64,
        facts: Facts,
    ) -> ByName {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        ByName {
            name: name.into(),
            zone: zone.into(),
            servers,
            http: Http::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
            cache: kinds
                .iter()
                .map(|kind| (*kind, tokio::sync::Mutex::default()))
                .collect(),
            chance: Mutex::new(fastrand::Rng::with_seed(seed)),
            asked: AtomicU64::new(0),
            joined: AtomicBool::new(false),
            facts,
        }
    }

    /// Questions that went to a server.
    pub fn asked(&self) -> u64 {
        self.asked.load(Relaxed)
    }

    /// One req to its end.
    pub async fn send(
        &self,
        kind: &'static str,
        id: u64,
        work: Duration,
        client_timeout: Duration,
    ) -> How {
        let sent = async {
            let mut lines = self.lines(kind).await;
            for _ in 0..PICKS {
                let Some((_, addr, _)) = self.pick(&mut lines) else {
                    return How::Errored;
                };
                let built = Request::get(format!("http://{addr}/{kind}"))
                    .header("x-req", id)
                    .header("x-kind", kind)
                    .header("x-pondarch-proxy", &self.name)
                    .header("x-work-us", work.as_micros().to_string())
                    .body(Empty::new());
                let Ok(built) = built else {
                    return How::Errored;
                };
                match self.http.request(built).await {
                    Ok(answer) if answer.status().is_success() => {
                        let whole = answer.into_body().collect().await.is_ok();
                        return if whole { How::Done } else { How::Errored };
                    }
                    // Refused before anything was sent: RFC 2782 has the next one tried.
                    Err(wrong) if wrong.is_connect() => {}
                    _ => return How::Errored,
                }
            }
            How::Errored
        };
        timeout(client_timeout, sent).await.unwrap_or(How::Errored)
    }

    /// Draws by weight, and takes the line out.
    fn pick(&self, lines: &mut Vec<Line>) -> Option<Line> {
        let sum: u32 = lines.iter().map(|(_, _, weight)| u32::from(*weight)).sum();
        let mut at = self.chance().u32(0..sum.max(1));
        let drawn = lines.iter().position(|(_, _, weight)| {
            let here = at < u32::from(*weight);
            at = at.saturating_sub(u32::from(*weight));
            here
        })?;
        Some(lines.swap_remove(drawn))
    }

    /// The kind's lines as the cache has them, asked for if they ran out.
    async fn lines(&self, kind: &'static str) -> Vec<Line> {
        let Some(cached) = self.cache.get(kind) else {
            return Vec::new();
        };
        let mut cached = cached.lock().await;
        if cached.until.is_some_and(|until| Instant::now() < until) {
            return cached.lines.clone();
        }
        let begun = Instant::now();
        let (lines, held) = match self.ask(kind).await {
            Some(found) if !found.is_empty() => {
                let ttl = found
                    .iter()
                    .map(|service| service.lifetime_s)
                    .min()
                    .unwrap_or(0);
                let more = COUNTED.mul_f64(self.chance().f64());
                let lines = found.into_iter().filter_map(|service| {
                    let host = service.target.split(".hosts.").next()?.to_string();
                    Some((host, service.address?, service.weight))
                });
                (lines.collect(), Duration::from_secs(u64::from(ttl)) + more)
            }
            _ => (Vec::new(), ASKS_AGAIN),
        };
        // The lifetime counts from the question: the answer may have left at once.
        cached.until = Some(begun + held);
        if lines != cached.lines {
            let told = lines
                .iter()
                .map(|(host, _, weight): &Line| (host.clone(), *weight))
                .collect();
            self.facts.note(Fact::Lines {
                proxy: self.name.clone(),
                kind: kind.to_string(),
                lines: told,
            });
        }
        cached.lines = lines;
        cached.lines.clone()
    }

    /// Asks one server after the other; none: nobody answered.
    async fn ask(&self, kind: &str) -> Option<Vec<ServiceTarget>> {
        let name = format!("_{kind}._tcp.{}.{}", self.name, self.zone);
        for server in &self.servers {
            for _ in 0..ASKS {
                self.asked.fetch_add(1, Relaxed);
                let id = self.chance().u16(..);
                let question = encode_query(id, &name, "SRV").ok()?;
                let asked = timeout(ANSWERS_WITHIN, by_udp(*server, &question)).await;
                let answer = asked
                    .ok()
                    .flatten()
                    .and_then(|bytes| decode_services(id, &bytes).ok());
                let Some((answer, mut found)) = answer else {
                    continue;
                };
                if answer.truncated || found.iter().any(|service| service.address.is_none()) {
                    let asked = timeout(ANSWERS_WITHIN, by_tcp(*server, &question)).await;
                    let by_tcp = asked
                        .ok()
                        .flatten()
                        .and_then(|bytes| decode_services(id, &bytes).ok());
                    found = by_tcp.map(|(_, found)| found).unwrap_or(found);
                }
                self.link(true);
                return Some(found);
            }
        }
        self.link(false);
        None
    }

    /// It is joined while a steward answers it.
    fn link(&self, up: bool) {
        if self.joined.swap(up, Relaxed) != up {
            self.facts.note(Fact::Link {
                proxy: self.name.clone(),
                up,
            });
        }
    }

    fn chance(&self) -> MutexGuard<'_, fastrand::Rng> {
        self.chance.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn by_udp(server: SocketAddr, packet: &[u8]) -> Option<Vec<u8>> {
    let socket = UdpSocket::bind("127.0.0.1:0").await.ok()?;
    socket.connect(server).await.ok()?;
    socket.send(packet).await.ok()?;
    let mut bytes = vec![0; 4_096];
    let len = socket.recv(&mut bytes).await.ok()?;
    bytes.truncate(len);
    Some(bytes)
}

async fn by_tcp(server: SocketAddr, packet: &[u8]) -> Option<Vec<u8>> {
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
