//! The project's proxy under a recorded trace of requests: whether hosts receive requests in proportion to the
//! published weights, whether an older table ever replaces a newer one, and what the proxy costs compared with a
//! direct connection.

use crate::bad_day::{RehearsalError, runtime_command};
use crate::client::RequestClass;
use crate::endpoint_list::{EndpointEntry, EndpointList, spawn_program, write_settings};
use crate::observations::{ListedState, ObservationLog};
use crate::request_trace::{self, TraceRequest};
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

/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 256;
/// Connections of the throughput measurement; each sends its next request as soon as the last one is answered.
const BENCHMARK_CONNECTIONS: usize = 32;
/// Idle connections opened to measure the memory that one uses.
const IDLE_CONNECTIONS: usize = 500;

/// Size of the benchmark.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub requests: usize,
    pub rate: f64,
    pub hosts: usize,
    pub table_versions: usize,
    pub benchmark_duration: Duration,
}

impl Plan {
    /// The usual benchmark with this number of requests.
    pub fn with_requests(requests: usize, seed: u64) -> Plan {
        Plan {
            seed,
            requests,
            rate: 5_000.0,
            hosts: 20,
            table_versions: 6,
            benchmark_duration: Duration::from_secs(3),
        }
    }
}

/// How the requests of one published table version were distributed over the hosts.
#[derive(Clone, Debug, Serialize)]
pub struct VersionReport {
    pub version: u64,
    #[serde(rename = "reqs")]
    pub requests: u64,
    /// Largest difference between a host's fraction of the requests and its fraction of the weights.
    #[serde(rename = "off_most")]
    pub max_deviation: f64,
    /// Probability that chance alone causes deviations as large (chi-squared test).
    pub p: f64,
}

/// Responses per second and latency percentiles in microseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Performance {
    #[serde(rename = "answers_per_s")]
    pub responses_per_s: f64,
    pub p50_us: u64,
    pub p99_us: u64,
    pub p999_us: u64,
}

/// Results of the benchmark.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    #[serde(rename = "reqs")]
    pub requests: usize,
    #[serde(rename = "done")]
    pub succeeded: u64,
    pub versions: Vec<VersionReport>,
    /// Requests forwarded by a table older than one that had reached a host before they were sent.
    #[serde(rename = "went_back")]
    pub forwarded_by_older_table: u64,
    /// Updates to older versions that were sent deliberately.
    #[serde(rename = "older_sent")]
    pub older_updates_sent: u64,
    /// How many of those the proxy rejected.
    #[serde(rename = "older_refused")]
    pub older_updates_rejected: u64,
    pub direct: Performance,
    pub proxied: Performance,
    pub kib_per_connection: f64,
}

const TEXT: &str = "\
Proxy: {{ r.done }} of {{ r.reqs }} requests succeeded; {{ r.older_refused }} of {{ r.older_sent }} older tables rejected; \
{{ r.went_back }} requests forwarded by an older table
{% for v in r.versions -%}
version {{ v.version }}: {{ v.reqs }} requests, distribution off by at most {{ (v.off_most * 100) | round(2) }} points, p {{ v.p | round(4) }}
{% endfor -%}
direct    {{ r.direct.answers_per_s | round(0) }} per second, p50 {{ r.direct.p50_us }} us, p99 {{ r.direct.p99_us }} us, \
p99.9 {{ r.direct.p999_us }} us
proxied   {{ r.proxied.answers_per_s | round(0) }} per second, p50 {{ r.proxied.p50_us }} us, p99 {{ r.proxied.p99_us }} us, \
p99.9 {{ r.proxied.p999_us }} us
ratio     {{ (r.proxied.answers_per_s / r.direct.answers_per_s) | round(2) }} of the responses, \
{{ (r.proxied.p50_us / r.direct.p50_us) | round(2) }} / {{ (r.proxied.p99_us / r.direct.p99_us) | round(2) }} / \
{{ (r.proxied.p999_us / r.direct.p999_us) | round(2) }} times the latency
an idle connection uses {{ r.kib_per_connection | round(1) }} KiB
";

impl Report {
    /// Renders the report as text.
    ///
    /// # Errors
    ///
    /// The template does not match the fields.
    pub fn text(&self) -> Result<String, RehearsalError> {
        Ok(Environment::new().render_str(TEXT, context! { r => self })?)
    }

    /// Whether each version's distribution is within two points and plausible by chance, no older table was applied,
    /// and all requests succeeded.
    pub fn passed(&self) -> bool {
        let plausible = |v: &VersionReport| v.max_deviation <= 0.02 && v.p >= 1e-6;
        self.versions.iter().all(plausible)
            && self.forwarded_by_older_table == 0
            && self.older_updates_rejected == self.older_updates_sent
            && self.succeeded as usize == self.requests
    }
}

/// Requests that one host received: request ID, table version, time.
#[derive(Clone, Default)]
struct RequestLog(Arc<Mutex<Vec<(u64, u64, Duration)>>>);

impl RequestLog {
    fn record(&self, request: &Request<Incoming>, at: Duration) {
        let header = |name: &str| {
            request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let version = header("x-pondarch-table")
            .and_then(|v| v.rsplit('/').next())
            .and_then(|n| n.parse().ok());
        if let Some(id) = header("x-req").and_then(|id| id.parse().ok()) {
            self.0.lock().unwrap_or_else(PoisonError::into_inner).push((
                id,
                version.unwrap_or(0),
                at,
            ));
        }
    }
}

/// Starts a host that answers each request at once and logs it.
async fn start_host(
    began: Instant,
    tasks: &mut JoinSet<()>,
) -> std::io::Result<(SocketAddr, RequestLog)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    let log = RequestLog::default();
    let host_log = log.clone();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            let log = host_log.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    log.record(&request, began.elapsed());
                    async move {
                        Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"ok"))))
                    }
                });
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await
                    .ok();
            });
        }
    });
    Ok((addr, log))
}

fn classes() -> Vec<RequestClass> {
    let class = |name, share| RequestClass {
        name,
        share,
        work: Duration::ZERO,
        latency_objective: Duration::from_secs(1),
        client_timeout: Duration::from_secs(5),
        priority_weight: 1.0,
        replayable: true,
    };
    vec![
        class("proof", 0.48),
        class("order", 0.40),
        class("release", 0.12),
    ]
}

/// Runs the benchmark in this folder, with `program` as the proxy.
///
/// # Errors
///
/// A component could not be started or stopped, or the trace file could not be written or read.
pub async fn run(plan: &Plan, program: &Path, folder: &Path) -> Result<Report, RehearsalError> {
    let io_error = |context: &'static str| {
        move |error| RehearsalError::Io {
            context: context.into(),
            error,
        }
    };
    let (began, mut tasks) = (Instant::now(), JoinSet::new());
    let mut hosts = Vec::new();
    for _ in 0..plan.hosts {
        hosts.push(
            start_host(began, &mut tasks)
                .await
                .map_err(io_error("cannot start a host"))?,
        );
    }
    let mut list = EndpointList::new(folder.join("hosts.jsonnet"), ObservationLog::default());
    let entry = |addr| EndpointEntry {
        addr,
        zone: "ede".into(),
        rack: "r".into(),
        weight: 1.0,
        cores: 1.0,
        started: None,
        state: ListedState::Ready,
    };
    list.update(|all| {
        all.extend(
            hosts
                .iter()
                .enumerate()
                .map(|(n, (addr, _))| (host_name(n), entry(*addr))),
        )
    })
    .map_err(io_error("cannot write the endpoint list"))?;
    // The system picks a free port, which is released again before the proxy binds it.
    let spare = TcpListener::bind("127.0.0.1:0")
        .await
        .map_err(io_error("found no free port"))?;
    let proxy_addr = spare.local_addr().map_err(io_error("found no free port"))?;
    drop(spare);
    write_settings(
        &folder.join("proxy.jsonnet"),
        &proxy_settings(proxy_addr, plan.seed),
    )
    .map_err(io_error("cannot write the proxy's settings"))?;
    let socket = folder.join("proxy.sock");
    let mut proxy = spawn_program(
        program,
        &["--log-level", "warn", "proxy"],
        &folder.join("proxy.jsonnet"),
        &folder.join("proxy.log"),
    )
    .map_err(io_error("cannot start the proxy"))?;
    let start_deadline = Instant::now() + Duration::from_secs(10);
    while runtime_command(&socket, "show info")
        .await
        .is_none_or(|text| text.is_empty())
    {
        if Instant::now() > start_deadline {
            return Err(RehearsalError::ProcessFailed(
                "the proxy does not answer on its runtime socket".into(),
                folder.to_path_buf(),
            ));
        }
        sleep(Duration::from_millis(20)).await;
    }

    let file = folder.join("stream.arrow");
    request_trace::write(
        &file,
        &request_trace::generate(&classes(), plan.requests, plan.rate, plan.seed),
    )?;
    let trace = request_trace::read(&file)?;
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut weights = Vec::new();
    for _ in 0..plan.table_versions {
        // In each version a sixth of the hosts, on average, is left out, and the others get random weights.
        weights.push(
            (0..plan.hosts)
                .map(|_| {
                    if rng.u8(0..6) == 0 {
                        0
                    } else {
                        rng.u16(1..=256)
                    }
                })
                .collect::<Vec<_>>(),
        );
    }
    let replayed = replay(plan, proxy_addr, &socket, &weights, trace, began).await;
    let (older_updates_sent, older_updates_rejected, sent_at, succeeded) = replayed;

    let direct = measure_performance(hosts[0].0, plan.benchmark_duration).await;
    let proxied = measure_performance(proxy_addr, plan.benchmark_duration).await;
    let memory_before = crate::connection_storm::memory_kib(&proxy, "VmRSS");
    let mut idle = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        idle.extend(TcpStream::connect(proxy_addr).await.ok());
    }
    sleep(Duration::from_millis(300)).await;
    let memory_growth =
        crate::connection_storm::memory_kib(&proxy, "VmRSS").saturating_sub(memory_before);
    proxy
        .kill()
        .await
        .map_err(io_error("cannot stop the proxy"))?;
    tasks.shutdown().await;

    let mut received: Vec<(u64, u64, Duration, usize)> = Vec::new();
    for (n, (_, log)) in hosts.iter().enumerate() {
        let log = log.0.lock().unwrap_or_else(PoisonError::into_inner);
        received.extend(log.iter().map(|&(id, version, at)| (id, version, at, n)));
    }
    let versions = (1..=plan.table_versions as u64)
        .map(|version| version_report(version, &weights[version as usize - 1], &received));
    Ok(Report {
        requests: plan.requests,
        succeeded,
        versions: versions.collect(),
        forwarded_by_older_table: count_forwarded_by_older_table(&received, &sent_at),
        older_updates_sent,
        older_updates_rejected,
        direct,
        proxied,
        kib_per_connection: memory_growth as f64 / idle.len().max(1) as f64,
    })
}

fn host_name(n: usize) -> String {
    format!("host-{n}")
}

/// An update that makes a table with these weights, as one version. All of its commands set absolute values, so that
/// their order does not matter.
fn update_line(version: u64, weights: &[u16]) -> String {
    let mut line = format!("add map pond_state table trial:1/{version}");
    for (n, weight) in weights.iter().enumerate() {
        for class in classes() {
            let (class, host) = (class.name, host_name(n));
            let state = if *weight > 0 { "ready" } else { "maint" };
            line.push_str(&format!(
                "; set server {class}/{host} weight {weight}; set server {class}/{host} state {state}"
            ));
        }
    }
    line
}

/// Sends the requests of the trace at their times and publishes table versions in between, including older ones.
/// Returns how many older ones were sent and rejected, when each request was sent, and how many requests succeeded.
async fn replay(
    plan: &Plan,
    proxy: SocketAddr,
    socket: &Path,
    weights: &[Vec<u16>],
    trace: Vec<TraceRequest>,
    began: Instant,
) -> (u64, u64, Vec<Duration>, u64) {
    let http = http_client();
    let (permits, succeeded) = (
        Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
        Arc::new(AtomicU64::new(0)),
    );
    let (mut older_sent, mut older_rejected) = (0, 0);
    let mut sent_at = Vec::with_capacity(trace.len());
    let requests_per_version = trace.len().div_ceil(plan.table_versions);
    let (start, classes) = (Instant::now(), classes());
    let mut in_flight = JoinSet::new();
    for (id, request) in trace.into_iter().enumerate() {
        if id % requests_per_version == 0 {
            let version = (id / requests_per_version) as u64 + 1;
            runtime_command(
                socket,
                &update_line(version, &weights[version as usize - 1]),
            )
            .await;
            // The same version again, then the previous one as if its update arrived late.
            runtime_command(
                socket,
                &update_line(version, &weights[version as usize - 1]),
            )
            .await;
            if version > 1 {
                older_sent += 1;
                let reply = runtime_command(
                    socket,
                    &update_line(version - 1, &weights[version as usize - 2]),
                )
                .await;
                older_rejected +=
                    u64::from(reply.is_some_and(|reply| reply.starts_with("Refused")));
            }
        }
        sleep_until(start + request.at).await;
        let Ok(permit) = permits.clone().acquire_owned().await else {
            break;
        };
        sent_at.push(began.elapsed());
        let (http, succeeded, class) = (
            http.clone(),
            succeeded.clone(),
            classes[request.class % classes.len()].name,
        );
        in_flight.spawn(async move {
            let uri = format!("http://{proxy}/{class}");
            let request = Request::get(uri)
                .header("x-req", id)
                .body(Empty::<Bytes>::new());
            if let Ok(request) = request
                && let Ok(response) = http.request(request).await
                && response.status().is_success()
                && response.into_body().collect().await.is_ok()
            {
                succeeded.fetch_add(1, Relaxed);
            }
            drop(permit);
        });
        while in_flight.try_join_next().is_some() {}
    }
    while in_flight.join_next().await.is_some() {}
    (older_sent, older_rejected, sent_at, succeeded.load(Relaxed))
}

fn http_client() -> Http<HttpConnector, Empty<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Http::builder(TokioExecutor::new())
        .pool_max_idle_per_host(MAX_IN_FLIGHT)
        .build(connector)
}

/// Measures throughput and latency of `BENCHMARK_CONNECTIONS` closed-loop connections.
async fn measure_performance(addr: SocketAddr, duration: Duration) -> Performance {
    let until = Instant::now() + duration;
    let mut connections = JoinSet::new();
    for _ in 0..BENCHMARK_CONNECTIONS {
        connections.spawn(async move {
            let http = http_client();
            let mut latencies = Vec::new();
            while Instant::now() < until {
                let sent_at = Instant::now();
                let Ok(request) = Request::get(format!("http://{addr}/proof")).body(Empty::new())
                else {
                    break;
                };
                let Ok(response) = http.request(request).await else {
                    break;
                };
                if response.into_body().collect().await.is_err() {
                    break;
                }
                latencies.push(sent_at.elapsed());
            }
            latencies
        });
    }
    // From 1 us to 60 s with three significant digits. These constant bounds are valid.
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
    let mut responses = 0;
    while let Some(Ok(latencies)) = connections.join_next().await {
        responses += latencies.len();
        latencies
            .iter()
            .for_each(|latency| histogram.saturating_record(latency.as_micros() as u64));
    }
    let quantile = |q| histogram.value_at_quantile(q).max(1);
    Performance {
        responses_per_s: responses as f64 / duration.as_secs_f64(),
        p50_us: quantile(0.5),
        p99_us: quantile(0.99),
        p999_us: quantile(0.999),
    }
}

/// Compares the distribution of a version's requests over the hosts with its weights.
fn version_report(
    version: u64,
    weights: &[u16],
    received: &[(u64, u64, Duration, usize)],
) -> VersionReport {
    let mut requests_by_host: BTreeMap<usize, f64> = BTreeMap::new();
    for (_, _, _, host) in received.iter().filter(|(_, of, _, _)| *of == version) {
        *requests_by_host.entry(*host).or_default() += 1.0;
    }
    let requests: f64 = requests_by_host.values().sum();
    let total_weight: f64 = weights.iter().map(|weight| f64::from(*weight)).sum();
    let (mut max_deviation, mut statistic) = (0.0f64, 0.0);
    for (host, weight) in weights.iter().enumerate() {
        let (fraction, count) = (
            f64::from(*weight) / total_weight,
            requests_by_host.get(&host).copied().unwrap_or(0.0),
        );
        max_deviation = max_deviation.max((count / requests.max(1.0) - fraction).abs());
        let expected = fraction * requests;
        // A host without weight must receive no request at all.
        statistic += if expected > 0.0 {
            (count - expected).powi(2) / expected
        } else {
            count * 1e9
        };
    }
    let degrees_of_freedom = weights
        .iter()
        .filter(|weight| **weight > 0)
        .count()
        .saturating_sub(1)
        .max(1);
    let p = ChiSquared::new(degrees_of_freedom as f64)
        .map_or(0.0, |chi_squared| chi_squared.sf(statistic));
    VersionReport {
        version,
        requests: requests as u64,
        max_deviation,
        p,
    }
}

/// Counts the requests forwarded by a table older than one that had reached a host before they were sent.
fn count_forwarded_by_older_table(
    received: &[(u64, u64, Duration, usize)],
    sent_at: &[Duration],
) -> u64 {
    let mut first_received: BTreeMap<u64, Duration> = BTreeMap::new();
    for (_, version, at, _) in received {
        let first = first_received.entry(*version).or_insert(*at);
        *first = (*first).min(*at);
    }
    let sent = |id: u64| sent_at.get(id as usize).copied().unwrap_or_default();
    let used_older_table = |(id, version, _, _): &&(u64, u64, Duration, usize)| {
        first_received
            .range(version + 1..)
            .any(|(_, at)| *at < sent(*id))
    };
    received.iter().filter(used_older_table).count() as u64
}

fn proxy_settings(addr: SocketAddr, seed: u64) -> serde_json::Value {
    let class = |class: &RequestClass| {
        json!({"name": class.name, "path_prefix": format!("/{}", class.name), "response_target": "1 s",
            "client_timeout": "5 s", "benefit": 1, "repeats": "replayable"})
    };
    json!({
        "name": "trial", "zone": "ede", "zones": ["ede"], "listen": addr,
        "runtime_api": [{"listen": "unix:proxy.sock", "level": "admin"}],
        "kinds": classes().iter().map(class).collect::<Vec<_>>(),
        "hosts_file": "hosts.jsonnet", "standing_most": 100, "seed": seed,
        "limits": {"at_host": MAX_IN_FLIGHT},
    })
}
