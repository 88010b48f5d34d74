//! The own proxy under a recorded stream: does it send the parts that were published, does it ever apply an older
//! table over a newer one, and what does it cost beside a direct connection.

use crate::bad_day::{RehearsalError, ask};
use crate::client::Kind;
use crate::endpoint_list::{Entry, List, spawn, write_settings};
use crate::observations::{Facts, Listed};
use crate::request_trace::{self, Recorded};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo};
use minijinja::{Environment, context};
use serde::Serialize;
use serde_json::json;
use statrs::distribution::{ChiSquared, ContinuousCDF};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

/// Reqs under way at one time at most.
const OPEN_MOST: usize = 256;
/// Connections of the speed trial, each asking again as soon as it is answered.
const ASKING: usize = 32;
/// Idle connections that are opened to see what one costs.
const IDLE: usize = 500;

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub reqs: usize,
    pub rate: f64,
    pub hosts: usize,
    pub versions: usize,
    pub speed_for: Duration,
}

impl Plan {
    pub fn of(reqs: usize, seed: u64) -> Plan {
        Plan {
            seed,
            reqs,
            rate: 5_000.0,
            hosts: 20,
            versions: 6,
            speed_for: Duration::from_secs(3),
        }
    }
}

/// One published version and what hosts saw of it.
#[derive(Clone, Debug, Serialize)]
pub struct Published {
    pub version: u64,
    pub reqs: u64,
    /// Largest difference of a host's part of the reqs from its part of the weights.
    pub off_most: f64,
    /// How likely a difference as large comes by chance alone (chi-square).
    pub p: f64,
}

/// Answers a second and latency in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Speed {
    pub answers_per_s: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub reqs: usize,
    pub done: u64,
    pub versions: Vec<Published>,
    /// Reqs that met an older table than one that a host had seen before they were sent.
    pub went_back: u64,
    /// Orders of older versions that were sent on purpose, and how many of them were refused.
    pub older_sent: u64,
    pub older_refused: u64,
    pub direct: Speed,
    pub proxied: Speed,
    pub kib_per_connection: f64,
}

const TEXT: &str = "\
Own proxy: {{ r.done }} of {{ r.reqs }} reqs done; {{ r.older_refused }} of {{ r.older_sent }} older tables refused; \
{{ r.went_back }} reqs went back to an older table
{% for v in r.versions -%}
version {{ v.version }}: {{ v.reqs }} reqs, parts off by {{ (v.off_most * 100) | round(2) }} points at most, p {{ v.p | round(4) }}
{% endfor -%}
direct    {{ r.direct.answers_per_s | round(0) }} a second, p50 {{ r.direct.p50_us }} us, p99 {{ r.direct.p99_us }} us, \
p99.9 {{ r.direct.p999_us }} us
proxied   {{ r.proxied.answers_per_s | round(0) }} a second, p50 {{ r.proxied.p50_us }} us, p99 {{ r.proxied.p99_us }} us, \
p99.9 {{ r.proxied.p999_us }} us
ratio     {{ (r.proxied.answers_per_s / r.direct.answers_per_s) | round(2) }} of the answers, \
{{ (r.proxied.p50_us / r.direct.p50_us) | round(2) }} / {{ (r.proxied.p99_us / r.direct.p99_us) | round(2) }} / \
{{ (r.proxied.p999_us / r.direct.p999_us) | round(2) }} times the latency
an idle connection costs {{ r.kib_per_connection | round(1) }} KiB
";

impl Report {
    /// Errors: only if the template and the figures do not fit each other.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }

    /// Parts within two points, no version unlikely, none older applied, nothing lost.
    pub fn holds(&self) -> bool {
        let fits = |v: &Published| v.off_most <= 0.02 && v.p >= 1e-6;
        self.versions.iter().all(fits)
            && self.went_back == 0
            && self.older_refused == self.older_sent
            && self.done as usize == self.reqs
    }
}

/// A host that answers at once and keeps what it saw: req, version, when.
#[derive(Clone, Default)]
struct Ledger(Arc<Mutex<Vec<(u64, u64, Duration)>>>);

impl Ledger {
    fn note(&self, req: &Request<Incoming>, at: Duration) {
        let text = |name: &str| {
            req.headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let version = text("x-pondarch-table")
            .and_then(|v| v.rsplit('/').next())
            .and_then(|n| n.parse().ok());
        if let Some(id) = text("x-req").and_then(|id| id.parse().ok()) {
            self.0.lock().unwrap_or_else(PoisonError::into_inner).push((
                id,
                version.unwrap_or(0),
                at,
            ));
        }
    }
}

async fn host(began: Instant, tasks: &mut JoinSet<()>) -> std::io::Result<(SocketAddr, Ledger)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let ledger = Ledger::default();
    let kept = ledger.clone();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            let ledger = kept.clone();
            connections.spawn(async move {
                let serve = service_fn(move |req| {
                    ledger.note(&req, began.elapsed());
                    async move {
                        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"ok"))))
                    }
                });
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), serve)
                    .await
                    .ok();
            });
        }
    });
    Ok((addr, ledger))
}

fn kinds() -> Vec<Kind> {
    let kind = |name, share| Kind {
        name,
        share,
        work: Duration::ZERO,
        response_target: Duration::from_secs(1),
        client_timeout: Duration::from_secs(5),
        benefit: 1.0,
        replayable: true,
    };
    vec![
        kind("proof", 0.48),
        kind("order", 0.40),
        kind("release", 0.12),
    ]
}

pub async fn play(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let io = |what: &'static str| {
        move |wrong| RehearsalError::Io {
            what: what.into(),
            wrong,
        }
    };
    let (began, mut tasks) = (Instant::now(), JoinSet::new());
    let mut hosts = Vec::new();
    for _ in 0..plan.hosts {
        hosts.push(
            host(began, &mut tasks)
                .await
                .map_err(io("a host cannot be started"))?,
        );
    }
    let mut list = List::new(folder.join("hosts.jsonnet"), Facts::default());
    let entry = |addr| Entry {
        addr,
        zone: "ede".into(),
        rack: "r".into(),
        weight: 1.0,
        cores: 1.0,
        started: None,
        listed: Listed::Ready,
    };
    list.change(|all| {
        all.extend(
            hosts
                .iter()
                .enumerate()
                .map(|(n, (addr, _))| (name(n), entry(*addr))),
        )
    })
    .map_err(io("the list cannot be written"))?;
    // A port of the system's choosing, free again by the time the proxy takes it.
    let spare = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(io("no port"))?;
    let proxy_addr = spare.local_addr().map_err(io("no port"))?;
    drop(spare);
    write_settings(
        &folder.join("proxy.jsonnet"),
        &settings(proxy_addr, plan.seed),
    )
    .map_err(io("settings"))?;
    let socket = folder.join("proxy.sock");
    let mut proxy = spawn(
        program,
        &["--log-level", "warn", "proxy"],
        &folder.join("proxy.jsonnet"),
        &folder.join("proxy.log"),
    )
    .map_err(io("the proxy cannot be started"))?;
    let up_by = Instant::now() + Duration::from_secs(10);
    while ask(&socket, "show info")
        .await
        .is_none_or(|text| text.is_empty())
    {
        if Instant::now() > up_by {
            return Err(RehearsalError::StewardEnded(
                "the proxy does not answer".into(),
                folder.to_path_buf(),
            ));
        }
        sleep(Duration::from_millis(20)).await;
    }

    let file = folder.join("stream.arrow");
    request_trace::write(
        &file,
        &request_trace::drawn(&kinds(), plan.reqs, plan.rate, plan.seed),
    )?;
    let recorded = request_trace::read(&file)?;
    let mut chance = fastrand::Rng::with_seed(plan.seed);
    let mut weights = Vec::new();
    for _ in 0..plan.versions {
        // Some hosts leave, the others get any weight.
        weights.push(
            (0..plan.hosts)
                .map(|_| {
                    if chance.u8(0..6) == 0 {
                        0
                    } else {
                        chance.u16(1..=256)
                    }
                })
                .collect::<Vec<_>>(),
        );
    }
    let replayed = replay(plan, proxy_addr, &socket, &weights, recorded, began).await;
    let (older_sent, older_refused, sent_at, done) = replayed;

    let direct = speed(hosts[0].0, plan.speed_for).await;
    let proxied = speed(proxy_addr, plan.speed_for).await;
    let before = crate::connection_storm::memory_kib(&proxy, "VmRSS");
    let mut idle = Vec::new();
    for _ in 0..IDLE {
        idle.extend(TcpStream::connect(proxy_addr).await.ok());
    }
    sleep(Duration::from_millis(300)).await;
    let grown = crate::connection_storm::memory_kib(&proxy, "VmRSS").saturating_sub(before);
    proxy
        .kill()
        .await
        .map_err(io("the proxy cannot be ended"))?;
    tasks.shutdown().await;

    let mut seen: Vec<(u64, u64, Duration, usize)> = Vec::new();
    for (n, (_, ledger)) in hosts.iter().enumerate() {
        let ledger = ledger.0.lock().unwrap_or_else(PoisonError::into_inner);
        seen.extend(ledger.iter().map(|&(id, version, at)| (id, version, at, n)));
    }
    let versions = (1..=plan.versions as u64)
        .map(|version| judged(version, &weights[version as usize - 1], &seen));
    Ok(Report {
        reqs: plan.reqs,
        done,
        versions: versions.collect(),
        went_back: went_back(&seen, &sent_at),
        older_sent,
        older_refused,
        direct,
        proxied,
        kib_per_connection: grown as f64 / idle.len().max(1) as f64,
    })
}

fn name(n: usize) -> String {
    format!("host-{n}")
}

/// Orders that make a table of these weights, as one version; each sets, so that they may come in any order.
fn orders(version: u64, weights: &[u16]) -> String {
    let mut line = format!("add map pond_state table trial:1/{version}");
    for (n, weight) in weights.iter().enumerate() {
        for kind in kinds() {
            let (kind, host) = (kind.name, name(n));
            let state = if *weight > 0 { "ready" } else { "maint" };
            line.push_str(&format!(
                "; set server {kind}/{host} weight {weight}; set server {kind}/{host} state {state}"
            ));
        }
    }
    line
}

/// Sends the stream at its times and publishes versions in between, older ones too. Gives how many of those were
/// sent and refused, when each req was sent, and how many were done.
async fn replay(
    plan: &Plan,
    proxy: SocketAddr,
    socket: &Path,
    weights: &[Vec<u16>],
    recorded: Vec<Recorded>,
    began: Instant,
) -> (u64, u64, Vec<Duration>, u64) {
    let http = client();
    let (places, done) = (
        Arc::new(Semaphore::new(OPEN_MOST)),
        Arc::new(AtomicU64::new(0)),
    );
    let (mut older_sent, mut older_refused) = (0, 0);
    let mut sent_at = Vec::with_capacity(recorded.len());
    let part = recorded.len().div_ceil(plan.versions);
    let (start, kinds) = (Instant::now(), kinds());
    let mut open = JoinSet::new();
    for (id, req) in recorded.into_iter().enumerate() {
        if id % part == 0 {
            let version = (id / part) as u64 + 1;
            ask(socket, &orders(version, &weights[version as usize - 1])).await;
            // Twice, and then one that is late.
            ask(socket, &orders(version, &weights[version as usize - 1])).await;
            if version > 1 {
                older_sent += 1;
                let answer =
                    ask(socket, &orders(version - 1, &weights[version as usize - 2])).await;
                older_refused +=
                    u64::from(answer.is_some_and(|answer| answer.starts_with("Refused")));
            }
        }
        sleep_until(start + req.at).await;
        let Ok(place) = places.clone().acquire_owned().await else {
            break;
        };
        sent_at.push(began.elapsed());
        let (http, done, kind) = (
            http.clone(),
            done.clone(),
            kinds[req.kind % kinds.len()].name,
        );
        open.spawn(async move {
            let uri = format!("http://{proxy}/{kind}");
            let built = Request::get(uri)
                .header("x-req", id)
                .body(Empty::<Bytes>::new());
            if let Ok(built) = built
                && let Ok(answer) = http.request(built).await
                && answer.status().is_success()
                && answer.into_body().collect().await.is_ok()
            {
                done.fetch_add(1, Relaxed);
            }
            drop(place);
        });
        while open.try_join_next().is_some() {}
    }
    while open.join_next().await.is_some() {}
    (older_sent, older_refused, sent_at, done.load(Relaxed))
}

fn client() -> Http<HttpConnector, Empty<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Http::builder(TokioExecutor::new())
        .pool_max_idle_per_host(OPEN_MOST)
        .build(connector)
}

/// As many answers as `ASKING` connections get in this time.
async fn speed(addr: SocketAddr, span: Duration) -> Speed {
    let until = Instant::now() + span;
    let mut asking = JoinSet::new();
    for _ in 0..ASKING {
        asking.spawn(async move {
            let http = client();
            let mut took = Vec::new();
            while Instant::now() < until {
                let asked = Instant::now();
                let Ok(built) = Request::get(format!("http://{addr}/proof")).body(Empty::new())
                else {
                    break;
                };
                let Ok(answer) = http.request(built).await else {
                    break;
                };
                if answer.into_body().collect().await.is_err() {
                    break;
                }
                took.push(asked.elapsed());
            }
            took
        });
    }
    // From a microsecond to a minute, three digits: the bounds are fixed and fit each other.
    let mut all = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds that fit");
    let mut answers = 0;
    while let Some(Ok(took)) = asking.join_next().await {
        answers += took.len();
        took.iter()
            .for_each(|took| all.saturating_record(took.as_micros() as u64));
    }
    let at = |q| all.value_at_quantile(q).max(1);
    Speed {
        answers_per_s: answers as f64 / span.as_secs_f64(),
        p50_us: at(0.5),
        p99_us: at(0.99),
        p999_us: at(0.999),
    }
}

/// Whether the hosts' parts of a version's reqs are those of its weights.
fn judged(version: u64, weights: &[u16], seen: &[(u64, u64, Duration, usize)]) -> Published {
    let mut met: BTreeMap<usize, f64> = BTreeMap::new();
    for (_, _, _, host) in seen.iter().filter(|(_, of, _, _)| *of == version) {
        *met.entry(*host).or_default() += 1.0;
    }
    let reqs: f64 = met.values().sum();
    let total: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
    let (mut off_most, mut chi) = (0.0f64, 0.0);
    for (host, weight) in weights.iter().enumerate() {
        let (part, count) = (
            f64::from(*weight) / total,
            met.get(&host).copied().unwrap_or(0.0),
        );
        off_most = off_most.max((count / reqs.max(1.0) - part).abs());
        let due = part * reqs;
        // A host without a weight must not be met at all.
        chi += if due > 0.0 {
            (count - due).powi(2) / due
        } else {
            count * 1e9
        };
    }
    let freedom = weights
        .iter()
        .filter(|weight| **weight > 0)
        .count()
        .saturating_sub(1)
        .max(1);
    let p = ChiSquared::new(freedom as f64).map_or(0.0, |chi_square| chi_square.sf(chi));
    Published {
        version,
        reqs: reqs as u64,
        off_most,
        p,
    }
}

/// Reqs that met an older table than one that a host had met before they were sent.
fn went_back(seen: &[(u64, u64, Duration, usize)], sent_at: &[Duration]) -> u64 {
    let mut first_met: BTreeMap<u64, Duration> = BTreeMap::new();
    for (_, version, at, _) in seen {
        let first = first_met.entry(*version).or_insert(*at);
        *first = (*first).min(*at);
    }
    let sent = |id: u64| sent_at.get(id as usize).copied().unwrap_or_default();
    let back = |(id, version, _, _): &&(u64, u64, Duration, usize)| {
        first_met
            .range(version + 1..)
            .any(|(_, at)| *at < sent(*id))
    };
    seen.iter().filter(back).count() as u64
}

fn settings(addr: SocketAddr, seed: u64) -> serde_json::Value {
    let kind = |kind: &Kind| {
        json!({"name": kind.name, "path_prefix": format!("/{}", kind.name), "response_target": "1 s",
            "client_timeout": "5 s", "benefit": 1, "repeats": "replayable"})
    };
    json!({
        "name": "trial", "zone": "ede", "zones": ["ede"], "listen": addr,
        "runtime_api": [{"listen": "unix:proxy.sock", "level": "admin"}],
        "kinds": kinds().iter().map(kind).collect::<Vec<_>>(),
        "hosts_file": "hosts.jsonnet", "standing_most": 100, "seed": seed,
        "limits": {"at_host": OPEN_MOST},
    })
}
